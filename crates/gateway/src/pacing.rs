//! Pace of hosts as this node sees it: [`PacedHosts`] has the policy.
//!
//! Plain hosts are chosen by it. Heads are judged by their scheduler; this node's own view of them
//! is used while no scheduler answers, and to find requests that wait at a slow head.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, ModelName, ServiceName};
use eelgrassmill_fleet::{
    HostCandidate, PaceChange, PaceSummary, PacedHost, PacedHosts, Preference, SentRequest,
};
use smol_str::SmolStr;
use tracing::info;

use crate::call::Call;
use crate::core::Core;
use crate::heads::{Head, locked};
use crate::logs::LogRateLimit;
use crate::ports::Platform;
use crate::scheduler::engine_speed;

/// Predicted time of a plain host's response. Hosts are compared with each other alone, so any
/// constant gives the same result.
const PLAIN_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// The service, and the model if its hosts are heads.
type HostSet = (ServiceName, Option<ModelName>);

/// The paces that this node knows.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    sets: Mutex<BTreeMap<HostSet, Arc<Mutex<PacedHosts>>>>,
    shown: Mutex<BTreeMap<SmolStr, PaceSummary>>,
    log: Mutex<PaceLog>,
}

/// Rate limits of log lines, and the changes that were not logged since the last line.
#[derive(Debug, Default)]
struct PaceLog {
    windows: (LogRateLimit, u64),
    slow: (LogRateLimit, u64),
}

/// A request whose times count for the pace of its host, until it is dropped.
#[derive(Debug)]
pub(crate) struct PacedRequest {
    paces: Arc<Mutex<PacedHosts>>,
    host: HostId,
    request: SentRequest,
    expected: Duration,
    max_event_gap: Duration,
    last_event: Option<Instant>,
}

impl PacedRequest {
    /// Records an event, or the complete response if that is no stream.
    pub(crate) fn on_event(&mut self, now: Instant) {
        let mut paces = locked(&self.paces);
        match self.last_event.replace(now) {
            None => paces.on_first_event(&self.host, self.request, now),
            Some(last) => {
                let gap = now.saturating_duration_since(last);
                let times = [gap, self.expected, self.max_event_gap];
                paces.on_event_gap(&self.host, self.request, times, now);
            }
        }
    }

    /// Records that the host rejected or failed it.
    pub(crate) fn on_failed(&self) {
        locked(&self.paces).on_failed(&self.host, self.request);
    }
}

impl Drop for PacedRequest {
    fn drop(&mut self) {
        locked(&self.paces).on_end(&self.host, self.request, Instant::now());
    }
}

fn hosts_of<P: Platform>(core: &Core<P>, set: HostSet) -> Option<Arc<Mutex<PacedHosts>>> {
    if !core.cfg.policies.adaptive_pacing {
        return None;
    }
    Some(Arc::clone(locked(&core.paces.sets).entry(set).or_default()))
}

/// Begins to time a request to a plain host; `None` if its pace isn't adapted.
pub(crate) fn send_plain<P: Platform>(
    core: &Core<P>,
    call: &Call,
    service: &ServiceName,
    host: &HostId,
) -> Option<PacedRequest> {
    let paces = hosts_of(core, (service.clone(), None))?;
    let objective = call.route.latency_objective;
    begin(paces, host, PLAIN_RESPONSE_TIME, [objective, objective])
}

/// Begins to time a request to a head; `None` if its pace isn't adapted.
pub(crate) fn send_to_head<P: Platform>(
    core: &Core<P>,
    call: &Call,
    head: &Head,
) -> Option<PacedRequest> {
    let paces = hosts_of(core, (head.service.clone(), Some(head.model.clone())))?;
    observe_heads(core, &paces, &head.service, &head.model);
    let expected = engine_speed(core, &head.service, &head.model)?.pass_time(head.load(), 0);
    let objective = call.route.latency_objective;
    let stream = call.route.stream.as_ref();
    let max_event_gap = stream.map_or(objective, |s| s.max_event_gap);
    begin(paces, &head.host, expected, [objective, max_event_gap])
}

fn begin(
    paces: Arc<Mutex<PacedHosts>>,
    host: &HostId,
    expected: Duration,
    [objective, max_event_gap]: [Duration; 2],
) -> Option<PacedRequest> {
    let request = locked(&paces).on_sent(host, expected, objective, Instant::now())?;
    Some(PacedRequest {
        paces,
        host: host.clone(),
        request,
        expected,
        max_event_gap,
        last_event: None,
    })
}

/// Updates the list of a model's heads.
fn observe_heads<P: Platform>(
    core: &Core<P>,
    paces: &Mutex<PacedHosts>,
    service: &ServiceName,
    model: &ModelName,
) {
    let (now, nodes) = (Instant::now(), core.active_node_count());
    let listed: Vec<PacedHost> = {
        let heads = locked(&core.heads);
        let heads = heads.of_model(service, model);
        let listed = heads.map(|h| PacedHost {
            host: h.host.clone(),
            incarnation: h.epoch,
            slots: part_of(h.slots(), nodes),
            cold_limit: None,
        });
        listed.collect()
    };
    let mut paces = locked(paces);
    paces.observe(&listed, now);
    // Their scheduler logs the changes that matter.
    drop(paces.take_changes());
}

