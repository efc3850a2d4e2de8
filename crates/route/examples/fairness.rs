//! The service queue against one first-come first-served queue, in virtual time.
//!
//! One service with a fixed number of slots; a request takes a slot for a fixed time
//! and then a fixed time per token. Both queues get the same arrivals. Latency
//! is from arrival to the last token, useful tokens are those finished in time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::Urgency;
use eelgrassmill_route::{Offer, QueueOptions, ServiceQueue, SlotKind, Slots, Ticket};

/// One entry's part of a small service, and a whole larger one.
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
/// Callers ask for this many times the tokens that they use.
const OVERESTIMATE: u64 = 2;
const RUN: Duration = Duration::from_secs(1800);
const WARM_UP: Duration = Duration::from_secs(300);

#[derive(Clone, Copy)]
struct Request {
    at: Duration,
    tenant: u64,
    urgent: bool,
    tokens: u64,
    deadline: Duration,
}

impl Request {
    fn took(&self) -> Duration {
        FIRST_TOKEN + PER_TOKEN * self.tokens as u32
    }
}

/// A queue under test.
trait Queue {
    fn offer(&mut self, req: Request);
    fn start(&mut self, free: Slots, now: Duration) -> Option<(Request, SlotKind, Option<Ticket>)>;
    fn end(&mut self, req: &Request, ticket: Option<Ticket>, now: Duration);
}

struct Fair {
    queue: ServiceQueue<Request>,
    zero: Instant,
}

impl Queue for Fair {
    fn offer(&mut self, req: Request) {
        let offer = Offer {
            tenant: format!("tenant-{}", req.tenant).into(),
            weight: 1,
            urgency: if req.urgent {
                Urgency::URGENT
            } else {
                Urgency::DEFAULT
            },
            tokens: req.tokens * OVERESTIMATE,
            deadline: self.zero + req.deadline,
            max_tenant_queue: 200,
        };
        // A refusal counts as nothing done, as a late answer does.
        let _ = self.queue.offer(offer, req, self.zero + req.at);
    }

    fn start(&mut self, free: Slots, now: Duration) -> Option<(Request, SlotKind, Option<Ticket>)> {
        let started = self.queue.start(free, self.zero + now);
        drop(self.queue.expire(self.zero + now));
        started.map(|s| (s.payload, s.slot, Some(s.ticket)))
    }

    fn end(&mut self, req: &Request, ticket: Option<Ticket>, now: Duration) {
        if let Some(ticket) = ticket {
            self.queue.settle(ticket, req.tokens, self.zero + now);
        }
    }
}

#[derive(Default)]
struct FirstCome(VecDeque<Request>);

impl Queue for FirstCome {
    fn offer(&mut self, req: Request) {
        self.0.push_back(req);
    }

    fn start(&mut self, free: Slots, _: Duration) -> Option<(Request, SlotKind, Option<Ticket>)> {
        let slot = match free {
            Slots { normal: 1.., .. } => SlotKind::Normal,
            Slots { urgent: 1.., .. } => SlotKind::Urgent,
            _ => return None,
        };
        self.0.pop_front().map(|req| (req, slot, None))
    }

    fn end(&mut self, _: &Request, _: Option<Ticket>, _: Duration) {}
}

#[derive(Default)]
struct Results {
    /// Latencies by (tenant, urgent), of requests after the warm-up.
    latencies: BTreeMap<(u64, bool), Vec<Duration>>,
    tokens: BTreeMap<u64, u64>,
}

impl Results {
    fn note(&mut self, req: &Request, end: Duration) {
        if req.at < WARM_UP {
            return;
        }
        let list = self.latencies.entry((req.tenant, req.urgent)).or_default();
        list.push(end - req.at);
        if end <= req.deadline {
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

fn simulate(mut queue: impl Queue, slots: Slots, arrivals: &[Request]) -> Results {
    let mut results = Results::default();
    let mut free = slots;
    let mut ends = BinaryHeap::new();
    let mut running = BTreeMap::new();
    let mut arrivals = arrivals.iter().peekable();
    let mut started = 0u64;
    loop {
        let next_end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrivals.peek(), next_end) {
            (Some(req), Some(end)) if req.at >= end => end,
            (Some(req), _) => req.at,
            (None, Some(end)) => end,
            (None, None) => return results,
        };
        if next_end == Some(now) {
            let Some(Reverse((_, id))) = ends.pop() else {
                continue;
            };
            let Some((req, slot, ticket)) = running.remove(&id) else {
                continue;
            };
            *counter(&mut free, slot) += 1;
            queue.end(&req, ticket, now);
            results.note(&req, now);
        } else if let Some(req) = arrivals.next() {
            queue.offer(*req);
        }
        while let Some((req, slot, ticket)) = queue.start(free, now) {
            started += 1;
            *counter(&mut free, slot) -= 1;
            ends.push(Reverse((now + req.took(), started)));
            running.insert(started, (req, slot, ticket));
        }
    }
}

fn counter(slots: &mut Slots, slot: SlotKind) -> &mut u32 {
    match slot {
        SlotKind::Normal => &mut slots.normal,
        SlotKind::Urgent => &mut slots.urgent,
    }
}

/// Drafts a second that fill all slots.
fn capacity(slots: Slots) -> f64 {
    let draft = FIRST_TOKEN + PER_TOKEN * DRAFT_TOKENS as u32;
    f64::from(slots.total()) / draft.as_secs_f64()
}

/// Poisson arrivals of `rate` a second.
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
            deadline: at + patience,
        });
    }
    list
}

