//! What the node may hold for callers: limits, metrics and log lines.

use std::time::{Duration, Instant};

use eelgrassmill_account::{MemoryLimit, Pressure};
use rustix::process::{Resource, getrlimit};

use crate::settings::Limits;
use crate::state::core::Core;

/// A connection that waits for its caller for this long may be closed for another one.
pub(crate) const SILENT_TIME: Duration = Duration::from_secs(1);
/// The callers' port in metrics and logs.
const CALLERS: &str = "callers";

/// Memory that the process may use.
pub(crate) fn memory_limit(limits: &Limits) -> MemoryLimit {
    MemoryLimit {
        process: (limits.memory_mb as usize) << 20,
    }
}

/// Fewest and most connections that are accepted from other nodes.
const MIN_PEER_CONNECTIONS: usize = 32;
const MAX_PEER_CONNECTIONS: usize = 512;

/// Descriptors that the process may use.
fn descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Connections that are accepted from other nodes.
pub(crate) fn peer_connections() -> usize {
    (descriptors() / 8).clamp(MIN_PEER_CONNECTIONS, MAX_PEER_CONNECTIONS)
}

/// Connections of callers: as many descriptors and some more are left for those to targets, to the
/// table and to other nodes.
pub(crate) fn caller_connections(limits: &Limits) -> usize {
    let wanted = limits.connections as usize;
    let descriptors = descriptors();
    let most = (descriptors / 5 * 2).max(1);
    if most < wanted {
        tracing::warn!(
            wanted,
            most,
            descriptors,
            "limits.connections exceeds two fifths of the process's descriptors"
        );
    }
    wanted.min(most)
}

/// Which limits are reached, as logged last.
#[derive(Debug, Default)]
pub(crate) struct ClientPressure {
    memory: Pressure,
    connections: Pressure,
}

impl ClientPressure {
    /// Adapts the account to the memory of the process, sets the metrics, and logs when a limit is reached and when it no longer is.
    pub(crate) fn observe(&mut self, core: &Core, now: Instant) {
        memory_limit(&core.settings.limits).apply(&core.account);
        let usage = core.account.usage();
        core.metrics.set_client_bytes(&usage);
        if let Some(is_short) = self.memory.observe(usage.shortages(), now) {
            tracing::info!(
                is_short,
                held = usage.total(),
                limit = usage.limit,
                evicted_bodies = usage.evicted_bodies,
                evicted_connections = usage.evicted_connections,
                refused = usage.refused,
                "memory for callers"
            );
        }
        let usage = core.connections.usage();
        core.metrics.set_connections(CALLERS, &usage);
        if let Some(is_full) = self.connections.observe(usage.evicted, now) {
            tracing::info!(
                is_full,
                open = usage.open,
                limit = usage.limit,
                evicted = usage.evicted,
                "connections of callers"
            );
        }
    }
}
