//! Requests with a whole answer: sent to a host, read to the end, then handed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{HostId, ServiceName};
use eelgrassmill_engine::{SendError, TargetRequest, TargetResponse};
use eelgrassmill_fleet::{
    ColdRateLimiter, ColdStart, Fleet, Host, HostCandidate, TargetOutcome, choose_host,
};
use http::{Response, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tracing::info;

use crate::answer::{Refusal, RefusalCause};
use crate::body::AnswerBody;
use crate::call::Call;
use crate::core::Core;
use crate::heads::locked;
use crate::metrics::RepeatReason;
use crate::ports::{AttemptMetadata, Dialect, Platform, ResponseClass};

/// Longest whole answer that is held in memory.
const MAX_ANSWER: usize = 8 << 20;
/// A first attempt that may be repeated is given up after this many times the aim: by
/// then the answer is late, and half of the route's timeout is left for another host.
const PATIENCE_IN_AIMS: u32 = 2;
/// When a caller should come back after every host refused: hosts refuse while their
/// short queue is full, which a few answers later it no longer is.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(150);
/// Counts a request at a host until it is dropped. Failed unless said otherwise, so that
/// an attempt that is given up counts as one.
struct Running<'c, P: Platform> {
    core: &'c Core<P>,
    host: HostId,
    outcome: TargetOutcome,
}

impl<P: Platform> Drop for Running<'_, P> {
    fn drop(&mut self) {
        locked(&self.core.targets).on_request_end(&self.host, self.outcome, Instant::now());
    }
}

/// What became of one attempt.
enum Attempt {
    /// A whole answer.
    Answered(StatusCode, http::HeaderMap, Bytes),
    /// It reached nobody.
    NotSent(SmolStr),
    /// A host refused it and will not run it.
    NotRun(SmolStr),
    /// It may have run.
    Unknown(SmolStr),
}

/// Serves a call whose answer is handed on whole.
pub(crate) async fn run<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
) -> Result<Response<AnswerBody>, Refusal> {
    let service = pick_service(core, call)?;
    core.count_request(&service);
    let mut tried: SmallVec<[HostId; 4]> = SmallVec::new();
    let mut runs = 0;
    let mut arrived = 0;
    let mut fallback = None;
    let mut refused = RefusalCause::HostsRefused;
    while !call.left().is_zero() {
        let Some(host) = pick_host(core, &service, &tried) else {
            break;
        };
        if arrived > 0 && !core.try_repeat(&service, RepeatReason::Attempt) {
            refused = RefusalCause::NoRepeatsLeft;
            break;
        }
        let patience = patience(call, runs);
        let attempt = attempt(core, call, &host, patience).await;
        tried.push(host.id.clone());
        log_attempt(call, &host, &attempt);
        match attempt {
            Attempt::Answered(status, headers, body) => {
                runs += 1;
                arrived += 1;
                let failed = status.is_server_error();
                let answer = whole_answer(core, status, &headers, body);
                if !failed || !call.repeatable() || runs >= call.route.attempts {
                    return Ok(answer);
                }
                fallback = Some(answer);
            }
            Attempt::NotSent(_) => {}
            Attempt::NotRun(_) => arrived += 1,
            Attempt::Unknown(_) => {
                runs += 1;
                arrived += 1;
                if !call.repeatable() || runs >= call.route.attempts {
                    break;
                }
            }
        }
    }
    fallback.ok_or_else(|| give_up(call, runs, arrived, refused))
}

/// The refusal of a call that no host answered. "Not run" is said only where that is
/// certain; `refused` is then the reason, if it reached a host at all.
fn give_up(call: &Call, runs: u32, arrived: u32, refused: RefusalCause) -> Refusal {
    let out_of_time = call.left().is_zero();
    if runs > 0 {
        let cause = if out_of_time {
            RefusalCause::NoAnswerInTime
        } else {
            RefusalCause::AnswerBroken
        };
        return Refusal::new(cause);
    }
    if out_of_time {
        return Refusal::new(RefusalCause::OutOfTime);
    }
    let cause = if arrived > 0 {
        refused
    } else {
        RefusalCause::NothingServes
    };
    Refusal::later(cause, RETRY_AFTER_FULL)
}

fn patience(call: &Call, runs: u32) -> Duration {
    let left = call.left();
    if call.repeatable() && runs + 1 < call.route.attempts {
        left.min((call.route.latency_objective * PATIENCE_IN_AIMS).max(left / 4))
    } else {
        left
    }
}

/// One of the route's services, by weight.
pub(crate) fn pick_service<P: Platform>(
    core: &Core<P>,
    call: &Call,
) -> Result<ServiceName, Refusal> {
    let services = &call.route.services;
    let total: u32 = services.iter().map(|(_, weight)| *weight).sum();
    let nothing = || Refusal::later(RefusalCause::NothingServes, RETRY_AFTER_FULL);
    let mut at = fastrand::u32(0..total.max(1));
    let mut chosen = None;
    for (service, weight) in services {
        if at < *weight {
            chosen = Some(service.clone());
            break;
        }
        at -= weight;
    }
    let first = services.first().map(|(service, _)| service.clone());
    let service = chosen.or(first).ok_or_else(nothing)?;
    let fleet = locked(&core.fleet);
    let serves = |s: &ServiceName| {
        fleet
            .hosts()
            .any(|h| h.service == *s && fleet.takes_requests(h))
    };
    if serves(&service) {
        return Ok(service);
    }
    // Where a divided route's service has no host at all, another one serves.
    let other = services.iter().find(|(s, weight)| *weight > 0 && serves(s));
    other.map(|(s, _)| s.clone()).ok_or_else(nothing)
}