/// Drafts of each tenant at `drafts` of the capacity, urgent calls at `urgent` a second.
fn load(slots: Slots, drafts: impl Fn(u64) -> f64, urgent: f64) -> Vec<Request> {
    let mut list = Vec::new();
    for tenant in 0..TENANTS {
        let mut rng = fastrand::Rng::with_seed(tenant + 1);
        list.extend(arrivals(
            &mut rng,
            tenant,
            false,
            drafts(tenant) * capacity(slots),
        ));
        list.extend(arrivals(&mut rng, tenant, true, urgent / TENANTS as f64));
    }
    list.sort_by_key(|r| r.at);
    list
}

fn fair(slots: Slots, load: &[Request]) -> Results {
    let queue = ServiceQueue::new(QueueOptions::default());
    let zero = Instant::now();
    simulate(Fair { queue, zero }, slots, load)
}

fn first_come(slots: Slots, load: &[Request]) -> Results {
    simulate(FirstCome::default(), slots, load)
}

fn report(slots: Slots, run: fn(Slots, &[Request]) -> Results) {
    let share = 1.0 / TENANTS as f64;
    let run = |drafts: &dyn Fn(u64) -> f64, urgent| run(slots, &load(slots, drafts, urgent));
    let alone = run(&|_| 0.0, 1.0).p95(|_, urgent| urgent);
    let full = run(&|_| 1.2 * share, 1.0).p95(|_, urgent| urgent);
    println!(
        "  urgent p95 under full drafts over alone: {:.2}",
        full / alone
    );

    let part = 0.8 * share;
    let others = |t: u64| t != 0;
    let without = run(&|t| if t == 0 { 0.0 } else { part }, 0.2);
    let with = run(&|t| if t == 0 { 10.0 * part } else { part }, 0.2);
    let p95 = |r: &Results| r.p95(|t, urgent| others(t) && !urgent);
    let slower = p95(&with) / p95(&without);
    println!("  others' draft p95 with a tenant at 10x over without: {slower:.2}");
    let tokens = |r: &Results| r.tokens(others) as f64;
    let fewer = tokens(&with) / tokens(&without);
    println!("  others' useful tokens, the same: {fewer:.2}");

    let all = |r: Results| r.tokens(|_| true) as f64;
    let peak = [0.8, 0.9, 1.0, 1.1].map(|f| all(run(&|_| f * share, 0.0)));
    let peak = peak.into_iter().fold(0.0, f64::max);
    let double = all(run(&|_| 2.0 * share, 0.0));
    println!(
        "  useful tokens at 2x load over the peak: {:.2}",
        double / peak
    );
}

/// Everyone sends more than their share, and one tenant marks its drafts urgent.
fn report_all_urgent(slots: Slots) {
    let share = 1.0 / TENANTS as f64;
    let mut load = load(slots, |_| 1.5 * share, 0.0);
    let of_first = load.iter_mut().filter(|r| r.tenant == 0);
    of_first.for_each(|r| r.urgent = true);
    let results = fair(slots, &load);
    let mean = results.tokens(|t| t != 0) as f64 / (TENANTS - 1) as f64;
    let gain = results.tokens(|t| t == 0) as f64 / mean;
    println!("  tokens of a tenant that marks all urgent over the others' mean: {gain:.2}");
}

fn main() {
    for slots in SIZES {
        println!("{} slots, {} of them urgent", slots.total(), slots.urgent);
        println!(" fair queue");
        report(slots, fair);
        report_all_urgent(slots);
        println!(" first come, first served");
        report(slots, first_come);
    }
}
