//! One call under a claim: claimed, run to its end, kept for repeats.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::Outcome;
use eelgrassmill_claim::{
    AttemptId, Claim, ClaimRequest, ClaimResult, Decision, DispatchOutcome, Owner, OwnerState,
    RowChange, StoredResponse, VersionedRow, WriteOutcome, claim_key, decide, fingerprint,
};
use eelgrassmill_stores::ObjectStore;
use eelgrassmill_timeline::EventKind;
use http::{HeaderValue, Response, StatusCode, header};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;

use super::store::ClaimStore;
use crate::entry::answer::Whole;
use crate::entry::body::AnswerBody;
use crate::entry::call::Call;
use crate::entry::ending::Ending;
use crate::entry::handler::{Ran, run};
use crate::entry::problem::Problem;
use crate::entry::relay::{Audience, Ended, response};
use crate::metrics::Promise;
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::running::RunningCall;

/// Decisions on one request before it is refused: each round lost to another
/// writer of the same row, and a key that is written that often is in use.
const ROUNDS: usize = 4;
/// Pause before the state of a settled claim is written again.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
/// Longest time for which a whole answer waits for its claim's state to be written.
const FIRST_WRITE: Duration = Duration::from_secs(1);
/// Attempts to write it. The row says `claimed` until then, which is safe:
/// repeats are told `in progress`, and `unknown` once this node is gone.
const WRITE_ATTEMPTS: u32 = 240;
/// When a repeat may ask again for an answer that can't be read now.
const OBJECT_RETRY: Duration = Duration::from_secs(5);

type Reply = Result<Response<AnswerBody>, Problem>;

/// Runs calls at most once.
#[derive(Clone)]
pub(crate) struct Once {
    store: ClaimStore,
    /// Attempts that were given up before any dispatch and whose rows may still
    /// say that they are claimed.
    abandoned: Arc<Mutex<BTreeSet<AttemptId>>>,
}

impl Once {
    pub(crate) fn new(store: ClaimStore) -> Once {
        Once {
            store,
            abandoned: Arc::new(Mutex::new(BTreeSet::new())),
        }
    }

    /// Answers a call that carries a key.
    ///
    /// The work runs as a task of its own: a caller that leaves must not stop
    /// a call that can't be run a second time.
    pub(crate) async fn answer(&self, core: &Arc<Core>, call: Call) -> Reply {
        if let Err(down) = self.store.admit() {
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, down.to_string());
            return Err(problem.retry_after(down.retry_after));
        }
        let (tx, rx) = oneshot::channel();
        let task = Task {
            once: self.clone(),
            core: core.clone(),
            call,
        };
        tokio::spawn(task.run(tx, core.running.begin()));
        match rx.await {
            Ok(reply) => reply,
            Err(_) => Err(Problem::unknown("the call broke off at the entry")),
        }
    }
}

/// What a row allows.
enum Next {
    Dispatch(Box<Claim>),
    Tell(Reply),
}

struct Task {
    once: Once,
    core: Arc<Core>,
    call: Call,
}

impl Task {
    async fn run(self, tx: oneshot::Sender<Reply>, running: RunningCall) {
        let mut claim = match self.claim().await {
            Next::Dispatch(claim) => *claim,
            Next::Tell(reply) => return drop(tx.send(reply)),
        };
        let change = self.dispatch(&mut claim, tx).await;
        // A stop waits for one try to write the outcome, and not for a table that is down.
        drop(running);
        self.settle(claim, change).await;
    }

    /// Tries for the claim until it is held or the row says what to tell.
    async fn claim(&self) -> Next {
        // Most keys are new: the first try goes without a read.
        let mut seen: Option<VersionedRow> = None;
        for round in 0..ROUNDS {
            // Each round is an attempt of its own: a late write of an earlier one
            // must not be taken for this one's.
            let req = self.request(round);
            let began = Instant::now();
            let owner = seen.as_ref().map_or(OwnerState::Alive, |s| self.owner(s));
            let change = match decide(seen.as_ref(), &req, owner) {
                Decision::MakeClaim(change) => change,
                told => return Next::Tell(self.tell(told).await),
            };
            let mut claim = match Claim::new(change.clone(), began) {
                Ok(claim) => claim,
                Err(err) => return Next::Tell(Err(Problem::not_run(BUSY, err.to_string()))),
            };
            match claim.on_claim_written(self.once.store.write(change).await) {
                ClaimResult::Held => {
                    self.note_made();
                    return Next::Dispatch(Box::new(claim));
                }
                ClaimResult::Lost(there) => seen = there,
                // The outcome of a write that is not this claim's; never the case here.
                ClaimResult::Ignored => return Next::Tell(Err(table_gone())),
                ClaimResult::Abandoned(change) => {
                    self.settle_later(claim, change);
                    return Next::Tell(Err(table_gone()));
                }
            }
        }
        let problem = Problem::not_run(BUSY, "the key is being used by other calls");
        Next::Tell(Err(problem.retry_after(WRITE_AGAIN)))
    }