fn pick_host<P: Platform>(core: &Core<P>, service: &str, tried: &[HostId]) -> Option<Host> {
    let now = Instant::now();
    let cold_start = core.catalog().service(service).and_then(|s| s.cold);
    let nodes = core.node_count();
    let fleet = locked(&core.fleet);
    let stats = locked(&core.targets);
    let mut shares = locked(&core.cold_shares);
    let cold_start_of = |h: &Host| cold_start.filter(|cold| is_cold(&fleet, h, cold, now));
    if let Some(cold) = &cold_start {
        shares.remove_warm(cold, now);
    }
    let is_within_share = |h: &Host, shares: &mut ColdRateLimiter| {
        let draw = fastrand::f64();
        cold_start_of(h).is_none_or(|cold| shares.may_send(&h.id, &cold, nodes, draw, now))
    };
    let usable = |h: &&Host| {
        let is_wanted = h.service == service && !tried.contains(&h.id);
        is_wanted && fleet.takes_requests(h) && is_within_share(h, &mut shares)
    };
    let candidates: Vec<HostCandidate> = fleet
        .hosts()
        .filter(usable)
        .map(|h| {
            let (load, failure_permille) = stats.load_and_failures(&h.id, now);
            HostCandidate {
                host: h.id.clone(),
                load,
                slots: h.slots,
                same_domain: h.failure_domain == core.cfg.failure_domain,
                failure_permille,
            }
        })
        .collect();
    let chosen = choose_host(&candidates, 0.0, fastrand::f64())?;
    let chosen = fleet.host(&chosen.host)?;
    if cold_start_of(chosen).is_some() {
        shares.on_sent(&chosen.id);
    }
    Some(chosen.clone())
}

fn is_cold(fleet: &Fleet, host: &Host, cold: &ColdStart, now: Instant) -> bool {
    let until = fleet.cold_until(host, cold);
    until.is_some_and(|until| now < until)
}

async fn attempt<P: Platform>(
    core: &Core<P>,
    call: &Call,
    host: &Host,
    patience: Duration,
) -> Attempt {
    locked(&core.targets).on_request_start(&host.id);
    let mut running = Running {
        core,
        host: host.id.clone(),
        outcome: TargetOutcome::Failed,
    };
    let req = target_request(core, call, &host.id, None, None);
    let until = Instant::now() + patience;
    let sent = core.http.send_within(&host.address, req, patience).await;
    let response = match sent {
        Ok(response) => response,
        Err(SendError::NotSent(why)) => return Attempt::NotSent(why.into()),
        Err(err) => return Attempt::Unknown(err.to_string().into()),
    };
    let status = response.status;
    match core.platform.dialect().classify(status, &response.headers) {
        ResponseClass::NotRun => Attempt::NotRun("refused".into()),
        ResponseClass::WrongHost => Attempt::NotRun("another host has this address".into()),
        ResponseClass::Unverified => Attempt::Unknown("answer without proof".into()),
        ResponseClass::Answered => {
            let read = read_whole(response, until).await;
            if read.is_ok() && !status.is_server_error() {
                running.outcome = TargetOutcome::Served;
            }
            match read {
                Ok((headers, body)) => Attempt::Answered(status, headers, body),
                Err(why) => Attempt::Unknown(why),
            }
        }
    }
}

async fn read_whole(
    response: TargetResponse,
    until: Instant,
) -> Result<(http::HeaderMap, Bytes), SmolStr> {
    let headers = response.headers.clone();
    let left = until.saturating_duration_since(Instant::now());
    match tokio::time::timeout(left, response.read_whole(MAX_ANSWER)).await {
        Ok(Ok(body)) => Ok((headers, body)),
        Ok(Err(err)) => Err(err.to_string().into()),
        Err(_) => Err("the answer's body did not come in time".into()),
    }
}

/// The request as a host gets it.
pub(crate) fn target_request<P: Platform>(
    core: &Core<P>,
    call: &Call,
    host: &HostId,
    urgency: Option<u8>,
    resume_after: Option<SmolStr>,
) -> TargetRequest {
    let attempt = AttemptMetadata {
        host: host.clone(),
        timeout: call.left(),
        tenant: call.tenant(),
        urgency,
        resume_after,
    };
    TargetRequest {
        method: call.method.clone(),
        path: call.path.to_string(),
        headers: core
            .platform
            .dialect()
            .target_headers(&call.headers, &attempt),
        body: call.body.clone(),
    }
}

fn whole_answer<P: Platform>(
    core: &Core<P>,
    status: StatusCode,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = core.platform.dialect().response_headers(headers);
    answer
}

fn log_attempt(call: &Call, host: &Host, attempt: &Attempt) {
    let (outcome, why) = match attempt {
        Attempt::Answered(status, ..) if !status.is_server_error() => return,
        Attempt::Answered(status, ..) => ("failed", SmolStr::from(status.as_str())),
        Attempt::NotSent(why) => ("not-sent", why.clone()),
        Attempt::NotRun(why) => ("not-run", why.clone()),
        Attempt::Unknown(why) => ("unknown", why.clone()),
    };
    info!(event = "attempt", request = %call.metadata.id, host = %host.id, outcome, %why);
}
