//! One host, as it reports itself.

use eelgrassmill_base::{
    Epoch, FabricDomain, FailureDomain, GroupId, HostId, ModelName, ServiceName, value,
};
use smallvec::SmallVec;
use smol_str::SmolStr;

value! { wire copy
    /// Whether a host takes new work.
    pub enum HostState {
        /// It does.
        Ready,
        /// It finishes what it has and goes.
        Leaving,
    }

    /// How far a host's part in a replica is.
    pub enum MembershipPhase {
        /// It loads what it needs.
        Joining,
        /// It has joined; the replica serves nothing yet.
        Ready,
        /// The head serves.
        Open,
        /// The head finishes what runs.
        Closing,
        /// A member was lost and the head refuses everything.
        Broken,
    }
}

value! { wire
    /// A host's part in a replica.
    pub struct Membership {
        /// The replica.
        pub replica: GroupId,
        /// The formation of the replica that it joined.
        pub epoch: Epoch,
        /// Its place in the list of members; 0 is the head, which takes the requests.
        pub rank: usize,
        /// How far it is.
        pub phase: MembershipPhase,
    }

    /// What a host says of itself.
    pub struct Host {
        /// Its name.
        pub id: HostId,
        /// Milliseconds since 1970 at its start, by its own clock. A host that starts
        /// again under its name has forgotten its membership.
        #[serde(rename = "born_ms")]
        pub started_ms: u64,
        /// The service that it runs.
        pub service: ServiceName,
        /// `IP:PORT` for requests and orders.
        pub address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its fabric domain; empty for hosts that form no replicas.
        pub fabric: FabricDomain,
        /// Whether it takes new work.
        pub state: HostState,
        /// Requests that it runs at once.
        pub slots: usize,
        /// For how much longer it is cold, in milliseconds, as of when it wrote its entry.
        pub cold_ms: u64,
        /// Models whose weights are in its memory.
        pub staged: SmallVec<[ModelName; 2]>,
        /// The model that it last joined a replica of, where it says so.
        pub model: Option<ModelName>,
        /// The replica that it is a member of.
        pub membership: Option<Membership>,
    }
}

impl Membership {
    /// Whether the replica may have requests that run. A head knows that of itself; any
    /// other member's head may serve whatever the member knows.
    pub(crate) fn may_serve(&self) -> bool {
        let serves = matches!(self.phase, MembershipPhase::Open | MembershipPhase::Closing);
        self.rank > 0 || serves
    }
}

impl Host {
    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == HostState::Ready
    }

    /// Whether it is the head of a replica that serves.
    pub fn is_open_head(&self) -> bool {
        let open = |m: &Membership| m.rank == 0 && m.phase == MembershipPhase::Open;
        self.membership.as_ref().is_some_and(open)
    }

    /// Whether it reports to belong to this formation.
    pub fn belongs_to(&self, replica: &str, epoch: Epoch) -> bool {
        let same = |m: &Membership| m.replica == replica && m.epoch == epoch;
        self.membership.as_ref().is_some_and(same)
    }
}
