//! Admission queues: order the requests of each model while all its replicas are full.
//!
//! Slots are granted by the scheduler that [`scheduler_client`](crate::scheduler_client) asks.
//! Requests that no scheduler answers wait here and are placed by reported loads.
//!
//! Sized for bursts above capacity. Requests that can still be on time go before late ones; within
//! each class by urgency, then in order of arrival. A stream that resumes after the loss of its
//! replica goes first: its caller has part of the response and disconnects within 2 s.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, ModelName, ServiceName};
use eelgrassmill_fleet::{
    HostCandidate, LateRejection, MAX_REJECTION_WAIT, Priority, Rate, choose_host,
};
use tokio::sync::Notify;

use crate::call::Call;
use crate::core::Core;
use crate::fair_admission;
use crate::heads::{Head, SlotGuard, locked};
use crate::pacing;
use crate::ports::Platform;
use crate::refusal::{Refusal, RefusalCause};
use crate::scheduler_client::{self, Acquired, SlotQuery};

/// Requests sent to a replica beyond its slots, to keep its batch full until the end of a stream
/// is reported.
const PIPELINE_DEPTH: usize = 3;
/// How often a waiting request checks for free slots: this node gets no event when other nodes'
/// loads fall.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of a call's timeout that must remain for its response.
const MIN_REMAINING_RATIO: f64 = 0.4;
/// Longest wait of a request. Callers disconnect after 2 s without an event, and the first event
/// takes some 300 ms.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(1400);
/// Retry-After when every replica is full and nothing was measured, times a random factor from 1 to 2 so that callers
/// don't return together.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// Retry-After when no scheduler answers and only one can place the request: by then another node
/// has the role.
pub(crate) const RETRY_AFTER_NO_SCHEDULER: Duration = Duration::from_secs(2);

type QueueKey = (Priority, u64);

/// Waiting requests by model.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueues {
    queues: Mutex<BTreeMap<(ServiceName, ModelName), Queue>>,
}

#[derive(Debug, Default)]
struct Queue {
    next: u64,
    waiting: BTreeMap<QueueKey, Arc<Notify>>,
    arrivals: Rate,
    late_rejection: LateRejection,
}

/// A queue entry. Dropping it leaves the queue.
struct QueueEntry<'t> {
    admission: &'t AdmissionQueues,
    queue: (ServiceName, ModelName),
    key: QueueKey,
    woken: Arc<Notify>,
}

impl AdmissionQueues {
    fn enter(
        &self,
        service: &ServiceName,
        model: &ModelName,
        priority: Priority,
    ) -> QueueEntry<'_> {
        let name = (service.clone(), model.clone());
        let mut queues = locked(&self.queues);
        let queue = queues.entry(name.clone()).or_default();
        let key = (priority, queue.next);
        queue.next += 1;
        let woken = Arc::new(Notify::new());
        queue.waiting.insert(key, Arc::clone(&woken));
        QueueEntry {
            admission: self,
            queue: name,
            key,
            woken,
        }
    }

    /// Counts a request for a model.
    fn arrived(&self, service: &ServiceName, model: &ModelName) {
        let name = (service.clone(), model.clone());
        let mut queues = locked(&self.queues);
        let queue = queues.entry(name).or_default();
        queue.arrivals.on_event(Instant::now());
    }

    /// Requests for a model that arrive at this node per second.
    fn arrivals(&self, service: &ServiceName, model: &ModelName) -> f64 {
        let queues = locked(&self.queues);
        let queue = queues.get(&(service.clone(), model.clone()));
        queue.map_or(0.0, |q| q.arrivals.per_second(Instant::now()))
    }

    /// Wakes the first request of each queue.
    pub(crate) fn wake(&self) {
        for queue in locked(&self.queues).values() {
            if let Some(first) = queue.waiting.values().next() {
                first.notify_one();
            }
        }
    }
}

