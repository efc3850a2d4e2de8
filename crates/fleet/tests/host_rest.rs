//! Tests of hosts that ask a node for rest.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    HostSignals, OpenHead, PendingRequest, RequestKey, RequestedRest, ReturnTimes, Scheduler,
    SlotOutcome, TargetOutcome, TargetStats,
};
use googletest::prelude::*;
use smol_str::format_smolstr;

mod support;

const SECOND: Duration = Duration::from_secs(1);
/// Hosts of the largest fleet.
const HOSTS: usize = 985;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rest(values: &[&str]) -> RequestedRest {
    RequestedRest::parse(values.iter().copied()).expect("there is a value")
}

#[gtest]
fn the_longest_time_counts() {
    expect_that!(rest(&["3"]).duration, eq(3 * SECOND));
    expect_that!(rest(&[" 0.5 "]).duration, eq(ms(500)));
    expect_that!(rest(&["0.3", "0.4"]).duration, eq(ms(400)));
    expect_that!(rest(&["2, 0.4"]).duration, eq(2 * SECOND));
    expect_that!(rest(&["soon", "2"]).duration, eq(2 * SECOND));
    expect_that!(rest(&["2"]).is_bounded, eq(false));
    expect_that!(RequestedRest::parse([]), none());
}

/// Guards against hosts that are never used again, and against nodes that panic.
#[gtest]
fn absurd_times_are_bounded() {
    let date = "Fri, 04 Dec 2026 11:00:00 GMT";
    for value in ["-1", "soon", date, "nan", "inf", "-inf", "", ",", "1e400"] {
        let rest = rest(&[value]);
        expect_that!(rest.is_bounded, eq(true), "{value}");
        expect_that!(rest.duration, le(SECOND), "{value}");
    }
    for value in ["0", "0.0", "0.000001", "-0"] {
        let rest = rest(&[value]);
        expect_that!(rest.is_bounded, eq(false), "{value}");
        expect_that!(rest.duration, le(ms(500)), "{value}");
    }
    for value in ["36000", "1e30", "99999999999999999999999"] {
        let rest = rest(&[value]);
        expect_that!(rest.is_bounded, eq(true), "{value}");
        expect_that!(rest.duration, ge(300 * SECOND), "{value}");
        expect_that!(rest.duration, le(3600 * SECOND), "{value}");
    }
}

/// Guards against a rest that ends early because requests from before it are rejected late.
#[gtest]
fn a_later_shorter_rest_does_not_end_a_longer_one() {
    let start = Instant::now();
    let host = HostId::from("h1");
    let mut signals = HostSignals::default();
    expect_that!(signals.on_rest(&host, rest(&["3"]), start), eq(true));
    expect_that!(
        signals.on_rest(&host, rest(&["0.5"]), start + ms(10)),
        eq(false)
    );
    expect_that!(signals.rest("h1", start + 2 * SECOND), some(eq(SECOND)));
    expect_that!(signals.rest("h1", start + 3 * SECOND), none());
    expect_that!(signals.rest("h2", start), none());
}

/// Guards against callers that all return when the first host has rested.
#[gtest]
fn rejected_callers_return_after_the_rest_and_spread() {
    for remaining in [ms(1), ms(100), 3 * SECOND, 20 * SECOND] {
        let mut times = ReturnTimes::new(0.3);
        let waits: Vec<Duration> = (0..100).map(|_| times.next(remaining)).collect();
        for wait in &waits {
            expect_that!(*wait, ge(remaining));
            expect_that!(*wait, le(2 * remaining + 3 * SECOND));
        }
        let together = waits.iter().map(|first| {
            let window = *first..*first + ms(200);
            waits.iter().filter(|w| window.contains(*w)).count()
        });
        expect_that!(together.max(), some(le(20)));
    }
    let longest = ReturnTimes::new(0.3).next(600 * SECOND);
    expect_that!(longest, le(120 * SECOND));
}

