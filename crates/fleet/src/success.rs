//! Success rates of hosts, each compared with the others.
//!
//! Sized for hosts that fail requests at once while their health checks pass. A fault that all
//! hosts share, such as a network that loses answers, makes none of them an outlier.

use std::time::Instant;

use crate::rate::Rate;

/// A host that serves less than this part of what the others serve of theirs is an outlier.
const MIN_SUCCESS_RATIO: f64 = 0.8;

/// Requests of a host that were served and that failed lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuccessRate {
    served: Rate,
    failed: Rate,
}

impl SuccessRate {
    /// Notes a request that was served.
    pub fn on_served(&mut self, now: Instant) {
        self.served.on_event(now);
    }

    /// Notes a request that failed.
    pub fn on_failed(&mut self, now: Instant) {
        self.failed.on_event(now);
    }

    /// Whether the host serves clearly less of its requests than the others do of theirs.
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

/// The part that was served; 1 where nothing is known.
fn ratio((served, failed): (f64, f64)) -> f64 {
    let all = served + failed;
    if all > 0.0 { served / all } else { 1.0 }
}
