//! Requests whose response is a stream of events.

mod hedge;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{HostId, ModelName, ServiceName};
use eelgrassmill_engine::{BodyError, SendError, TargetResponse};
use eelgrassmill_route::MAX_TIME_TO_CRASH;
use http::{HeaderMap, Response, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::watch;
use tracing::info;

use crate::body::{CallerDisconnected, ResponseBody, StreamSender};
use crate::call::Call;
use crate::core::Core;
use crate::crash_detection::Broken;
use crate::dispatch::target_request;
use crate::heads::{Head, SlotGuard};
use crate::host_relay::reaches_hosts;
use crate::metrics::RetryReason;
use crate::ports::{Dialect, Platform, ResponseClass};
use crate::quarantine::Admission;
use crate::refusal::{Refusal, RefusalCause};
use crate::sse::EventSplitter;
use crate::stream::hedge::Moved;
use crate::{admission, crash_detection, host_signals, quarantine};

/// Refusals by hosts after which a call is refused: each came from a host that was fuller than
/// reported, and by then the load reports are a second old.
const MAX_REFUSALS: u32 = 4;
/// Retry-After when hosts refused a request.
const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(300);
/// Longest response of a host that isn't a stream, in bytes.
const MAX_FULL_BODY_BYTES: usize = 1 << 20;

/// A call with its attempts at one or more replicas.
struct StreamCall<P: Platform> {
    core: Arc<Core<P>>,
    call: Arc<Call>,
    admission: Admission,
    service: ServiceName,
    model: ModelName,
    /// Hosts at which it failed or was refused.
    avoid: SmallVec<[HostId; 4]>,
    /// Hosts at which it may have run.
    runs: u32,
    /// Further hosts at which it may have run while its head was suspected.
    second_runs: AtomicU32,
    /// Whether a second run is in progress.
    second_run: watch::Sender<bool>,
    /// Attempts that reached a host.
    deliveries: u32,
    refusals: u32,
    events: EventSplitter,
}

/// A response whose headers have arrived.
struct StartedResponse<P: Platform> {
    slot: SlotGuard<P>,
    response: TargetResponse,
    /// Whether events have come for so long that no part of its prompt crashes hosts.
    has_survived: bool,
}

impl<P: Platform> StartedResponse<P> {
    fn new(slot: SlotGuard<P>, response: TargetResponse) -> StartedResponse<P> {
        StartedResponse {
            slot,
            response,
            has_survived: false,
        }
    }
}

/// Why an attempt got no response.
enum AttemptError<P: Platform> {
    /// No host ran it.
    NotRun,
    /// A host may have run it.
    Unknown,
    /// Its head is suspected, and it has got a slot at another one.
    Moved(Box<SlotGuard<P>>),
}

/// How reading a response ended.
enum ReadEnd<P: Platform> {
    /// It was read to its end.
    Complete,
    /// It goes on at another head.
    Moved(Box<Moved<P>>),
    /// Its connection broke or its replica was lost.
    Broken(SmolStr),
    /// Reading was stopped.
    Stopped(StopReason),
}

/// Why a response is no longer forwarded.
enum StopReason {
    /// The call's deadline has passed.
    DeadlineExceeded,
    /// The caller has disconnected.
    CallerDisconnected,
    /// This node is about to exit.
    NodeExiting,
}

/// Waits until a response should no longer be forwarded.
async fn wait_for_stop<P: Platform>(core: &Core<P>, call: &Call, tx: &StreamSender) -> StopReason {
    tokio::select! {
        () = tokio::time::sleep(call.remaining()) => StopReason::DeadlineExceeded,
        () = tx.closed() => StopReason::CallerDisconnected,
        () = core.wait_for_exit() => StopReason::NodeExiting,
    }
}

/// Serves a call whose response is a stream.
pub(crate) async fn run<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Arc<Call>,
    service: ServiceName,
    admission: Admission,
) -> Result<Response<ResponseBody>, Refusal> {
    core.count_for_retry_budget(&service);
    let model = call.metadata.model.clone().unwrap_or_default();
    let mut stream = StreamCall {
        core: Arc::clone(core),
        call: Arc::clone(call),
        admission,
        service,
        model,
        avoid: SmallVec::new(),
        runs: 0,
        second_runs: AtomicU32::new(0),
        second_run: watch::Sender::new(false),
        deliveries: 0,
        refusals: 0,
        events: EventSplitter::default(),
    };
    let started = stream.start_response().await?;
    stream.forward(started).await
}

