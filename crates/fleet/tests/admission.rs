//! Loads beyond what a model's heads can serve, drawn from a seed, and what callers get.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    OpenHead, PendingRequest, RequestOrigin, Scheduler, SchedulingPolicy, SlotOutcome,
};
use googletest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

use crate::support::{key, open_heads_with, speed};

const OBJECTIVE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(6);
const MAX_WAIT: Duration = Duration::from_millis(1400);
/// Time from a grant to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(90);
const HEADS: usize = 4;
const SLOTS: usize = 20;
/// Requests per second that the heads can serve: slots are held for 1 to 2 s.
const CAPACITY: f64 = (HEADS * SLOTS) as f64 / 1.5;
const TICK: Duration = Duration::from_millis(5);
/// Rejections must arrive within 0.7 s; 50 ms are left for the way.
const LONGEST_REJECTION: Duration = Duration::from_millis(650);

/// Requests of one customer.
#[derive(Clone)]
struct Source {
    customer: SmolStr,
    /// Arrivals per second, by time since the start.
    rate: fn(f64, f64) -> f64,
    share: f64,
    urgency: u8,
    prompt_tokens: u64,
}

#[derive(Clone, Default)]
struct Caller {
    customer: SmolStr,
    urgency: u8,
    prompt_tokens: u64,
    first_sent: Duration,
    sent: Duration,
    retries: u32,
    /// Whether it came back at the time that it was told.
    told: bool,
    first_event: Option<Duration>,
    rejections: u32,
    longest_wait: Duration,
}

/// What callers got.
#[derive(Debug, Default)]
struct Results {
    callers: usize,
    served: usize,
    on_time: usize,
    rejected_twice: usize,
    came_when_told: usize,
    served_when_told: usize,
    longest_rejection: Duration,
    by_customer: BTreeMap<SmolStr, (usize, usize)>,
    by_urgency: BTreeMap<u8, (usize, usize)>,
    /// Rejections while a twentieth of the slots was free.
    rejected_while_free: usize,
}

impl Results {
    fn share(&self, customer: &str) -> f64 {
        let (served, all) = self.by_customer[customer];
        served as f64 / all.max(1) as f64
    }

    /// The smallest share of its requests that a customer other than `large` got served.
    fn worst(&self, large: &str) -> f64 {
        let others = self.by_customer.keys().filter(|c| *c != large);
        others.map(|c| self.share(c)).fold(1.0, f64::min)
    }

    fn others(&self, large: &str) -> f64 {
        let others = self.by_customer.iter().filter(|(c, _)| *c != large);
        let (served, all) = others.fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
        served as f64 / all.max(1) as f64
    }

    fn on_time_ratio(&self) -> f64 {
        self.on_time as f64 / self.callers as f64
    }

    fn told_ratio(&self) -> f64 {
        self.served_when_told as f64 / self.came_when_told.max(1) as f64
    }

    fn summary(&self, large: &str) -> String {
        format!(
            "callers {} served {:.3} on time {:.3} twice {:.3} told {} of which served {:.3} \
             longest rejection {} ms others {:.3} worst {:.3} rejected while free {} urgency {:?}",
            self.callers,
            self.served as f64 / self.callers as f64,
            self.on_time_ratio(),
            self.rejected_twice as f64 / self.callers as f64,
            self.came_when_told,
            self.told_ratio(),
            self.longest_rejection.as_millis(),
            self.others(large),
            self.worst(large),
            self.rejected_while_free,
            self.by_urgency,
        )
    }
}

fn heads() -> Vec<OpenHead> {
    open_heads_with(HEADS, SLOTS)
}

/// Arrivals, running requests and callers that retry once, around one scheduler.
struct Run {
    began: Instant,
    scheduler: Scheduler,
    rng: fastrand::Rng,
    callers: Vec<Caller>,
    /// Requests by number.
    requests: BTreeMap<u64, usize>,
    next: u64,
    first_events: BTreeMap<(Duration, u64), ()>,
    ends: BTreeMap<(Duration, u64), ()>,
    returns: BTreeMap<(Duration, usize), ()>,
    running: usize,
    rejected_while_free: usize,
}

impl Run {
    fn new(is_fair: bool, seed: u64) -> Run {
        let began = Instant::now();
        let policy = SchedulingPolicy {
            fair_share: is_fair,
        };
        Run {
            began,
            scheduler: Scheduler::with_policy(speed(), policy, began),
            rng: fastrand::Rng::with_seed(seed),
            callers: Vec::new(),
            requests: BTreeMap::new(),
            next: 0,
            first_events: BTreeMap::new(),
            ends: BTreeMap::new(),
            returns: BTreeMap::new(),
            running: 0,
            rejected_while_free: 0,
        }
    }

