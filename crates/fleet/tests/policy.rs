//! The small policies: routes and keys, the host list, placing, repeats, stalls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    Caller, Catalog, Fleet, FleetChange, Host, HostCandidate, HostState, RetryPolicy, RetryWindow,
    Route, RouteError, StallThreshold, StreamActivity, TargetOutcome, TargetStats, choose_host,
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
    Catalog::new(3, routes, [], [("key-1".into(), baths)], None)
}

#[gtest]
fn the_longest_prefix_takes_a_request() {
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
fn a_key_is_needed_but_on_public_routes() {
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

/// Entries lapse while the store is away. The first list after it lacks hosts that are
/// well; given up at once, every replica would be formed anew.
#[gtest]
fn hosts_that_lapsed_with_the_store_are_kept_for_two_seconds() {
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
fn a_host_that_goes_while_the_store_is_well_is_gone_at_once() {
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

/// Four nodes see hosts of their own and of other failure domains under rising load. A
/// request crosses only where its own domain's hosts are a quarter fuller, and a host that
/// fails half of its requests is avoided even when it is empty.
#[gtest]
fn a_near_host_goes_first_until_it_is_much_fuller() {
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

/// 74 nodes send 433 requests a second to 24 heads and hear of each other's loads every half
/// second, three quarters of a second late at most. If each chose the emptiest by what it
/// heard, all would crowd one head after the other: it refuses what it has no place for, and
/// its callers wait while other heads do nothing.
#[gtest]
fn many_nodes_with_old_loads_spread_over_all_heads() {
    expect_that!(busiest_over_mean(74, 24, 0.0), gt(10.0));
    expect_that!(busiest_over_mean(74, 24, 1.0), lt(2.0));
    expect_that!(busiest_over_mean(7, 24, 1.0), lt(2.0));
}

/// The most requests that one of `heads` has at any time, over the mean of all: 433 requests
/// come in a second, each runs for 0.9 s, and loads of others are known as they were up to
/// 0.75 s ago. `counted` is the part of the unseen requests that nodes reckon with.
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
            // 250 ms on the way.
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

/// In any window the repeats of all nodes stay under their bound.
fn expect_within_bound(
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

/// All nodes repeat as much as they may while hosts fail. Over any window the sum stays
/// under the bound, which counts requests of all nodes and one slack for them together.
#[gtest]
fn repeats_of_all_nodes_stay_under_their_bound() {
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
    expect_within_bound(&requests, &repeats, window, ratio, slack);
    expect_that!(repeats.len(), gt(300));
}

/// All nodes are killed and start again while hosts fail. A node that has just started knows
/// no other, and some of the window's repeats were used before its start: the sum must stay
/// under the bound all the same, or hosts that fail get still more work.
#[gtest]
fn nodes_that_start_again_together_stay_under_the_bound_on_repeats() {
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
        // For half a second after a start a node has heard of no other.
        let alone = now >= restart && now < restart + millis(500);
        let known = if alone { 1 } else { nodes };
        let node = &mut all[(tick % nodes as u64) as usize];
        node.on_request(now);
        requests.push(now);
        while node.try_retry(known, now) {
            repeats.push(now);
        }
    }
    expect_within_bound(&requests, &repeats, window, ratio, slack);
}

/// Plays 100 requests a second of one node at three hosts; `rejects` says whether the first one
/// rejects at that second. The part of each second's requests that were sent to it.
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

/// Guards against a host that rejects at once being sent every request, and against one that has
/// recovered being left out for good.
#[gtest]
fn a_plain_host_that_rejects_is_left_out_until_it_serves_again() {
    let sent = sent_to_the_first(20, |second| (2..8).contains(&second));
    expect_that!(sent[1], gt(0.25));
    expect_that!(sent[3..8].iter().sum::<f64>() / 5.0, lt(0.1));
    expect_that!(sent[14..].iter().sum::<f64>() / 6.0, gt(0.25));
}

/// A replica loses a member: nothing comes any more. A slow one gives its events rarely
/// but gives them, and must not be taken for one that stands still.
#[gtest]
fn silence_counts_by_the_usual_pause() {
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

/// Another node has lost sight of a replica. Its streams here come as always, so it can't
/// have lost a member; streams that got work but no event say nothing.
#[gtest]
fn only_events_show_that_a_replica_moves() {
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
    // The earliest news of a loss that is real.
    expect_that!(
        progress.has_recent_event(&rule, now + millis(320 + 230)),
        eq(false)
    );
}
