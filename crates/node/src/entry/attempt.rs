//! One attempt: a place in the queue, a slot at a group, the request to its lead.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, HostId, Outcome, Tokens};
use eelgrassmill_engine::{SendError, TargetRequest, TargetResponse};
use eelgrassmill_route::Pick;
use eelgrassmill_timeline::EventKind;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::call::{Call, Failure, nothing_serves, put, refused};
use super::problem::Problem;
use super::trial::{Run, print_of};
use crate::loops::watcher::target_name;
use crate::metrics::Promise;
use crate::state::core::Core;
use crate::state::lock::lock;
use crate::state::seat::Seat;
use crate::state::shard::{Avoided, Place, Shard, Turn};

/// Header in which a target echoes the group epoch that it answered in.
const EPOCH_HEADER: &str = "x-group-epoch";
/// Header from which an engine takes up a stream.
const RESUME_HEADER: &str = "x-resume-from";

/// Pause before a call that only has to wait takes a place again: the groups that
/// may be picked are worked out anew this often.
const TURN_PAUSE: Duration = Duration::from_millis(50);

/// Where an attempt is sent.
struct Destination {
    host: HostId,
    address: SmolStr,
    /// Group and epoch; `None` for plain targets.
    group: Option<(SmolStr, Epoch)>,
}

/// An answer whose head has come, and the slot that it occupies.
pub(crate) struct Started {
    pub(crate) place: Place,
    pub(crate) response: TargetResponse,
    /// The run at a group; `None` at plain targets.
    pub(crate) run: Option<Run>,
    pub(crate) sent: Instant,
}

impl Started {
    /// Whether the engine says that it goes on from token `from`.
    pub(crate) fn resumes_from(&self, from: Tokens) -> bool {
        let echoed = self.response.headers.get(RESUME_HEADER);
        let echoed = echoed.and_then(|v| v.to_str().ok());
        echoed.and_then(|v| v.parse().ok()) == Some(from)
    }
}

/// Why an attempt has no answer.
pub(crate) enum NotStarted {
    /// The queue's final word.
    Refused(Problem),
    /// The attempt failed at a group.
    Failed(Failure, Pick),
}

/// What one attempt is.
pub(crate) struct Attempt {
    /// Counted from 1.
    pub(crate) number: u32,
    /// Groups that it keeps away from where others can take it.
    pub(crate) avoid: Avoided,
    /// Whether the call is a suspect.
    pub(crate) suspect: bool,
    /// Tokens that the caller has already.
    pub(crate) resume_from: Tokens,
}

/// Takes a place, waits for the turn and sends the call.
///
/// A group that stopped serving between the pick and the send is no failed
/// attempt: nothing left for it, and the call waits for its turn once more.
/// Counted as attempts, three such moments in the tenth of a second in which
/// one group hands over to the next would refuse the call.
pub(crate) async fn start(
    core: &Arc<Core>,
    shard: &Arc<Shard>,
    call: &Call,
    attempt: &Attempt,
) -> Result<Started, NotStarted> {
    loop {
        match start_once(core, shard, call, attempt).await {
            Err(NotStarted::Failed(failure, _))
                if failure.waits && !call.left(Instant::now()).is_zero() =>
            {
                tokio::time::sleep(TURN_PAUSE).await;
            }
            started => return started,
        }
    }
}

async fn start_once(
    core: &Arc<Core>,
    shard: &Arc<Shard>,
    call: &Call,
    attempt: &Attempt,
) -> Result<Started, NotStarted> {
    adapter_may_serve(core, call).map_err(NotStarted::Refused)?;
    let now = Instant::now();
    let mut place = shard
        .offer(
            call.offer(),
            call.prefixes.clone(),
            attempt.avoid.clone(),
            now,
        )
        .map_err(|refusal| NotStarted::Refused(refused(&refusal)))?;
    place.take_seat(Seat::waiting(core, &call.tenant));
    wait_and_begin(core, call, attempt, place).await
}

/// Waits for the turn of a place and sends the call.
pub(crate) async fn wait_and_begin(
    core: &Arc<Core>,
    call: &Call,
    attempt: &Attempt,
    mut place: Place,
) -> Result<Started, NotStarted> {
    let now = Instant::now();
    let pick = match tokio::time::timeout(call.left(now), place.turn()).await {
        Ok(Turn::Start(pick)) => pick,
        Ok(Turn::GivenUp(refusal)) => return Err(NotStarted::Refused(refused(&refusal))),
        Ok(Turn::NoGroup) => {
            return Err(NotStarted::Refused(nothing_serves(&call.service, "")));
        }
        Err(_) => {
            let problem = nothing_serves(&call.service, " within the deadline");
            return Err(NotStarted::Refused(problem));
        }
    };
    place.seat_runs();
    if attempt.number == 1 {
        core.metrics.waited(call.urgency, call.began.elapsed());
    }
    match begin(core, call, &pick, attempt, place).await {
        Ok(started) => Ok(started),
        Err(failure) => Err(NotStarted::Failed(failure, pick)),
    }
}

