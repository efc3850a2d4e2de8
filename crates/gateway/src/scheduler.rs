//! Schedulers that run at this node: each assigns the requests of all nodes to the heads of a
//! model.
//!
//! [`crate::scheduler_client`] chooses the node; [`Scheduler`] has the policy.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub(crate) use eelgrassmill_base::SchedulerScope as Scope;
use eelgrassmill_base::{FailureDomain, GroupId, NodeId, value};
use eelgrassmill_fleet::{
    AdmissionDecision, Decision, EngineSpeed, HeadKey, Millionths, OpenHead, PaceSummary, Pacing,
    PendingRequest, RequestKey, RequestOrigin, Scheduler, SchedulingPolicy, SlotOutcome,
};
use eelgrassmill_peer::{
    ScheduleReply, ScheduleRequest, SlotDecision, SlotEvent, SlotEventKind, SlotRequest,
};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tracing::info;

use crate::core::Core;
use crate::demand::Measurement;
use crate::heads::locked;
use crate::logs::LogRateLimit;
use crate::pacing;
use crate::ports::Platform;

/// How often deadlines and free slots are checked while requests wait.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A decision that its node doesn't collect within this is revoked. Nodes call again within a few
/// milliseconds of a reply that the request still waits.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A scheduler that got no call for this long is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A customer takes more than its share until this long after the last of its requests was rejected
/// for those of others.
const SHARE_PERIOD: Duration = Duration::from_secs(2);
/// Customers that are watched for that: few at a time take more than their share.
const MAX_OVER_SHARE: usize = 16;
/// Longest time that a slot request is held before its reply.
const MAX_RPC_WAIT: Duration = Duration::from_millis(250);

/// Names a scope in logs.
fn scope_label(scope: &Scope) -> String {
    let domain = scope.heads_in.as_deref().unwrap_or("*");
    format!("{}/{}/{domain}", scope.service, scope.model)
}

/// The schedulers that run at this node.
#[derive(Debug, Default)]
pub(crate) struct Schedulers {
    running: Mutex<HashMap<Scope, Arc<Mutex<RunningScheduler>>>>,
}

/// A decision, and for [`SlotOutcome::Full`], when the request can be served, if that is known.
type Answer = (SlotOutcome, Option<Duration>);

#[derive(Debug)]
struct RunningScheduler {
    scope: Scope,
    scheduler: Scheduler,
    /// Requests that got no slot since the last log line on them.
    unserved: usize,
    log_limit: LogRateLimit,
    /// Replies to pending calls, by the request whose decision they wait for.
    pending_replies: HashMap<RequestKey, oneshot::Sender<Answer>>,
    /// Decisions that were made while no call was pending.
    uncollected: HashMap<RequestKey, (Answer, Instant)>,
    /// Customers that take more than their share.
    over_share: OverShare,
    last_used: Instant,
}

value! { copy
    /// A scheduler's load report for a head.
    #[derive(Default)]
    pub(crate) struct ScheduledLoad {
        /// Requests that the scheduler has assigned to the head.
        pub(crate) assigned: usize,
        /// The head's share of the requests that wait.
        pub(crate) queued: usize,
        /// Whether the head rejects all requests.
        pub(crate) is_ejected: bool,
    }
}

impl Schedulers {
    /// The load reports of this node's schedulers for each head.
    pub(crate) fn loads(&self, now: Instant) -> HashMap<HeadKey, ScheduledLoad> {
        let mut loads = HashMap::new();
        for running in locked(&self.running).values() {
            let running = locked(running);
            let heads = running.scheduler.head_loads(now);
            let queued = running.scheduler.queue_len().div_ceil(heads.len().max(1));
            let reports = heads.into_iter().map(|(key, head)| {
                let load = ScheduledLoad {
                    assigned: head.requests,
                    queued,
                    is_ejected: head.is_ejected,
                };
                (key.clone(), load)
            });
            loads.extend(reports);
        }
        loads
    }

    /// Forgets the requests of a node that left or died.
    pub(crate) fn forget_node(&self, node: &str) {
        for running in locked(&self.running).values() {
            let mut running = locked(running);
            running.scheduler.remove_node(node);
            running.pending_replies.retain(|key, _| key.node != node);
            running.uncollected.retain(|key, _| key.node != node);
        }
    }
}

/// The demand at the schedulers of this node, where it is known.
pub(crate) fn measure_demand<P: Platform>(core: &Core<P>, now: Instant) -> Vec<Measurement> {
    let all: Vec<_> = locked(&core.schedulers.running).values().cloned().collect();
    let measured = all.iter().filter_map(|running| {
        let scope = locked(running).scope.clone();
        let heads = open_heads(core, &scope);
        let measured = locked(running).scheduler.measure_demand(&heads, now)?;
        Some(Measurement::new(&scope, &heads, measured))
    });
    measured.collect()
}

