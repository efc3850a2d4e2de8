//! Host list entries, host reports, and orders to hosts.

use smol_str::SmolStr;

use crate::{
    Epoch, FabricDomain, FailureDomain, Fence, GroupId, HostId, Incarnation, ModelName,
    ModelVersion, NodeId, Region, value,
};

value! { wire copy
    /// State of a host in the host list.
    pub enum HostState {
        /// Accepts work.
        Live,
        /// Being removed: accepts nothing new, and running requests may finish.
        Leaving,
    }

    /// Kind of target that a host runs.
    pub enum TargetKind {
        /// A model engine, which serves as a member of model groups.
        Engine,
        /// A plain service, which answers without a group.
        Plain,
    }

    /// Action that an order requests.
    pub enum OrderKind {
        /// Join the group, loading the model version if it is not loaded.
        Join,
        /// Leave the group and release everything held for it.
        Leave,
    }
}

value! { wire
    /// One entry of the platform's host list.
    pub struct HostEntry {
        /// Unique name of the host.
        pub id: HostId,
        /// `IP:PORT` of the host's target.
        pub address: SmolStr,
        /// Kind of target it runs.
        pub kind: TargetKind,
        /// Region the host is in.
        pub region: Region,
        /// Hosts in one failure domain can fail together.
        pub failure_domain: FailureDomain,
        /// Hosts in one fabric domain communicate at full bandwidth.
        pub fabric_domain: FabricDomain,
        /// Number of accelerators; 0 for plain services.
        pub accelerators: u32,
        /// Whether it is live or being removed. The list lags by seconds.
        pub state: HostState,
    }

    /// Group membership of a host, as the host reports it or as an order requests it.
    pub struct Placement {
        /// Group the host belongs to.
        pub group: GroupId,
        /// Epoch of the group's membership.
        pub epoch: Epoch,
        /// Model to serve.
        pub model: ModelName,
        /// Version of the model.
        pub version: ModelVersion,
        /// All members, with the lead (rank 0) first.
        pub members: Vec<HostId>,
    }

    /// State that a host reports in response to a probe.
    pub struct HostReport {
        /// Name of the reporting host; detects a report that reached the wrong prober.
        pub host: HostId,
        /// Identifies this start of the host. A restarted host holds nothing.
        pub incarnation: Incarnation,
        /// Current group membership, if any.
        pub placement: Option<Placement>,
        /// Whether the model version of the placement is loaded.
        pub ready: bool,
        /// Highest fencing token among the orders it has accepted.
        pub fence: Fence,
        /// Whether the target itself reports that it is shutting down.
        pub leaving: bool,
        /// Number of running requests; engines report it with a lag.
        pub running: u32,
        /// Model versions whose weights are still held, as `MODEL@VERSION`.
        pub warm: Vec<SmolStr>,
    }

    /// A request that a host join or leave a group.
    pub struct Order {
        /// Host the order is addressed to.
        pub host: HostId,
        /// Requested action.
        pub kind: OrderKind,
        /// Membership to join or leave; for `Leave` only `group` and `epoch` are used.
        pub placement: Placement,
        /// Fencing token. Invariant: increases with every order that the table service permits for a
        /// host.
        pub fence: Fence,
        /// Node that sends the order.
        pub from: NodeId,
    }

    /// Response of a host to an order.
    pub enum OrderReply {
        /// The host accepted the order; the report was made afterwards.
        Obeyed(HostReport),
        /// Refused: the host has accepted an order with this higher fencing token.
        Fenced(Fence),
    }
}
