//! Dispatch of unary requests: the response is read completely, then forwarded.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_account::ByteAccount;
use eelgrassmill_base::{HostId, ServiceName};
use eelgrassmill_engine::{SendError, TargetRequest, TargetResponse};
use eelgrassmill_fleet::{
    ColdRateLimiter, ColdStart, Fleet, Host, HostCandidate, PacedHost, ReturnTicket, TargetOutcome,
    choose_host,
};
use http::{Response, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tracing::info;

use crate::body::ResponseBody;
use crate::call::Call;
use crate::core::Core;
use crate::crash_detection::{Broken, is_up_after_end};
use crate::heads::locked;
use crate::metrics::RetryReason;
use crate::pacing::PacedRequest;
use crate::ports::{AttemptMetadata, Dialect, Platform, ResponseClass};
use crate::quarantine::Admission;
use crate::refusal::{Refusal, RefusalCause};
use crate::{crash_detection, host_signals, pacing, quarantine};

/// Longest response that is held in memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Timeout of an attempt that can be retried, in multiples of the route's latency objective: by
/// then the response is late, and half of the route's timeout is left for another host.
const ATTEMPT_TIMEOUT_IN_OBJECTIVES: u32 = 2;
/// Retry-After when every host refused and nothing was measured: hosts refuse while their short queue is full, and it has
/// room again a few responses later.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(150);

/// Hosts whose limits are found used up before a call is rejected.
const MAX_DENIALS: u32 = 4;

/// Counts a request at a host until it is dropped. The outcome defaults to failed, so that an
/// attempt that is dropped early counts as a failure.
struct RequestGuard<'c, P: Platform> {
    core: &'c Core<P>,
    host: HostId,
    outcome: TargetOutcome,
}

impl<P: Platform> Drop for RequestGuard<'_, P> {
    fn drop(&mut self) {
        locked(&self.core.targets).on_request_end(&self.host, self.outcome, Instant::now());
    }
}

/// The result of one attempt.
enum AttemptResult {
    /// A complete response.
    Answered(StatusCode, http::HeaderMap, Bytes),
    /// No host received it.
    NotSent(SmolStr),
    /// A host refused it and never executes it.
    NotRun(SmolStr),
    /// A host may have executed it.
    Unknown(SmolStr),
    /// The same, of a host that answered with this status, which would promise otherwise.
    FalsePromise(StatusCode),
}

/// Serves a unary call.
pub(crate) async fn run<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    service: ServiceName,
    admission: Admission,
) -> Result<Response<ResponseBody>, Refusal> {
    core.count_for_retry_budget(&service);
    if core.cfg.policies.fair_share && !call.is_returning() {
        let mut estimates = locked(&core.plain_estimates);
        let estimate = estimates.entry(service.clone()).or_default();
        estimate.on_arrival(Instant::now());
    }
    let mut tried: SmallVec<[HostId; 4]> = SmallVec::new();
    let mut runs = 0;
    let mut delivered = 0;
    let mut denials = 0;
    let mut fallback = None;
    let mut refused = RefusalCause::HostsRefused;
    while !call.remaining().is_zero() {
        let Some(host) = pick_host(core, &service, &tried) else {
            break;
        };
        if let Err(refusal) = quarantine::check_attempt(core, call, &service, admission, runs) {
            if runs > 0 {
                break;
            }
            return Err(refusal);
        }
        if !host_signals::may_send(core, &host.id).await {
            denials += 1;
            if denials >= MAX_DENIALS {
                break;
            }
            continue;
        }
        // It may have waited, and the node may have been told to stop meanwhile.
        if runs == 0 && !core.may_start(call.last_reply_at()) {
            return Err(Refusal::node_leaving());
        }
        if delivered > 0 && !core.try_retry(&service, RetryReason::Attempt) {
            refused = RefusalCause::RetryBudgetExhausted;
            break;
        }
        let attempt_timeout = attempt_timeout(call, runs);
        let sent_at = Instant::now();
        let until = sent_at + attempt_timeout;
        let attempt = attempt(core, call, &host, until).await;
        tried.push(host.id.clone());
        log_attempt(call, &host, &attempt);
        match attempt {
            AttemptResult::Answered(status, headers, body) => {
                runs += 1;
                delivered += 1;
                let failed = status.is_server_error();
                if !failed {
                    quarantine::on_completed(core, call, &service);
                }
                let response = full_response(core, status, &headers, body);
                if !failed || !call.is_idempotent() || runs >= call.route.attempts {
                    return Ok(response);
                }
                fallback = Some(response);
            }
            AttemptResult::NotSent(_) => {}
            AttemptResult::NotRun(_) => delivered += 1,
            AttemptResult::Unknown(_) | AttemptResult::FalsePromise(_) => {
                let is_broken = matches!(attempt, AttemptResult::Unknown(_));
                if is_broken && Instant::now() < until {
                    let broken = Broken {
                        sent: sent_at,
                        at: Instant::now(),
                        started: false,
                        wrote_for: Duration::ZERO,
                        last_received: None,
                    };
                    crash_detection::on_broken(core, call, (&host).into(), broken);
                }
                runs += 1;
                delivered += 1;
                if !call.is_idempotent() || runs >= call.route.attempts {
                    break;
                }
            }
        }
    }
    fallback.ok_or_else(|| {
        if let Some(refusal) = (runs == 0).then(|| rest_refusal(core, &service)).flatten() {
            return refusal;
        }
        let limited = (delivered == 0).then(|| limit_refusal(core, &service));
        limited
            .flatten()
            .unwrap_or_else(|| refusal_of(core, call, &service, runs, delivered, refused))
    })
}