impl<P: Platform> StreamCall<P> {
    /// Attempts the call at replicas until one starts a response.
    async fn start_response(&mut self) -> Result<StartedResponse<P>, Refusal> {
        let mut moved_to = None;
        loop {
            let has_moved = moved_to.is_some();
            let slot = match moved_to.take() {
                Some(slot) => slot,
                None => self.acquire_slot().await?,
            };
            self.check_quarantine()?;
            if !has_moved
                && self.deliveries > 0
                && !self.core.try_retry(&self.service, self.retry_reason())
            {
                return Err(self.refusal(RefusalCause::RetryBudgetExhausted));
            }
            match self.attempt(slot).await {
                Ok(started) => return Ok(started),
                Err(AttemptError::Moved(slot)) => moved_to = Some(*slot),
                Err(AttemptError::NotRun) if self.refusals < MAX_REFUSALS => {}
                Err(AttemptError::Unknown) if self.may_retry() => {}
                Err(_) => return Err(self.refusal(RefusalCause::HostsRefused)),
            }
        }
    }

    /// Whether it may be sent now: it may have been quarantined while it waited.
    fn check_quarantine(&self) -> Result<(), Refusal> {
        let (core, call) = (&self.core, &self.call);
        quarantine::check_attempt(core, call, &self.service, self.admission, self.runs)
            .map_err(|refusal| self.unless_run(refusal))
    }

    async fn acquire_slot(&mut self) -> Result<SlotGuard<P>, Refusal> {
        let mut decisions = self.core.quarantine.decisions();
        let admitted = admission::admit(
            &self.core,
            &self.call,
            &self.service,
            &self.model,
            self.runs > 0,
            &self.avoid,
        );
        tokio::pin!(admitted);
        let admitted = loop {
            tokio::select! {
                admitted = &mut admitted => break admitted,
                () = decisions.next() => self.check_quarantine()?,
                () = self.core.wait_until_stops_before(self.call.last_reply_at()), if self.runs == 0 => {
                    return Err(Refusal::node_leaving());
                }
            }
        };
        admitted.map_err(|refusal| {
            if self.runs > 0 {
                self.refusal(refusal.cause)
            } else {
                refusal
            }
        })
    }

    /// The refusal of a call that must not be sent again, whatever its kind.
    fn unless_run(&self, refusal: Refusal) -> Refusal {
        if self.runs > 0 {
            Refusal::new(RefusalCause::BrokenResponse)
        } else {
            refusal
        }
    }

    fn retry_reason(&self) -> RetryReason {
        if self.events.last_id().is_some() {
            RetryReason::Resume
        } else {
            RetryReason::Attempt
        }
    }

    fn may_retry(&self) -> bool {
        let runs = self.runs + self.second_runs.load(Ordering::Relaxed);
        self.call.is_idempotent() && runs < self.call.route.attempts
    }

    fn is_resumable(&self) -> bool {
        self.call.route.stream.as_ref().is_some_and(|s| s.resumable)
    }

    /// The refusal of a call after an attempt. `cause` applies if it has not run.
    fn refusal(&self, cause: RefusalCause) -> Refusal {
        let is_late = self.call.remaining().is_zero();
        match (self.runs > 0, is_late) {
            (true, true) => Refusal::new(RefusalCause::ResponseTimeout),
            (true, false) if self.call.is_idempotent() => {
                Refusal::with_retry_after(RefusalCause::BrokenResponse, RETRY_AFTER_REFUSED)
            }
            (true, false) => Refusal::new(RefusalCause::BrokenResponse),
            (false, true) => Refusal::new(RefusalCause::DeadlineExceeded),
            (false, false) => Refusal::with_retry_after(cause, RETRY_AFTER_REFUSED),
        }
    }

