//! Tests of the limits that hosts name: no host gets more, whatever the number of nodes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    EngineSpeed, HostObservation, HostSignals, Millionths, OpenHead, PendingRequest, RequestKey,
    RequestPermits, Scheduler, SlotOutcome,
};
use googletest::prelude::*;
use smol_str::format_smolstr;

mod support;

const SECOND: Duration = Duration::from_secs(1);
/// Requests to a host are counted in windows of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after it first named its limit a host may still get more.
const NOTICE_TIME: Duration = Duration::from_secs(3);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn permitted(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// The most requests in a window that begins after `from`.
fn most_in_window(sent: &[Instant], from: Instant) -> usize {
    let later = sent.iter().filter(|at| **at >= from);
    let counts = later.map(|first| {
        let within = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
        sent.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

fn observation(limit: Option<f64>, age: Duration) -> HostObservation {
    HostObservation {
        host: "h1".into(),
        limit: limit.map(Millionths::of),
        leaving: None,
        age,
    }
}

/// Guards against nodes that differ by the order in which they hear of a limit and its end.
#[gtest]
fn the_newest_observation_wins_in_any_order() {
    let now = Instant::now();
    let named = observation(Some(3.0), 3 * SECOND);
    let changed = observation(Some(2.0), 2 * SECOND);
    let lifted = observation(None, SECOND);
    for order in [
        [&named, &changed, &lifted],
        [&lifted, &changed, &named],
        [&changed, &lifted, &named],
    ] {
        let mut limits = HostSignals::default();
        for observation in order {
            limits.merge(observation, now);
        }
        expect_that!(limits.limit("h1"), none());
    }
}

/// Guards against news of each answer of a host that computes its limit anew, and against state of
/// hosts that are gone.
#[gtest]
fn limits_are_news_only_if_they_change_and_end_with_their_hosts() {
    let now = Instant::now();
    let mut limits = HostSignals::default();
    let host = HostId::from("h1");
    let of = |limit: f64| Some(Millionths::of(limit));
    expect_that!(limits.observe(&host, None, now), eq(false));
    expect_that!(limits.observe(&host, of(3.0), now), eq(true));
    expect_that!(limits.observe(&host, of(3.2), now), eq(false));
    expect_that!(limits.observe(&host, of(2.0), now), eq(true));
    limits.prune(&BTreeSet::from([&host]), now + 600 * SECOND);
    expect_that!(limits.limit("h1"), some(anything()));
    limits.prune(&BTreeSet::new(), now);
    expect_that!(limits.hosts().count(), eq(0));
}

/// Entry hosts of the largest fleet.
const NODES: usize = 985;
/// Time until all nodes know a limit, or which node keeps it: three hops of a tick, and a lost
/// message.
const SPREAD: Duration = Duration::from_millis(1500);

/// Plays a plain host that names `limit` from second 0 on, and nodes that send it `rate` requests a
/// second as far as they are permitted. Another node keeps the limit from second 10 on. Returns the
/// times of the requests of nodes that know the limit.
fn play_plain_host(limit: f64, rate: f64, start: Instant) -> Vec<Instant> {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut keepers = [RequestPermits::default(), RequestPermits::default()];
    let mut sent = Vec::new();
    let host = HostId::from("h1");
    let steps = (30.0 * rate) as u32;
    for step in 0..steps {
        let now = start + Duration::from_secs_f64(f64::from(step) / rate);
        let delay = SPREAD.mul_f64(rng.usize(..NODES) as f64 / NODES as f64);
        if now < start + delay {
            continue;
        }
        let keeper = usize::from(now >= start + 10 * SECOND + delay);
        if keepers[keeper]
            .request(&host, Millionths::of(limit), now)
            .is_ok()
        {
            sent.push(now);
        }
    }
    sent
}

/// Guards against a limit that is divided by the number of nodes, or kept by each of them.
#[gtest]
fn a_plain_host_gets_its_limit_from_the_largest_fleet() {
    let start = Instant::now();
    for limit in [0.0, 0.1, 0.4, 2.0, 30.0] {
        let sent = play_plain_host(limit, 200.0, start);
        let most = most_in_window(&sent, start + NOTICE_TIME);
        expect_that!(most as f64, le(permitted(limit)), "{limit}/s");
        expect_that!(sent.len() as f64, ge(0.7 * 30.0 * limit), "{limit}/s");
        expect_that!(sent.len(), ge(3), "{limit}/s");
    }
}

/// Guards against callers that are all told to come back at the same time.
#[gtest]
fn rejected_callers_come_back_at_the_rate_that_is_served() {
    let now = Instant::now();
    let mut permits = RequestPermits::default();
    let mut waits = Vec::new();
    for _ in 0..20 {
        let reached = permits.request(&"h1".into(), Millionths::of(2.0), now);
        waits.push(reached.expect_err("there is no token yet").retry_after);
    }
    expect_that!(waits.is_sorted(), eq(true));
    let span = waits[19] - waits[0];
    expect_that!(span.as_secs_f64(), near(19.0 / 1.8, 0.1));
}

fn head(n: usize, limit: Option<f64>) -> OpenHead {
    OpenHead {
        key: (format_smolstr!("r{n}"), 1),
        host: format_smolstr!("h{n}"),
        slots: 30,
        failure_domain: "z1".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: limit.map(Millionths::of),
    }
}

fn pending(number: u64, now: Instant) -> PendingRequest {
    PendingRequest {
        key: RequestKey {
            node: format_smolstr!("n{}", number % NODES as u64),
            number,
        },
        failure_domain: "z1".into(),
        prompt_tokens: 100,
        resumed: false,
        urgency: 1,
        on_time_until: now + ms(300),
        deadline: now + ms(1400),
        max_event_gap: ms(300),
        avoid: Default::default(),
        excluded: Default::default(),
    }
}

fn speed() -> EngineSpeed {
    support::speed()
}

/// Requests of one kind of outcome, from [`NOTICE_TIME`] on.
#[derive(Default)]
struct Played {
    /// Grants by head.
    granted: [Vec<Instant>; 2],
    rejected: usize,
    /// The longest wait of a rejected request.
    longest_wait: Duration,
    longest_retry_after: Duration,
}

/// Plays 30 requests a second against two heads whose limits are `limits`; a new scheduler takes over
/// in second 10.
fn play_heads(limits: [Option<f64>; 2], start: Instant) -> Played {
    let mut scheduler = Scheduler::new(speed(), start);
    let mut played = Played::default();
    let mut arrived = std::collections::HashMap::new();
    for step in 0..3000_u64 {
        let now = start + ms(10) * step as u32;
        if step == 1000 {
            scheduler = Scheduler::new(speed(), now);
        }
        let open = [head(0, limits[0]), head(1, limits[1])];
        if step % 3 == 0 {
            arrived.insert(step, now);
            scheduler.enqueue(pending(step, now), now);
        }
        for (key, outcome) in scheduler.assign(&open, now) {
            match outcome {
                SlotOutcome::Granted((replica, _)) => {
                    played.granted[usize::from(replica == "r1")].push(now);
                    scheduler.on_first_event(&key, now);
                    scheduler.release(&key);
                }
                SlotOutcome::Limited { retry_after } => {
                    played.rejected += 1;
                    let wait = now - arrived[&key.number];
                    played.longest_wait = played.longest_wait.max(wait);
                    played.longest_retry_after = played.longest_retry_after.max(retry_after);
                }
                SlotOutcome::Full => played.rejected += 1,
            }
        }
    }
    played
}

/// Guards against heads that get more than they name, and requests that wait for them in a queue.
#[gtest]
fn heads_get_their_limits_and_requests_beyond_them_are_rejected_at_once() {
    let start = Instant::now();
    for limit in [0.0, 0.1, 0.4, 3.0] {
        let played = play_heads([Some(limit); 2], start);
        for sent in &played.granted {
            let most = most_in_window(sent, start + NOTICE_TIME);
            expect_that!(most as f64, le(permitted(limit)), "{limit}/s");
            expect_that!(sent.len() as f64, ge(0.7 * 30.0 * limit), "{limit}/s");
            expect_that!(sent.len(), ge(3), "{limit}/s");
        }
        expect_that!(played.rejected, ge(500));
        expect_that!(played.longest_wait, le(ms(300)));
        expect_that!(played.longest_retry_after, ge(SECOND));
    }
}

/// Guards against rejecting what a head without a limit can serve.
#[gtest]
fn heads_without_a_limit_take_what_others_do_not() {
    let start = Instant::now();
    let played = play_heads([Some(0.5), None], start);
    expect_that!(played.rejected, eq(0));
    let most = most_in_window(&played.granted[0], start + NOTICE_TIME);
    expect_that!(most as f64, le(permitted(0.5)));
}
