//! Simulates the scheduler of a model against heads that work in passes.

mod support;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    CallerTimeouts, HeadKey, HostCandidate, OpenHead, PendingRequest, Scheduler, SlotOutcome,
    choose_host,
};
use googletest::prelude::*;
use smallvec::SmallVec;
use smol_str::format_smolstr;

use crate::support::{key, open_heads_with, speed};

const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);
const MAX_EVENT_GAP: Duration = Duration::from_millis(300);
const MAX_WAIT: Duration = Duration::from_millis(1400);
const SLOTS: usize = 30;
/// Time from a grant until the scheduler learns that the head rejected the request.
const REJECTION_TIME: Duration = millis(8);
/// Requests that six heads can serve per second.
const CAPACITY: f64 = 95.0;
/// Maximum number of heads that a request is sent to after the first.
const MAX_REJECTIONS: usize = 3;
/// Maximum number of heads at which a request may run.
const MAX_RUNS: usize = 2;
/// Retries that the budget permits per request.
const RETRY_RATIO: f64 = 0.2;
/// Timeout of a caller's first attempt, and its relative spread.
const TIMEOUT: Duration = millis(5000);
const TIMEOUT_SPREAD: f64 = 0.15;
/// How long a head gets no requests after it rejected one.
const REJECTION_PAUSE: Duration = millis(250);

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn head_key(n: usize) -> HeadKey {
    (format_smolstr!("r{n}"), 1)
}

fn heads(count: usize) -> Vec<OpenHead> {
    open_heads_with(count, SLOTS)
}

fn ask(number: u64, prompt_tokens: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: key(number),
        failure_domain: "z1".into(),
        prompt_tokens,
        resumed: false,
        urgency: 1,
        on_time_until: now + LATENCY_OBJECTIVE,
        deadline: now + MAX_WAIT,
        max_event_gap: MAX_EVENT_GAP,
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

/// A stream at a head.
#[derive(Clone)]
struct Stream {
    number: u64,
    unread: u64,
    /// Remaining events.
    events: u32,
    last_event: Option<Instant>,
    /// Whether the current pass includes it.
    in_pass: bool,
}

/// A head that prefills and decodes in passes.
#[derive(Clone)]
struct Head {
    streams: Vec<Stream>,
    pass_ends: Option<Instant>,
    /// Factor on the duration of its passes.
    slowness: f64,
    /// Fraction of its requests that it rejects immediately.
    rejects: f64,
    /// Fraction of its requests that it fails immediately.
    fails: f64,
}

/// Progress of a request.
#[derive(Clone, Default)]
struct RequestState {
    arrived: Option<Instant>,
    first: Option<Instant>,
    longest_pause: Duration,
    refused: Option<Instant>,
    done: bool,
}

/// Who chooses heads: one scheduler, or each node by reported loads.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Scheduler,
    OldLoads,
}

/// Callers that retry once after a rejection.
#[derive(Default)]
struct Retries {
    /// Whether their timeouts distinguish them from new callers; `None` if no caller retries.
    told_apart: Option<bool>,
    patience: CallerTimeouts,
    /// Requests to retry, when, and the timeout of the first attempt.
    due: Vec<(Instant, u64, Duration)>,
    timeouts: HashMap<u64, Duration>,
}

impl Retries {
    /// Until when a request with the timeout `named` that arrives now can be on time.
    fn on_time_until(&mut self, named: Duration, now: Instant) -> Instant {
        if self.told_apart != Some(true) {
            return now + LATENCY_OBJECTIVE;
        }
        let waited = self.patience.since_first_attempt(named, TIMEOUT);
        self.patience.on_request(named, TIMEOUT);
        now + LATENCY_OBJECTIVE - waited
    }
}

struct World {
    now: Instant,
    rng: fastrand::Rng,
    heads: Vec<Head>,
    fates: Vec<RequestState>,
    scheduler: Scheduler,
    way: Way,
    reported: Vec<usize>,
    /// Prompts of requests that have no slot yet.
    prompts: HashMap<u64, u64>,
    /// Rejections, and when the scheduler learns of them.
    rejections: Vec<(Instant, Rejection)>,
    rejected: u64,
    /// Heads that rejected each request.
    avoid: HashMap<u64, Vec<usize>>,
    returns: Retries,
}

