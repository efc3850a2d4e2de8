//! When the holder of the planner's lease may act.

use std::time::Duration;

use eelgrassmill_fleet::{
    LEASE_TERM, Lease, LeaseStatus, PlannerTiming, hears_majority, is_majority,
};
use googletest::prelude::*;

const STEP: u64 = 60;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Steps from `from` to `to`; gives when the standing first was another than `Act`.
fn acts_until(lease: &mut Lease, from: u64, to: u64, heard: bool) -> Option<u64> {
    (from..to)
        .step_by(STEP as usize)
        .find(|ms| lease.update(at(*ms), heard) != LeaseStatus::Act)
}

/// The holder is cut off from the store and from all nodes, but not from hosts. Another
/// node takes the lease. Two planners that act at once tear each other's replicas apart.
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

/// The store is away for everybody. Replicas still lose members, and the holder, which
/// hears the other nodes, goes on to mend them.
#[gtest]
fn a_holder_that_hears_enough_others_acts_while_the_store_is_away() {
    let mut lease = Lease::new(at(0));
    expect_that!(acts_until(&mut lease, 0, 20_000, true), none());
}

/// The holder's machine is suspended, or its process stopped, and then goes on. What it
/// heard before says nothing: another node may have planned for seconds.
#[gtest]
fn a_holder_that_stood_still_waits_for_the_store() {
    let mut lease = Lease::new(at(0));
    expect_that!(lease.update(at(60), true), eq(LeaseStatus::Act));
    expect_that!(lease.update(at(4060), true), eq(LeaseStatus::Wait));
    // An answer to a question from before the pause is as old as the pause.
    lease.confirm(at(50));
    expect_that!(lease.update(at(4120), true), eq(LeaseStatus::Wait));
    lease.confirm(at(4100));
    expect_that!(lease.update(at(4180), true), eq(LeaseStatus::Act));
}

/// A holder that can't be sure must not keep the lease from those who can.
#[gtest]
fn a_holder_that_stays_unsure_gives_the_seat_up() {
    let mut lease = Lease::new(at(0));
    let first = (0..10_000)
        .step_by(STEP as usize)
        .find(|ms| lease.update(at(*ms), false) == LeaseStatus::GiveUp);
    expect_that!(first, some(all![ge(3000), le(4000)]));
}

/// The store is away and a node dies. Were the holder to wait for it, nothing would be
/// mended until the store is back.
#[gtest]
fn one_dead_node_of_many_stops_no_repairs() {
    let silences = [300, 200, 9000, 400, 100, 250].map(at);
    expect_that!(hears_majority(silences.into_iter()), eq(true));
    let silences = [300, 2000, 9000, 4000, 100, 2500].map(at);
    expect_that!(hears_majority(silences.into_iter()), eq(false));
}

/// The nodes are cut in two. A side on which the holder is sure and one on which a node may
/// take the lease would give two planners.
#[gtest]
fn of_two_sides_one_at_most_has_most_nodes() {
    for nodes in 2..12_usize {
        for here in 1..nodes {
            let others =
                |side: usize| (1..nodes).map(move |n| at(if n < side { 100 } else { 3000 }));
            let sure = hears_majority(others(here));
            let may_take = is_majority(others(nodes - here), LEASE_TERM);
            expect_that!(sure && may_take, eq(false), "{here} of {nodes}");
        }
    }
}

#[gtest]
fn a_node_that_knows_no_other_is_not_sure() {
    expect_that!(hears_majority(std::iter::empty()), eq(false));
    expect_that!(is_majority(std::iter::empty(), LEASE_TERM), eq(true));
}
