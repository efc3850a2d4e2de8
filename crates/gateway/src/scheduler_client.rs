//! Scheduler client: asks a model's scheduler for a slot at one of the model's heads.
//!
//! A model with few replicas has one scheduler; a larger one is sharded by failure domain. If no
//! scheduler answers, the node places the request itself by reported loads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, HostId, ModelName, NodeId, ServiceName};
use eelgrassmill_fleet::{DomainLoad, choose_domain, ranked_for_role};
use eelgrassmill_peer::{
    ScheduleReply, ScheduleRequest, SlotDecision, SlotEvent, SlotEventKind, SlotRequest,
};
use smallvec::SmallVec;
use tracing::info;

use crate::call::Call;
use crate::core::Core;
use crate::heads::{Head, SlotGuard, locked};
use crate::ports::Platform;
use crate::scheduler::{self, Scope};
use crate::slot_events::{self, EventBatch, SchedulerKey};

/// Replicas served by one scheduler shard; larger models are sharded by failure domain.
const MAX_REPLICAS_PER_SHARD: f64 = 10.0;
/// How long a scheduler may hold a slot request before it replies that the request still waits. A
/// dead scheduler is detected only by a request without a reply.
const RPC_WAIT: Duration = Duration::from_millis(150);
/// Allowance for a reply beyond that; shorter than the retransmission of a lost packet.
const RPC_SLACK: Duration = Duration::from_millis(80);
/// How long a scheduler that timed out stays ejected: by then it counts as dead or has recovered.
const EJECTION_PERIOD: Duration = Duration::from_secs(2);
/// Candidate schedulers for a scope. A node that has ejected all of them is likely partitioned
/// itself and must not become a scheduler that knows of no other node's requests.
const MAX_SCHEDULER_CHOICES: usize = 2;
/// Timeout for sending slot events.
const SLOT_EVENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Grants of heads that this node knows to be lost, or doesn't know yet, after which it places
/// the request itself.
const MAX_STALE_GRANTS: usize = 2;

/// Schedulers ejected by this node.
#[derive(Debug, Default)]
pub(crate) struct SchedulerClient {
    ejected: Mutex<BTreeMap<NodeId, Instant>>,
}

/// A slot that was requested or granted. Dropping it releases the slot, also if the caller
/// disconnected while the request waited.
pub(crate) struct Permit<P: Platform> {
    core: Arc<Core<P>>,
    node: NodeId,
    scope: Scope,
    number: u64,
    /// Whether the scheduler knows that the slot is free.
    is_released: bool,
}

impl<P: Platform> Drop for Permit<P> {
    fn drop(&mut self) {
        if !self.is_released {
            self.report(SlotEventKind::Released);
        }
    }
}

impl<P: Platform> Permit<P> {
    /// Reports that the first token arrived.
    pub(crate) fn started(&self) {
        self.report(SlotEventKind::Started);
    }

    /// Reports that the head rejected the request, or that nothing is to be sent to it.
    pub(crate) fn rejected(self) {
        self.end(SlotEventKind::Rejected);
    }

    /// Reports that the head failed the request before its first event.
    pub(crate) fn failed(self) {
        self.end(SlotEventKind::Failed);
    }

    fn end(mut self, event: SlotEventKind) {
        self.report(event);
        self.is_released = true;
    }

    fn report(&self, event: SlotEventKind) {
        let slot_event = SlotEvent {
            request_number: self.number,
            event: event.into(),
        };
        let to = (self.node.clone(), self.scope.clone());
        slot_events::report(&self.core, &to, slot_event);
    }
}

/// Sends the slot events for a scheduler that no other call carries.
pub(crate) async fn send_slot_events<P: Platform>(core: &Arc<Core<P>>, to: &SchedulerKey) {
    let (node, scope) = to;
    let batch = EventBatch::take(core, to);
    let is_up = *node == core.cfg.node || locked(&core.nodes).is_alive(node, Instant::now());
    if batch.is_empty() || !is_up {
        return;
    }
    let req = request(core, scope, None, batch.messages());
    if send(core, node, req, SLOT_EVENT_TIMEOUT).await.is_some() {
        batch.acknowledge();
    }
}

