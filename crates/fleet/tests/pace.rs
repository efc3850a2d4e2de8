//! Slow start and ejection of slow hosts, by their own answers.
//!
//! Loads are generated from a seed; hosts are models of hosts that start or become slow.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    HostCandidate, HostPace, OpenHead, PaceSummary, PacedHost, PacedHosts, Pacing, PendingRequest,
    Preference, RequestKey, Scheduler, SlotOutcome, choose_host, judge,
};
use googletest::prelude::*;
use smol_str::format_smolstr;

const TICK: Duration = Duration::from_millis(5);
const SLOTS: usize = 20;
const OBJECTIVE: Duration = Duration::from_millis(250);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Policies for the first seconds of a host.
#[derive(Clone, Copy, Debug)]
enum SlowStart {
    /// 15 requests a second for 3 s.
    ColdRate,
    /// Concurrency that grows evenly to the slots over 3 s.
    Ramp,
    Window,
}

/// Result of the first 3 s of a host.
#[derive(Debug, Default)]
struct Opening {
    on_time: usize,
    late: usize,
    /// When it first held as many requests as it has slots.
    full_at: Option<Duration>,
}

/// Plays the first 3 s of a host that is offered more than it can take. Each request takes 100 ms
/// while no more than `capacity` run; beyond that, all share the capacity.
fn open(policy: SlowStart, capacity: impl Fn(f64) -> f64) -> Opening {
    let start = Instant::now();
    let mut pace = HostPace::opened(SLOTS, None);
    let mut running: Vec<(Duration, f64, _)> = Vec::new();
    let mut sent: Vec<Duration> = Vec::new();
    let mut result = Opening::default();
    let mut at = Duration::ZERO;
    while at < Duration::from_secs(4) {
        let now = start + at;
        let progress = (capacity(at.as_secs_f64()) / running.len().max(1) as f64).min(1.0);
        for (_, left, _) in &mut running {
            *left -= TICK.as_secs_f64() * progress;
        }
        running.retain(|(sent_at, left, request)| {
            if *left > 0.0 {
                return true;
            }
            pace.on_first_event(*request, now);
            pace.on_end(*request, now);
            if *sent_at < Duration::from_secs(3) {
                if at - *sent_at <= OBJECTIVE {
                    result.on_time += 1;
                } else {
                    result.late += 1;
                }
            }
            false
        });
        loop {
            let recent = sent.iter().rev().take_while(|s| at - **s < ms(1000));
            let admits = match policy {
                SlowStart::ColdRate if at < ms(3000) => recent.count() < 15,
                SlowStart::Ramp => {
                    let part = (at.as_secs_f64() / 3.0).min(1.0);
                    running.len() < ((SLOTS as f64 * part) as usize).max(1)
                }
                _ => pace.has_room(),
            };
            if !admits || running.len() >= SLOTS {
                break;
            }
            let request = pace.on_sent(ms(100), OBJECTIVE, 0, now);
            running.push((at, 0.1, request));
            sent.push(at);
        }
        if running.len() == SLOTS {
            result.full_at.get_or_insert(at);
        }
        at += TICK;
    }
    result
}

/// Guards against a host that is ready at once and yet idle because it has just started.
#[gtest]
fn a_ready_host_fills_its_slots_within_a_second() {
    let ready = |_| SLOTS as f64;
    let window = open(SlowStart::Window, ready);
    let cold_rate = open(SlowStart::ColdRate, ready);
    let ramp = open(SlowStart::Ramp, ready);
    println!("ready host: window {window:?}, cold rate {cold_rate:?}, ramp {ramp:?}");
    expect_that!(window.full_at, some(le(ms(1000))));
    expect_that!(window.late, eq(0));
    expect_that!(window.on_time, ge(cold_rate.on_time * 5));
    expect_that!(window.on_time as f64, ge(ramp.on_time as f64 * 1.5));
}

