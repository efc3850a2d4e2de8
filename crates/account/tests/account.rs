//! The account of bytes: what fits, who is evicted, and when bytes come back.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_account::{
    AccountFull, BodyBuffer, ByteAccount, HeldKind, ReadError, ResponseBuffer, read_body,
};
use googletest::prelude::*;
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};
use proptest::prelude::*;

const MIB: usize = 1 << 20;
/// Longer than a client may be without progress before it counts as stalled.
const STALL: Duration = Duration::from_millis(250);

fn body(account: &ByteAccount, announced: usize) -> std::result::Result<BodyBuffer, ReadError> {
    BodyBuffer::new(account, Some(announced as u64), announced)
}

#[gtest]
fn an_announced_body_is_charged_at_once_and_until_its_last_clone_is_dropped() {
    let account = ByteAccount::new(8 * MIB);
    let buffer = body(&account, MIB).expect("it fits");
    expect_that!(account.usage().total(), eq(MIB));
    for _ in 0..256 {
        buffer.push(&[7; 4096]).expect("it was charged");
    }
    let bytes = buffer.finish().expect("it wasn't evicted");
    expect_that!(bytes.len(), eq(MIB));
    expect_true!(bytes.iter().all(|b| *b == 7));
    let clone = bytes.clone();
    drop(bytes);
    expect_that!(account.usage().total(), eq(MIB));
    drop(clone);
    expect_that!(account.usage().total(), eq(0));
}

#[gtest]
fn a_body_without_a_length_is_charged_by_what_it_holds() {
    let account = ByteAccount::new(8 * MIB);
    let buffer = BodyBuffer::new(&account, None, MIB).expect("it fits");
    for _ in 0..100_000 {
        buffer.push(b"x").expect("it fits");
    }
    expect_that!(account.usage().total(), eq(128 << 10));
    let bytes = buffer.finish().expect("it wasn't evicted");
    expect_that!(bytes.len(), eq(100_000));
    expect_that!(account.usage().total(), le(104 << 10));
}

#[gtest]
fn a_body_that_is_too_long_is_refused_before_it_is_read() {
    let account = ByteAccount::new(8 * MIB);
    let refused = BodyBuffer::new(&account, Some(2 << 30), MIB).map(drop);
    expect_that!(refused, err(eq(ReadError::TooLong)));
    let buffer = BodyBuffer::new(&account, None, 10).expect("it fits");
    expect_that!(buffer.push(&[0; 11]), err(eq(ReadError::TooLong)));
    drop(buffer);
    expect_that!(account.usage().total(), eq(0));
}

/// Guards against bodies that stall and hold the whole account.
#[gtest]
fn a_stalled_body_gives_way_to_another_one() {
    let account = ByteAccount::new(4 * MIB);
    let stalled = body(&account, 2 * MIB).expect("it fits");
    std::thread::sleep(STALL);
    let next = body(&account, 2 * MIB);
    expect_that!(next.is_ok(), eq(true));
    expect_that!(stalled.push(b"x"), err(eq(ReadError::OutOfMemory)));
    expect_that!(stalled.finish(), err(eq(&ReadError::OutOfMemory)));
    expect_that!(account.usage().evicted_bodies, eq(1));
    expect_that!(account.usage().total(), eq(2 * MIB));
}

/// Guards against large bodies that evict each other, so that none is ever complete.
#[gtest]
fn a_body_that_makes_progress_is_not_evicted_for_a_large_one() {
    let account = ByteAccount::new(4 * MIB);
    let first = body(&account, 2 * MIB).expect("it fits");
    let second = body(&account, 2 * MIB).map(drop);
    expect_that!(second, err(eq(ReadError::OutOfMemory)));
    expect_that!(first.push(&[0; 4096]), ok(eq(())));
}

#[gtest]
fn small_bodies_have_a_part_of_their_own() {
    let account = ByteAccount::new(4 * MIB);
    let whole = body(&account, 3 * MIB).expect("it fits");
    whole.push(&vec![0; 3 * MIB]).expect("it was charged");
    let held = whole.finish().expect("it wasn't evicted");
    let large = body(&account, MIB).map(drop);
    expect_that!(large, err(eq(ReadError::OutOfMemory)));
    let small: Vec<_> = (0..16).map(|_| body(&account, 64 << 10)).collect();
    expect_that!(small.iter().filter(|b| b.is_ok()).count(), eq(16));
    drop(held);
}

