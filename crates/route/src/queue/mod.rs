//! Admission and weighted fair order of one service's requests at one node.
//!
//! Start-time fair queueing in tokens: each tenant has a virtual finish time, and
//! the tenant with the earliest one is served next. Urgent requests go first and
//! may use the slots reserved for them, as long as their tenant is not ahead of a
//! waiting tenant by more than a fixed lead; beyond that they are ordered like any
//! other request of the tenant.

mod account;
mod admit;
mod preempt;
mod remote_usage;
mod request;
mod service_time;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Tokens, Urgency};

use crate::queue::account::{Account, Position, Queued, VirtualTime, cost};
pub use crate::queue::remote_usage::TenantUsage;
pub use crate::queue::request::{
    AdmissionRequest, Dequeued, Refusal, RefusalReason, SlotKind, Slots, Ticket,
};
use crate::queue::service_time::ServiceTime;

/// One normal slot in this many is kept free of tenants over their fair share.
const HEADROOM_DIVISOR: u64 = 12;

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
    /// Sets the maximum queue length over all tenants, in requests.
    pub fn max_queue(mut self, requests: u32) -> QueueOptions {
        self.max_queue = requests as usize;
        self
    }

    /// Sets the tokens by which a tenant's urgent requests may get ahead of a waiting tenant.
    pub fn urgent_lead(mut self, tokens: Tokens) -> QueueOptions {
        self.urgent_lead = tokens;
        self
    }

    /// Sets the unused tokens of its share that a tenant may save for a burst.
    ///
    /// At 0, a tenant that is within its share on average still waits whenever its
    /// requests arrive in bursts while another tenant overloads the service.
    pub fn burst(mut self, tokens: Tokens) -> QueueOptions {
        self.burst = tokens;
        self
    }

    /// Sets the seed of the jitter in `retry_after`; use a different one on each node.
    pub fn seed(mut self, seed: u64) -> QueueOptions {
        self.seed = seed;
        self
    }
}

/// A request between [`ServiceQueue::dequeue`] and its completion.
#[derive(Debug)]
struct Running {
    tenant: TenantId,
    weight: u32,
    tokens: Tokens,
    urgency: Urgency,
    started_at: Instant,
    start_deadline: Instant,
    /// Whether it was preempted and requeued once.
    requeued: bool,
}

/// The queue of one service at one node. `T` is the caller's payload.
///
/// Requests that the queue refuses after admission are returned by
/// [`ServiceQueue::take_refused`]; call it after each `admit` and `dequeue` and at
/// [`ServiceQueue::next_deadline`], so that their callers get the refusal without delay.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    opts: QueueOptions,
    rng: fastrand::Rng,
    tenants: BTreeMap<TenantId, Account<T>>,
    /// Invariant: exactly the tenants with queued requests, by finish time.
    backlog: BTreeSet<(VirtualTime, TenantId)>,
    /// Invariant: the subset of `backlog` with an urgent request queued.
    urgent_backlog: BTreeSet<(VirtualTime, TenantId)>,
    /// Invariant: the sum of the weights in `backlog`.
    backlog_weight: u64,
    waiting: BTreeMap<Ticket, (TenantId, Position)>,
    running: BTreeMap<Ticket, Running>,
    running_urgent: usize,
    /// Invariant: the sum of the weights of tenants with waiting or running requests.
    active_weight: u64,
    start_deadlines: BTreeSet<(Instant, Ticket)>,
    refused: Vec<(T, Refusal)>,
    /// Start tag of the last request dequeued in fair order; never decreases.
    virtual_time: VirtualTime,
    queued_tokens: Tokens,
    queued_urgent_tokens: Tokens,
    /// Weight and tokens charged by tenant, not yet reported to other entries.
    usage: BTreeMap<TenantId, (u32, i64)>,
    normal_service_time: ServiceTime,
    urgent_service_time: ServiceTime,
    last_ticket: u64,
}

impl<T> ServiceQueue<T> {
    /// Changes the maximum queue length. Requests already waiting are kept.
    pub fn set_max_queue(&mut self, requests: u32) {
        self.opts.max_queue = requests as usize;
    }

    /// Creates an empty queue.
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
            start_deadlines: BTreeSet::new(),
            refused: Vec::new(),
            virtual_time: 0,
            queued_tokens: 0,
            queued_urgent_tokens: 0,
            usage: BTreeMap::new(),
            normal_service_time: ServiceTime::default(),
            urgent_service_time: ServiceTime::default(),
            last_ticket: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests dequeued and not completed.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the waiting requests by kind of slot, as demand for quotas.
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

    /// Returns the next request that may run in the `free` slots; the caller occupies one.
    pub fn dequeue(&mut self, free: Slots, now: Instant) -> Option<Dequeued<T>> {
        self.refuse_expired(now);
        if let Some((tenant, slot)) = self.next_urgent(free) {
            return self.start_request(tenant, slot, now);
        }
        let (finish, tenant) = self.backlog.first().cloned()?;
        if free.normal <= self.headroom(&tenant, free) {
            return None;
        }
        self.virtual_time = self.virtual_time.max(finish);
        self.start_request(tenant, SlotKind::Normal, now)
    }

