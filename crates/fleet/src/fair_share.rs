//! Queue of requests that wait for slots, shared fairly between customers.
//!
//! Responds to one customer sending more than fits while others send little. Within one urgency the
//! customer with the least service goes first (virtual token counter). No operation takes time that
//! grows with the number of waiting requests or customers, except logarithmically.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use eelgrassmill_base::value;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::wait_estimate::{MAX_REJECTION_WAIT, RETURNING_RATIO, WaitEstimate};

/// Maximum number of customers with a counter.
const MAX_CUSTOMERS: usize = 1024;
/// Cost of an output token in prompt tokens: a decode step produces one token of a stream in the
/// time in which some ten prompt tokens are prefilled.
const OUTPUT_TOKEN_COST: u64 = 10;
/// Output tokens expected of a request: 29 events of 7 tokens.
const EXPECTED_OUTPUT_TOKENS: u64 = 200;
/// The queue serves the newest first once it has been non-empty for this long, which indicates
/// overload.
const LIFO_DELAY: Duration = Duration::from_millis(50);
/// Unused reserved grants that are kept.
const MAX_RESERVED: f64 = 4.0;
/// Requests considered for a slot, so that one that fits nowhere now doesn't block all others.
const MAX_CANDIDATES: usize = 12;
/// Requests of one customer among them.
const MAX_CANDIDATES_EACH: usize = 4;

/// Identifies a queued request.
pub type QueueId = u64;