/// Handles a node's call that asks for a slot or reports slot events.
pub(crate) async fn handle<P: Platform>(core: Arc<Core<P>>, req: ScheduleRequest) -> ScheduleReply {
    let scope = Scope {
        service: req.service.as_str().into(),
        model: req.model.as_str().into(),
        heads_in: (!req.head_domain.is_empty()).then(|| req.head_domain.as_str().into()),
    };
    let Some(running) = find_or_start(&core, &scope) else {
        return ScheduleReply::default();
    };
    let node = NodeId::from(req.from.as_str());
    let now = Instant::now();
    for replica in &req.suspected_replicas {
        locked(&core.heads).suspect_elsewhere(replica, now);
    }
    for slot_event in &req.slot_events {
        locked(&running).on_slot_event(&node, slot_event, now);
    }
    let Some(slot_request) = &req.slot_request else {
        let heads = open_heads(&core, &scope);
        locked(&running).decide(&core, &heads, now);
        report_paces(&core, &scope, &running, &heads, now);
        return ScheduleReply::default();
    };
    let request = pending_request(&node, &req.failure_domain, slot_request, now);
    let origin = RequestOrigin {
        customer: slot_request.customer.as_str().into(),
        returning: slot_request.returning,
    };
    let heads = open_heads(&core, &scope);
    let repeated = slot_request.repeated || slot_request.resumed;
    let outcome_rx = locked(&running).request_slot(&core, request, (origin, repeated), &heads, now);
    let wait = Duration::from_millis(slot_request.wait_ms.into()).min(MAX_RPC_WAIT);
    match tokio::time::timeout(wait, outcome_rx).await {
        Ok(Ok(answer)) => reply(answer),
        _ => decision(SlotDecision::Waiting),
    }
}

fn pending_request(
    node: &NodeId,
    domain: &str,
    slot_request: &SlotRequest,
    now: Instant,
) -> PendingRequest {
    let ms = |ms: u32| Duration::from_millis(ms.into());
    PendingRequest {
        key: RequestKey {
            node: node.clone(),
            number: slot_request.request_number,
        },
        failure_domain: domain.into(),
        prompt_tokens: slot_request.prompt_tokens,
        resumed: slot_request.resumed,
        urgency: u8::try_from(slot_request.urgency).unwrap_or(u8::MAX),
        on_time_until: now + ms(slot_request.slo_remaining_ms),
        deadline: now + ms(slot_request.max_wait_ms),
        max_event_gap: ms(slot_request.max_pause_ms),
        avoid: slot_request
            .avoid_hosts
            .iter()
            .map(|h| h.as_str().into())
            .collect(),
        excluded: slot_request
            .excluded_hosts
            .iter()
            .map(|h| h.as_str().into())
            .collect(),
    }
}

fn reply((outcome, retry_after): Answer) -> ScheduleReply {
    match outcome {
        SlotOutcome::Granted((replica, epoch)) => ScheduleReply {
            decision: SlotDecision::Granted.into(),
            replica: replica.to_string(),
            epoch,
            retry_after_ms: 0,
        },
        SlotOutcome::Full => ScheduleReply {
            retry_after_ms: retry_after.map_or(0, |r| r.as_millis() as u64),
            ..decision(SlotDecision::Full)
        },
        SlotOutcome::Limited { retry_after } => ScheduleReply {
            retry_after_ms: retry_after.as_millis() as u64,
            ..decision(SlotDecision::Limited)
        },
    }
}

fn decision(decision: SlotDecision) -> ScheduleReply {
    ScheduleReply {
        decision: decision.into(),
        replica: String::new(),
        epoch: 0,
        retry_after_ms: 0,
    }
}

/// The scheduler of a scope, started if there is none; `None` if the configuration has no such
/// model.
fn find_or_start<P: Platform>(
    core: &Arc<Core<P>>,
    scope: &Scope,
) -> Option<Arc<Mutex<RunningScheduler>>> {
    let speed = engine_speed(core, &scope.service, &scope.model)?;
    let mut all = locked(&core.schedulers.running);
    if let Some(running) = all.get(scope) {
        let mut found = locked(running);
        found.last_used = Instant::now();
        found.scheduler.set_speed(speed);
        return Some(Arc::clone(running));
    }
    let now = Instant::now();
    let policy = SchedulingPolicy {
        fair_share: core.cfg.policies.fair_share,
    };
    let pacing = Pacing::from_setting(core.cfg.policies.adaptive_pacing);
    let running = Arc::new(Mutex::new(RunningScheduler {
        scope: scope.clone(),
        scheduler: Scheduler::with_policy(speed, policy, now)
            .with_pacing(pacing)
            .with_demand_measured(core.cfg.policies.capacity_follows_demand),
        unserved: 0,
        log_limit: LogRateLimit::default(),
        pending_replies: HashMap::new(),
        uncollected: HashMap::new(),
        over_share: OverShare::default(),
        last_used: now,
    }));
    all.insert(scope.clone(), Arc::clone(&running));
    tokio::spawn(recheck_waiting(
        Arc::clone(core),
        scope.clone(),
        Arc::clone(&running),
    ));
    Some(running)
}