/// Guards against late requests at a host that can do little for longer than a fixed time.
#[gtest]
fn a_host_that_starts_slowly_gets_what_it_can_serve_in_time() {
    // It can run two requests for six seconds.
    let slow = |_| 2.0;
    let window = open(SlowStart::Window, slow);
    let cold_rate = open(SlowStart::ColdRate, slow);
    let ramp = open(SlowStart::Ramp, slow);
    println!("slow host: window {window:?}, cold rate {cold_rate:?}, ramp {ramp:?}");
    expect_that!(window.on_time * 10, ge(cold_rate.on_time * 8));
    expect_that!(window.on_time, gt(ramp.on_time));
    expect_that!(window.late, lt(ramp.late));
}

/// Guards against a window that a host which becomes ready little by little exceeds or leaves unused.
#[gtest]
fn a_window_follows_a_host_that_becomes_ready_little_by_little() {
    // It can run two requests at first, and all after five seconds. A ramp of 3 s happens to fit.
    let growing = |s: f64| 2.0 + (SLOTS as f64 - 2.0) * (s / 5.0).min(1.0);
    let window = open(SlowStart::Window, growing);
    let cold_rate = open(SlowStart::ColdRate, growing);
    let ramp = open(SlowStart::Ramp, growing);
    println!("growing host: window {window:?}, cold rate {cold_rate:?}, ramp {ramp:?}");
    expect_that!(window.on_time, gt(cold_rate.on_time * 3));
    expect_that!(window.on_time * 10, ge(ramp.on_time * 9));
    // It finds the limit by exceeding it now and then.
    expect_that!(window.late * 5, le(window.on_time));
}

/// Guards against a window that one round of late answers closes many times.
#[gtest]
fn a_round_of_late_answers_halves_the_window_once() {
    let now = Instant::now();
    let mut pace = HostPace::opened(SLOTS, None);
    for _ in 0..6 {
        let request = pace.on_sent(ms(100), OBJECTIVE, 0, now);
        pace.on_first_event(request, now + ms(100));
        pace.on_end(request, now + ms(100));
    }
    expect_that!(pace.limit(SLOTS), eq(8));
    let round: Vec<_> = (0..8)
        .map(|_| pace.on_sent(ms(100), OBJECTIVE, 0, now + ms(100)))
        .collect();
    expect_that!(pace.has_room(), eq(false));
    for request in &round {
        pace.on_first_event(*request, now + ms(500));
    }
    expect_that!(pace.limit(SLOTS), eq(4));
}

/// Guards against a cold host that gets a larger window than its limit permits.
#[gtest]
fn a_cold_limit_bounds_the_first_window() {
    expect_that!(HostPace::opened(48, None).limit(48), eq(6));
    expect_that!(HostPace::opened(48, Some(3)).limit(48), eq(3));
    expect_that!(HostPace::opened(4, None).limit(4), eq(1));
}

/// Guards against rejections that a host answers with more requests.
#[gtest]
fn rejections_close_the_window_of_a_suspected_host() {
    let now = Instant::now();
    let mut pace = HostPace::default();
    let request = pace.on_sent(ms(100), OBJECTIVE, 0, now);
    pace.on_failed(request, SLOTS, true);
    pace.on_end(request, now);
    expect_that!(pace.limit(SLOTS), eq(2));
    for _ in 0..3 {
        let request = pace.on_sent(ms(100), OBJECTIVE, 0, now);
        pace.on_failed(request, SLOTS, true);
        pace.on_end(request, now);
    }
    expect_that!(pace.limit(SLOTS), eq(1));
    expect_that!(pace.has_room(), eq(true));
}