    fn request(&self, round: usize) -> ClaimRequest {
        let call = &self.call;
        let key = call.key.as_deref().unwrap_or_default();
        let cfg = self.core.config.config();
        // Kept from the answer on, and counted from the claim.
        let retention = cfg.services.get(&call.service);
        let retention = retention.map(|s| s.keep_answers + s.timeout);
        ClaimRequest {
            key: claim_key(&call.tenant, &call.service, key),
            fingerprint: fingerprint(call.method.as_str(), &call.path, &call.body),
            owner: self.core.ident.owner(),
            attempt: format_smolstr!("{}.{round}", call.id),
            era: lock(&self.core.era).era(),
            retention: retention.unwrap_or_default(),
        }
    }

    /// Whether the owner of a claim may still be running it.
    fn owner(&self, seen: &VersionedRow) -> OwnerState {
        let owner = &seen.row.owner;
        if *owner == self.core.ident.owner() {
            return match lock(&self.once.abandoned).contains(&seen.row.attempt) {
                true => OwnerState::Abandoned,
                false => OwnerState::Alive,
            };
        }
        owner_state(&self.core, owner)
    }

    async fn tell(&self, told: Decision) -> Reply {
        if !matches!(told, Decision::MakeClaim(_)) {
            self.core.metrics.promise_guarded(Promise::AtMostOnce);
        }
        match told {
            Decision::ReplayResponse(kept) => self.replay(kept).await,
            Decision::InProgress { retry_after } => {
                let detail = "a call with this key is in progress; ask again for its answer";
                Err(Problem::new(StatusCode::CONFLICT, Outcome::Unknown, detail)
                    .retry_after(retry_after))
            }
            Decision::FingerprintMismatch => Err(Problem::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "the key was used with another request",
            )),
            Decision::ReportUnknown { update } => {
                if let Some(update) = update {
                    // Whether this write is made doesn't matter: it only spares
                    // the next entry the judgement.
                    let _ = self.once.store.write(update).await;
                }
                Err(Problem::unknown(
                    "a call with this key may have run; it is not run again",
                ))
            }
            Decision::MakeClaim(_) => Err(Problem::not_run(BUSY, "the claim was not made")),
        }
    }

    async fn replay(&self, kept: StoredResponse) -> Reply {
        let core = self.core.clone();
        let object = kept.object.clone();
        let reading = tokio::task::spawn_blocking(move || core.platform.objects.get(&object));
        let body = match reading.await {
            Ok(Ok(Some(body))) if kept.verify(&body).is_ok() => Bytes::from(body),
            Ok(Ok(_)) => {
                return Err(Problem::unknown(
                    "the call ran, but its kept answer is gone",
                ));
            }
            _ => {
                let detail = "the call ran, but its kept answer can't be read now";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(
                    Problem::new(status, Outcome::Answered, detail).retry_after(OBJECT_RETRY)
                );
            }
        };
        let mut resp = Response::new(AnswerBody::whole(body));
        *resp.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
        if let Ok(value) = HeaderValue::from_str(&kept.content_type) {
            resp.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        Ok(resp)
    }

    /// Runs the call and tells its caller; gives what is left to write of the claim's state.
    async fn dispatch(&self, claim: &mut Claim, tx: oneshot::Sender<Reply>) -> Option<RowChange> {
        if claim.begin_dispatch(Instant::now()).is_err() {
            let change = claim.release();
            let problem =
                Problem::not_run(BUSY, "the claim took too long").retry_after(WRITE_AGAIN);
            drop(tx.send(Err(problem)));
            return self.write_soon(claim, change).await;
        }
        match self.run_until_end(&tx).await {
            Ok(Ran::Whole(whole)) => {
                let outcome = self.keep(&whole).await;
                let change = claim.on_dispatched(outcome);
                // Written before the caller is answered, so that a repeat that
                // follows the answer finds it. One try only: a table that is down
                // would hold the answer back for as long, and the row protects
                // the call from a second run as it is.
                let change = self.write_soon(claim, change).await;
                drop(tx.send(Ok(whole.into_response())));
                change
            }
            Ok(Ran::Stream(relay, first)) => {
                let (audience, body) = Audience::new(&self.core.account, true);
                drop(tx.send(Ok(response(body))));
                let outcome = match relay.run(first, audience).await {
                    Ended::Whole(Some(bytes)) => self.keep(&stream_answer(bytes)).await,
                    _ => DispatchOutcome::Unknown,
                };
                let change = claim.on_dispatched(outcome);
                self.write_soon(claim, change).await
            }
            Err(problem) => self.failed(claim, problem, tx).await,
        }
    }

    /// Runs the call, unless this node exits first.
    async fn run_until_end(&self, tx: &oneshot::Sender<Reply>) -> Result<Ran, Problem> {
        tokio::select! {
            ran = run(&self.core, &self.call) => ran,
            () = self.core.until_end() => {
                // Whoever still waits is told, and the line left, by the entry.
                if tx.is_closed() {
                    Ending::of(&self.call).cut();
                }
                Err(Problem::unknown("this node exits"))
            }
        }
    }

    async fn failed(
        &self,
        claim: &mut Claim,
        problem: Problem,
        tx: oneshot::Sender<Reply>,
    ) -> Option<RowChange> {
        if problem.outcome() == Outcome::NotRun {
            claim.on_dispatched(DispatchOutcome::NotRun);
            let change = claim.release();
            // The answer goes out before the row is written: it doesn't wait for the table.
            drop(tx.send(Err(problem)));
            return self.write_soon(claim, change).await;
        }
        let change = claim.on_dispatched(DispatchOutcome::Unknown);
        // The row is written before the answer goes out, as for whole answers.
        let change = self.write_soon(claim, change).await;
        drop(tx.send(Err(problem)));
        change
    }

    /// Puts an answer where repeats find it.
    async fn keep(&self, whole: &Whole) -> DispatchOutcome {
        let content_type = whole.content_type.as_ref().and_then(|v| v.to_str().ok());
        let object: SmolStr = format_smolstr!("answers/{}", self.call.id);
        let kept = StoredResponse::new(
            object.clone(),
            whole.status.as_u16(),
            content_type.unwrap_or_default(),
            &whole.body,
        );
        let core = self.core.clone();
        let charge = core.account.charge_response(whole.body.len()).await;
        let body = whole.body.to_vec();
        let putting = tokio::task::spawn_blocking(move || core.platform.objects.put(&object, body));
        let put = putting.await;
        drop(charge);
        match put {
            Ok(Ok(())) => DispatchOutcome::Answered(kept),
            // This caller has its answer; a repeat is told that it may have run.
            _ => DispatchOutcome::Unknown,
        }
    }

    /// Writes that an abandoned attempt dispatches nothing, until the table has it.
    fn settle_later(&self, claim: Claim, change: Option<RowChange>) {
        let attempt = AttemptId::from(claim.attempt());
        lock(&self.once.abandoned).insert(attempt.clone());
        let task = Task {
            once: self.once.clone(),
            core: self.core.clone(),
            call: self.call.clone(),
        };
        tokio::spawn(async move {
            task.settle(claim, change).await;
            lock(&task.once.abandoned).remove(&attempt);
        });
    }

    /// Tries once, for a bounded time, to write the claim's state; gives what is left to write.
    async fn write_soon(&self, claim: &mut Claim, change: Option<RowChange>) -> Option<RowChange> {
        let writing = self.once.store.write(change?);
        let outcome = tokio::time::timeout(FIRST_WRITE, writing).await;
        claim.on_written(outcome.unwrap_or(WriteOutcome::Unknown))
    }

    /// Writes the claim's state until the table has it.
    async fn settle(&self, mut claim: Claim, change: Option<RowChange>) {
        let told = claim.reportable_outcome();
        let mut change = change;
        for _ in 0..WRITE_ATTEMPTS {
            let Some(next) = change else {
                return self.note_settled(told);
            };
            let outcome = self.once.store.write(next).await;
            let failed = !matches!(outcome, WriteOutcome::Committed | WriteOutcome::Conflict(_));
            change = claim.on_written(outcome);
            if failed {
                tokio::time::sleep(WRITE_AGAIN).await;
            }
        }
        tracing::warn!(request = %self.call.id, "claim left unsettled");
    }

    fn note_made(&self) {
        self.core.journal.note(EventKind::ClaimMade {
            request: self.call.id.clone(),
            service: self.call.service.clone(),
        });
    }

    fn note_settled(&self, told: Outcome) {
        self.core.journal.note(EventKind::ClaimSettled {
            request: self.call.id.clone(),
            outcome: crate::entry::ending::outcome_name(told),
        });
    }
}

/// Whether another node that owns a claim may still be running it.
pub(crate) fn owner_state(core: &Core, owner: &Owner) -> OwnerState {
    let fleet = lock(&core.fleet);
    match fleet.nodes.get(&owner.node) {
        Some((row, _)) if row.incarnation == owner.incarnation => OwnerState::Alive,
        Some((row, _)) if row.incarnation > owner.incarnation => OwnerState::LeaseExpired,
        // Without a scan yet, nothing is known of any owner.
        _ if fleet.scanned.is_none() => OwnerState::Alive,
        _ => OwnerState::LeaseExpired,
    }
}

const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

fn table_gone() -> Problem {
    Problem::not_run(BUSY, "the table service gave no answer; nothing was run")
        .retry_after(Duration::from_secs(2))
}

fn stream_answer(body: Bytes) -> Whole {
    Whole {
        status: StatusCode::OK,
        content_type: Some(HeaderValue::from_static("text/event-stream")),
        body,
    }
}
