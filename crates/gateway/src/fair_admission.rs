//! Admission queues of a node that no scheduler answers, while customers share slots fairly.
//!
//! The policy is the scheduler's. The rate at which slots become free is that of this node's grants
//! while requests wait, since other nodes take slots at the same time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{ModelName, ServiceName};
use eelgrassmill_fleet::{
    AdmissionDecision, Excess, FairQueue, QueueId, Rate, ReturnTicket, WaitClass, WaitEstimate,
    WaitingRequest,
};
use tokio::sync::Notify;

use crate::admission::{
    Choice, RECHECK_INTERVAL, RETRY_AFTER_NO_SCHEDULER, choose_head, full_refusal, limit_refusal,
    no_slot_cause, paced,
};
use crate::call::Call;
use crate::core::Core;
use crate::heads::{SlotGuard, locked};
use crate::ports::Platform;
use crate::refusal::Refusal;
use crate::scheduler_client::SlotQuery;

/// How long requests must have been queued before the rate of grants is a valid estimate.
const LEARNING_PERIOD: Duration = Duration::from_millis(500);

/// Grants per second below which nothing is estimated: no replica serves.
const MIN_RATE: f64 = 1.0;

type QueueName = (ServiceName, ModelName);

/// Waiting requests by model.
#[derive(Debug, Default)]
pub(crate) struct FairQueues {
    queues: Mutex<BTreeMap<QueueName, NodeQueue>>,
}

#[derive(Debug, Default)]
struct NodeQueue {
    queue: FairQueue<Arc<Notify>>,
    estimate: WaitEstimate,
    grants: Rate,
}

impl NodeQueue {
    fn next(&self, now: Instant) -> Option<QueueId> {
        self.queue.candidates(true, now).first().copied()
    }

    fn wake(&self, now: Instant) {
        if let Some(next) = self.next(now).and_then(|id| self.queue.get(id)) {
            next.item.notify_one();
        }
    }

    /// Slots per second that this node gets; `None` if it has not been measured.
    fn rate(&self, now: Instant) -> Option<f64> {
        let is_learned = self.queue.nonempty_for(now) >= LEARNING_PERIOD;
        let rate = self.grants.per_second(now);
        (is_learned && rate >= MIN_RATE).then_some(rate)
    }

    /// Removes the requests that can't begin in time. Each finds that it is gone when it wakes.
    fn shed(&mut self, now: Instant) {
        self.queue.demote_late(now);
        let Some(rate) = self.rate(now) else {
            return;
        };
        while let Some(excess) = self
            .queue
            .excess(&self.estimate, 1, rate, Duration::ZERO, now)
        {
            match excess {
                Excess::Demoted(id) => self.queue.demote(id),
                Excess::Rejected(id) => {
                    if let Some(rejected) = self.queue.remove(id) {
                        rejected.item.notify_one();
                    }
                }
            }
        }
    }
}

impl FairQueues {
    /// Wakes the next request of each queue.
    pub(crate) fn wake(&self) {
        let now = Instant::now();
        for queue in locked(&self.queues).values() {
            queue.wake(now);
        }
    }

