//! Simulates the service queue against a first-come first-served queue, in virtual time.
//!
//! One service with a fixed number of slots; a request occupies a slot for a fixed
//! time plus a fixed time per token. Both queues get the same arrivals. Latency is
//! measured from arrival to the last token; useful tokens are those of requests that
//! finish before their deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::Urgency;
use eelgrassmill_route::{AdmissionRequest, QueueOptions, ServiceQueue, SlotKind, Slots, Ticket};

/// One entry's share of a small service, and a whole larger service.
const SIZES: [Slots; 2] = [
    Slots {
        normal: 14,
        urgent: 2,
    },
    Slots {
        normal: 60,
        urgent: 4,
    },
];
const TENANTS: u64 = 10;
const FIRST_TOKEN: Duration = Duration::from_millis(300);
const PER_TOKEN: Duration = Duration::from_millis(50);
const DRAFT_TOKENS: u64 = 400;
const URGENT_TOKENS: u64 = 32;
/// Callers request this many times the tokens that they use.
const OVERESTIMATE: u64 = 2;
const RUN: Duration = Duration::from_secs(1800);
const WARM_UP: Duration = Duration::from_secs(300);

#[derive(Clone, Copy)]
struct Request {
    at: Duration,
    tenant: u64,
    urgent: bool,
    tokens: u64,
    /// Tokens generated before it was preempted.
    done: u64,
    deadline: Duration,
}

impl Request {
    fn run_time(&self) -> Duration {
        FIRST_TOKEN + PER_TOKEN * (self.tokens - self.done) as u32
    }
}

/// A queue under test.
trait Queue {
    fn admit(&mut self, req: Request);
    fn dequeue(
        &mut self,
        free: Slots,
        now: Duration,
    ) -> Option<(Request, SlotKind, Option<Ticket>)>;
    fn end(&mut self, req: &Request, ticket: Option<Ticket>, now: Duration);
    /// Returns a running request to preempt.
    fn preemption_victim(&self, free: Slots) -> Option<Ticket>;
    fn requeue(&mut self, req: Request, ticket: Ticket, used: u64);
}

struct Fair {
    queue: ServiceQueue<Request>,
    start_time: Instant,
    /// Whether the engines can cancel and resume.
    preemption: bool,
}

impl Queue for Fair {
    fn admit(&mut self, req: Request) {
        let offer = AdmissionRequest {
            tenant: format!("tenant-{}", req.tenant).into(),
            weight: 1,
            urgency: if req.urgent {
                Urgency::URGENT
            } else {
                Urgency::DEFAULT
            },
            tokens: req.tokens * OVERESTIMATE,
            deadline: self.start_time + req.deadline,
            max_tenant_queue: 200,
        };
        // A refused request yields no useful tokens, like a late one.
        let _ = self.queue.admit(offer, req, self.start_time + req.at);
    }

    fn dequeue(
        &mut self,
        free: Slots,
        now: Duration,
    ) -> Option<(Request, SlotKind, Option<Ticket>)> {
        let dequeued = self.queue.dequeue(free, self.start_time + now);
        drop(self.queue.take_refused(self.start_time + now));
        dequeued.map(|s| (s.payload, s.slot, Some(s.ticket)))
    }

    fn end(&mut self, req: &Request, ticket: Option<Ticket>, now: Duration) {
        if let Some(ticket) = ticket {
            self.queue
                .complete(ticket, req.tokens - req.done, self.start_time + now);
        }
    }

    fn preemption_victim(&self, free: Slots) -> Option<Ticket> {
        self.queue
            .preemption_victim(free, |_| true)
            .filter(|_| self.preemption)
    }

    fn requeue(&mut self, req: Request, ticket: Ticket, used: u64) {
        self.queue.requeue(ticket, used, req);
    }
}

#[derive(Default)]
struct FirstCome(VecDeque<Request>);

impl Queue for FirstCome {
    fn admit(&mut self, req: Request) {
        self.0.push_back(req);
    }

    fn dequeue(&mut self, free: Slots, _: Duration) -> Option<(Request, SlotKind, Option<Ticket>)> {
        let slot = match free {
            Slots { normal: 1.., .. } => SlotKind::Normal,
            Slots { urgent: 1.., .. } => SlotKind::Urgent,
            _ => return None,
        };
        self.0.pop_front().map(|req| (req, slot, None))
    }

    fn end(&mut self, _: &Request, _: Option<Ticket>, _: Duration) {}

    fn preemption_victim(&self, _: Slots) -> Option<Ticket> {
        None
    }

    fn requeue(&mut self, _: Request, _: Ticket, _: u64) {}
}

#[derive(Default)]
struct Results {
    /// Latencies by (tenant, urgent), of requests after the warm-up.
    latencies: BTreeMap<(u64, bool), Vec<Duration>>,
    tokens: BTreeMap<u64, u64>,
    /// Urgent requests answered before their deadline.
    urgent_in_time: usize,
}

