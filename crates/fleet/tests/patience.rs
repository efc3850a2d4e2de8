//! How long callers have waited, by the timeouts that they name.

use std::time::Duration;

use eelgrassmill_fleet::CallerTimeouts;
use googletest::prelude::*;

const USUAL: Duration = Duration::from_secs(5);

/// What is known after `count` callers that name from `least` to all of the usual timeout.
fn patience(count: u32, least: f64) -> CallerTimeouts {
    let mut patience = CallerTimeouts::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..count {
        let part = least + (1.0 - least) * rng.f64();
        patience.on_request(USUAL.mul_f64(part), USUAL);
    }
    patience
}

/// Guards against a caller's first attempt being put behind the others.
#[gtest]
fn callers_that_name_a_usual_timeout_have_not_waited() {
    let patience = patience(200, 0.85);
    for part in [0.85, 0.9, 1.0] {
        let waited = patience.since_first_attempt(USUAL.mul_f64(part), USUAL);
        expect_that!(waited, eq(Duration::ZERO), "{part}");
    }
}

#[gtest]
fn a_caller_that_names_less_than_all_others_has_waited_for_the_rest() {
    let patience = patience(200, 0.85);
    let waited = patience.since_first_attempt(USUAL.mul_f64(0.7), USUAL);
    // The others name 0.925 in the mean.
    expect_that!(waited.as_millis(), all![ge(1000), le(1250)]);
}

/// Guards against impatient callers being put behind patient ones where callers differ.
#[gtest]
fn where_callers_differ_by_much_few_are_taken_to_have_waited() {
    let patience = patience(400, 0.2);
    let parts = (20..100).map(|n| f64::from(n) / 100.0);
    let waited = parts.filter(|part| {
        !patience
            .since_first_attempt(USUAL.mul_f64(*part), USUAL)
            .is_zero()
    });
    expect_that!(waited.count(), eq(0));
}

/// Guards against an overload in which many come back hiding who does.
#[gtest]
fn a_burst_of_callers_that_come_back_does_not_pass_for_the_usual() {
    let mut patience = patience(400, 0.85);
    for n in 0..200 {
        let part = if n % 4 == 0 { 0.7 } else { 0.92 };
        patience.on_request(USUAL.mul_f64(part), USUAL);
    }
    let waited = patience.since_first_attempt(USUAL.mul_f64(0.7), USUAL);
    expect_that!(waited, gt(Duration::from_millis(900)));
}

/// Guards against the backlog of a restart being taken for new requests.
#[gtest]
fn a_node_that_knows_nothing_takes_small_remainders_for_old_requests() {
    let patience = CallerTimeouts::default();
    let waited = patience.since_first_attempt(USUAL.mul_f64(0.6), USUAL);
    expect_that!(waited, gt(Duration::from_millis(900)));
    expect_that!(
        patience.since_first_attempt(USUAL.mul_f64(0.85), USUAL),
        eq(Duration::ZERO)
    );
}
