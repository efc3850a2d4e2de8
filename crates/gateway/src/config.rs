//! What a node is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassmill_base::{FailureDomain, NodeId, Region, value};

/// The bound on repeats over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Any span of this length counts.
    pub window: Duration,
    /// Repeats for each request of a caller.
    pub ratio: f64,
    /// Repeats beside that, of all nodes together.
    pub slack: f64,
}

value! {
    /// Where a node listens, and which nodes it knows.
    pub struct Addresses {
        /// For callers' requests.
        pub callers: SocketAddr,
        /// For questions whether the node is ready, and for metrics.
        pub ready: SocketAddr,
        /// For callers that ask which addresses to use.
        pub directory: SocketAddr,
        /// For other nodes.
        pub peers: SocketAddr,
        /// Nodes to greet first.
        pub seeds: Vec<SocketAddr>,
    }
}

/// How a node takes part.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Its name.
    pub node: NodeId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Processor that it may use, in thousandths of a core; 0 where that isn't known.
    pub processor: u32,
    /// Where it listens.
    pub addresses: Addresses,
    /// The bound on repeats.
    pub retries: RetryBudgetConfig,
    /// From the signal to stop until the process is killed.
    pub grace: Duration,
    /// How long callers keep an answer with addresses.
    pub address_ttl: Duration,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}
