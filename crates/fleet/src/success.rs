//! Success-rate outlier detection of hosts.
//!
//! Designed for hosts that fail requests immediately while their health checks pass. A fault that
//! all hosts share, such as a network that loses responses, makes none of them an outlier.

use std::time::Instant;

use crate::rate::Rate;

/// A host is an outlier if its success rate is less than this fraction of the others' rate.
const MIN_SUCCESS_RATIO: f64 = 0.8;

/// Recent rates of successful and failed requests of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuccessRate {
    served: Rate,
    failed: Rate,
}

impl SuccessRate {
    /// Records a successful request.
    pub fn on_served(&mut self, now: Instant) {
        self.served.on_event(now);
    }

    /// Records a failed request.
    pub fn on_failed(&mut self, now: Instant) {
        self.failed.on_event(now);
    }

    /// Whether the host's success rate is clearly lower than that of the others.
    pub fn is_outlier<'o>(
        &self,
        others: impl IntoIterator<Item = &'o SuccessRate>,
        now: Instant,
    ) -> bool {
        let others = others.into_iter();
        let sum = others.fold((0.0, 0.0), |(served, failed), rate| {
            let failed = failed + rate.failed.per_second(now);
            (served + rate.served.per_second(now), failed)
        });
        let own = (self.served.per_second(now), self.failed.per_second(now));
        ratio(own) < ratio(sum) * MIN_SUCCESS_RATIO
    }
}

/// Fraction of successful requests; 1 without any requests.
fn ratio((served, failed): (f64, f64)) -> f64 {
    let all = served + failed;
    if all > 0.0 { served / all } else { 1.0 }
}
