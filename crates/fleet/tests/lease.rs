//! Tests of the planner's lease at its holder.

use std::time::Duration;

use eelgrassmill_fleet::{
    LEASE_TERM, Lease, LeaseStatus, PlannerTiming, hears_majority, is_majority,
};
use googletest::prelude::*;

const STEP: u64 = 60;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Updates the lease from `from` to `to`; returns when the status first was not `Act`.
fn acts_until(lease: &mut Lease, from: u64, to: u64, heard: bool) -> Option<u64> {
    (from..to)
        .step_by(STEP as usize)
        .find(|ms| lease.update(at(*ms), heard) != LeaseStatus::Act)
}

/// Guards against two planners that break each other's replicas: a holder is partitioned from the
/// store and all nodes but not from hosts, and another node takes the lease.
#[gtest]
fn a_holder_that_hears_nobody_stops_within_its_term() {
    let mut lease = Lease::new(at(1000));
    lease.confirm(at(5000));
    let mut stopped = Lease::clone(&lease);
    expect_that!(acts_until(&mut stopped, 1000, 4000, true), none());
    let stopped_at = acts_until(&mut lease, 5000, 9000, false);
    expect_that!(stopped_at, some(le(5000 + 1500 + STEP)));
    expect_that!(lease.update(at(6700), false), eq(LeaseStatus::Wait));
}

/// A successor claims the lease just after the holder asked for its last confirmation.
#[gtest]
fn a_successor_forms_nothing_before_the_term_is_over() {
    let timing = PlannerTiming::default();
    expect_that!(timing.takeover_delay, gt(LEASE_TERM + at(STEP)));
}

/// During a store outage a holder that hears the other nodes keeps repairing replicas.
#[gtest]
fn a_holder_that_hears_a_majority_acts_during_a_store_outage() {
    let mut lease = Lease::new(at(0));
    expect_that!(acts_until(&mut lease, 0, 20_000, true), none());
}

/// The holder's machine or process was suspended. What it heard before is outdated: another node
/// may have been planning for seconds.
#[gtest]
fn a_holder_that_was_stalled_waits_for_the_store() {
    let mut lease = Lease::new(at(0));
    expect_that!(lease.update(at(60), true), eq(LeaseStatus::Act));
    expect_that!(lease.update(at(4060), true), eq(LeaseStatus::Wait));
    // A response to a request from before the stall doesn't count.
    lease.confirm(at(50));
    expect_that!(lease.update(at(4120), true), eq(LeaseStatus::Wait));
    lease.confirm(at(4100));
    expect_that!(lease.update(at(4180), true), eq(LeaseStatus::Act));
}

/// Guards against an unconfirmed holder keeping the lease from other nodes.
#[gtest]
fn a_holder_that_stays_unconfirmed_gives_up_the_lease() {
    let mut lease = Lease::new(at(0));
    let first = (0..10_000)
        .step_by(STEP as usize)
        .find(|ms| lease.update(at(*ms), false) == LeaseStatus::GiveUp);
    expect_that!(first, some(all![ge(3000), le(4000)]));
}

/// A node dies during a store outage. If the holder waited for it, nothing would be repaired until
/// the store is back.
#[gtest]
fn one_dead_node_of_many_stops_no_repairs() {
    let silences = [300, 200, 9000, 400, 100, 250].map(at);
    expect_that!(hears_majority(silences.into_iter()), eq(true));
    let silences = [300, 2000, 9000, 4000, 100, 2500].map(at);
    expect_that!(hears_majority(silences.into_iter()), eq(false));
}

/// Guards against two planners in a partition: one on the holder's side, and one on a side where
/// another node may take the lease.
#[gtest]
fn at_most_one_side_of_a_partition_has_a_majority() {
    for nodes in 2..12_usize {
        for here in 1..nodes {
            let others =
                |side: usize| (1..nodes).map(move |n| at(if n < side { 100 } else { 3000 }));
            let has_majority = hears_majority(others(here));
            let may_take = is_majority(others(nodes - here), LEASE_TERM);
            expect_that!(has_majority && may_take, eq(false), "{here} of {nodes}");
        }
    }
}

#[gtest]
fn a_node_that_knows_no_other_has_no_majority() {
    expect_that!(hears_majority(std::iter::empty()), eq(false));
    expect_that!(is_majority(std::iter::empty(), LEASE_TERM), eq(true));
}
