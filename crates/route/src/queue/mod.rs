//! Admission and weighted fair order of one service's requests at one node.
//!
//! Start-time fair queueing in tokens: each tenant has a virtual finish time,
//! the tenant with the earliest one starts next. Urgent requests go first and
//! may use the slots held back for them, as long as their tenant is not ahead
//! of a waiting tenant by more than a fixed lead; beyond it they count as any
//! other request of that tenant.

mod account;
mod admit;
mod elsewhere;
mod offer;
mod pace;
mod preempt;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Tokens, Urgency};

use crate::queue::account::{Account, Position, Queued, VirtualTime, cost};
pub use crate::queue::elsewhere::TenantUsage;
pub use crate::queue::offer::{
    AdmissionRequest, Dequeued, Refusal, RefusalReason, SlotKind, Slots, Ticket,
};
use crate::queue::pace::Pace;

/// One normal slot in this many is kept free of tenants that are over their share.
const HEADROOM_PART: u64 = 12;

/// Settings of a [`ServiceQueue`].
#[derive(Clone, Debug)]
pub struct QueueOptions {
    max_queue: usize,
    urgent_lead: Tokens,
    burst: Tokens,
    min_retry_after: Duration,
    max_retry_after: Duration,
    seed: u64,
}

impl Default for QueueOptions {
    fn default() -> QueueOptions {
        QueueOptions {
            max_queue: 1000,
            urgent_lead: 4096,
            burst: 16_384,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(30),
            seed: 0,
        }
    }
}

impl QueueOptions {
    /// Longest queue over all tenants, in requests.
    pub fn max_queue(mut self, requests: u32) -> QueueOptions {
        self.max_queue = requests as usize;
        self
    }

    /// Tokens by which a tenant's urgent requests may run ahead of a waiting tenant.
    pub fn urgent_lead(mut self, tokens: Tokens) -> QueueOptions {
        self.urgent_lead = tokens;
        self
    }

    /// Tokens of its share that a tenant may leave unused and use later, at once.
    ///
    /// Without any, a tenant well within its share on average waits whenever its
    /// requests bunch, for as long as a greedy tenant is there.
    pub fn burst(mut self, tokens: Tokens) -> QueueOptions {
        self.burst = tokens;
        self
    }

    /// Seed of the jitter in `retry_after`; give each node its own.
    pub fn seed(mut self, seed: u64) -> QueueOptions {
        self.seed = seed;
        self
    }
}

/// A started request until it is settled.
#[derive(Debug)]
struct Running {
    tenant: TenantId,
    weight: u32,
    tokens: Tokens,
    urgency: Urgency,
    since: Instant,
    give_up_at: Instant,
    /// It was cancelled and resumed once.
    resumed: bool,
}

/// The queue of one service at one node. `T` is the caller's payload.
///
/// Requests that the queue gives up on come out of [`ServiceQueue::take_refused`];
/// call it after each `admit` and `dequeue` and at [`ServiceQueue::next_deadline`],
/// so that each gets its final answer at once.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    opts: QueueOptions,
    rng: fastrand::Rng,
    tenants: BTreeMap<TenantId, Account<T>>,
    /// Invariant: exactly the tenants with something queued, by finish time.
    backlog: BTreeSet<(VirtualTime, TenantId)>,
    /// Invariant: the part of `backlog` with an urgent request queued.
    urgent_backlog: BTreeSet<(VirtualTime, TenantId)>,
    /// Invariant: the sum of the weights in `backlog`.
    backlog_weight: u64,
    waiting: BTreeMap<Ticket, (TenantId, Position)>,
    running: BTreeMap<Ticket, Running>,
    running_urgent: usize,
    /// Invariant: the sum of the weights of tenants with anything waiting or running.
    active_weight: u64,
    give_up: BTreeSet<(Instant, Ticket)>,
    given_up: Vec<(T, Refusal)>,
    /// Start tag of the last request started in fair order; never falls.
    virtual_now: VirtualTime,
    queued_tokens: Tokens,
    queued_urgent_tokens: Tokens,
    /// Weight and tokens charged by tenant, not yet told to other entries.
    usage: BTreeMap<TenantId, (u32, i64)>,
    normal_pace: Pace,
    urgent_pace: Pace,
    last_ticket: u64,
}