#[derive(Clone, Copy)]
struct Rejection {
    number: u64,
    prompt: u64,
    head: usize,
    /// Whether the head failed the request, which may have run.
    is_failure: bool,
}

impl World {
    fn new(count: usize, way: Way) -> World {
        let now = Instant::now();
        let idle = Head {
            streams: Vec::new(),
            pass_ends: None,
            slowness: 1.0,
            rejects: 0.0,
            fails: 0.0,
        };
        World {
            now,
            rng: fastrand::Rng::with_seed(11),
            heads: vec![idle; count],
            fates: Vec::new(),
            // Old enough to count only its own assignments.
            scheduler: Scheduler::new(speed(), now - Duration::from_secs(10)),
            way,
            reported: vec![0; count],
            prompts: HashMap::new(),
            rejections: Vec::new(),
            rejected: 0,
            avoid: HashMap::new(),
            returns: Retries::default(),
        }
    }

    /// Simulates `rate` requests per second for `length`.
    fn play(&mut self, rate: f64, length: Duration) {
        for ms in 0..length.as_millis() as u64 {
            self.now += millis(1);
            if ms % 500 == 0 {
                self.reported = self.heads.iter().map(|h| h.streams.len()).collect();
            }
            if self.rng.f64() < rate / 1000.0 {
                self.arrive();
            }
            if self.way == Way::Scheduler {
                self.retry_due();
                self.report_rejections();
                self.assign();
            }
            for n in 0..self.heads.len() {
                self.work(n);
            }
        }
    }

    fn arrive(&mut self) {
        let number = self.fates.len() as u64;
        self.fates.push(RequestState {
            arrived: Some(self.now),
            ..RequestState::default()
        });
        // 1,420 tokens on average; a few prompts are several times as long.
        let prompt = (-(1.0 - self.rng.f64()).ln() * 1420.0).clamp(40.0, 4030.0) as u64;
        if self.way == Way::OldLoads {
            let n = self.least_loaded_by_stale_loads();
            self.send(n, number, prompt);
            return;
        }
        self.prompts.insert(number, prompt);
        let mut ask = ask(number, prompt, self.now);
        if self.returns.told_apart.is_some() {
            let timeout = TIMEOUT.mul_f64(1.0 - TIMEOUT_SPREAD * self.rng.f64());
            self.returns.timeouts.insert(number, timeout);
            ask.on_time_until = self.returns.on_time_until(timeout, self.now);
        }
        self.scheduler.enqueue(ask, self.now);
    }

    /// Enqueues requests again whose callers retry now.
    fn retry_due(&mut self) {
        let now = self.now;
        let due = self.returns.due.extract_if(.., |(at, ..)| *at <= now);
        let due: Vec<_> = due.collect();
        for (_, number, timeout) in due {
            let waited = now - self.fates[number as usize].arrived.expect("it has arrived");
            let named = timeout.saturating_sub(waited);
            let on_time_until = self.returns.on_time_until(named, now);
            let again = PendingRequest {
                on_time_until,
                ..ask(number, 600, now)
            };
            self.fates[number as usize].refused = None;
            self.prompts.insert(number, 600);
            self.scheduler.enqueue(again, now);
        }
    }

    /// Records that a request was rejected; its caller may retry once.
    fn reject(&mut self, number: u64) {
        self.fates[number as usize].refused = Some(self.now);
        if let Some(timeout) = self.returns.timeouts.remove(&number) {
            let pause = millis(self.rng.u64(400..800));
            self.returns.due.push((self.now + pause, number, timeout));
        }
    }

    /// Choice of a node that balances load on its own.
    fn least_loaded_by_stale_loads(&mut self) -> usize {
        let candidate = |(n, load): (usize, &usize)| HostCandidate {
            host: format_smolstr!("{n}"),
            load: *load,
            slots: SLOTS,
            same_domain: true,
            failure_permille: 0,
        };
        let candidates: Vec<HostCandidate> =
            self.reported.iter().enumerate().map(candidate).collect();
        let chosen = choose_host(&candidates, 35.0, self.rng.f64()).expect("there are heads");
        chosen.host.parse().expect("a head's number")
    }

