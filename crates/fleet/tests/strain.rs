//! When a node counts as strained.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::CpuOverload;
use googletest::prelude::*;

const PERIOD: Duration = Duration::from_millis(50);

/// Plays a timer that is `late` by turns for `time`.
fn play(strain: &mut CpuOverload, now: &mut Instant, time: Duration, late: &[u64]) {
    let end = *now + time;
    let mut turns = late.iter().cycle();
    while *now < end {
        let late = Duration::from_millis(turns.next().copied().unwrap_or_default());
        *now += PERIOD + late;
        strain.on_timer(late, *now);
    }
}

/// Guards against a scheduler at a node that turned slow holding up all nodes for long.
#[gtest]
fn a_node_that_runs_late_is_strained_within_a_second() {
    let (mut strain, mut now) = (CpuOverload::default(), Instant::now());
    play(&mut strain, &mut now, Duration::from_secs(5), &[1]);
    expect_that!(strain.is_overloaded(), eq(false));
    play(&mut strain, &mut now, Duration::from_secs(1), &[120]);
    expect_that!(strain.is_overloaded(), eq(true));
}

/// Guards against roles that go back and forth between nodes, at each move with what the former
/// holder knew.
#[gtest]
fn a_node_stays_strained_while_it_runs_late_by_turns() {
    let (mut strain, mut now) = (CpuOverload::default(), Instant::now());
    play(&mut strain, &mut now, Duration::from_secs(1), &[120]);
    for _ in 0..5 {
        play(&mut strain, &mut now, Duration::from_secs(3), &[1]);
        expect_that!(strain.is_overloaded(), eq(true));
        play(&mut strain, &mut now, Duration::from_secs(1), &[120]);
    }
    play(&mut strain, &mut now, Duration::from_secs(6), &[1]);
    expect_that!(strain.is_overloaded(), eq(false));
}

#[gtest]
fn a_single_short_delay_is_no_strain() {
    let (mut strain, mut now) = (CpuOverload::default(), Instant::now());
    play(
        &mut strain,
        &mut now,
        Duration::from_secs(5),
        &[1, 1, 1, 1, 80, 1, 1, 1, 1, 1],
    );
    expect_that!(strain.is_overloaded(), eq(false));
}
