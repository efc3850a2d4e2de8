//! Measured service pace.

use std::time::{Duration, Instant};

use eelgrassmill_base::Tokens;

/// Share of a new sample in the moving mean.
const NEW_SAMPLE: f64 = 0.1;
/// A mean without a sample for this long says nothing of the next request.
const SAMPLE_LIFE: Duration = Duration::from_secs(30);

/// Mean time that one estimated token takes from start to end of a request.
///
/// Estimates, not real tokens, so that a tenant population that always asks
/// for more tokens than it uses is still predicted well.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    seconds_per_token: Option<f64>,
    sampled: Option<Instant>,
}

impl Pace {
    pub(crate) fn observe(&mut self, took: Duration, tokens: Tokens, now: Instant) {
        let fresh = |at| now.saturating_duration_since(at) < SAMPLE_LIFE;
        if !self.sampled.is_some_and(fresh) {
            self.seconds_per_token = None;
        }
        self.sampled = Some(now);
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token = Some(match self.seconds_per_token {
            Some(mean) => mean + NEW_SAMPLE * (sample - mean),
            None => sample,
        });
    }

    /// Time for `tokens` with `parallel` slots; zero while nothing is measured.
    pub(crate) fn time_for(&self, tokens: Tokens, parallel: usize) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or(0.0) * tokens as f64;
        Duration::try_from_secs_f64(seconds / parallel.max(1) as f64).unwrap_or(Duration::MAX)
    }
}
