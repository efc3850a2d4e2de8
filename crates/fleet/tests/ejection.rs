//! Tests of outlier ejection of a host.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::Ejection;
use googletest::prelude::*;

const SLOTS: usize = 30;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A host that rejected all of a full batch at `now`.
fn rejecting(now: Instant) -> Ejection {
    let mut ejection = Ejection::default();
    for unaccepted in (1..=SLOTS).rev() {
        ejection.rejected(now, unaccepted, now + millis(5));
    }
    ejection
}

/// How long a host stays ejected after `now`, in steps of 10 ms.
fn ejected_for(ejection: &Ejection, now: Instant) -> Duration {
    let steps = (0..500).map(|n| millis(10 * n));
    let mut admitted = steps.filter(|time| ejection.admits(0, now + *time));
    admitted.next().expect("it is tried again")
}

#[gtest]
fn a_host_that_rejects_a_batch_is_ejected_once() {
    let now = Instant::now();
    let ejection = rejecting(now);
    expect_that!(ejection.is_ejected(), eq(true));
    expect_that!(ejected_for(&ejection, now), eq(millis(260)));
}

/// Guards against a host that never recovers being tried as often as one that does.
#[gtest]
fn the_time_doubles_while_a_host_accepts_nothing() {
    let mut now = Instant::now();
    let mut ejection = rejecting(now);
    let mut periods = Vec::new();
    for _ in 0..4 {
        now += ejected_for(&ejection, now);
        ejection.rejected(now, 1, now);
        periods.push(ejected_for(&ejection, now).as_millis());
    }
    expect_that!(
        periods,
        elements_are![eq(&500), eq(&1000), eq(&1000), eq(&1000)]
    );
}

/// Guards against a host that is back being flooded before it is known to accept requests.
#[gtest]
fn a_host_that_accepts_again_gets_one_request_more_each_time() {
    let mut now = Instant::now();
    let mut ejection = rejecting(now);
    now += ejected_for(&ejection, now);
    for accepted in 0..SLOTS - 1 {
        expect_that!(ejection.admits(accepted, now), eq(true));
        expect_that!(ejection.admits(accepted + 1, now), eq(false));
        ejection.accepted(now, SLOTS);
    }
    ejection.accepted(now, SLOTS);
    expect_that!(ejection.is_ejected(), eq(false));
    expect_that!(ejection.admits(10 * SLOTS, now), eq(true));
}

/// Guards against ejecting a host that serves most of its requests.
#[gtest]
fn a_host_that_rejects_some_requests_is_suspected_and_not_ejected() {
    let now = Instant::now();
    let mut ejection = Ejection::default();
    for _ in 0..10 {
        ejection.rejected(now, 8, now);
        ejection.accepted(now, SLOTS);
        ejection.accepted(now, SLOTS);
    }
    expect_that!(ejection.is_ejected(), eq(false));
    expect_that!(ejection.admits(0, now), eq(true));
    expect_that!(ejection.is_suspected(now + millis(1900)), eq(true));
    expect_that!(ejection.is_suspected(now + millis(2100)), eq(false));
}
