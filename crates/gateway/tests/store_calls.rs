//! Calls of a store whose answers come late.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassmill_gateway::{AnswerHead, SourceError, StoreCalls};
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

const SUBJECT: &str = "hosts";

/// A store that answers each call after `delay` with the call's number.
#[derive(Clone)]
struct SlowStore {
    calls: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
    delay: Duration,
}

/// A call that runs.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlowStore {
    fn new(delay: Duration) -> SlowStore {
        SlowStore {
            calls: Arc::default(),
            running: Arc::default(),
            delay,
        }
    }

    async fn answer(self, head: AnswerHead) -> std::result::Result<usize, SourceError> {
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(Arc::clone(&self.running));
        sleep(self.delay).await;
        head.record();
        Ok(number)
    }
}

/// Reads until there is an answer. Returns it with the number of attempts.
async fn read(calls: &StoreCalls<usize>, store: &SlowStore) -> (usize, usize) {
    for attempt in 1..100 {
        let store = store.clone();
        let answer = calls.read(SUBJECT.into(), Duration::ZERO, |head| store.answer(head));
        if let Ok(answer) = answer.await {
            return (answer, attempt);
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no answer to any attempt");
}

/// Guards against giving up each attempt after the same time.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_comes_after_its_timeout_serves_a_later_attempt() {
    for seconds in [1, 3] {
        let store = SlowStore::new(Duration::from_millis(seconds * 1000 + 500));
        let calls = StoreCalls::default();
        let began = Instant::now();
        let (answer, attempts) = read(&calls, &store).await;
        expect_that!(answer, eq(0), "{seconds} s");
        expect_that!(
            began.elapsed(),
            lt(store.delay + Duration::from_millis(300))
        );
        expect_that!(attempts, le(6), "{seconds} s");
        // The store is known to be slow now.
        let (_, attempts) = read(&calls, &store).await;
        expect_that!(attempts, eq(1), "{seconds} s");
    }
}

/// Guards against calls that pile up while the store is away, and against waiting for them once it is
/// back.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_store_that_is_back_is_noticed_while_earlier_calls_hang() {
    let hanging = SlowStore::new(Duration::from_secs(3600));
    let calls = StoreCalls::default();
    for _ in 0..8 {
        let store = hanging.clone();
        let read = calls.read(SUBJECT.into(), Duration::ZERO, |head| store.answer(head));
        expect_that!(read.await, err(anything()));
        expect_that!(hanging.running.load(Ordering::Relaxed), le(6));
    }
    let began = Instant::now();
    let store = SlowStore::new(Duration::from_millis(10));
    let (_, attempts) = read(&calls, &store).await;
    expect_that!(attempts, eq(1));
    expect_that!(began.elapsed(), lt(Duration::from_millis(300)));
    sleep(Duration::from_millis(50)).await;
    expect_that!(hanging.running.load(Ordering::Relaxed), eq(0));
}

/// Guards against a write that is repeated for ever because its answer is never awaited.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn writes_wait_longer_after_each_timeout() {
    let store = SlowStore::new(Duration::from_secs(3));
    let calls = StoreCalls::default();
    let mut attempts = 1;
    while calls
        .write(store.clone().answer(AnswerHead::default()))
        .await
        .is_err()
    {
        attempts += 1;
    }
    expect_that!(attempts, eq(3));
}

/// Guards against cutting off an answer that is being read.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_has_begun_is_awaited() {
    let calls: StoreCalls<()> = StoreCalls::default();
    let answer = calls.read(SUBJECT.into(), Duration::ZERO, |head| async move {
        head.record();
        sleep(Duration::from_secs(3)).await;
        Ok(())
    });
    expect_that!(answer.await, ok(anything()));
}

/// Guards against asking again and again for what is too large, where the answer also comes late.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_comes_late_and_is_too_large_serves_a_later_attempt() {
    let calls: StoreCalls<()> = StoreCalls::default();
    let attempt = || {
        calls.read(SUBJECT.into(), Duration::ZERO, |head| async move {
            sleep(Duration::from_secs(2)).await;
            head.record();
            Err(SourceError::TooLarge("4 MiB".to_owned()))
        })
    };
    expect_that!(attempt().await, err(eq(&SourceError::NoAnswer)));
    let second = attempt().await;
    expect_that!(second, err(matches_pattern!(SourceError::TooLarge(_))));
}
