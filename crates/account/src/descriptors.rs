//! How many of a process's descriptors connections may take.

use eelgrassmill_base::value;
use rustix::process::{Resource, getrlimit};

/// Fewest and most connections that are accepted from other nodes.
const MIN_PEER_CONNECTIONS: usize = 32;
const MAX_PEER_CONNECTIONS: usize = 512;

value! { copy
    /// Descriptors that a process may use.
    pub struct DescriptorLimit(pub usize);
}

impl DescriptorLimit {
    /// The process's own limit.
    pub fn of_process() -> DescriptorLimit {
        let limit = getrlimit(Resource::Nofile).current;
        let limit = limit.and_then(|n| usize::try_from(n).ok());
        DescriptorLimit(limit.unwrap_or(usize::MAX))
    }

    /// Connections of clients. As many descriptors and some more are left for connections to hosts, to
    /// the platform's services and to other nodes.
    pub fn client_connections(&self) -> usize {
        (self.0 / 5 * 2).max(1)
    }

    /// Connections that are accepted from other nodes.
    pub fn peer_connections(&self) -> usize {
        (self.0 / 8).clamp(MIN_PEER_CONNECTIONS, MAX_PEER_CONNECTIONS)
    }
}