    fn send(&mut self, caller: usize, at: Duration) {
        let now = self.began + at;
        let c = &mut self.callers[caller];
        c.sent = at;
        let number = self.next;
        self.next += 1;
        self.requests.insert(number, caller);
        let request = PendingRequest {
            key: key(number),
            failure_domain: "z1".into(),
            prompt_tokens: c.prompt_tokens,
            resumed: false,
            urgency: c.urgency,
            on_time_until: self.began + c.first_sent + OBJECTIVE,
            deadline: now + MAX_WAIT,
            max_event_gap: OBJECTIVE,
            avoid: Default::default(),
            excluded: Default::default(),
        };
        let origin = RequestOrigin {
            customer: c.customer.clone(),
            returning: c.retries > 0,
        };
        self.scheduler.enqueue_from(request, origin, now);
        self.decide(at);
    }

    fn decide(&mut self, at: Duration) {
        for decision in self.scheduler.decide_all(&heads(), self.began + at) {
            let number = decision.key.number;
            let index = self.requests[&number];
            match decision.outcome {
                SlotOutcome::Granted(_) => {
                    self.running += 1;
                    let hold = 1.0 + self.rng.f64();
                    self.first_events.insert((at + FIRST_EVENT, number), ());
                    let end = at + Duration::from_secs_f64(hold);
                    self.ends.insert((end, number), ());
                }
                _ => self.reject(index, decision.retry_after, at),
            }
        }
    }

    fn reject(&mut self, index: usize, retry_after: Option<Duration>, at: Duration) {
        if self.running * 20 < HEADS * SLOTS * 19 {
            self.rejected_while_free += 1;
        }
        let constant = Duration::from_millis(400).mul_f64(1.0 + self.rng.f64());
        let told = retry_after.unwrap_or(constant);
        let caller = &mut self.callers[index];
        caller.rejections += 1;
        caller.longest_wait = caller.longest_wait.max(at - caller.sent);
        if caller.retries > 0 {
            return;
        }
        caller.retries = 1;
        let longest = (caller.first_sent + TIMEOUT).saturating_sub(at) / 3;
        caller.told = told <= longest;
        self.returns.insert((at + told.min(longest), index), ());
    }

    fn run(mut self, sources: &[Source], lasts: Duration) -> Results {
        let mut at = Duration::ZERO;
        while at < lasts + TIMEOUT {
            while let Some(((due, number), ())) = self.first_events.pop_first() {
                if due > at {
                    self.first_events.insert((due, number), ());
                    break;
                }
                let now = self.began + at;
                self.scheduler.on_first_event(&key(number), now);
                self.callers[self.requests[&number]].first_event = Some(due);
            }
            while let Some(((due, number), ())) = self.ends.pop_first() {
                if due > at {
                    self.ends.insert((due, number), ());
                    break;
                }
                self.running -= 1;
                self.scheduler.on_released(&key(number), self.began + at);
            }
            self.decide(at);
            while let Some(((due, index), ())) = self.returns.pop_first() {
                if due > at {
                    self.returns.insert((due, index), ());
                    break;
                }
                self.send(index, at);
            }
            if at < lasts {
                for source in sources {
                    let rate = (source.rate)(at.as_secs_f64(), source.share);
                    if self.rng.f64() < rate * TICK.as_secs_f64() {
                        self.callers.push(Caller {
                            customer: source.customer.clone(),
                            urgency: source.urgency,
                            prompt_tokens: source.prompt_tokens + self.rng.u64(0..200),
                            first_sent: at,
                            ..Caller::default()
                        });
                        self.send(self.callers.len() - 1, at);
                    }
                }
            }
            at += TICK;
        }
        self.results()
    }

    fn results(self) -> Results {
        let mut results = Results {
            rejected_while_free: self.rejected_while_free,
            ..Results::default()
        };
        for caller in &self.callers {
            let served = caller.first_event.is_some();
            let on_time = caller
                .first_event
                .is_some_and(|e| e - caller.first_sent <= OBJECTIVE);
            results.callers += 1;
            results.served += usize::from(served);
            results.on_time += usize::from(on_time);
            results.rejected_twice += usize::from(caller.rejections > 1);
            if caller.retries > 0 && caller.told {
                results.came_when_told += 1;
                results.served_when_told += usize::from(served);
            }
            results.longest_rejection = results.longest_rejection.max(caller.longest_wait);
            let of_customer = results
                .by_customer
                .entry(caller.customer.clone())
                .or_default();
            of_customer.0 += usize::from(served);
            of_customer.1 += 1;
            let of_urgency = results.by_urgency.entry(caller.urgency).or_default();
            of_urgency.0 += usize::from(served);
            of_urgency.1 += 1;
        }
        results
    }
}

