//! Slow start of cold hosts: for some seconds after a start they are slow, and crash under load.
//!
//! Designed for a failure domain whose hosts all come back at once under full traffic. The limit
//! on a cold host's request rate applies to all nodes together. A scheduler, which assigns all
//! requests of a head, counts its grants ([`GrantWindow`]); a node that chooses hosts by itself
//! uses its share of the limit ([`ColdRateLimiter`]).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::catalog::Millionths;

/// Sliding window of the limit on a cold host's requests.
const WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the limit that all nodes without a scheduler use together. They send independently,
/// so their total varies.
const SHARED_RATIO: f64 = 0.5;
/// Fraction of the limit that a scheduler uses in its first [`WINDOW`], since the previous
/// scheduler may have used all of it just before.
const SUCCESSOR_RATIO: f64 = 0.5;

value! { copy
    /// Limits of a service's hosts after a start.
    pub struct ColdStart {
        /// How long they are cold.
        pub duration: Duration,
        /// Requests per second that a cold host can handle.
        pub max_rate: Millionths,
    }
}

impl ColdStart {
    /// Requests that a scheduler may send to one host within [`WINDOW`].
    pub(crate) fn grants(&self, started_at: Instant, now: Instant) -> usize {
        let is_successor = now.saturating_duration_since(started_at) < WINDOW;
        let ratio = if is_successor { SUCCESSOR_RATIO } else { 1.0 };
        if self.max_rate.count() == 0 {
            return 0;
        }
        (self.max_rate.get() * ratio).floor().max(1.0) as usize
    }
}

/// Times of a head's recent grants.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantWindow {
    /// Invariant: sorted; those older than [`WINDOW`] are removed at the next grant.
    grants: VecDeque<Instant>,
}

impl GrantWindow {
    pub(crate) fn on_grant(&mut self, now: Instant) {
        while self
            .grants
            .pop_front_if(|at| is_expired(*at, now))
            .is_some()
        {}
        self.grants.push_back(now);
    }

    /// Number of grants within [`WINDOW`].
    pub(crate) fn count(&self, now: Instant) -> usize {
        let recent = self.grants.iter().rev();
        recent.take_while(|at| !is_expired(**at, now)).count()
    }
}

fn is_expired(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) >= WINDOW
}

/// One node's share of the request rates of cold hosts: a token bucket of size one per host.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    /// Tokens by host, and when they were last updated.
    tokens: BTreeMap<HostId, (f64, Instant)>,
}

impl ColdRateLimiter {
    /// Whether this node, one of `nodes`, may send a request to a cold host now.
    ///
    /// `draw` is the initial fill of a host's bucket: a random number in [0, 1), drawn
    /// independently by each node.
    pub fn may_send(
        &mut self,
        host: &HostId,
        cold: &ColdStart,
        nodes: usize,
        draw: f64,
        now: Instant,
    ) -> bool {
        let rate = cold.max_rate.get() * SHARED_RATIO / nodes.max(1) as f64;
        let (tokens, at) = self.tokens.entry(host.clone()).or_insert((draw, now));
        let refill = rate * now.saturating_duration_since(*at).as_secs_f64();
        *tokens = (*tokens + refill).min(1.0);
        *at = now;
        *tokens >= 1.0
    }

    /// Records that a request was sent to a cold host.
    pub fn on_sent(&mut self, host: &HostId) {
        if let Some((tokens, _)) = self.tokens.get_mut(host) {
            *tokens -= 1.0;
        }
    }

    /// Removes hosts that can't be cold any more, since no request was considered for them for the
    /// whole duration.
    pub fn remove_warm(&mut self, cold: &ColdStart, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < cold.duration;
        self.tokens.retain(|_, (_, at)| is_recent(at));
    }
}