    fn assign(&mut self) {
        let open = heads(self.heads.len());
        for (key, outcome) in self.scheduler.assign(&open, self.now) {
            let prompt = self.prompts.remove(&key.number);
            match outcome {
                SlotOutcome::Full | SlotOutcome::Limited { .. } => self.reject(key.number),
                SlotOutcome::Granted((replica, _)) => {
                    let n = replica[1..].parse().expect("a head's number");
                    self.send(n, key.number, prompt.expect("it was asked for"));
                }
            }
        }
    }

    fn send(&mut self, n: usize, number: u64, prompt: u64) {
        let rejects = self.rng.f64() < self.heads[n].rejects;
        let is_failure = self.heads[n].fails > 0.0 && self.rng.f64() < self.heads[n].fails;
        if rejects || is_failure {
            self.rejected += 1;
            let rejection = Rejection {
                number,
                prompt,
                head: n,
                is_failure,
            };
            self.rejections.push((self.now + REJECTION_TIME, rejection));
            return;
        }
        self.heads[n].streams.push(Stream {
            number,
            unread: prompt,
            events: 25,
            last_event: None,
            in_pass: false,
        });
    }

    /// Enqueues rejected requests again, avoiding the heads that rejected them.
    fn report_rejections(&mut self) {
        let now = self.now;
        let heard = self.rejections.extract_if(.., |(at, _)| *at <= now);
        let heard: Vec<Rejection> = heard.map(|(_, rejection)| rejection).collect();
        for Rejection {
            number,
            prompt,
            head,
            is_failure,
        } in heard
        {
            let most = if is_failure {
                self.scheduler.on_failed(&key(number), now);
                MAX_RUNS - 1
            } else {
                self.scheduler.on_rejected(&key(number), now);
                MAX_REJECTIONS
            };
            let avoid = self.avoid.entry(number).or_default();
            avoid.push(head);
            if avoid.len() > most {
                self.fates[number as usize].refused = Some(now);
                continue;
            }
            let arrived = self.fates[number as usize].arrived.expect("it has arrived");
            let again = PendingRequest {
                avoid: avoid.iter().map(|n| format_smolstr!("h{n}")).collect(),
                ..ask(number, prompt, arrived)
            };
            self.prompts.insert(number, prompt);
            self.scheduler.enqueue(again, now);
        }
    }

    /// Ends the head's pass if it is over, and starts the next.
    fn work(&mut self, n: usize) {
        let now = self.now;
        let head = &mut self.heads[n];
        if head.pass_ends.is_some_and(|end| now < end) {
            return;
        }
        let mut ended = Vec::new();
        if head.pass_ends.take().is_some() {
            for stream in head.streams.iter_mut().filter(|s| s.in_pass) {
                stream.in_pass = false;
                if stream.unread > 0 {
                    continue;
                }
                let fate = &mut self.fates[stream.number as usize];
                let pause = stream.last_event.map_or(Duration::ZERO, |at| now - at);
                fate.longest_pause = fate.longest_pause.max(pause);
                if stream.last_event.is_none() {
                    fate.first = Some(now);
                    self.scheduler.on_first_event(&key(stream.number), now);
                }
                stream.last_event = Some(now);
                stream.events -= 1;
                if stream.events == 0 {
                    ended.push(stream.number);
                }
            }
        }
        head.streams.retain(|s| s.events > 0);
        for number in ended {
            self.fates[number as usize].done = true;
            self.scheduler.release(&key(number));
        }
        self.start_pass(n);
    }