impl Results {
    fn record(&mut self, req: &Request, end: Duration) {
        if req.at < WARM_UP {
            return;
        }
        let list = self.latencies.entry((req.tenant, req.urgent)).or_default();
        list.push(end - req.at);
        if end <= req.deadline {
            self.urgent_in_time += usize::from(req.urgent);
            *self.tokens.entry(req.tenant).or_default() += req.tokens;
        }
    }

    fn p95(&self, of: impl Fn(u64, bool) -> bool) -> f64 {
        let chosen = self.latencies.iter().filter(|((t, u), _)| of(*t, *u));
        let mut all: Vec<Duration> = chosen.flat_map(|(_, l)| l.iter().copied()).collect();
        all.sort();
        let at = (all.len() * 95 / 100).min(all.len().saturating_sub(1));
        all.get(at).map_or(f64::NAN, |d| d.as_secs_f64())
    }

    fn tokens(&self, of: impl Fn(u64) -> bool) -> u64 {
        self.tokens
            .iter()
            .filter(|(t, _)| of(**t))
            .map(|(_, n)| n)
            .sum()
    }
}

struct Running {
    req: Request,
    slot: SlotKind,
    ticket: Option<Ticket>,
    since: Duration,
}

struct Simulation<Q> {
    queue: Q,
    free: Slots,
    /// Ends of running requests; those of preempted requests stay and are ignored.
    ends: BinaryHeap<Reverse<(Duration, u64)>>,
    running: BTreeMap<u64, Running>,
    started: u64,
    results: Results,
}

impl<Q: Queue> Simulation<Q> {
    fn run(mut self, arrivals: &[Request]) -> Results {
        let mut arrivals = arrivals.iter().peekable();
        loop {
            let next_end = self.ends.peek().map(|Reverse((at, _))| *at);
            let next = match (arrivals.peek(), next_end) {
                (Some(req), Some(end)) => req.at.min(end),
                (Some(req), None) => req.at,
                (None, Some(end)) => end,
                (None, None) => return self.results,
            };
            if next_end == Some(next) {
                self.end(next);
            } else if let Some(req) = arrivals.next() {
                self.queue.admit(*req);
            }
            self.fill(next);
        }
    }

    fn end(&mut self, now: Duration) {
        let Some(Reverse((_, id))) = self.ends.pop() else {
            return;
        };
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        *counter(&mut self.free, run.slot) += 1;
        self.queue.end(&run.req, run.ticket, now);
        self.results.record(&run.req, now);
    }

    fn fill(&mut self, now: Duration) {
        loop {
            while let Some((req, slot, ticket)) = self.queue.dequeue(self.free, now) {
                self.begin(req, slot, ticket, now);
            }
            let Some(victim) = self.queue.preemption_victim(self.free) else {
                return;
            };
            self.preempt(victim, now);
        }
    }

    fn begin(&mut self, req: Request, slot: SlotKind, ticket: Option<Ticket>, now: Duration) {
        self.started += 1;
        *counter(&mut self.free, slot) -= 1;
        self.ends
            .push(Reverse((now + req.run_time(), self.started)));
        let since = now;
        let run = Running {
            req,
            slot,
            ticket,
            since,
        };
        self.running.insert(self.started, run);
    }

    /// Preempts a request; it is resumed later at its offset, after another first-token time.
    fn preempt(&mut self, victim: Ticket, now: Duration) {
        let found = self.running.iter().find(|(_, r)| r.ticket == Some(victim));
        let Some(run) = found
            .map(|(id, _)| *id)
            .and_then(|id| self.running.remove(&id))
        else {
            return;
        };
        *counter(&mut self.free, run.slot) += 1;
        let streamed = (now - run.since).saturating_sub(FIRST_TOKEN);
        let used = (streamed.as_secs_f64() / PER_TOKEN.as_secs_f64()) as u64;
        let mut req = run.req;
        req.done = (req.done + used).min(req.tokens - 1);
        self.queue.requeue(req, victim, used);
    }
}

fn simulate(queue: impl Queue, slots: Slots, arrivals: &[Request]) -> Results {
    let simulation = Simulation {
        queue,
        free: slots,
        ends: BinaryHeap::new(),
        running: BTreeMap::new(),
        started: 0,
        results: Results::default(),
    };
    simulation.run(arrivals)
}

fn counter(slots: &mut Slots, slot: SlotKind) -> &mut u32 {
    match slot {
        SlotKind::Normal => &mut slots.normal,
        SlotKind::Urgent => &mut slots.urgent,
    }
}

/// Returns the drafts per second that fill all slots.
fn capacity(slots: Slots) -> f64 {
    let draft = FIRST_TOKEN + PER_TOKEN * DRAFT_TOKENS as u32;
    f64::from(slots.total()) / draft.as_secs_f64()
}

