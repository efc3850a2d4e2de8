//! What hosts say of themselves in their answers, and which requests that permits.
//!
//! A host may ask a node for rest, which binds that node alone. Request rates that hosts in need name
//! are kept over all nodes. Such a limit may be far less than one request per second and node, so
//! nodes can't divide it. One node decides on all requests to a host: the scheduler of its model, or
//! for plain hosts the node that ranks first for the host. That node also publishes the host's limit
//! to all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, NodeId};
use eelgrassmill_fleet::{
    HostObservation, HostSignals, Millionths, Order, OrderReply, RequestPermits, RequestedRest,
    ReturnTimes, ranked_for_role,
};
use eelgrassmill_peer::{Item, ItemKey, LimitReply, LimitRequest, TargetLimit, WireTargetLimit};
use http::{HeaderMap, StatusCode};
use smallvec::SmallVec;
use tracing::{info, warn};

use crate::control_timeouts::ControlTimeouts;
use crate::core::Core;
use crate::heads::locked;
use crate::logs::LogRateLimit;
use crate::ports::{
    Dialect, HostControl, HostReport, HostUnavailable, NamedLimit, Platform, ResponseClass,
};
use crate::refusal::{Refusal, RefusalCause};

/// How long observations are batched before they are reported. Another node's may arrive first.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// How often nodes check which limits they have to publish.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of limits checked at a time: ranking the nodes for each of a thousand hosts takes
/// tens of milliseconds.
const MAX_CHECKS: usize = 128;
/// Timeout of a call to the node that keeps a limit.
const RPC_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a host isn't asked for again if the node that keeps its limit gave no answer.
const RETRY_AFTER_NO_KEEPER: Duration = Duration::from_secs(1);
/// Longest part of a header's value in a log line, in characters.
const MAX_LOGGED_CHARS: usize = 60;

/// What this node knows of hosts by their answers, and the limits that it keeps.
#[derive(Debug)]
pub(crate) struct SignalState {
    signals: Mutex<HostSignals>,
    permits: Mutex<RequestPermits>,
    /// Observations that the nodes which publish them don't have yet.
    unreported: Mutex<BTreeSet<HostId>>,
    /// What this node published: when limits were observed, and which starts of hosts leave.
    published: Mutex<BTreeMap<HostId, (Instant, Option<u64>)>>,
    /// Plain hosts whose limits are used up.
    denied: Mutex<BTreeMap<HostId, Denial>>,
    return_times: Mutex<ReturnTimes>,
    control_timeouts: Mutex<ControlTimeouts>,
    /// Rate limit for log lines on values that are ignored.
    log_limit: Mutex<LogRateLimit>,
}

impl Default for SignalState {
    fn default() -> SignalState {
        SignalState {
            signals: Mutex::default(),
            permits: Mutex::default(),
            unreported: Mutex::default(),
            published: Mutex::default(),
            denied: Mutex::default(),
            log_limit: Mutex::default(),
            control_timeouts: Mutex::default(),
            return_times: Mutex::new(ReturnTimes::new(fastrand::f64())),
        }
    }
}

/// A used-up limit.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// When the host takes a request again.
    until: Instant,
    /// When callers that were rejected may come back.
    retry_at: Instant,
}

impl SignalState {
    /// The requests per second that a host takes from all nodes together, if it names a limit.
    pub(crate) fn limit(&self, host: &str) -> Option<Millionths> {
        locked(&self.signals).limit(host)
    }

    /// Whether a host has asked this node for rest, which isn't over.
    pub(crate) fn is_resting(&self, host: &str, now: Instant) -> bool {
        locked(&self.signals).rest(host, now).is_some()
    }

