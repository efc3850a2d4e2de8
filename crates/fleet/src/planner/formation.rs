//! Lifecycle of one replica, from the decision to form it until all its hosts are free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FabricDomain, GroupId, HostId, ModelName, ServiceName, value};
use smol_str::SmolStr;

use crate::host::{Host, MembershipPhase};
use crate::planner::order::Order;

value! { copy
    /// Purpose of a formation.
    pub enum Purpose {
        /// Serves requests.
        Serve,
        /// Primes a spare so that it joins a serving formation quickly.
        Prime,
    }

    /// Lifecycle phase of a formation.
    pub enum FormationPhase {
        /// Members are joining.
        Joining,
        /// All members are ready and the head was ordered to open.
        Opening,
        /// The replica serves.
        Open,
        /// The head finishes running requests.
        Draining,
        /// Members are ordered to leave. Invariant: a member joins nothing else until it has left.
        Dissolving,
    }
}

value! {
    /// Why a replica was dissolved.
    pub enum LossReason {
        /// A member does not respond.
        Silent(HostId),
        /// A member is no longer listed.
        Gone(HostId),
        /// A member is leaving.
        Leaving(HostId),
        /// A member reports membership in another replica, or in none.
        Elsewhere(HostId),
        /// A member refused to join.
        Refused(HostId),
        /// Some members are unknown.
        Incomplete,
        /// The head rejects requests.
        Rejects(HostId),
        /// The head reports that it lost a member.
        Broken,
        /// Its hosts replace a lost member of another replica.
        Reclaimed,
        /// Its hosts serve another model from now on.
        Converted,
    }
}

/// How long entries may still show a host as a member after it left: twice their usual delay.
/// If they lag even more, the host is ordered to leave once more.
const ENTRY_DELAY: Duration = Duration::from_millis(500);

/// One replica, as the planner tracks it.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Its name.
    pub id: GroupId,
    /// Its epoch, unique among all formations.
    pub epoch: Epoch,
    /// The service of its hosts.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The fabric domain of its members.
    pub fabric: FabricDomain,
    /// The members; the first is the head.
    pub members: Vec<HostId>,
    /// Its purpose.
    pub purpose: Purpose,
    /// Its phase.
    pub phase: FormationPhase,
    /// When it entered the phase.
    pub since: Instant,
    /// Why it was dissolved.
    pub loss: Option<LossReason>,
    /// Whether it consists of spares that serve until a repair needs them.
    pub reclaimable: bool,
    /// Since when it has been serving with a leaving member.
    pub(crate) leaving_since: Option<Instant>,
    /// Members that accepted the order to join.
    pub(crate) accepted: BTreeSet<HostId>,
    /// Members that did not answer an order to join: they may execute it after having left.
    pub(crate) unconfirmed_joins: BTreeSet<HostId>,
    /// Members that reported ready.
    pub(crate) ready: BTreeSet<HostId>,
    /// Whether an order to open was ever sent: the head may execute it late.
    pub(crate) open_sent: bool,
    /// Each member's start time and address when it was chosen. The address is needed even after
    /// its entry is removed: a host may keep serving for seconds without an entry.
    pub(crate) member_info: BTreeMap<HostId, MemberInfo>,
    /// Members that have left, and when that became known. Invariant: only these and hosts that are
    /// gone or have restarted are assigned to other formations.
    pub(crate) left: BTreeMap<HostId, Instant>,
    /// Members that are unreachable and not listed. They count as members again once they are
    /// listed again: a host that was only partitioned keeps its membership.
    pub(crate) gone: BTreeSet<HostId>,
}

value! {
    /// A member's identity when it was chosen.
    pub(crate) struct MemberInfo {
        pub(crate) born_ms: u64,
        pub(crate) address: SmolStr,
    }
}

impl MemberInfo {
    fn of(host: &Host) -> MemberInfo {
        MemberInfo {
            born_ms: host.started_ms,
            address: host.address.clone(),
        }
    }

    /// Whether the host has restarted since. Entries without a start time don't count as a restart:
    /// that would free a member whose head serves.
    pub(crate) fn has_restarted(&self, host: &Host) -> bool {
        self.born_ms != 0 && host.started_ms != 0 && self.born_ms != host.started_ms
    }
}

