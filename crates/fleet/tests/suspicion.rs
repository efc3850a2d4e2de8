//! Replicas whose members give no answer.

use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    MAX_SILENCE, MAX_UNREACHABLE_SILENCE, MemberCheck, Suspicion, SuspicionStep,
};
use googletest::prelude::*;

/// Longest silence of a sound host.
const SOUND_SILENCE: Duration = Duration::from_millis(1500);
/// Time from the last event to the first check.
const STALL: Duration = Duration::from_millis(320);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Checks a silent replica until it is trusted or lost; gives the time since its last event.
fn check_until_lost(suspicion: Suspicion, from: Instant) -> Duration {
    let mut waited = Duration::ZERO;
    while let SuspicionStep::Suspect(wait) = suspicion.on_check(MemberCheck::Silent, from + waited)
    {
        assert_that!(wait, gt(Duration::ZERO));
        waited += wait;
    }
    waited
}

/// Guards against taking a sound replica apart because a member is silent for a moment.
#[gtest]
fn a_silent_replica_is_suspected_before_it_is_lost() {
    let began = Instant::now();
    let suspicion = Suspicion::new(Some(began), began + STALL);
    let lost_after = check_until_lost(suspicion, began + STALL) + STALL;
    expect_that!(lost_after, gt(SOUND_SILENCE));
    expect_that!(lost_after, eq(MAX_SILENCE));
}

/// Guards against counting the pauses of slow streams as silence of their members.
#[gtest]
fn only_the_silence_of_members_counts() {
    let began = Instant::now();
    for last_event in [Some(began), None] {
        let now = began + millis(5000);
        let suspicion = Suspicion::new(last_event, now);
        expect_that!(check_until_lost(suspicion, now), gt(SOUND_SILENCE));
    }
}

#[gtest]
fn evidence_of_a_loss_counts_at_once() {
    let now = Instant::now();
    let suspicion = Suspicion::new(Some(now), now + STALL);
    let step = suspicion.on_check(MemberCheck::Lost, now + STALL);
    expect_that!(step, eq(SuspicionStep::Lose));
}

#[gtest]
fn a_replica_whose_members_answer_again_is_trusted() {
    let now = Instant::now();
    let suspicion = Suspicion::new(Some(now), now + STALL);
    for (ms, check, step) in [
        (
            400,
            MemberCheck::Silent,
            SuspicionStep::Suspect(millis(100)),
        ),
        (
            1950,
            MemberCheck::Silent,
            SuspicionStep::Suspect(millis(50)),
        ),
        (2400, MemberCheck::Sound, SuspicionStep::Trust),
    ] {
        expect_that!(suspicion.on_check(check, now + millis(ms)), eq(step));
    }
}

/// Guards against keeping the hosts of a replica for 2 s whose member is down, and against taking one
/// apart because of a single lost packet or while its member accepts connections.
#[gtest]
fn a_member_that_accepts_no_connection_is_lost_sooner() {
    let began = Instant::now();
    let lost_after = |connects: &[bool]| {
        let mut suspicion = Suspicion::new(Some(began), began + STALL);
        for accepted in connects {
            suspicion.on_connect(*accepted);
        }
        check_until_lost(suspicion, began + STALL) + STALL
    };
    expect_that!(lost_after(&[false, false]), eq(MAX_UNREACHABLE_SILENCE));
    expect_that!(lost_after(&[false]), eq(MAX_SILENCE));
    expect_that!(lost_after(&[true]), eq(MAX_SILENCE));
    expect_that!(lost_after(&[false, true]), eq(MAX_SILENCE));
}
