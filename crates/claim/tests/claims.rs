//! Tests of claims, batches, retention and the circuit breaker.

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

fn claim_change(decision: Decision) -> RowChange {
    match decision {
        Decision::MakeClaim(change) => change,
        other => panic!("expected MakeClaim, got {other:?}"),
    }
}

fn versioned(change: &RowChange, version: u64) -> VersionedRow {
    VersionedRow {
        row: change.row.clone().expect("change writes a row"),
        version,
    }
}

fn conflict(change: &RowChange, version: u64) -> ConflictRow {
    ConflictRow {
        key: change.key.clone(),
        current: versioned(change, version),
    }
}

/// A caller uses one key for two different requests by mistake. Without the check it
/// would get the first request's response to the second.
#[googletest::test]
fn different_request_under_the_same_key_is_rejected() {
    let first = claim_change(decide(
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

/// The table client sends a transaction twice, and the second copy conflicts with the
/// first. Treated as another owner's claim, the key would stay in progress forever.
#[googletest::test]
fn claim_write_that_conflicts_with_itself_is_held() {
    let now = Instant::now();
    let change = claim_change(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    let mut claim = Claim::new(change.clone(), now).expect("change writes a claim");
    let outcome = WriteOutcome::Conflict(Some(versioned(&change, 4)));
    expect_that!(
        claim.on_claim_written(outcome.clone()),
        eq(&ClaimResult::Held)
    );
    expect_that!(claim.begin_dispatch(now), ok(anything()));
    expect_that!(claim.on_claim_written(outcome), eq(&ClaimResult::Ignored));
    expect_that!(claim.begin_dispatch(now), err(anything()));
}

/// An entry is paused between claim and dispatch for longer than the retention, and the
/// key has been claimed again meanwhile. The entry must not dispatch.
#[googletest::test]
fn claim_past_its_maximum_age_is_not_dispatched() {
    let now = Instant::now();
    let change = claim_change(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    let mut claim = Claim::new(change, now).expect("change writes a claim");
    claim.on_claim_written(WriteOutcome::Committed);
    expect_that!(MAX_CLAIM_AGE, lt(ERA_LENGTH));
    expect_that!(
        claim.begin_dispatch(now + MAX_CLAIM_AGE + Duration::from_secs(1)),
        err(anything())
    );
    expect_that!(claim.release(), some(anything()));
}

/// The object store returns a truncated response. Verification must fail, so that the
/// caller gets an error and never the partial body.
#[googletest::test]
fn truncated_response_is_not_replayed() {
    let stored = StoredResponse::new("claim/x", 200, "text/plain", b"the whole answer");
    expect_that!(stored.verify(b"the whole answer"), ok(anything()));
    expect_that!(stored.verify(b"the whole"), err(anything()));
    expect_that!(stored.verify(b"the whole answeR"), err(anything()));
}

/// Two entries claim one key concurrently, each in a batch with other callers' claims.
/// Only the lost claim may fail; the rest of its batch is retried.
#[googletest::test]
fn one_lost_claim_does_not_fail_its_batch() {
    let now = Instant::now();
    let mut batcher = ClaimBatcher::new(3, Duration::from_millis(3));
    let claims: Vec<RowChange> = (0..3)
        .map(|i| {
            claim_change(decide(
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

/// A row of a batch was deleted concurrently, and the conflict doesn't list absent rows.
/// Retrying the same batch would conflict forever.
#[googletest::test]
fn conflict_with_an_absent_row_terminates() {
    let mut change = claim_change(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    change.version = 9;
    let other = claim_change(decide(None, &request("l", b"", "1"), OwnerState::Alive));
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

/// A claim is retained for at least its retention time, counted in eras that a node must
/// have observed in full, and for longer while its owner may be running it.
#[googletest::test]
fn claims_are_retained_for_at_least_the_retention_time() {
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
    let current = versioned(&claim_change(decide(None, &req, OwnerState::Alive)), 1);
    let eras = (7..).take_while(|era| {
        clock.observe(*era, *era, start);
        clock
            .sweep(&req.key, &current, OwnerState::LeaseExpired)
            .is_none()
    });
    let whole_eras = eras.count() as u32 - 1;
    expect_that!(ERA_LENGTH * whole_eras, ge(RETENTION));
    clock.observe(1000, 1000, start);
    expect_that!(clock.sweep(&req.key, &current, OwnerState::Alive), none());
}

/// The table service is down for an hour. At-most-once calls are rejected at once with a
/// retry delay instead of each waiting for a timeout; one call a second is a probe.
#[googletest::test]
fn outage_rejects_at_once() {
    let mut now = Instant::now();
    let mut breaker = StoreCircuitBreaker::new(1);
    let (mut admitted, mut rejected) = (0, 0);
    for _ in 0..36_000 {
        now += Duration::from_millis(100);
        match breaker.admit(now) {
            Ok(()) => {
                admitted += 1;
                breaker.on_failure(now);
            }
            Err(unavailable) => {
                rejected += 1;
                expect_that!(unavailable.retry_after, ge(Duration::from_secs(5)));
            }
        }
    }
    expect_that!(admitted, le(3605));
    expect_that!(admitted + rejected, eq(36_000));
    breaker.on_response();
    expect_that!(breaker.admit(now), ok(anything()));
}

/// Rows keep their stored format, and a row that another version or a failed write left
/// undecodable is an error.
#[googletest::test]
fn rows_survive_the_round_trip() {
    let row = claim_change(decide(None, &request("k", b"", "1"), OwnerState::Alive)).row;
    let row = row.expect("change writes a row");
    let text = row.encode().expect("JSON");
    expect_that!(ClaimRow::decode(&text), ok(eq(&row)));
    expect_that!(ClaimRow::decode("{}"), err(anything()));
    insta::assert_snapshot!(text);
}

/// Guards against a final state that is never written because another change of the row was about to
/// be: the key would stay in progress for as long as its entry lives.
#[googletest::test]
fn final_state_that_found_its_row_busy_is_written_again() {
    let now = Instant::now();
    let change = claim_change(decide(None, &request("k", b"", "1"), OwnerState::Alive));
    let mut claim = Claim::new(change, now).expect("change writes a claim");
    claim.on_claim_written(WriteOutcome::Committed);
    expect_that!(claim.begin_dispatch(now), ok(anything()));
    let last = claim.on_dispatched(DispatchOutcome::Unknown);
    expect_that!(last, some(anything()));
    expect_that!(claim.on_written(WriteOutcome::Busy), eq(&last));
    expect_that!(claim.on_written(WriteOutcome::Committed), none());
}
