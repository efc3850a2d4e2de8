//! The configuration as checked values.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{HostId, ModelName, ModelVersion, NodeId, ServiceName, TenantId, value};
use smol_str::SmolStr;

value! { copy
    /// What the repair policy saves first when it can't have both.
    pub enum RepairObjective {
        /// The time in which a group cannot serve.
        Downtime,
        /// Healthy accelerators that sit idle in incomplete groups.
        Stranded,
    }
}

value! {
    /// One accepted text, parsed and checked.
    ///
    /// Invariants: every service, tenant and dependency named exists; the
    /// dependencies have no cycle; every number is within its limits.
    pub struct Config {
        /// What the repair policy weighs first.
        pub repair: RepairObjective,
        /// Services by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Tenants by name.
        pub tenants: BTreeMap<TenantId, Tenant>,
        /// What is said of single targets, by host.
        pub targets: BTreeMap<HostId, TargetOptions>,
        /// What is said of single nodes, by node.
        pub nodes: BTreeMap<NodeId, NodeOptions>,
    }

    /// One service.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// A model service or a plain one.
        pub kind: ServiceKind,
        /// Services that must be able to serve for this one to serve.
        pub depends_on: Vec<ServiceName>,
        /// Whether a call may be run again when nobody knows if it ran.
        pub repeatable: bool,
        /// How long the answer of a call that runs at most once is kept for repeats.
        pub keep_answers: Duration,
        /// Longest time a request may take when its caller names no deadline.
        pub timeout: Duration,
        /// Longest queue at one node, in requests.
        pub max_queue: u32,
    }

    /// What a service is made of.
    pub enum ServiceKind {
        /// Model groups of engine hosts.
        Model(ModelService),
        /// Plain targets, named by host.
        Plain {
            /// The hosts that run it.
            targets: Vec<HostId>,
            /// Calls that one target runs at a time.
            slots: u32,
        },
        /// An adapter that is served by the groups of its base service.
        Adapter {
            /// The service whose groups serve it.
            base: ServiceName,
            /// The adapter's name in the weight store.
            adapter: ModelName,
        },
    }

    /// A service of model groups.
    pub struct ModelService {
        /// The model in the weight store.
        pub model: ModelName,
        /// Its version.
        pub version: ModelVersion,
        /// How many groups are wanted.
        pub groups: u32,
        /// Hosts in each group.
        pub hosts_per_group: u32,
        /// A rollout keeps at least this many groups able to serve.
        pub floor: u32,
        /// Requests that one group runs at a time.
        pub slots: u32,
        /// Slots of each group that only urgent requests may use.
        pub urgent_slots: u32,
    }

    /// One tenant.
    pub struct Tenant {
        /// Its name.
        pub name: TenantId,
        /// SHA-256 of its bearer token, as 64 hexadecimal digits. The token itself is never kept.
        pub token_sha256: SmolStr,
        /// Its share relative to the others'.
        pub weight: u32,
        /// Longest queue of its requests at one node and service.
        pub max_queue: u32,
    }

    /// What is said of one target.
    pub struct TargetOptions {
        /// Whether the target refuses an order with an old fencing number.
        pub checks_orders: bool,
        /// Whether it is to be emptied: it gets nothing new and its group moves off it.
        pub drain: bool,
    }

    /// What is said of one node.
    pub struct NodeOptions {
        /// Whether callers are to be sent elsewhere.
        pub drain: bool,
    }
}

impl Default for Config {
    /// The empty text: no service, no tenant.
    fn default() -> Config {
        Config {
            repair: RepairObjective::Downtime,
            services: BTreeMap::new(),
            tenants: BTreeMap::new(),
            targets: BTreeMap::new(),
            nodes: BTreeMap::new(),
        }
    }
}

impl Config {
    /// Whether `host` refuses old orders; a host that the text is silent on is taken not to.
    pub fn checks_orders(&self, host: &str) -> bool {
        self.targets.get(host).is_some_and(|t| t.checks_orders)
    }

    /// Whether the text asks to empty target `host`.
    pub fn is_target_draining(&self, host: &str) -> bool {
        self.targets.get(host).is_some_and(|t| t.drain)
    }

    /// Whether the text asks to send callers away from `node`.
    pub fn is_node_draining(&self, node: &str) -> bool {
        self.nodes.get(node).is_some_and(|n| n.drain)
    }
}