    async fn attempt(
        &mut self,
        mut slot: SlotGuard<P>,
    ) -> Result<StartedResponse<P>, AttemptError<P>> {
        let head = Arc::clone(&slot.head);
        let resume = self
            .events
            .last_id()
            .cloned()
            .or_else(|| self.call.metadata.resume_after.clone());
        let urgency = Some(self.call.urgency().min(9));
        let req = target_request(&*self.core, &self.call, &head.host, urgency, resume);
        let relay = self.core.http.relay();
        slot.set_relayed(relay.is_some_and(|relay| relay.is_relayed(&head.address)));
        let avoid = self.avoid_also(&head);
        let sent = tokio::select! {
            sent = self.core.http.send_within(&head.address, req, self.call.remaining()) => sent,
            why = slot.wait_until_broken() => Err(SendError::Unknown(why.to_owned())),
            other = self.slot_elsewhere(&head, &avoid, self.late_at(&slot)) => return Err(self.moved(&slot, other)),
        };
        let response = match sent {
            Ok(response) => response,
            Err(SendError::NotSent(why) | SendError::Refused(why)) => {
                self.log_attempt(&head, "not-sent", &why);
                return Err(self.not_reached(&mut slot));
            }
            Err(err) => {
                self.deliveries += 1;
                self.log_attempt(&head, "unknown", &err.to_string());
                self.check_for_crash(&slot);
                return Err(self.failed(&mut slot));
            }
        };
        self.deliveries += 1;
        slot.set_relayed(response.is_relayed());
        slot.on_response();
        let dialect = self.core.platform.dialect();
        let class = dialect.classify(response.status, &response.headers);
        if class.is_of_host()
            && host_signals::observe(
                &self.core,
                &head.host,
                head.started_ms,
                response.status,
                &response.headers,
            )
        {
            slot.on_rest();
        }
        match class {
            ResponseClass::NotRun | ResponseClass::WrongHost => {
                self.log_attempt(&head, "not-run", response.status.as_str());
                Err(self.rejected(&mut slot))
            }
            ResponseClass::Unverified => {
                self.log_attempt(&head, "unknown", "unverified response");
                Err(self.failed(&mut slot))
            }
            ResponseClass::FalsePromise => {
                self.log_attempt(&head, "false-promise", response.status.as_str());
                let metrics = &self.core.metrics;
                metrics.count_false_promise(&self.service, response.status);
                Err(self.failed(&mut slot))
            }
            ResponseClass::Answered if response.status.is_server_error() => {
                self.log_attempt(&head, "failed", response.status.as_str());
                let retries = self.may_retry();
                let failed = self.failed(&mut slot);
                if retries {
                    Err(failed)
                } else {
                    Ok(StartedResponse::new(slot, response))
                }
            }
            ResponseClass::Answered => Ok(StartedResponse::new(slot, response)),
        }
    }