/// The speed of a model's replicas; `None` if the configuration has no such model.
pub(crate) fn engine_speed<P: Platform>(
    core: &Core<P>,
    service: &str,
    model: &str,
) -> Option<EngineSpeed> {
    let catalog = core.catalog();
    let (engine, model) = catalog.model(service, model)?;
    let time_factor = Millionths::of(engine.speed.time_factor.get() * model.time_factor.get());
    Some(EngineSpeed {
        time_factor,
        ..engine.speed
    })
}

/// Rechecks waiting requests until the scheduler is idle.
async fn recheck_waiting<P: Platform>(
    core: Arc<Core<P>>,
    scope: Scope,
    running: Arc<Mutex<RunningScheduler>>,
) {
    loop {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        let now = Instant::now();
        let waits = locked(&running).is_waiting();
        if waits {
            let heads = open_heads(&core, &scope);
            locked(&running).decide(&core, &heads, now);
            report_paces(&core, &scope, &running, &heads, now);
        }
        // Under both locks: a scheduler that is called just now must not be dropped with its slots.
        let mut all = locked(&core.schedulers.running);
        if now.saturating_duration_since(locked(&running).last_used) > IDLE_TIMEOUT {
            all.remove(&scope);
            pacing::show(&core, &scope_label(&scope), PaceSummary::default());
            return;
        }
    }
}

fn open_heads<P: Platform>(core: &Core<P>, scope: &Scope) -> Vec<OpenHead> {
    let now = Instant::now();
    let heads = locked(&core.heads);
    let here = |domain: &FailureDomain| scope.heads_in.as_ref().is_none_or(|d| d == domain);
    let open = heads.of_model(&scope.service, &scope.model);
    let open = open.filter(|h| here(&h.failure_domain));
    let open = open.map(|h| OpenHead {
        key: (h.replica.clone(), h.epoch),
        host: h.host.clone(),
        slots: h.slots(),
        failure_domain: h.failure_domain.clone(),
        inherited_requests: h.assigned(),
        unscheduled_requests: h.unscheduled(),
        cold: h.cold(now),
        limit: core.host_signals.limit(&h.host),
    });
    open.collect()
}

/// Reports the heads whose pace has changed.
fn report_paces<P: Platform>(
    core: &Core<P>,
    scope: &Scope,
    running: &Mutex<RunningScheduler>,
    heads: &[OpenHead],
    now: Instant,
) {
    if !core.cfg.policies.adaptive_pacing {
        return;
    }
    let (changes, summary) = {
        let scheduler = &mut locked(running).scheduler;
        (scheduler.take_pace_changes(), scheduler.pace_summary(heads))
    };
    if changes.is_empty() {
        return;
    }
    let host_of = |key: &HeadKey| heads.iter().find(|h| h.key == *key).map(|h| h.host.clone());
    let changes = changes
        .into_iter()
        .filter_map(|(key, change)| Some((host_of(&key)?, change)));
    pacing::report(core, &scope_label(scope), summary, changes, now);
}

impl RunningScheduler {
    fn is_waiting(&self) -> bool {
        self.scheduler.queue_len() > 0 || !self.uncollected.is_empty()
    }

    fn on_slot_event(&mut self, node: &NodeId, slot_event: &SlotEvent, now: Instant) {
        let key = RequestKey {
            node: node.clone(),
            number: slot_event.request_number,
        };
        match slot_event.event() {
            SlotEventKind::Started => self.scheduler.on_first_event(&key, now),
            SlotEventKind::Rejected => self.scheduler.on_rejected(&key, now),
            SlotEventKind::Failed => self.scheduler.on_failed(&key, now),
            SlotEventKind::Released => {
                self.pending_replies.remove(&key);
                self.uncollected.remove(&key);
                self.scheduler.on_released(&key, now);
            }
        }
    }

    fn request_slot<P: Platform>(
        &mut self,
        core: &Core<P>,
        request: PendingRequest,
        (origin, repeated): (RequestOrigin, bool),
        heads: &[OpenHead],
        now: Instant,
    ) -> oneshot::Receiver<Answer> {
        let (tx, rx) = oneshot::channel();
        if let Some((outcome, _)) = self.uncollected.remove(&request.key) {
            // The receiver is still in this function, so this can't fail.
            let _ = tx.send(outcome);
            return rx;
        }
        self.pending_replies.insert(request.key.clone(), tx);
        let prompt_tokens = request.prompt_tokens;
        if self.scheduler.enqueue_from(request, origin, now) {
            self.scheduler.count_demand(repeated, prompt_tokens, now);
            self.decide(core, heads, now);
        }
        rx
    }

