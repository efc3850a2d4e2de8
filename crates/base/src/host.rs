//! What the platform says of hosts, what hosts say of themselves, and the orders they take.

use smol_str::SmolStr;

use crate::{
    Epoch, FabricDomain, FailureDomain, Fence, GroupId, HostId, Incarnation, ModelName,
    ModelVersion, NodeId, Region, value,
};

value! { wire copy
    /// What the host list says of a host.
    pub enum HostState {
        /// It takes work.
        Live,
        /// It is to be taken away: nothing new, what runs may end.
        Leaving,
    }

    /// What kind of target a host runs.
    pub enum TargetKind {
        /// A model engine, which is a member of model groups.
        Engine,
        /// A plain service, which answers on its own.
        Plain,
    }

    /// What an order asks of a host.
    pub enum OrderKind {
        /// Become a member of the group, loading the version if need be.
        Join,
        /// Leave the group and hold nothing for it.
        Leave,
    }
}

value! { wire
    /// One line of the platform's host list.
    pub struct HostEntry {
        /// Its name.
        pub id: HostId,
        /// `IP:PORT` of the target on it.
        pub address: SmolStr,
        /// What it runs.
        pub kind: TargetKind,
        /// Its region.
        pub region: Region,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its fabric domain.
        pub fabric_domain: FabricDomain,
        /// How many accelerators it has; 0 for plain services.
        pub accelerators: u32,
        /// Whether it takes work. The list lags by seconds.
        pub state: HostState,
    }

    /// Where a host belongs, as the host itself holds it or as an order asks it to.
    pub struct Placement {
        /// The group.
        pub group: GroupId,
        /// The group's epoch.
        pub epoch: Epoch,
        /// The model to serve.
        pub model: ModelName,
        /// Its version.
        pub version: ModelVersion,
        /// All members, the lead (rank 0) first.
        pub members: Vec<HostId>,
    }

    /// A host's own account of itself, answered to a probe.
    pub struct HostReport {
        /// Its name, so that a report that reached the wrong prober is noticed.
        pub host: HostId,
        /// This start of the host. A host that restarted holds nothing.
        pub incarnation: Incarnation,
        /// The group it belongs to, if any.
        pub placement: Option<Placement>,
        /// Whether it has loaded what the placement asks for.
        pub ready: bool,
        /// The highest fencing number it has obeyed.
        pub fence: Fence,
        /// The target's own word that it is leaving.
        pub leaving: bool,
        /// Requests it runs now; engines report this with a lag.
        pub running: u32,
        /// Model versions whose weights it still holds, `MODEL@VERSION`.
        pub warm: Vec<SmolStr>,
    }

    /// An order to a host.
    pub struct Order {
        /// The host it is for.
        pub host: HostId,
        /// What is asked.
        pub kind: OrderKind,
        /// The group meant; for `Leave` only its group and epoch count.
        pub placement: Placement,
        /// The fencing number. Invariant: rises with every order the table allows for a host.
        pub fence: Fence,
        /// Who sends it.
        pub from: NodeId,
    }

    /// What a host answers to an order.
    pub enum OrderReply {
        /// Obeyed; the report is from after it.
        Obeyed(HostReport),
        /// Refused, since it has obeyed a higher fencing number.
        Fenced(Fence),
    }
}