/// This node's part of the slots of a host that `nodes` nodes use.
pub(crate) fn part_of(slots: usize, nodes: usize) -> usize {
    (slots / nodes.max(1)).max(1)
}

/// Whether a head answers this node clearly more slowly than the other heads of its model.
pub(crate) fn is_slower<P: Platform>(core: &Core<P>, head: &Head) -> bool {
    let set = (head.service.clone(), Some(head.model.clone()));
    hosts_of(core, set).is_some_and(|paces| {
        observe_heads(core, &paces, &head.service, &head.model);
        let (_, slowdown) = locked(&paces).preference(&head.host, false, Instant::now());
        slowdown > 1.0
    })
}

/// The heads of `candidates` that are preferred; see [`preferred`].
pub(crate) fn preferred_heads<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
    candidates: Vec<HostCandidate>,
) -> Vec<HostCandidate> {
    match hosts_of(core, (service.clone(), Some(model.clone()))) {
        Some(paces) => preferred(&locked(&paces), candidates, true, Instant::now()),
        None => candidates,
    }
}

/// The plain hosts of `candidates` that are preferred; see [`preferred`]. `listed` are all hosts of
/// the service.
pub(crate) fn preferred_plain<P: Platform>(
    core: &Core<P>,
    service: &str,
    listed: impl FnOnce() -> Vec<PacedHost>,
    candidates: Vec<HostCandidate>,
    is_first_attempt: bool,
    now: Instant,
) -> Vec<HostCandidate> {
    let Some(paces) = hosts_of(core, (service.into(), None)) else {
        return candidates;
    };
    let mut paces = locked(&paces);
    paces.observe(&listed(), now);
    let changes = paces.take_changes();
    report(core, service, paces.summary(), changes, now);
    preferred(&paces, candidates, is_first_attempt, now)
}

/// The candidates of the best preference, with the load that a host of normal speed would need to
/// be as late. Hosts beyond their window are left if there are no others, since the windows of this
/// node don't show that a host is full.
fn preferred(
    paces: &PacedHosts,
    candidates: Vec<HostCandidate>,
    may_try: bool,
    now: Instant,
) -> Vec<HostCandidate> {
    let rated: Vec<(Preference, HostCandidate)> = candidates
        .into_iter()
        .map(|mut candidate| {
            let (preference, slowdown) = paces.preference(&candidate.host, may_try, now);
            let load = (candidate.load + 1) as f64 * slowdown;
            candidate.load = (load.ceil() as usize).saturating_sub(1);
            (preference, candidate)
        })
        .collect();
    let best = rated.iter().map(|(preference, _)| *preference).min();
    let of_best = rated.into_iter().filter(|(p, _)| Some(*p) == best);
    of_best.map(|(_, candidate)| candidate).collect()
}

/// Updates the metrics of a set of hosts, named `set`, and logs changes.
pub(crate) fn report<P: Platform>(
    core: &Core<P>,
    set: &str,
    summary: PaceSummary,
    changes: impl IntoIterator<Item = (HostId, PaceChange)>,
    now: Instant,
) {
    let mut changes = changes.into_iter().peekable();
    if changes.peek().is_none() {
        return;
    }
    show(core, set, summary);
    let mut log = locked(&core.paces.log);
    for (host, change) in changes {
        let (limit, unlogged) = match change {
            PaceChange::WindowBegan | PaceChange::WindowEnded => &mut log.windows,
            PaceChange::SlowBegan | PaceChange::SlowEnded => &mut log.slow,
        };
        if !limit.is_due(now) {
            *unlogged += 1;
            continue;
        }
        let outcome = match change {
            PaceChange::WindowBegan => "window-began",
            PaceChange::WindowEnded => "window-ended",
            PaceChange::SlowBegan => "slow-began",
            PaceChange::SlowEnded => "slow-ended",
        };
        let (paced, slow) = (summary.paced, summary.slow);
        info!(event = "pace", hosts = %set, %host, outcome, paced, slow, unlogged = *unlogged);
        *unlogged = 0;
    }
}

/// Updates the metrics of a set of hosts; an empty summary removes it.
pub(crate) fn show<P: Platform>(core: &Core<P>, set: &str, summary: PaceSummary) {
    let mut shown = locked(&core.paces.shown);
    if summary == PaceSummary::default() {
        shown.remove(set);
    } else {
        shown.insert(set.into(), summary);
    }
    let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
    let paced = shown.values().map(|s| s.paced).sum();
    let slow = shown.values().map(|s| s.slow).sum();
    core.metrics.paced_hosts.set(gauge(paced));
    core.metrics.slow_hosts.set(gauge(slow));
}
