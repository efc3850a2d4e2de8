//! Tests of the suspect tracker: it quarantines requests that crash engines, and no others.

use std::time::{Duration, Instant};

use eelgrassmill_route::*;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const CRASHING: Fingerprint = 666;

fn crash(s: &mut SuspectTracker, group: &str, domain: &str, running: &[Fingerprint], now: Instant) {
    s.on_crash(
        &group.into(),
        1,
        &domain.into(),
        running.iter().copied(),
        now,
    );
}

fn is_quarantined(s: &SuspectTracker, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(
        s.status(fingerprint, now),
        SuspectStatus::Quarantined { .. }
    )
}

/// Guards against quarantining requests that merely ran beside a crashing one. A request
/// crashes each engine that runs it and is sent again; only it is quarantined, after two crashes.
#[googletest::test]
fn second_crash_quarantines_only_the_crashing_request() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    crash(&mut s, "draft/0", "a", &[CRASHING, 1, 2], now);
    expect_that!(s.status(1, now), eq(SuspectStatus::Suspect));
    expect_that!(s.begin_trial(CRASHING, &"draft/1".into(), now), eq(true));
    expect_that!(s.begin_trial(1, &"draft/1".into(), now), eq(false));
    expect_that!(s.begin_trial(1, &"draft/2".into(), now), eq(true));
    crash(&mut s, "draft/1", "a", &[CRASHING, 7], now + 6 * SECOND);
    let now = now + 7 * SECOND;
    expect_that!(is_quarantined(&s, CRASHING, now), eq(true));
    expect_that!(s.status(7, now), eq(SuspectStatus::Suspect));
    s.on_completed(1, now);
    expect_that!(s.status(1, now), eq(SuspectStatus::Clear));
}

/// Guards against quarantining a request for the failure of a failure domain, in which it was
/// retried and so was running in two of the crashes.
#[googletest::test]
fn failed_failure_domain_quarantines_nothing() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    crash(&mut s, "draft/0", "a", &[1, 2], now);
    crash(&mut s, "draft/1", "a", &[1, 3], now + SECOND);
    crash(&mut s, "draft/2", "a", &[], now + 2 * SECOND);
    expect_that!(is_quarantined(&s, 1, now + 3 * SECOND), eq(false));
    expect_that!(s.status(2, now + 3 * SECOND), eq(SuspectStatus::Clear));
}

/// Guards against refusing a request forever after two unrelated crashes. After the
/// quarantine it is retried in isolation, and cleared when it completes.
#[googletest::test]
fn quarantined_request_is_retried_after_the_term() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    crash(&mut s, "draft/0", "a", &[1], now);
    crash(&mut s, "draft/1", "b", &[1], now + 60 * SECOND);
    expect_that!(is_quarantined(&s, 1, now + 61 * SECOND), eq(true));
    let later = now + 60 * SECOND + QUARANTINE_TERM;
    expect_that!(s.status(1, later), eq(SuspectStatus::Suspect));
    s.on_completed(1, later);
    expect_that!(s.status(1, later), eq(SuspectStatus::Clear));
    expect_that!(s.status(1, now + CRASH_TTL * 2), eq(SuspectStatus::Clear));
}

/// Guards against entries disagreeing on a quarantine. The crashing request is sent to
/// another entry after each crash, and the updates are duplicated and reordered.
#[googletest::test]
fn entries_converge_whatever_the_order_of_updates() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (
        SuspectTracker::default(),
        SuspectTracker::default(),
        SuspectTracker::default(),
    );
    crash(&mut a, "draft/0", "a", &[CRASHING, 1], now);
    crash(&mut b, "draft/0", "a", &[2], now);
    crash(&mut b, "draft/1", "b", &[CRASHING], now + 10 * SECOND);
    let now = now + 11 * SECOND;
    let (from_a, from_b) = (a.export(now), b.export(now));
    for update in [&from_b, &from_a, &from_b, &from_a] {
        c.merge(update.clone(), now);
    }
    a.merge(from_b, now);
    for s in [&a, &c] {
        expect_that!(is_quarantined(s, CRASHING, now), eq(true));
        expect_that!(s.status(1, now), eq(SuspectStatus::Suspect));
    }
    expect_that!(a.export(now).crashes, eq(&c.export(now).crashes));
}

/// Guards against never quarantining two crashing requests that are active in one failure
/// domain at the same time, since their crashes look like a failure of the domain.
#[googletest::test]
fn two_crashing_requests_at_once_are_quarantined() {
    let start = Instant::now();
    let crashes_to_quarantine = |domains: [&str; 4]| {
        let (mut now, mut s) = (start, SuspectTracker::default());
        domains.iter().enumerate().position(|(round, domain)| {
            crash(&mut s, &format!("draft/{round}"), domain, &[CRASHING], now);
            crash(
                &mut s,
                &format!("reply/{round}"),
                domain,
                &[CRASHING + 1],
                now + SECOND,
            );
            now += 10 * SECOND;
            is_quarantined(&s, CRASHING, now) && is_quarantined(&s, CRASHING + 1, now)
        })
    };
    expect_that!(crashes_to_quarantine(["a", "b", "a", "b"]), some(eq(2)));
    expect_that!(crashes_to_quarantine(["a", "a", "a", "a"]), some(eq(3)));
}

/// Guards against quarantining a request that is tried on three groups in a row of a failure
/// domain that fails group by group.
#[googletest::test]
fn three_attempts_in_a_failing_domain_quarantine_nothing() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    for i in 0..3 {
        crash(
            &mut s,
            &format!("draft/{i}"),
            "a",
            &[1, 10 + i],
            now + i as u32 * SECOND,
        );
    }
    crash(&mut s, "draft/3", "a", &[], now + 3 * SECOND);
    expect_that!(s.status(1, now + 4 * SECOND), eq(SuspectStatus::Suspect));
}

/// Guards against two suspects on one group, also if one was started by another node, and
/// against a node that crashed during a trial blocking the group forever.
#[googletest::test]
fn group_runs_one_suspect_at_a_time() {
    let now = Instant::now();
    let (mut a, mut b) = (SuspectTracker::default(), SuspectTracker::default());
    let group = "draft/1".into();
    expect_that!(a.begin_trial(CRASHING, &group, now), eq(true));
    b.merge(a.export(now), now);
    expect_that!(b.begin_trial(1, &group, now), eq(false));
    expect_that!(b.groups_on_trial(now).count(), eq(1));
    expect_that!(b.may_begin_trial(&group, now + 60 * SECOND), eq(true));
    a.end_trial(1, &group);
    expect_that!(a.may_begin_trial(&group, now), eq(false));
    a.end_trial(CRASHING, &group);
    expect_that!(a.may_begin_trial(&group, now), eq(true));
}