    fn why_moved(head: &Head) -> &'static str {
        if head.is_suspected() {
            "its replica is silent"
        } else {
            "its replica is slow"
        }
    }

    fn moved(&mut self, slot: &SlotGuard<P>, other: SlotGuard<P>) -> AttemptError<P> {
        self.log_attempt(&slot.head, "moved", Self::why_moved(&slot.head));
        self.check_for_crash_later(slot);
        self.avoid.push(slot.head.host.clone());
        self.deliveries += 1;
        self.runs += 1;
        AttemptError::Moved(Box::new(other))
    }

    fn rejected(&mut self, slot: &mut SlotGuard<P>) -> AttemptError<P> {
        self.avoid.push(slot.head.host.clone());
        slot.rejected();
        self.refusals += 1;
        AttemptError::NotRun
    }

    /// Like [`StreamCall::rejected`], for a head that was reached neither directly nor otherwise.
    fn not_reached(&mut self, slot: &mut SlotGuard<P>) -> AttemptError<P> {
        self.avoid.push(slot.head.host.clone());
        self.refusals += 1;
        let (core, failure) = (Arc::clone(&self.core), slot.take_failure());
        tokio::spawn(async move {
            if reaches_hosts(&core, std::slice::from_ref(&failure.head.host)).await {
                failure.report_rejected();
            }
        });
        AttemptError::NotRun
    }

    fn failed(&mut self, slot: &mut SlotGuard<P>) -> AttemptError<P> {
        self.avoid.push(slot.head.host.clone());
        // An exceeded deadline or a lost member is not the head's failure.
        let head_failed = !self.call.remaining().is_zero() && !slot.head.is_lost();
        let is_to_blame = !slot.has_started() || slot.is_malformed();
        if head_failed && is_to_blame && !slot.is_resting() {
            self.report_failure(slot);
        }
        self.runs += 1;
        AttemptError::Unknown
    }

    /// Reports that a head failed, unless this node has lost its link to it.
    fn report_failure(&self, slot: &mut SlotGuard<P>) {
        let (core, failure) = (Arc::clone(&self.core), slot.take_failure());
        tokio::spawn(async move {
            let head = &failure.head;
            let is_link_lost = core.http.needs_relay(&head.address).await
                || !reaches_hosts(&core, std::slice::from_ref(&head.host)).await;
            if !is_link_lost {
                failure.report_failed();
            }
        });
    }

    /// Checks whether the head crashed after its response broke, or which silent members did after
    /// its replica was lost.
    fn check_for_crash(&self, slot: &SlotGuard<P>) {
        if self.call.remaining().is_zero() {
            return;
        }
        let broken = Self::broken_at(slot);
        match slot.head.loss() {
            Some(loss) => crash_detection::on_lost(&self.core, &self.call, loss, broken),
            None => {
                let head = (&*slot.head).into();
                crash_detection::on_broken(&self.core, &self.call, head, broken);
            }
        }
    }

    fn broken_at(slot: &SlotGuard<P>) -> Broken {
        Broken {
            sent: slot.sent(),
            at: Instant::now(),
            started: slot.has_started(),
            wrote_for: slot.wrote_for(),
            last_received: slot.last_received(),
        }
    }

    /// Forwards the host's response to the caller.
    async fn forward(
        mut self,
        started: StartedResponse<P>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let status = started.response.status;
        let headers = self
            .core
            .platform
            .dialect()
            .response_headers(&started.response.headers);
        if status != StatusCode::OK {
            return self.forward_full(started, status, headers).await;
        }
        let (tx, body) = ResponseBody::stream(&self.core.account);
        let mut response = Response::new(body);
        *response.headers_mut() = headers;
        tokio::spawn(async move { self.forward_events(started, tx).await });
        Ok(response)
    }

    /// Forwards a response that isn't a stream, after reading it to its end.
    async fn forward_full(
        &mut self,
        mut started: StartedResponse<P>,
        status: StatusCode,
        headers: HeaderMap,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let account = &self.core.account;
        let read = started
            .response
            .read_whole_within(account, MAX_FULL_BODY_BYTES);
        let body = match tokio::time::timeout(self.call.remaining(), read).await {
            Ok(Ok(body)) => body,
            _ => {
                self.failed(&mut started.slot);
                return Err(Refusal::new(RefusalCause::BrokenResponse));
            }
        };
        let mut response = Response::new(ResponseBody::full(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Forwards events and, if the stream breaks, resumes it at another replica.
    async fn forward_events(mut self, mut started: StartedResponse<P>, tx: StreamSender) {
        loop {
            let end = self.forward_until_end(&mut started, &tx).await;
            if let ReadEnd::Moved(moved) = end {
                let head = &started.slot.head;
                self.log_attempt(head, "moved", Self::why_moved(head));
                self.check_for_crash_later(&started.slot);
                (self, started) = (moved.call, moved.started);
                self.core.wake_waiting_requests();
                if let Err(reason) = self.send_events(&tx, moved.events).await {
                    return self.abort(reason);
                }
                continue;
            }
            if let ReadEnd::Broken(why) = &end {
                self.log_attempt(&started.slot.head, "broken", why);
                self.check_for_crash(&started.slot);
                self.failed(&mut started.slot);
            }
            let is_framed = started.response.is_framed();
            // Closes the connection to the host, which cancels the request there.
            drop(started);
            self.core.wake_waiting_requests();
            match end {
                ReadEnd::Complete => {
                    // The end of an unframed response may be a crash.
                    if is_framed {
                        quarantine::on_completed(&self.core, &self.call, &self.service);
                    }
                    return self.finish(&tx).await;
                }
                ReadEnd::Stopped(reason) => return self.abort(reason),
                ReadEnd::Moved(_) | ReadEnd::Broken(_) => self.events.discard_partial_event(),
            }
            if !self.is_resumable() || !self.may_retry() {
                return self.truncate("no further attempt is permitted");
            }
            let (core, call) = (Arc::clone(&self.core), Arc::clone(&self.call));
            let resumed = tokio::select! {
                resumed = self.start_response() => resumed,
                reason = wait_for_stop(&core, &call, &tx) => return self.abort(reason),
            };
            started = match resumed {
                Ok(next) if next.response.status == StatusCode::OK => next,
                Ok(_) => return self.truncate("the resumed attempt failed"),
                Err(refusal) => return self.truncate(refusal.cause.name()),
            };
        }
    }

    async fn forward_until_end(
        &mut self,
        started: &mut StartedResponse<P>,
        tx: &StreamSender,
    ) -> ReadEnd<P> {
        loop {
            started.slot.await_chunk();
            let (response, slot) = (&mut started.response, &started.slot);
            let chunk = match self.next_chunk(response, slot, tx).await {
                Ok(chunk) => chunk,
                Err(end) => return end,
            };
            let bytes = match chunk {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.events.has_partial_event() => {
                    return ReadEnd::Broken("stream ended within an event".into());
                }
                Ok(None) if self.is_empty(started) => {
                    return ReadEnd::Broken("stream ended before its first event".into());
                }
                Ok(None) if !self.is_whole(started).await => {
                    return ReadEnd::Broken("host is down at the end of its stream".into());
                }
                Ok(None) => return ReadEnd::Complete,
                Err(err) => {
                    if matches!(err, BodyError::Malformed(_)) {
                        started.slot.on_malformed();
                    }
                    return ReadEnd::Broken(err.to_string().into());
                }
            };
            let events = match self.events.push(&bytes, started.slot.waited()) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(err) => {
                    started.slot.on_malformed();
                    return ReadEnd::Broken(err.to_string().into());
                }
            };
            if !events.are_empty {
                started.slot.on_event(Instant::now());
            }
            if !started.has_survived && started.slot.wrote_for() >= MAX_TIME_TO_CRASH {
                started.has_survived = true;
                quarantine::on_survived(&self.core, &self.call, &self.service);
            }
            if let Err(reason) = self.send_events(tx, events.bytes).await {
                return ReadEnd::Stopped(reason);
            }
        }
    }

    /// The next part of a response, unless the stream goes on elsewhere or stops before.
    async fn next_chunk(
        &self,
        response: &mut TargetResponse,
        slot: &SlotGuard<P>,
        tx: &StreamSender,
    ) -> Result<Result<Option<Bytes>, BodyError>, ReadEnd<P>> {
        // A second run that was in progress ended with the wait for the part before.
        self.second_run.send_replace(false);
        let elsewhere = self.go_on_elsewhere(&slot.head, self.late_at(slot));
        tokio::pin!(elsewhere);
        let chunk = tokio::select! {
            chunk = response.chunk() => chunk,
            why = slot.wait_until_broken() => Err(BodyError::Cut(why.to_owned())),
            reason = wait_for_stop(&self.core, &self.call, tx) => return Err(ReadEnd::Stopped(reason)),
            moved = &mut elsewhere => return Err(ReadEnd::Moved(Box::new(moved))),
        };
        if chunk.is_err() {
            // The second run, if there is one, has used the attempt with which it would be resumed.
            tokio::select! {
                () = self.wait_for_second_run() => {}
                reason = wait_for_stop(&self.core, &self.call, tx) => return Err(ReadEnd::Stopped(reason)),
                moved = &mut elsewhere => return Err(ReadEnd::Moved(Box::new(moved))),
            }
        }
        Ok(chunk)
    }

    /// Whether a response without framing has ended without any event.
    fn is_empty(&self, started: &StartedResponse<P>) -> bool {
        !started.response.is_framed()
            && !started.slot.has_started()
            && self.events.last_id().is_none()
    }

    /// Whether a response that has ended is whole.
    async fn is_whole(&self, started: &StartedResponse<P>) -> bool {
        let address = &started.slot.head.address;
        started.response.is_framed() || crash_detection::is_up_after_end(&self.core, address).await
    }

    async fn send_events(&self, tx: &StreamSender, events: Bytes) -> Result<(), StopReason> {
        self.until_stopped(tx, tx.send_events(events)).await
    }

    async fn until_stopped(
        &self,
        tx: &StreamSender,
        sent: impl Future<Output = Result<(), CallerDisconnected>>,
    ) -> Result<(), StopReason> {
        tokio::select! {
            sent = sent => sent.map_err(|CallerDisconnected| StopReason::CallerDisconnected),
            reason = wait_for_stop(&self.core, &self.call, tx) => Err(reason),
        }
    }

    /// Sends the end of the stream. The slot at the host was released before, so that a slow caller
    /// doesn't hold it.
    async fn finish(&self, tx: &StreamSender) {
        match self.until_stopped(tx, tx.send_end()).await {
            Ok(()) => self.count_end("answered"),
            Err(reason) => self.abort(reason),
        }
    }

    fn abort(&self, reason: StopReason) {
        match reason {
            StopReason::DeadlineExceeded => self.truncate("deadline exceeded"),
            StopReason::CallerDisconnected => self.count_end("caller-left"),
            StopReason::NodeExiting => self.truncate("this node exits"),
        }
    }

    /// Logs that the stream is truncated. The body's channel then closes without an end, which the
    /// caller sees as an incomplete response.
    fn truncate(&self, why: &str) {
        info!(
            event = "request", request = %self.call.metadata.id, outcome = "cut", why,
            runs = self.runs, after = self.events.last_id().map_or("", |id| id.as_str()),
        );
        self.count_end("cut");
    }

    fn count_end(&self, outcome: &str) {
        self.core
            .metrics
            .count_request(&self.service, "stream-end", outcome);
    }

    fn log_attempt(&self, head: &Head, outcome: &str, why: &str) {
        info!(
            event = "attempt", request = %self.call.metadata.id, host = %head.host,
            replica = %head.replica, epoch = head.epoch, outcome, why,
            after = self.events.last_id().map_or("", |id| id.as_str()),
        );
    }
}