/// Guards against a single delayed answer that takes a host out of use.
#[gtest]
fn one_late_answer_does_not_make_a_host_slow() {
    let now = Instant::now();
    let mut paces = [HostPace::default(), HostPace::default()];
    let answer = |pace: &mut HostPace, at: Instant, latency: Duration| {
        let request = pace.on_sent(ms(100), OBJECTIVE, 0, at);
        pace.on_first_event(request, at + latency);
        pace.on_end(request, at + latency);
    };
    for step in 0..10 {
        let at = now + ms(100) * step;
        let latency = if step == 9 { ms(1000) } else { ms(100) };
        answer(&mut paces[0], at, ms(100));
        answer(&mut paces[1], at, latency);
    }
    let later = now + ms(1900);
    judge(paces.iter_mut().map(|p| (p, SLOTS)), 0, later);
    expect_that!(paces[1].is_slow(), eq(false));
    answer(&mut paces[1], later, ms(1000));
    judge(paces.iter_mut().map(|p| (p, SLOTS)), 0, later + ms(1000));
    expect_that!(paces[1].is_slow(), eq(true));
    expect_that!(paces[0].is_slow(), eq(false));
}

/// Guards against hosts that become slow in turn since their answers of a few milliseconds vary.
#[gtest]
fn differences_that_callers_do_not_notice_make_no_host_slow() {
    let now = Instant::now();
    let mut paces = [HostPace::default(), HostPace::default()];
    for step in 0..20 {
        for (pace, latency) in paces.iter_mut().zip([ms(2), ms(40)]) {
            let at = now + ms(50) * step;
            let request = pace.on_sent(ms(5), OBJECTIVE, 0, at);
            pace.on_first_event(request, at + latency);
            pace.on_end(request, at + latency);
        }
        let slots = paces.iter_mut().map(|p| (p, SLOTS));
        judge(slots, 0, now + ms(50) * (step + 1));
        expect_that!(paces[1].is_slow(), eq(false));
    }
}

fn head(name: &str, epoch: u64) -> OpenHead {
    OpenHead {
        key: (name.into(), epoch),
        host: format_smolstr!("h-{name}"),
        slots: SLOTS,
        failure_domain: "z1".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: None,
    }
}

fn pending(number: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: RequestKey {
            node: "n1".into(),
            number,
        },
        failure_domain: "z1".into(),
        prompt_tokens: 100,
        resumed: false,
        urgency: 1,
        on_time_until: now + OBJECTIVE,
        deadline: now + ms(1400),
        max_event_gap: ms(300),
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

/// A request at a head.
struct Running {
    head: usize,
    arrived: Instant,
    next_event: Instant,
    events_left: u32,
    has_started: bool,
}

/// Two heads, of which the second is slow at times.
struct Play {
    scheduler: Scheduler,
    heads: Vec<OpenHead>,
    running: BTreeMap<u64, Running>,
    rng: fastrand::Rng,
    number: u64,
    /// Time of arrival and whether it was late or rejected.
    ended: Vec<(Duration, bool)>,
    /// Time of arrival and head of each grant.
    granted: Vec<(Duration, usize)>,
}

impl Play {
    fn new(pacing: Pacing, start: Instant) -> Play {
        Play {
            scheduler: Scheduler::new(support::speed(), start).with_pacing(pacing),
            heads: vec![head("r0", 1), head("r1", 1)],
            running: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(11),
            number: 0,
            ended: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn pace_summary(&self) -> PaceSummary {
        self.scheduler.pace_summary(&self.heads)
    }

    fn pass(&self, head: usize, factor: f64) -> Duration {
        let here = self.running.values().filter(|r| r.head == head).count();
        support::speed().pass_time(here, 100).mul_f64(factor)
    }

    /// Plays `per_s` requests a second of `events` events each from `from` to `to`. `factor` tells
    /// how many times slower the second head is.
    fn run(
        &mut self,
        start: Instant,
        [from, to]: [Duration; 2],
        (per_s, events): (f64, u32),
        factor: impl Fn(Duration) -> f64,
    ) {
        let mut at = from;
        while at < to {
            let now = start + at;
            let factors = [1.0, factor(at)];
            self.step_running(start, now, factors);
            if self.rng.f64() < per_s * TICK.as_secs_f64() {
                self.number += 1;
                self.scheduler.enqueue(pending(self.number, now), now);
            }
            for (key, outcome) in self.scheduler.assign(&self.heads, now) {
                let arrived = now;
                match outcome {
                    SlotOutcome::Granted(granted) => {
                        let is_granted = |h: &OpenHead| h.key == granted;
                        let head = self.heads.iter().position(is_granted);
                        let head = head.expect("only open heads get requests");
                        let wait = self.pass(head, factors[head]).mul_f64(1.5);
                        self.granted.push((at, head));
                        let running = Running {
                            head,
                            arrived,
                            next_event: now + wait,
                            events_left: events,
                            has_started: false,
                        };
                        self.running.insert(key.number, running);
                    }
                    _ => self.ended.push((at, true)),
                }
            }
            at += TICK;
        }
    }

    fn step_running(&mut self, start: Instant, now: Instant, factors: [f64; 2]) {
        let due: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, r)| now >= r.next_event)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let head = self.running[&number].head;
            let pass = self.pass(head, factors[head]);
            let Some(running) = self.running.get_mut(&number) else {
                continue;
            };
            let key = RequestKey {
                node: "n1".into(),
                number,
            };
            if !running.has_started {
                running.has_started = true;
                let arrived = running.arrived - start;
                let is_late = now - running.arrived > OBJECTIVE;
                self.ended.push((arrived, is_late));
                self.scheduler.on_first_event(&key, now);
            }
            running.events_left -= 1;
            running.next_event = now + pass;
            if running.events_left == 0 {
                self.running.remove(&number);
                self.scheduler.release(&key);
            }
        }
    }

    /// Share of the requests late that arrived between two times.
    fn late_share(&self, from: Duration, to: Duration) -> f64 {
        let all = self
            .ended
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .collect::<Vec<_>>();
        all.iter().filter(|(_, late)| *late).count() as f64 / all.len().max(1) as f64
    }

    /// Share of the grants between two times that the second head got.
    fn second_share(&self, from: Duration, to: Duration) -> f64 {
        let all = self
            .granted
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .collect::<Vec<_>>();
        all.iter().filter(|(_, head)| *head == 1).count() as f64 / all.len().max(1) as f64
    }
}