    fn start_pass(&mut self, n: usize) {
        let head = &mut self.heads[n];
        // 7 steps with a chunk of 2,048 tokens each.
        let mut readable = 7 * 2048;
        let mut read = 0;
        for stream in head.streams.iter_mut().take(SLOTS) {
            let part = stream.unread.min(readable);
            stream.unread -= part;
            readable -= part;
            read += part;
            stream.in_pass = true;
        }
        if !head.streams.is_empty() {
            let writers = head.streams.len().min(SLOTS);
            let pass = speed().pass_time(writers, read).mul_f64(head.slowness);
            head.pass_ends = Some(self.now + pass);
        }
    }

    /// Wait times of rejected requests, the shortest first.
    fn rejected_waits(&self) -> Vec<Duration> {
        let refused = self
            .fates
            .iter()
            .filter_map(|f| Some((f.arrived?, f.refused?)));
        let mut waits: Vec<Duration> = refused.map(|(arrived, at)| at - arrived).collect();
        waits.sort();
        waits
    }

    /// Fraction of the requests that were on time, of those that arrived `from` to `to`.
    fn on_time(&self, from: Instant, to: Instant) -> f64 {
        let came = |f: &&RequestState| f.arrived.is_some_and(|at| from <= at && at < to);
        let all: Vec<&RequestState> = self.fates.iter().filter(came).collect();
        let on_time = |f: &&&RequestState| {
            let arrived = f.arrived.expect("all have arrived");
            let first = f.first.is_some_and(|at| at - arrived <= LATENCY_OBJECTIVE);
            first && f.longest_pause <= MAX_EVENT_GAP && f.done
        };
        all.iter().filter(on_time).count() as f64 / all.len() as f64
    }
}

/// Fraction of the requests that are on time at six heads, which can serve 95 per second.
fn on_time(way: Way, rate: f64) -> f64 {
    let mut world = World::new(6, way);
    let began = world.now;
    world.play(rate, Duration::from_secs(20));
    world.on_time(began, began + Duration::from_secs(17))
}

/// With nearly full heads, nodes that choose by loads half a second old send several long prompts
/// to one head while others prefill nothing, which delays all its streams. A single scheduler keeps
/// nearly all requests on time.
#[gtest]
fn a_single_scheduler_keeps_drafts_on_time() {
    expect_that!(on_time(Way::OldLoads, 90.0), lt(0.45));
    expect_that!(on_time(Way::Scheduler, 90.0), gt(0.9));
}

/// Under overload requests that can be on time go first and find a free slot. If late ones took
/// every slot, all requests would wait until they are late too.
#[gtest]
fn under_overload_most_served_requests_are_on_time() {
    expect_that!(on_time(Way::OldLoads, 110.0), lt(0.1));
    expect_that!(on_time(Way::Scheduler, 110.0), gt(0.6));
}

/// Guards against an overload in which each slot goes to the request that has waited longest, which
/// the smallest delay makes late.
#[gtest]
fn most_of_the_capacity_is_on_time_in_any_overload() {
    for rate in [100.0, 110.0, 130.0, 200.0] {
        let writable = CAPACITY / rate;
        expect_that!(on_time(Way::Scheduler, rate), gt(0.75 * writable), "{rate}");
    }
}

/// Guards against callers waiting for slots that can't become free before their deadline.
#[gtest]
fn requests_that_can_not_be_served_in_time_are_rejected_immediately() {
    let mut world = World::new(6, Way::Scheduler);
    world.play(71.0, Duration::from_secs(3));
    // Three times the capacity of the heads.
    let from = world.now;
    world.play(285.0, Duration::from_secs(10));
    let waits = world.rejected_waits();
    expect_that!(waits[waits.len() / 2], lt(LATENCY_OBJECTIVE));
    // The heads can serve a third of them.
    expect_that!(world.on_time(from, from + Duration::from_secs(8)), gt(0.2));
}

