//! What hosts say of themselves in their answers, as known to one node.
//!
//! A host in need names the requests per second that it takes from all nodes together, and one that
//! shuts down says that it leaves: both bind all nodes. A host that rejects a request may ask the
//! node that sent it for rest, which binds that node alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};
use smallvec::SmallVec;

use crate::catalog::Millionths;

/// Relative difference up to which two limits count as the same. A host that computes its limit anew
/// for each answer would otherwise be news to all nodes with each answer.
const TOLERANCE: f64 = 0.1;
/// How long a lifted limit is remembered, so that an older observation that arrives late has no
/// effect.
const LIFTED_TTL: Duration = Duration::from_secs(60);
/// Rest of a host that asks for a shorter one, or names none that can be used: one that rejects
/// immediately has no running requests and looks like the least loaded host.
const MIN_REST: Duration = Duration::from_millis(250);
/// Longest rest. Only an answer shows that the host has recovered.
const MAX_REST: Duration = Duration::from_secs(600);
/// Interval between two notices of a host that asks for rest again and again.
const REST_NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest Retry-After while hosts rest: other hosts may start.
const MAX_REST_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Minimum time over which the callers that are rejected during a rest return.
const MIN_RETURN_SPREAD: Duration = Duration::from_secs(2);
/// Multiples of it, without their integer parts, fill the interval from 0 to 1 evenly; random
/// numbers come in clusters.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

value! {
    /// What a host's answers said that binds all nodes.
    pub struct HostObservation {
        /// The host.
        pub host: HostId,
        /// Requests per second from all nodes together; `None` if it names no limit any more.
        pub limit: Option<Millionths>,
        /// Start time of the host in milliseconds if that start of it said that it leaves.
        pub leaving: Option<u64>,
        /// Time since the answer that named the limit or none.
        pub age: Duration,
    }
}

value! { copy
    /// The rest for which a host asks.
    pub struct RequestedRest {
        /// How long it wants nothing from this node.
        pub duration: Duration,
        /// Whether that is a bound, since the host named a longer time or none that can be read.
        pub is_bounded: bool,
    }
}

impl RequestedRest {
    /// Parses times in seconds, of which the longest counts. `None` if there is no value.
    pub fn parse<'v>(values: impl IntoIterator<Item = &'v str>) -> Option<RequestedRest> {
        let values: SmallVec<[&str; 2]> = values.into_iter().flat_map(|v| v.split(',')).collect();
        if values.is_empty() {
            return None;
        }
        let seconds = values.iter().filter_map(|v| v.trim().parse::<f64>().ok());
        let longest = seconds
            .filter(|s| s.is_finite() && *s >= 0.0)
            .reduce(f64::max);
        let max = MAX_REST.as_secs_f64();
        let duration = Duration::from_secs_f64(longest.unwrap_or_default().min(max));
        Some(RequestedRest {
            duration: duration.max(MIN_REST),
            is_bounded: longest.is_none_or(|s| s > max),
        })
    }
}

/// Spreads the times at which callers return that were rejected while all hosts rested.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    /// Part of the spread that the last caller got.
    position: f64,
}

impl ReturnTimes {
    /// Begins at `position`, from 0 to 1, by which nodes differ.
    pub fn new(position: f64) -> ReturnTimes {
        ReturnTimes { position }
    }

    /// The Retry-After of one more request, if the first of its hosts rests for `remaining` more.
    pub fn next(&mut self, remaining: Duration) -> Duration {
        let wait = remaining.min(MAX_REST_RETRY_AFTER);
        self.position = (self.position + GOLDEN_RATIO).fract();
        wait + (wait / 2).max(MIN_RETURN_SPREAD).mul_f64(self.position)
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<Millionths>,
    /// Start time of the host in milliseconds if that start of it said that it leaves.
    leaving: Option<u64>,
    observed_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    noticed_at: Instant,
}

/// The newest limit of each host that names one, and the hosts that leave or rest.
#[derive(Clone, Debug, Default)]
pub struct HostSignals {
    hosts: BTreeMap<HostId, Known>,
    rests: BTreeMap<HostId, Rest>,
}

impl HostSignals {
    /// The limit of a host, in requests per second from all nodes together.
    pub fn limit(&self, host: &str) -> Option<Millionths> {
        self.hosts.get(host)?.limit
    }

