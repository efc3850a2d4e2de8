//! Claims, batches, retention and the store's outages, one rule at a time.

use std::time::{Duration, Instant};

use eelgrassmill_claim::*;
use googletest::prelude::*;

const RETENTION: Duration = Duration::from_secs(3600);

fn request(key: &str, body: &[u8], attempt: &str) -> ClaimRequest {
    ClaimRequest {
        key: claim_key("lehota", "notices", key),
        fingerprint: fingerprint("POST", "/notice", body),
        owner: Owner {
            node: "entry-1".into(),
            incarnation: 1,
        },
        attempt: attempt.into(),
        era: 7,
        retention: RETENTION,
    }
}

fn claim_of(decision: Decision) -> RowChange {
    match decision {
        Decision::MakeClaim(change) => change,
        other => panic!("no claim: {other:?}"),
    }
}

fn versioned(change: &RowChange, version: u64) -> VersionedRow {
    VersionedRow {
        row: change.row.clone().expect("a row"),
        version,
    }
}

fn conflict(change: &RowChange, version: u64) -> ConflictRow {
    ConflictRow {
        key: change.key.clone(),
        current: versioned(change, version),
    }
}

/// A caller uses one key for two different notices by mistake. Without the check it
/// would take the first notice's answer for the second's.
#[googletest::test]
fn another_body_under_the_same_key_is_refused() {
    let first = claim_of(decide(
        None,
        &request("k", b"notice A", "1"),
        OwnerState::Alive,
    ));
    let decision = decide(
        Some(&versioned(&first, 1)),
        &request("k", b"notice B", "2"),
        OwnerState::Alive,
    );
    expect_that!(decision, eq(&Decision::FingerprintMismatch));
    expect_that!(
        claim_key("a", "bc", "d"),
        not(eq(&claim_key("ab", "c", "d")))
    );
}

