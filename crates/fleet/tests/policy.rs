//! Tests of routes and keys, the host list, load balancing, retries and stall detection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    Caller, CallerAccess, Catalog, Fleet, FleetChange, Host, HostCandidate, HostState, RetryPolicy,
    RetryWindow, Route, RouteError, StallThreshold, StreamActivity, TargetOutcome, TargetStats,
    choose_host,
};
use googletest::prelude::*;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "site.example".into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::AtMostOnce,
        stream: None,
        timeout: millis(1000),
        latency_objective: millis(100),
        urgency: 1,
        attempts: 1,
        public,
        services: [("desk".into(), 1)].into_iter().collect(),
    }
}

fn catalog() -> Catalog {
    let routes = [
        route("a", "/a/", false),
        route("ab", "/a/b/", false),
        route("open", "/o/", true),
    ];
    let baths = Arc::new(Caller {
        tenant: "baths".into(),
        urgency: Some(0),
    });
    let callers = [("key-1".into(), baths)].into_iter().collect();
    Catalog::new(3, routes, [], callers, None)
}

#[gtest]
fn the_longest_prefix_matches_a_request() {
    let catalog = catalog();
    let name = |path: &str| {
        catalog
            .route("site.example", path)
            .map(|r| r.name.to_string())
    };
    expect_that!(name("/a/x"), ok(eq("a")));
    expect_that!(name("/a/b/x"), ok(eq("ab")));
    expect_that!(name("/a/bx"), ok(eq("a")));
    expect_that!(name("/c/"), err(eq(&RouteError::NoRoute)));
    expect_that!(catalog.route("other.example", "/a/x").is_err(), eq(true));
}

#[gtest]
fn a_key_is_required_except_on_public_routes() {
    let catalog = catalog();
    let of = |path: &str, key| {
        let route = catalog
            .route("site.example", path)
            .expect("the route is there");
        catalog
            .caller(route, key)
            .map(|c| c.map(|c| c.tenant.to_string()))
    };
    expect_that!(of("/a/x", Some("key-1")), ok(some(eq("baths"))));
    expect_that!(of("/a/x", Some("key-2")), err(eq(&RouteError::UnknownKey)));
    expect_that!(of("/a/x", None), err(eq(&RouteError::UnknownKey)));
    expect_that!(of("/o/x", None), ok(none()));
}

fn host(id: &str) -> Host {
    Host {
        id: id.into(),
        started_ms: 0,
        service: "desk".into(),
        address: "10.0.0.1:1".into(),
        failure_domain: "z1".into(),
        fabric: "".into(),
        state: HostState::Ready,
        slots: 6,
        cold_ms: 0,
        staged: Default::default(),
        model: None,
        membership: None,
    }
}

/// Entries expire during a store outage, and the first list after it lacks healthy hosts. If those
/// were removed at once, every replica would be re-formed.
#[gtest]
fn hosts_that_expired_during_a_store_outage_are_kept_for_two_seconds() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.apply(
        FleetChange::Snapshot(vec![host("a"), host("b"), host("c")]),
        now,
    );
    fleet.on_store_failure(now);
    let gone = fleet.apply(FleetChange::Snapshot(vec![host("a")]), now + millis(100));
    expect_that!(gone, is_empty());
    fleet.apply(FleetChange::Put(Box::new(host("b"))), now + millis(900));
    expect_that!(fleet.expire(now + millis(1900)), is_empty());
    expect_that!(fleet.expire(now + millis(2000)), elements_are![eq("c")]);
    expect_that!(fleet.host("b"), some(anything()));
}

#[gtest]
fn a_host_removed_while_the_store_is_up_is_gone_immediately() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.apply(FleetChange::Snapshot(vec![host("a")]), now);
    let gone = fleet.apply(FleetChange::Removed("a".into()), now);
    expect_that!(gone, elements_are![eq("a")]);
}

fn candidate(name: &str, load: usize, same_domain: bool, failure_permille: u32) -> HostCandidate {
    HostCandidate {
        host: name.into(),
        load,
        slots: 26,
        same_domain,
        failure_permille,
    }
}

/// A request crosses failure domains only if the hosts of its own are a quarter fuller, and a host
/// that fails half of its requests is avoided even if it is empty.
#[gtest]
fn a_host_of_the_same_domain_is_preferred_until_it_is_much_fuller() {
    let chosen = |near_load: usize| {
        let hosts = [
            candidate("near", near_load, true, 0),
            candidate("far", 4, false, 0),
        ];
        choose_host(&hosts, 0.0, 0.5).map(|c| c.host.to_string())
    };
    expect_that!(chosen(4), some(eq("near")));
    expect_that!(chosen(10), some(eq("near")));
    expect_that!(chosen(11), some(eq("far")));
    let hosts = [
        candidate("failing", 0, true, 500),
        candidate("busy", 20, true, 0),
    ];
    expect_that!(
        choose_host(&hosts, 0.0, 0.5).map(|c| c.host.as_str()),
        some(eq("busy"))
    );
    expect_that!(choose_host(&[], 0.0, 0.5), none());
}

