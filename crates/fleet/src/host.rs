//! State of one host, as it reports itself.

use eelgrassmill_base::{
    Epoch, FabricDomain, FailureDomain, GroupId, HostId, ModelName, ServiceName, value,
};
use smallvec::SmallVec;
use smol_str::SmolStr;

value! { wire copy
    /// Whether a host accepts new work.
    pub enum HostState {
    /// It accepts new work.
    Ready,
        /// It finishes its work and shuts down.
        Leaving,
    }

    /// Phase of a host's membership in a replica.
    pub enum MembershipPhase {
        /// The host loads what it needs.
        Joining,
        /// The host has joined; the replica doesn't serve yet.
        Ready,
        /// The head serves requests.
        Open,
        /// The head finishes running requests.
        Closing,
        /// A member was lost and the head rejects all requests.
        Broken,
    }
}

value! { wire
    /// A host's membership in a replica.
    pub struct Membership {
        /// The replica.
        pub replica: GroupId,
        /// The epoch of the formation that the host joined.
        pub epoch: Epoch,
        /// Its index in the list of members; 0 is the head, which receives the requests.
        pub rank: usize,
        /// Its phase.
        pub phase: MembershipPhase,
    }

    /// State that a host reports.
    pub struct Host {
        /// Its name.
        pub id: HostId,
        /// Its start time in milliseconds since the Unix epoch, by its own clock. A host that
        /// restarts under the same name has lost its membership.
        #[serde(rename = "born_ms")]
        pub started_ms: u64,
        /// Its service.
        pub service: ServiceName,
        /// `IP:PORT` for requests and orders.
        pub address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its fabric domain; empty if it forms no replicas.
        pub fabric: FabricDomain,
        /// Whether it accepts new work.
        pub state: HostState,
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Remaining time for which it is cold, in milliseconds, when it wrote its entry.
        pub cold_ms: u64,
        /// Models whose weights are in its memory.
        pub staged: SmallVec<[ModelName; 2]>,
        /// The model of the replica that it last joined, if reported.
        pub model: Option<ModelName>,
        /// Its membership in a replica.
        pub membership: Option<Membership>,
    }
}

impl Membership {
    /// Whether the replica may have running requests. Only the head knows; for any other member,
    /// the head may be serving whatever the member's phase is.
    pub(crate) fn may_serve(&self) -> bool {
        let serves = matches!(self.phase, MembershipPhase::Open | MembershipPhase::Closing);
        self.rank > 0 || serves
    }
}

impl Host {
    /// Whether it accepts new work.
    pub fn is_ready(&self) -> bool {
        self.state == HostState::Ready
    }

    /// Whether it may be the same start of the host as one at `started_ms`; 0 means unknown.
    pub fn is_same_start(&self, started_ms: u64) -> bool {
        self.started_ms == started_ms || self.started_ms == 0 || started_ms == 0
    }

    /// Whether this entry must be from after `known`, whichever of them was read last.
    pub(crate) fn is_newer_than(&self, known: &Host) -> bool {
        if self.started_ms != known.started_ms {
            return self.started_ms > known.started_ms;
        }
        // A host that leaves never comes back under the same start.
        if self.is_ready() != known.is_ready() {
            return !self.is_ready();
        }
        let epoch = |host: &Host| host.membership.as_ref().map_or(0, |m| m.epoch);
        epoch(self) > epoch(known)
    }

    /// Whether it is the head of an open replica.
    pub fn is_open_head(&self) -> bool {
        let open = |m: &Membership| m.rank == 0 && m.phase == MembershipPhase::Open;
        self.membership.as_ref().is_some_and(open)
    }

    /// Whether it is a head that finishes its requests and accepts no new ones.
    pub(crate) fn is_closing_head(&self) -> bool {
        let closing = |m: &Membership| m.rank == 0 && m.phase == MembershipPhase::Closing;
        self.membership.as_ref().is_some_and(closing)
    }

    /// Whether it reports membership in this formation.
    pub fn belongs_to(&self, replica: &str, epoch: Epoch) -> bool {
        let same = |m: &Membership| m.replica == replica && m.epoch == epoch;
        self.membership.as_ref().is_some_and(same)
    }
}