const SLOW_FROM: Duration = Duration::from_secs(5);
const SLOW_TO: Duration = Duration::from_secs(13);
const END: Duration = Duration::from_secs(22);

fn slow_spell(at: Duration) -> f64 {
    if (SLOW_FROM..SLOW_TO).contains(&at) {
        12.0
    } else {
        1.0
    }
}

/// Plays a head that is 12 times as slow for 8 s.
fn play_slow_head(pacing: Pacing, load: (f64, u32)) -> Play {
    let start = Instant::now();
    let mut play = Play::new(pacing, start);
    play.run(start, [Duration::ZERO, END], load, slow_spell);
    play
}

/// Guards against a slow head that gets requests which are then late.
#[gtest]
fn a_slow_head_makes_few_requests_late_and_comes_back() {
    let window = [SLOW_FROM + Duration::from_secs(2), SLOW_TO];
    for (kind, load) in [
        ("unary", (80.0, 1)),
        ("streams", (10.0, 28)),
        ("short", (40.0, 5)),
    ] {
        let fixed = play_slow_head(Pacing::Fixed, load);
        let paced = play_slow_head(Pacing::Adaptive, load);
        let late = paced.late_share(window[0], window[1]);
        let whole = |play: &Play| play.late_share(SLOW_FROM, END);
        let back = paced.second_share(END - Duration::from_secs(3), END);
        println!(
            "{kind}: late from 2 s on {late:.3} (fixed {:.3}), from the start {:.3} (fixed {:.3}), \
             share of the second head in the end {back:.2}",
            fixed.late_share(window[0], window[1]),
            whole(&paced),
            whole(&fixed),
        );
        expect_that!(late, le(0.05), "{kind}");
        expect_that!(whole(&paced), le(whole(&fixed)), "{kind}");
        expect_that!(back, ge(0.3), "{kind}");
        expect_that!(paced.pace_summary(), eq(PaceSummary::default()), "{kind}");
    }
}