/// The refusal of a call that has not run, if all hosts of the service rest.
fn rest_refusal<P: Platform>(core: &Core<P>, service: &str) -> Option<Refusal> {
    let fleet = locked(&core.fleet);
    let hosts = fleet
        .hosts()
        .filter(|h| h.service == service && fleet.takes_requests(h));
    let signals = &core.host_signals;
    let remaining = signals.shortest_rest(hosts.map(|h| &h.id), Instant::now())?;
    Some(signals.rest_refusal(remaining))
}

/// The refusal of a call that no host received, if limits that hosts of the service name are used
/// up.
fn limit_refusal<P: Platform>(core: &Core<P>, service: &str) -> Option<Refusal> {
    let now = Instant::now();
    let fleet = locked(&core.fleet);
    let hosts = fleet.hosts().filter(|h| h.service == service);
    let retry_after = core.host_signals.retry_after(hosts.map(|h| &h.id), now)?;
    // Callers of this node that are rejected until the same time must not return together.
    let retry_after = retry_after.mul_f64(1.0 + fastrand::f64());
    Some(Refusal::with_retry_after(
        RefusalCause::HostLimit,
        retry_after,
    ))
}

/// The refusal of a call that no host answered. It states that the call didn't run only where
/// that is certain; the cause is then `refused` if the call reached a host at all.
fn refusal_of<P: Platform>(
    core: &Core<P>,
    call: &Call,
    service: &ServiceName,
    runs: u32,
    delivered: u32,
    refused: RefusalCause,
) -> Refusal {
    let out_of_time = call.remaining().is_zero();
    if runs > 0 {
        let cause = if out_of_time {
            RefusalCause::ResponseTimeout
        } else {
            RefusalCause::BrokenResponse
        };
        return Refusal::new(cause);
    }
    if out_of_time {
        return Refusal::new(RefusalCause::DeadlineExceeded);
    }
    let cause = if delivered > 0 {
        refused
    } else {
        RefusalCause::NoHealthyTarget
    };
    let measured = (delivered > 0).then(|| retry_after(core, call, service));
    Refusal::with_retry_after(cause, measured.flatten().unwrap_or(RETRY_AFTER_FULL))
}

/// When the hosts of a full service have room for a call again; `None` if that is not known.
fn retry_after<P: Platform>(
    core: &Core<P>,
    call: &Call,
    service: &ServiceName,
) -> Option<Duration> {
    let slots = {
        let fleet = locked(&core.fleet);
        let hosts = fleet.hosts();
        let hosts = hosts.filter(|h| h.service == *service && fleet.takes_requests(h));
        hosts.map(|h| h.slots).sum()
    };
    let nodes = core.active_node_count().max(1) as f64;
    let mut estimates = locked(&core.plain_estimates);
    let estimate = estimates.get_mut(service)?;
    // Callers choose nodes evenly, so each node has an equal part of the slots.
    let rate = estimate.free_rate(slots)? / nodes;
    let ticket = ReturnTicket {
        customer: call.customer().into(),
        prompt_tokens: call.metadata.prompt_tokens,
        urgency: call.urgency(),
    };
    Some(estimate.retry_after(ticket, rate, 0, Instant::now()))
}