/// Guards against rejecting a request that is as likely as not to get a slot before its deadline.
#[gtest]
fn a_request_stays_queued_while_a_slot_is_likely() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let mut open = heads(2);
    for head in &mut open {
        head.slots = 8;
    }
    for n in 0..18 {
        scheduler.enqueue(ask(n, 0, now), now);
    }
    assert_that!(scheduler.assign(&open, now).len(), eq(18));
    let queued_at = now + millis(50);
    for n in 18..21 {
        scheduler.enqueue(ask(n, 0, queued_at), queued_at);
    }
    for waited in (0..1300).step_by(20).map(millis) {
        let decided = scheduler.assign(&open, queued_at + waited);
        assert_that!(decided, is_empty(), "after {waited:?}");
    }
    for n in 0..3 {
        scheduler.release(&key(n));
    }
    let granted = scheduler.assign(&open, queued_at + millis(1300));
    expect_that!(granted.len(), eq(3));
}

/// Guards against sending requests to replicas with a slow member while others have room.
#[gtest]
fn requests_avoid_slow_heads() {
    for slowness in [2.5, 5.0, 12.0] {
        play_slow_heads(slowness);
    }
}

fn play_slow_heads(slowness: f64) {
    let mut world = World::new(6, Way::Scheduler);
    world.play(50.0, Duration::from_secs(5));
    for head in &mut world.heads[..2] {
        head.slowness = slowness;
    }
    let from = world.now + Duration::from_secs(2);
    world.play(50.0, Duration::from_secs(12));
    // The other four can serve 63 per second.
    expect_that!(world.on_time(from, from + Duration::from_secs(8)), gt(0.9));
    for head in &mut world.heads {
        head.slowness = 1.0;
    }
    let from = world.now + Duration::from_secs(4);
    // More than the four can serve: the others are used again.
    world.play(75.0, Duration::from_secs(10));
    expect_that!(world.on_time(from, from + Duration::from_secs(4)), gt(0.9));
}

/// Guards against sending a batch of requests to a head that rejects everything each time that it
/// is retried, because it looks empty.
#[gtest]
fn a_head_that_rejects_everything_is_tried_with_one_request_at_a_time() {
    let mut world = World::new(6, Way::Scheduler);
    world.play(50.0, Duration::from_secs(3));
    world.heads[0].rejects = 1.0;
    let length = Duration::from_secs(10);
    // More than the other five can serve, so that requests are queued.
    world.play(100.0, length);
    let tries = length.div_duration_f64(REJECTION_PAUSE) as u64;
    // Requests are sent before the first rejection is reported.
    expect_that!(world.rejected, le(tries + SLOTS as u64));
}

/// Guards against callers waiting and retries being used up while some heads reject half of their
/// requests and the others have room for all.
#[gtest]
fn heads_that_reject_half_of_their_requests_are_avoided_while_others_have_room() {
    let mut world = World::new(10, Way::Scheduler);
    world.play(70.0, Duration::from_secs(3));
    for head in &mut world.heads[..4] {
        head.rejects = 0.5;
    }
    let (from, before) = (world.now, world.fates.len());
    // The other six can serve 95 per second.
    world.play(70.0, Duration::from_secs(10));
    let requests = (world.fates.len() - before) as f64;
    expect_that!(world.rejected as f64, lt(0.1 * requests));
    expect_that!(world.on_time(from, from + Duration::from_secs(8)), gt(0.97));
    for head in &mut world.heads {
        head.rejects = 0.0;
    }
    world.play(70.0, Duration::from_secs(2));
    // More than the six can serve: the others are used again.
    let from = world.now;
    world.play(140.0, Duration::from_secs(6));
    expect_that!(world.on_time(from, from + Duration::from_secs(4)), gt(0.9));
}

/// Guards against heads that fail requests immediately, so that their slots are free, attracting
/// the requests of the others.
#[gtest]
fn heads_that_fail_everything_at_once_are_avoided_while_others_have_room() {
    for failing in [1, 4] {
        let mut world = World::new(10, Way::Scheduler);
        world.play(60.0, Duration::from_secs(3));
        for head in &mut world.heads[..failing] {
            head.fails = 1.0;
        }
        let from = world.now;
        world.play(60.0, Duration::from_secs(10));
        expect_that!(world.on_time(from, from + Duration::from_secs(8)), gt(0.95));
        for head in &mut world.heads {
            head.fails = 0.0;
        }
        world.play(60.0, Duration::from_secs(2));
        // More than the other six can serve: all are used again.
        let from = world.now;
        world.play(130.0, Duration::from_secs(6));
        expect_that!(world.on_time(from, from + Duration::from_secs(4)), gt(0.9));
    }
}