impl Formation {
    /// Creates a formation of these hosts, the first of which is the head; `None` without hosts.
    pub(crate) fn new(
        id: GroupId,
        epoch: Epoch,
        model: &ModelName,
        hosts: &[&Host],
        now: Instant,
    ) -> Option<Formation> {
        let head = hosts.first()?;
        let info = |h: &&Host| (h.id.clone(), MemberInfo::of(h));
        Some(Formation {
            id,
            epoch,
            service: head.service.clone(),
            model: model.clone(),
            fabric: head.fabric.clone(),
            members: hosts.iter().map(|h| h.id.clone()).collect(),
            purpose: Purpose::Serve,
            phase: FormationPhase::Joining,
            since: now,
            loss: None,
            reclaimable: false,
            leaving_since: None,
            accepted: BTreeSet::new(),
            unconfirmed_joins: BTreeSet::new(),
            ready: BTreeSet::new(),
            open_sent: false,
            member_info: hosts.iter().map(info).collect(),
            left: BTreeMap::new(),
            gone: BTreeSet::new(),
        })
    }

    /// Adds a host that reports membership and was not tracked. Its position in the list has no
    /// meaning: only formations that are being dissolved gain members.
    pub(crate) fn add_member(&mut self, host: &Host) {
        self.members.push(host.id.clone());
        self.member_info
            .insert(host.id.clone(), MemberInfo::of(host));
    }

    /// Restores a host that left but reports membership long afterwards: it executed an unanswered
    /// order to join after the order to leave.
    ///
    /// Treated as free, it would be taken from a replica whose head is unreachable and may still
    /// serve.
    pub(crate) fn reinstate(&mut self, host: &HostId, now: Instant) {
        let long_ago = |at: &Instant| now.saturating_duration_since(*at) >= ENTRY_DELAY;
        if self.left.get(host).is_some_and(long_ago) {
            self.left.remove(host);
        }
    }

    /// Members that are not free to join other formations.
    pub(crate) fn held_members(&self) -> impl Iterator<Item = &HostId> {
        let free = |m: &HostId| self.left.contains_key(m) || self.gone.contains(m);
        self.members.iter().filter(move |m| !free(m))
    }

    /// Whether a host is a member that is not free to join other formations.
    pub(crate) fn holds_member(&self, host: &str) -> bool {
        let is_free = self.left.contains_key(host) || self.gone.contains(host);
        !is_free && self.members.iter().any(|m| m == host)
    }

    /// Whether a host that left may become a member again while the head may still serve.
    ///
    /// Two delayed orders would otherwise break the replica: the host joins here, then joins
    /// elsewhere. If the head itself is gone, no member is affected.
    pub(crate) fn may_rejoin(&self, host: &HostId) -> bool {
        let dissolving = self.phase == FormationPhase::Dissolving;
        dissolving
            && self.unconfirmed_joins.contains(host)
            && self.held_members().next() == self.head()
    }

    /// The member that takes the requests.
    pub fn head(&self) -> Option<&HostId> {
        self.members.first()
    }

    /// Whether the host reports membership in this formation.
    pub(crate) fn is_member(&self, host: &Host) -> bool {
        host.belongs_to(&self.id, self.epoch)
    }

    /// Whether the host reports ready in this formation.
    pub(crate) fn is_ready_member(&self, host: &Host) -> bool {
        let phase = host.membership.as_ref().map(|m| m.phase);
        let ready = matches!(phase, Some(MembershipPhase::Ready | MembershipPhase::Open));
        ready && self.is_member(host)
    }

    pub(crate) fn enter_phase(&mut self, phase: FormationPhase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    /// Whether it was dissolved for another reason than its planner's choice.
    pub(crate) fn lost_member(&self) -> bool {
        let chosen = |l: &LossReason| matches!(l, LossReason::Reclaimed | LossReason::Converted);
        self.loss.as_ref().is_some_and(|l| !chosen(l))
    }

    /// Starts dissolving the formation.
    pub(crate) fn abandon(&mut self, loss: LossReason, now: Instant) {
        self.loss = Some(loss);
        self.enter_phase(FormationPhase::Dissolving, now);
    }

    pub(crate) fn join(&self) -> Order {
        Order::Join {
            replica: self.id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}
