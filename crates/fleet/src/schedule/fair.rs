//! Decisions on queued requests while customers share the slots fairly.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::fair_share::{Excess, FairQueue, QueueId, WaitClass, WaitingRequest};
use crate::rate_limit::usable_rate;
use crate::schedule::{
    AdmissionDecision, Decision, LEARNING_PERIOD, MIN_LATENCY_RATIO, OpenHead, PendingRequest,
    RequestKey, RequestOrigin, Scheduler, SlotOutcome,
};
use crate::wait_estimate::{MAX_REJECTION_WAIT, ReturnTicket, WaitEstimate};

/// Queue and measurements of a scheduler whose customers share slots fairly.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention {
    pub(super) queue: FairQueue<PendingRequest>,
    /// Invariant: the keys of `queue`.
    ids: HashMap<RequestKey, QueueId>,
    estimate: WaitEstimate,
    /// Customer of the newest request.
    newest: SmolStr,
}

impl Contention {
    pub(super) fn get_mut(&mut self, key: &RequestKey) -> Option<&mut PendingRequest> {
        self.queue.item_mut(*self.ids.get(key)?)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.ids.keys()
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = &PendingRequest> {
        let queued = self.ids.values().filter_map(|id| self.queue.get(*id));
        queued.map(|waiting| &waiting.item)
    }

    pub(super) fn remove_key(&mut self, key: &RequestKey) {
        if let Some(id) = self.ids.remove(key) {
            self.queue.remove(id);
        }
    }

    pub(super) fn on_released(&mut self, held: Duration) {
        self.estimate.on_released(held);
    }

    pub(super) fn push(&mut self, request: PendingRequest, origin: RequestOrigin, now: Instant) {
        let deadline = if request.resumed {
            request.deadline
        } else {
            request.deadline.min(now + MAX_REJECTION_WAIT)
        };
        let class = if request.resumed {
            WaitClass::Resumed
        } else {
            WaitClass::OnTime(request.urgency)
        };
        if !request.resumed && now < request.on_time_until {
            self.estimate.on_arrival(now);
        }
        // Not all that come back are recognized by their timeouts, but those that were told a place
        // come at its time.
        let ticket = ticket(&origin.customer, &request);
        let told = self.estimate.take_place(&ticket, now);
        let late_class = match told {
            Some(told) => WaitClass::Returning(told),
            None if origin.returning => WaitClass::Untold,
            None => WaitClass::Late(request.urgency),
        };
        self.newest = origin.customer.clone();
        let key = request.key.clone();
        let id = self.queue.push(WaitingRequest {
            customer: origin.customer,
            class,
            prompt_tokens: request.prompt_tokens,
            urgency: request.urgency,
            is_returning: origin.returning || told.is_some(),
            late_class,
            on_time_until: request.on_time_until,
            deadline,
            queued_at: now,
            item: request,
        });
        self.ids.insert(key, id);
    }

    fn take(&mut self, id: QueueId) -> Option<PendingRequest> {
        let request = self.queue.take(id)?.item;
        self.ids.remove(&request.key);
        Some(request)
    }
}

fn ticket(customer: &SmolStr, request: &PendingRequest) -> ReturnTicket {
    ReturnTicket {
        customer: customer.clone(),
        prompt_tokens: request.prompt_tokens,
        urgency: request.urgency,
    }
}

impl Scheduler {
    /// Decides on all queued requests that can be decided now.
    pub(super) fn decide_fairly(
        &mut self,
        contention: &mut Contention,
        heads: &[OpenHead],
        now: Instant,
    ) -> Vec<Decision> {
        let lead = self.first_event_latency.mul_f64(MIN_LATENCY_RATIO);
        contention.queue.demote_late(now + lead);
        let mut decided = Vec::new();
        decided.extend(self.grant_reserved(contention, heads, now));
        while let Some(granted) = self.grant_next(contention, heads, now) {
            decided.push(granted);
        }
        if self.reservation.is_none() && !decided.is_empty() {
            let with_late = !self.is_scarce(heads, now);
            let candidates = contention.queue.candidates(with_late, now);
            let waiting = candidates.iter().filter_map(|id| contention.queue.get(*id));
            let waiting = waiting.map(|waiting| &waiting.item);
            self.reservation = self.reservation_for_passed_over(&decided, waiting, heads, now);
        }
        let slots = heads.iter().map(|h| h.slots).sum();
        let rate = self.free_rate(contention, slots, now);
        while let Some(id) = contention.queue.expired(now) {
            decided.extend(self.reject(contention, id, rate, now));
        }
        while let Some((id, rate)) = self.last_over_limits_fairly(contention, heads, now) {
            let rejected = self.reject(contention, id, None, now);
            let retry_after = self.retry_times.next(rate, now);
            decided.extend(rejected.map(|d| Decision {
                outcome: SlotOutcome::Limited { retry_after },
                ..d
            }));
        }
        if let Some(rate) = rate {
            self.shed(contention, heads.len(), rate, lead, &mut decided, now);
        }
        contention.queue.on_round_end();
        decided
    }