/// Guards against ejecting heads, and with them capacity, for a fault that all of them share.
#[gtest]
fn heads_that_all_fail_equally_stay_in_use() {
    let mut world = World::new(6, Way::Scheduler);
    world.play(90.0, Duration::from_secs(3));
    for head in &mut world.heads {
        head.fails = 0.7;
    }
    let from = world.now;
    world.play(150.0, Duration::from_secs(10));
    // Both attempts of a request fail. The heads can serve the rest.
    let servable = 1.0 - 0.7 * 0.7;
    let on_time = world.on_time(from, from + Duration::from_secs(8));
    expect_that!(on_time, gt(0.9 * servable));
}

/// Guards against avoiding heads that serve half of their requests when the others are full.
#[gtest]
fn heads_that_reject_half_of_their_requests_serve_the_excess() {
    let mut world = World::new(10, Way::Scheduler);
    world.play(70.0, Duration::from_secs(3));
    for head in &mut world.heads[..7] {
        head.rejects = 0.5;
    }
    let before = world.fates.len();
    let rate = 90.0;
    world.play(rate, Duration::from_secs(10));
    let came = &world.fates[before..];
    let served = came.iter().filter(|f| f.first.is_some()).count() as f64;
    let requests = came.len() as f64;
    // A retry budget of a fifth, and the batches in flight before the first report.
    let batches = (7 * SLOTS) as f64;
    expect_that!(world.rejected as f64, lt(RETRY_RATIO * requests + batches));
    // The other three can serve 47 per second. Each permitted retry means one request that is
    // rejected and one that is not.
    let servable = (47.0 + RETRY_RATIO * rate) / rate;
    expect_that!(served / requests, gt(0.9 * servable));
}

/// Guards against an overload by heads that reject their requests outlasting its cause.
#[gtest]
fn callers_are_served_again_after_heads_have_rejected_most_requests() {
    let mut world = World::new(10, Way::Scheduler);
    world.play(75.0, Duration::from_secs(3));
    for head in &mut world.heads[..4] {
        head.rejects = 0.9;
    }
    world.play(75.0, Duration::from_secs(3));
    world.play(150.0, Duration::from_secs(6));
    for head in &mut world.heads {
        head.rejects = 0.0;
    }
    world.play(75.0, Duration::from_secs(8));
    let from = world.now - Duration::from_secs(6);
    expect_that!(world.on_time(from, from + Duration::from_secs(4)), gt(0.95));
}

/// Guards against a queue that is not reported because no head has a request.
#[gtest]
fn heads_that_reject_all_requests_are_reported() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now - Duration::from_secs(10));
    let open = heads(2);
    for n in 0..8 {
        let avoid = SmallVec::from_iter([HostId::from("h1")]);
        let ask = PendingRequest {
            avoid,
            ..ask(n, 100, now)
        };
        scheduler.enqueue(ask, now);
        scheduler.assign(&open, now);
        scheduler.on_rejected(&key(n), now);
    }
    let loads = scheduler.head_loads(now).into_values();
    let loads: Vec<_> = loads.map(|l| (l.requests, l.is_ejected)).collect();
    expect_that!(loads, elements_are![eq(&(0, true)), eq(&(0, false))]);
}

