//! Tests of the estimate of how long callers have waited.

use std::time::Duration;

use eelgrassmill_fleet::CallerTimeouts;
use googletest::prelude::*;

const USUAL: Duration = Duration::from_secs(5);

/// Histogram of `count` callers with timeouts from `least` of the usual timeout to all of it.
fn caller_timeouts(count: u32, least: f64) -> CallerTimeouts {
    let mut caller_timeouts = CallerTimeouts::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..count {
        let part = least + (1.0 - least) * rng.f64();
        caller_timeouts.on_request(USUAL.mul_f64(part), USUAL);
    }
    caller_timeouts
}

/// Guards against queueing a caller's first attempt behind the others.
#[gtest]
fn callers_with_a_usual_timeout_have_not_waited() {
    let caller_timeouts = caller_timeouts(200, 0.85);
    for part in [0.85, 0.9, 1.0] {
        let waited = caller_timeouts.since_first_attempt(USUAL.mul_f64(part), USUAL);
        expect_that!(waited, eq(Duration::ZERO), "{part}");
    }
}

#[gtest]
fn a_caller_with_a_shorter_timeout_has_waited_for_the_rest() {
    let caller_timeouts = caller_timeouts(200, 0.85);
    let waited = caller_timeouts.since_first_attempt(USUAL.mul_f64(0.7), USUAL);
    // The others' mean is 0.925.
    expect_that!(waited.as_millis(), all![ge(1000), le(1250)]);
}

/// Guards against queueing callers with short timeouts behind others if timeouts vary.
#[gtest]
fn few_callers_count_as_waiting_if_timeouts_vary_widely() {
    let caller_timeouts = caller_timeouts(400, 0.2);
    let parts = (20..100).map(|n| f64::from(n) / 100.0);
    let waited = parts.filter(|part| {
        !caller_timeouts
            .since_first_attempt(USUAL.mul_f64(*part), USUAL)
            .is_zero()
    });
    expect_that!(waited.count(), eq(0));
}

/// Guards against an overload whose many retries hide which requests are retries.
#[gtest]
fn a_burst_of_retries_does_not_shift_the_usual_timeout() {
    let mut caller_timeouts = caller_timeouts(400, 0.85);
    for n in 0..200 {
        let part = if n % 4 == 0 { 0.7 } else { 0.92 };
        caller_timeouts.on_request(USUAL.mul_f64(part), USUAL);
    }
    let waited = caller_timeouts.since_first_attempt(USUAL.mul_f64(0.7), USUAL);
    expect_that!(waited, gt(Duration::from_millis(900)));
}

/// Guards against treating the backlog of a restart as new requests.
#[gtest]
fn a_new_node_treats_short_timeouts_as_remainders() {
    let caller_timeouts = CallerTimeouts::default();
    let waited = caller_timeouts.since_first_attempt(USUAL.mul_f64(0.6), USUAL);
    expect_that!(waited, gt(Duration::from_millis(900)));
    expect_that!(
        caller_timeouts.since_first_attempt(USUAL.mul_f64(0.85), USUAL),
        eq(Duration::ZERO)
    );
}