    /// Grants a slot to the next request that fits; `None` if there is none.
    fn grant_next(
        &mut self,
        contention: &mut Contention,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<Decision> {
        if contention.queue.is_empty() || !heads.iter().any(|h| self.has_any_room(h, now)) {
            return None;
        }
        let is_scarce = self.is_scarce(heads, now);
        let candidates = contention.queue.candidates(!is_scarce, now);
        let fits = |id: &QueueId| {
            let request = contention.queue.get(*id)?;
            Some((*id, self.choose_head(&request.item, heads, now)?))
        };
        let (id, head) = candidates.iter().find_map(fits)?;
        let ahead = candidates.iter().take_while(|ahead| **ahead != id);
        let prompts = ahead.filter_map(|ahead| Some(contention.queue.get(*ahead)?.prompt_tokens));
        let longest_ahead = prompts.max().unwrap_or_default();
        let waiting = contention.queue.get(id)?;
        self.passed_over += u64::from(waiting.prompt_tokens < longest_ahead);
        self.grant(contention, id, head, now)
    }

    /// Grants the request for which a head is held, if it fits at one.
    fn grant_reserved(
        &mut self,
        contention: &mut Contention,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<Decision> {
        let key = self.reserved_request(heads, now)?;
        let id = *contention.ids.get(&key)?;
        let request = contention.queue.get(id)?;
        let head = self.choose_head(&request.item, heads, now)?;
        self.grant(contention, id, head, now)
    }

    fn grant(
        &mut self,
        contention: &mut Contention,
        id: QueueId,
        head: &OpenHead,
        now: Instant,
    ) -> Option<Decision> {
        let waiting = contention.queue.get(id)?;
        let customer = waiting.customer.clone();
        let is_returning = waiting.is_returning;
        let request = contention.take(id)?;
        self.assign_to(&request, head, now);
        Some(Decision {
            key: request.key,
            outcome: SlotOutcome::Granted(head.key.clone()),
            retry_after: None,
            decision: AdmissionDecision::Granted,
            prompt_tokens: request.prompt_tokens,
            customer,
            is_returning,
        })
    }

    /// The rate at which slots become free: by the time that slots are held, or if that is unknown,
    /// by the grants while requests wait.
    fn free_rate(&self, contention: &Contention, slots: usize, now: Instant) -> Option<f64> {
        if slots == 0 {
            return None;
        }
        let is_learned = contention.queue.nonempty_for(now) >= LEARNING_PERIOD;
        let granted = || is_learned.then(|| self.grants.per_second(now));
        contention.estimate.free_rate(slots).or_else(granted)
    }

    /// Rejects a request.
    fn reject(
        &mut self,
        contention: &mut Contention,
        id: QueueId,
        rate: Option<f64>,
        now: Instant,
    ) -> Option<Decision> {
        let rejected = contention.queue.remove(id)?;
        contention.ids.remove(&rejected.item.key);
        let ticket = ticket(&rejected.customer, &rejected.item);
        let returning = contention.queue.returning_len();
        let estimate = &mut contention.estimate;
        let decision = if rejected.queued_at == now {
            AdmissionDecision::RejectedEstimate
        } else if rejected.customer != contention.newest && rejected.deadline > now {
            AdmissionDecision::RejectedShare
        } else {
            AdmissionDecision::Shed
        };
        Some(Decision {
            key: rejected.item.key,
            outcome: SlotOutcome::Full,
            retry_after: rate.map(|rate| estimate.retry_after(ticket, rate, returning, now)),
            decision,
            prompt_tokens: rejected.prompt_tokens,
            customer: rejected.customer,
            is_returning: rejected.is_returning,
        })
    }

    /// Rejects requests that can't begin in time at `rate` slots per second, each class by itself.
    ///
    /// If rejected immediately, their callers can retry in time; after waiting, they would retry
    /// together with all others that waited as long.
    fn shed(
        &mut self,
        contention: &mut Contention,
        heads: usize,
        rate: f64,
        lead: Duration,
        decided: &mut Vec<Decision>,
        now: Instant,
    ) {
        while let Some(excess) =
            contention
                .queue
                .excess(&contention.estimate, heads, rate, lead, now)
        {
            match excess {
                Excess::Demoted(id) => contention.queue.demote(id),
                Excess::Rejected(id) => {
                    decided.extend(self.reject(contention, id, Some(rate), now));
                }
            }
        }
    }

    /// The last queued request and the rate that is served, if all heads name limits that don't
    /// admit it in time.
    fn last_over_limits_fairly(
        &self,
        contention: &Contention,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<(QueueId, f64)> {
        let limits = self.limits(heads)?;
        let queue = &contention.queue;
        let least_urgent = queue.on_time_lengths().last().map(|(urgency, _)| *urgency);
        let on_time = || queue.last_on_time(least_urgent?, now);
        let last = queue
            .last_late()
            .or_else(|| queue.last_returning())
            .or_else(on_time)?;
        let request = queue.get(last)?;
        let until = request.deadline.min(request.on_time_until);
        let time = until.saturating_duration_since(now).as_secs_f64();
        let rate: f64 = limits.iter().map(|l| usable_rate(l.limit)).sum();
        let tokens: f64 = limits.iter().map(|l| l.tokens(now)).sum();
        (queue.len() as f64 > tokens + rate * time).then_some((last, rate))
    }
}
