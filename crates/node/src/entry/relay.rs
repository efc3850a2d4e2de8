//! Token streams: relayed token by token, and taken up elsewhere when they break.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use eelgrassmill_account::{ByteAccount, ResponseBuffer, ResponseWindow};
use eelgrassmill_base::{Outcome, Tokens};
use eelgrassmill_engine::{BodyError, StreamEvent, TokenEvent, TokenStream};
use eelgrassmill_route::{LatencySample, may_retry};
use eelgrassmill_timeline::EventKind;
use http::{HeaderValue, Response, header};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{mpsc, oneshot};

use super::answer::MAX_ANSWER;
use super::attempt::{self, Attempt, NotStarted, Started};
use super::body::{AnswerBody, Broken};
use super::call::{Call, Failure};
use super::ending::Ending;
use super::trial::{self, Run};
use crate::metrics::Promise;
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::shard::{Avoided, Place, Shard};

/// Tokens that wait for a slow caller before reading from the engine stops.
const BACKLOG: usize = 64;
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const DONE: &[u8] = b"data: [DONE]\n\n";
/// How often a stalled stream is reported as slow.
const STALL_REPORT: Duration = Duration::from_secs(1);

/// Where the tokens go.
pub(crate) struct Audience {
    tx: mpsc::Sender<Result<Bytes, Broken>>,
    window: ResponseWindow,
    /// The whole stream so far, for calls whose answer is kept for repeats.
    kept: Option<ResponseBuffer>,
}

/// A stream on its way from an engine to a caller.
pub(crate) struct Relay {
    core: Arc<Core>,
    shard: Arc<Shard>,
    call: Call,
    /// `None` only while the stream is taken up elsewhere.
    place: Option<Place>,
    /// `None` only while the stream is taken up elsewhere.
    stream: Option<TokenStream>,
    /// Told when the stream is to give way to a request with a better claim.
    way: Option<oneshot::Receiver<()>>,
    run: Option<Run>,
    group: SmolStr,
    /// Tokens handed on so far.
    tokens: Tokens,
    last: Instant,
    attempt: u32,
}

/// How a relayed stream ended.
pub(crate) enum Ended {
    /// Whole; the bytes where they were kept.
    Whole(Option<Bytes>),
    /// It broke off, and what the caller has is a part that is seen as one.
    Broken(Failure),
    /// The caller has gone.
    CallerLeft,
}

impl Audience {
    /// An audience and the body that its tokens come out of.
    pub(crate) fn new(account: &ByteAccount, keep: bool) -> (Audience, AnswerBody) {
        let (tx, rx) = mpsc::channel(BACKLOG);
        let audience = Audience {
            tx,
            window: ResponseWindow::new(account),
            kept: keep.then(|| ResponseBuffer::empty(account, MAX_ANSWER)),
        };
        (audience, AnswerBody::Stream(rx))
    }

    /// Hands bytes on; false when nobody wants them any more.
    ///
    /// A call whose answer is kept runs to its end though its caller has left:
    /// the caller asks again under the same key, and the call can't run twice.
    async fn push(&mut self, bytes: Bytes) -> bool {
        if let Some(kept) = &mut self.kept
            && kept.push(&bytes).await.is_err()
        {
            // Too long to be kept: a repeat gets the outcome `unknown`.
            self.kept = None;
        }
        if self.tx.is_closed() {
            return self.kept.is_some();
        }
        let bytes = tokio::select! {
            bytes = self.window.hold(bytes) => bytes,
            () = self.tx.closed() => return self.kept.is_some(),
        };
        let taken = self.tx.send(Ok(bytes)).await.is_ok();
        taken || self.kept.is_some()
    }
}

/// The head of a streamed answer.
pub(crate) fn response(body: AnswerBody) -> Response<AnswerBody> {
    let mut resp = Response::new(body);
    let headers = resp.headers_mut();
    headers.insert(header::CONTENT_TYPE, EVENT_STREAM);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    resp
}

