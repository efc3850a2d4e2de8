//! Adaptive concurrency limit: the fraction of its slots a group gets, from measured latency.

use std::time::{Duration, Instant};

/// Latency objective for the 95th percentile of the time to first token.
pub const TIME_TO_FIRST_TOKEN_SLO: Duration = Duration::from_millis(1300);
/// Latency objective for the 95th percentile of the inter-token latency.
pub const INTER_TOKEN_LATENCY_SLO: Duration = Duration::from_millis(76);

/// Minimum number of samples for an adjustment.
const MIN_WINDOW_SAMPLES: u32 = 20;
/// Minimum time between adjustments.
const MIN_WINDOW: Duration = Duration::from_millis(500);
/// The limit decreases if a larger fraction of the samples misses the objective.
const MAX_LATE_FRACTION: f64 = 0.05;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// Step of an increase, as a fraction of the slots.
const INCREASE_STEP: f64 = 0.03;
/// Lower bound of the limit, as a fraction of the slots.
const MIN_FRACTION: f64 = 0.05;
/// A decrease was effective if it reduced the mean latency by this fraction.
const MIN_IMPROVEMENT: f64 = 0.025;
/// Consecutive ineffective decreases after which the limit is lifted.
const MAX_INEFFECTIVE_DECREASES: u32 = 2;
/// After the limit was lifted, it doesn't decrease for this long.
const LIFTED_TERM: Duration = Duration::from_secs(60);

/// Additive increase, multiplicative decrease (AIMD) by the fraction of late samples.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    /// Fraction of the slots that may be used. Invariant: within `MIN_FRACTION..=1`.
    fraction: f64,
    window: Window,
    /// Mean SLO ratio just before the last decrease.
    mean_before_decrease: Option<f64>,
    ineffective_decreases: u32,
    no_decrease_before: Instant,
    /// Whether the limit was reached since the last adjustment. A limit that wasn't
    /// reached must not increase: good latency at low load says nothing about high load.
    saturated: bool,
}

#[derive(Clone, Debug)]
struct Window {
    since: Instant,
    samples: u32,
    late: u32,
    /// Sum of the SLO ratios.
    sum: f64,
}

impl Window {
    fn new(since: Instant) -> Window {
        Window {
            since,
            samples: 0,
            late: 0,
            sum: 0.0,
        }
    }
}

impl AdaptiveLimit {
    pub(crate) fn new(now: Instant) -> AdaptiveLimit {
        AdaptiveLimit {
            fraction: 1.0,
            window: Window::new(now),
            mean_before_decrease: None,
            ineffective_decreases: 0,
            no_decrease_before: now,
            saturated: false,
        }
    }

    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }

    pub(crate) fn mark_saturated(&mut self) {
        self.saturated = true;
    }

    /// Records a sample as the ratio of the latency to its objective.
    ///
    /// `over_limit` means that more requests run than the limit allows, since those
    /// started before the last decrease continue. Such samples don't measure the new
    /// limit; with them it would decrease to the minimum before the first of those
    /// requests has ended.
    pub(crate) fn observe(&mut self, slo_ratio: f64, over_limit: bool, now: Instant) {
        if over_limit {
            self.window = Window::new(now);
            return;
        }
        self.window.samples += 1;
        self.window.late += u32::from(slo_ratio > 1.0);
        self.window.sum += slo_ratio;
        let elapsed = now.saturating_duration_since(self.window.since) >= MIN_WINDOW;
        if elapsed && self.window.samples >= MIN_WINDOW_SAMPLES {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Instant) {
        let samples = f64::from(self.window.samples);
        let late_fraction = f64::from(self.window.late) / samples;
        let mean = self.window.sum / samples;
        if late_fraction <= MAX_LATE_FRACTION {
            self.increase();
        } else if now >= self.no_decrease_before {
            self.decrease(mean, now);
        }
        self.window = Window::new(now);
        self.saturated = false;
    }

    fn increase(&mut self) {
        self.mean_before_decrease = None;
        self.ineffective_decreases = 0;
        if self.saturated {
            self.fraction = (self.fraction + INCREASE_STEP).min(1.0);
        }
    }

    /// Decreases the limit, or lifts it if decreases don't reduce the latency.
    ///
    /// Otherwise a model that misses the objective even with a single request would
    /// be limited to a single request.
    fn decrease(&mut self, mean: f64, now: Instant) {
        let effective = self
            .mean_before_decrease
            .is_none_or(|before| mean < before * (1.0 - MIN_IMPROVEMENT));
        self.ineffective_decreases = if effective {
            0
        } else {
            self.ineffective_decreases + 1
        };
        if self.ineffective_decreases >= MAX_INEFFECTIVE_DECREASES {
            self.fraction = 1.0;
            self.mean_before_decrease = None;
            self.ineffective_decreases = 0;
            self.no_decrease_before = now + LIFTED_TERM;
            return;
        }
        self.mean_before_decrease = Some(mean);
        self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
    }
}
