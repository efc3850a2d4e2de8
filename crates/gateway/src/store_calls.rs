//! Calls of the store, whose answers may come late.
//!
//! A store that is merely slow must not look like one that is away: if each attempt was given up
//! after the same time, none would ever succeed. So a read that isn't answered in time goes on, and
//! the next attempt at the same read takes whichever answer comes first.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, OnceLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;

use crate::heads::locked;
use crate::ports::SourceError;

/// Shortest time after which a call counts as failed. Slow answers of a sound store take some
/// 200 ms; a connection that went silent for good shows in no other way.
pub(crate) const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Longest time after which a call counts as failed.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A call may take this many times longer than the last one.
const SLOWDOWN: u32 = 2;
/// Part of the timeout that remains after an answer that came much sooner.
const DECAY: f64 = 0.75;
/// How long a read goes on after which a failure was reported.
const MAX_READ_TIME: Duration = Duration::from_secs(60);
/// How often it is checked whether a response that has begun still arrives.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Reads of the same that go on at once. Beyond, each further attempt replaces the last one, since
/// the earliest is the next to be answered.
const MAX_READS: usize = 6;

/// Timeout of calls, by how long the store took lately.
#[derive(Debug)]
struct CallTimeout(Duration);

impl CallTimeout {
    fn record_answer(&mut self, took: Duration) {
        let timeout = (took * SLOWDOWN).max(self.0.mul_f64(DECAY));
        self.0 = timeout.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
    }

    fn record_timeout(&mut self) {
        self.0 = (self.0 * SLOWDOWN).min(MAX_CALL_TIMEOUT);
    }
}

/// When the head of a call's answer came. Cheap to clone; all clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead(Arc<OnceLock<Instant>>);

impl AnswerHead {
    /// Records that it has come.
    pub fn record(&self) {
        self.0.get_or_init(Instant::now);
    }

    fn arrival(&self) -> Option<Instant> {
        self.0.get().copied()
    }
}

/// A read that goes on until it is answered or dropped.
#[derive(Debug)]
struct RunningRead<A> {
    since: Instant,
    /// How long the store was asked to wait for changes.
    wait: Duration,
    head: AnswerHead,
    task: JoinHandle<Result<A, SourceError>>,
}

impl<A> RunningRead<A> {
    /// How long the store took to answer.
    fn latency(&self) -> Duration {
        let answered = self.head.arrival().unwrap_or_else(Instant::now);
        answered
            .duration_since(self.since)
            .saturating_sub(self.wait)
    }
}

impl<A> Drop for RunningRead<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type RunningReads<A> = SmallVec<[RunningRead<A>; 2]>;

#[derive(Debug)]
struct State<A> {
    read_timeout: CallTimeout,
    write_timeout: CallTimeout,
    /// Reads that were not answered in time, by what they read.
    late: BTreeMap<SmolStr, RunningReads<A>>,
}

/// The calls of one store, with answers of type `A`. Cheap to clone; all clones share the calls.
#[derive(Debug)]
pub struct StoreCalls<A>(Arc<Mutex<State<A>>>);

impl<A> Clone for StoreCalls<A> {
    fn clone(&self) -> StoreCalls<A> {
        StoreCalls(Arc::clone(&self.0))
    }
}

impl<A> Default for StoreCalls<A> {
    fn default() -> StoreCalls<A> {
        StoreCalls(Arc::new(Mutex::new(State {
            read_timeout: CallTimeout(MIN_CALL_TIMEOUT),
            write_timeout: CallTimeout(MIN_CALL_TIMEOUT),
            late: BTreeMap::new(),
        })))
    }
}

