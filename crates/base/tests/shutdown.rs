//! What a process that was told to stop may still begin.

use std::time::{Duration, Instant};

use eelgrassmill_base::Shutdown;
use googletest::prelude::*;

const OPEN: Duration = Duration::from_secs(3);
const ALL: Duration = Duration::from_secs(7);

/// A request usually takes a second and may take six. Begun because a second is left, the one
/// that waits longest at its host breaks off when the process exits.
#[gtest]
fn what_may_last_longer_than_the_process_is_not_begun() {
    let told = Instant::now();
    let shutdown = Shutdown::new(told, OPEN, ALL);
    expect_that!(shutdown.may_begin(told + ALL), eq(true));
    let later = told + ALL + Duration::from_millis(1);
    expect_that!(shutdown.may_begin(later), eq(false));
}

#[gtest]
fn connections_are_taken_no_longer_than_there_is_time() {
    let told = Instant::now();
    expect_that!(Shutdown::new(told, OPEN, ALL).closes(), eq(told + OPEN));
    let short = Shutdown::new(told, ALL, OPEN);
    expect_that!(short.closes(), eq(told + OPEN));
    expect_that!(short.ends(), eq(told + OPEN));
}
