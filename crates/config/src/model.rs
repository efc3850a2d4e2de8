//! The parsed and validated configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::{HostId, ModelName, ModelVersion, NodeId, ServiceName, TenantId, value};
use smol_str::SmolStr;

value! { copy
    /// What the repair policy minimizes first when it can't minimize both.
    pub enum RepairObjective {
        /// The time during which a group cannot serve.
        Downtime,
        /// Healthy accelerators left idle in incomplete groups.
        Stranded,
    }
}

value! {
    /// A parsed and validated configuration.
    ///
    /// Invariants: every referenced service, tenant and dependency exists; the
    /// dependencies have no cycle; every number is within its limits.
    pub struct Config {
        /// What the repair policy minimizes first.
        pub repair: RepairObjective,
        /// Services by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Tenants by name.
        pub tenants: BTreeMap<TenantId, Tenant>,
        /// Options of targets, by host.
        pub targets: BTreeMap<HostId, TargetOptions>,
        /// Options of nodes, by node.
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
        /// Whether a call may be retried when it is unknown if it ran.
        pub repeatable: bool,
        /// How long the response of an at-most-once call is kept for retries.
        pub keep_answers: Duration,
        /// Timeout of a request whose caller sets no deadline.
        pub timeout: Duration,
        /// Maximum queue length at one node, in requests.
        pub max_queue: u32,
    }

    /// What serves a service.
    pub enum ServiceKind {
        /// Model groups of engine hosts.
        Model(ModelService),
        /// Plain targets, listed by host.
        Plain {
            /// The hosts that run it.
            targets: Vec<HostId>,
            /// Concurrent calls per target.
            slots: u32,
        },
        /// A model adapter served by the groups of its base service.
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
        /// Desired number of groups.
        pub groups: u32,
        /// Hosts per group.
        pub hosts_per_group: u32,
        /// Minimum number of groups that stay able to serve during a rollout.
        pub floor: u32,
        /// Concurrent requests per group.
        pub slots: u32,
        /// Slots per group that are reserved for urgent requests.
        pub urgent_slots: u32,
    }

    /// One tenant.
    pub struct Tenant {
        /// Its name.
        pub name: TenantId,
        /// SHA-256 of its bearer token, as 64 hexadecimal digits. The token itself is never stored.
        pub token_sha256: SmolStr,
        /// Its share relative to other tenants.
        pub weight: u32,
        /// Maximum queue length of its requests at one node and service.
        pub max_queue: u32,
    }

    /// Options of one target.
    pub struct TargetOptions {
        /// Whether the target rejects an order with a stale fencing token.
        pub checks_orders: bool,
        /// Whether it is drained: it gets no new requests and its group moves to another host.
        pub drain: bool,
    }

    /// Options of one node.
    pub struct NodeOptions {
        /// Whether it is drained: callers are sent to other nodes.
        pub drain: bool,
    }
}

impl Default for Config {
    /// The configuration of an empty text: no services, no tenants.
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
    /// Whether `host` rejects stale orders; `false` if the text has no section for it.
    pub fn checks_orders(&self, host: &str) -> bool {
        self.targets.get(host).is_some_and(|t| t.checks_orders)
    }

    /// Whether target `host` is to be drained.
    pub fn is_target_draining(&self, host: &str) -> bool {
        self.targets.get(host).is_some_and(|t| t.drain)
    }

    /// Whether `node` is to be drained of callers.
    pub fn is_node_draining(&self, node: &str) -> bool {
        self.nodes.get(node).is_some_and(|n| n.drain)
    }
}
