//! Tests of the detection of CPU overload.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::CpuOverload;
use googletest::prelude::*;

const PERIOD: Duration = Duration::from_millis(50);

/// Runs a timer with the alternating delays `late` for `time`.
fn run_timer(overload: &mut CpuOverload, now: &mut Instant, time: Duration, late: &[u64]) {
    let end = *now + time;
    let mut turns = late.iter().cycle();
    while *now < end {
        let late = Duration::from_millis(turns.next().copied().unwrap_or_default());
        *now += PERIOD + late;
        overload.on_timer(late, *now);
    }
}

/// Guards against a scheduler at a slow node delaying all nodes for long.
#[gtest]
fn a_node_with_late_timers_is_overloaded_within_a_second() {
    let (mut overload, mut now) = (CpuOverload::default(), Instant::now());
    run_timer(&mut overload, &mut now, Duration::from_secs(5), &[1]);
    expect_that!(overload.is_overloaded(), eq(false));
    run_timer(&mut overload, &mut now, Duration::from_secs(1), &[120]);
    expect_that!(overload.is_overloaded(), eq(true));
}

/// Guards against roles that oscillate between nodes, losing the former holder's state at each
/// move.
#[gtest]
fn a_node_stays_overloaded_while_delays_alternate() {
    let (mut overload, mut now) = (CpuOverload::default(), Instant::now());
    run_timer(&mut overload, &mut now, Duration::from_secs(1), &[120]);
    for _ in 0..5 {
        run_timer(&mut overload, &mut now, Duration::from_secs(3), &[1]);
        expect_that!(overload.is_overloaded(), eq(true));
        run_timer(&mut overload, &mut now, Duration::from_secs(1), &[120]);
    }
    run_timer(&mut overload, &mut now, Duration::from_secs(6), &[1]);
    expect_that!(overload.is_overloaded(), eq(false));
}

#[gtest]
fn a_single_short_delay_is_no_overload() {
    let (mut overload, mut now) = (CpuOverload::default(), Instant::now());
    run_timer(
        &mut overload,
        &mut now,
        Duration::from_secs(5),
        &[1, 1, 1, 1, 80, 1, 1, 1, 1, 1],
    );
    expect_that!(overload.is_overloaded(), eq(false));
}
