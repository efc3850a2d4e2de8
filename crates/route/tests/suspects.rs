//! Naming the request that kills, and nothing else.

use std::time::{Duration, Instant};

use eelgrassmill_route::*;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const KILLER: RequestFingerprint = 666;

fn die(
    s: &mut SuspectTracker,
    group: &str,
    domain: &str,
    running: &[RequestFingerprint],
    now: Instant,
) {
    s.on_crash(
        &group.into(),
        1,
        &domain.into(),
        running.iter().copied(),
        now,
    );
}

fn is_culprit(s: &SuspectTracker, fingerprint: RequestFingerprint, now: Instant) -> bool {
    matches!(
        s.status(fingerprint, now),
        SuspectStatus::Quarantined { .. }
    )
}

/// A request crashes each engine that runs it, and its caller sends it again. The
/// second death names it, and no request that merely ran beside it.
#[googletest::test]
fn the_second_death_names_the_killer_alone() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    die(&mut s, "draft/0", "a", &[KILLER, 1, 2], now);
    expect_that!(s.status(1, now), eq(SuspectStatus::Suspect));
    expect_that!(s.begin_trial(KILLER, &"draft/1".into(), now), eq(true));
    expect_that!(s.begin_trial(1, &"draft/1".into(), now), eq(false));
    expect_that!(s.begin_trial(1, &"draft/2".into(), now), eq(true));
    die(&mut s, "draft/1", "a", &[KILLER, 7], now + 6 * SECOND);
    let now = now + 7 * SECOND;
    expect_that!(is_culprit(&s, KILLER, now), eq(true));
    expect_that!(s.status(7, now), eq(SuspectStatus::Suspect));
    s.on_completed(1, now);
    expect_that!(s.status(1, now), eq(SuspectStatus::Clear));
}

/// A rack goes dark while a request that was retried runs on its second group there.
/// Named for it, an innocent request would be refused for minutes.
#[googletest::test]
fn a_dark_failure_domain_names_nobody() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    die(&mut s, "draft/0", "a", &[1, 2], now);
    die(&mut s, "draft/1", "a", &[1, 3], now + SECOND);
    die(&mut s, "draft/2", "a", &[], now + 2 * SECOND);
    expect_that!(is_culprit(&s, 1, now + 3 * SECOND), eq(false));
    expect_that!(s.status(2, now + 3 * SECOND), eq(SuspectStatus::Clear));
}

/// A request was named because two hosts died under it for reasons of their own.
/// After a while it is tried again alone, and cleared when it runs to its end.
#[googletest::test]
fn a_wrongly_named_request_is_tried_again() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    die(&mut s, "draft/0", "a", &[1], now);
    die(&mut s, "draft/1", "b", &[1], now + 60 * SECOND);
    expect_that!(is_culprit(&s, 1, now + 61 * SECOND), eq(true));
    let later = now + 60 * SECOND + QUARANTINE_TERM;
    expect_that!(s.status(1, later), eq(SuspectStatus::Suspect));
    s.on_completed(1, later);
    expect_that!(s.status(1, later), eq(SuspectStatus::Clear));
    expect_that!(s.status(1, now + CRASH_TTL * 2), eq(SuspectStatus::Clear));
}

/// The caller sends the killer to another entry after each death. The entries tell each
/// other of the deaths, doubled and in any order, and agree on the culprit.
#[googletest::test]
fn entries_agree_whatever_order_news_arrive_in() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (
        SuspectTracker::default(),
        SuspectTracker::default(),
        SuspectTracker::default(),
    );
    die(&mut a, "draft/0", "a", &[KILLER, 1], now);
    die(&mut b, "draft/0", "a", &[2], now);
    die(&mut b, "draft/1", "b", &[KILLER], now + 10 * SECOND);
    let now = now + 11 * SECOND;
    let (from_a, from_b) = (a.export(now), b.export(now));
    for news in [&from_b, &from_a, &from_b, &from_a] {
        c.merge(news.clone(), now);
    }
    a.merge(from_b, now);
    for s in [&a, &c] {
        expect_that!(is_culprit(s, KILLER, now), eq(true));
        expect_that!(s.status(1, now), eq(SuspectStatus::Suspect));
    }
    expect_that!(a.export(now).crashes, eq(&c.export(now).crashes));
}

/// Two different killers at work in one failure domain look like a common cause.
/// They must be named all the same before long.
#[googletest::test]
fn two_killers_at_once_are_named_before_long() {
    let start = Instant::now();
    let deaths_to_name = |domains: [&str; 4]| {
        let (mut now, mut s) = (start, SuspectTracker::default());
        domains.iter().enumerate().position(|(round, domain)| {
            die(&mut s, &format!("draft/{round}"), domain, &[KILLER], now);
            die(
                &mut s,
                &format!("reply/{round}"),
                domain,
                &[KILLER + 1],
                now + SECOND,
            );
            now += 10 * SECOND;
            is_culprit(&s, KILLER, now) && is_culprit(&s, KILLER + 1, now)
        })
    };
    expect_that!(deaths_to_name(["a", "b", "a", "b"]), some(eq(2)));
    expect_that!(deaths_to_name(["a", "a", "a", "a"]), some(eq(3)));
}

/// A failure domain goes dark group by group, and one request is tried on three of its
/// groups in a row. It killed none of them and must not be refused for it.
#[googletest::test]
fn three_attempts_in_a_dark_domain_name_nobody() {
    let now = Instant::now();
    let mut s = SuspectTracker::default();
    for i in 0..3 {
        die(
            &mut s,
            &format!("draft/{i}"),
            "a",
            &[1, 10 + i],
            now + i as u32 * SECOND,
        );
    }
    die(&mut s, "draft/3", "a", &[], now + 3 * SECOND);
    expect_that!(s.status(1, now + 4 * SECOND), eq(SuspectStatus::Suspect));
}

/// SuspectTracker wait for a group without another suspect, also one that another node tries;
/// a node that died in the middle of a trial must not block the group for good.
#[googletest::test]
fn a_group_has_one_suspect_at_a_time() {
    let now = Instant::now();
    let (mut a, mut b) = (SuspectTracker::default(), SuspectTracker::default());
    let group = "draft/1".into();
    expect_that!(a.begin_trial(KILLER, &group, now), eq(true));
    b.merge(a.export(now), now);
    expect_that!(b.begin_trial(1, &group, now), eq(false));
    expect_that!(b.groups_on_trial(now).count(), eq(1));
    expect_that!(b.may_begin_trial(&group, now + 60 * SECOND), eq(true));
    a.end_trial(1, &group);
    expect_that!(a.may_begin_trial(&group, now), eq(false));
    a.end_trial(KILLER, &group);
    expect_that!(a.may_begin_trial(&group, now), eq(true));
}