/// Records how long a host of a plain service took.
fn on_served<P: Platform>(core: &Core<P>, service: &ServiceName, took: Duration) {
    if core.cfg.policies.fair_share {
        let mut estimates = locked(&core.plain_estimates);
        estimates
            .entry(service.clone())
            .or_default()
            .on_released(took);
    }
}

fn attempt_timeout(call: &Call, runs: u32) -> Duration {
    let left = call.remaining();
    if call.is_idempotent() && runs + 1 < call.route.attempts {
        left.min((call.route.latency_objective * ATTEMPT_TIMEOUT_IN_OBJECTIVES).max(left / 4))
    } else {
        left
    }
}

/// Picks one of the route's services by weight, if possible one for which the call isn't
/// quarantined. Services of weight zero get no requests.
pub(crate) fn pick_service<P: Platform>(
    core: &Core<P>,
    call: &Call,
) -> Result<ServiceName, Refusal> {
    let unavailable = || Refusal::with_retry_after(RefusalCause::NoHealthyTarget, RETRY_AFTER_FULL);
    let weighted = call.route.services.iter().filter(|(_, weight)| *weight > 0);
    let mut services: SmallVec<[&(ServiceName, u32); 2]> = weighted.clone().collect();
    services.retain(|(service, _)| quarantine::is_clear(core, call, service));
    if services.is_empty() {
        services.extend(weighted);
    }
    let total: u64 = services.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 || call.route.attempts == 0 {
        return Err(unavailable());
    }
    let mut at = fastrand::u64(0..total);
    let chosen = services.iter().find(|(_, weight)| {
        let is_chosen = at < u64::from(*weight);
        at = at.saturating_sub(u64::from(*weight));
        is_chosen
    });
    let service = chosen
        .map(|(service, _)| service.clone())
        .ok_or_else(unavailable)?;
    let fleet = locked(&core.fleet);
    let serves = |s: &ServiceName| {
        fleet
            .hosts()
            .any(|h| h.service == *s && fleet.takes_requests(h))
    };
    if serves(&service) {
        return Ok(service);
    }
    // Falls back to another service of a weighted route if the picked one has no host.
    let other = services.iter().find(|(s, _)| serves(s));
    other.map(|(s, _)| s.clone()).ok_or_else(unavailable)
}