value! { copy
    /// Class of a queued request, highest priority first.
    pub enum WaitClass {
        /// A stream that resumes at another replica.
        Resumed,
        /// A request that can still be on time, by urgency.
        OnTime(u8),
        /// A request that came back, by the time at which it was told to come.
        Returning(Instant),
        /// A request that came back, but not when it was told to, or that was told by another node;
        /// and a late one that is the only one of its customer.
        Untold,
        /// A request that can no longer be on time, by urgency.
        Late(u8),
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct WaitingRequest<T> {
    /// What waits.
    pub item: T,
    /// Its customer; empty if it has none.
    pub customer: SmolStr,
    /// Its class.
    pub class: WaitClass,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Whether it was rejected before.
    pub is_returning: bool,
    /// Its class once it can't be on time.
    pub late_class: WaitClass,
    /// Until when it must begin to be on time, without the time to its first event.
    pub on_time_until: Instant,
    /// Until when it may wait.
    pub deadline: Instant,
    /// When it was queued.
    pub queued_at: Instant,
}

impl<T> WaitingRequest<T> {
    fn cost(&self) -> u64 {
        self.prompt_tokens + OUTPUT_TOKEN_COST * EXPECTED_OUTPUT_TOKENS
    }
}

/// A customer's counter and total service, by which customers are ordered.
type Standing = (u64, u64);

/// Service that each customer has got, as virtual token counters.
#[derive(Clone, Debug, Default)]
struct Counters {
    customers: HashMap<SmolStr, Account>,
    by_use: BTreeSet<(u64, SmolStr)>,
    uses: u64,
    /// Counter of the customer that was served last.
    served: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    counter: u64,
    /// Service that it got in total. Orders customers whose counters are equal, as those of
    /// customers that were idle are.
    service: u64,
    /// Queued requests.
    waiting: usize,
    used: u64,
}

impl Counters {
    fn standing(&self, customer: &str) -> Standing {
        let account = self.customers.get(customer);
        account.map_or((0, 0), |a| (a.counter, a.service))
    }

    /// The customer whose counter a request of `customer` uses: the one without a name if too many
    /// others wait.
    fn account_of(&mut self, customer: SmolStr) -> SmolStr {
        if self.customers.contains_key(&customer) || self.customers.len() < MAX_CUSTOMERS {
            return customer;
        }
        let is_idle = |c: &SmolStr| self.customers.get(c).is_some_and(|a| a.waiting == 0);
        let mut candidates = self.by_use.iter().take(MAX_CANDIDATES);
        let idle = candidates.find(|(_, c)| is_idle(c)).cloned();
        let Some(idle) = idle else {
            return SmolStr::default();
        };
        self.customers.remove(&idle.1);
        self.by_use.remove(&idle);
        customer
    }

    fn touch(&mut self, customer: &SmolStr) -> &mut Account {
        self.uses += 1;
        let account = self.customers.entry(customer.clone()).or_default();
        self.by_use.remove(&(account.used, customer.clone()));
        account.used = self.uses;
        self.by_use.insert((account.used, customer.clone()));
        account
    }
}

/// Requests of one class by customer.
#[derive(Clone, Debug, Default)]
struct ByCustomer {
    customers: HashMap<SmolStr, CustomerQueue>,
    /// Customers by counter: who is served next.
    by_start: BTreeSet<(Standing, SmolStr)>,
    /// Customers by counter plus queued cost: whose last request is served last.
    by_finish: BTreeSet<(Standing, SmolStr)>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    ids: BTreeSet<QueueId>,
    cost: u64,
    /// The standing under which it is in the orders.
    standing: Standing,
}

impl CustomerQueue {
    /// Its standing once all its queued requests are served.
    fn finish(&self) -> Standing {
        (self.standing.0 + self.cost, self.standing.1)
    }
}

impl ByCustomer {
    /// Updates a customer's queue, and its place in the orders.
    fn update(
        &mut self,
        customer: &SmolStr,
        standing: Standing,
        change: impl FnOnce(&mut CustomerQueue),
    ) {
        let queue = self.customers.entry(customer.clone()).or_default();
        self.len -= queue.ids.len();
        self.by_start.remove(&(queue.standing, customer.clone()));
        self.by_finish.remove(&(queue.finish(), customer.clone()));
        change(queue);
        queue.standing = standing;
        if queue.ids.is_empty() {
            self.customers.remove(customer);
            return;
        }
        self.len += queue.ids.len();
        self.by_start.insert((standing, customer.clone()));
        self.by_finish.insert((queue.finish(), customer.clone()));
    }

    fn add(&mut self, id: QueueId, customer: &SmolStr, cost: u64, standing: Standing) {
        self.update(customer, standing, |q| {
            q.ids.insert(id);
            q.cost += cost;
        });
    }

    fn remove(&mut self, id: QueueId, customer: &SmolStr, cost: u64, standing: Standing) {
        self.update(customer, standing, |q| {
            if q.ids.remove(&id) {
                q.cost = q.cost.saturating_sub(cost);
            }
        });
    }

    fn set_standing(&mut self, customer: &SmolStr, standing: Standing) {
        if self.customers.contains_key(customer) {
            self.update(customer, standing, |_| {});
        }
    }

    /// The `n`th request of a customer in the order in which they are served.
    fn nth(&self, customer: &str, n: usize, newest_first: bool) -> Option<QueueId> {
        let ids = &self.customers.get(customer)?.ids;
        let id = if newest_first {
            ids.iter().rev().nth(n)
        } else {
            ids.iter().nth(n)
        };
        id.copied()
    }

    /// Adds the next requests in the order in which they are served.
    fn push_next(&self, newest_first: bool, next: &mut Candidates) {
        let missing = MAX_CANDIDATES.saturating_sub(next.len());
        let first: SmallVec<[&SmolStr; MAX_CANDIDATES]> = self
            .by_start
            .iter()
            .take(missing)
            .map(|(_, customer)| customer)
            .collect();
        let mut left = missing;
        for n in 0..MAX_CANDIDATES_EACH {
            let ids = first.iter().filter_map(|c| self.nth(c, n, newest_first));
            for id in ids.take(left) {
                next.push(id);
                left -= 1;
            }
        }
    }

    /// The request that is served last.
    fn last(&self, newest_first: bool) -> Option<QueueId> {
        let (_, customer) = self.by_finish.last()?;
        self.nth(customer, 0, !newest_first)
    }
}

value! { copy
    /// A request that can't begin while it can be on time.
    pub enum Excess {
        /// It may wait for a reserved grant.
        Demoted(QueueId),
        /// It is rejected.
        Rejected(QueueId),
    }
}

/// Requests to try for a slot, in order.
pub type Candidates = SmallVec<[QueueId; MAX_CANDIDATES]>;

/// Requests that wait for slots.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    next: QueueId,
    entries: HashMap<QueueId, WaitingRequest<T>>,
    resumed: BTreeSet<QueueId>,
    on_time: BTreeMap<u8, ByCustomer>,
    returning: BTreeSet<(Instant, QueueId)>,
    untold: ByCustomer,
    late: BTreeMap<u8, ByCustomer>,
    /// Requests that can be on time, by the end of that.
    late_at: BTreeSet<(Instant, QueueId)>,
    deadlines: BTreeSet<(Instant, QueueId)>,
    counters: Counters,
    /// Since when the queue has been non-empty.
    since: Option<Instant>,
    /// Reserved grants that returning requests have not used.
    reserved: f64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue {
            next: 0,
            entries: HashMap::new(),
            resumed: BTreeSet::new(),
            on_time: BTreeMap::new(),
            returning: BTreeSet::new(),
            untold: ByCustomer::default(),
            late: BTreeMap::new(),
            late_at: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            counters: Counters::default(),
            since: None,
            reserved: 0.0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A queued request.
    pub fn get(&self, id: QueueId) -> Option<&WaitingRequest<T>> {
        self.entries.get(&id)
    }

    /// What waits under `id`.
    pub fn item_mut(&mut self, id: QueueId) -> Option<&mut T> {
        self.entries.get_mut(&id).map(|e| &mut e.item)
    }

    /// All queued requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (QueueId, &WaitingRequest<T>)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Queues a request. A customer that was idle starts at the lowest counter of those that wait.
    pub fn push(&mut self, mut request: WaitingRequest<T>) -> QueueId {
        let id = self.next;
        self.next += 1;
        request.customer = self.counters.account_of(request.customer);
        let lowest = self.lowest_counter();
        let account = self.counters.touch(&request.customer);
        if account.waiting == 0 {
            account.counter = account.counter.max(lowest);
        }
        account.waiting += 1;
        self.update_standing(&request.customer);
        self.since.get_or_insert(request.queued_at);
        self.deadlines.insert((request.deadline, id));
        self.link(id, &request);
        self.entries.insert(id, request);
        id
    }

    fn lowest_counter(&self) -> u64 {
        let classes = self.on_time.values().chain(self.late.values());
        let classes = classes.chain([&self.untold]);
        let lowest = classes.filter_map(|c| c.by_start.first().map(|(standing, _)| standing.0));
        lowest.min().unwrap_or(self.counters.served)
    }

    fn update_standing(&mut self, customer: &SmolStr) {
        let standing = self.counters.standing(customer);
        let classes = self.on_time.values_mut().chain(self.late.values_mut());
        for class in classes.chain([&mut self.untold]) {
            class.set_standing(customer, standing);
        }
    }

    /// Adds a request to its class.
    fn link(&mut self, id: QueueId, request: &WaitingRequest<T>) {
        let standing = self.counters.standing(&request.customer);
        let (customer, cost) = (&request.customer, request.cost());
        match request.class {
            WaitClass::Resumed => {
                self.resumed.insert(id);
            }
            WaitClass::OnTime(urgency) => {
                self.late_at.insert((request.on_time_until, id));
                let class = self.on_time.entry(urgency).or_default();
                class.add(id, customer, cost, standing);
            }
            WaitClass::Returning(told) => {
                self.returning.insert((told, id));
            }
            WaitClass::Untold => self.untold.add(id, customer, cost, standing),
            WaitClass::Late(urgency) => {
                let class = self.late.entry(urgency).or_default();
                class.add(id, customer, cost, standing);
            }
        }
    }

    /// Removes a request from its class.
    fn unlink(&mut self, id: QueueId, request: &WaitingRequest<T>) {
        let standing = self.counters.standing(&request.customer);
        let (customer, cost) = (&request.customer, request.cost());
        match request.class {
            WaitClass::Resumed => {
                self.resumed.remove(&id);
            }
            WaitClass::OnTime(urgency) => {
                self.late_at.remove(&(request.on_time_until, id));
                if let Some(class) = self.on_time.get_mut(&urgency) {
                    class.remove(id, customer, cost, standing);
                }
                self.on_time.retain(|_, class| class.len > 0);
            }
            WaitClass::Returning(told) => {
                self.returning.remove(&(told, id));
            }
            WaitClass::Untold => self.untold.remove(id, customer, cost, standing),
            WaitClass::Late(urgency) => {
                if let Some(class) = self.late.get_mut(&urgency) {
                    class.remove(id, customer, cost, standing);
                }
                self.late.retain(|_, class| class.len > 0);
            }
        }
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, id: QueueId) -> Option<WaitingRequest<T>> {
        let request = self.entries.remove(&id)?;
        self.unlink(id, &request);
        self.deadlines.remove(&(request.deadline, id));
        if let Some(account) = self.counters.customers.get_mut(&request.customer) {
            account.waiting = account.waiting.saturating_sub(1);
        }
        Some(request)
    }

    /// Removes a request that gets a slot, and charges its customer.
    pub fn take(&mut self, id: QueueId) -> Option<WaitingRequest<T>> {
        let is_reserved = self.returning_first() == Some(id) && self.reserved >= 1.0;
        let request = self.remove(id)?;
        self.reserved = (self.reserved + RETURNING_RATIO).min(MAX_RESERVED);
        if is_reserved {
            self.reserved -= 1.0;
        }
        self.counters.served = self.counters.standing(&request.customer).0;
        let account = self.counters.touch(&request.customer);
        account.counter += request.cost();
        account.service += request.cost();
        self.update_standing(&request.customer);
        Some(request)
    }

    /// The request that gets the next reserved grant: of those that came when told the first, else
    /// of the customer with the least service.
    fn returning_first(&self) -> Option<QueueId> {
        let told = self.returning.first().map(|(_, id)| *id);
        told.or_else(|| {
            let (_, customer) = self.untold.by_start.first()?;
            self.untold.nth(customer, 0, false)
        })
    }

    /// Records whether the queue is empty after a round of decisions.
    pub fn on_round_end(&mut self) {
        if self.entries.is_empty() {
            self.since = None;
        }
    }

    /// How long the queue has been non-empty.
    pub fn nonempty_for(&self, now: Instant) -> Duration {
        let busy = |since| now.saturating_duration_since(since);
        self.since.map_or(Duration::ZERO, busy)
    }

    /// Whether the newest requests of a customer are served first.
    ///
    /// In a queue that doesn't drain, the oldest requests can only just be on time, and the smallest
    /// delay after their grant makes them late.
    pub fn is_newest_first(&self, now: Instant) -> bool {
        self.nonempty_for(now) >= LIFO_DELAY
    }

    /// The next requests to try, in order. Without `with_late` only those whose turn it is although
    /// slots are scarce.
    pub fn candidates(&self, with_late: bool, now: Instant) -> Candidates {
        let newest_first = self.is_newest_first(now);
        let mut next = Candidates::new();
        next.extend(self.resumed.iter().copied().take(MAX_CANDIDATES));
        let has_reserved = self.reserved >= 1.0;
        if has_reserved {
            next.extend(self.returning_first());
        }
        for class in self.on_time.values() {
            class.push_next(newest_first, &mut next);
        }
        if with_late {
            let returning = self.returning.iter().map(|(_, id)| *id);
            next.extend(returning.take(MAX_CANDIDATES_EACH));
            self.untold.push_next(false, &mut next);
            for class in self.late.values() {
                class.push_next(false, &mut next);
            }
        }
        next
    }

    /// Moves requests that must begin by `until` to be on time behind those that can wait longer.
    pub fn demote_late(&mut self, until: Instant) {
        while let Some((at, id)) = self.late_at.first().copied() {
            if at > until {
                break;
            }
            self.demote(id);
        }
    }

    /// Moves a request that can't be on time behind those that can.
    ///
    /// The only waiting request of a customer may use a reserved grant. A customer that sends little
    /// must not depend on slots becoming free evenly.
    pub fn demote(&mut self, id: QueueId) {
        let is_only = !self.waits_behind_own(id);
        let Some(mut request) = self.entries.remove(&id) else {
            return;
        };
        self.unlink(id, &request);
        request.class = match request.late_class {
            WaitClass::Late(_) if is_only => WaitClass::Untold,
            late_class => late_class,
        };
        self.link(id, &request);
        self.entries.insert(id, request);
    }

    /// A request whose deadline has passed.
    pub fn expired(&self, now: Instant) -> Option<QueueId> {
        let (deadline, id) = self.deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }

    /// Urgencies of requests that can be on time, with the number of requests up to each of them.
    pub fn on_time_lengths(&self) -> SmallVec<[(u8, usize); 4]> {
        let mut ahead = self.resumed.len();
        let lengths = self.on_time.iter().map(|(urgency, class)| {
            ahead += class.len;
            (*urgency, ahead)
        });
        lengths.collect()
    }

    /// Number of requests that came back.
    pub fn returning_len(&self) -> usize {
        self.returning.len() + self.untold.len
    }

    /// Number of requests that can't be on time and were not told to come.
    pub fn late_len(&self) -> usize {
        self.late.values().map(|class| class.len).sum()
    }

    /// The request of an urgency that is served last: of the customer with the most service beyond
    /// its share.
    pub fn last_on_time(&self, urgency: u8, now: Instant) -> Option<QueueId> {
        self.on_time.get(&urgency)?.last(self.is_newest_first(now))
    }

    /// The last request of a class that is longer than what `rate` slots per second can serve in
    /// time, at `heads` heads that take `lead` to the first event.
    pub fn excess(
        &self,
        estimate: &WaitEstimate,
        heads: usize,
        rate: f64,
        lead: Duration,
        now: Instant,
    ) -> Option<Excess> {
        for (urgency, ahead) in self.on_time_lengths() {
            let last = self.last_on_time(urgency, now)?;
            let request = self.get(last)?;
            let until = request.on_time_until.min(request.deadline);
            let time = until.saturating_duration_since(now + lead);
            // Later arrivals go ahead of older ones of the same customer only.
            let waits_behind_own = self.waits_behind_own(last);
            let servable = if self.is_newest_first(now) && waits_behind_own {
                estimate.servable_newest_first(rate, time, now)
            } else {
                estimate.servable_in_order(rate, time)
            };
            if ahead as f64 > servable + heads as f64 {
                let may_wait = request.is_returning || !waits_behind_own;
                return Some(if may_wait {
                    Excess::Demoted(last)
                } else {
                    Excess::Rejected(last)
                });
            }
        }
        let free = estimate.returning_rate(rate, now);
        let servable = estimate.servable_in_order(free, MAX_REJECTION_WAIT) + heads as f64;
        if self.returning_len() as f64 > servable {
            return self.last_returning().map(Excess::Rejected);
        }
        let free = estimate.leftover_rate(rate, now);
        let servable = estimate.servable_in_order(free, MAX_REJECTION_WAIT);
        let is_excess = self.late_len() as f64 > servable;
        is_excess.then(|| self.last_late().map(Excess::Rejected))?
    }

    /// Whether other requests of its customer and urgency wait that can be on time.
    pub fn waits_behind_own(&self, id: QueueId) -> bool {
        let Some(request) = self.entries.get(&id) else {
            return false;
        };
        let class = self.on_time.get(&request.urgency);
        let own = class.and_then(|c| c.customers.get(&request.customer));
        own.is_some_and(|queue| queue.ids.len() > 1)
    }

    /// The returning request that is served last.
    pub fn last_returning(&self) -> Option<QueueId> {
        let told = || self.returning.last().map(|(_, id)| *id);
        self.untold.last(false).or_else(told)
    }

    /// The late request that is served last.
    pub fn last_late(&self) -> Option<QueueId> {
        self.late.values().next_back()?.last(false)
    }
}
