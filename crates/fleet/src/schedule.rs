//! Scheduler of one model: assigns requests to replicas and queues the rest.
//!
//! Designed for many nodes that each send a few requests a second to the same heads. A head
//! prefills prompts between the decode steps of its streams, so the latency of a first event and
//! the event gaps of all its streams depend on what it was sent in the last tenth of a second,
//! which reported loads don't show. So one node schedules all requests of a model.
//!
//! A head gets no more prompt tokens than it can prefill within the permitted event gap of its
//! streams. Further requests are queued here, where they can be reordered or rejected; at the head
//! they would delay all its streams.

mod fair;
mod head;
mod pacing;
mod queue;
mod request;
mod reservation;

pub use request::{
    AdmissionDecision, Decision, HeadKey, HeadLoad, OpenHead, PendingRequest, RequestKey,
    RequestOrigin, SchedulerState, SchedulingPolicy, SlotOutcome,
};

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::catalog::EngineSpeed;
use crate::demand::{DemandMeter, ModelDemand};
use crate::pace::{Preference, SentRequest};
use crate::priority::{LateRejection, Priority};
use crate::rate::Rate;
use crate::rate_limit::{RetryTimes, usable_rate};
use crate::schedule::fair::Contention;
use crate::schedule::head::{Demand, HeadState, LimitState};
use crate::schedule::pacing::PacingState;
use crate::schedule::queue::{Position, Queue};
use crate::schedule::reservation::Reservation;

/// Cost of a head in another failure domain, as additional latency of the first event.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(20);
/// Cost of a full batch over an empty one, as additional latency of the first event. Balances
/// batches, so that no replica is full while others have many free slots.
const FULL_BATCH_COST: Duration = Duration::from_millis(40);
/// A request that was not rejected within this time counts as accepted: heads reject within
/// milliseconds.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);
/// Time over which the count of requests assigned by the previous scheduler decays to zero: about
/// the duration of a stream.
const INHERITED_TTL: Duration = Duration::from_secs(2);

/// Weight of the newest first-event latency in the moving average, as 1 / this.
const LATENCY_MEMORY: u32 = 16;
/// A request can be on time while this fraction of the mean first-event latency is left: many
/// requests take less than the mean.
const MIN_LATENCY_RATIO: f64 = 0.85;
/// Maximum fraction of the slots that late requests leave free.
const MAX_RESERVED_RATIO: f64 = 0.5;
/// How long requests must have been queued before the grant rate is a valid estimate of the heads'
/// capacity.
const LEARNING_PERIOD: Duration = Duration::from_millis(500);
/// Standard deviations by which more slots may become free than the grant rate predicts. A queue
/// that is longer than that is very likely too long.
const GRANT_DEVIATIONS: f64 = 1.0;
/// How long a slot stays assigned after the request's deadline if its release is not reported:
/// longer than streams usually take.
const ASSIGNMENT_TTL: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Assignment {
    head: HeadKey,
    /// Maximum number of concurrent requests of the head.
    slots: usize,
    granted_at: Instant,
    /// Whether it resumes a stream whose replica was lost.
    resumed: bool,
    prompt_tokens: u64,
    /// Whether its prompt counts as prefilled.
    prefilled: bool,
    /// Whether the head can no longer reject it.
    accepted: bool,
    /// When it expires if its end is not reported.
    expires_at: Instant,
    /// Identifies it in the head's pace, if that has one.
    sent: Option<SentRequest>,
}

/// Cached results for one round of decisions. Recomputing them for each queued request would cost
/// the queue length times the number of heads.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// Whether no head has room even for the shortest prompt.
    is_full: bool,
    /// Whether all free slots will soon be needed by requests that can be on time.
    is_scarce: Option<bool>,
}

