//! What the node holds for callers: the limit of the account, metrics and log lines.

use std::sync::Mutex;
use std::time::Instant;

use eelgrassmill_account::{AccountUsage, ConnectionUsage, HeldKind, Pressure};
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::metrics::Metrics;
use crate::ports::Platform;

/// The ports of [`Core::ports`], by their names in metrics and logs.
pub(crate) const PORTS: [&str; 3] = ["callers", "ready", "directory"];

/// Which limits are reached, as logged last.
#[derive(Debug, Default)]
pub(crate) struct ClientPressure(Mutex<PressureState>);

#[derive(Debug, Default)]
struct PressureState {
    memory: Pressure,
    /// Observations since the memory of the process was looked at.
    since_look: u32,
    connections: [Pressure; PORTS.len()],
}

/// Observations between two looks at the memory of the process while little is held.
const CALM_OBSERVATIONS: u32 = 4;
/// Part of the account's limit from which on each observation looks, as 1 / this.
const BUSY_SHARE: usize = 8;

/// Adapts the account to the memory of the process, and logs when a limit is reached and when it no
/// longer is.
pub(crate) fn observe<P: Platform>(core: &Core<P>, now: Instant) {
    let mut state = locked(&core.client_pressure.0);
    let is_busy = core.account.usage().total() > core.account.usage().limit / BUSY_SHARE;
    state.since_look += 1;
    if is_busy || state.since_look >= CALM_OBSERVATIONS {
        state.since_look = 0;
        core.live().memory.apply(&core.account);
    }
    let usage = core.account.usage();
    if let Some(is_short) = state.memory.observe(usage.shortages(), now) {
        info!(
            event = "client-memory",
            outcome = if is_short { "short" } else { "free" },
            held = usage.total(),
            limit = usage.limit,
            evicted_bodies = usage.evicted_bodies,
            evicted_connections = usage.evicted_connections,
            refused = usage.refused,
        );
    }
    let ports = PORTS.iter().zip(&core.ports);
    for ((port, connections), pressure) in ports.zip(&mut state.connections) {
        let usage = connections.usage();
        if let Some(is_full) = pressure.observe(usage.evicted, now) {
            info!(
                event = "connections",
                port,
                outcome = if is_full { "full" } else { "free" },
                open = usage.open,
                limit = usage.limit,
                evicted = usage.evicted,
            );
        }
    }
}

/// Sets the metrics of what is held for callers.
pub(crate) fn set_metrics<P: Platform>(core: &Core<P>) {
    set_memory_metrics(&core.metrics, &core.account.usage());
    for (port, connections) in PORTS.iter().zip(&core.ports) {
        set_connection_metrics(&core.metrics, port, &connections.usage());
    }
}

fn set_memory_metrics(metrics: &Metrics, usage: &AccountUsage) {
    for kind in HeldKind::ALL {
        let gauge = metrics.client_bytes.with_label_values(&[kind.name()]);
        gauge.set(count(usage.held[kind as usize]));
    }
    metrics.client_bytes_limit.set(count(usage.limit));
    let actions = [
        ("body", usage.evicted_bodies),
        ("connection", usage.evicted_connections),
        ("refused", usage.refused),
    ];
    for (action, total) in actions {
        let counter = metrics.client_memory_short.with_label_values(&[action]);
        counter.inc_by(total.saturating_sub(counter.get()));
    }
}

fn set_connection_metrics(metrics: &Metrics, port: &str, usage: &ConnectionUsage) {
    let open = metrics.connections.with_label_values(&[port]);
    open.set(count(usage.open));
    let limit = metrics.connections_limit.with_label_values(&[port]);
    limit.set(count(usage.limit));
    let evicted = metrics.connections_evicted.with_label_values(&[port]);
    evicted.inc_by(usage.evicted.saturating_sub(evicted.get()));
}

fn count(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