impl<T> ServiceQueue<T> {
    /// Changes the longest queue. Requests that wait already stay.
    pub fn set_max_queue(&mut self, requests: u32) {
        self.opts.max_queue = requests as usize;
    }

    /// Makes an empty queue.
    pub fn new(opts: QueueOptions) -> ServiceQueue<T> {
        ServiceQueue {
            rng: fastrand::Rng::with_seed(opts.seed),
            opts,
            tenants: BTreeMap::new(),
            backlog: BTreeSet::new(),
            urgent_backlog: BTreeSet::new(),
            backlog_weight: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            running_urgent: 0,
            active_weight: 0,
            give_up: BTreeSet::new(),
            given_up: Vec::new(),
            virtual_now: 0,
            queued_tokens: 0,
            queued_urgent_tokens: 0,
            usage: BTreeMap::new(),
            normal_pace: Pace::default(),
            urgent_pace: Pace::default(),
            last_ticket: 0,
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests started and not settled.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Waiting requests, the urgent ones apart, as demand for quotas.
    pub fn demand(&self) -> Slots {
        let urgent = self
            .waiting
            .values()
            .filter(|(_, (u, _))| u.is_urgent())
            .count();
        Slots {
            normal: (self.waiting.len() - urgent) as u32,
            urgent: urgent as u32,
        }
    }

    /// Takes the next request that may start in `free`, which the caller then occupies.
    pub fn dequeue(&mut self, free: Slots, now: Instant) -> Option<Dequeued<T>> {
        self.give_up_late(now);
        if let Some((tenant, slot)) = self.next_urgent(free) {
            return self.begin(tenant, slot, now);
        }
        let (finish, tenant) = self.backlog.first().cloned()?;
        if free.normal <= self.headroom(&tenant, free) {
            return None;
        }
        self.virtual_now = self.virtual_now.max(finish);
        self.begin(tenant, SlotKind::Normal, now)
    }

    /// Ends a started request that really used `tokens`.
    pub fn complete(&mut self, ticket: Ticket, tokens: Tokens, now: Instant) {
        let Some(run) = self.end(ticket) else {
            return;
        };
        let pace = match run.urgency.is_urgent() {
            true => &mut self.urgent_pace,
            false => &mut self.normal_pace,
        };
        pace.observe(now.saturating_duration_since(run.since), run.tokens, now);
        self.correct(&run, tokens);
    }

    /// Withdraws a request whose caller has gone.
    ///
    /// A waiting one costs its tenant nothing and gives its payload back; a
    /// started one that never reached a target is not charged either.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        if let Some(run) = self.end(ticket) {
            self.correct(&run, 0);
            return None;
        }
        self.take(ticket).map(|q| q.payload)
    }

    /// Requests given up on since the last call; each is to be answered at once.
    pub fn take_refused(&mut self, now: Instant) -> Vec<(T, Refusal)> {
        self.give_up_late(now);
        std::mem::take(&mut self.given_up)
    }

