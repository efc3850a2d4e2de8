//! One replica from the decision to form it until its hosts are free again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FabricDomain, GroupId, HostId, ModelName, ServiceName, value};
use smol_str::SmolStr;

use crate::host::{Host, MembershipPhase};
use crate::planner::order::Order;

value! { copy
    /// What a formation is for.
    pub enum Purpose {
        /// It serves.
        Serve,
        /// It keeps a spare ready to join a serving one.
        Prime,
    }

    /// How far a formation is.
    pub enum FormationPhase {
        /// Members join.
        Joining,
        /// All members are ready, and the head was report to serve.
        Opening,
        /// It serves.
        Open,
        /// The head finishes what runs.
        Draining,
        /// All members were report to leave. Invariant: until one has, it joins nothing else.
        Dissolving,
    }
}

value! {
    /// Why a replica was given up.
    pub enum LossReason {
        /// A member gives no answer.
        Silent(HostId),
        /// A member is no longer listed.
        Gone(HostId),
        /// A member is leaving.
        Leaving(HostId),
        /// A member reports to belong to another replica, or to none.
        Elsewhere(HostId),
        /// A member refused to join.
        Refused(HostId),
        /// Not all members are known.
        Incomplete,
        /// The head rejects requests.
        Rejects(HostId),
        /// The head says that it lost a member.
        Broken,
    }
}

/// Entries may show for this long that a host is a member that has left: twice the time
/// that they are late. Where they are later still, a host is report to leave once more.
const ENTRY_DELAY: Duration = Duration::from_millis(500);

/// One replica, as its planner knows it.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Its name.
    pub id: GroupId,
    /// Its epoch, which no other formation has.
    pub epoch: Epoch,
    /// The service that it is for.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The fabric domain of its members.
    pub fabric: FabricDomain,
    /// The members; the first is the head.
    pub members: Vec<HostId>,
    /// What it is for.
    pub purpose: Purpose,
    /// How far it is.
    pub phase: FormationPhase,
    /// Since when.
    pub since: Instant,
    /// Why it was given up.
    pub loss: Option<LossReason>,
    /// Since when a member is leaving, while it serves on.
    pub(crate) leaving_since: Option<Instant>,
    /// Members that took the order to join.
    pub(crate) accepted: BTreeSet<HostId>,
    /// Members that left an order to join unanswered: they may carry it out after they left.
    pub(crate) unconfirmed_joins: BTreeSet<HostId>,
    /// Members that said that they are ready.
    pub(crate) ready: BTreeSet<HostId>,
    /// Whether its head was ever report to serve: such an order may be carried out late.
    pub(crate) open_sent: bool,
    /// Each member's start and address when it was chosen. The address is needed also
    /// after its entry is gone: a host whose entry vanished may serve on for seconds.
    pub(crate) member_info: BTreeMap<HostId, MemberInfo>,
    /// Members that have left, and when that was known. Invariant: only these and hosts
    /// that are gone or have started again are given to other formations.
    pub(crate) left: BTreeMap<HostId, Instant>,
    /// Members that are out of reach and not listed. They count as members again should
    /// they be listed again: a host that was only cut off still holds what it held.
    pub(crate) gone: BTreeSet<HostId>,
}

value! {
    /// What is remembered of a member.
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

    /// Whether the host has started again since. An entry without a start says nothing of
    /// that; taken for a new start it would free a member whose head serves.
    pub(crate) fn has_restarted(&self, host: &Host) -> bool {
        self.born_ms != 0 && host.started_ms != 0 && self.born_ms != host.started_ms
    }
}

impl Formation {
    /// A formation of these hosts, the first of which is its head; `None` without any.
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

    /// Takes a host in that reports to be a member and was not known as one. Its place in
    /// the list says nothing: only a formation that is being given up gains members.
    pub(crate) fn add_member(&mut self, host: &Host) {
        self.members.push(host.id.clone());
        self.member_info
            .insert(host.id.clone(), MemberInfo::of(host));
    }

    /// Takes a host back as a member that left and says long after that it is one again: an
    /// order to join that got no answer was carried out after the one to leave.
    ///
    /// Taken as free it would be torn from a replica whose head is out of reach and may
    /// still serve.
    pub(crate) fn reinstate(&mut self, host: &HostId, now: Instant) {
        let long_ago = |at: &Instant| now.saturating_duration_since(*at) >= ENTRY_DELAY;
        if self.left.get(host).is_some_and(long_ago) {
            self.left.remove(host);
        }
    }

    /// Members that are not free for anything else.
    pub(crate) fn held_members(&self) -> impl Iterator<Item = &HostId> {
        let free = |m: &HostId| self.left.contains_key(m) || self.gone.contains(m);
        self.members.iter().filter(move |m| !free(m))
    }

    /// Whether a host is a member that is not free for anything else.
    pub(crate) fn holds_member(&self, host: &str) -> bool {
        let is_free = self.left.contains_key(host) || self.gone.contains(host);
        !is_free && self.members.iter().any(|m| m == host)
    }

    /// Whether a host that left may become a member again while the head may serve.
    ///
    /// Two orders that are both carried out late would otherwise tear it away: the one to
    /// join here, then the one to join elsewhere. A head that is gone holds nobody.
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

    /// Whether the host reports to belong to this formation.
    pub(crate) fn is_member(&self, host: &Host) -> bool {
        host.belongs_to(&self.id, self.epoch)
    }

    /// Whether the host reports to be ready in this formation.
    pub(crate) fn is_ready_member(&self, host: &Host) -> bool {
        let phase = host.membership.as_ref().map(|m| m.phase);
        let ready = matches!(phase, Some(MembershipPhase::Ready | MembershipPhase::Open));
        ready && self.is_member(host)
    }

    pub(crate) fn enter_phase(&mut self, phase: FormationPhase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    /// Gives it up.
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
