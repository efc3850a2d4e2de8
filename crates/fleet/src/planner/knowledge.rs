//! What a planner knows of hosts, and from whom.
//!
//! The list of hosts is late, and shows hosts that can't reach the store as they were. A
//! host's own word is newer, unless it comes from another host at its address. A host that
//! left an order unanswered may carry it out seconds later.

use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;

use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::Planner;

/// Orders without an answer are carried out up to 12 s later; some reserve.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);
/// An answer of a host counts as its present state for this long: the planner acts within
/// a few milliseconds of it, and of a hundred late orders one at most falls in between.
const REPORT_TTL: Duration = Duration::from_millis(100);
/// A host that gave no answer this often in a row counts as silent.
const MAX_UNANSWERED: u32 = 2;

/// What is remembered of a host that gives no answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// Its start when that was noticed.
    pub(super) born_ms: u64,
    /// Whether it has been listed ever since.
    pub(super) listed: bool,
}

/// A host's last answer to a question.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    /// Its start.
    pub(super) born_ms: u64,
    pub(super) at: Instant,
}

impl Planner {
    /// Notes that a host gives no answer though others do.
    pub fn mark_silent(&mut self, host: &HostId, fleet: &Fleet) {
        let entry = fleet.host(host);
        let silence = Silence {
            born_ms: entry.map_or(0, |h| h.started_ms),
            listed: entry.is_some(),
        };
        self.silent.entry(host.clone()).or_insert(silence);
    }

    /// Takes a host's answer to a question: the host as it now says it is. `false` where
    /// another host must have answered, so that nothing is to be concluded from it.
    pub fn on_report(&mut self, report: &Host, fleet: &Fleet, now: Instant) -> bool {
        if !self.is_from_same_host(report, fleet) {
            self.on_unanswered(&report.id, fleet);
            return false;
        }
        if !self.is_taking_over(now) {
            let asked = LastReport {
                born_ms: report.started_ms,
                at: now,
            };
            self.last_reports.insert(report.id.clone(), asked);
        }
        self.silent.remove(&report.id);
        self.unanswered_counts.remove(&report.id);
        self.pending_queries.remove(&report.id);
        true
    }

    /// Whether an answer fits the host that was asked.
    ///
    /// A host that crashed starts again under another name at its address, while its old
    /// entry stands, and hosts tell who asks what they are without a look at whom was
    /// asked for. Its new self may be a member already. Taken for the old one's word, the
    /// replica would seem to have a member more, or one to be ready that never was.
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

    /// Notes that a host was not reached or did not answer a question.
    pub fn on_unanswered(&mut self, host: &HostId, fleet: &Fleet) {
        let count = self.unanswered_counts.entry(host.clone()).or_default();
        *count += 1;
        if *count >= MAX_UNANSWERED {
            self.mark_silent(host, fleet);
        }
    }

    /// Whether this planner can tell which replica a host belongs to.
    ///
    /// A host that can't reach the store may have joined a replica for the planner before,
    /// while its entry still shows it free. Given away, it would be torn from a replica
    /// whose head serves. In the first term nobody can have ordered anything before.
    pub(super) fn knows_membership(&self, host: &Host) -> bool {
        self.term <= 1 || self.last_reports.contains_key(&host.id)
    }

    /// Whether a host may have carried out an order that this planner knows nothing of, so
    /// that it has to be asked before it joins anything.
    ///
    /// A host that left carries out an earlier order to join seconds later and is a member
    /// again. Its entry shows that late, and not at all while the store is away.
    pub(super) fn must_query_first(&self, host: &HostId, now: Instant) -> bool {
        let lately = |since: Instant| now.saturating_duration_since(since) < MAX_ORDER_DELAY;
        let by_others = self.term > 1 && lately(self.started_at);
        if !by_others && !self.unconfirmed_orders.contains_key(host) {
            return false;
        }
        let fresh = |a: &LastReport| now.saturating_duration_since(a.at) < REPORT_TTL;
        !self.last_reports.get(host).is_some_and(fresh)
    }
}