/// Assigns the requests of one model to its heads.
#[derive(Clone, Debug)]
pub struct Scheduler {
    speed: EngineSpeed,
    started_at: Instant,
    /// Requests assigned by the previous scheduler, as of the first decision.
    inherited: Option<BTreeMap<HeadKey, usize>>,
    /// Invariant: sums over `assigned`, with an entry for each head of the last decision.
    head_states: BTreeMap<HeadKey, HeadState>,
    assigned: HashMap<RequestKey, Assignment>,
    /// Requests that their heads may still reject, in the order of their grants.
    unaccepted_grants: VecDeque<(Instant, RequestKey)>,
    queue: Queue,
    late_rejection: LateRejection,
    /// Moving average of the time from a grant to its first event.
    first_event_latency: Duration,
    /// Arrival rate of requests that can be on time.
    arrivals: Rate,
    /// Rate of grants.
    grants: Rate,
    /// When requests that the heads' limits don't admit may come back.
    retry_times: RetryTimes,
    pacing: PacingState,
    /// Set if customers share slots fairly; it then replaces `queue`.
    contention: Option<Box<Contention>>,
    /// Grants so far to a request while one ahead of it with a longer prompt found no room.
    passed_over: u64,
    /// Set while a head is held free for a long prompt.
    reservation: Option<Reservation>,
    demand_meter: DemandMeter,
    /// Whether the slots in use are measured in each round, which takes time for each head.
    measures_demand: bool,
}

impl Scheduler {
    /// Creates an empty scheduler for replicas that work at `speed`.
    pub fn new(speed: EngineSpeed, now: Instant) -> Scheduler {
        Scheduler {
            speed,
            started_at: now,
            inherited: None,
            head_states: BTreeMap::new(),
            assigned: HashMap::new(),
            unaccepted_grants: VecDeque::new(),
            queue: Queue::default(),
            late_rejection: LateRejection::default(),
            first_event_latency: Duration::ZERO,
            arrivals: Rate::default(),
            grants: Rate::default(),
            retry_times: RetryTimes::default(),
            passed_over: 0,
            reservation: None,
            demand_meter: DemandMeter::new(now),
            measures_demand: true,
            pacing: PacingState::default(),
            contention: None,
        }
    }

    /// Creates an empty scheduler with optional policies.
    pub fn with_policy(speed: EngineSpeed, policy: SchedulingPolicy, now: Instant) -> Scheduler {
        Scheduler {
            contention: policy.fair_share.then(Box::default),
            ..Scheduler::new(speed, now)
        }
    }

    /// Sets whether demand is measured, which is the default.
    #[must_use]
    pub fn with_demand_measured(mut self, measures_demand: bool) -> Scheduler {
        self.measures_demand = measures_demand;
        self
    }

    /// Updates the speed after a configuration change.
    pub fn set_speed(&mut self, speed: EngineSpeed) {
        self.speed = speed;
    }

    /// Loads of the open heads and of those that still have requests.
    pub fn head_loads(&self, now: Instant) -> BTreeMap<&HeadKey, HeadLoad> {
        let inherited = self.inherited.iter().flat_map(BTreeMap::keys);
        let loads = self.head_states.keys().chain(inherited).map(|key| {
            let load = HeadLoad {
                requests: self.requests_at(key, now),
                is_ejected: self
                    .head_states
                    .get(key)
                    .is_some_and(|state| state.ejection.is_ejected()),
            };
            (key, load)
        });
        loads.collect()
    }

    /// Requests at a head: those that this scheduler has assigned, and an estimate of the remaining
    /// ones of the previous scheduler.
    fn requests_at(&self, key: &HeadKey, now: Instant) -> usize {
        let own = self.head_states.get(key).map_or(0, |state| state.requests);
        let inherited = self.inherited.as_ref().and_then(|all| all.get(key));
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let left = (1.0 - age / INHERITED_TTL.as_secs_f64()).max(0.0);
        let inherited = inherited.map_or(0.0, |requests| *requests as f64 * left);
        own + inherited.ceil() as usize
    }

    /// Summary of `heads` and the queue.
    pub fn state(&self, heads: &[OpenHead], now: Instant) -> SchedulerState {
        let suspected = |state: &HeadState| state.ejection.is_suspected(now);
        let rejects = |h: &&OpenHead| self.head_states.get(&h.key).is_some_and(suspected);
        SchedulerState {
            heads: heads.len(),
            slots: heads.iter().map(|h| h.slots).sum(),
            requests: heads.iter().map(|h| self.requests_of(h, now)).sum(),
            rejecting: heads.iter().filter(rejects).count(),
            waiting: self.queue_len(),
            longest_prompt: self.longest_queued_prompt(),
            passed_over: self.passed_over,
            first_event_latency: self.first_event_latency,
        }
    }