    fn enter(&self, query: &SlotQuery<'_>, now: Instant) -> Entry<'_> {
        let call = query.call;
        let name = (query.service.clone(), query.model.clone());
        let ticket = ticket(call);
        let mut queues = locked(&self.queues);
        let queue = queues.entry(name.clone()).or_default();
        if !query.resumed && now < call.on_time_until() {
            queue.estimate.on_arrival(now);
        }
        let told = queue.estimate.take_place(&ticket, now);
        let late_class = match told {
            Some(told) => WaitClass::Returning(told),
            None if call.is_returning() => WaitClass::Untold,
            None => WaitClass::Late(call.urgency()),
        };
        let woken = Arc::new(Notify::new());
        let id = queue.queue.push(WaitingRequest {
            item: Arc::clone(&woken),
            customer: call.customer().into(),
            class: if query.resumed {
                WaitClass::Resumed
            } else {
                WaitClass::OnTime(call.urgency())
            },
            prompt_tokens: call.metadata.prompt_tokens,
            urgency: call.urgency(),
            is_returning: call.is_returning() || told.is_some(),
            late_class,
            on_time_until: call.on_time_until(),
            deadline: query.until,
            queued_at: now,
        });
        queue.shed(now);
        Entry {
            queues: self,
            name,
            id,
            woken,
        }
    }
}

fn ticket(call: &Call) -> ReturnTicket {
    ReturnTicket {
        customer: call.customer().into(),
        prompt_tokens: call.metadata.prompt_tokens,
        urgency: call.urgency(),
    }
}

/// A queue entry. Dropping it leaves the queue.
struct Entry<'t> {
    queues: &'t FairQueues,
    name: QueueName,
    id: QueueId,
    woken: Arc<Notify>,
}

impl Entry<'_> {
    fn with_queue<R>(&self, f: impl FnOnce(&mut NodeQueue) -> R) -> R {
        f(locked(&self.queues.queues)
            .entry(self.name.clone())
            .or_default())
    }

    /// Whether it is its turn; `None` if it was rejected.
    fn is_next(&self, now: Instant) -> Option<bool> {
        self.with_queue(|q| {
            q.shed(now);
            q.queue.get(self.id)?;
            Some(q.next(now) == Some(self.id))
        })
    }

    fn on_granted(&self, now: Instant) {
        self.with_queue(|q| {
            q.queue.take(self.id);
            q.grants.on_event(now);
        });
    }

    /// When its caller may come back; `None` if nothing was measured.
    fn retry_after(&self, call: &Call, now: Instant) -> Option<Duration> {
        self.with_queue(|q| {
            let rate = q.rate(now)?;
            let returning = q.queue.returning_len();
            Some(q.estimate.retry_after(ticket(call), rate, returning, now))
        })
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.with_queue(|q| {
            q.queue.remove(self.id);
            q.queue.on_round_end();
            q.wake(Instant::now());
        });
    }
}

/// Waits for a slot as [`admission::admit`](crate::admission::admit) does, in the order of the
/// customers' shares.
pub(crate) async fn admit<P: Platform>(
    core: &Arc<Core<P>>,
    query: &SlotQuery<'_>,
) -> Result<SlotGuard<P>, Refusal> {
    let (call, service, model) = (query.call, query.service, query.model);
    let began = Instant::now();
    let entry = core.fair_queues.enter(query, began);
    let count = |decision| {
        let metrics = &core.metrics;
        metrics.count_admission(service, decision, call.is_returning());
    };
    loop {
        let now = Instant::now();
        let left = query.until.saturating_duration_since(now);
        let turn = entry.is_next(now).filter(|_| !left.is_zero());
        let Some(is_next) = turn else {
            count(if now.duration_since(began) < RECHECK_INTERVAL {
                AdmissionDecision::RejectedEstimate
            } else {
                AdmissionDecision::Shed
            });
            let retry_after = entry.retry_after(call, now);
            return Err(full_refusal(
                no_slot_cause(core, service, model),
                retry_after,
            ));
        };
        if is_next {
            match choose_head(core, service, model, query.avoid) {
                Choice::Free(head) => {
                    entry.on_granted(now);
                    count(AdmissionDecision::Granted);
                    return Ok(paced(core, call, head.enter(None)));
                }
                Choice::Limited => {
                    return Err(limit_refusal(core, service, RETRY_AFTER_NO_SCHEDULER));
                }
                Choice::Resting(rest) if !query.resumed || now + rest >= query.until => {
                    return Err(core.host_signals.rest_refusal(rest));
                }
                _ => {}
            }
        }
        // A timeout is the periodic recheck.
        let woken = entry.woken.notified();
        let _ = tokio::time::timeout(RECHECK_INTERVAL.min(left), woken).await;
    }
}
