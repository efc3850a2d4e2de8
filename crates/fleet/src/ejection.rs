//! Outlier ejection of hosts that reject requests.
//!
//! A host that rejects at once has no requests and looks like the emptiest of all, so that it
//! would be sent most of them. Sized for hosts that reject a part of their requests, or all of
//! them for seconds, while their health checks pass.

use std::time::{Duration, Instant};

/// Single requests in a row that a host rejects before it is ejected.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 3;
/// How long it is ejected. Doubles while it accepts nothing.
const EJECTION_PERIOD: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(1);
/// For this long after a rejection a host gets only what no other has room for.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// What a host's rejections say of it.
///
/// Additive increase, multiplicative decrease: each rejection halves the requests that it may have
/// without having accepted them, each accepted request adds one. A host that goes on to reject
/// single requests is ejected for a while.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    /// Requests that it may have without having accepted them; `None` for any number.
    limit: Option<usize>,
    /// Single requests that it has rejected in a row.
    consecutive_rejections: u32,
    suspected_until: Option<Instant>,
    backoff: EjectionBackoff,
}

/// Times for which a host gets nothing, each twice as long as the one before while it accepts
/// nothing.
#[derive(Clone, Debug, Default)]
pub struct EjectionBackoff {
    until: Option<Instant>,
    /// The last time for which it was ejected; `None` once it has accepted a request since.
    period: Option<Duration>,
}

impl EjectionBackoff {
    /// Ejects the host for a rejection of a request that was sent at `sent`.
    pub fn eject(&mut self, sent: Instant, now: Instant) {
        if self.is_outdated(sent) {
            return;
        }
        let period = self.period.map_or(EJECTION_PERIOD, |p| {
            p.saturating_mul(2).min(MAX_EJECTION_PERIOD)
        });
        self.period = Some(period);
        self.until = Some(now + period);
    }

    /// Notes that it accepted a request that was sent at `sent`.
    pub fn accepted(&mut self, sent: Instant) {
        if !self.is_outdated(sent) {
            self.period = None;
        }
    }

    /// Whether the host may be tried.
    pub fn is_due(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Whether it was ejected and has accepted nothing since.
    pub fn is_ejected(&self) -> bool {
        self.period.is_some()
    }

    /// Requests of before the last ejection say nothing of the host since.
    fn is_outdated(&self, sent: Instant) -> bool {
        self.until.is_some_and(|until| sent < until)
    }
}

impl Ejection {
    /// Notes that it rejected a request that was sent at `sent`, one of `unaccepted` that it had
    /// not yet accepted.
    pub fn rejected(&mut self, sent: Instant, unaccepted: usize, now: Instant) {
        if self.backoff.is_outdated(sent) {
            return;
        }
        self.suspected_until = Some(now + SUSPICION_PERIOD);
        if self.limit != Some(1) {
            let limit = self.limit.map_or(unaccepted, |limit| limit.min(unaccepted));
            self.limit = Some((limit / 2).max(1));
            return;
        }
        self.consecutive_rejections += 1;
        if self.consecutive_rejections < MAX_CONSECUTIVE_REJECTIONS {
            return;
        }
        self.backoff.eject(sent, now);
    }

    /// Notes that it accepted a request that was sent at `sent`. `slots` is what it runs at once.
    pub fn accepted(&mut self, sent: Instant, slots: usize) {
        if self.backoff.is_outdated(sent) {
            return;
        }
        self.backoff.accepted(sent);
        self.consecutive_rejections = 0;
        self.limit = self.limit.map(|l| l + 1).filter(|l| *l <= slots);
    }

    /// Whether it may get a request while it has `unaccepted` that it has not yet accepted.
    pub fn admits(&self, unaccepted: usize, now: Instant) -> bool {
        self.backoff.is_due(now) && self.limit.is_none_or(|limit| unaccepted < limit)
    }

    /// Whether it was ejected and has accepted nothing since.
    pub fn is_ejected(&self) -> bool {
        self.backoff.is_ejected()
    }

    /// Whether it gets only what no other has room for.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}
