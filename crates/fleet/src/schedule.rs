//! Which replica of a model runs which request, and who waits.
//!
//! Sized for many nodes that each send a few requests a second to the same heads. A head prefills
//! prompts between the tokens of its streams; the time to a first event, and the pauses of all its
//! streams, depend on what was sent to it in the last tenth of a second, which reported loads
//! don't show. So one node schedules all requests of a model.
//!
//! A head gets no more prompt tokens than it can prefill within the pause that its streams may
//! have. Further requests wait here, where they can be reordered or rejected; at the head they
//! would make all its streams late.

mod head;
mod queue;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, HostId, NodeId, value};
use smallvec::SmallVec;

use crate::catalog::EngineSpeed;
use crate::cold::ColdStart;
use crate::rank::{LateRejection, Priority};
use crate::rate::Rate;
use crate::schedule::head::{Demand, HeadWork};
use crate::schedule::queue::{Position, Queue};

/// Cost of a head in another failure domain, as time to a first event.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(20);
/// Cost of a full batch over an empty one, as time to a first event. Keeps batches even, so that
/// no replica is without a slot while others have many.
const FULL_BATCH_COST: Duration = Duration::from_millis(40);
/// A request that was not rejected for this long has been accepted: heads reject within
/// milliseconds.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);
/// How long requests that an earlier scheduler assigned are counted, ever fewer of them: about as
/// long as streams take.
const INHERITED_TTL: Duration = Duration::from_secs(2);

/// Weight of the newest time to a first event in the average, as 1 / this.
const LEAD_MEMORY: u32 = 16;
/// A request can be on time while this part of the usual time to a first event is left: many take
/// less than the mean.
const MIN_LEAD_RATIO: f64 = 0.85;
/// Part of the slots that late requests leave free at most.
const MAX_RESERVED_RATIO: f64 = 0.5;
/// Once requests have waited for this long, those that get a slot show what heads can serve.
const LEARNING_PERIOD: Duration = Duration::from_millis(500);
/// How long a slot whose release is not reported stays assigned: longer than streams usually
/// take.
const ASSIGNMENT_TTL: Duration = Duration::from_secs(4);

/// Names a replica's formation.
pub type HeadKey = (GroupId, Epoch);

value! {
    /// Names a request at the node that has it.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RequestKey {
        /// The node.
        pub node: NodeId,
        /// Unique at the node.
        pub number: u64,
    }

    /// A head that takes requests.
    pub struct OpenHead {
        /// Its replica's formation.
        pub key: HeadKey,
        /// Its host.
        pub host: HostId,
        /// Requests that it runs at once.
        pub slots: usize,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Requests that an earlier scheduler reported to have assigned to it.
        pub inherited_requests: usize,
        /// Requests that nodes placed there without a scheduler.
        pub unscheduled_requests: usize,
        /// Set while it is cold.
        pub cold: Option<ColdStart>,
    }

    /// A request that needs a slot.
    pub struct PendingRequest {
        /// Who asks.
        pub key: RequestKey,
        /// The asking node's failure domain.
        pub failure_domain: FailureDomain,
        /// Prompt tokens to be read.
        pub prompt_tokens: u64,
        /// Whether it goes on after its replica was lost.
        pub resumed: bool,
        /// 0 is the most urgent.
        pub urgency: u8,
        /// Until then it can be on time.
        pub on_time_until: Instant,
        /// Until then it is worth waiting.
        pub deadline: Instant,
        /// The longest pause of a stream of its kind that is on time.
        pub max_event_gap: Duration,
        /// Hosts that it is not to be sent to while there is another.
        pub avoid: SmallVec<[HostId; 4]>,
    }
}

value! {
    /// What becomes of a request.
    pub enum SlotOutcome {
        /// It is to be sent to this head.
        Granted(HeadKey),
        /// No slot became free in time.
        Full,
    }
}

