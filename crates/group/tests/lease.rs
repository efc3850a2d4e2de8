//! Leases as seen by their holder and an observer, and takeover.

use std::time::{Duration, Instant};

use eelgrassmill_group::{
    HeldLease, LeaseError, LeaseObserver, LeaseTiming, NodeRow, NodeState, ObservedPlanner,
    PlannerRow, RowValue, TakeoverError, node_key, planner_key, takeover,
};
use googletest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn node(name: &str, incarnation: u64) -> NodeRow {
    NodeRow {
        node: name.into(),
        incarnation,
        renewals: 1,
        caller: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        admin: "127.0.0.1:3".into(),
        failure_domain: "d1".into(),
        region: "r1".into(),
        state: NodeState::Serving,
    }
}

fn planner_held_by(holder: &NodeRow, version: u64) -> ObservedPlanner {
    let row = PlannerRow {
        node: holder.node.clone(),
        incarnation: holder.incarnation,
    };
    ObservedPlanner {
        planner: Some((row, 3)),
        holder: Some((holder.clone(), version)),
    }
}

/// The response to a renewal is slow. An observer may have seen the row as soon as it was written;
/// a holder that started its term at the response would send orders after a takeover.
#[gtest]
fn a_slow_response_does_not_extend_a_lease() {
    let timing = LeaseTiming::default();
    let mut lease = HeldLease::new(timing, 1);
    let sent = Instant::now();
    expect_that!(lease.check(sent), err(eq(LeaseError::NotHeld)));
    lease.record_renewal(sent, 7);
    expect_that!(lease.row_version(), some(eq(7)));
    let end = sent + timing.term - timing.clock_margin;
    expect_true!(lease.valid_at(end - MS));
    expect_that!(lease.check(end), err(eq(LeaseError::Expired)));
}

/// Responses of two renewals arrive out of order. The older one must not shorten the lease.
#[gtest]
fn an_out_of_order_renewal_changes_nothing() {
    let mut lease = HeldLease::new(LeaseTiming::default(), 1);
    let first = Instant::now();
    let second = first + 1000 * MS;
    lease.record_renewal(second, 9);
    lease.record_renewal(first, 8);
    expect_that!(lease.row_version(), some(eq(9)));
    expect_true!(lease.valid_at(first + 6400 * MS));
}

/// The process is paused between the check and the send, and the order is sent after the lease
/// has expired. The sender must detect it.
#[gtest]
fn a_pause_while_sending_is_detected() {
    let timing = LeaseTiming::default();
    let mut lease = HeldLease::new(timing, 1);
    let sent = Instant::now();
    lease.record_renewal(sent, 1);
    let proof = lease.check(sent + MS).expect("valid");
    expect_that!(lease.confirm(proof, sent + 2 * MS), ok(anything()));
    // The lease is still valid, but the order took longer than the allowed transit time.
    let late = lease.confirm(proof, sent + timing.order_transit + 2 * MS);
    expect_that!(late, err(eq(LeaseError::ExpiredDuringSend)));
    lease.mark_taken_over();
    let taken = lease.confirm(proof, sent + 2 * MS);
    expect_that!(taken, err(eq(LeaseError::ExpiredDuringSend)));
    expect_that!(lease.check(sent + 2 * MS), err(eq(LeaseError::TakenOver)));
}

/// A lease has expired once the same row was observed for term plus margin, not before.
#[gtest]
fn an_observer_waits_term_and_margin() {
    let timing = LeaseTiming::default();
    let mut observer = LeaseObserver::new(timing);
    let start = Instant::now();
    let needed = timing.term + timing.clock_margin;
    let mut at = Duration::ZERO;
    while at < needed {
        observer.observe(&"n1".into(), 5, start + at);
        expect_false!(observer.has_expired("n1", 5));
        at += 500 * MS;
    }
    observer.observe(&"n1".into(), 5, start + needed);
    expect_true!(observer.has_expired("n1", 5));
    expect_false!(observer.has_expired("n1", 6));
    // A renewal restarts the observation, and an overtaken response is ignored.
    observer.observe(&"n1".into(), 6, start + needed);
    observer.observe(&"n1".into(), 5, start + needed + MS);
    expect_false!(observer.has_expired("n1", 5));
    expect_false!(observer.has_expired("n1", 6));
}

/// No node can renew during a table outage. The first node to read the table afterwards must not
/// consider all leases expired.
#[gtest]
fn a_table_outage_expires_no_lease() {
    let mut observer = LeaseObserver::new(LeaseTiming::default());
    let start = Instant::now();
    observer.observe(&"n1".into(), 5, start);
    observer.observe(&"n1".into(), 5, start + Duration::from_secs(600));
    expect_false!(observer.has_expired("n1", 5));
}

#[gtest]
fn a_takeover_deletes_the_previous_holders_lease_row() {
    let timing = LeaseTiming::default();
    let mut observer = LeaseObserver::new(timing);
    let (own, holder) = (node("n2", 1), node("n1", 4));
    let seen = planner_held_by(&holder, 9);
    let early = takeover(&own, 2, &seen, &observer);
    expect_that!(early, err(eq(&TakeoverError::HolderMayBeActive)));
    let start = Instant::now();
    for half in 0..=14 {
        observer.observe(&"n1".into(), 9, start + half * 500 * MS);
    }
    let step = takeover(&own, 2, &seen, &observer).expect("the lease has expired");
    let expected: Vec<_> = step
        .transaction
        .expect
        .iter()
        .map(|e| (e.key.clone(), e.version))
        .collect();
    let keys = [
        (node_key("n2"), 2),
        (planner_key("r1"), 3),
        (node_key("n1"), 9),
    ];
    expect_that!(
        expected,
        unordered_elements_are![eq(&keys[0]), eq(&keys[1]), eq(&keys[2])]
    );
    let deleted = step
        .transaction
        .puts
        .iter()
        .find(|p| p.key == node_key("n1"));
    expect_that!(deleted.map(|p| &p.value), some(eq(&RowValue::Absent)));
    expect_that!(step.quiet_period, eq(timing.order_transit));
}

/// The planner restarted, so its lease row belongs to the new incarnation. The old incarnation's
/// lease was not observed to expire, and its orders may be in flight for the whole term.
#[gtest]
fn without_an_observed_expiry_the_new_planner_waits_longer() {
    let timing = LeaseTiming::default();
    let observer = LeaseObserver::new(timing);
    let own = node("n2", 1);
    let mut seen = planner_held_by(&node("n1", 4), 9);
    seen.holder = Some((node("n1", 5), 11));
    let step = takeover(&own, 2, &seen, &observer).expect("that incarnation has ended");
    expect_that!(step.quiet_period, eq(timing.orders_expire_after()));
    let leaving = NodeRow {
        state: NodeState::Leaving,
        ..own
    };
    expect_that!(
        takeover(&leaving, 2, &seen, &observer),
        err(eq(&TakeoverError::Leaving))
    );
}
