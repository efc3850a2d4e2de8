//! Groups and services as seen by one planning round.

use eelgrassmill_base::{FabricDomain, GroupId, HostId, ServiceName};
use eelgrassmill_config::ModelService;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::plan::view::GroupStatus;

/// What is wrong with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberFault {
    /// It doesn't answer probes.
    Unreachable,
    /// It doesn't answer probes and is no longer in the host list.
    Delisted,
    /// It restarted after the group was whole; the host itself is usable.
    Restarted,
    /// It is leaving.
    Leaving,
}

/// Health of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupHealth {
    /// It serves.
    Serving,
    /// It doesn't serve yet, and no member is faulty.
    Starting,
    /// It doesn't serve, and a member is faulty.
    Broken,
    /// According to its row it is ending.
    Ending,
}

/// One group of a configured service, as seen by this round.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) status: &'a GroupStatus,
    /// Its fabric domain; `None` if it spans several or none is known.
    pub(crate) domain: Option<&'a FabricDomain>,
    pub(crate) health: GroupHealth,
    /// Whether it has served long enough for every node to know of it.
    pub(crate) propagated: bool,
    /// Members with a fault.
    pub(crate) faults: SmallVec<[(&'a HostId, MemberFault); 4]>,
    /// Whether a transaction of this round ends it.
    pub(crate) ended_this_round: bool,
    /// Whether it is expected to be whole again without a replacement elsewhere.
    pub(crate) recovering: bool,
}

/// One model service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState<'a> {
    pub(crate) name: &'a ServiceName,
    pub(crate) cfg: &'a ModelService,
    /// Number of groups configured for this region.
    pub(crate) desired: usize,
    /// Number of groups needed now: the demand, but at least the floor.
    pub(crate) required: usize,
    /// `MODEL@VERSION`.
    pub(crate) weights: SmolStr,
    /// Bytes that each member loads.
    pub(crate) load_bytes: u64,
    pub(crate) groups: Vec<Group<'a>>,
    /// Number of new groups that this round forms in addition.
    pub(crate) formed_this_round: usize,
}

impl Group<'_> {
    pub(crate) fn id(&self) -> &GroupId {
        &self.status.row.group
    }

    /// Whether it needs no replacement: it has the configured model, version and size, and all its
    /// members stay.
    pub(crate) fn is_durable(&self, service: &ServiceState<'_>) -> bool {
        let current = self.status.row.model == service.cfg.model
            && self.status.row.version == service.cfg.version
            && self.status.row.members.len() == service.cfg.hosts_per_group as usize;
        let is_up = matches!(self.health, GroupHealth::Serving | GroupHealth::Starting);
        // A group that spans fabric domains is slow; it serves until one that doesn't replaces it.
        let compact = self.domain.is_some() || self.health == GroupHealth::Starting;
        // If the group serves, a member unreachable from the planner is only partitioned from it.
        let is_partitioned = |fault: MemberFault| {
            fault == MemberFault::Unreachable && self.health == GroupHealth::Serving
        };
        let intact = self.faults.iter().all(|(_, fault)| is_partitioned(*fault));
        current && compact && intact && is_up && !self.ended_this_round
    }

    /// Whether it is not ending, by its row or by a transaction of this round.
    pub(crate) fn is_formed(&self) -> bool {
        self.health != GroupHealth::Ending && !self.ended_this_round
    }

    /// Whether it serves and every node knows of it.
    pub(crate) fn is_propagated(&self) -> bool {
        self.is_serving() && self.propagated
    }

    /// Whether it serves and this round doesn't end it.
    pub(crate) fn is_serving(&self) -> bool {
        self.health == GroupHealth::Serving && !self.ended_this_round
    }
}

impl ServiceState<'_> {
    /// Number of groups that serve.
    pub(crate) fn serving(&self) -> usize {
        self.groups.iter().filter(|g| g.is_serving()).count()
    }

    /// Number of groups that serve and that every node knows of.
    pub(crate) fn propagated(&self) -> usize {
        self.groups.iter().filter(|g| g.is_propagated()).count()
    }

    /// Number of groups that serve and need no replacement.
    pub(crate) fn serving_durable(&self) -> usize {
        let durable = |g: &&Group<'_>| g.is_serving() && g.is_durable(self);
        self.groups.iter().filter(durable).count()
    }

    /// Number of groups that serve, or will serve without a replacement.
    pub(crate) fn serving_or_expected(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_serving() || g.is_durable(self) || g.recovering;
        self.groups.iter().filter(counts).count() + self.formed_this_round
    }

    /// Number of groups that need no replacement, or are recovering.
    pub(crate) fn expected(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_durable(self) || g.recovering;
        self.groups.iter().filter(counts).count() + self.formed_this_round
    }
}
