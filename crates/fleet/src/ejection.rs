//! Outlier ejection of hosts that reject requests.
//!
//! A host that rejects at once has no requests and looks like the emptiest of all, so that it
//! would be sent most of them. Sized for hosts that reject a part of their requests, or all of
//! them for seconds, while their health checks pass.

use std::time::{Duration, Instant};

/// How long a host that rejected a request gets none. Doubles while it accepts nothing.
const EJECTION_PERIOD: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(1);
/// For this long after a rejection a host gets only what no other has room for.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// What a host's rejections say of it.
///
/// After a rejection it is ejected for a while. Then it may have one request at a time until it
/// accepts one, and one more with each that it accepts.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    /// Requests that it may have without having accepted them; `None` for any number.
    limit: Option<usize>,
    ejected_until: Option<Instant>,
    suspected_until: Option<Instant>,
    /// The last time for which it was ejected; `None` once it has accepted a request since.
    period: Option<Duration>,
}

impl Ejection {
    /// Notes that it rejected a request that was sent at `sent`.
    pub fn rejected(&mut self, sent: Instant, now: Instant) {
        if self.is_outdated(sent) {
            return;
        }
        let period = self.period.map_or(EJECTION_PERIOD, |p| {
            p.saturating_mul(2).min(MAX_EJECTION_PERIOD)
        });
        self.period = Some(period);
        self.limit = Some(1);
        self.ejected_until = Some(now + period);
        self.suspected_until = Some(now + SUSPICION_PERIOD);
    }

    /// Notes that it accepted a request that was sent at `sent`. `slots` is what it runs at once.
    pub fn accepted(&mut self, sent: Instant, slots: usize) {
        if self.is_outdated(sent) {
            return;
        }
        self.period = None;
        self.limit = self.limit.map(|l| l + 1).filter(|l| *l <= slots);
    }

    /// Whether it may get a request while it has `unaccepted` that it has not yet accepted.
    pub fn admits(&self, unaccepted: usize, now: Instant) -> bool {
        !self.is_ejected(now) && self.limit.is_none_or(|limit| unaccepted < limit)
    }

    /// Requests that it may have without having accepted them; `None` for any number.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Whether it gets nothing.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it gets only what no other has room for.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Requests of before the last ejection say nothing of the host since.
    fn is_outdated(&self, sent: Instant) -> bool {
        self.ejected_until.is_some_and(|until| sent < until)
    }
}