impl Relay {
    /// Waits for the first event, so that a stream that breaks before it can
    /// still be answered like any failed attempt.
    pub(crate) async fn begin(
        core: Arc<Core>,
        shard: Arc<Shard>,
        call: Call,
        started: Started,
        attempt: u32,
    ) -> Result<(Relay, StreamEvent), Failure> {
        let mut relay = Relay {
            core,
            shard,
            group: started.place.group().unwrap_or_default(),
            way: way(&call, &started),
            call,
            place: Some(started.place),
            stream: Some(TokenStream::new(started.response)),
            run: started.run,
            tokens: 0,
            last: started.sent,
            attempt,
        };
        match relay.next().await {
            Ok(event) => Ok((relay, event)),
            Err(failure) => {
                relay.ask_whether_it_died(&failure).await;
                Err(failure)
            }
        }
    }

    async fn ask_whether_it_died(&self, failure: &Failure) {
        if let (true, Some(run)) = (failure.broke, &self.run) {
            run.broke(&self.call).await;
        }
    }

    /// Relays to the end, the caller's leaving, or a break that can't be mended; notes which.
    pub(crate) async fn run(self, first: StreamEvent, audience: Audience) -> Ended {
        let core = self.core.clone();
        let ending = Ending::of(&self.call);
        let tx = audience.tx.clone();
        let ended = tokio::select! {
            ended = self.relay(first, audience) => ended,
            () = core.until_end() => Ended::Broken(Failure::unknown(ending.cut())),
        };
        ending.note_stream(&core, &ended);
        if let Ended::Broken(_) = ended {
            // Without it the answer would end like a whole one.
            let _ = tx.send(Err(Broken)).await;
        }
        ended
    }