    /// Number of hosts that name a limit.
    pub fn limited(&self) -> usize {
        self.hosts.values().filter(|k| k.limit.is_some()).count()
    }

    /// Handles a host's answer that asks this node for rest. Returns whether that is news.
    pub fn on_rest(&mut self, host: &HostId, rest: RequestedRest, now: Instant) -> bool {
        let until = now + rest.duration;
        let Some(known) = self.rests.get_mut(host) else {
            let noticed_at = now;
            self.rests.insert(host.clone(), Rest { until, noticed_at });
            return true;
        };
        // A request that was sent before the rest may be rejected later, for a shorter one.
        let is_news = now >= known.until
            && now.saturating_duration_since(known.noticed_at) >= REST_NOTICE_INTERVAL;
        known.until = known.until.max(until);
        if is_news {
            known.noticed_at = now;
        }
        is_news
    }

    /// How long a host still rests; `None` if it doesn't.
    pub fn rest(&self, host: &str, now: Instant) -> Option<Duration> {
        let rest = self.rests.get(host)?.until.checked_duration_since(now)?;
        (!rest.is_zero()).then_some(rest)
    }

    /// Number of hosts that rest.
    pub fn resting(&self, now: Instant) -> usize {
        self.rests.values().filter(|rest| now < rest.until).count()
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

    /// Handles an answer of a host, which started at `started_ms` and says that it leaves. Returns
    /// whether that is news.
    pub fn on_leaving(&mut self, host: &HostId, started_ms: u64, now: Instant) -> bool {
        let known = self.hosts.entry(host.clone()).or_insert(Known {
            limit: None,
            leaving: None,
            observed_at: now,
        });
        let is_news = known.leaving < Some(started_ms);
        known.leaving = known.leaving.max(Some(started_ms));
        is_news
    }

    /// The hosts that said that they leave, with their start times in milliseconds.
    pub fn leaving(&self) -> impl Iterator<Item = (&HostId, u64)> {
        let hosts = self.hosts.iter();
        hosts.filter_map(|(host, known)| Some((host, known.leaving?)))
    }

    /// Merges another node's observation. Returns whether it is newer than the known one.
    pub fn merge(&mut self, observation: &HostObservation, now: Instant) -> bool {
        let observed_at = now.checked_sub(observation.age).unwrap_or(now);
        let leaves = observation
            .leaving
            .is_some_and(|start| self.on_leaving(&observation.host, start, observed_at));
        let known = self.hosts.get(&observation.host);
        if known.is_some_and(|k| k.observed_at >= observed_at) {
            return leaves;
        }
        self.insert(&observation.host, observation.limit, observed_at);
        true
    }

    fn insert(&mut self, host: &HostId, limit: Option<Millionths>, observed_at: Instant) {
        let known = Known {
            limit,
            leaving: self.hosts.get(host).and_then(|k| k.leaving),
            observed_at,
        };
        self.hosts.insert(host.clone(), known);
    }

    /// What is known of a host.
    pub fn observation(&self, host: &HostId, now: Instant) -> Option<HostObservation> {
        let known = self.hosts.get(host)?;
        Some(HostObservation {
            host: host.clone(),
            limit: known.limit,
            leaving: known.leaving,
            age: now.saturating_duration_since(known.observed_at),
        })
    }

    /// The hosts that name a limit, or did, or leave.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys()
    }

    /// Whether nothing is known of any host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty() && self.rests.is_empty()
    }

    /// Forgets hosts that aren't in `listed`, rests that are over and limits that were lifted long
    /// ago.
    pub fn prune(&mut self, listed: &BTreeSet<&HostId>, now: Instant) {
        self.rests
            .retain(|host, rest| listed.contains(host) && now < rest.until);
        self.hosts.retain(|host, known| {
            let age = now.saturating_duration_since(known.observed_at);
            let is_lasting = known.limit.is_some() || known.leaving.is_some();
            listed.contains(host) && (is_lasting || age < LIFTED_TTL)
        });
    }
}

fn is_similar(a: Option<Millionths>, b: Option<Millionths>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a.get() - b.get()).abs() <= TOLERANCE * a.get().max(b.get()),
        (a, b) => a == b,
    }
}
