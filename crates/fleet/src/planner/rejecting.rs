//! Replacement of heads that reject requests by another member.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;

use crate::planner::Planner;
use crate::planner::advance::PlanInput;
use crate::planner::formation::{Formation, FormationPhase};

/// How long a head must reject requests before its replica is re-formed. Heads that are only
/// briefly full must not be replaced.
const MIN_REJECTING_TIME: Duration = Duration::from_millis(700);
/// A head that was not reported for this long counts as having accepted requests again.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);
/// How long a host that rejected requests is not chosen as head if there are other members.
const UNFIT_HEAD_PERIOD: Duration = Duration::from_secs(10);

/// Hosts that schedulers report as rejecting requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RejectingHosts {
    hosts: BTreeMap<HostId, RejectionSpan>,
}

/// First and last report of a host in an uninterrupted series.
#[derive(Clone, Copy, Debug)]
struct RejectionSpan {
    first: Instant,
    last: Instant,
}

impl RejectingHosts {
    fn record(&mut self, host: &HostId, now: Instant) {
        let known = self.hosts.get(host).copied();
        let unbroken = known.filter(|s| now.saturating_duration_since(s.last) < MAX_REPORT_GAP);
        let first = unbroken.map_or(now, |s| s.first);
        self.hosts
            .insert(host.clone(), RejectionSpan { first, last: now });
    }

    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.hosts
            .retain(|_, s| now.saturating_duration_since(s.last) < UNFIT_HEAD_PERIOD);
    }

    /// Whether a host has rejected requests for too long to be a head.
    pub(super) fn is_unfit_head(&self, host: &str) -> bool {
        let span = self.hosts.get(host);
        span.is_some_and(|s| s.last.saturating_duration_since(s.first) >= MIN_REJECTING_TIME)
    }

    fn rejects_now(&self, host: &str, now: Instant) -> bool {
        let span = self.hosts.get(host);
        let recent = span.is_some_and(|s| now.saturating_duration_since(s.last) < MAX_REPORT_GAP);
        recent && self.is_unfit_head(host)
    }
}

impl Planner {
    /// Records that a head rejects all requests although it has free slots.
    pub fn on_head_rejecting(&mut self, head: &HostId, now: Instant) {
        self.rejecting.record(head, now);
    }

    /// Whether a replica should be re-formed with another head.
    ///
    /// Only one replica at a time per fabric domain: if all heads reject for a shared reason, the
    /// others continue with the requests that they accept.
    pub(super) fn needs_another_head(&self, f: &Formation, input: &PlanInput<'_>) -> bool {
        let Some(head) = f
            .head()
            .filter(|h| self.rejecting.rejects_now(h, input.now))
        else {
            return false;
        };
        let mut others = f.members.iter().filter(|m| *m != head);
        let is_fit =
            |m: &HostId| !self.rejecting.is_unfit_head(m) && self.loss_of(m, input.fleet).is_none();
        let given_up = |o: &Formation| {
            o.fabric == f.fabric
                && matches!(
                    o.phase,
                    FormationPhase::Draining | FormationPhase::Dissolving
                )
        };
        others.any(is_fit) && !self.formations.values().any(given_up)
    }
}
