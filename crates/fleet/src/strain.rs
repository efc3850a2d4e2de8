//! Whether a node has too little processor for what it does.
//!
//! Sized for hosts that turn slow, or are given a role that is too much for them: a node that
//! runs late holds up every node that waits for its answers.

use std::time::{Duration, Instant};

/// Mean delay of a node's timers at which it counts as strained.
const STRAIN_DELAY: Duration = Duration::from_millis(60);
/// Mean delay below which it recovers.
const RELIEF_DELAY: Duration = Duration::from_millis(20);
/// How long it must run on time to count as relieved. Its roles have left it by then, and come
/// back with the relief.
const RELIEF_PERIOD: Duration = Duration::from_secs(5);
/// Weight of the newest delay in the mean, as 1 / this.
const DELAY_MEMORY: u32 = 8;

/// The strain of one node, by the delay of a timer that runs all the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuOverload {
    delay: Duration,
    /// Set while the node is strained: when it last ran late.
    late_at: Option<Instant>,
}

impl CpuOverload {
    /// Takes how late the timer was.
    pub fn on_timer(&mut self, late: Duration, now: Instant) {
        self.delay = (self.delay * (DELAY_MEMORY - 1) + late) / DELAY_MEMORY;
        if self.delay >= STRAIN_DELAY || (self.is_overloaded() && self.delay >= RELIEF_DELAY) {
            self.late_at = Some(now);
        }
        let long_ago = |at: &mut Instant| now.saturating_duration_since(*at) >= RELIEF_PERIOD;
        self.late_at.take_if(long_ago);
    }

    /// Whether the node should take no role for others.
    pub fn is_overloaded(&self) -> bool {
        self.late_at.is_some()
    }
}