    /// Completes a dequeued request that actually used `tokens`.
    pub fn complete(&mut self, ticket: Ticket, tokens: Tokens, now: Instant) {
        let Some(run) = self.remove_running(ticket) else {
            return;
        };
        let service_time = match run.urgency.is_urgent() {
            true => &mut self.urgent_service_time,
            false => &mut self.normal_service_time,
        };
        service_time.observe(
            now.saturating_duration_since(run.started_at),
            run.tokens,
            now,
        );
        self.correct_charge(&run, tokens);
    }

    /// Cancels a request whose caller has disconnected.
    ///
    /// A waiting request is not charged and its payload is returned; a dequeued one
    /// that never reached a target is not charged either.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        if let Some(run) = self.remove_running(ticket) {
            self.correct_charge(&run, 0);
            return None;
        }
        self.remove_waiting(ticket).map(|q| q.payload)
    }

    /// Returns the requests refused since the last call, to be answered immediately.
    pub fn take_refused(&mut self, now: Instant) -> Vec<(T, Refusal)> {
        self.refuse_expired(now);
        std::mem::take(&mut self.refused)
    }

    /// Returns when `take_refused` must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.start_deadlines.first().map(|(at, _)| *at)
    }

    /// Returns the least served tenant with an urgent request, unless it exceeds its lead.
    ///
    /// The set is ordered by finish time, so if the first exceeds it, all do.
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
        let exceeds =
            others.is_some_and(|(min_finish, _)| *finish > min_finish.saturating_add(lead));
        (!exceeds).then(|| (tenant.clone(), slot))
    }

    /// Returns the normal slots that the tenant must leave free.
    ///
    /// A tenant that has spent its burst and runs its fair share leaves some slots to
    /// the active tenants that have nothing waiting: their next requests would
    /// otherwise wait for one of its running requests to finish.
    fn headroom(&self, tenant: &TenantId, free: Slots) -> u32 {
        let Some(account) = self.tenants.get(tenant) else {
            return 0;
        };
        let normal = (self.running.len() - self.running_urgent) as u64;
        let all = normal + u64::from(free.normal);
        let active = self.active_weight.max(1);
        let share = all * u64::from(account.weight) / active;
        if account.finish < self.virtual_time || u64::from(account.running) < share {
            return 0;
        }
        if all < HEADROOM_DIVISOR {
            return 0;
        }
        let no_backlog_weight = self.active_weight - self.backlog_weight;
        (all * no_backlog_weight).div_ceil(active * HEADROOM_DIVISOR) as u32
    }

    fn start_request(
        &mut self,
        tenant: TenantId,
        slot: SlotKind,
        now: Instant,
    ) -> Option<Dequeued<T>> {
        let position = self.tenants.get(&tenant)?.head()?;
        let ticket = position.1;
        let queued = self.remove_waiting(ticket)?;
        let weight = self.update_account(&tenant, |account| {
            account.running += 1;
            account.charge(queued.tokens);
            account.weight
        })?;
        self.record_usage(&tenant, weight, queued.tokens as i64);
        let urgency = position.0;
        self.running_urgent += usize::from(urgency.is_urgent());
        let run = Running {
            tenant,
            weight,
            tokens: queued.tokens,
            urgency,
            started_at: now,
            start_deadline: queued.start_deadline,
            requeued: queued.requeued,
        };
        self.running.insert(ticket, run);
        Some(Dequeued {
            ticket,
            slot,
            payload: queued.payload,
        })
    }

    fn remove_running(&mut self, ticket: Ticket) -> Option<Running> {
        let run = self.running.remove(&ticket)?;
        self.running_urgent -= usize::from(run.urgency.is_urgent());
        Some(run)
    }

    fn correct_charge(&mut self, run: &Running, used: Tokens) {
        self.update_account(&run.tenant, |account| {
            account.running -= 1;
            account.correct(run.tokens, used);
        });
        let difference = used as i64 - run.tokens as i64;
        self.record_usage(&run.tenant, run.weight, difference);
        self.remove_if_idle(&run.tenant);
    }

    /// Returns the finish time of a tenant that has saved its full burst.
    fn min_finish(&self, weight: u32) -> VirtualTime {
        self.virtual_time
            .saturating_sub(cost(self.opts.burst, weight))
    }

    /// Removes a tenant's account if it is idle and equal to a new one.
    ///
    /// Without this, memory would grow with every tenant ever seen.
    fn remove_if_idle(&mut self, tenant: &TenantId) {
        let idle = self.tenants.get(tenant).is_some_and(|a| {
            let unused = a.running == 0 && a.queued.is_empty();
            unused && a.finish <= self.min_finish(a.weight)
        });
        if idle {
            self.tenants.remove(tenant);
        }
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Queued<T>> {
        let (tenant, position) = self.waiting.remove(&ticket)?;
        let queued = self.update_account(&tenant, |account| account.remove(position))??;
        self.start_deadlines
            .remove(&(queued.start_deadline, ticket));
        self.queued_tokens -= queued.tokens;
        if position.0.is_urgent() {
            self.queued_urgent_tokens -= queued.tokens;
        }
        Some(queued)
    }

    /// Updates an account and the ordered sets and sums derived from it.
    fn update_account<R>(
        &mut self,
        tenant: &TenantId,
        f: impl FnOnce(&mut Account<T>) -> R,
    ) -> Option<R> {
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
