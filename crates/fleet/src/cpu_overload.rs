//! Detection of CPU overload at a node.
//!
//! Designed for hosts that become slow or hold a role that exceeds their capacity: an overloaded
//! node delays every node that waits for its responses.

use std::time::{Duration, Instant};

/// Mean timer delay at which a node becomes overloaded.
const OVERLOAD_DELAY: Duration = Duration::from_millis(60);
/// Mean timer delay below which it starts to recover.
const RECOVERY_DELAY: Duration = Duration::from_millis(20);
/// How long the delay must stay low for the node to count as recovered. By then its roles have
/// moved to other nodes, and they return once it has recovered.
const RECOVERY_PERIOD: Duration = Duration::from_secs(5);
/// Weight of the newest delay in the mean, as 1 / this.
const DELAY_MEMORY: u32 = 8;

/// CPU overload of one node, measured by the delay of a periodic timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuOverload {
    delay: Duration,
    /// When the mean delay was last high; set while the node is overloaded.
    overloaded_at: Option<Instant>,
}

impl CpuOverload {
    /// Records the delay of the timer.
    pub fn on_timer(&mut self, timer_delay: Duration, now: Instant) {
        self.delay = (self.delay * (DELAY_MEMORY - 1) + timer_delay) / DELAY_MEMORY;
        if self.delay >= OVERLOAD_DELAY || (self.is_overloaded() && self.delay >= RECOVERY_DELAY) {
            self.overloaded_at = Some(now);
        }
        let long_ago = |at: &mut Instant| now.saturating_duration_since(*at) >= RECOVERY_PERIOD;
        self.overloaded_at.take_if(long_ago);
    }

    /// Whether the node is overloaded and should take no shared role.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded_at.is_some()
    }
}