fn source(customer: usize, rate: fn(f64, f64) -> f64, share: f64) -> Source {
    Source {
        customer: format_smolstr!("c{customer}"),
        rate,
        share,
        urgency: 1,
        prompt_tokens: 300,
    }
}

fn steady(_: f64, share: f64) -> f64 {
    CAPACITY * share
}

/// 0.8 of the capacity, and 1.7 of it from second 4 to 7.
fn burst(at: f64, share: f64) -> f64 {
    let load = if (4.0..7.0).contains(&at) { 1.7 } else { 0.8 };
    CAPACITY * share * load
}

/// One customer that sends 1.6 times what fits, and 23 that send half of what fits together.
fn flood() -> Vec<Source> {
    let mut sources: Vec<Source> = (1..24).map(|n| source(n, steady, 0.5 / 23.0)).collect();
    sources.extend((0..8).map(|_| source(0, steady, 0.2)));
    sources
}

fn run(sources: &[Source], seed: u64) -> Results {
    let lasts = Duration::from_secs(16);
    let before = Run::new(false, seed).run(sources, lasts);
    let results = Run::new(true, seed).run(sources, lasts);
    println!("{seed} off: {}", before.summary("c0"));
    println!("{seed} on:  {}", results.summary("c0"));
    results
}

/// Guards against one customer taking the slots of all others.
#[gtest]
fn a_flood_of_one_customer_takes_only_what_others_leave() {
    for seed in 1..=4 {
        let results = run(&flood(), seed);
        expect_that!(results.others("c0"), ge(0.95), "seed {seed}");
        expect_that!(results.worst("c0"), ge(0.9), "seed {seed}");
        expect_that!(results.share("c0"), ge(0.25), "seed {seed}");
        expect_that!(results.told_ratio(), ge(0.8), "seed {seed}");
        expect_that!(results.longest_rejection, le(LONGEST_REJECTION));
    }
}

/// Guards against a burst that makes requests late which could be on time.
#[gtest]
fn in_a_burst_requests_that_can_be_on_time_mostly_are() {
    for seed in 1..=4 {
        let sources: Vec<Source> = (0..24).map(|n| source(n, burst, 1.0 / 24.0)).collect();
        let results = run(&sources, seed);
        expect_that!(results.on_time_ratio(), ge(0.8), "seed {seed}");
        expect_that!(results.told_ratio(), ge(0.8), "seed {seed}");
        expect_that!(results.longest_rejection, le(LONGEST_REJECTION));
    }
}

/// Guards against rejected callers coming back only to be rejected again.
#[gtest]
fn under_steady_overload_those_who_are_told_a_time_find_a_place() {
    for seed in 1..=4 {
        let sources: Vec<Source> = (0..24).map(|n| source(n, steady, 1.2 / 24.0)).collect();
        let results = run(&sources, seed);
        expect_that!(results.on_time_ratio(), ge(0.65), "seed {seed}");
        expect_that!(results.told_ratio(), ge(0.8), "seed {seed}");
        expect_that!(results.longest_rejection, le(LONGEST_REJECTION));
    }
}

/// Guards against shares that fail with many customers, each of whom sends rarely.
#[gtest]
fn many_customers_share_evenly() {
    for seed in 1..=2 {
        let mut sources: Vec<Source> = (1..333).map(|n| source(n, steady, 0.5 / 332.0)).collect();
        sources.extend((0..8).map(|_| source(0, steady, 0.2)));
        let results = run(&sources, seed);
        expect_that!(results.others("c0"), ge(0.95), "seed {seed}");
        expect_that!(results.told_ratio(), ge(0.8), "seed {seed}");
        expect_that!(results.longest_rejection, le(LONGEST_REJECTION));
    }
}

/// Guards against a single customer getting less than it would without shares.
#[gtest]
fn one_customer_gets_all_that_fits() {
    for seed in 1..=2 {
        let sources: Vec<Source> = (0..8).map(|_| source(0, steady, 0.15)).collect();
        let results = run(&sources, seed);
        expect_that!(results.share("c0"), ge(0.78), "seed {seed}");
        expect_that!(results.longest_rejection, le(LONGEST_REJECTION));
    }
}

/// Guards against a less urgent kind being served more often than a more urgent one.
#[gtest]
fn urgent_requests_are_served_at_least_as_often_as_others() {
    for seed in 1..=2 {
        let sources = (0..24).map(|n| Source {
            urgency: 1 + (n % 2) as u8,
            ..source(n, steady, 1.3 / 24.0)
        });
        let results = run(&sources.collect::<Vec<_>>(), seed);
        let share = |urgency: u8| {
            let (served, all) = results.by_urgency[&urgency];
            served as f64 / all as f64
        };
        expect_that!(share(1), ge(share(2)), "seed {seed}");
    }
}
