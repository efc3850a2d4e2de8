//! How often something happens, as it was lately.

use std::time::{Duration, Instant};

/// Events weigh less and less with their age; one this old weighs 0.37 of a new one.
/// Requests of one node come some ten a second, so that fewer seconds would show chance.
const MEMORY: Duration = Duration::from_secs(2);

/// A rate of events, by a moving average over some [`MEMORY`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Weighted count of events at `at`.
    weight: f64,
    at: Option<Instant>,
}

impl Rate {
    /// Notes an event.
    pub fn on_event(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.at = Some(now);
    }

    /// Events a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.weight_at(now) / MEMORY.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = self.at.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() / MEMORY.as_secs_f64()
        });
        self.weight * (-age).exp()
    }
}