    /// How long the first of some hosts still rests; `None` if one of them doesn't rest, or there is
    /// none.
    pub(crate) fn shortest_rest<'h>(
        &self,
        hosts: impl IntoIterator<Item = &'h HostId>,
        now: Instant,
    ) -> Option<Duration> {
        let signals = locked(&self.signals);
        let rests = hosts.into_iter().map(|host| signals.rest(host, now));
        let rests: Option<SmallVec<[Duration; 8]>> = rests.collect();
        rests?.into_iter().min()
    }

    /// The refusal of a request whose hosts all rest, the first of them for `remaining` more.
    pub(crate) fn rest_refusal(&self, remaining: Duration) -> Refusal {
        let retry_after = locked(&self.return_times).next(remaining);
        Refusal::with_retry_after(RefusalCause::HostRest, retry_after)
    }

    /// Whether a plain host's limit is known to be used up.
    pub(crate) fn is_denied(&self, host: &str, now: Instant) -> bool {
        let denied = locked(&self.denied);
        denied.get(host).is_some_and(|denial| now < denial.until)
    }

    /// Time after which callers that some plain hosts don't take may come back; `None` if none of
    /// the hosts has a limit that is used up.
    pub(crate) fn retry_after<'h>(
        &self,
        hosts: impl Iterator<Item = &'h HostId>,
        now: Instant,
    ) -> Option<Duration> {
        let denied = locked(&self.denied);
        let used_up = hosts.filter_map(|host| denied.get(host));
        let used_up = used_up.filter(|denial| now < denial.until);
        let retry_at = used_up.map(|denial| denial.retry_at).min()?;
        Some(retry_at.saturating_duration_since(now))
    }
}

/// Handles the head of an answer of a host that started at `started_ms`. Returns whether it rejects
/// a request for the sake of rest.
pub(crate) fn observe<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    started_ms: u64,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    observe_limit(core, host, status, headers);
    observe_own_state(core, host, started_ms, status, headers)
}

/// Requests a host's report, and reads the head of its answer. `usual` is the timeout unless the host
/// is known to take longer.
pub(crate) async fn report<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    address: &str,
    usual: Duration,
) -> Result<HostReport, HostUnavailable> {
    let on_answer = control_observer(core, host);
    let control = core.platform.control();
    let timeouts = &core.host_signals.control_timeouts;
    let timeout = locked(timeouts).timeout(host, usual);
    let began = Instant::now();
    let report = control.report(host, address, timeout, on_answer).await;
    if report.is_ok() {
        locked(timeouts).record_answer(host, began.elapsed(), usual);
    }
    report
}

/// Sends an order to a host, and reads the head of its answer. `usual` is the timeout unless the host
/// is known to take longer.
pub(crate) async fn order<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    address: &str,
    order: &Order,
    usual: Duration,
) -> Result<OrderReply, HostUnavailable> {
    let on_answer = control_observer(core, host);
    let control = core.platform.control();
    let timeout = locked(&core.host_signals.control_timeouts).timeout(host, usual);
    control
        .order(host, address, order, timeout, on_answer)
        .await
}

/// Records that a host that counts as silent didn't answer a report request in time.
pub(crate) fn record_silence<P: Platform>(core: &Core<P>, host: &HostId, usual: Duration) {
    let fleet = locked(&core.fleet);
    let mut timeouts = locked(&core.host_signals.control_timeouts);
    timeouts.retain(|id| fleet.host(id).is_some());
    timeouts.record_silence(host, usual);
}

/// Handles the head of an answer to an order or a report request. It says nothing of the limit on
/// requests.
fn control_observer<'c, P: Platform>(
    core: &'c Core<P>,
    host: &'c HostId,
) -> impl FnOnce(StatusCode, &HeaderMap) + Send + 'c {
    let known = locked(&core.fleet).host(host).map(|h| h.started_ms);
    move |status, headers| {
        let class = core.platform.dialect().classify(status, headers);
        if let Some(started_ms) = known.filter(|_| class != ResponseClass::WrongHost) {
            observe_own_state(core, host, started_ms, status, headers);
        }
    }
}

/// Handles what an answer says but for the limit. Returns whether it rejects a request for the sake
/// of rest: those that were sent before it began are rejected without asking for it again.
fn observe_own_state<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    started_ms: u64,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    if let Some(value) = core.platform.dialect().host_leaving(headers) {
        observe_leaving(core, host, started_ms, value);
    }
    let is_resting = || core.host_signals.is_resting(host, Instant::now());
    status == StatusCode::SERVICE_UNAVAILABLE && (observe_rest(core, host, headers) || is_resting())
}

