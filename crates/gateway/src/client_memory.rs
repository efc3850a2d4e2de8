//! Metrics and log lines of what the node holds for callers.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use eelgrassmill_account::{AccountUsage, HeldKind};
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::metrics::Metrics;
use crate::ports::Platform;

/// Time without an eviction or refusal after which memory is no longer short.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Whether memory for callers is short, as logged last.
#[derive(Debug, Default)]
pub(crate) struct MemoryPressure(Mutex<PressureState>);

#[derive(Debug, Default)]
struct PressureState {
    /// Evictions and refusals until the last observation.
    events: u64,
    last_event: Option<Instant>,
}

fn events(usage: &AccountUsage) -> u64 {
    usage.evicted_bodies + usage.evicted_connections + usage.refused
}

/// Logs when memory becomes short and when it no longer is.
pub(crate) fn observe<P: Platform>(core: &Core<P>, now: Instant) {
    let usage = core.account.usage();
    let mut state = locked(&core.memory_pressure.0);
    let events = events(&usage);
    let outcome = if events > state.events {
        let was_short = state.last_event.replace(now).is_some();
        (!was_short).then_some("short")
    } else {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= CALM_TIME;
        let ended = state.last_event.take_if(|at| is_over(*at));
        ended.map(|_| "free")
    };
    state.events = events;
    drop(state);
    if let Some(outcome) = outcome {
        info!(
            event = "client-memory",
            outcome,
            held = usage.total(),
            limit = usage.limit,
            evicted_bodies = usage.evicted_bodies,
            evicted_connections = usage.evicted_connections,
            refused = usage.refused,
        );
    }
}

/// Sets the metrics of the account.
pub(crate) fn set_metrics(metrics: &Metrics, usage: &AccountUsage) {
    for kind in HeldKind::ALL {
        let gauge = metrics.client_bytes.with_label_values(&[kind.name()]);
        gauge.set(count(usage.held[kind as usize] as u64));
    }
    metrics.client_bytes_limit.set(count(usage.limit as u64));
    let evictions = [
        ("body", usage.evicted_bodies),
        ("connection", usage.evicted_connections),
        ("refused", usage.refused),
    ];
    for (action, total) in evictions {
        let counter = metrics.client_memory_short.with_label_values(&[action]);
        counter.inc_by(total.saturating_sub(counter.get()));
    }
}

fn count(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