value! { copy
    /// What a scheduler knows of one head.
    pub struct HeadLoad {
        /// Requests that it has.
        pub requests: usize,
        /// Whether it rejects all requests.
        pub is_ejected: bool,
    }

    /// What a scheduler knows of its heads and its queue.
    #[derive(Default)]
    pub struct SchedulerState {
        /// Heads that take requests.
        pub heads: usize,
        /// Requests that they run at once.
        pub slots: usize,
        /// Requests that they have.
        pub requests: usize,
        /// Heads that rejected a request lately.
        pub rejecting: usize,
        /// Requests that wait.
        pub waiting: usize,
        /// Time from a grant to its first event, a moving average.
        pub first_event_latency: Duration,
    }
}

#[derive(Clone, Debug)]
struct Assignment {
    head: HeadKey,
    /// Requests that the head runs at once.
    slots: usize,
    at: Instant,
    prompt: u64,
    /// Whether its first event has come.
    began: bool,
    /// Whether the head will not reject it any more.
    accepted: bool,
    /// Its time is over then, should nobody tell of its end.
    until: Instant,
}

/// What holds for the rest of one round of decisions. Checked anew for each request that waits, it
/// would cost the length of the queue times the number of heads.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// No head may take even the shortest prompt.
    is_full: bool,
    /// Whether all free slots will soon be needed by requests that can be on time.
    is_tight: Option<bool>,
}

/// Places the requests of one model at its heads.
#[derive(Clone, Debug)]
pub struct Scheduler {
    speed: EngineSpeed,
    began: Instant,
    /// What an earlier scheduler had assigned, as the first decision found it.
    inherited: Option<BTreeMap<HeadKey, usize>>,
    /// Invariant: sums over `assigned`, with an entry for each head of the last decision.
    work: BTreeMap<HeadKey, HeadWork>,
    assigned: HashMap<RequestKey, Assignment>,
    /// Requests that their heads may yet reject, in the order of their grants.
    unanswered: VecDeque<(Instant, RequestKey)>,
    queue: Queue,
    late_rejection: LateRejection,
    /// Time from a grant to its first event, a moving average.
    lead: Duration,
    /// Requests that came with time to be answered on time.
    arrivals: Rate,
    /// Requests that got a slot.
    grants: Rate,
}

impl Scheduler {
    /// A scheduler that knows of no requests yet, for replicas that work at `speed`.
    pub fn new(speed: EngineSpeed, now: Instant) -> Scheduler {
        Scheduler {
            speed,
            began: now,
            inherited: None,
            work: BTreeMap::new(),
            assigned: HashMap::new(),
            unanswered: VecDeque::new(),
            queue: Queue::default(),
            late_rejection: LateRejection::default(),
            lead: Duration::ZERO,
            arrivals: Rate::default(),
            grants: Rate::default(),
        }
    }

    /// Takes the speed that the configuration now says.
    pub fn set_speed(&mut self, speed: EngineSpeed) {
        self.speed = speed;
    }

    /// The open heads, and those that still have requests.
    pub fn head_loads(&self, now: Instant) -> BTreeMap<&HeadKey, HeadLoad> {
        let inherited = self.inherited.iter().flat_map(BTreeMap::keys);
        let loads = self.work.keys().chain(inherited).map(|key| {
            let load = HeadLoad {
                requests: self.requests_at(key, now),
                is_ejected: self.work.get(key).is_some_and(|w| w.ejection.is_ejected()),
            };
            (key, load)
        });
        loads.collect()
    }

    /// Requests at a head: those that this scheduler has assigned, and what is likely left of
    /// those of the one before.
    fn requests_at(&self, key: &HeadKey, now: Instant) -> usize {
        let own = self.work.get(key).map_or(0, |work| work.requests);
        let inherited = self.inherited.as_ref().and_then(|all| all.get(key));
        let age = now.saturating_duration_since(self.began).as_secs_f64();
        let left = (1.0 - age / INHERITED_TTL.as_secs_f64()).max(0.0);
        let inherited = inherited.map_or(0.0, |requests| *requests as f64 * left);
        own + inherited.ceil() as usize
    }

