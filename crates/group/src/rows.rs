//! Ownership rows in the table service, and their keys.

use eelgrassmill_base::{
    Epoch, FailureDomain, Fence, GroupId, HostId, Incarnation, ModelName, ModelVersion, NodeId,
    Region, RowVersion, ServiceName, value,
};
use smol_str::{SmolStr, format_smolstr};

/// Prefix of the node rows.
pub const NODE_PREFIX: &str = "node/";
/// Prefix of the planner rows.
pub const PLANNER_PREFIX: &str = "planner/";
/// Prefix of the group rows.
pub const GROUP_PREFIX: &str = "group/";
/// Prefix of the host rows.
pub const HOST_PREFIX: &str = "host/";

/// Key of a node's lease row.
pub fn node_key(node: &str) -> SmolStr {
    format_smolstr!("{NODE_PREFIX}{node}")
}

/// Key of a region's planner row.
pub fn planner_key(region: &str) -> SmolStr {
    format_smolstr!("{PLANNER_PREFIX}{region}")
}

/// Key of a group's row.
pub fn group_key(group: &str) -> SmolStr {
    format_smolstr!("{GROUP_PREFIX}{group}")
}

/// Key of a host's row.
pub fn host_key(host: &str) -> SmolStr {
    format_smolstr!("{HOST_PREFIX}{host}")
}

value! { wire copy
    /// Whether a node accepts new work.
    pub enum NodeState {
        /// It serves callers, watches groups and may become the planner.
        Serving,
        /// It finishes the work in progress and accepts none.
        Leaving,
    }

    /// Lifecycle phase of a group.
    pub enum GroupPhase {
        /// Its members are bound to it; whether it can serve depends on the evidence.
        Formed,
        /// Its only member loads weights to become a warm spare; it never serves.
        Warming,
        /// It accepts no new requests, and its members are being released.
        Ending,
    }

    /// Why a group was ended.
    pub enum EndReason {
        /// A member is missing; the group is re-formed without it.
        MemberLost,
        /// A member restarted after the group was whole.
        MemberRestarted,
        /// A member is leaving its host.
        MemberLeaving,
        /// The configuration names another model version.
        Rollout,
        /// It was preempted: another service needs its hosts more.
        Yield,
        /// Another group serves in its place.
        Replaced,
        /// The configuration no longer asks for it.
        Unwanted,
        /// Its spare has finished loading the weights.
        Warmed,
    }
}

value! { wire
    /// The lease row of one node, `node/NODE`.
    pub struct NodeRow {
        /// The node.
        pub node: NodeId,
        /// The node's incarnation.
        pub incarnation: Incarnation,
        /// Number of renewals. Invariant: increases with every write of one incarnation.
        pub renewals: u64,
        /// Address for callers, `IP:PORT`.
        pub caller: SmolStr,
        /// Address for other nodes, `IP:PORT`.
        pub peer: SmolStr,
        /// Address for operators, `IP:PORT`.
        pub admin: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its region.
        pub region: Region,
        /// Whether it accepts new work.
        pub state: NodeState,
    }

    /// The planner of a region, `planner/REGION`.
    pub struct PlannerRow {
        /// The planner's node.
        pub node: NodeId,
        /// The node's incarnation.
        pub incarnation: Incarnation,
    }

    /// One model group, `group/GROUP`.
    pub struct GroupRow {
        /// The group, `SERVICE/INDEX`.
        pub group: GroupId,
        /// Its service.
        pub service: ServiceName,
        /// The model it serves.
        pub model: ModelName,
        /// The model's version.
        pub version: ModelVersion,
        /// Invariant: higher than every earlier epoch of any of its members.
        pub epoch: Epoch,
        /// All members; the first is the lead (rank 0).
        pub members: Vec<HostId>,
        /// Lifecycle phase.
        pub phase: GroupPhase,
        /// Why it was ended; `None` before that.
        pub reason: Option<EndReason>,
    }

    /// The binding of one host, `host/HOST`. Never deleted, so that its fence can't decrease.
    pub struct HostRow {
        /// The host.
        pub host: HostId,
        /// The group it is bound to; `None` while it is free.
        pub group: Option<GroupId>,
        /// Epoch of the group it is, or was last, bound to.
        pub epoch: Epoch,
        /// Fencing token of the orders that this row allows. Invariant: never decreases.
        pub fence: Fence,
    }

    /// The new value of a row.
    pub enum RowValue {
        /// The row is deleted.
        Absent,
        /// A node row.
        Node(NodeRow),
        /// A planner row.
        Planner(PlannerRow),
        /// A group row.
        Group(GroupRow),
        /// A host row.
        Host(HostRow),
    }

    /// The row version that a transaction requires.
    pub struct Precondition {
        /// The row's key.
        pub key: SmolStr,
        /// The required version; 0 if the row must not exist.
        pub version: RowVersion,
    }

    /// One write of a transaction.
    pub struct Put {
        /// The row's key.
        pub key: SmolStr,
        /// Its new value.
        pub value: RowValue,
    }

    /// An atomic transaction: all writes are applied if all preconditions hold, otherwise none.
    pub struct Transaction {
        /// The preconditions.
        pub expect: Vec<Precondition>,
        /// The writes.
        pub puts: Vec<Put>,
    }
}

impl GroupRow {
    /// The member that requests are sent to; `None` for a row without members.
    pub fn lead(&self) -> Option<&HostId> {
        self.members.first()
    }

    /// `MODEL@VERSION`, the name by which hosts report warm weights.
    pub fn weights(&self) -> SmolStr {
        weights_name(&self.model, &self.version)
    }
}

impl HostRow {
    /// The row of a host that was never bound.
    pub fn new(host: impl Into<HostId>) -> HostRow {
        HostRow {
            host: host.into(),
            group: None,
            epoch: 0,
            fence: 0,
        }
    }
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Transaction {
        Transaction {
            expect: Vec::new(),
            puts: Vec::new(),
        }
    }

    /// Adds a precondition.
    pub fn expect(mut self, key: impl Into<SmolStr>, version: RowVersion) -> Transaction {
        let key = key.into();
        self.expect.push(Precondition { key, version });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: impl Into<SmolStr>, value: RowValue) -> Transaction {
        let key = key.into();
        self.puts.push(Put { key, value });
        self
    }
}

impl Default for Transaction {
    fn default() -> Transaction {
        Transaction::new()
    }
}

/// `MODEL@VERSION`, the name used by host reports and by the weight store.
pub fn weights_name(model: &str, version: &str) -> SmolStr {
    format_smolstr!("{model}@{version}")
}

/// Name of the group of `service` with this index.
pub fn group_id(service: &str, index: u32) -> GroupId {
    format_smolstr!("{service}/{index}")
}

/// Name of the group in which the spare `host` loads the weights of `service`.
pub fn warming_group_id(service: &str, host: &str) -> GroupId {
    format_smolstr!("{service}/warm-{host}")
}

/// Splits a group name into service and index; `None` for warm-up groups.
pub fn parse_group_id(group: &str) -> Option<(&str, u32)> {
    let (service, index) = group.rsplit_once('/')?;
    Some((service, index.parse().ok()?))
}