fn request<P: Platform>(
    core: &Core<P>,
    scope: &Scope,
    slot_request: Option<SlotRequest>,
    slot_events: Vec<SlotEvent>,
) -> ScheduleRequest {
    ScheduleRequest {
        from: core.cfg.node.to_string(),
        failure_domain: core.cfg.failure_domain.to_string(),
        service: scope.service.to_string(),
        model: scope.model.to_string(),
        head_domain: scope.heads_in.as_deref().unwrap_or_default().to_owned(),
        slot_request,
        slot_events,
        suspected_replicas: suspected_replicas(core, scope),
    }
}

/// The replicas of a scope that are suspected here: nodes without streams there don't know.
fn suspected_replicas<P: Platform>(core: &Core<P>, scope: &Scope) -> Vec<String> {
    let heads = locked(&core.heads);
    let suspected = heads
        .all()
        .filter(|h| h.is_suspected() && h.service == scope.service && h.model == scope.model);
    suspected.map(|h| h.replica.to_string()).collect()
}

/// Calls a scheduler, which may be at this node. `None` if it gives no reply.
async fn send<P: Platform>(
    core: &Arc<Core<P>>,
    node: &NodeId,
    req: ScheduleRequest,
    timeout: Duration,
) -> Option<ScheduleReply> {
    if *node == core.cfg.node {
        return Some(scheduler::handle(Arc::clone(core), req).await);
    }
    let peer = core.peer()?;
    peer.call_scheduler(node, req, timeout).await.ok()
}

/// The outcome of asking for a slot.
pub(crate) enum Acquired<P: Platform> {
    /// A slot was granted.
    Granted(Box<SlotGuard<P>>),
    /// No slot became free in time; one is free after this time, if that is known.
    Full(Option<Duration>),
    /// The limits that the heads name are used up for this long.
    Limited(Duration),
    /// All heads rest, the first of them for this much longer.
    Resting(Duration),
    /// No scheduler answers.
    NoScheduler,
}

/// A request for a slot.
pub(crate) struct SlotQuery<'w> {
    pub(crate) call: &'w Call,
    pub(crate) service: &'w ServiceName,
    pub(crate) model: &'w ModelName,
    /// It resumes after the loss of its replica.
    pub(crate) resumed: bool,
    pub(crate) avoid: &'w [HostId],
    /// When to give up.
    pub(crate) until: Instant,
}

/// Asks for a slot.
pub(crate) async fn acquire<P: Platform>(
    core: &Arc<Core<P>>,
    query: &SlotQuery<'_>,
) -> Acquired<P> {
    let mut stale = 0;
    let mut ejected = 0;
    let mut waiting: Option<Permit<P>> = None;
    let mut limited = LimitedScopes::default();
    loop {
        if let Some(rest) = shortest_rest(core, query) {
            // The caller of a stream that resumes has a part of it and can't come back later.
            if !query.resumed || Instant::now() + rest >= query.until {
                return Acquired::Resting(rest);
            }
            waiting = None;
            tokio::time::sleep(rest).await;
            continue;
        }
        // Chosen again at each turn: the heads of another failure domain may have room by now, and
        // after an ejection another node schedules.
        let chosen = scheduler_for(core, query.service, query.model, &limited.domains);
        let Some((scope, node)) = chosen else {
            return limited
                .retry_after
                .map_or(Acquired::NoScheduler, Acquired::Limited);
        };
        let same = waiting
            .take()
            .filter(|p| p.node == node && p.scope == scope);
        let mut permit = same.unwrap_or_else(|| new_permit(core, node, scope));
        let Some(reply) = request_slot(core, query, &permit).await else {
            eject(core, &permit.node, &permit.scope);
            ejected += 1;
            if ejected >= MAX_SCHEDULER_CHOICES {
                return Acquired::NoScheduler;
            }
            continue;
        };
        match reply.decision() {
            SlotDecision::Waiting => {
                waiting = Some(permit);
                continue;
            }
            SlotDecision::Full => {
                permit.is_released = true;
                let retry_after = Duration::from_millis(reply.retry_after_ms);
                return Acquired::Full((!retry_after.is_zero()).then_some(retry_after));
            }
            SlotDecision::Limited => {
                permit.is_released = true;
                let retry_after = Duration::from_millis(reply.retry_after_ms);
                limited.push(permit.scope.heads_in.clone(), retry_after);
                continue;
            }
            SlotDecision::Unknown => return Acquired::NoScheduler,
            SlotDecision::Granted => {}
        }
        match granted_head(core, &reply) {
            Some(head) if !core.host_signals.is_resting(&head.host, Instant::now()) => {
                return Acquired::Granted(Box::new(head.enter(Some(permit))));
            }
            // It has asked for rest meanwhile; dropping the permit releases its slot.
            Some(_) => {}
            None => permit.rejected(),
        }
        stale += 1;
        if stale >= MAX_STALE_GRANTS {
            return Acquired::NoScheduler;
        }
    }
}