/// Guards against avoiding a host for seconds after its rest because of its rejections.
#[gtest]
fn a_rest_is_no_failure() {
    let now = Instant::now();
    let host = HostId::from("h1");
    let mut stats = TargetStats::default();
    for _ in 0..20 {
        stats.on_request_start(&host);
        stats.on_request_end(&host, TargetOutcome::Resting, now);
    }
    expect_that!(stats.load_and_failures("h1", now), eq((0, 0)));
}

fn head(n: usize) -> OpenHead {
    OpenHead {
        key: (format_smolstr!("r{n}"), 1),
        host: format_smolstr!("h{n}"),
        slots: 30,
        failure_domain: "z1".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: None,
    }
}

fn pending(number: u64, excluded: &[&str], now: Instant) -> PendingRequest {
    PendingRequest {
        key: RequestKey {
            node: "n1".into(),
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
        excluded: excluded.iter().map(|h| HostId::from(*h)).collect(),
    }
}

fn granted(outcomes: &[(RequestKey, SlotOutcome)]) -> Vec<(u64, &str)> {
    let granted = outcomes.iter().filter_map(|(key, outcome)| match outcome {
        SlotOutcome::Granted((replica, _)) => Some((key.number, replica.as_str())),
        _ => None,
    });
    granted.collect()
}

/// Guards against a request that gets an excluded head because all others are avoided.
#[gtest]
fn an_excluded_head_is_never_granted() {
    let start = Instant::now();
    let mut scheduler = Scheduler::new(support::speed(), start);
    let open = [head(0), head(1)];
    for number in 0..20 {
        let now = start + ms(100) * number as u32;
        let request = PendingRequest {
            avoid: ["h1".into()].into_iter().collect(),
            ..pending(number, &["h0"], now)
        };
        scheduler.enqueue(request, now);
        let outcomes = scheduler.assign(&open, now);
        expect_that!(granted(&outcomes), elements_are![eq(&(number, "r1"))]);
        scheduler.release(&outcomes[0].0);
    }
}

/// Guards against a queued request whose node was asked for rest meanwhile, and against a request
/// that keeps those behind it waiting.
#[gtest]
fn a_repeated_request_renews_its_excluded_heads() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(support::speed(), now);
    scheduler.enqueue(pending(1, &["h0"], now), now);
    expect_that!(granted(&scheduler.assign(&[head(0)], now)), is_empty());
    scheduler.enqueue(pending(2, &[], now), now);
    expect_that!(
        granted(&scheduler.assign(&[head(0)], now)),
        elements_are![eq(&(2, "r0"))]
    );
    let later = now + ms(100);
    expect_that!(
        scheduler.enqueue(pending(1, &["h1"], later), later),
        eq(false)
    );
    expect_that!(
        granted(&scheduler.assign(&[head(0), head(1)], later)),
        elements_are![eq(&(1, "r0"))]
    );
}

/// Guards against state and notices that grow with the requests.
#[gtest]
fn state_is_bounded_by_the_hosts_of_the_largest_fleet() {
    let start = Instant::now();
    let hosts: Vec<HostId> = (0..HOSTS).map(|n| format_smolstr!("h{n}")).collect();
    let mut signals = HostSignals::default();
    let mut notices = 0;
    let mut asked = 0;
    for step in 0..10_000_u32 {
        let now = start + ms(10) * step;
        let host = &hosts[step as usize * 7 % HOSTS];
        if signals.rest(host, now).is_none() {
            asked += 1;
            notices += usize::from(signals.on_rest(host, rest(&["3"]), now));
        }
    }
    expect_that!(notices, le(asked));
    let end = start + 100 * SECOND;
    expect_that!(signals.resting(end), le(HOSTS));
    expect_that!(signals.hosts().count(), eq(0));
    signals.prune(&hosts.iter().collect::<BTreeSet<_>>(), end + 4 * SECOND);
    expect_that!(signals.is_empty(), eq(true));
    signals.on_rest(&hosts[0], rest(&["600"]), end);
    signals.prune(&BTreeSet::new(), end);
    expect_that!(signals.is_empty(), eq(true));
}
