//! Tests of hosts whose answers say that they leave.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{
    Fleet, FleetChange, Host, HostObservation, HostPresence, HostSignals, HostState, Millionths,
};
use googletest::prelude::*;
use smol_str::format_smolstr;

const SECOND: Duration = Duration::from_secs(1);
/// Hosts of the largest fleet.
const HOSTS: usize = 985;

fn entry(started_ms: u64, slots: usize) -> Host {
    Host {
        id: "h1".into(),
        address: "10.0.0.1:8000".into(),
        service: "writer".into(),
        failure_domain: "z1".into(),
        fabric: "f1".into(),
        state: HostState::Ready,
        slots,
        cold_ms: 0,
        started_ms,
        staged: Default::default(),
        model: None,
        membership: None,
    }
}

fn put(fleet: &mut Fleet, host: Host) {
    fleet.apply(FleetChange::Put(Box::new(host)), Instant::now());
}

fn takes_requests(fleet: &Fleet) -> bool {
    fleet.host("h1").is_some_and(|h| fleet.takes_requests(h))
}

/// Guards against a leaving host that gets requests again because its entry still says that it is
/// ready.
#[gtest]
fn a_start_that_leaves_takes_nothing_whatever_its_entry_says() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    expect_that!(fleet.on_leaving("h1", 7, now), eq(false));
    put(&mut fleet, entry(7, 8));
    expect_that!(fleet.on_leaving("h1", 7, now), eq(true));
    expect_that!(fleet.on_leaving("h1", 7, now), eq(false));
    expect_that!(takes_requests(&fleet), eq(false));
    put(&mut fleet, entry(7, 9));
    expect_that!(takes_requests(&fleet), eq(false));
    fleet.apply(FleetChange::Snapshot(vec![entry(7, 8)]), now);
    expect_that!(takes_requests(&fleet), eq(false));
    let reported = entry(7, 8);
    fleet.apply_report(Host {
        state: HostState::Leaving,
        ..reported
    });
    fleet.apply(FleetChange::Snapshot(vec![entry(7, 8)]), now);
    expect_that!(takes_requests(&fleet), eq(false));
    fleet.apply(FleetChange::Removed("h1".into()), now);
    expect_that!(fleet.presence("h1", 7), eq(HostPresence::Left));
}

/// Guards against a host that is never used again after it has restarted.
#[gtest]
fn a_later_start_takes_requests() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    put(&mut fleet, entry(7, 8));
    fleet.on_leaving("h1", 7, now);
    put(&mut fleet, entry(8, 8));
    expect_that!(takes_requests(&fleet), eq(true));
    // An answer of the former start arrives late.
    expect_that!(fleet.on_leaving("h1", 7, now), eq(false));
    expect_that!(takes_requests(&fleet), eq(true));
    fleet.on_leaving("h1", 8, now);
    fleet.apply(FleetChange::Removed("h1".into()), now);
    put(&mut fleet, entry(9, 8));
    expect_that!(takes_requests(&fleet), eq(true));
}

fn observation(limit: Option<f64>, leaving: Option<u64>, age: Duration) -> HostObservation {
    HostObservation {
        host: "h1".into(),
        limit: limit.map(Millionths::of),
        leaving,
        age,
    }
}

/// Guards against nodes that differ by the order in which they hear of limits and leaving.
#[gtest]
fn observations_merge_in_any_order() {
    let now = Instant::now();
    let limited = observation(Some(3.0), None, SECOND);
    let leaves = observation(None, Some(7), 3 * SECOND);
    let restarted = observation(Some(2.0), Some(8), 2 * SECOND);
    for order in [
        [&limited, &leaves, &restarted],
        [&restarted, &leaves, &limited],
        [&leaves, &restarted, &limited],
    ] {
        let mut signals = HostSignals::default();
        for observation in order {
            signals.merge(observation, now);
        }
        expect_that!(signals.limit("h1"), some(eq(Millionths::of(3.0))));
        let leaving: Vec<_> = signals.leaving().collect();
        expect_that!(leaving, elements_are![eq(&(&HostId::from("h1"), 8))]);
    }
}

/// Guards against news with each answer, and against state of hosts that are gone.
#[gtest]
fn news_and_state_are_bounded_by_the_hosts_of_the_largest_fleet() {
    let now = Instant::now();
    let hosts: Vec<HostId> = (0..HOSTS).map(|n| format_smolstr!("h{n}")).collect();
    let mut signals = HostSignals::default();
    let mut news = 0;
    for step in 0..20 * HOSTS {
        news += usize::from(signals.on_leaving(&hosts[step % HOSTS], 7, now));
    }
    expect_that!(news, eq(HOSTS));
    expect_that!(signals.leaving().count(), eq(HOSTS));
    let listed: BTreeSet<&HostId> = hosts.iter().take(10).collect();
    signals.prune(&listed, now + 600 * SECOND);
    expect_that!(signals.leaving().count(), eq(10));
}
