//! Request rates that hosts in need name, as known to one node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::catalog::Millionths;

/// Relative difference up to which two limits count as the same. A host that computes its limit anew
/// for each answer would otherwise be news to all nodes with each answer.
const TOLERANCE: f64 = 0.1;
/// How long a lifted limit is remembered, so that an older observation that arrives late has no
/// effect.
const LIFTED_TTL: Duration = Duration::from_secs(60);

value! {
    /// What a host's answer said of its limit.
    pub struct LimitObservation {
        /// The host.
        pub host: HostId,
        /// Requests per second from all nodes together; `None` if it names no limit any more.
        pub limit: Option<Millionths>,
        /// Time since the answer.
        pub age: Duration,
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<Millionths>,
    observed_at: Instant,
}

/// The newest limit of each host that names one.
#[derive(Clone, Debug, Default)]
pub struct HostLimits {
    hosts: BTreeMap<HostId, Known>,
}

impl HostLimits {
    /// The limit of a host, in requests per second from all nodes together.
    pub fn limit(&self, host: &str) -> Option<Millionths> {
        self.hosts.get(host)?.limit
    }

    /// Number of hosts that name a limit.
    pub fn limited(&self) -> usize {
        self.hosts.values().filter(|k| k.limit.is_some()).count()
    }

    /// Handles an answer of a host, which named `limit`. Returns whether that is news.
    pub fn observe(&mut self, host: &HostId, limit: Option<Millionths>, now: Instant) -> bool {
        let known = self.limit(host);
        if is_similar(known, limit) {
            return false;
        }
        self.insert(host, limit, now);
        true
    }

    /// Merges another node's observation. Returns whether it is newer than the known one.
    pub fn merge(&mut self, observation: &LimitObservation, now: Instant) -> bool {
        let observed_at = now.checked_sub(observation.age).unwrap_or(now);
        let known = self.hosts.get(&observation.host);
        if known.is_some_and(|k| k.observed_at >= observed_at) {
            return false;
        }
        self.insert(&observation.host, observation.limit, observed_at);
        true
    }

    fn insert(&mut self, host: &HostId, limit: Option<Millionths>, observed_at: Instant) {
        self.hosts
            .insert(host.clone(), Known { limit, observed_at });
    }

    /// What is known of a host.
    pub fn observation(&self, host: &HostId, now: Instant) -> Option<LimitObservation> {
        let known = self.hosts.get(host)?;
        Some(LimitObservation {
            host: host.clone(),
            limit: known.limit,
            age: now.saturating_duration_since(known.observed_at),
        })
    }

    /// The hosts of which something is known.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys()
    }

    /// Forgets hosts that aren't in `listed`, and limits that were lifted long ago.
    pub fn prune(&mut self, listed: &BTreeSet<&HostId>, now: Instant) {
        self.hosts.retain(|host, known| {
            let age = now.saturating_duration_since(known.observed_at);
            listed.contains(host) && (known.limit.is_some() || age < LIFTED_TTL)
        });
    }
}

fn is_similar(a: Option<Millionths>, b: Option<Millionths>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a.get() - b.get()).abs() <= TOLERANCE * a.get().max(b.get()),
        (a, b) => a == b,
    }
}
