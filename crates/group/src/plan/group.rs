//! Groups and services as one round sees them.

use eelgrassmill_base::{FabricDomain, GroupId, HostId, ServiceName};
use eelgrassmill_config::ModelService;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::plan::view::GroupStatus;

/// What is wrong with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// It doesn't answer.
    Silent,
    /// It doesn't answer and the host list has dropped it.
    Gone,
    /// It restarted after the group had been whole; the host itself is fit for use.
    Restarted,
    /// It is to leave.
    Leaving,
}

/// How a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It serves.
    Serving,
    /// It doesn't serve yet, and no member is lost.
    Coming,
    /// It doesn't serve, and a member is lost.
    Broken,
    /// Its row says that it ends.
    Ending,
}

/// One group of a wanted service, as this round sees it.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) facts: &'a GroupStatus,
    /// Its fabric domain; `None` when it spans several or none is known.
    pub(crate) domain: Option<&'a FabricDomain>,
    pub(crate) standing: Standing,
    /// Whether it has served for as long as every node takes to learn of it.
    pub(crate) known: bool,
    /// Members that are lost or leaving.
    pub(crate) lost: SmallVec<[(&'a HostId, Lost); 4]>,
    /// Whether a transaction of this round ends it.
    pub(crate) ended_now: bool,
    /// Whether it is on its way to be whole without a replacement elsewhere.
    pub(crate) mending: bool,
}

/// One model service.
#[derive(Clone, Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) name: &'a ServiceName,
    pub(crate) cfg: &'a ModelService,
    /// Groups that this region is to have.
    pub(crate) count: usize,
    /// Groups needed now: the demand, and the floor at least.
    pub(crate) need: usize,
    /// `MODEL@VERSION`.
    pub(crate) weights: SmolStr,
    /// Bytes that each member loads.
    pub(crate) load_bytes: u64,
    pub(crate) groups: Vec<Group<'a>>,
    /// Groups that this round forms beside those.
    pub(crate) formed_now: usize,
}

impl Group<'_> {
    pub(crate) fn id(&self) -> &GroupId {
        &self.facts.row.group
    }

    /// Whether it counts as lasting capacity: what it serves is wanted and nobody is leaving.
    pub(crate) fn is_good(&self, wanted: &Wanted<'_>) -> bool {
        let current = self.facts.row.model == wanted.cfg.model
            && self.facts.row.version == wanted.cfg.version
            && self.facts.row.members.len() == wanted.cfg.hosts_per_group as usize;
        let stands = matches!(self.standing, Standing::Serving | Standing::Coming);
        // A group that spans fabric domains is slow; it serves until one is made that doesn't.
        let near = self.domain.is_some() || self.standing == Standing::Coming;
        // Silence towards the planner alone, while the group serves, is a cut between the two.
        let cut_off = |why: Lost| why == Lost::Silent && self.standing == Standing::Serving;
        let fit = self.lost.iter().all(|(_, why)| cut_off(*why));
        current && near && fit && stands && !self.ended_now
    }

    /// Whether its row is formed and no transaction of this round ends it.
    pub(crate) fn is_formed(&self) -> bool {
        self.standing != Standing::Ending && !self.ended_now
    }

    /// Whether callers at every node may rely on it.
    pub(crate) fn is_known(&self) -> bool {
        self.is_serving() && self.known
    }

    /// Whether it serves and goes on doing so.
    pub(crate) fn is_serving(&self) -> bool {
        self.standing == Standing::Serving && !self.ended_now
    }
}

impl Wanted<'_> {
    /// Groups that serve.
    pub(crate) fn serving(&self) -> usize {
        self.groups.iter().filter(|g| g.is_serving()).count()
    }

    /// Groups that serve as every node knows.
    pub(crate) fn known(&self) -> usize {
        self.groups.iter().filter(|g| g.is_known()).count()
    }

    /// Groups that serve and need no replacement.
    pub(crate) fn serving_well(&self) -> usize {
        let well = |g: &&Group<'_>| g.is_serving() && g.is_good(self);
        self.groups.iter().filter(well).count()
    }

    /// Groups that serve in whatever way, or will without a replacement.
    pub(crate) fn standing(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_serving() || g.is_good(self) || g.mending;
        self.groups.iter().filter(counts).count() + self.formed_now
    }

    /// Groups that serve, or will without a replacement.
    pub(crate) fn expected(&self) -> usize {
        let counts = |g: &&Group<'_>| g.is_good(self) || g.mending;
        self.groups.iter().filter(counts).count() + self.formed_now
    }
}