    /// What it knows of `heads` and its queue.
    pub fn state(&self, heads: &[OpenHead], now: Instant) -> SchedulerState {
        let suspected = |w: &HeadWork| w.ejection.is_suspected(now);
        let rejects = |h: &&OpenHead| self.work.get(&h.key).is_some_and(suspected);
        SchedulerState {
            heads: heads.len(),
            slots: heads.iter().map(|h| h.slots).sum(),
            requests: heads.iter().map(|h| self.requests_of(h, now)).sum(),
            rejecting: heads.iter().filter(rejects).count(),
            waiting: self.queue.len(),
            first_event_latency: self.lead,
        }
    }

    /// Requests at a head, whoever sent them.
    fn requests_of(&self, head: &OpenHead, now: Instant) -> usize {
        self.requests_at(&head.key, now) + head.unscheduled_requests
    }

    /// Requests that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request that needs a slot, unless it waits already. Whether it did.
    pub fn enqueue(&mut self, ask: PendingRequest, now: Instant) -> bool {
        if self.queue.contains(&ask.key) {
            return false;
        }
        if now < ask.on_time_until {
            self.arrivals.on_event(now);
        }
        let rank = Priority::first(ask.resumed, ask.urgency);
        self.queue.push(rank, ask);
        true
    }

    /// Notes that the first event of a request has come.
    pub fn on_first_event(&mut self, key: &RequestKey, now: Instant) {
        if let Some(assigned) = self.assigned.get(key).filter(|p| !p.began) {
            let lead = now.saturating_duration_since(assigned.at);
            self.lead = (self.lead * (LEAD_MEMORY - 1) + lead) / LEAD_MEMORY;
            if let Some(work) = self.work.get_mut(&assigned.head) {
                work.started(lead, now);
            }
            self.accepted(key);
            self.read(key);
        }
    }

    /// Notes that a head will not reject a request any more.
    fn accepted(&mut self, key: &RequestKey) {
        let Some(assigned) = self.assigned.get_mut(key).filter(|a| !a.accepted) else {
            return;
        };
        assigned.accepted = true;
        if let Some(work) = self.work.get_mut(&assigned.head) {
            work.unaccepted = work.unaccepted.saturating_sub(1);
            work.ejection.accepted(assigned.at, assigned.slots);
        }
    }

    /// Takes requests for accepted that were sent some time ago.
    fn accept_unanswered(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= REJECTION_TIMEOUT;
        while let Some((_, key)) = self.unanswered.pop_front_if(|(at, _)| old(*at)) {
            self.accepted(&key);
        }
    }

    /// Notes that nothing is left to be read of a request's prompt.
    fn read(&mut self, key: &RequestKey) {
        let Some(assigned) = self.assigned.get_mut(key).filter(|p| !p.began) else {
            return;
        };
        assigned.began = true;
        if let Some(work) = self.work.get_mut(&assigned.head) {
            work.unread = work.unread.saturating_sub(assigned.prompt);
        }
    }

    /// Notes that a request has ended or been given up, whether it has a slot or waits.
    pub fn release(&mut self, key: &RequestKey) {
        self.read(key);
        self.queue.remove_key(key);
        let Some(assigned) = self.assigned.remove(key) else {
            return;
        };
        if let Some(work) = self.work.get_mut(&assigned.head) {
            work.requests = work.requests.saturating_sub(1);
            if !assigned.accepted {
                work.unaccepted = work.unaccepted.saturating_sub(1);
            }
            if work.requests == 0 {
                work.pause = None;
            }
        }
    }

    /// Notes that a head refused a request, which is assigned nowhere any more.
    pub fn on_rejected(&mut self, key: &RequestKey, now: Instant) {
        if let Some(assigned) = self.assigned.get(key) {
            let work = self.work.entry(assigned.head.clone()).or_default();
            work.ejection.rejected(assigned.at, work.unaccepted, now);
        }
        self.release(key);
    }

    /// Notes that a head failed a request before its first event.
    ///
    /// Its slot is free at once, so that a head that fails everything looks like the emptiest one.
    /// Counts as a rejection if the head fails more than the others do.
    pub fn on_failed(&mut self, key: &RequestKey, now: Instant) {
        let Some(head) = self.assigned.get(key).map(|a| a.head.clone()) else {
            return self.release(key);
        };
        let work = self.work.entry(head.clone()).or_default();
        work.success.on_failed(now);
        let success = work.success;
        let others = self.work.iter().filter(|(other, _)| **other != head);
        if success.is_outlier(others.map(|(_, work)| &work.success), now) {
            self.on_rejected(key, now);
        } else {
            self.release(key);
        }
    }