impl QueueEntry<'_> {
    fn is_first(&self) -> bool {
        let queues = locked(&self.admission.queues);
        let first = queues
            .get(&self.queue)
            .and_then(|q| q.waiting.keys().next());
        first == Some(&self.key)
    }

    fn others(&self) -> usize {
        let queues = locked(&self.admission.queues);
        queues
            .get(&self.queue)
            .map_or(0, |q| q.waiting.len().saturating_sub(1))
    }

    /// Records whether it got a slot or was rejected.
    fn ended(&self, served: bool, now: Instant) {
        let mut queues = locked(&self.admission.queues);
        if let Some(queue) = queues.get_mut(&self.queue) {
            queue.late_rejection.on_wait_ended(self.key.0, served, now);
        }
    }

    fn is_rejected_as_late(&self, now: Instant) -> bool {
        let queues = locked(&self.admission.queues);
        let queue = queues.get(&self.queue);
        queue.is_some_and(|q| q.late_rejection.applies_to(self.key.0, now))
    }

    /// Moves it behind the requests that can still be on time.
    fn demote_late(&mut self) {
        let Priority::OnTime(urgency) = self.key.0 else {
            return;
        };
        let mut queues = locked(&self.admission.queues);
        if let Some(queue) = queues.get_mut(&self.queue) {
            queue.waiting.remove(&self.key);
            self.key.0 = Priority::Late(urgency);
            queue.waiting.insert(self.key, Arc::clone(&self.woken));
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut queues = locked(&self.admission.queues);
        if let Some(queue) = queues.get_mut(&self.queue) {
            queue.waiting.remove(&self.key);
            if let Some(first) = queue.waiting.values().next() {
                first.notify_one();
            }
        }
    }
}

/// Waits for a slot at a replica of `model`, avoiding the hosts in `avoid` if there is another.
/// `resumed` marks a stream that continues at another replica.
///
/// # Errors
/// When no slot became free in time, or the queue is too long for that.
pub(crate) async fn admit<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    service: &ServiceName,
    model: &ModelName,
    resumed: bool,
    avoid: &[HostId],
) -> Result<SlotGuard<P>, Refusal> {
    core.admission.arrived(service, model);
    let needed = (call.deadline - call.arrived).mul_f64(MIN_REMAINING_RATIO);
    let is_fair = core.cfg.policies.fair_share;
    let longest = if is_fair && !resumed {
        call.arrived + MAX_REJECTION_WAIT
    } else {
        Instant::now() + MAX_QUEUE_TIME
    };
    let give_up_at = (call.deadline - needed).min(longest);
    let query = SlotQuery {
        call,
        service,
        model,
        resumed,
        avoid,
        until: give_up_at,
    };
    match scheduler_client::acquire(core, &query).await {
        Acquired::Granted(slot) => return Ok(paced(core, call, *slot)),
        Acquired::Full(retry_after) => {
            let cause = no_slot_cause(core, service, model);
            return Err(full_refusal(cause, retry_after));
        }
        Acquired::Limited(retry_after) => return Err(limit_refusal(core, service, retry_after)),
        Acquired::Resting(rest) => return Err(core.host_signals.rest_refusal(rest)),
        Acquired::NoScheduler => {}
    }
    if is_fair {
        return fair_admission::admit(core, &query).await;
    }
    let priority = Priority::first(resumed, call.urgency());
    let mut waiting = core.admission.enter(service, model, priority);
    loop {
        if waiting.is_first() {
            match choose_head(core, service, model, avoid) {
                Choice::Free(head) => {
                    waiting.ended(true, Instant::now());
                    return Ok(paced(core, call, head.enter(None)));
                }
                Choice::Limited => {
                    return Err(limit_refusal(core, service, RETRY_AFTER_NO_SCHEDULER));
                }
                Choice::Resting(rest) if !resumed || Instant::now() + rest >= give_up_at => {
                    return Err(core.host_signals.rest_refusal(rest));
                }
                Choice::Full { slots } if waiting.others() >= slots => {
                    return Err(full_refusal(RefusalCause::Full, None));
                }
                _ => {}
            }
        }
        let now = Instant::now();
        let left = give_up_at.saturating_duration_since(now);
        if left.is_zero() {
            waiting.ended(false, now);
            return Err(full_refusal(no_slot_cause(core, service, model), None));
        }
        if now >= call.on_time_until() {
            waiting.demote_late();
        }
        if waiting.is_rejected_as_late(now) && !waiting.is_first() {
            return Err(full_refusal(no_slot_cause(core, service, model), None));
        }
        let woken = Arc::clone(&waiting.woken);
        // A timeout is the periodic recheck.
        let _ = tokio::time::timeout(RECHECK_INTERVAL.min(left), woken.notified()).await;
    }
}