/// 74 nodes send 433 requests a second to 24 heads and report loads every half second, up to three
/// quarters of a second late. If each chose the least loaded head by the reports, all would
/// overload one head after the other, which rejects the excess while other heads are idle.
#[gtest]
fn many_nodes_with_stale_loads_spread_over_all_heads() {
    expect_that!(busiest_over_mean(74, 24, 0.0), gt(10.0));
    expect_that!(busiest_over_mean(74, 24, 1.0), lt(2.0));
    expect_that!(busiest_over_mean(7, 24, 1.0), lt(2.0));
}

/// Maximum number of requests at one of `heads` at any time, divided by the mean: 433 requests
/// arrive per second, each runs for 0.9 s, and reported loads are up to 0.75 s old. `counted` is
/// the fraction of the unseen requests that nodes take into account.
fn busiest_over_mean(nodes: usize, heads: usize, counted: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut ends, mut loads) = (Vec::new(), vec![0_usize; heads]);
    let mut told = loads.clone();
    let mut history = vec![loads.clone()];
    let unseen = counted * 433.0 * 0.5 * (nodes - 1) as f64 / nodes as f64;
    let (mut most, mut sum, mut seen) = (0, 0, 0);
    for tick in 0..4330_u64 {
        let ms = tick * 1000 / 433;
        ends.retain(|(end, head): &(u64, usize)| {
            let done = *end <= ms;
            loads[*head] -= usize::from(done);
            !done
        });
        history.push(loads.clone());
        if tick % 216 == 0 {
            // 250 ms in transit.
            told.clone_from(&history[history.len().saturating_sub(108)]);
        }
        let candidates: Vec<HostCandidate> = told
            .iter()
            .enumerate()
            .map(|(n, load)| candidate(&n.to_string(), *load, true, 0))
            .collect();
        let chosen = choose_host(&candidates, unseen, rng.f64()).expect("heads are there");
        let head: usize = chosen.host.parse().expect("a number");
        loads[head] += 1;
        ends.push((ms + 900, head));
        if tick > 1000 {
            most = most.max(loads[head]);
            sum += loads.iter().sum::<usize>();
            seen += 1;
        }
    }
    most as f64 * heads as f64 * f64::from(seen) / sum as f64
}

/// Checks that the retries of all nodes stay within the budget in any window.
fn expect_within_budget(
    requests: &[Instant],
    repeats: &[Instant],
    window: Duration,
    ratio: f64,
    slack: f64,
) {
    for from in requests.iter().step_by(100) {
        let within = |at: &&Instant| **at >= *from && **at < *from + window;
        let permitted = ratio * requests.iter().filter(within).count() as f64 + slack;
        let used = repeats.iter().filter(within).count() as f64;
        expect_that!(used, le(permitted));
    }
}

/// All nodes retry as much as they may while hosts fail. In any window the total stays within the
/// budget, which counts the requests of all nodes and one slack for all of them.
#[gtest]
fn retries_of_all_nodes_stay_within_the_budget() {
    let began = Instant::now();
    let window = Duration::from_secs(10);
    let (nodes, slack, ratio) = (7, 132.0, 0.2);
    let mut all: Vec<RetryWindow> = (0..nodes)
        .map(|_| RetryWindow::new(window, ratio, slack, None))
        .collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for tick in 0..3000_u64 {
        let now = began + millis(tick * 10);
        let node = &mut all[(tick % nodes as u64) as usize];
        node.on_request(now);
        requests.push(now);
        while node.try_retry(nodes, now) {
            repeats.push(now);
        }
    }
    expect_within_budget(&requests, &repeats, window, ratio, slack);
    expect_that!(repeats.len(), gt(300));
}

/// All nodes restart while hosts fail. A new node knows no other nodes, and some of the window's
/// retries were used before the restart. The total must still stay within the budget, or failing
/// hosts get even more load.
#[gtest]
fn nodes_that_restart_together_stay_within_the_retry_budget() {
    let began = Instant::now();
    let window = Duration::from_secs(10);
    let (nodes, slack, ratio) = (74, 278.0, 0.2);
    let fresh = |at| RetryWindow::new(window, ratio, slack, Some(at));
    let mut all: Vec<RetryWindow> = (0..nodes).map(|_| fresh(began)).collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let restart = began + millis(20_000);
    for tick in 0..20_000_u64 {
        let now = began + millis(tick * 2);
        if now == restart {
            all = (0..nodes).map(|_| fresh(now)).collect();
        }
        // For half a second after a start a node knows no other.
        let alone = now >= restart && now < restart + millis(500);
        let known = if alone { 1 } else { nodes };
        let node = &mut all[(tick % nodes as u64) as usize];
        node.on_request(now);
        requests.push(now);
        while node.try_retry(known, now) {
            repeats.push(now);
        }
    }
    expect_within_budget(&requests, &repeats, window, ratio, slack);
}