    async fn relay(mut self, first: StreamEvent, mut audience: Audience) -> Ended {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(StreamEvent::Token(token)) => {
                    if !audience.push(frame(&token)).await {
                        return Ended::CallerLeft;
                    }
                }
                Ok(StreamEvent::Done) => return self.finish(audience).await,
                Err(failure) => match self.resume(failure).await {
                    Ok(()) => {}
                    Err(failure) => return Ended::Broken(failure),
                },
            }
            next = self.next_or_give_way().await;
        }
    }

    /// The next event, unless the stream is asked to give way first.
    async fn next_or_give_way(&mut self) -> Result<StreamEvent, Failure> {
        let Some(mut way) = self.way.take() else {
            return self.next().await;
        };
        let asked = tokio::select! {
            biased;
            asked = &mut way => asked.is_ok(),
            next = self.next() => {
                self.way = Some(way);
                return next;
            }
        };
        if asked {
            self.give_way().await?;
        }
        self.next().await
    }

    /// Frees the slot, waits for another turn, and takes the stream up there.
    ///
    /// The engine stops when its connection closes, and keeps the prefix.
    async fn give_way(&mut self) -> Result<(), Failure> {
        let Some(mut place) = self.place.take() else {
            return Ok(());
        };
        self.stream = None;
        self.run = None;
        self.core.journal.note(EventKind::RequestRetried {
            request: self.call.id.clone(),
            attempt: self.attempt,
            reason: "gave way to a request with a better claim".into(),
        });
        place.give_way(self.used(), self.call.prefixes.clone(), Instant::now());
        self.attempt += 1;
        let attempt = Attempt {
            number: self.attempt,
            avoid: Avoided::new(),
            suspect: false,
            resume_from: self.tokens,
        };
        let started = attempt::wait_and_begin(&self.core, &self.call, &attempt, place).await;
        match started {
            Ok(started) => self.go_on(started),
            Err(NotStarted::Refused(problem)) => Err(Failure::unknown(problem.detail())),
            Err(NotStarted::Failed(failure, _)) => Err(failure),
        }
    }

    /// Goes on with a stream that was taken up.
    fn go_on(&mut self, started: Started) -> Result<(), Failure> {
        // An engine that can't take a stream up starts from its beginning; the
        // caller would get the first tokens twice and take them for the answer.
        if !started.resumes_from(self.tokens) {
            return Err(Failure::unknown("the engine can't take the stream up"));
        }
        self.run = started.run;
        self.group = started.place.group().unwrap_or_default();
        self.place = Some(started.place);
        self.stream = Some(TokenStream::new(started.response));
        self.last = Instant::now();
        Ok(())
    }

    async fn finish(mut self, mut audience: Audience) -> Ended {
        self.note_used();
        if let Some(run) = &self.run {
            run.survived();
        }
        if !audience.push(Bytes::from_static(DONE)).await {
            return Ended::CallerLeft;
        }
        Ended::Whole(audience.kept.map(ResponseBuffer::finish))
    }

    fn used(&self) -> Tokens {
        self.call.prompt_tokens() + self.tokens
    }

    fn note_used(&mut self) {
        let used = self.used();
        if let Some(place) = &mut self.place {
            place.used(used);
        }
    }

    fn observe(&self, sample: LatencySample, now: Instant) {
        if let Some(place) = &self.place {
            place.observe(sample, now);
        }
    }

    /// The next event, with its time measured.
    async fn next(&mut self) -> Result<StreamEvent, Failure> {
        loop {
            let now = Instant::now();
            let left = self.call.left(now);
            if left.is_zero() {
                return Err(Failure::unknown("no whole answer within the deadline"));
            }
            let wait = left.min(STALL_REPORT);
            let Some(stream) = &mut self.stream else {
                return Err(Failure::unknown("the stream was given up"));
            };
            match tokio::time::timeout(wait, stream.next()).await {
                Ok(Ok(event)) => {
                    if let StreamEvent::Token(_) = event {
                        self.measure();
                    }
                    return Ok(event);
                }
                Ok(Err(err)) => return Err(self.broke(&err)),
                Err(_) if self.tokens > 0 => {
                    let stalled = self.last.elapsed();
                    self.observe(LatencySample::InterTokenLatency(stalled), Instant::now());
                }
                Err(_) => {}
            }
        }
    }

    /// A part is never passed on as the whole: its end is missing.
    fn broke(&self, err: &BodyError) -> Failure {
        self.core.metrics.promise_guarded(Promise::WholeOwnAnswer);
        Failure::unknown(format_smolstr!("{err}")).broken()
    }

    fn measure(&mut self) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.last);
        let sample = if self.tokens == 0 {
            let waited = self.call.began.elapsed();
            self.core.metrics.first_token(self.call.urgency, waited);
            LatencySample::TimeToFirstToken(took)
        } else {
            LatencySample::InterTokenLatency(took)
        };
        self.observe(sample, now);
        self.last = now;
        self.tokens += 1;
        self.note_used();
    }

    /// Takes the stream up at another group from the next token, where that may be done.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        if self.call.left(Instant::now()).is_zero() {
            return Err(failure);
        }
        self.ask_whether_it_died(&failure).await;
        // Ends a trial, and frees the slot, before another group is tried.
        self.run = None;
        self.place = None;
        let repeatable = self.call.repeatable;
        let allowed = {
            let mut budget = lock(&self.core.retries);
            may_retry(
                Outcome::Unknown,
                repeatable,
                self.attempt,
                &self.call.tenant,
                &mut budget,
            )
        };
        if allowed.is_err() {
            return Err(failure);
        }
        self.core.journal.note(EventKind::RequestRetried {
            request: self.call.id.clone(),
            attempt: self.attempt,
            reason: failure.detail.clone(),
        });
        self.attempt += 1;
        let attempt = Attempt {
            number: self.attempt,
            avoid: Avoided::from_iter([self.group.clone()]),
            suspect: trial::check(&self.core, &self.call, trial::print_of(&self.call))
                .await
                .map_err(|_| failure.clone())?,
            resume_from: self.tokens,
        };
        let started = attempt::start(&self.core, &self.shard, &self.call, &attempt).await;
        match started {
            Ok(started) => self.go_on(started),
            Err(NotStarted::Refused(_)) => Err(failure),
            Err(NotStarted::Failed(failure, _)) => Err(failure),
        }
    }
}

/// Asks to be told when to give way, for a stream that can be taken up again.
fn way(call: &Call, started: &Started) -> Option<oneshot::Receiver<()>> {
    let can = call.repeatable && started.resumes_from(0);
    can.then(|| started.place.gives_way())
}

fn frame(token: &TokenEvent) -> Bytes {
    let mut buf = BytesMut::with_capacity(token.data.len() + 8);
    buf.extend_from_slice(b"data: ");
    buf.extend_from_slice(token.data.as_bytes());
    buf.extend_from_slice(b"\n\n");
    buf.freeze()
}