/// The slot with its times counted for the pace of its head.
pub(crate) fn paced<P: Platform>(
    core: &Core<P>,
    call: &Call,
    mut slot: SlotGuard<P>,
) -> SlotGuard<P> {
    let request = pacing::send_to_head(core, call, &slot.head);
    slot.set_paced(request);
    slot
}

pub(crate) fn limit_refusal<P: Platform>(
    core: &Core<P>,
    service: &str,
    retry_after: Duration,
) -> Refusal {
    core.metrics.count_limited(service);
    Refusal::with_retry_after(RefusalCause::HostLimit, retry_after)
}

/// A rejection that says when a slot will be free, or [`RETRY_AFTER_FULL`] if that is unknown.
pub(crate) fn full_refusal(cause: RefusalCause, retry_after: Option<Duration>) -> Refusal {
    let unknown = || RETRY_AFTER_FULL.mul_f64(1.0 + fastrand::f64());
    Refusal::with_retry_after(cause, retry_after.unwrap_or_else(unknown))
}

pub(crate) enum Choice {
    Free(Arc<Head>),
    /// All heads are full; `slots` is their total.
    Full {
        slots: usize,
    },
    /// All heads name limits, which only a scheduler can keep.
    Limited,
    /// All heads rest, the first of them for this much longer.
    Resting(Duration),
    NoHeads,
}

/// The cause when no slot is available.
pub(crate) fn no_slot_cause<P: Platform>(
    core: &Core<P>,
    service: &str,
    model: &str,
) -> RefusalCause {
    let heads = locked(&core.heads);
    let is_served = heads.of_model(service, model).next().is_some();
    if is_served {
        RefusalCause::Full
    } else {
        RefusalCause::NoHealthyTarget
    }
}

/// Estimates the requests for a model that other nodes sent since their last load reports: callers
/// choose nodes evenly, so each node gets about as many as this one.
fn unreported<P: Platform>(core: &Core<P>, service: &ServiceName, model: &ModelName) -> f64 {
    let others = core.active_node_count().saturating_sub(1) as f64;
    core.admission.arrivals(service, model) * others * core.load_age().as_secs_f64()
}

pub(crate) fn choose_head<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
    model: &ModelName,
    avoid: &[HostId],
) -> Choice {
    let unreported = unreported(core, service, model);
    let heads = locked(&core.heads);
    let mut open: Vec<&Arc<Head>> = heads.of_model(service, model).collect();
    let now = Instant::now();
    let signals = &core.host_signals;
    if let Some(rest) = signals.shortest_rest(open.iter().map(|h| &h.host), now) {
        return Choice::Resting(rest);
    }
    open.retain(|h| !signals.is_resting(&h.host, now));
    if open.iter().any(|h| !avoid.contains(&h.host)) {
        open.retain(|h| !avoid.contains(&h.host));
    }
    if open.is_empty() {
        return Choice::NoHeads;
    }
    let slots: usize = open.iter().map(|h| h.slots()).sum();
    let is_limited = |h: &Head| signals.limit(&h.host).is_some();
    if open.iter().all(|h| is_limited(h)) {
        return Choice::Limited;
    }
    // Only a scheduler tracks how much load a cold or limited head can take.
    let accepting = open
        .iter()
        .filter(|h| h.accepts_unscheduled(now) && h.cold(now).is_none() && !is_limited(h));
    let candidates = accepting.map(|h| HostCandidate {
        host: h.host.clone(),
        load: h.load(),
        slots: h.slots(),
        same_domain: h.failure_domain == core.cfg.failure_domain,
        failure_permille: 0,
    });
    let candidates = candidates.filter(|c| c.load < c.slots + PIPELINE_DEPTH);
    let free = pacing::preferred_heads(core, service, model, candidates.collect());
    let Some(chosen) = choose_host(&free, unreported, fastrand::f64()) else {
        return Choice::Full { slots };
    };
    let head = open.iter().find(|h| h.host == chosen.host);
    head.map_or(Choice::NoHeads, |h| Choice::Free(Arc::clone(h)))
}