/// The scopes whose heads' limits are used up for one request.
#[derive(Debug, Default)]
struct LimitedScopes {
    /// Their failure domains; `None` for a scope of all heads.
    domains: SmallVec<[Option<FailureDomain>; 4]>,
    /// The shortest Retry-After.
    retry_after: Option<Duration>,
}

impl LimitedScopes {
    fn push(&mut self, domain: Option<FailureDomain>, retry_after: Duration) {
        self.domains.push(domain);
        let shortest = self.retry_after.map_or(retry_after, |r| r.min(retry_after));
        self.retry_after = Some(shortest);
    }
}

/// Asks for a slot under the number of `permit`. `None` if the scheduler gives no reply.
async fn request_slot<P: Platform>(
    core: &Arc<Core<P>>,
    query: &SlotQuery<'_>,
    permit: &Permit<P>,
) -> Option<ScheduleReply> {
    let mut slot_request = slot_request(query, permit.number);
    slot_request.excluded_hosts = resting_hosts(core, query, &permit.scope);
    let batch = EventBatch::take(core, &(permit.node.clone(), permit.scope.clone()));
    let wait = Duration::from_millis(slot_request.wait_ms.into());
    let req = request(core, &permit.scope, Some(slot_request), batch.messages());
    let reply = send(core, &permit.node, req, wait + RPC_SLACK).await?;
    batch.acknowledge();
    // Already set if it waited or was granted a slot before.
    let _ = query.call.demand_counted.set(());
    Some(reply)
}

/// The granted head, unless this node doesn't know it or knows that it takes no new requests.
///
/// A scheduler without access to the store may grant a host that is leaving. Nodes that know of
/// that must not send it anything.
fn granted_head<P: Platform>(core: &Core<P>, reply: &ScheduleReply) -> Option<Arc<Head>> {
    let (replica, epoch) = scheduler::granted_head(reply)?;
    let heads = locked(&core.heads);
    let head = heads.open(&replica, epoch)?;
    (!head.is_lost()).then(|| Arc::clone(head))
}

/// How long the first of a model's heads still rests; `None` if one of them doesn't rest.
fn shortest_rest<P: Platform>(core: &Core<P>, query: &SlotQuery<'_>) -> Option<Duration> {
    let heads = locked(&core.heads);
    let heads = heads.of_model(query.service, query.model);
    let signals = &core.host_signals;
    signals.shortest_rest(heads.map(|h| &h.host), Instant::now())
}

/// The hosts of a scope's heads that have asked this node for rest.
fn resting_hosts<P: Platform>(core: &Core<P>, query: &SlotQuery<'_>, scope: &Scope) -> Vec<String> {
    let now = Instant::now();
    let heads = locked(&core.heads);
    let is_in_scope = |h: &&Arc<Head>| {
        let domain = scope.heads_in.as_ref();
        domain.is_none_or(|d| *d == h.failure_domain)
    };
    let heads = heads.of_model(query.service, query.model);
    heads
        .filter(is_in_scope)
        .filter(|h| core.host_signals.is_resting(&h.host, now))
        .map(|h| h.host.to_string())
        .collect()
}

fn new_permit<P: Platform>(core: &Arc<Core<P>>, node: NodeId, scope: Scope) -> Permit<P> {
    Permit {
        core: Arc::clone(core),
        node,
        scope,
        // Random, so that numbers from before a restart of this node aren't reused.
        number: fastrand::u64(..),
        is_released: false,
    }
}

fn slot_request(query: &SlotQuery<'_>, request_number: u64) -> SlotRequest {
    let now = Instant::now();
    let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
    let call = query.call;
    let on_time = call.on_time_until().saturating_duration_since(now);
    let max_wait = query.until.saturating_duration_since(now);
    SlotRequest {
        request_number,
        prompt_tokens: call.metadata.prompt_tokens,
        resumed: query.resumed,
        urgency: call.urgency().into(),
        slo_remaining_ms: ms(on_time),
        max_wait_ms: ms(max_wait),
        max_pause_ms: ms(call
            .route
            .stream
            .as_ref()
            .map_or(call.route.latency_objective, |s| s.max_event_gap)),
        avoid_hosts: query.avoid.iter().map(ToString::to_string).collect(),
        wait_ms: ms(RPC_WAIT),
        excluded_hosts: Vec::new(),
        customer: call.customer().to_owned(),
        returning: call.is_returning(),
        repeated: query.resumed || call.is_repeated(),
    }
}