/// Begins the run at the picked group and sends the call to its lead.
async fn begin(
    core: &Arc<Core>,
    call: &Call,
    pick: &Pick,
    attempt: &Attempt,
    mut place: Place,
) -> Result<Started, Failure> {
    let to = destination(core, pick)?;
    let run = match &to.group {
        Some((group, epoch)) => {
            let host = (&to.host, &to.address);
            let print = print_of(call);
            let run = Run::begin(core, print, attempt.suspect, (group, *epoch), host)?;
            Some(run)
        }
        None => None,
    };
    let sent = Instant::now();
    match send(core, call, &to, attempt, &mut place).await {
        Ok(response) => Ok(Started {
            place,
            response,
            run,
            sent,
        }),
        Err(failure) => {
            // The slot is free while the engine is asked whether it lives.
            drop(place);
            if let (true, Some(run)) = (failure.broke, &run) {
                run.broke(call).await;
            }
            Err(failure)
        }
    }
}

/// Refuses a call of an adapter whose own dependencies are missing.
///
/// The groups it would run on are those of its base, which may serve all the
/// same, so the lack of candidates that stops other services doesn't stop it.
fn adapter_may_serve(core: &Core, call: &Call) -> Result<(), Problem> {
    if call.service == call.served_by {
        return Ok(());
    }
    match core.why_not_serving(&call.service) {
        Some(why) => Err(nothing_serves(&call.service, &format!(": {why}"))),
        None => Ok(()),
    }
}

async fn send(
    core: &Core,
    call: &Call,
    to: &Destination,
    attempt: &Attempt,
    place: &mut Place,
) -> Result<TargetResponse, Failure> {
    let mut headers = call.target_headers();
    if let Some((group, epoch)) = &to.group {
        put(&mut headers, "x-group", group);
        put(&mut headers, EPOCH_HEADER, &epoch.to_smolstr());
    }
    // Named at the start too: an engine that echoes it can take the stream up later.
    if call.stream && call.repeatable {
        put(
            &mut headers,
            RESUME_HEADER,
            &attempt.resume_from.to_smolstr(),
        );
    }
    let req = TargetRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    };
    core.journal.note(EventKind::RequestDispatched {
        request: call.id.clone(),
        host: to.host.clone(),
        group: to.group.as_ref().map(|(group, _)| group.clone()),
        attempt: attempt.number,
    });
    let sent = Instant::now();
    let sending = core.targets.send(&to.address, req);
    let response = match tokio::time::timeout(call.left(sent), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) => {
            // What may have run is charged; a target that broke off did work for it.
            if err.outcome() != Outcome::NotRun {
                place.used(call.tokens);
            }
            if is_no_answer(&err) {
                core.metrics.promise_guarded(Promise::WholeOwnAnswer);
            }
            let broke = matches!(err, SendError::Unknown(_));
            return Err(Failure {
                outcome: err.outcome(),
                broke,
                ..Failure::unknown(format_smolstr!("{err}"))
            });
        }
        Err(_) => {
            place.used(call.tokens);
            return Err(Failure::unknown("no answer within the deadline"));
        }
    };
    if response.is_refusal() {
        return Err(Failure::not_run("the target refused it"));
    }
    place.used(call.tokens);
    check_epoch(core, to, &response)?;
    Ok(response)
}

/// Whether a target sent a response that is none of its own to this request.
fn is_no_answer(err: &SendError) -> bool {
    matches!(
        err,
        SendError::WrongId { .. } | SendError::InvalidStatus(_) | SendError::Unframed
    )
}

/// The lead of the picked group, if the group may still serve in that epoch.
///
/// Time passes between the pick and this last step before the bytes leave: a
/// group may have lost a host meanwhile, and a request sent now would run on a
/// group that is not whole.
fn destination(core: &Core, pick: &Pick) -> Result<Destination, Failure> {
    let now = Instant::now();
    let fleet = lock(&core.fleet);
    let serving = lock(&core.whole)
        .serving(&pick.group, now)
        .map_err(|why| not_whole(core, pick, format_smolstr!("{why}")))?;
    if serving.epoch != pick.epoch {
        return Err(not_whole(core, pick, "the group was formed anew".into()));
    }
    let address = fleet
        .address(&serving.lead)
        .ok_or_else(|| Failure::not_run("the host is not in the host list"))?;
    let is_plain = pick.group == target_name(&serving.lead);
    Ok(Destination {
        group: (!is_plain).then(|| (pick.group.clone(), pick.epoch)),
        host: serving.lead,
        address,
    })
}

fn not_whole(core: &Core, pick: &Pick, why: SmolStr) -> Failure {
    // Plain targets have epoch 0 and are no group.
    if pick.epoch > 0 {
        core.metrics.promise_guarded(Promise::GroupWhole);
    }
    Failure::not_run(why).waiting()
}

/// An answer from another epoch comes from hosts that are no longer this group.
fn check_epoch(core: &Core, to: &Destination, response: &TargetResponse) -> Result<(), Failure> {
    let Some((_, epoch)) = &to.group else {
        return Ok(());
    };
    let echoed = response.headers.get(EPOCH_HEADER);
    let echoed = echoed.and_then(|v| v.to_str().ok());
    if echoed.and_then(|v| v.parse().ok()) == Some(*epoch) {
        return Ok(());
    }
    core.metrics.promise_guarded(Promise::WholeOwnAnswer);
    Err(Failure::unknown(
        "the answer is from another epoch of the group",
    ))
}
