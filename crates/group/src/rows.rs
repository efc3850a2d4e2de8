//! Rows of the table service that hold who owns what, and their keys.

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
    /// Whether a node takes new work.
    pub enum NodeState {
        /// It serves callers, watches groups and may become planner.
        Serving,
        /// It ends what it runs and takes nothing new.
        Leaving,
    }

    /// Where a group is in its life.
    pub enum GroupPhase {
        /// Its members are bound to it; whether it serves is for evidence to say.
        Formed,
        /// Its only member loads weights to be a warm spare; it never serves.
        Warming,
        /// It takes no new requests and its members are being released.
        Ending,
    }

    /// Why a group was ended.
    pub enum EndReason {
        /// A member is missing and the group is formed anew without it.
        MemberLost,
        /// A member restarted after the group had been whole.
        MemberRestarted,
        /// A member is leaving its host.
        MemberLeaving,
        /// Another version of the model is wanted.
        Rollout,
        /// Its hosts are needed more by another group.
        Yield,
        /// Another group that serves has taken its place.
        Replaced,
        /// The configuration wants it no more.
        Unwanted,
        /// Its spare has loaded the weights.
        Warmed,
    }
}

value! { wire
    /// The lease row of one node, `node/NODE`.
    pub struct NodeRow {
        /// The node.
        pub node: NodeId,
        /// This start of it.
        pub incarnation: Incarnation,
        /// Counts renewals. Invariant: rises with every write of one incarnation.
        pub renewals: u64,
        /// `IP:PORT` for callers.
        pub caller: SmolStr,
        /// `IP:PORT` for other nodes.
        pub peer: SmolStr,
        /// `IP:PORT` for operators.
        pub admin: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its region.
        pub region: Region,
        /// Whether it takes new work.
        pub state: NodeState,
    }

    /// Who plans a region, `planner/REGION`.
    pub struct PlannerRow {
        /// The node that plans.
        pub node: NodeId,
        /// The start of it that does.
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
        /// Invariant: higher than every epoch that any of its members had before.
        pub epoch: Epoch,
        /// All members, the lead (rank 0) first.
        pub members: Vec<HostId>,
        /// Where it is in its life.
        pub phase: GroupPhase,
        /// Why it ends; `None` while it is formed.
        pub reason: Option<EndReason>,
    }

    /// One host's binding, `host/HOST`. Never deleted, so that its fence can't go back.
    pub struct HostRow {
        /// The host.
        pub host: HostId,
        /// The group that it is bound to; `None` while it is free.
        pub group: Option<GroupId>,
        /// Epoch of the group it is bound to, or was bound to last.
        pub epoch: Epoch,
        /// Fencing number of the orders this row allows. Invariant: never falls.
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

    /// What a row must be for a change to happen.
    pub struct Precondition {
        /// The row's key.
        pub key: SmolStr,
        /// The version it must have; 0 for absent.
        pub version: RowVersion,
    }

    /// One write of a change.
    pub struct Put {
        /// The row's key.
        pub key: SmolStr,
        /// Its new value.
        pub value: RowValue,
    }

    /// One transaction: all writes are made when all expectations hold, or none.
    pub struct Transaction {
        /// What the rows must be.
        pub expect: Vec<Precondition>,
        /// What is written.
        pub puts: Vec<Put>,
    }
}

impl GroupRow {
    /// The member that requests are sent to; `None` for a row without members.
    pub fn lead(&self) -> Option<&HostId> {
        self.members.first()
    }

    /// `MODEL@VERSION`, as hosts name warm weights.
    pub fn weights(&self) -> SmolStr {
        weights_name(&self.model, &self.version)
    }
}

impl HostRow {
    /// A row for a host that was never bound.
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
    /// A change that expects and writes nothing yet.
    pub fn new() -> Transaction {
        Transaction {
            expect: Vec::new(),
            puts: Vec::new(),
        }
    }

    /// Adds an expectation.
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

/// `MODEL@VERSION`, as hosts name warm weights and the weight store its objects.
pub fn weights_name(model: &str, version: &str) -> SmolStr {
    format_smolstr!("{model}@{version}")
}

/// Name of a service's group with an index.
pub fn group_id(service: &str, index: u32) -> GroupId {
    format_smolstr!("{service}/{index}")
}

/// Name of the group by which a spare loads the weights of a service.
pub fn warming_group_id(service: &str, host: &str) -> GroupId {
    format_smolstr!("{service}/warm-{host}")
}

/// Service and index of a group's name.
pub fn parse_group_id(group: &str) -> Option<(&str, u32)> {
    let (service, index) = group.rsplit_once('/')?;
    Some((service, index.parse().ok()?))
}