/// Simulates 100 requests per second of one node to three hosts. `rejects` tells whether the first
/// host rejects in that second. Returns the fraction of each second's requests sent to it.
fn sent_to_the_first(seconds: u64, rejects: impl Fn(u64) -> bool) -> Vec<f64> {
    let began = Instant::now();
    let mut rng = fastrand::Rng::with_seed(5);
    let hosts: [HostId; 3] = ["h0".into(), "h1".into(), "h2".into()];
    let mut stats = TargetStats::default();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut sent = vec![0.0; seconds as usize];
    for ms in (0..seconds * 1000).step_by(10) {
        let now = began + millis(ms);
        for (_, host) in running.extract_if(.., |(end, _)| *end <= ms) {
            stats.on_request_end(&hosts[host], TargetOutcome::Served, now);
        }
        let candidates: Vec<HostCandidate> = hosts
            .iter()
            .map(|host| {
                let (load, failure_permille) = stats.load_and_failures(host, now);
                HostCandidate {
                    host: host.clone(),
                    load,
                    slots: 6,
                    same_domain: true,
                    failure_permille,
                }
            })
            .collect();
        let chosen = choose_host(&candidates, 0.0, rng.f64()).expect("there are hosts");
        let index = hosts
            .iter()
            .position(|h| *h == chosen.host)
            .expect("a host");
        stats.on_request_start(&hosts[index]);
        if index == 0 {
            sent[(ms / 1000) as usize] += 0.01;
        }
        if index == 0 && rejects(ms / 1000) {
            stats.on_request_end(&hosts[0], TargetOutcome::Failed, now);
        } else {
            running.push((ms + 60, index));
        }
    }
    sent
}

/// Guards against sending every request to a host that rejects immediately, and against avoiding a
/// recovered host forever.
#[gtest]
fn a_plain_host_that_rejects_is_avoided_until_it_serves_again() {
    let sent = sent_to_the_first(20, |second| (2..8).contains(&second));
    expect_that!(sent[1], gt(0.25));
    expect_that!(sent[3..8].iter().sum::<f64>() / 5.0, lt(0.1));
    expect_that!(sent[14..].iter().sum::<f64>() / 6.0, gt(0.25));
}

/// A replica that lost a member sends no more events. A slow replica sends events at long intervals
/// and must not count as stalled.
#[gtest]
fn the_stall_threshold_scales_with_the_usual_gap() {
    let rule = StallThreshold::default();
    let began = Instant::now();
    let mut quick = StreamActivity::default();
    let mut slow = StreamActivity::default();
    for n in 0..40 {
        quick.on_event(began + millis(n * 50));
        slow.on_event(began + millis(n * 400));
    }
    let last = |n: u64| began + millis(39 * n);
    expect_that!(
        quick.stalls_at(&rule),
        some(eq(last(50) + rule.min_silence))
    );
    expect_that!(slow.stalls_at(&rule), some(gt(last(400) + millis(2000))));
    expect_that!(StreamActivity::default().stalls_at(&rule), none());
}

/// Another node can't reach a replica whose streams here continue, so it can't have lost a member.
/// Requests without events yet don't show that.
#[gtest]
fn only_events_show_that_a_replica_is_not_stalled() {
    let rule = StallThreshold::default();
    let now = Instant::now();
    let mut progress = StreamActivity::default();
    progress.on_work_resumed(now);
    expect_that!(progress.has_recent_event(&rule, now), eq(false));
    progress.on_event(now);
    expect_that!(
        progress.has_recent_event(&rule, now + millis(200)),
        eq(true)
    );
    // The earliest report of a real loss.
    expect_that!(
        progress.has_recent_event(&rule, now + millis(320 + 230)),
        eq(false)
    );
}

/// Guards against taking "no key is left" for "no customers are configured".
#[gtest]
fn a_configuration_without_keys_lets_nobody_in() {
    let of = |access| {
        let catalog = Catalog::new(3, [route("a", "/a/", false)], [], access, None);
        let route = catalog.route("site.example", "/a/x").map(Arc::clone);
        let route = route.expect("it has the route");
        [None, Some("key-1")].map(|key| catalog.caller(&route, key).is_ok())
    };
    expect_that!(of(CallerAccess::ByKey([].into())), eq([false, false]));
    expect_that!(of(CallerAccess::Open), eq([true, true]));
}
