//! Times in a histogram, and the quantiles that are reported.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// Times of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Times(Histogram<u64>);

/// Quantiles of times, in milliseconds; zero where there was none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many times there were.
    pub count: u64,
    /// Half are at most this.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Times {
    pub(crate) fn new() -> Times {
        let histogram = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Times(histogram.expect("the bounds are constants that fit"))
    }

    pub(crate) fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        self.0.saturating_record(micros.min(MAX_MICROS));
    }

    pub(crate) fn add(&mut self, other: &Times) {
        // Both have the same bounds, for which adding never fails.
        let _ = self.0.add(&other.0);
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        Quantiles {
            count: self.0.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: self.0.max() as f64 / MICROS_PER_MS,
        }
    }
}