fn pick_host<P: Platform>(core: &Core<P>, service: &str, tried: &[HostId]) -> Option<Host> {
    let now = Instant::now();
    let cold_start = core.catalog().service(service).and_then(|s| s.cold);
    let nodes = core.active_node_count();
    let fleet = locked(&core.fleet);
    let stats = locked(&core.targets);
    let mut limiter = locked(&core.cold_rate_limiter);
    let cold_start_of = |h: &Host| cold_start.filter(|cold| is_cold(&fleet, h, cold, now));
    if let Some(cold) = &cold_start {
        limiter.remove_warm(cold, now);
    }
    let is_within_rate = |h: &Host, limiter: &mut ColdRateLimiter| {
        let draw = fastrand::f64();
        cold_start_of(h).is_none_or(|cold| limiter.may_send(&h.id, &cold, nodes, draw, now))
    };
    let usable = |h: &&Host| {
        let is_wanted = h.service == service && !tried.contains(&h.id);
        is_wanted
            && fleet.takes_requests(h)
            && !core.host_signals.is_resting(&h.id, now)
            && !core.host_signals.is_denied(&h.id, now)
            && is_within_rate(h, &mut limiter)
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
    let listed = || {
        let hosts = fleet.hosts().filter(|h| h.service == service);
        let listed = hosts.map(|h| PacedHost {
            host: h.id.clone(),
            incarnation: h.started_ms,
            slots: pacing::part_of(h.slots, nodes),
            cold_limit: cold_start_of(h)
                .map(|cold| pacing::part_of(cold.max_rate.get() as usize, nodes)),
        });
        listed.collect()
    };
    let candidates =
        pacing::preferred_plain(core, service, listed, candidates, tried.is_empty(), now);
    let chosen = choose_host(&candidates, 0.0, fastrand::f64())?;
    let chosen = fleet.host(&chosen.host)?;
    if cold_start_of(chosen).is_some() {
        limiter.on_sent(&chosen.id);
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
    until: Instant,
) -> AttemptResult {
    locked(&core.targets).on_request_start(&host.id);
    let mut running = RequestGuard {
        core,
        host: host.id.clone(),
        outcome: TargetOutcome::Failed,
    };
    let mut paced = pacing::send_plain(core, call, &host.service, &host.id);
    let req = target_request(core, call, &host.id, None, None);
    let sent_at = Instant::now();
    let attempt_timeout = until.saturating_duration_since(Instant::now());
    let sent = core
        .http
        .send_within(&host.address, req, attempt_timeout)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(SendError::NotSent(why) | SendError::Refused(why)) => {
            return AttemptResult::NotSent(why.into());
        }
        Err(err) => return AttemptResult::Unknown(err.to_string().into()),
    };
    let status = response.status;
    let class = core.platform.dialect().classify(status, &response.headers);
    if class.is_of_host() {
        crash_detection::on_received(core, host);
        let headers = &response.headers;
        if host_signals::observe(core, &host.id, host.started_ms, status, headers) {
            running.outcome = TargetOutcome::Resting;
        }
    }
    match class {
        ResponseClass::NotRun => {
            if running.outcome != TargetOutcome::Resting {
                paced.iter().for_each(PacedRequest::on_failed);
            }
            AttemptResult::NotRun("refused".into())
        }
        ResponseClass::WrongHost => AttemptResult::NotRun("another host has this address".into()),
        ResponseClass::Unverified => AttemptResult::Unknown("unverified response".into()),
        ResponseClass::FalsePromise => {
            core.metrics.count_false_promise(&host.service, status);
            AttemptResult::FalsePromise(status)
        }
        ResponseClass::Answered => {
            let is_framed = response.is_framed();
            let read = read_whole(&core.account, response, until).await;
            if read.is_ok() && !is_framed && !is_up_after_end(core, &host.address).await {
                return AttemptResult::Unknown("host is down at the end of its response".into());
            }
            if read.is_ok() && !status.is_server_error() {
                running.outcome = TargetOutcome::Served;
                if let Some(paced) = &mut paced {
                    paced.on_event(Instant::now());
                }
                on_served(core, &host.service, sent_at.elapsed());
            }
            match read {
                Ok((headers, body)) => AttemptResult::Answered(status, headers, body),
                Err(why) => AttemptResult::Unknown(why),
            }
        }
    }
}

async fn read_whole(
    account: &ByteAccount,
    response: TargetResponse,
    until: Instant,
) -> Result<(http::HeaderMap, Bytes), SmolStr> {
    let headers = response.headers.clone();
    let left = until.saturating_duration_since(Instant::now());
    let read = response.read_whole_within(account, MAX_RESPONSE_BYTES);
    match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => Ok((headers, body)),
        Ok(Err(err)) => Err(err.to_string().into()),
        Err(_) => Err("timed out reading the response body".into()),
    }
}

/// Builds the request to a host.
pub(crate) fn target_request<P: Platform>(
    core: &Core<P>,
    call: &Call,
    host: &HostId,
    urgency: Option<u8>,
    resume_after: Option<SmolStr>,
) -> TargetRequest {
    let attempt = AttemptMetadata {
        host: host.clone(),
        timeout: call.remaining(),
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

fn full_response<P: Platform>(
    core: &Core<P>,
    status: StatusCode,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    *response.headers_mut() = core.platform.dialect().response_headers(headers);
    response
}

fn log_attempt(call: &Call, host: &Host, attempt: &AttemptResult) {
    let (outcome, why) = match attempt {
        AttemptResult::Answered(status, ..) if !status.is_server_error() => return,
        AttemptResult::Answered(status, ..) => ("failed", SmolStr::from(status.as_str())),
        AttemptResult::NotSent(why) => ("not-sent", why.clone()),
        AttemptResult::NotRun(why) => ("not-run", why.clone()),
        AttemptResult::Unknown(why) => ("unknown", why.clone()),
        AttemptResult::FalsePromise(status) => ("false-promise", SmolStr::from(status.as_str())),
    };
    info!(event = "attempt", request = %call.metadata.id, host = %host.id, outcome, %why);
}