    /// Forgets the requests of a node that is gone.
    pub fn remove_node(&mut self, node: &str) {
        let of_node = |key: &&RequestKey| key.node == node;
        let keys: BTreeSet<RequestKey> = self
            .assigned
            .keys()
            .chain(self.queue.keys())
            .filter(of_node)
            .cloned()
            .collect();
        for key in keys {
            self.release(&key);
        }
    }

    /// Decides for as many of those that wait as can be decided now.
    pub fn assign(&mut self, heads: &[OpenHead], now: Instant) -> Vec<(RequestKey, SlotOutcome)> {
        self.inherited.get_or_insert_with(|| {
            let busy = heads.iter().filter(|h| h.inherited_requests > 0);
            busy.map(|h| (h.key.clone(), h.inherited_requests))
                .collect()
        });
        self.update_heads(heads, now);
        self.accept_unanswered(now);
        let lead = self.lead.mul_f64(MIN_LEAD_RATIO);
        self.queue.rank_late(lead, now);
        let mut decided = Vec::new();
        let mut round = Round::default();
        for position in self.queue.positions(now) {
            let Some((outcome, head)) = self.decide(position, &mut round, heads, now) else {
                continue;
            };
            let Some(ask) = self.queue.remove(position) else {
                continue;
            };
            if let Some(head) = head {
                self.put(&ask, head, now);
                round.is_tight = None;
            }
            decided.push((ask.key, outcome));
        }
        self.queue.decided(now);
        while let Some(position) = self.unservable(heads, now) {
            let rejected = self.queue.remove(position);
            decided.extend(rejected.map(|ask| (ask.key, SlotOutcome::Full)));
        }
        decided
    }

    /// The last in the queue, if more wait than will get a slot in its time.
    ///
    /// Told at once, its caller can come back in time; after a wait it would come back with all
    /// others that waited as long.
    fn unservable(&self, heads: &[OpenHead], now: Instant) -> Option<Position> {
        let (position, ask) = self.queue.last()?;
        if self.queue.busy_for(now) < LEARNING_PERIOD || position.0 == Priority::Resumed {
            return None;
        }
        let time = ask.deadline.saturating_duration_since(now).as_secs_f64();
        let servable = heads.len() as f64 + self.grants.per_second(now) * time;
        (self.queue.len() as f64 > servable).then_some(position)
    }

    /// What becomes of a request that waits, and its head; `None` where it goes on waiting.
    fn decide<'h>(
        &mut self,
        position: Position,
        round: &mut Round,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<(SlotOutcome, Option<&'h OpenHead>)> {
        let rank = position.0;
        if let Some(head) = self.head_for(position, round, heads, now) {
            self.late_rejection.on_wait_ended(rank, true, now);
            return Some((SlotOutcome::Granted(head.key.clone()), Some(head)));
        }
        if now >= self.queue.get(position)?.deadline {
            self.late_rejection.on_wait_ended(rank, false, now);
            return Some((SlotOutcome::Full, None));
        }
        let is_rejected = self.late_rejection.applies_to(rank, now);
        is_rejected.then_some((SlotOutcome::Full, None))
    }