    /// When `take_refused` has to be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.give_up.first().map(|(at, _)| *at)
    }

    /// The least served tenant with an urgent request, unless it is over its lead.
    ///
    /// The set is ordered by finish time, so when the first is over, all are.
    fn next_urgent(&self, free: Slots) -> Option<(TenantId, SlotKind)> {
        let slot = match free {
            Slots { urgent: 1.., .. } => SlotKind::Urgent,
            Slots { normal: 1.., .. } => SlotKind::Normal,
            _ => return None,
        };
        let (finish, tenant) = self.urgent_backlog.first()?;
        let weight = self.tenants.get(tenant)?.weight;
        let others = self.backlog.iter().find(|(_, t)| t != tenant);
        let lead = cost(self.opts.urgent_lead, weight);
        let over = others.is_some_and(|(least, _)| *finish > least.saturating_add(lead));
        (!over).then(|| (tenant.clone(), slot))
    }

    /// Normal slots that the tenant has to leave free.
    ///
    /// A tenant that has used up what it left unused and runs its share leaves a few to
    /// the active tenants that have nothing waiting: their next requests would
    /// otherwise wait for one of its drafts to end.
    fn headroom(&self, tenant: &TenantId, free: Slots) -> u32 {
        let Some(account) = self.tenants.get(tenant) else {
            return 0;
        };
        let normal = (self.running.len() - self.running_urgent) as u64;
        let all = normal + u64::from(free.normal);
        let active = self.active_weight.max(1);
        let share = all * u64::from(account.weight) / active;
        if account.finish < self.virtual_now || u64::from(account.running) < share {
            return 0;
        }
        if all < HEADROOM_PART {
            return 0;
        }
        let not_waiting = self.active_weight - self.backlog_weight;
        (all * not_waiting).div_ceil(active * HEADROOM_PART) as u32
    }

    fn begin(&mut self, tenant: TenantId, slot: SlotKind, now: Instant) -> Option<Dequeued<T>> {
        let position = self.tenants.get(&tenant)?.head()?;
        let ticket = position.1;
        let queued = self.take(ticket)?;
        let weight = self.change(&tenant, |account| {
            account.running += 1;
            account.charge(queued.tokens);
            account.weight
        })?;
        self.note_usage(&tenant, weight, queued.tokens as i64);
        let urgency = position.0;
        self.running_urgent += usize::from(urgency.is_urgent());
        let run = Running {
            tenant,
            weight,
            tokens: queued.tokens,
            urgency,
            since: now,
            give_up_at: queued.give_up_at,
            resumed: queued.resumed,
        };
        self.running.insert(ticket, run);
        Some(Dequeued {
            ticket,
            slot,
            payload: queued.payload,
        })
    }

    fn end(&mut self, ticket: Ticket) -> Option<Running> {
        let run = self.running.remove(&ticket)?;
        self.running_urgent -= usize::from(run.urgency.is_urgent());
        Some(run)
    }

    fn correct(&mut self, run: &Running, real: Tokens) {
        self.change(&run.tenant, |account| {
            account.running -= 1;
            account.correct(run.tokens, real);
        });
        let difference = real as i64 - run.tokens as i64;
        self.note_usage(&run.tenant, run.weight, difference);
        self.forget_idle(&run.tenant);
    }

    /// Where a tenant's account stands that has left its share unused for long.
    fn earliest_finish(&self, weight: u32) -> VirtualTime {
        self.virtual_now
            .saturating_sub(cost(self.opts.burst, weight))
    }

    /// Drops the account of a tenant that stands no better than a new one.
    ///
    /// Without this, every tenant ever seen would cost memory for good.
    fn forget_idle(&mut self, tenant: &TenantId) {
        let idle = self.tenants.get(tenant).is_some_and(|a| {
            let unused = a.running == 0 && a.queued.is_empty();
            unused && a.finish <= self.earliest_finish(a.weight)
        });
        if idle {
            self.tenants.remove(tenant);
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Queued<T>> {
        let (tenant, position) = self.waiting.remove(&ticket)?;
        let queued = self.change(&tenant, |account| account.remove(position))??;
        self.give_up.remove(&(queued.give_up_at, ticket));
        self.queued_tokens -= queued.tokens;
        if position.0.is_urgent() {
            self.queued_urgent_tokens -= queued.tokens;
        }
        Some(queued)
    }

    /// Changes an account and keeps the ordered sets in step with it.
    fn change<R>(&mut self, tenant: &TenantId, f: impl FnOnce(&mut Account<T>) -> R) -> Option<R> {
        let account = self.tenants.get_mut(tenant)?;
        let key = (account.finish, tenant.clone());
        if self.backlog.remove(&key) {
            self.backlog_weight -= u64::from(account.weight);
        }
        self.urgent_backlog.remove(&key);
        if account.is_active() {
            self.active_weight -= u64::from(account.weight);
        }
        let result = f(account);
        if account.is_active() {
            self.active_weight += u64::from(account.weight);
        }
        let key = (account.finish, key.1);
        if account.has_urgent() {
            self.urgent_backlog.insert(key.clone());
        }
        if !account.queued.is_empty() {
            self.backlog_weight += u64::from(account.weight);
            self.backlog.insert(key);
        }
        Some(result)
    }
}