    /// All requests at a head, including unscheduled ones.
    fn requests_of(&self, head: &OpenHead, now: Instant) -> usize {
        self.requests_at(&head.key, now) + head.unscheduled_requests
    }

    /// Number of queued requests.
    pub fn queue_len(&self) -> usize {
        let contention = self.contention.as_ref();
        contention.map_or(self.queue.len(), |c| c.queue.len())
    }

    fn longest_queued_prompt(&self) -> u64 {
        let fair = self.contention.iter().flat_map(|c| c.requests());
        let queued = self.queue.requests().chain(fair);
        queued.map(|r| r.prompt_tokens).max().unwrap_or_default()
    }

    /// Queues a request; returns whether it was added. One that is already queued only gets its new
    /// excluded hosts.
    pub fn enqueue(&mut self, request: PendingRequest, now: Instant) -> bool {
        self.enqueue_from(request, RequestOrigin::default(), now)
    }

    /// Queues a request of a known customer, as [`Self::enqueue`] does.
    pub fn enqueue_from(
        &mut self,
        request: PendingRequest,
        origin: RequestOrigin,
        now: Instant,
    ) -> bool {
        let queued = match &mut self.contention {
            Some(contention) => contention.get_mut(&request.key),
            None => self.queue.get_mut(&request.key),
        };
        if let Some(queued) = queued {
            queued.excluded = request.excluded;
            return false;
        }
        if now < request.on_time_until {
            self.arrivals.on_event(now);
        }
        self.pacing.on_enqueued(&request, now);
        if let Some(contention) = &mut self.contention {
            contention.push(request, origin, now);
            return true;
        }
        let priority = Priority::first(request.resumed, request.urgency);
        self.queue.push(priority, request);
        true
    }

    /// Counts a request that was just queued as demand. `repeated` if it was counted before.
    pub fn count_demand(&mut self, repeated: bool, prompt_tokens: u64, now: Instant) {
        self.demand_meter.on_arrival(repeated, prompt_tokens, now);
    }