    fn head_for<'h>(
        &self,
        position: Position,
        round: &mut Round,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<&'h OpenHead> {
        let is_tight = |round: &mut Round| {
            let is_tight = round.is_tight.unwrap_or_else(|| self.is_tight(heads, now));
            round.is_tight = Some(is_tight);
            is_tight
        };
        if round.is_full || (position.0.is_late() && is_tight(round)) {
            return None;
        }
        let head = self.choose(self.queue.get(position)?, heads, now);
        if head.is_none() {
            round.is_full = !heads.iter().any(|h| self.may_take(h, now));
        }
        head
    }

    /// Whether a head has room for the shortest prompt.
    fn may_take(&self, head: &OpenHead, now: Instant) -> bool {
        let demand = self.demand(head, 0, Duration::MAX, now);
        let work = self.work.get(&head.key);
        work.is_some_and(|w| w.has_room(&self.speed, demand, self.lead, now))
    }

    fn demand(&self, head: &OpenHead, prompt: u64, pause: Duration, now: Instant) -> Demand {
        Demand {
            requests: self.requests_of(head, now),
            slots: head.slots,
            prompt,
            pause,
            grants: head.cold.map(|cold| cold.grants(self.began, now)),
        }
    }

    fn put(&mut self, ask: &PendingRequest, head: &OpenHead, now: Instant) {
        self.grants.on_event(now);
        let work = self.work.entry(head.key.clone()).or_default();
        work.requests += 1;
        work.unaccepted += 1;
        work.window.on_grant(now);
        work.unread += ask.prompt_tokens;
        work.pause = Some(
            work.pause
                .map_or(ask.max_event_gap, |p| p.min(ask.max_event_gap)),
        );
        let assigned = Assignment {
            head: head.key.clone(),
            slots: head.slots,
            at: now,
            prompt: ask.prompt_tokens,
            began: false,
            accepted: false,
            until: ask.deadline.max(now) + ASSIGNMENT_TTL,
        };
        self.assigned.insert(ask.key.clone(), assigned);
        self.unanswered.push_back((now, ask.key.clone()));
    }

    /// The head at which the request would give its first event soonest, if one has room.
    fn choose<'h>(
        &self,
        ask: &PendingRequest,
        heads: &'h [OpenHead],
        now: Instant,
    ) -> Option<&'h OpenHead> {
        let other = heads.iter().any(|h| !ask.avoid.contains(&h.host));
        let wanted = heads
            .iter()
            .filter(|h| !other || !ask.avoid.contains(&h.host));
        let mut best: Option<((bool, Duration), &OpenHead)> = None;
        for head in wanted {
            let Some(work) = self.work.get(&head.key) else {
                continue;
            };
            let demand = self.demand(head, ask.prompt_tokens, ask.max_event_gap, now);
            if !work.has_room(&self.speed, demand, self.lead, now) {
                continue;
            }
            let fill = demand.requests as f64 / head.slots.max(1) as f64;
            let near = head.failure_domain == ask.failure_domain;
            let pass = self
                .speed
                .pass_time(demand.requests, work.unread + ask.prompt_tokens);
            let cost = pass.mul_f64(work.pace(self.lead, now))
                + FULL_BATCH_COST.mul_f64(fill)
                + if near {
                    Duration::ZERO
                } else {
                    CROSS_DOMAIN_COST
                };
            let cost = (work.ejection.is_suspected(now), cost);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, head));
            }
        }
        best.map(|(_, head)| head)
    }

    /// Whether all free slots will soon be needed by requests that can be on time.
    ///
    /// A late request that takes the last slot runs for seconds, and makes those late that arrive
    /// meanwhile: the overload would outlast its cause. Without [`MAX_RESERVED_RATIO`] an estimate
    /// that makes all requests late would keep all slots free, and nothing would correct it.
    fn is_tight(&self, heads: &[OpenHead], now: Instant) -> bool {
        let free = heads
            .iter()
            .map(|h| h.slots.saturating_sub(self.requests_of(h, now)));
        let free: usize = free.sum();
        let slots: usize = heads.iter().map(|h| h.slots).sum();
        let wanted = self.arrivals.per_second(now) * self.lead.as_secs_f64();
        (free as f64) < wanted.min(MAX_RESERVED_RATIO * slots as f64)
    }

    /// Drops requests whose end nobody reported and heads that are gone; takes in new heads.
    fn update_heads(&mut self, heads: &[OpenHead], now: Instant) {
        let over = |p: &Assignment| now >= p.until;
        let keys = self.assigned.iter().filter(|(_, p)| over(p));
        let keys: Vec<RequestKey> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.release(&key);
        }
        let open = |key: &HeadKey| heads.iter().any(|h| h.key == *key);
        self.work.retain(|key, work| work.requests > 0 || open(key));
        for head in heads {
            if !self.work.contains_key(&head.key) {
                self.work.insert(head.key.clone(), HeadWork::default());
            }
        }
    }
}
