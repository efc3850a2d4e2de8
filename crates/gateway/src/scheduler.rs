//! Schedulers: assign the requests of all nodes to the heads of a model, where this node is the
//! one that does.
//!
//! [`crate::scheduler_client`] chooses the node; the policy is [`Scheduler`]'s.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, GroupId, ModelName, NodeId, ServiceName, value};
use eelgrassmill_fleet::{
    EngineSpeed, HeadKey, Millionths, OpenHead, PendingRequest, RequestKey, Scheduler, SlotOutcome,
};
use eelgrassmill_peer::{
    ScheduleReply, ScheduleRequest, SlotDecision, SlotEvent, SlotEventKind, SlotRequest,
};
use tokio::sync::oneshot;
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::logs::LineLimit;
use crate::ports::Platform;

/// While requests wait, deadlines and free slots are checked this often.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A decision that its node doesn't collect within this is taken back. Nodes ask again within a
/// few milliseconds of being told to wait.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A scheduler that nobody has called for this long is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest that one ask is held.
const MAX_RPC_WAIT: Duration = Duration::from_millis(250);

value! {
    /// What one scheduler serves.
    #[derive(Hash, PartialOrd, Ord)]
    pub(crate) struct Scope {
        pub(crate) service: ServiceName,
        pub(crate) model: ModelName,
        /// The failure domain of the heads; `None` for all.
        pub(crate) heads_in: Option<FailureDomain>,
    }
}

/// The schedulers that run at this node.
#[derive(Debug, Default)]
pub(crate) struct Schedulers {
    running: Mutex<HashMap<Scope, Arc<Mutex<Running>>>>,
}

#[derive(Debug)]
struct Running {
    scope: Scope,
    scheduler: Scheduler,
    /// Requests that got no slot since the last line on them.
    unserved: usize,
    lines: LineLimit,
    /// Who waits for which decision.
    askers: HashMap<RequestKey, oneshot::Sender<SlotOutcome>>,
    /// Decisions that no ask was waiting for.
    uncollected: HashMap<RequestKey, (SlotOutcome, Instant)>,
    used: Instant,
}

value! { copy
    /// What a scheduler reports of a head.
    #[derive(Default)]
    pub(crate) struct ScheduledLoad {
        /// Requests that it has assigned to the head.
        pub(crate) assigned: usize,
        /// The head's part of the requests that wait.
        pub(crate) queued: usize,
        /// Whether the head rejects all requests.
        pub(crate) is_ejected: bool,
    }
}

impl Schedulers {
    /// What the schedulers of this node have to report of each head.
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

    /// Forgets the requests of a node that is gone.
    pub(crate) fn forget(&self, node: &str) {
        for running in locked(&self.running).values() {
            let mut running = locked(running);
            running.scheduler.remove_node(node);
            running.askers.retain(|key, _| key.node != node);
            running.uncollected.retain(|key, _| key.node != node);
        }
    }
}

/// Answers a node that asks for a slot or reports slot events.
pub(crate) async fn answer<P: Platform>(core: Arc<Core<P>>, req: ScheduleRequest) -> ScheduleReply {
    let scope = Scope {
        service: req.service.as_str().into(),
        model: req.model.as_str().into(),
        heads_in: (!req.head_domain.is_empty()).then(|| req.head_domain.as_str().into()),
    };
    let Some(running) = find(&core, &scope) else {
        return ScheduleReply::default();
    };
    let node = NodeId::from(req.from.as_str());
    let now = Instant::now();
    for slot_event in &req.slot_events {
        locked(&running).take(&node, slot_event, now);
    }
    let Some(wanted) = &req.slot_request else {
        locked(&running).decide(&heads(&core, &scope), now);
        return ScheduleReply::default();
    };
    let ask = read(&node, &req.failure_domain, wanted, now);
    let asked = locked(&running).ask(ask, &heads(&core, &scope), now);
    let wait = Duration::from_millis(wanted.wait_ms.into()).min(MAX_RPC_WAIT);
    match tokio::time::timeout(wait, asked).await {
        Ok(Ok(outcome)) => reply(outcome),
        _ => decision(SlotDecision::Waiting),
    }
}

fn read(node: &NodeId, domain: &str, wanted: &SlotRequest, now: Instant) -> PendingRequest {
    let ms = |ms: u32| Duration::from_millis(ms.into());
    PendingRequest {
        key: RequestKey {
            node: node.clone(),
            number: wanted.request_number,
        },
        failure_domain: domain.into(),
        prompt_tokens: wanted.prompt_tokens,
        resumed: wanted.resumed,
        urgency: u8::try_from(wanted.urgency).unwrap_or(u8::MAX),
        on_time_until: now + ms(wanted.slo_remaining_ms),
        deadline: now + ms(wanted.max_wait_ms),
        max_event_gap: ms(wanted.max_pause_ms),
        avoid: wanted
            .avoid_hosts
            .iter()
            .map(|h| h.as_str().into())
            .collect(),
    }
}

fn reply(outcome: SlotOutcome) -> ScheduleReply {
    match outcome {
        SlotOutcome::Granted((replica, epoch)) => ScheduleReply {
            decision: SlotDecision::Granted.into(),
            replica: replica.to_string(),
            epoch,
        },
        SlotOutcome::Full => decision(SlotDecision::Full),
    }
}

fn decision(decision: SlotDecision) -> ScheduleReply {
    ScheduleReply {
        decision: decision.into(),
        replica: String::new(),
        epoch: 0,
    }
}

