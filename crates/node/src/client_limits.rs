//! What the node may hold for callers: limits, metrics and log lines.

use std::time::{Duration, Instant};

use eelgrassmill_account::{DescriptorLimit, MemoryLimit, Pressure};

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

/// Connections of callers, as far as the process's descriptors go.
pub(crate) fn caller_connections(limits: &Limits) -> usize {
    let wanted = limits.connections as usize;
    let most = DescriptorLimit::of_process().client_connections();
    if most < wanted {
        tracing::warn!(
            wanted,
            most,
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