fn observe_leaving<P: Platform>(core: &Core<P>, host: &HostId, started_ms: u64, value: &str) {
    let state = &core.host_signals;
    let now = Instant::now();
    if value.trim() != "1" {
        if locked(&state.log_limit).is_due(now) {
            let named: String = value.chars().take(MAX_LOGGED_CHARS).collect();
            info!(event = "host-leaving", %host, outcome = "ignored", named);
        }
        return;
    }
    if locked(&state.signals).on_leaving(host, started_ms, now) {
        locked(&state.unreported).insert(host.clone());
        mark_leaving(core, host, started_ms, "answer");
    }
}

/// Treats a host like one whose entry says that it leaves.
fn mark_leaving<P: Platform>(core: &Core<P>, host: &HostId, started_ms: u64, source: &str) {
    if !locked(&core.fleet).on_leaving(host, started_ms, Instant::now()) {
        return;
    }
    info!(event = "host-leaving", %host, outcome = "leaves", source);
    core.refresh_heads();
}

/// Only a success without a limit shows that there is none: hosts may reject requests in fewer words.
fn observe_limit<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let state = &core.host_signals;
    let limit = match core.platform.dialect().host_limit(headers) {
        NamedLimit::PerSecond(limit) => Some(Millionths::of(limit)),
        NamedLimit::Absent if status.is_success() => None,
        NamedLimit::Absent => return,
        NamedLimit::Unreadable => {
            if locked(&state.log_limit).is_due(Instant::now()) {
                warn!(event = "host-limit", %host, outcome = "unreadable");
            }
            return;
        }
    };
    if locked(&state.signals).observe(host, limit, Instant::now()) {
        locked(&state.unreported).insert(host.clone());
        on_change(core, host, limit, "answer");
    }
}

fn observe_rest<P: Platform>(core: &Core<P>, host: &HostId, headers: &HeaderMap) -> bool {
    let values = core.platform.dialect().host_rest(headers);
    let Some(rest) = RequestedRest::parse(values.iter().copied()) else {
        return false;
    };
    let now = Instant::now();
    let state = &core.host_signals;
    let is_news = locked(&state.signals).on_rest(host, rest, now);
    if is_news {
        show_resting(core, now);
        let outcome = if rest.is_bounded { "bounded" } else { "named" };
        let named = values.join(", ");
        let named: String = named.chars().take(MAX_LOGGED_CHARS).collect();
        info!(
            event = "host-rest", %host, outcome, named, seconds = rest.duration.as_secs_f64(),
        );
    }
    true
}

fn show_resting<P: Platform>(core: &Core<P>, now: Instant) {
    let resting = locked(&core.host_signals.signals).resting(now);
    let shown = i64::try_from(resting).unwrap_or(i64::MAX);
    core.metrics.resting_hosts.set(shown);
}

/// Handles a limit that another node published.
pub(crate) fn on_item<P: Platform>(core: &Core<P>, from: &NodeId, item: &TargetLimit, at: Instant) {
    let limit = item.limit_millionths.map(Millionths::from_count);
    let observation = HostObservation {
        host: item.host.clone(),
        limit,
        leaving: item.leaving_start_ms,
        age: item.age + at.elapsed(),
    };
    merge(core, &observation, from);
}

/// Merges an observation. Returns whether it is newer than the known one.
fn merge<P: Platform>(core: &Core<P>, observation: &HostObservation, from: &NodeId) -> bool {
    let state = &core.host_signals;
    let host = &observation.host;
    let before = state.limit(host);
    let is_newer = locked(&state.signals).merge(observation, Instant::now());
    if is_newer {
        locked(&state.unreported).remove(host);
        let limit = state.limit(host);
        if before != limit {
            on_change(core, host, limit, from);
        }
        if let Some(started_ms) = observation.leaving {
            mark_leaving(core, host, started_ms, from);
        }
    }
    is_newer
}

fn on_change<P: Platform>(core: &Core<P>, host: &HostId, limit: Option<Millionths>, source: &str) {
    let state = &core.host_signals;
    if limit.is_none() {
        locked(&state.denied).remove(host);
    }
    let limited = locked(&state.signals).limited();
    let shown = i64::try_from(limited).unwrap_or(i64::MAX);
    core.metrics.limited_hosts.set(shown);
    let outcome = if limit.is_some() { "named" } else { "lifted" };
    let per_second = limit.map_or(0.0, Millionths::get);
    info!(event = "host-limit", %host, outcome, per_second, source);
}