/// Generates Poisson arrivals of `rate` per second.
fn arrivals(rng: &mut fastrand::Rng, tenant: u64, urgent: bool, rate: f64) -> Vec<Request> {
    let mut list = Vec::new();
    let mut at = Duration::ZERO;
    while rate > 0.0 && at < RUN {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let mean = if urgent { URGENT_TOKENS } else { DRAFT_TOKENS };
        let patience = Duration::from_secs(if urgent { 10 } else { 90 });
        list.push(Request {
            at,
            tenant,
            urgent,
            tokens: rng.u64(mean / 2..mean * 3 / 2),
            done: 0,
            deadline: at + patience,
        });
    }
    list
}

fn rng(seed: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed + 1)
}

/// Generates drafts of each tenant at `drafts` of the capacity and `urgent` urgent requests
/// per second.
fn load(slots: Slots, drafts: impl Fn(u64) -> f64, urgent: f64) -> Vec<Request> {
    let mut list = Vec::new();
    for tenant in 0..TENANTS {
        // Separate seeds, so that the arrivals of one kind don't depend on the other's rate.
        let (mut of_drafts, mut of_urgent) = (rng(2 * tenant), rng(2 * tenant + 1));
        let rate = drafts(tenant) * capacity(slots);
        list.extend(arrivals(&mut of_drafts, tenant, false, rate));
        list.extend(arrivals(
            &mut of_urgent,
            tenant,
            true,
            urgent / TENANTS as f64,
        ));
    }
    list.sort_by_key(|r| r.at);
    list
}

fn fair(slots: Slots, load: &[Request], preemption: bool) -> Results {
    let queue = Fair {
        queue: ServiceQueue::new(QueueOptions::default()),
        start_time: Instant::now(),
        preemption,
    };
    simulate(queue, slots, load)
}

fn first_come(slots: Slots, load: &[Request]) -> Results {
    simulate(FirstCome::default(), slots, load)
}

fn report(slots: Slots, run: fn(Slots, &[Request]) -> Results) {
    let share = 1.0 / TENANTS as f64;
    let run = |drafts: &dyn Fn(u64) -> f64, urgent| run(slots, &load(slots, drafts, urgent));
    let alone = run(&|_| 0.0, 1.0);
    let full = run(&|_| 1.2 * share, 1.0);
    let p95 = |r: &Results| r.p95(|_, urgent| urgent);
    let ratio = p95(&full) / p95(&alone);
    println!("  urgent p95 with drafts at 1.2x load over without drafts: {ratio:.2}");
    let ratio = full.urgent_in_time as f64 / alone.urgent_in_time as f64;
    println!("  urgent requests answered in time, same ratio: {ratio:.2}");

    let part = 0.8 * share;
    let others = |t: u64| t != 0;
    let without = run(&|t| if t == 0 { 0.0 } else { part }, 0.2);
    let with = run(&|t| if t == 0 { 10.0 * part } else { part }, 0.2);
    let p95 = |r: &Results| r.p95(|t, urgent| others(t) && !urgent);
    let ratio = p95(&with) / p95(&without);
    println!("  others' draft p95 with a tenant at 10x over without: {ratio:.2}");
    let tokens = |r: &Results| r.tokens(others) as f64;
    let ratio = tokens(&with) / tokens(&without);
    println!("  others' useful tokens, same ratio: {ratio:.2}");

    let all = |r: Results| r.tokens(|_| true) as f64;
    let peak = [0.8, 0.9, 1.0, 1.1].map(|f| all(run(&|_| f * share, 0.0)));
    let peak = peak.into_iter().fold(0.0, f64::max);
    let double = all(run(&|_| 2.0 * share, 0.0));
    println!(
        "  useful tokens at 2x load over the peak: {:.2}",
        double / peak
    );
}

/// All tenants send more than their share, and one of them marks its drafts urgent.
fn report_all_urgent(slots: Slots) {
    let share = 1.0 / TENANTS as f64;
    let mut load = load(slots, |_| 1.5 * share, 0.0);
    let of_first = load.iter_mut().filter(|r| r.tenant == 0);
    of_first.for_each(|r| r.urgent = true);
    let results = fair(slots, &load, false);
    let mean = results.tokens(|t| t != 0) as f64 / (TENANTS - 1) as f64;
    let gain = results.tokens(|t| t == 0) as f64 / mean;
    println!(
        "  tokens of the tenant that marks all requests urgent over the others' mean: {gain:.2}"
    );
}

fn main() {
    for slots in SIZES {
        println!("{} slots, {} of them urgent", slots.total(), slots.urgent);
        println!(" fair queue, with preemption");
        report(slots, |slots, load| fair(slots, load, true));
        println!(" fair queue, without preemption");
        report(slots, |slots, load| fair(slots, load, false));
        report_all_urgent(slots);
        println!(" first come, first served");
        report(slots, first_come);
    }
}
