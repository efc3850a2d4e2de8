//! Keeps the limits that hosts name, at the node that decides on all requests to a host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::catalog::Millionths;

/// Fraction of a limit that is used. The rest is a margin for times at which nodes disagree about
/// which of them keeps it.
const UTILIZATION_RATIO: f64 = 0.9;
/// Minimum rate that is used, in requests per second: only a host's answers show that it has lifted
/// its limit.
const MIN_RATE: f64 = 0.25;
/// Time over which unused requests add up, if they are more than one.
const BURST: Duration = Duration::from_millis(500);
/// Longest Retry-After.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of hosts whose limits one node keeps; the one used longest ago is dropped first.
const MAX_HOSTS: usize = 2048;

/// The rate that is used of a limit, in requests per second.
pub(crate) fn usable_rate(limit: Millionths) -> f64 {
    (limit.get() * UTILIZATION_RATIO).max(MIN_RATE)
}

/// Token bucket of one host. Empty at first: another node may just have used the limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(now: Instant) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Tokens at `now`.
    pub(crate) fn tokens(&self, limit: Millionths, now: Instant) -> f64 {
        let rate = usable_rate(limit);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + rate * elapsed).min((rate * BURST.as_secs_f64()).max(1.0))
    }

    /// Time until there is a token.
    fn available_in(&self, limit: Millionths, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens(limit, now)).max(0.0);
        Duration::from_secs_f64(missing / usable_rate(limit))
    }

    /// Takes a token; `false` if there is none.
    pub(crate) fn take(&mut self, limit: Millionths, now: Instant) -> bool {
        let tokens = self.tokens(limit, now);
        let is_permitted = tokens >= 1.0;
        self.tokens = if is_permitted { tokens - 1.0 } else { tokens };
        self.updated_at = now;
        is_permitted
    }
}

/// Times at which rejected requests may come back, so that they come at the rate that is served.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryTimes {
    last: Option<Instant>,
}

impl RetryTimes {
    /// The Retry-After of one more request, of which `rate` per second are served.
    pub(crate) fn next(&mut self, rate: f64, now: Instant) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / rate.max(MIN_RATE));
        let last = self.last.map_or(now, |last| last.max(now));
        let next = (last + gap).min(now + MAX_RETRY_AFTER);
        self.last = Some(next);
        next.saturating_duration_since(now)
    }
}

#[derive(Clone, Copy, Debug)]
struct LimitedHost {
    bucket: TokenBucket,
    retry_times: RetryTimes,
    used_at: Instant,
}

value! { copy
    /// Why a request may not be sent to a host now.
    pub struct LimitReached {
        /// Time until the host takes a request again.
        pub available_in: Duration,
        /// Retry-After for the request's caller, by when those that were rejected before it have
        /// been served.
        pub retry_after: Duration,
    }
}

/// Permits the requests of all nodes to plain hosts that name limits.
#[derive(Clone, Debug, Default)]
pub struct RequestPermits {
    hosts: BTreeMap<HostId, LimitedHost>,
}

impl RequestPermits {
    /// Permits one request to a host that named `limit`.
    ///
    /// # Errors
    /// If the limit is used up.
    pub fn request(
        &mut self,
        host: &HostId,
        limit: Millionths,
        now: Instant,
    ) -> Result<(), LimitReached> {
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(host) {
            let oldest = self.hosts.iter().min_by_key(|(_, h)| h.used_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.hosts.remove(&oldest);
            }
        }
        let limited = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| LimitedHost {
                bucket: TokenBucket::new(now),
                retry_times: RetryTimes::default(),
                used_at: now,
            });
        limited.used_at = now;
        if limited.bucket.take(limit, now) {
            Ok(())
        } else {
            Err(LimitReached {
                available_in: limited.bucket.available_in(limit, now),
                retry_after: limited.retry_times.next(usable_rate(limit), now),
            })
        }
    }
}
