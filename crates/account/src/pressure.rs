//! Detects when a limit is reached and when it no longer is, for logs.

use std::time::{Duration, Instant};

/// Time without an eviction or refusal after which a limit is no longer reached.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Turns counts of evictions and refusals into a beginning and an end.
#[derive(Debug, Default)]
pub struct Pressure {
    /// Evictions and refusals until the last observation.
    events: u64,
    last_event: Option<Instant>,
}

impl Pressure {
    /// Whether the limit is reached, if that has changed. `events` counts from the start of the
    /// process.
    pub fn observe(&mut self, events: u64, now: Instant) -> Option<bool> {
        if std::mem::replace(&mut self.events, events) < events {
            let was_reached = self.last_event.replace(now).is_some();
            return (!was_reached).then_some(true);
        }
        let is_over = |at: Instant| now.saturating_duration_since(at) >= CALM_TIME;
        let ended = self.last_event.take_if(|at| is_over(*at));
        ended.map(|_| false)
    }
}