/// The scheduler of a scope; `None` where the configuration has no such model.
fn find<P: Platform>(core: &Arc<Core<P>>, scope: &Scope) -> Option<Arc<Mutex<Running>>> {
    let speed = speed(core, scope)?;
    let mut all = locked(&core.schedulers.running);
    if let Some(running) = all.get(scope) {
        let mut found = locked(running);
        found.used = Instant::now();
        found.scheduler.set_speed(speed);
        return Some(Arc::clone(running));
    }
    let now = Instant::now();
    let running = Arc::new(Mutex::new(Running {
        scope: scope.clone(),
        scheduler: Scheduler::new(speed, now),
        unserved: 0,
        lines: LineLimit::default(),
        askers: HashMap::new(),
        uncollected: HashMap::new(),
        used: now,
    }));
    all.insert(scope.clone(), Arc::clone(&running));
    tokio::spawn(recheck(
        Arc::clone(core),
        scope.clone(),
        Arc::clone(&running),
    ));
    Some(running)
}

fn speed<P: Platform>(core: &Core<P>, scope: &Scope) -> Option<EngineSpeed> {
    let catalog = core.catalog();
    let (engine, model) = catalog.model(&scope.service, &scope.model)?;
    let time_factor = Millionths::of(engine.speed.time_factor.get() * model.time_factor.get());
    Some(EngineSpeed {
        time_factor,
        ..engine.speed
    })
}

/// Rechecks waiting requests, until the scheduler is no longer used.
async fn recheck<P: Platform>(core: Arc<Core<P>>, scope: Scope, running: Arc<Mutex<Running>>) {
    loop {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        let now = Instant::now();
        let waits = locked(&running).is_waiting();
        if waits {
            let heads = heads(&core, &scope);
            locked(&running).decide(&heads, now);
        }
        // Under both locks: one that is asked again just now must not be lost with its slots.
        let mut all = locked(&core.schedulers.running);
        if now.saturating_duration_since(locked(&running).used) > IDLE_TIMEOUT {
            all.remove(&scope);
            return;
        }
    }
}

fn heads<P: Platform>(core: &Core<P>, scope: &Scope) -> Vec<OpenHead> {
    let now = Instant::now();
    let heads = locked(&core.heads);
    let here = |domain: &FailureDomain| scope.heads_in.as_ref().is_none_or(|d| d == domain);
    let open = heads.of_model(&scope.service, &scope.model);
    let open = open.filter(|h| here(&h.failure_domain));
    let open = open.map(|h| OpenHead {
        key: (h.replica.clone(), h.epoch),
        host: h.host.clone(),
        slots: h.slots,
        failure_domain: h.failure_domain.clone(),
        inherited_requests: h.assigned(),
        unscheduled_requests: h.unscheduled(),
        cold: h.cold(now),
    });
    open.collect()
}

impl Running {
    fn is_waiting(&self) -> bool {
        self.scheduler.queue_len() > 0 || !self.uncollected.is_empty()
    }

    fn take(&mut self, node: &NodeId, slot_event: &SlotEvent, now: Instant) {
        let key = RequestKey {
            node: node.clone(),
            number: slot_event.request_number,
        };
        match slot_event.event() {
            SlotEventKind::Started => self.scheduler.on_first_event(&key, now),
            SlotEventKind::Rejected => self.scheduler.on_rejected(&key, now),
            SlotEventKind::Failed => self.scheduler.on_failed(&key, now),
            SlotEventKind::Released => {
                self.askers.remove(&key);
                self.uncollected.remove(&key);
                self.scheduler.release(&key);
            }
        }
    }

    fn ask(
        &mut self,
        ask: PendingRequest,
        heads: &[OpenHead],
        now: Instant,
    ) -> oneshot::Receiver<SlotOutcome> {
        let (tx, rx) = oneshot::channel();
        if let Some((outcome, _)) = self.uncollected.remove(&ask.key) {
            // The receiver is in this very function's hands.
            let _ = tx.send(outcome);
            return rx;
        }
        self.askers.insert(ask.key.clone(), tx);
        if self.scheduler.enqueue(ask, now) {
            self.decide(heads, now);
        }
        rx
    }

    /// Answers what can be decided now.
    fn decide(&mut self, heads: &[OpenHead], now: Instant) {
        for (key, outcome) in self.scheduler.assign(heads, now) {
            if outcome == SlotOutcome::Full {
                self.unserved += 1;
            }
            let unsent = match self.askers.remove(&key) {
                Some(tx) => tx.send(outcome).err(),
                None => Some(outcome),
            };
            if let Some(outcome) = unsent {
                self.uncollected.insert(key, (outcome, now));
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
        if self.unserved > 0 && self.lines.is_due(now) {
            self.log_unserved(heads, now);
        }
    }

    fn log_unserved(&mut self, heads: &[OpenHead], now: Instant) {
        let state = self.scheduler.state(heads, now);
        info!(
            event = "queue", model = %self.scope.model,
            heads_in = self.scope.heads_in.as_deref().unwrap_or_default(), outcome = "full",
            requests = self.unserved, waiting = state.waiting, heads = state.heads,
            slots = state.slots, running = state.requests, rejecting = state.rejecting,
            lead_ms = state.first_event_latency.as_millis() as u64,
        );
        self.unserved = 0;
    }
}

/// The head that a reply names.
pub(crate) fn granted(reply: &ScheduleReply) -> Option<HeadKey> {
    let granted = reply.decision() == SlotDecision::Granted;
    granted.then(|| (GroupId::from(reply.replica.as_str()), reply.epoch))
}
