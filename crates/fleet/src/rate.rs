//! Exponentially decaying event rate.

use std::time::{Duration, Instant};

/// Time constant of the decay: an event of this age has 0.37 of its initial weight. A node receives
/// about ten requests a second, so a shorter time would make the rate too noisy.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Rate of events, as an exponential moving average with time constant [`TIME_CONSTANT`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// Decayed count of events as of `at`.
    weight: f64,
    at: Option<Instant>,
}

impl Rate {
    /// Records an event.
    pub fn on_event(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.at = Some(now);
    }

    /// Events per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.weight_at(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Fraction of a steady rate that the average shows `age` after its first event.
    pub(crate) fn settled(age: Duration) -> f64 {
        1.0 - (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age = self.at.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()
        });
        self.weight * (-age).exp()
    }
}