    /// Makes the decisions that are possible now and sends them to the pending calls.
    fn decide<P: Platform>(&mut self, core: &Core<P>, heads: &[OpenHead], now: Instant) {
        for decision in self.scheduler.decide_all(heads, now) {
            if core.cfg.policies.fair_share {
                self.record(core, &decision, now);
            }
            let Decision {
                key,
                outcome,
                retry_after,
                ..
            } = decision;
            if !matches!(outcome, SlotOutcome::Granted(_)) {
                self.unserved += 1;
            }
            let unsent = match self.pending_replies.remove(&key) {
                Some(tx) => tx.send((outcome, retry_after)).err(),
                None => Some((outcome, retry_after)),
            };
            if let Some(answer) = unsent {
                self.uncollected.insert(key, (answer, now));
            }
        }
        let stale = |at: Instant| now.saturating_duration_since(at) > COLLECT_TIMEOUT;
        let given_up: Vec<RequestKey> = self
            .uncollected
            .iter()
            .filter(|(_, (_, at))| stale(*at))
            .map(|(key, _)| key.clone())
            .collect();
        for key in given_up {
            self.uncollected.remove(&key);
            self.scheduler.release(&key);
        }
        if self.unserved > 0 && self.log_limit.is_due(now) {
            self.log_unserved(heads, now);
        }
    }

    /// Counts a decision, and logs when a customer begins or ceases to take more than its share.
    fn record<P: Platform>(&mut self, core: &Core<P>, decision: &Decision, now: Instant) {
        core.metrics.count_admission(
            &self.scope.service,
            decision.decision,
            decision.is_returning,
        );
        if decision.decision == AdmissionDecision::RejectedShare {
            self.over_share.on_rejected(&decision.customer, now);
        }
        if let Some(change) = self.over_share.change(now) {
            info!(
                event = "contention", model = %self.scope.model, customer = %change.customer,
                outcome = if change.begins { "begins" } else { "ceases" },
                waiting = self.scheduler.queue_len(),
            );
        }
    }

    fn log_unserved(&mut self, heads: &[OpenHead], now: Instant) {
        let state = self.scheduler.state(heads, now);
        info!(
            event = "queue", model = %self.scope.model,
            heads_in = self.scope.heads_in.as_deref().unwrap_or_default(), outcome = "full",
            requests = self.unserved, waiting = state.waiting, heads = state.heads,
            longest_prompt = state.longest_prompt, passed_over = state.passed_over,
            slots = state.slots, running = state.requests, rejecting = state.rejecting,
            lead_ms = state.first_event_latency.as_millis() as u64,
        );
        self.unserved = 0;
    }
}

/// Customers that take more than their share while others wait.
#[derive(Debug, Default)]
struct OverShare {
    /// When a request of a customer was last rejected for others, and whether it was logged that it
    /// takes more than its share.
    customers: HashMap<SmolStr, (Instant, bool)>,
    log_limit: LogRateLimit,
}

/// A customer that begins or ceases to take more than its share.
struct ShareChange {
    customer: SmolStr,
    begins: bool,
}

impl OverShare {
    fn on_rejected(&mut self, customer: &SmolStr, now: Instant) {
        if let Some(known) = self.customers.get_mut(customer) {
            known.0 = now;
        } else if self.customers.len() < MAX_OVER_SHARE {
            self.customers.insert(customer.clone(), (now, false));
        }
    }

    /// The next change to log, if one may be logged now.
    fn change(&mut self, now: Instant) -> Option<ShareChange> {
        let is_over = |at: Instant| now.saturating_duration_since(at) < SHARE_PERIOD;
        // Those that ceased before they were logged leave no line.
        self.customers
            .retain(|_, (at, logged)| *logged || is_over(*at));
        let is_changed = |(at, logged): &(Instant, bool)| is_over(*at) != *logged;
        let (customer, _) = self.customers.iter().find(|(_, c)| is_changed(c))?;
        if !self.log_limit.is_due(now) {
            return None;
        }
        let customer = customer.clone();
        let known = self.customers.get_mut(&customer)?;
        let begins = is_over(known.0);
        known.1 = begins;
        if !begins {
            self.customers.remove(&customer);
        }
        Some(ShareChange { customer, begins })
    }
}

/// The head that a reply grants.
pub(crate) fn granted_head(reply: &ScheduleReply) -> Option<HeadKey> {
    let granted = reply.decision() == SlotDecision::Granted;
    granted.then(|| (GroupId::from(reply.replica.as_str()), reply.epoch))
}
