//! Tests of the deadlines of a graceful shutdown.

use std::time::{Duration, Instant};

use eelgrassmill_base::Shutdown;
use googletest::prelude::*;

const ACCEPT_TIME: Duration = Duration::from_secs(3);
const TOTAL_TIME: Duration = Duration::from_secs(7);

/// Guards against requests cut off at exit: one that usually takes a second may take six. If it
/// starts because a second is left, the request queued longest at its host is cut off.
#[gtest]
fn request_with_deadline_after_drain_may_not_begin() {
    let signalled_at = Instant::now();
    let shutdown = Shutdown::new(signalled_at, ACCEPT_TIME, TOTAL_TIME);
    expect_that!(shutdown.may_begin(signalled_at + TOTAL_TIME), eq(true));
    let later = signalled_at + TOTAL_TIME + Duration::from_millis(1);
    expect_that!(shutdown.may_begin(later), eq(false));
}

#[gtest]
fn accept_time_is_capped_at_total_time() {
    let signalled_at = Instant::now();
    expect_that!(
        Shutdown::new(signalled_at, ACCEPT_TIME, TOTAL_TIME).accept_until(),
        eq(signalled_at + ACCEPT_TIME)
    );
    let short = Shutdown::new(signalled_at, TOTAL_TIME, ACCEPT_TIME);
    expect_that!(short.accept_until(), eq(signalled_at + ACCEPT_TIME));
    expect_that!(short.drain_until(), eq(signalled_at + ACCEPT_TIME));
}