    /// The demand for the slots of `heads`, and when the last request arrived; `None` until it is
    /// known. To be called several times a second.
    pub fn measure_demand(
        &mut self,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<(ModelDemand, Instant)> {
        self.demand_meter.set_used(self.used_slots(heads, now), now);
        let last_request = self.demand_meter.last_request()?;
        Some((self.demand_meter.measure(now)?, last_request))
    }

    fn used_slots(&self, heads: &[OpenHead], now: Instant) -> usize {
        heads.iter().map(|h| self.requests_of(h, now)).sum()
    }

    /// Records that the first event of a request has arrived.
    pub fn on_first_event(&mut self, key: &RequestKey, now: Instant) {
        if let Some(assigned) = self.assigned.get(key).filter(|p| !p.prefilled) {
            let first_event_latency = now.saturating_duration_since(assigned.granted_at);
            self.first_event_latency = (self.first_event_latency * (LATENCY_MEMORY - 1)
                + first_event_latency)
                / LATENCY_MEMORY;
            if let Some(state) = self.head_states.get_mut(&assigned.head) {
                state.on_first_event(first_event_latency, now);
                state.pace_first_event(assigned.sent, now);
            }
            self.on_accepted(key);
            self.on_prefilled(key);
        }
    }

    /// Records that a head has accepted a request.
    fn on_accepted(&mut self, key: &RequestKey) {
        let Some(assigned) = self.assigned.get_mut(key).filter(|a| !a.accepted) else {
            return;
        };
        assigned.accepted = true;
        if let Some(state) = self.head_states.get_mut(&assigned.head) {
            state.unaccepted = state.unaccepted.saturating_sub(1);
            state.ejection.accepted(assigned.granted_at, assigned.slots);
        }
    }

    /// Marks requests as accepted that were not rejected within [`REJECTION_TIMEOUT`].
    fn accept_unrejected(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= REJECTION_TIMEOUT;
        while let Some((_, key)) = self.unaccepted_grants.pop_front_if(|(at, _)| old(*at)) {
            self.on_accepted(&key);
        }
    }

    /// Records that a request's prompt has been prefilled.
    fn on_prefilled(&mut self, key: &RequestKey) {
        let Some(assigned) = self.assigned.get_mut(key).filter(|p| !p.prefilled) else {
            return;
        };
        assigned.prefilled = true;
        if let Some(state) = self.head_states.get_mut(&assigned.head) {
            state.unprefilled_tokens = state
                .unprefilled_tokens
                .saturating_sub(assigned.prompt_tokens);
        }
    }

    /// Records that a request has ended or was abandoned, and releases its slot.
    pub fn on_released(&mut self, key: &RequestKey, now: Instant) {
        let served = self.assigned.get(key).filter(|a| a.prefilled);
        if let (Some(served), Some(contention)) = (served, &mut self.contention) {
            contention.on_released(now.saturating_duration_since(served.granted_at));
        }
        self.record_held_time(key, now);
        self.release(key);
    }

    fn record_held_time(&mut self, key: &RequestKey, now: Instant) {
        if let Some(assigned) = self.assigned.get(key) {
            let (granted_at, resumed) = (assigned.granted_at, assigned.resumed);
            self.demand_meter.on_ended(granted_at, resumed, now);
        }
    }

    /// Removes a request that has ended or was abandoned, whether it has a slot or is queued.
    pub fn release(&mut self, key: &RequestKey) {
        self.on_prefilled(key);
        self.queue.remove_key(key);
        self.pacing.forget(key);
        self.end_reservation(key);
        if let Some(contention) = &mut self.contention {
            contention.remove_key(key);
        }
        let Some(assigned) = self.assigned.remove(key) else {
            return;
        };
        self.pace_ended(&assigned);
        self.demand_meter.on_release(assigned.granted_at);
        if let Some(state) = self.head_states.get_mut(&assigned.head) {
            state.requests = state.requests.saturating_sub(1);
            if !assigned.accepted {
                state.unaccepted = state.unaccepted.saturating_sub(1);
            }
            if state.requests == 0 {
                state.max_event_gap = None;
            }
        }
    }

    /// Records that a head rejected a request, and releases its slot.
    pub fn on_rejected(&mut self, key: &RequestKey, now: Instant) {
        if let Some(assigned) = self.assigned.get(key) {
            let state = self.head_states.entry(assigned.head.clone()).or_default();
            state
                .ejection
                .rejected(assigned.granted_at, state.unaccepted, now);
            state.pace_failed(assigned.sent, assigned.slots, now);
        }
        self.release(key);
    }

    /// Records that a request failed at a head before its first event, and releases its slot.
    ///
    /// Since the slot is free immediately, a head that fails all requests looks like the least
    /// loaded one. So the failure counts as a rejection if the head's success rate is an outlier.
    pub fn on_failed(&mut self, key: &RequestKey, now: Instant) {
        let Some(assigned) = self.assigned.get(key) else {
            return self.release(key);
        };
        let (head, sent, slots) = (assigned.head.clone(), assigned.sent, assigned.slots);
        self.record_held_time(key, now);
        let state = self.head_states.entry(head.clone()).or_default();
        state.success.on_failed(now);
        state.pace_failed(sent, slots, now);
        let success = state.success;
        let others = self.head_states.iter().filter(|(other, _)| **other != head);
        if success.is_outlier(others.map(|(_, state)| &state.success), now) {
            self.on_rejected(key, now);
        } else {
            self.release(key);
        }
    }

    /// Removes all requests of a node that is gone.
    pub fn remove_node(&mut self, node: &str) {
        let of_node = |key: &&RequestKey| key.node == node;
        let keys: BTreeSet<RequestKey> = self
            .assigned
            .keys()
            .chain(self.queue.keys())
            .chain(self.contention.iter().flat_map(|c| c.keys()))
            .filter(of_node)
            .cloned()
            .collect();
        for key in keys {
            self.release(&key);
        }
    }

    /// Decides on all queued requests that can be decided now.
    pub fn assign(&mut self, heads: &[OpenHead], now: Instant) -> Vec<(RequestKey, SlotOutcome)> {
        let decided = self.decide_all(heads, now).into_iter();
        decided.map(|d| (d.key, d.outcome)).collect()
    }

    /// Decides on all queued requests that can be decided now, with the reasons.
    pub fn decide_all(&mut self, heads: &[OpenHead], now: Instant) -> Vec<Decision> {
        self.inherited.get_or_insert_with(|| {
            let busy = heads.iter().filter(|h| h.inherited_requests > 0);
            busy.map(|h| (h.key.clone(), h.inherited_requests))
                .collect()
        });
        self.update_heads(heads, now);
        self.accept_unrejected(now);
        let decided: Vec<Decision> = match self.contention.take() {
            Some(mut contention) => {
                let decided = self.decide_fairly(&mut contention, heads, now);
                self.contention = Some(contention);
                decided
            }
            None => self.decide_in_order(heads, now),
        };
        for decision in &decided {
            self.end_reservation(&decision.key);
        }
        self.pacing.on_round_end(&decided, now);
        if self.measures_demand {
            let got_none = |d: &&Decision| !matches!(d.outcome, SlotOutcome::Granted(_));
            let rejections = decided.iter().filter(got_none).count();
            self.demand_meter.on_rejections(rejections, now);
            self.demand_meter.set_used(self.used_slots(heads, now), now);
        }
        decided
    }

    /// Decides on the queued requests by priority, without regard to customers.
    fn decide_in_order(&mut self, heads: &[OpenHead], now: Instant) -> Vec<Decision> {
        let first_event_latency = self.first_event_latency.mul_f64(MIN_LATENCY_RATIO);
        self.queue.demote_late(first_event_latency, now);
        let mut decided = Vec::new();
        let mut round = Round::default();
        let mut longest_ahead = 0;
        // Requests that found no room, in order.
        let mut without_room = Vec::new();
        for position in self.positions_with_reserved_first(heads, now) {
            let Some((outcome, head)) = self.decide(position, &mut round, heads, now) else {
                if !(position.0.is_late() && round.is_scarce == Some(true)) {
                    let tokens = self.queue.get(position).map_or(0, |r| r.prompt_tokens);
                    longest_ahead = longest_ahead.max(tokens);
                    without_room.push(position);
                }
                continue;
            };
            let Some(request) = self.queue.remove(position) else {
                continue;
            };
            if let Some(head) = head {
                self.passed_over += u64::from(request.prompt_tokens < longest_ahead);
                self.assign_to(&request, head, now);
                round.is_scarce = None;
            }
            decided.push(Decision::new(request, outcome));
        }
        if self.reservation.is_none() {
            let waiting = without_room.iter().filter_map(|p| self.queue.get(*p));
            self.reservation = self.reservation_for_passed_over(&decided, waiting, heads, now);
        }
        self.queue.on_round_end(now);
        while let Some((position, retry_after)) = self.last_over_limits(heads, now) {
            let rejected = self.queue.remove(position);
            let outcome = SlotOutcome::Limited { retry_after };
            decided.extend(rejected.map(|request| Decision::new(request, outcome)));
        }
        while let Some(position) = self.last_unservable(heads, now) {
            let rejected = self.queue.remove(position);
            decided.extend(rejected.map(|request| Decision::new(request, SlotOutcome::Full)));
        }
        decided
    }

    /// Limits of the heads, if all of them name one.
    fn limits(&self, heads: &[OpenHead]) -> Option<SmallVec<[LimitState; 8]>> {
        let limits = heads.iter().map(|h| self.head_states.get(&h.key)?.limit);
        limits
            .collect::<Option<_>>()
            .filter(|l: &SmallVec<_>| !l.is_empty())
    }

    /// The last queued request and its Retry-After, if all heads name limits that don't admit it in
    /// time. It waits only while its response can still be on time: more wait than are served, so
    /// that longer waits would make all responses late.
    fn last_over_limits(
        &mut self,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<(Position, Duration)> {
        let limits = self.limits(heads)?;
        let (position, request) = self.queue.last()?;
        let until = request.deadline.min(request.on_time_until);
        let time = until.saturating_duration_since(now).as_secs_f64();
        let rate: f64 = limits.iter().map(|l| usable_rate(l.limit)).sum();
        let tokens: f64 = limits.iter().map(|l| l.tokens(now)).sum();
        let is_admitted = self.queue.len() as f64 <= tokens + rate * time;
        (!is_admitted).then(|| (position, self.retry_times.next(rate, now)))
    }

    /// The last queued request, if more requests are queued than are likely to get a slot before
    /// its deadline.
    ///
    /// If rejected immediately, its caller can retry in time; after waiting, it would retry
    /// together with all others that waited as long. Slots become free at random times, so their
    /// number varies by its square root.
    fn last_unservable(&self, heads: &[OpenHead], now: Instant) -> Option<Position> {
        let (position, request) = self.queue.last()?;
        if self.queue.nonempty_for(now) < LEARNING_PERIOD || position.0 == Priority::Resumed {
            return None;
        }
        let time = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        let expected = self.grants.per_second(now) * time;
        let servable = heads.len() as f64 + expected + GRANT_DEVIATIONS * expected.sqrt();
        (self.queue.len() as f64 > servable).then_some(position)
    }

    /// Decides on a queued request; `None` if it stays queued. Returns the head if it gets a slot.
    fn decide<'h>(
        &mut self,
        position: Position,
        round: &mut Round,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<(SlotOutcome, Option<&'h OpenHead>)> {
        let priority = position.0;
        if let Some(head) = self.head_for(position, round, heads, now) {
            self.late_rejection.on_wait_ended(priority, true, now);
            return Some((SlotOutcome::Granted(head.key.clone()), Some(head)));
        }
        if now >= self.queue.get(position)?.deadline {
            self.late_rejection.on_wait_ended(priority, false, now);
            return Some((SlotOutcome::Full, None));
        }
        let is_rejected = self.late_rejection.applies_to(priority, now);
        is_rejected.then_some((SlotOutcome::Full, None))
    }

    fn head_for<'h>(
        &self,
        position: Position,
        round: &mut Round,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<&'h OpenHead> {
        let is_scarce = |round: &mut Round| {
            let is_scarce = round
                .is_scarce
                .unwrap_or_else(|| self.is_scarce(heads, now));
            round.is_scarce = Some(is_scarce);
            is_scarce
        };
        let request = self.queue.get(position)?;
        let waits_as_late = position.0.is_late() && !self.has_reservation(&request.key);
        if round.is_full || (waits_as_late && is_scarce(round)) {
            return None;
        }
        let head = self.choose_head(request, heads, now);
        if head.is_none() {
            round.is_full = !heads.iter().any(|h| self.has_any_room(h, now));
        }
        head
    }

    /// Whether a head has room for the shortest prompt of any request.
    fn has_any_room(&self, head: &OpenHead, now: Instant) -> bool {
        if self.is_held(&head.key) {
            return false;
        }
        let demand = self.demand(head, 0, Duration::MAX, now);
        let state = self.head_states.get(&head.key);
        state
            .is_some_and(|state| state.has_room(&self.speed, demand, self.first_event_latency, now))
    }

    fn demand(
        &self,
        head: &OpenHead,
        prompt_tokens: u64,
        max_event_gap: Duration,
        now: Instant,
    ) -> Demand {
        Demand {
            requests: self.requests_of(head, now),
            slots: head.slots,
            prompt_tokens,
            max_event_gap,
            max_grants: head.cold.map(|cold| cold.grants(self.started_at, now)),
        }
    }

    fn assign_to(&mut self, request: &PendingRequest, head: &OpenHead, now: Instant) {
        self.grants.on_event(now);
        let sent = self.pace_sent(request, head, now);
        self.demand_meter.on_grant(now);
        let state = self.head_states.entry(head.key.clone()).or_default();
        state.requests += 1;
        state.unaccepted += 1;
        state.on_grant(now);
        state.unprefilled_tokens += request.prompt_tokens;
        state.max_event_gap = Some(
            state
                .max_event_gap
                .map_or(request.max_event_gap, |p| p.min(request.max_event_gap)),
        );
        let assigned = Assignment {
            head: head.key.clone(),
            slots: head.slots,
            granted_at: now,
            resumed: request.resumed,
            prompt_tokens: request.prompt_tokens,
            prefilled: false,
            accepted: false,
            expires_at: request.deadline.max(now) + ASSIGNMENT_TTL,
            sent,
        };
        self.end_reservation(&request.key);
        self.assigned.insert(request.key.clone(), assigned);
        self.unaccepted_grants.push_back((now, request.key.clone()));
    }

    /// The head with the lowest expected first-event latency among those with room for the request.
    fn choose_head<'h>(
        &self,
        request: &PendingRequest,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<&'h OpenHead> {
        let permitted = || {
            let is_permitted = |h: &&OpenHead| {
                !request.excluded.contains(&h.host)
                    && (!self.is_held(&h.key) || self.has_reservation(&request.key))
            };
            heads.iter().filter(is_permitted)
        };
        let other = permitted().any(|h| !request.avoid.contains(&h.host));
        let wanted = permitted().filter(|h| !other || !request.avoid.contains(&h.host));
        let mut best: Option<((Preference, bool, Duration), &OpenHead)> = None;
        for head in wanted {
            let Some(state) = self.head_states.get(&head.key) else {
                continue;
            };
            let demand = self.demand(head, request.prompt_tokens, request.max_event_gap, now);
            if !state.has_room(&self.speed, demand, self.first_event_latency, now) {
                continue;
            }
            let fill = demand.requests as f64 / head.slots.max(1) as f64;
            let near = head.failure_domain == request.failure_domain;
            let pass = self.speed.pass_time(
                demand.requests,
                state.unprefilled_tokens + request.prompt_tokens,
            );
            let cost = pass.mul_f64(state.slowdown(self.first_event_latency, now))
                + FULL_BATCH_COST.mul_f64(fill)
                + if near {
                    Duration::ZERO
                } else {
                    CROSS_DOMAIN_COST
                };
            let preference = state.preference(request.resumed, self.pacing.grants, now);
            let cost = (preference, state.ejection.is_suspected(now), cost);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, head));
            }
        }
        best.map(|(_, head)| head)
    }

    /// Whether all free slots will soon be needed by requests that can be on time.
    ///
    /// A late request in the last free slot runs for seconds and makes requests late that arrive
    /// meanwhile, so the overload would outlast its cause. Without [`MAX_RESERVED_RATIO`] an
    /// estimate that makes all requests late would keep all slots free and never be corrected.
    fn is_scarce(&self, heads: &[OpenHead], now: Instant) -> bool {
        let free = heads
            .iter()
            .map(|h| h.slots.saturating_sub(self.requests_of(h, now)));
        let free: usize = free.sum();
        let slots: usize = heads.iter().map(|h| h.slots).sum();
        let wanted = self.arrivals.per_second(now) * self.first_event_latency.as_secs_f64();
        (free as f64) < wanted.min(MAX_RESERVED_RATIO * slots as f64)
    }

    /// Removes expired assignments and heads that are gone, and adds new heads.
    fn update_heads(&mut self, heads: &[OpenHead], now: Instant) {
        let over = |p: &Assignment| now >= p.expires_at;
        let keys = self.assigned.iter().filter(|(_, p)| over(p));
        let keys: Vec<RequestKey> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release(&key);
        }
        let open = |key: &HeadKey| heads.iter().any(|h| h.key == *key);
        self.head_states
            .retain(|key, state| state.requests > 0 || open(key));
        for head in heads {
            if !self.head_states.contains_key(&head.key) {
                let state = self.new_head_state(head, now);
                self.head_states.insert(head.key.clone(), state);
            }
            if let Some(state) = self.head_states.get_mut(&head.key) {
                state.set_limit(head.limit, now);
            }
        }
        self.judge_heads(heads, now);
    }
}
