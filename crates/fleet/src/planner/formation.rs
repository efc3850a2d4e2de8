//! One replica from the decision to form it until its hosts are free again.

use std::collections::BTreeSet;
use std::time::Instant;

use eelgrassmill_base::{Epoch, FabricDomain, GroupId, HostId, ModelName, ServiceName, value};

use crate::catalog::ModelSpec;
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
    pub enum Step {
        /// Members join.
        Joining,
        /// All members are ready, and the head was told to serve.
        Opening,
        /// It serves.
        Open,
        /// The head finishes what runs.
        Draining,
        /// The head was told to leave. Invariant: until it has, members join nothing else.
        Dissolving,
    }
}

value! {
    /// Why a replica was given up.
    pub enum Loss {
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
        /// The head says that it lost a member.
        Broken,
    }
}

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
    pub step: Step,
    /// Since when.
    pub since: Instant,
    /// Why it was given up.
    pub loss: Option<Loss>,
    /// Members that took the order to join.
    pub(crate) accepted: BTreeSet<HostId>,
    /// Members that said that they are ready.
    pub(crate) ready: BTreeSet<HostId>,
    /// The start of the head when it was chosen.
    pub(crate) head_born: u64,
    pub(crate) head_left: bool,
}

impl Formation {
    pub(crate) fn new(
        id: GroupId,
        epoch: Epoch,
        head: &Host,
        model: &ModelSpec,
        members: Vec<HostId>,
        now: Instant,
    ) -> Formation {
        Formation {
            id,
            epoch,
            service: head.service.clone(),
            model: model.name.clone(),
            fabric: head.fabric.clone(),
            members,
            purpose: Purpose::Serve,
            step: Step::Joining,
            since: now,
            loss: None,
            accepted: BTreeSet::new(),
            ready: BTreeSet::new(),
            head_born: head.born_ms,
            head_left: false,
        }
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

    pub(crate) fn enter(&mut self, step: Step, now: Instant) {
        self.step = step;
        self.since = now;
    }

    /// Gives it up.
    pub(crate) fn lose(&mut self, loss: Loss, now: Instant) {
        self.loss = Some(loss);
        self.enter(Step::Dissolving, now);
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