impl<A: Send + 'static> StoreCalls<A> {
    /// Does a read that the store may answer after `wait`. `subject` is the same for attempts of
    /// which any answer will do. Once the head of its answer has come, `call` has to bound the rest.
    ///
    /// # Errors
    /// Those of the call, and [`SourceError::NoAnswer`] if none came in time. The call goes
    /// on then.
    pub async fn read<F>(
        &self,
        subject: SmolStr,
        wait: Duration,
        call: impl FnOnce(AnswerHead) -> F,
    ) -> Result<A, SourceError>
    where
        F: Future<Output = Result<A, SourceError>> + Send + 'static,
    {
        let since = Instant::now();
        let (mut reads, timeout) = {
            let mut state = locked(&self.0);
            state.remove_abandoned(since);
            let reads = state.late.remove(&subject).unwrap_or_default();
            (reads, state.read_timeout.0)
        };
        reads.truncate(MAX_READS - 1);
        let head = AnswerHead::default();
        reads.push(RunningRead {
            since,
            wait,
            task: tokio::spawn(call(head.clone())),
            head,
        });
        let mut answered = first_answer(&mut reads, since, wait + timeout).await;
        while answered.is_err() && reads.iter().any(|r| r.head.arrival().is_some()) {
            answered = first_answer(&mut reads, since, PROGRESS_INTERVAL).await;
        }
        let mut state = locked(&self.0);
        match answered {
            Ok((latency, ended)) if is_answer(&ended) => {
                state.read_timeout.record_answer(latency);
                ended
            }
            Ok((_, ended)) => {
                state.keep(subject, reads);
                ended
            }
            Err(_) => {
                state.keep(subject, reads);
                Err(SourceError::NoAnswer)
            }
        }
    }

    /// Does a write. One that isn't answered in time may have been done.
    ///
    /// # Errors
    /// Those of the call, and [`SourceError::NoAnswer`] if none came in time.
    pub async fn write(
        &self,
        call: impl Future<Output = Result<A, SourceError>>,
    ) -> Result<A, SourceError> {
        let since = Instant::now();
        let timeout = {
            let state = locked(&self.0);
            state.write_timeout.0.max(state.read_timeout.0)
        };
        let answered = tokio::time::timeout(timeout, call).await;
        let mut state = locked(&self.0);
        match answered {
            Ok(Ok(answer)) => {
                state.write_timeout.record_answer(since.elapsed());
                Ok(answer)
            }
            Ok(Err(err)) => Err(err),
            Err(_) => {
                state.write_timeout.record_timeout();
                Err(SourceError::NoAnswer)
            }
        }
    }
}

/// Whether the store answered, also with what can't be read.
fn is_answer<A>(ended: &Result<A, SourceError>) -> bool {
    !matches!(
        ended,
        Err(SourceError::Unreachable(_) | SourceError::NoAnswer)
    )
}

impl<A> State<A> {
    fn keep(&mut self, subject: SmolStr, reads: RunningReads<A>) {
        if !reads.is_empty() {
            self.late.insert(subject, reads);
        }
    }

    /// Ends reads that were never taken up again, and those that take too long.
    fn remove_abandoned(&mut self, now: Instant) {
        self.late.retain(|_, reads| {
            reads.retain(|read| now.saturating_duration_since(read.since) < MAX_READ_TIME);
            !reads.is_empty()
        });
    }
}

async fn first_answer<A>(
    reads: &mut RunningReads<A>,
    newest: Instant,
    time: Duration,
) -> Result<(Duration, Result<A, SourceError>), Elapsed> {
    tokio::time::timeout(time, poll_fn(|cx| poll_first(reads, newest, cx))).await
}

/// The first answer, with the time that the store took, or the error of the read that began at
/// `newest`. Removes reads that have ended.
fn poll_first<A>(
    reads: &mut RunningReads<A>,
    newest: Instant,
    cx: &mut Context<'_>,
) -> Poll<(Duration, Result<A, SourceError>)> {
    let mut at = 0;
    while let Some(read) = reads.get_mut(at) {
        let Poll::Ready(ended) = Pin::new(&mut read.task).poll(cx) else {
            at += 1;
            continue;
        };
        let read = reads.remove(at);
        // A task that was stopped with the runtime gave no answer.
        let ended = ended.unwrap_or_else(|_| Err(SourceError::NoAnswer));
        if is_answer(&ended) || read.since == newest {
            return Poll::Ready((read.latency(), ended));
        }
    }
    Poll::Pending
}