fn eject<P: Platform>(core: &Core<P>, node: &NodeId, scope: &Scope) {
    info!(event = "no-scheduler", %node, model = %scope.model, outcome = "no answer");
    let now = Instant::now();
    let mut ejected = locked(&core.scheduler_client.ejected);
    ejected.retain(|_, at| now.saturating_duration_since(*at) < EJECTION_PERIOD);
    ejected.insert(node.clone(), now);
}

/// The scope of a request and the node that schedules it; `None` if no such node answers, or all
/// scopes are in `limited`.
///
/// A model with many replicas has a scope and a scheduler for each failure domain.
fn scheduler_for<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
    limited: &[Option<FailureDomain>],
) -> Option<(Scope, NodeId)> {
    let mut domains = open_domains(core, service, model);
    if limited.contains(&None) {
        return None;
    }
    domains.retain(|domain, _| !limited.contains(&Some(domain.clone())));
    let scope = |heads_in: Option<FailureDomain>| Scope {
        service: service.clone(),
        model: model.clone(),
        heads_in,
    };
    if domains.is_empty() {
        return None;
    }
    if !is_sharded(core, service, model) {
        let scope = scope(None);
        let node = scheduler_of(core, &scope)?;
        return Some((scope, node));
    }
    let sharded = domains.iter().filter_map(|(domain, load)| {
        let scope = scope(Some(domain.clone()));
        let node = scheduler_of(core, &scope)?;
        Some((domain, load, scope, node))
    });
    let mut shards: Vec<_> = sharded.collect();
    let loads = shards.iter().map(|(failure_domain, load, ..)| DomainLoad {
        failure_domain,
        load: load.0,
        slots: load.1,
    });
    let home = &core.cfg.failure_domain;
    let chosen = choose_domain(home, loads, fastrand::f64(), fastrand::f64())?;
    let index = shards.iter().position(|(domain, ..)| *domain == chosen)?;
    let (_, _, scope, node) = shards.swap_remove(index);
    Some((scope, node))
}

/// Whether a model has so many replicas that a single scheduler would saturate its node.
fn is_sharded<P: Platform>(core: &Core<P>, service: &ServiceName, model: &ModelName) -> bool {
    let catalog = core.catalog();
    let Some((_, spec)) = catalog.model(service, model) else {
        return false;
    };
    let hosts = locked(&core.heads).hosts_of(service) as f64;
    hosts * spec.share.get() / spec.size.max(1) as f64 > MAX_REPLICAS_PER_SHARD
}

/// The failure domains in which a model has heads that don't rest, each with its requests and usable
/// slots. A head that names a limit counts as one slot: it looks idle, but takes few requests.
fn open_domains<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
) -> BTreeMap<FailureDomain, (usize, usize)> {
    let mut domains: BTreeMap<FailureDomain, (usize, usize)> = BTreeMap::new();
    let now = Instant::now();
    let heads = locked(&core.heads);
    for head in heads.of_model(service, model) {
        if core.host_signals.is_resting(&head.host, now) {
            continue;
        }
        let domain = domains.entry(head.failure_domain.clone()).or_default();
        domain.0 += head.load() + head.queued();
        let is_limited = core.host_signals.limit(&head.host).is_some();
        domain.1 += if is_limited { 1 } else { head.usable_slots() };
    }
    domains
}

/// The node that schedules a scope; `None` while all its candidates are ejected.
fn scheduler_of<P: Platform>(core: &Core<P>, scope: &Scope) -> Option<NodeId> {
    let now = Instant::now();
    let nodes = locked(&core.nodes);
    let own = (!core.is_leaving()).then(|| core.as_candidate());
    let key = format!(
        "{}/{}/{}",
        scope.service,
        scope.model,
        scope.heads_in.as_deref().unwrap_or_default()
    );
    let near = scope.heads_in.as_ref();
    let ranked = ranked_for_role(&key, near, nodes.alive(now).chain(own));
    let ejected = locked(&core.scheduler_client.ejected);
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < EJECTION_PERIOD;
    let mut choices = ranked.into_iter().take(MAX_SCHEDULER_CHOICES);
    let chosen = choices.find(|id| !ejected.get(*id).is_some_and(is_recent));
    chosen.cloned()
}