#[gtest]
fn a_small_body_may_evict_a_large_one_that_has_not_stalled() {
    let account = ByteAccount::new(MIB);
    let bodies: Vec<_> = (0..64).map(|_| body(&account, 16 << 10)).collect();
    expect_that!(bodies.iter().filter(|b| b.is_ok()).count(), eq(64));
    expect_that!(body(&account, 4 << 10).is_ok(), eq(true));
    expect_that!(account.usage().total(), le(MIB));
}

#[gtest]
#[tokio::test]
async fn a_request_whose_body_is_evicted_is_told_at_once() {
    let account = ByteAccount::new(4 * MIB);
    let of_account = account.clone();
    let reading = tokio::spawn(async move {
        let deadline = Instant::now() + Duration::from_secs(60);
        read_body(&mut Stalled, &of_account, MIB, deadline).await
    });
    tokio::time::sleep(STALL).await;
    let held = account.charge(HeldKind::InProgress, 3 * MIB).await;
    expect_that!(held.is_ok(), eq(true));
    let more = account.charge(HeldKind::InProgress, 2 * MIB).await;
    expect_that!(more.map(drop), err(eq(AccountFull)));
    let read = reading.await.expect("no panic");
    expect_that!(read, err(eq(&ReadError::OutOfMemory)));
}

/// A body that never comes.
struct Stalled;

impl hyper::body::Body for Stalled {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Self::Error>>> {
        Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(MIB as u64)
    }
}

#[gtest]
#[tokio::test]
async fn a_response_waits_for_room() {
    let account = ByteAccount::new(4 * MIB);
    let held = account.try_charge(HeldKind::Response, 3 * MIB);
    let held = held.expect("it fits");
    let of_account = account.clone();
    let waiting = tokio::spawn(async move {
        let buffer = ResponseBuffer::new(&of_account, Some(MIB as u64), MIB).await;
        let mut buffer = buffer.expect("it isn't too long");
        buffer.push(&[1; 100]).await.expect("it was charged");
        buffer.finish()
    });
    tokio::time::sleep(STALL).await;
    expect_that!(waiting.is_finished(), eq(false));
    drop(held);
    let bytes = waiting.await.expect("no panic");
    expect_that!(bytes.len(), eq(100));
    expect_that!(account.usage().total(), eq(4096));
}

#[gtest]
#[tokio::test]
async fn a_whole_body_is_read() {
    let account = ByteAccount::new(4 * MIB);
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut sent = Full::new(Bytes::from(vec![3; 100_000]));
    let read = read_body(&mut sent, &account, MIB, deadline).await;
    expect_that!(read, ok(eq(&Bytes::from(vec![3; 100_000]))));
}

#[derive(Clone, Debug)]
enum Step {
    Announce(usize),
    Push(usize, usize),
    Finish(usize),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..200_000_usize).prop_map(Step::Announce),
        (0..16_usize, 1..50_000_usize).prop_map(|(n, len)| Step::Push(n, len)),
        (0..16_usize).prop_map(Step::Finish),
        (0..16_usize).prop_map(Step::Drop),
    ]
}

proptest! {
    /// Guards against bytes that are never given back, and against holding more than the limit.
    #[test]
    fn the_account_holds_no_more_than_its_limit_and_is_empty_at_the_end(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let account = ByteAccount::new(MIB);
        let mut bodies: Vec<BodyBuffer> = Vec::new();
        let mut whole: Vec<Bytes> = Vec::new();
        for step in steps {
            match step {
                Step::Announce(len) => bodies.extend(BodyBuffer::new(&account, Some(len as u64), 200_000)),
                Step::Push(n, len) if n < bodies.len() => drop(bodies[n].push(&vec![0; len])),
                Step::Finish(n) if n < bodies.len() => whole.extend(bodies.swap_remove(n).finish()),
                Step::Drop(n) if n < bodies.len() => drop(bodies.swap_remove(n)),
                Step::Drop(n) if n < whole.len() => drop(whole.swap_remove(n)),
                _ => {}
            }
            let held: usize = whole.iter().map(Bytes::len).sum();
            let usage = account.usage();
            prop_assert!(usage.total() <= MIB);
            prop_assert!(usage.total() >= held);
        }
        drop((bodies, whole));
        prop_assert_eq!(account.usage().total(), 0);
    }
}
