//! Tracks which hosts respond and how current their reported membership is.
//!
//! The host list lags, and shows stale entries of hosts that can't reach the store. A host's own
//! report is newer, unless another host at its address answered. A host that did not answer an
//! order may execute it seconds later.

use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;

use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::Planner;
use crate::planner::formation::{Formation, FormationPhase, Purpose};
use crate::suspicion::MAX_SILENCE;

/// Unanswered orders are executed up to 12 s later; the rest is a margin.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);
/// How long a host's report counts as its current state. The planner acts within a few
/// milliseconds of it, and at most one of a hundred late orders falls in between.
const REPORT_TTL: Duration = Duration::from_millis(100);
/// Consecutive unanswered messages after which a host counts as silent.
const MAX_UNANSWERED: u32 = 2;

/// State of a host that does not respond.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// Its start time when it was marked silent.
    pub(super) born_ms: u64,
    /// Whether it has been listed without a break since then.
    pub(super) listed: bool,
}

/// Consecutive messages to a host without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    count: u32,
    /// When the first of them was given up, unless it had long passed before the next.
    since: Instant,
    /// When the last of them was given up.
    last: Instant,
}

/// A host's last answer to a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    /// Its start time.
    pub(super) born_ms: u64,
    pub(super) at: Instant,
}

impl Planner {
    /// Marks a host as silent, because it does not respond while others do.
    pub fn mark_silent(&mut self, host: &HostId, fleet: &Fleet) {
        let entry = fleet.host(host);
        let silence = Silence {
            born_ms: entry.map_or(0, |h| h.started_ms),
            listed: entry.is_some(),
        };
        self.silent.entry(host.clone()).or_insert(silence);
    }

    /// Whether a host counts as silent.
    pub fn is_silent(&self, host: &str) -> bool {
        self.silent.contains_key(host)
    }

    /// Handles a host's answer to a query. Returns `false` if another host must have answered, in
    /// which case the report is to be ignored.
    pub fn on_report(&mut self, report: &Host, fleet: &Fleet, now: Instant) -> bool {
        if !self.is_from_same_host(report, fleet) {
            if self.count_unanswered(&report.id, now).count >= MAX_UNANSWERED {
                self.mark_silent(&report.id, fleet);
            }
            return false;
        }
        if self.is_taking_over(now) {
            self.early_reports.insert(report.id.clone());
        } else {
            let asked = LastReport {
                born_ms: report.started_ms,
                at: now,
            };
            self.last_reports.insert(report.id.clone(), asked);
        }
        self.silent.remove(&report.id);
        self.unanswered.remove(&report.id);
        self.pending_queries.remove(&report.id);
        true
    }

    /// Records that a host has begun no order since its start.
    pub fn on_unordered(&mut self, report: &Host) {
        self.unordered.insert(report.id.clone(), report.started_ms);
    }

    /// Whether a report can come from the host that was queried.
    ///
    /// A crashed host restarts under another name at the same address while its old entry remains,
    /// and hosts answer queries without checking which host is addressed. The restarted host may
    /// already be a member. Attributed to the old host, its report would add a member to the
    /// replica, or mark one ready that never was.
    fn is_from_same_host(&self, report: &Host, fleet: &Fleet) -> bool {
        let Some(m) = &report.membership else {
            return true;
        };
        let known = self.formations.get(&m.replica);
        if let Some(f) = known.filter(|f| f.epoch == m.epoch && f.loss.is_none()) {
            return f.members.get(m.rank) == Some(&report.id);
        }
        let is_rank = |h: &Host| h.membership.as_ref().is_some_and(|o| o.rank == m.rank);
        let has_part = |h: &Host| h.belongs_to(&m.replica, m.epoch) && is_rank(h);
        !fleet.hosts().any(|h| h.id != report.id && has_part(h))
    }

    /// Records that a host was unreachable or did not answer a query.
    ///
    /// A member of a replica that may serve is queried again until it has been silent for
    /// [`MAX_SILENCE`]: sound hosts fall silent for a moment.
    pub fn on_unanswered(&mut self, host: &HostId, fleet: &Fleet, now: Instant) {
        let unanswered = self.count_unanswered(host, now);
        if unanswered.count < MAX_UNANSWERED {
            return;
        }
        let is_long = now.saturating_duration_since(unanswered.since) >= MAX_SILENCE;
        if is_long || !self.may_serve(host) {
            self.mark_silent(host, fleet);
        } else {
            self.pending_queries.insert(host.clone());
        }
    }

    fn count_unanswered(&mut self, host: &HostId, now: Instant) -> Unanswered {
        let first = Unanswered {
            count: 0,
            since: now,
            last: now,
        };
        let unanswered = self.unanswered.entry(host.clone()).or_insert(first);
        // Between messages that are far apart it may have been sound.
        if now.saturating_duration_since(unanswered.last) >= MAX_SILENCE {
            unanswered.since = now;
        }
        unanswered.count += 1;
        unanswered.last = now;
        *unanswered
    }

    fn may_serve(&self, host: &HostId) -> bool {
        let serving =
            |f: &Formation| f.purpose == Purpose::Serve && f.phase == FormationPhase::Open;
        self.formation_of(host).is_some_and(serving)
    }

    /// Whether this planner knows which replica a host belongs to.
    ///
    /// A host that can't reach the store may have joined a replica of the previous planner while
    /// its entry still shows it free. Reassigned, it would be taken from a replica whose head
    /// serves. In the first term there was no previous planner.
    pub(super) fn knows_membership(&self, host: &Host) -> bool {
        self.term <= 1 || self.last_reports.contains_key(&host.id)
    }

    /// Whether a host may have executed an order without this planner knowing, so that it has to be
    /// queried before it joins anything.
    ///
    /// A host that left may execute an earlier order to join seconds later and become a member
    /// again. Its entry shows that late, and not at all during a store outage.
    pub(super) fn must_query_first(&self, host: &HostId, now: Instant) -> bool {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < MAX_ORDER_DELAY;
        let by_others = self.term > 1 && is_recent(self.started_at);
        if !by_others && !self.unconfirmed_orders.contains_key(host) {
            return false;
        }
        let fresh = |a: &LastReport| now.saturating_duration_since(a.at) < REPORT_TTL;
        !self.last_reports.get(host).is_some_and(fresh)
    }
}
