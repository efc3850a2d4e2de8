//! Outlier ejection of hosts that reject requests.
//!
//! A host that rejects immediately has no running requests and looks like the least loaded one, so
//! it would receive most requests. Designed for hosts that reject some of their requests, or all
//! of them for seconds, while their health checks pass.

use std::time::{Duration, Instant};

/// Consecutive rejections after which a host whose limit is one request is ejected.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 3;
/// First ejection period. Doubles for each further ejection until the host accepts a request.
const EJECTION_PERIOD: Duration = Duration::from_millis(250);
/// Longest ejection period.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(1);
/// For this long after a rejection a host gets only requests that no other host has room for.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Concurrency limit and ejection state of a host, based on its rejections.
///
/// The limit on requests that the host has not accepted yet follows additive increase,
/// multiplicative decrease: each rejection halves it, each accepted request adds one. A host that
/// still rejects requests at a limit of one is ejected for a while.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    /// Maximum number of requests not accepted yet; `None` for no limit.
    limit: Option<usize>,
    /// Consecutive rejections at a limit of one.
    consecutive_rejections: u32,
    suspected_until: Option<Instant>,
    backoff: EjectionBackoff,
}

/// Exponential backoff of a host's ejections. The period doubles until the host accepts a request.
#[derive(Clone, Debug, Default)]
pub struct EjectionBackoff {
    until: Option<Instant>,
    /// The last ejection period; `None` once the host has accepted a request since.
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

    /// Records that the host accepted a request that was sent at `sent`.
    pub fn accepted(&mut self, sent: Instant) {
        if !self.is_outdated(sent) {
            self.period = None;
        }
    }

    /// Whether the ejection period has passed, so that the host may be tried.
    pub fn is_due(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Whether it was ejected and has accepted nothing since.
    pub fn is_ejected(&self) -> bool {
        self.period.is_some()
    }

    /// Whether a request was sent before the last ejection ended, so that its outcome doesn't
    /// reflect the host's current state.
    fn is_outdated(&self, sent: Instant) -> bool {
        self.until.is_some_and(|until| sent < until)
    }
}

impl Ejection {
    /// Records that the host rejected a request that was sent at `sent`, one of `unaccepted` that
    /// it had not accepted yet.
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

    /// Records that the host accepted a request that was sent at `sent`. `slots` is its maximum
    /// number of concurrent requests.
    pub fn accepted(&mut self, sent: Instant, slots: usize) {
        if self.backoff.is_outdated(sent) {
            return;
        }
        self.backoff.accepted(sent);
        self.consecutive_rejections = 0;
        self.limit = self.limit.map(|l| l + 1).filter(|l| *l <= slots);
    }

    /// Whether the host may get a request while it has not accepted `unaccepted` others yet.
    pub fn admits(&self, unaccepted: usize, now: Instant) -> bool {
        self.backoff.is_due(now) && self.limit.is_none_or(|limit| unaccepted < limit)
    }

    /// Whether it was ejected and has accepted nothing since.
    pub fn is_ejected(&self) -> bool {
        self.backoff.is_ejected()
    }

    /// Whether it gets only requests that no other host has room for.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}