/// Asks to send one request to a plain host. Always permitted if it names no limit.
pub(crate) async fn may_send<P: Platform>(core: &Arc<Core<P>>, host: &HostId) -> bool {
    if core.host_signals.limit(host).is_none() {
        return true;
    }
    let req = request(core, [host], host);
    let reply = match keeper(core, host) {
        Some(node) => send(core, &node, req).await,
        None => None,
    };
    let (available_in, retry_after) = match reply {
        Some(reply) if reply.permitted => return true,
        Some(reply) => (
            Duration::from_millis(reply.available_in_ms),
            Duration::from_millis(reply.retry_after_ms),
        ),
        None => (RETRY_AFTER_NO_KEEPER, RETRY_AFTER_NO_KEEPER),
    };
    let service = locked(&core.fleet).host(host).map(|h| h.service.clone());
    core.metrics.count_limited(&service.unwrap_or_default());
    let now = Instant::now();
    let denial = Denial {
        until: now + available_in,
        retry_at: now + retry_after,
    };
    locked(&core.host_signals.denied).insert(host.clone(), denial);
    false
}

fn request<'h, P: Platform>(
    core: &Core<P>,
    observed: impl IntoIterator<Item = &'h HostId>,
    host: &str,
) -> LimitRequest {
    let now = Instant::now();
    let limits = locked(&core.host_signals.signals);
    let observations = observed
        .into_iter()
        .filter_map(|h| limits.observation(h, now));
    LimitRequest {
        from: core.cfg.node.to_string(),
        observations: observations.map(wire_observation).collect(),
        host: host.to_owned(),
    }
}

fn wire_observation(observation: HostObservation) -> WireTargetLimit {
    WireTargetLimit {
        host: observation.host.to_string(),
        limit_millionths: observation.limit.map(Millionths::count),
        age_ms: observation.age.as_millis() as u64,
        leaving_start_ms: observation.leaving,
    }
}

async fn send<P: Platform>(
    core: &Arc<Core<P>>,
    node: &NodeId,
    req: LimitRequest,
) -> Option<LimitReply> {
    if *node == core.cfg.node {
        return Some(handle(core, req));
    }
    let peer = core.peer()?;
    peer.call_limit_keeper(node, req, RPC_TIMEOUT).await.ok()
}

/// Handles another node's observations, and its request to a plain host whose limit is kept here.
pub(crate) fn handle<P: Platform>(core: &Core<P>, req: LimitRequest) -> LimitReply {
    let from = NodeId::from(req.from.as_str());
    for observation in req.observations {
        let observation = HostObservation {
            host: observation.host.into(),
            limit: observation.limit_millionths.map(Millionths::from_count),
            leaving: observation.leaving_start_ms,
            age: Duration::from_millis(observation.age_ms),
        };
        let is_newer = merge(core, &observation, &from);
        if is_newer || from == core.cfg.node {
            publish(core, &observation.host);
        }
    }
    let Some(limit) = core.host_signals.limit(&req.host) else {
        return LimitReply {
            permitted: true,
            ..LimitReply::default()
        };
    };
    let host = HostId::from(req.host.as_str());
    match locked(&core.host_signals.permits).request(&host, limit, Instant::now()) {
        Ok(()) => LimitReply {
            permitted: true,
            ..LimitReply::default()
        },
        Err(reached) => LimitReply {
            permitted: false,
            available_in_ms: reached.available_in.as_millis() as u64,
            retry_after_ms: reached.retry_after.as_millis() as u64,
        },
    }
}

/// Publishes what is known of a host's limit, unless it is published.
fn publish<P: Platform>(core: &Core<P>, host: &HostId) {
    let Some(peer) = core.peer() else { return };
    let now = Instant::now();
    let Some(known) = locked(&core.host_signals.signals).observation(host, now) else {
        return;
    };
    let version = (now.checked_sub(known.age).unwrap_or(now), known.leaving);
    let before = locked(&core.host_signals.published).insert(host.clone(), version);
    if before == Some(version) {
        return;
    }
    peer.publish(Item::TargetLimit(TargetLimit {
        host: known.host,
        limit_millionths: known.limit.map(Millionths::count),
        leaving_start_ms: known.leaving,
        age: known.age,
    }));
}