/// Guards against judging a restarted host by what it did before.
#[gtest]
fn a_new_incarnation_begins_with_a_window_and_no_history() {
    let start = Instant::now();
    let mut play = Play::new(Pacing::Adaptive, start);
    let slow = |_| 12.0;
    play.run(start, [Duration::ZERO, ms(4000)], (80.0, 1), slow);
    let summary = play.pace_summary();
    expect_that!(summary.slow, eq(1));
    play.heads[1] = head("r1", 2);
    play.run(start, [ms(4000), ms(4020)], (0.0, 1), |_| 1.0);
    let summary = play.pace_summary();
    expect_that!(summary.paced, eq(1));
    play.run(start, [ms(4020), ms(7000)], (80.0, 1), |_| 1.0);
    expect_that!(play.pace_summary(), eq(PaceSummary::default()));
    expect_that!(play.second_share(ms(5500), ms(7000)), ge(0.3));
}

/// Guards against a new scheduler that closes heads which its predecessor used.
#[gtest]
fn heads_that_a_new_scheduler_finds_are_warm() {
    let start = Instant::now();
    let mut play = Play::new(Pacing::Adaptive, start);
    play.run(start, [Duration::ZERO, ms(100)], (20.0, 1), |_| 1.0);
    expect_that!(play.pace_summary().paced, eq(0));
    let mut busy = head("r2", 1);
    busy.inherited_requests = 3;
    play.heads.push(busy);
    play.run(start, [ms(100), ms(200)], (0.0, 1), |_| 1.0);
    expect_that!(play.pace_summary().paced, eq(0));
    play.heads.push(head("r3", 1));
    play.run(start, [ms(200), ms(300)], (0.0, 1), |_| 1.0);
    expect_that!(play.pace_summary().paced, eq(1));
}

/// Guards against an idle head beside full ones because it has just opened.
#[gtest]
fn a_head_that_opens_beside_a_full_one_gets_its_window_at_once() {
    let start = Instant::now();
    let mut play = Play::new(Pacing::Adaptive, start);
    play.heads.truncate(1);
    // Streams of 2 s fill the head.
    play.run(start, [Duration::ZERO, ms(3000)], (40.0, 40), |_| 1.0);
    play.heads.push(head("r1", 1));
    play.run(start, [ms(3000), ms(4500)], (40.0, 40), |_| 1.0);
    let to_new = |from, to| {
        let granted = play.granted.iter();
        let granted = granted.filter(|(at, head)| *head == 1 && (from..to).contains(at));
        granted.count()
    };
    expect_that!(to_new(ms(3000), ms(3100)), ge(2));
    expect_that!(to_new(ms(3000), ms(4200)), ge(SLOTS));
}

fn plain_host(n: usize, incarnation: u64) -> PacedHost {
    PacedHost {
        host: format_smolstr!("p{n}"),
        incarnation,
        slots: 3,
        cold_limit: None,
    }
}

/// One node that sends plain requests, one at a time, to hosts of its own speeds.
struct PlainNode {
    paces: PacedHosts,
    rng: fastrand::Rng,
    late: usize,
    sent: [usize; 3],
}

impl PlainNode {
    fn new(seed: u64) -> PlainNode {
        PlainNode {
            paces: PacedHosts::default(),
            rng: fastrand::Rng::with_seed(seed),
            late: 0,
            sent: [0; 3],
        }
    }