/// Guards against queueing requests while all heads are idle, because of earlier slow first events.
#[gtest]
fn idle_heads_serve_late_requests_after_slow_first_events() {
    let began = Instant::now();
    let mut scheduler = Scheduler::new(speed(), began - Duration::from_secs(10));
    let open = heads(5);
    let full = 5 * (SLOTS as u64 + 1);
    for n in 0..full {
        scheduler.enqueue(ask(n, 0, began), began);
    }
    expect_that!(scheduler.assign(&open, began).len(), eq(full as usize));
    // More arrive per second than the heads have slots.
    let come = |scheduler: &mut Scheduler, n: u64| {
        let now = began + millis(3 * (n - full));
        scheduler.enqueue(ask(n, 0, now), now);
        (now, scheduler.assign(&open, now))
    };
    for n in full..full + 300 {
        come(&mut scheduler, n);
    }
    let idle = began + millis(900);
    for n in 0..full {
        scheduler.on_first_event(&key(n), idle);
        scheduler.release(&key(n));
    }
    for n in full + 300..full + 400 {
        let (now, outcomes) = come(&mut scheduler, n);
        for (key, outcome) in outcomes {
            expect_that!(outcome, not(eq(&SlotOutcome::Full)));
            scheduler.on_first_event(&key, now + millis(150));
            scheduler.release(&key);
        }
    }
    expect_that!(scheduler.queue_len(), eq(0));
}

/// Guards against an overload that lasts because all heads rejected their requests for a while.
#[gtest]
fn callers_are_served_again_after_all_heads_have_rejected_their_requests() {
    let mut world = World::new(6, Way::Scheduler);
    world.play(110.0, Duration::from_secs(4));
    for head in &mut world.heads {
        head.rejects = 1.0;
    }
    world.play(90.0, Duration::from_secs(3));
    for head in &mut world.heads {
        head.rejects = 0.0;
    }
    let from = world.now + Duration::from_secs(2);
    world.play(60.0, Duration::from_secs(8));
    expect_that!(world.on_time(from, from + Duration::from_secs(4)), gt(0.9));
}

/// For five seconds three times as many requests arrive as heads can serve. Those that can be on
/// time go first, others are rejected. Three seconds after the burst the service is back to normal;
/// without a scheduler, heads would still be prefilling old prompts then.
#[gtest]
fn a_burst_is_over_three_seconds_after_its_end() {
    let after = |way| {
        let mut world = World::new(6, way);
        world.play(71.0, Duration::from_secs(3));
        world.play(330.0, Duration::from_secs(5));
        let end = world.now;
        world.play(71.0, Duration::from_secs(12));
        let from = end + Duration::from_secs(3);
        world.on_time(from, from + Duration::from_secs(3))
    };
    expect_that!(after(Way::OldLoads), lt(0.3));
    expect_that!(after(Way::Scheduler), gt(0.9));
}

/// Guards against callers that retry after a rejection taking the slots of requests that can still
/// be on time, so that fewer requests are on time the longer a burst lasts.
#[gtest]
fn retrying_callers_do_not_make_others_late() {
    let burst = |told_apart| {
        let mut world = World::new(6, Way::Scheduler);
        world.returns.told_apart = Some(told_apart);
        world.play(71.0, Duration::from_secs(5));
        let from = world.now + Duration::from_secs(4);
        world.play(130.0, Duration::from_secs(14));
        world.on_time(from, from + Duration::from_secs(8))
    };
    let (told_apart, alike) = (burst(true), burst(false));
    // Two thirds of the capacity of the heads.
    let target = 2.0 / 3.0 * CAPACITY / 130.0;
    expect_that!(alike, lt(target));
    expect_that!(told_apart, gt(target));
}

/// Another node takes over. Requests of the previous scheduler still run and only show in reported
/// loads; a full head must not get more.
#[gtest]
fn a_new_scheduler_counts_reported_loads() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let mut open = heads(2);
    open[0].inherited_requests = SLOTS + 1;
    for n in 0..5 {
        scheduler.enqueue(ask(n, 100, now), now);
    }
    let placed = scheduler.assign(&open, now);
    expect_that!(placed.len(), eq(5));
    for (_, outcome) in placed {
        expect_that!(outcome, eq(&SlotOutcome::Granted(head_key(1))));
    }
}

/// Guards against a new scheduler that overfills heads once its own first report has replaced that
/// of the previous one.
#[gtest]
fn a_new_scheduler_counts_assignments_of_the_previous_one() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let mut open = heads(2);
    open[0].inherited_requests = SLOTS;
    open[1].inherited_requests = SLOTS;
    scheduler.assign(&open, now);
    for head in &mut open {
        head.inherited_requests = 0;
    }
    let soon = now + millis(500);
    for n in 0..2 * SLOTS as u64 {
        scheduler.enqueue(ask(n, 0, soon), soon);
    }
    let assigned = scheduler.assign(&open, soon).len();
    // A quarter of the earlier streams have ended, and each head takes one beyond its slots.
    expect_that!(assigned, all![ge(SLOTS / 2), le(SLOTS / 2 + 2)]);
    let later = now + millis(2000);
    expect_that!(scheduler.assign(&open, later).len(), gt(SLOTS));
}

