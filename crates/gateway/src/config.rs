//! Configuration of a node at its start.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassmill_account::{DescriptorLimit, MemoryLimit};
use eelgrassmill_base::{FailureDomain, NodeId, Region, value};

/// The retry budget of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Permitted retries per request of a caller.
    pub ratio: f64,
    /// Permitted retries beyond that, of all nodes together.
    pub slack: f64,
}

value! {
    /// The addresses on which a node listens, and its seeds.
    pub struct Addresses {
        /// For callers' requests.
        pub callers: SocketAddr,
        /// For readiness checks and metrics.
        pub ready: SocketAddr,
        /// For callers that resolve the nodes' addresses.
        pub directory: SocketAddr,
        /// For other nodes.
        pub peers: SocketAddr,
        /// Nodes to contact first.
        pub seeds: Vec<SocketAddr>,
    }
}

value! { copy
    /// Optional policies; those that are off leave decisions as they are without them.
    #[derive(Default)]
    pub struct PolicySwitches {
        /// The number of replicas of each model follows the measured demand.
        pub capacity_follows_demand: bool,
        /// Customers share a model's slots fairly while requests wait for them.
        pub fair_share: bool,
        /// Hosts get as many requests as their own answers show that they can handle.
        pub adaptive_pacing: bool,
    }
}

value! { copy
    /// What the process may use; beyond it the platform ends it, or calls fail.
    pub struct ProcessLimits {
        /// Memory in bytes.
        pub memory: usize,
        /// Descriptors; those of the process's own limit if not set.
        pub descriptors: Option<usize>,
    }
}

/// Bytes of a connection without a request: its task and the buffers of the HTTP library.
const CONNECTION_BYTES: usize = 16 << 10;
/// Part of the memory for callers that connections without requests may be worth, as 1 / this.
const CONNECTION_SHARE: usize = 4;
/// Fewest connections of a port.
const MIN_CONNECTIONS: usize = 16;

impl Addresses {
    /// The seeds without this node itself.
    pub(crate) fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.peers).collect()
    }
}

impl ProcessLimits {
    pub(crate) fn memory(&self) -> MemoryLimit {
        MemoryLimit {
            process: self.memory,
        }
    }

    /// Most bytes that are held for callers.
    pub(crate) fn client_bytes(&self) -> usize {
        self.memory().client_bytes()
    }

    /// Descriptors that the process may use: those that were set, as far as its own limit goes.
    fn descriptors(&self) -> DescriptorLimit {
        let own = DescriptorLimit::of_process();
        self.descriptors
            .map_or(own, |n| own.min(DescriptorLimit(n)))
    }

    fn caller_connections(&self) -> usize {
        let by_memory = self.client_bytes() / CONNECTION_SHARE / CONNECTION_BYTES;
        let by_descriptors = self.descriptors().client_connections();
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    /// Connections of the ports for callers, for readiness checks and for the directory.
    pub(crate) fn port_connections(&self) -> [usize; 3] {
        let callers = self.caller_connections();
        let node_api = (callers / 16).max(MIN_CONNECTIONS);
        [callers, node_api, node_api]
    }

    /// Connections that are accepted from other nodes.
    pub(crate) fn peer_connections(&self) -> usize {
        self.descriptors().peer_connections()
    }
}

/// The part of a node's configuration that may change while it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveConfig {
    pub(crate) memory: MemoryLimit,
    /// The shortest grace period that the node was told.
    pub(crate) grace: Duration,
    pub(crate) address_ttl: Duration,
    pub(crate) retries: RetryBudgetConfig,
    /// CPU that the node may use, in thousandths of a core; 0 if unknown.
    pub(crate) processor: u32,
}

impl From<&GatewayConfig> for LiveConfig {
    fn from(cfg: &GatewayConfig) -> LiveConfig {
        LiveConfig {
            memory: cfg.limits.memory(),
            grace: cfg.grace,
            address_ttl: cfg.address_ttl,
            retries: cfg.retries,
            processor: cfg.processor,
        }
    }
}

/// A node's configuration at its start.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Its name, unique over all nodes.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// CPU that it may use, in thousandths of a core; 0 if unknown.
    pub processor: u32,
    /// Its addresses and seeds.
    pub addresses: Addresses,
    /// The retry budget.
    pub retries: RetryBudgetConfig,
    /// Grace period, from the signal to stop until the process is killed.
    pub grace: Duration,
    /// How long callers may cache resolved addresses.
    pub address_ttl: Duration,
    /// Whether the whole system starts for the first time, so that model loads are fast.
    pub first_start: bool,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// The optional policies that are on.
    pub policies: PolicySwitches,
}