/// Reports and publishes limits until the process ends.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let mut checked_at = Instant::now();
    let mut next_check = None;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        report_observations(&core).await;
        let now = Instant::now();
        if now.saturating_duration_since(checked_at) >= CHECK_INTERVAL {
            checked_at = now;
            prune(&core, now);
            next_check = publish_adopted(&core, next_check);
        }
    }
}

/// Reports this node's observations to the nodes that publish them. Those without an answer are
/// reported again.
async fn report_observations<P: Platform>(core: &Arc<Core<P>>) {
    let unreported = std::mem::take(&mut *locked(&core.host_signals.unreported));
    let mut by_node: BTreeMap<NodeId, Vec<HostId>> = BTreeMap::new();
    for host in unreported {
        if let Some(node) = keeper(core, &host) {
            by_node.entry(node).or_default().push(host);
        }
    }
    for (node, hosts) in by_node {
        let req = request(core, &hosts, "");
        if send(core, &node, req).await.is_none() {
            locked(&core.host_signals.unreported).extend(hosts);
        }
    }
}

/// Forgets hosts that are no longer listed.
fn prune<P: Platform>(core: &Core<P>, now: Instant) {
    let state = &core.host_signals;
    if locked(&state.signals).is_empty() {
        return;
    }
    {
        let fleet = locked(&core.fleet);
        let listed: BTreeSet<&HostId> = fleet.hosts().map(|h| &h.id).collect();
        locked(&state.signals).prune(&listed, now);
    }
    locked(&state.denied).retain(|_, denial| now < denial.until);
    show_resting(core, now);
    // The list of hosts may be newer than what other nodes said of them.
    let leaving: Vec<(HostId, u64)> = {
        let signals = locked(&state.signals);
        signals.leaving().map(|(h, at)| (h.clone(), at)).collect()
    };
    core.metrics
        .leaving_hosts
        .set(i64::try_from(leaving.len()).unwrap_or(i64::MAX));
    for (host, started_ms) in leaving {
        mark_leaving(core, &host, started_ms, "answer");
    }
    let limits = locked(&state.signals);
    let shown = i64::try_from(limits.limited()).unwrap_or(i64::MAX);
    core.metrics.limited_hosts.set(shown);
    let is_known = |host: &HostId| limits.observation(host, now).is_some();
    locked(&state.published).retain(|host, _| {
        let keep = is_known(host);
        if !keep && let Some(peer) = core.peer() {
            peer.withdraw(&ItemKey::TargetLimit(host.clone()));
        }
        keep
    });
}

/// Publishes limits that former nodes published, and withdraws those that are others' now. Checks
/// up to [`MAX_CHECKS`] from `from` on, and returns where to go on.
fn publish_adopted<P: Platform>(core: &Core<P>, from: Option<HostId>) -> Option<HostId> {
    let mut hosts: Vec<HostId> = {
        let limits = locked(&core.host_signals.signals);
        let rest = limits
            .hosts()
            .filter(|h| from.as_ref().is_none_or(|f| *h >= f));
        rest.take(MAX_CHECKS + 1).cloned().collect()
    };
    let next = (hosts.len() > MAX_CHECKS).then(|| hosts.pop()).flatten();
    for host in hosts {
        let is_kept_here = keeper(core, &host).is_some_and(|node| node == core.cfg.node);
        if is_kept_here {
            publish(core, &host);
        } else if locked(&core.host_signals.published).remove(&host).is_some()
            && let Some(peer) = core.peer()
        {
            peer.withdraw(&ItemKey::TargetLimit(host));
        }
    }
    next
}

/// The node that publishes a host's limit, and keeps it if it is a plain host.
fn keeper<P: Platform>(core: &Core<P>, host: &HostId) -> Option<NodeId> {
    let nodes = locked(&core.nodes);
    let own = (!core.is_leaving()).then(|| core.as_candidate());
    let candidates = nodes.alive(Instant::now()).chain(own);
    let ranked = ranked_for_role(&format!("limit/{host}"), None, candidates);
    ranked.first().map(|node| (*node).clone())
}