/// Guards against a scheduler overfilling heads that nodes have filled without it.
#[gtest]
fn unscheduled_requests_take_slots() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now - Duration::from_secs(10));
    let mut open = heads(1);
    open[0].unscheduled_requests = SLOTS - 1;
    for n in 0..SLOTS as u64 {
        scheduler.enqueue(ask(n, 0, now), now);
    }
    // The last slot, and one request beyond the slots.
    expect_that!(scheduler.assign(&open, now).len(), eq(2));
}

/// The message that a stream has ended is lost. Its slot must be released eventually, or heads
/// would seem full while they are idle.
#[gtest]
fn a_slot_whose_release_is_not_reported_expires() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let open = heads(1);
    let places = SLOTS as u64 + 1;
    for n in 0..places {
        scheduler.enqueue(ask(n, 0, now), now);
    }
    expect_that!(scheduler.assign(&open, now).len(), eq(SLOTS + 1));
    scheduler.enqueue(ask(places, 0, now), now);
    expect_that!(scheduler.assign(&open, now), is_empty());
    let later = now + millis(6000);
    scheduler.enqueue(ask(places + 1, 0, later), later);
    expect_that!(scheduler.assign(&open, later).len(), eq(2));
}

/// A scheduler of one head that is full, with 40 requests in all, and the head.
fn full(now: Instant) -> (Scheduler, Vec<OpenHead>) {
    let mut scheduler = Scheduler::new(speed(), now);
    let open = heads(1);
    for n in 0..40 {
        scheduler.enqueue(ask(n, 0, now), now);
    }
    scheduler.assign(&open, now);
    (scheduler, open)
}

/// A caller leaves while its request is queued, and a node dies whose requests are queued and
/// running. None of them may keep a slot.
#[gtest]
fn abandoned_requests_keep_no_slot() {
    let now = Instant::now();
    let (mut scheduler, open) = full(now);
    scheduler.release(&key(39));
    expect_that!(scheduler.queue_len(), eq(40 - SLOTS - 2));
    scheduler.remove_node("n1");
    expect_that!(scheduler.queue_len(), eq(0));
    for n in 50..50 + SLOTS as u64 {
        scheduler.enqueue(ask(n, 0, now), now);
    }
    expect_that!(scheduler.assign(&open, now).len(), eq(SLOTS));
}

/// A stream has lost its replica while all heads are full and requests are queued. Its caller has
/// part of the answer and gives up soon, so the stream gets the next slot.
#[gtest]
fn a_resumed_stream_gets_the_next_slot() {
    let now = Instant::now();
    let (mut scheduler, open) = full(now);
    scheduler.enqueue(
        PendingRequest {
            resumed: true,
            ..ask(99, 0, now)
        },
        now,
    );
    scheduler.release(&key(0));
    let next = scheduler.assign(&open, now);
    expect_that!(
        next,
        elements_are![eq(&(key(99), SlotOutcome::Granted(head_key(0))))]
    );
}

/// A head rejects a request although it seems to have room, because of work that this scheduler
/// doesn't know. The next requests go to other heads for a while.
#[gtest]
fn a_head_that_rejected_a_request_is_avoided_for_a_while() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(speed(), now);
    let open = heads(2);
    scheduler.enqueue(ask(0, 100, now), now);
    let first = scheduler.assign(&open, now).remove(0).1;
    scheduler.on_rejected(&key(0), now);
    for n in 1..4 {
        scheduler.enqueue(ask(n, 100, now), now);
    }
    for (_, outcome) in scheduler.assign(&open, now) {
        expect_that!(outcome, not(eq(&first)));
    }
}