    /// Sends `requests`, one each 50 ms, to hosts that take 60 ms times their factor.
    fn send(&mut self, from: Instant, requests: u32, factors: [f64; 3]) {
        (self.late, self.sent) = (0, [0; 3]);
        let hosts: Vec<PacedHost> = (0..3).map(|n| plain_host(n, 1)).collect();
        let mut running: Vec<(Instant, usize, _)> = Vec::new();
        for step in 0..requests {
            let now = from + ms(50) * step;
            running.retain(|(end, host, request)| {
                if *end > now {
                    return true;
                }
                let host = &hosts[*host].host;
                self.paces.on_first_event(host, *request, *end);
                self.paces.on_end(host, *request, *end);
                false
            });
            self.paces.observe(&hosts, now);
            let rated = |n: usize| self.paces.preference(&hosts[n].host, true, now).0;
            let best = (0..3).map(rated).min();
            let candidates = (0..3).filter(|n| Some(rated(*n)) == best);
            let candidates: Vec<HostCandidate> = candidates
                .map(|n| HostCandidate {
                    host: hosts[n].host.clone(),
                    load: running.iter().filter(|(_, host, _)| *host == n).count(),
                    slots: 3,
                    same_domain: true,
                    failure_permille: 0,
                })
                .collect();
            let chosen = choose_host(&candidates, 0.0, self.rng.f64()).expect("a host is left");
            let chosen = hosts.iter().position(|h| h.host == chosen.host);
            let chosen = chosen.expect("it is one of the hosts");
            let request = self
                .paces
                .on_sent(&hosts[chosen].host, ms(100), OBJECTIVE, now)
                .expect("the host is known");
            let took = ms(60).mul_f64(factors[chosen]);
            self.late += usize::from(took > OBJECTIVE);
            self.sent[chosen] += 1;
            running.push((now + took, chosen, request));
        }
        for (end, host, request) in running {
            self.paces.on_first_event(&hosts[host].host, request, end);
            self.paces.on_end(&hosts[host].host, request, end);
        }
    }
}

/// Guards against a plain host that keeps its share of a node's requests while it is slow for that
/// node, and against its loss for nodes that it serves in time.
#[gtest]
fn a_plain_host_that_is_slow_for_one_node_serves_the_others() {
    let start = Instant::now();
    let (mut cut_off, mut other) = (PlainNode::new(3), PlainNode::new(4));
    let slow = [1.0, 12.0, 1.0];
    for (node, factors) in [(&mut cut_off, slow), (&mut other, [1.0; 3])] {
        node.send(start, 40, [1.0; 3]);
        node.send(start + ms(2000), 40, factors);
        node.send(start + ms(4000), 120, factors);
    }
    println!(
        "slow for one node: late {} of 120, sent {:?}",
        cut_off.late, cut_off.sent
    );
    expect_that!(cut_off.paces.summary().slow, eq(1));
    expect_that!(cut_off.late, le(6));
    expect_that!(other.paces.summary(), eq(PaceSummary::default()));
    expect_that!(other.sent[1], ge(25));
    // It comes back.
    cut_off.send(start + ms(10_000), 120, [1.0; 3]);
    cut_off.send(start + ms(16_000), 120, [1.0; 3]);
    expect_that!(cut_off.paces.summary(), eq(PaceSummary::default()));
    expect_that!(cut_off.sent[1], ge(25));
}

/// Guards against judging a plain host that restarted under the same name by its former start.
#[gtest]
fn a_restarted_plain_host_begins_anew() {
    let start = Instant::now();
    let mut node = PlainNode::new(5);
    node.send(start, 40, [1.0; 3]);
    node.send(start + ms(2000), 80, [1.0, 12.0, 1.0]);
    expect_that!(node.paces.summary().slow, eq(1));
    let old = node
        .paces
        .on_sent("p1", ms(100), OBJECTIVE, start + ms(6000));
    let hosts = [plain_host(0, 1), plain_host(1, 2), plain_host(2, 1)];
    node.paces.observe(&hosts, start + ms(7000));
    expect_that!(node.paces.summary().slow, eq(0));
    expect_that!(node.paces.summary().paced, eq(1));
    // The end of a request to the former start doesn't open the window.
    node.paces
        .on_end("p1", old.expect("the host is known"), start + ms(7100));
    let now = start + ms(7200);
    let request = node.paces.on_sent("p1", ms(100), OBJECTIVE, now);
    expect_that!(
        node.paces.preference("p1", true, now).0,
        eq(Preference::Closed)
    );
    let request = request.expect("the host is known");
    node.paces.on_first_event("p1", request, now + ms(60));
    node.paces.on_end("p1", request, now + ms(60));
    expect_that!(
        node.paces.preference("p1", true, now).0,
        eq(Preference::Normal)
    );
}
