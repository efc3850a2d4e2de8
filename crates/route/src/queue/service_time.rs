//! Measured service time per token.

use std::time::{Duration, Instant};

use eelgrassmill_base::Tokens;

/// Weight of a new sample in the exponential moving average.
const EWMA_ALPHA: f64 = 0.1;
/// The average is discarded when its last sample is older than this.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// Mean run time of a request per estimated token.
///
/// Per estimated and not per used token, so that the prediction also holds for
/// tenants that always request more tokens than they use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    seconds_per_token: Option<f64>,
    last_sample: Option<Instant>,
}

impl ServiceTime {
    pub(crate) fn observe(&mut self, took: Duration, tokens: Tokens, now: Instant) {
        let fresh = |at| now.saturating_duration_since(at) < SAMPLE_TTL;
        if !self.last_sample.is_some_and(fresh) {
            self.seconds_per_token = None;
        }
        self.last_sample = Some(now);
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        self.seconds_per_token = Some(match self.seconds_per_token {
            Some(mean) => mean + EWMA_ALPHA * (sample - mean),
            None => sample,
        });
    }

    /// Estimates the time for `tokens` on `parallel` slots; zero without a measurement.
    pub(crate) fn estimate(&self, tokens: Tokens, parallel: usize) -> Duration {
        let seconds = self.seconds_per_token.unwrap_or(0.0) * tokens as f64;
        Duration::try_from_secs_f64(seconds / parallel.max(1) as f64).unwrap_or(Duration::MAX)
    }
}