/// The table client sends a transaction twice; the second copy conflicts with the
/// first. Taken for someone else's claim, the key would be in progress for good.
#[googletest::test]
fn a_write_that_conflicts_with_itself_is_held() {
    let now = Instant::now();
    let change = claim_of(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    let mut claim = Claim::new(change.clone(), now).expect("a claim");
    let outcome = WriteOutcome::Conflict(Some(versioned(&change, 4)));
    expect_that!(
        claim.on_claim_written(outcome.clone()),
        eq(&ClaimResult::Held)
    );
    expect_that!(claim.begin_dispatch(now), ok(anything()));
    expect_that!(claim.on_claim_written(outcome), eq(&ClaimResult::Ignored));
    expect_that!(claim.begin_dispatch(now), err(anything()));
}

/// An entry is paused between its claim and the dispatch for longer than claims are
/// kept, and the key has been claimed anew meanwhile. It must not dispatch any more.
#[googletest::test]
fn a_claim_held_too_long_is_not_dispatched() {
    let now = Instant::now();
    let change = claim_of(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    let mut claim = Claim::new(change, now).expect("a claim");
    claim.on_claim_written(WriteOutcome::Committed);
    expect_that!(MAX_CLAIM_AGE, lt(ERA_LENGTH));
    expect_that!(
        claim.begin_dispatch(now + MAX_CLAIM_AGE + Duration::from_secs(1)),
        err(anything())
    );
    expect_that!(claim.release(), some(anything()));
}

/// The object store gives back half of an answer. The caller must be told that the
/// answer is lost, never be given the half.
#[googletest::test]
fn a_truncated_answer_is_not_replayed() {
    let kept = StoredResponse::new("claim/x", 200, "text/plain", b"the whole answer");
    expect_that!(kept.verify(b"the whole answer"), ok(anything()));
    expect_that!(kept.verify(b"the whole"), err(anything()));
    expect_that!(kept.verify(b"the whole answeR"), err(anything()));
}

/// Two entries claim one key in the same instant, each in a batch with other callers'
/// claims. Only the loser's own caller may notice.
#[googletest::test]
fn one_lost_claim_does_not_fail_its_batch() {
    let now = Instant::now();
    let mut batcher = ClaimBatcher::new(3, Duration::from_millis(3));
    let claims: Vec<RowChange> = (0..3)
        .map(|i| {
            claim_of(decide(
                None,
                &request(&i.to_string(), b"", "1"),
                OwnerState::Alive,
            ))
        })
        .collect();
    expect_that!(batcher.push(claims[0].clone(), now), ok(none()));
    expect_that!(batcher.push(claims[0].clone(), now), err(eq(&KeyBusy)));
    expect_that!(batcher.due(now), none());
    expect_that!(batcher.push(claims[1].clone(), now), ok(none()));
    let batch = batcher
        .push(claims[2].clone(), now)
        .expect("no duplicate")
        .expect("full");
    let split = batch.split([conflict(&claims[1], 5)]);
    let lost: Vec<_> = split
        .conflicted
        .iter()
        .map(|(change, _)| &change.key)
        .collect();
    expect_that!(lost, elements_are![eq(&&claims[1].key)]);
    expect_that!(split.retry.len(), eq(1));
    expect_that!(split.retry[0].changes.len(), eq(2));
}

/// A row of a batch was deleted meanwhile; the conflict doesn't name absent rows.
/// Trying the same batch again would conflict for ever.
#[googletest::test]
fn a_conflict_with_an_absent_row_ends() {
    let mut change = claim_of(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    change.version = 9;
    let other = claim_of(decide(None, &request("l", b"", "1"), OwnerState::Alive));
    let split = Batch {
        changes: vec![change, other],
    }
    .split([]);
    expect_that!(split.conflicted, is_empty());
    expect_that!(split.retry.len(), eq(2));
    for batch in split.retry {
        let split = batch.split([]);
        expect_that!(split.retry, is_empty());
        expect_that!(split.conflicted, elements_are![anything()]);
    }
}

/// Nodes come and go and trust no clock. A key is kept for its time at least, counted
/// in eras that each node must have watched in full, and a running one for longer.
#[googletest::test]
fn a_key_is_kept_for_its_time_at_least() {
    let start = Instant::now();
    let mut clock = EraClock::default();
    clock.observe(7, 3, start);
    expect_that!(
        clock.advance(start + ERA_LENGTH - Duration::from_millis(1)),
        none()
    );
    clock.observe(7, 3, start + ERA_LENGTH / 2);
    let change = clock.advance(start + ERA_LENGTH);
    expect_that!(change, some(eq(EraChange { version: 3, era: 8 })));
    let req = request("k", b"", "1");
    let there = versioned(&claim_of(decide(None, &req, OwnerState::Alive)), 1);
    let eras = (7..).take_while(|era| {
        clock.observe(*era, *era, start);
        clock
            .sweep(&req.key, &there, OwnerState::LeaseExpired)
            .is_none()
    });
    let whole = eras.count() as u32 - 1;
    expect_that!(ERA_LENGTH * whole, ge(RETENTION));
    clock.observe(1000, 1000, start);
    expect_that!(clock.sweep(&req.key, &there, OwnerState::Alive), none());
}

/// The table service is down for an hour. Calls that must run at most once are refused
/// at once with a time to come back, not after a time-out each; one a second tries.
#[googletest::test]
fn an_outage_refuses_at_once() {
    let mut now = Instant::now();
    let mut breaker = StoreCircuitBreaker::new(1);
    let (mut tried, mut refused) = (0, 0);
    for _ in 0..36_000 {
        now += Duration::from_millis(100);
        match breaker.admit(now) {
            Ok(()) => {
                tried += 1;
                breaker.on_failure(now);
            }
            Err(down) => {
                refused += 1;
                expect_that!(down.retry_after, ge(Duration::from_secs(5)));
            }
        }
    }
    expect_that!(tried, le(3605));
    expect_that!(tried + refused, eq(36_000));
    breaker.on_response();
    expect_that!(breaker.admit(now), ok(anything()));
}

/// Another version of the program, or a broken write, left a row that can't be read.
#[googletest::test]
fn rows_survive_the_round_trip() {
    let row = claim_of(decide(None, &request("k", b"", "1"), OwnerState::Alive)).row;
    let row = row.expect("a row");
    let text = row.encode().expect("JSON");
    expect_that!(ClaimRow::decode(&text), ok(eq(&row)));
    expect_that!(ClaimRow::decode("{}"), err(anything()));
    insta::assert_snapshot!(text);
}
