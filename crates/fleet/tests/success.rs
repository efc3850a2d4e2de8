//! Tests of success-rate outlier detection.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::SuccessRate;
use googletest::prelude::*;

fn rate(served: usize, failed: usize, now: Instant) -> SuccessRate {
    let mut rate = SuccessRate::default();
    (0..served).for_each(|_| rate.on_served(now));
    (0..failed).for_each(|_| rate.on_failed(now));
    rate
}

/// Guards against a host that fails requests while its health checks pass.
#[gtest]
fn a_host_that_fails_more_than_the_others_is_an_outlier() {
    let now = Instant::now();
    let others = [rate(40, 1, now), rate(30, 2, now)];
    expect_that!(rate(0, 1, now).is_outlier(&others, now), eq(true));
    expect_that!(rate(20, 20, now).is_outlier(&others, now), eq(true));
    expect_that!(rate(38, 2, now).is_outlier(&others, now), eq(false));
}

/// Guards against ejecting hosts for a fault that all of them share.
#[gtest]
fn hosts_that_all_fail_alike_are_no_outliers() {
    let now = Instant::now();
    let others = [rate(60, 40, now), rate(55, 45, now)];
    expect_that!(rate(58, 42, now).is_outlier(&others, now), eq(false));
    let others = [rate(0, 30, now)];
    expect_that!(rate(0, 30, now).is_outlier(&others, now), eq(false));
}

/// Guards against old failures counting as recent ones.
#[gtest]
fn failures_count_less_with_their_age() {
    let then = Instant::now();
    let now = then + Duration::from_secs(8);
    let mut host = rate(0, 30, then);
    (0..10).for_each(|_| host.on_served(now));
    expect_that!(host.is_outlier(&[rate(40, 0, now)], now), eq(false));
}
