//! Groups and services as one round sees them.

use eelgrassmill_base::{FabricDomain, GroupId, HostId, ServiceName};
use eelgrassmill_config::ModelService;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::plan::view::GroupStatus;

/// What is wrong with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberFault {
    /// It doesn't answer.
    Unreachable,
    /// It doesn't answer and the host list has dropped it.
    Delisted,
    /// It restarted after the group had been whole; the host itself is fit for use.
    Restarted,
    /// It is to leave.
    Leaving,
}

/// How a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupHealth {
    /// It serves.
    Serving,
    /// It doesn't serve yet, and no member is lost.
    Starting,
    /// It doesn't serve, and a member is lost.
    Broken,
    /// Its row says that it ends.
    Ending,
}

/// One group of a wanted service, as this round sees it.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) status: &'a GroupStatus,
    /// Its fabric domain; `None` when it spans several or none is known.
    pub(crate) domain: Option<&'a FabricDomain>,
    pub(crate) health: GroupHealth,
    /// Whether it has served for as long as every node takes to learn of it.
    pub(crate) propagated: bool,
    /// Members that are lost or leaving.
    pub(crate) faults: SmallVec<[(&'a HostId, MemberFault); 4]>,
    /// Whether a transaction of this round ends it.
    pub(crate) ended_this_round: bool,
    /// Whether it is on its way to be whole without a replacement elsewhere.
    pub(crate) recovering: bool,
}

/// One model service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState<'a> {
    pub(crate) name: &'a ServiceName,
    pub(crate) cfg: &'a ModelService,
    /// Groups that this region is to have.
    pub(crate) desired: usize,
    /// Groups needed now: the demand, and the floor at least.
    pub(crate) required: usize,
    /// `MODEL@VERSION`.
    pub(crate) weights: SmolStr,
    /// Bytes that each member loads.
    pub(crate) load_bytes: u64,
    pub(crate) groups: Vec<Group<'a>>,
    /// Groups that this round forms beside those.
    pub(crate) formed_this_round: usize,
}

impl Group<'_> {
    pub(crate) fn id(&self) -> &GroupId {
        &self.status.row.group
    }

    /// Whether it counts as lasting capacity: what it serves is wanted and nobody is leaving.
    pub(crate) fn is_durable(&self, service: &ServiceState<'_>) -> bool {
        let current = self.status.row.model == service.cfg.model
            && self.status.row.version == service.cfg.version
            && self.status.row.members.len() == service.cfg.hosts_per_group as usize;
        let is_up = matches!(self.health, GroupHealth::Serving | GroupHealth::Starting);
        // A group that spans fabric domains is slow; it serves until one is made that doesn't.
        let compact = self.domain.is_some() || self.health == GroupHealth::Starting;
        // Silence towards the planner alone, while the group serves, is a cut between the two.
        let is_partitioned = |fault: MemberFault| {
            fault == MemberFault::Unreachable && self.health == GroupHealth::Serving
        };
        let intact = self.faults.iter().all(|(_, fault)| is_partitioned(*fault));
        current && compact && intact && is_up && !self.ended_this_round
    }

    /// Whether its row is formed and no transaction of this round ends it.
    pub(crate) fn is_formed(&self) -> bool {
        self.health != GroupHealth::Ending && !self.ended_this_round
    }

    /// Whether callers at every node may rely on it.
    pub(crate) fn is_propagated(&self) -> bool {
        self.is_serving() && self.propagated
    }

    /// Whether it serves and goes on doing so.
    pub(crate) fn is_serving(&self) -> bool {
        self.health == GroupHealth::Serving && !self.ended_this_round
    }
}

impl ServiceState<'_> {
    /// Groups that serve.
    pub(crate) fn serving(&self) -> usize {
        self.groups.iter().filter(|g| g.is_serving()).count()
    }

    /// Groups that serve as every node knows.
    pub(crate) fn propagated(&self) -> usize {
        self.groups.iter().filter(|g| g.is_propagated()).count()
    }

    /// Groups that serve and need no replacement.
    pub(crate) fn serving_durable(&self) -> usize {
        let durable = |g: &&Group<'_>| g.is_serving() && g.is_durable(self);
        self.groups.iter().filter(durable).count()
    }

    /// Groups that serve in whatever way, or will without a replacement.
    pub(crate) fn serving_or_expected(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_serving() || g.is_durable(self) || g.recovering;
        self.groups.iter().filter(counts).count() + self.formed_this_round
    }

    /// Groups that serve, or will without a replacement.
    pub(crate) fn expected(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_durable(self) || g.recovering;
        self.groups.iter().filter(counts).count() + self.formed_this_round
    }
}
