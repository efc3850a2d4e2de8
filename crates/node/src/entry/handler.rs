//! What happens to a caller's request, from its first byte to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_account::{Connection, HeldKind, REQUEST_BYTES};
use eelgrassmill_base::{Outcome, Tokens};
use eelgrassmill_config::{Config, Service, ServiceKind, Tenant};
use eelgrassmill_engine::StreamEvent;
use eelgrassmill_route::{PrefixHashes, RetryDenied, backoff, may_retry, prefix_hashes};
use eelgrassmill_timeline::EventKind;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use smol_str::{SmolStr, format_smolstr};

use super::addresses;
use super::answer::{self, Whole};
use super::attempt::{self, Attempt, NotStarted, Started};
use super::body::AnswerBody;
use super::call::{Call, Failure};
use super::ending::Ending;
use super::listen::Handler;
use super::parse::{self, Route, Wishes};
use super::problem::Problem;
use super::relay::Relay;
use super::trial;
use crate::once::Once;
use crate::state::core::{Core, serving_service};
use crate::state::lock::lock;
use crate::state::shard::{Avoided, Shard};

/// Estimated cost of a call of a plain service, in tokens.
const PLAIN_COST: Tokens = 1;

/// Answers callers.
pub(crate) struct Entry {
    pub(crate) core: Arc<Core>,
    pub(crate) once: Once,
}

/// What the attempts of one call came to.
pub(crate) enum Ran {
    /// A whole answer.
    Whole(Whole),
    /// A stream whose first event has come.
    Stream(Box<Relay>, StreamEvent),
}

impl Handler for Entry {
    async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, mut body) = req.into_parts();
        let deadline = Instant::now() + parse::BODY_TIMEOUT;
        match self.answer(&parts, &mut body, deadline).await {
            Ok(resp) => resp,
            Err(problem) => {
                // A caller that waits for 100 Continue must not be asked for the body.
                if !parts.headers.contains_key(header::EXPECT) {
                    tokio::spawn(parse::drain_body(body, deadline));
                }
                problem.into_response()
            }
        }
    }
}

impl Entry {
    async fn answer(
        &self,
        parts: &Parts,
        body: &mut Incoming,
        body_deadline: Instant,
    ) -> Result<Response<AnswerBody>, Problem> {
        let route = parse::route(&parts.method, &parts.uri)?;
        let cfg = self.core.config.config();
        if route == Route::Addresses {
            // Where the entries are is no secret; a token only spreads callers better.
            let tenant = tenant(&cfg, &parts.headers).ok();
            return addresses::answer(&self.core, &cfg, parts, tenant);
        }
        let tenant = tenant(&cfg, &parts.headers)?;
        let wishes = parse::wishes(parts)?;
        let connection = parts.extensions.get::<Connection>();
        let charge = self
            .core
            .account
            .charge(HeldKind::InProgress, REQUEST_BYTES);
        let charge = charge.await.map_err(|_| parse::out_of_memory())?;
        if let Some(connection) = connection {
            connection.hold(charge);
        }
        let body = parse::read_body(body, &self.core.account, body_deadline).await?;
        if let Some(connection) = connection {
            connection.mark_received();
        }
        let call = self.call(&cfg, tenant, route, parts, wishes, body)?;
        lock(&self.core.retries).deposit(&call.tenant);
        self.core.count(&call.tenant, |c| c.admitted += 1);
        self.core.journal.note(EventKind::RequestAdmitted {
            request: call.id.clone(),
            tenant: call.tenant.clone(),
            service: call.service.clone(),
            urgency: call.urgency,
        });
        let ending = Ending::of(&call);
        let result = tokio::select! {
            result = self.run(call) => result,
            // Signals the caller not to wait for more.
            () = self.core.until_end() => Err(Problem::unknown(ending.cut())),
        };
        let result = result.map_err(|problem| self.with_others(&cfg, problem));
        ending.note(&self.core, &result);
        result.map(|mut resp| {
            super::call::put(resp.headers_mut(), "x-request-id", &ending.id);
            resp
        })
    }

    /// Names other entries to a caller that found this one full.
    fn with_others(&self, cfg: &Config, problem: Problem) -> Problem {
        if problem.status() != StatusCode::SERVICE_UNAVAILABLE {
            return problem;
        }
        let caller = self.core.ident.unique();
        problem.instead(addresses::others(&self.core, cfg, &caller))
    }

    async fn run(&self, call: Call) -> Result<Response<AnswerBody>, Problem> {
        match call.key {
            Some(_) => self.once.answer(&self.core, call).await,
            None => self.plain_answer(call).await,
        }
    }

    /// A call that needs no claim.
    async fn plain_answer(&self, call: Call) -> Result<Response<AnswerBody>, Problem> {
        match run(&self.core, &call).await? {
            Ran::Whole(whole) => Ok(whole.into_response()),
            Ran::Stream(relay, first) => {
                let (audience, body) = super::relay::Audience::new(&self.core.account, false);
                tokio::spawn(relay.run(first, audience));
                Ok(super::relay::response(body))
            }
        }
    }

    fn call(
        &self,
        cfg: &Config,
        tenant: &Tenant,
        route: Route,
        parts: &Parts,
        wishes: Wishes,
        body: Bytes,
    ) -> Result<Call, Problem> {
        let (name, path, shape) = match route {
            Route::Plain { service, path } => (service, path, Shape::plain()),
            _ => {
                let call = parse::model_call(&body)?;
                let path = parts.uri.path().to_owned();
                (call.service.clone(), path, Shape::completion(&call))
            }
        };
        let service = known_service(cfg, &name, shape.completion)?;
        let began = Instant::now();
        let timeout = wishes.timeout.unwrap_or(service.timeout);
        Ok(Call {
            id: self.core.ident.unique(),
            tenant: tenant.name.clone(),
            served_by: serving_service(cfg, service).name.clone(),
            service: name,
            method: parts.method.clone(),
            path,
            body,
            content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
            urgency: wishes.urgency,
            traceparent: wishes.traceparent,
            // A key asks for at most one run, whatever the service allows.
            repeatable: service.repeatable && wishes.key.is_none(),
            key: wishes.key,
            stream: shape.stream,
            completion: shape.completion,
            prefixes: shape.prefixes,
            prompt_tokens: shape.prompt_tokens,
            tokens: shape.tokens,
            began,
            deadline: began + timeout.min(service.timeout),
            weight: tenant.weight,
            max_tenant_queue: tenant.max_queue,
        })
    }
}

/// What the body of a call says of its cost and its answer.
struct Shape {
    stream: bool,
    completion: bool,
    prefixes: PrefixHashes,
    prompt_tokens: Tokens,
    tokens: Tokens,
}

impl Shape {
    fn plain() -> Shape {
        Shape {
            stream: false,
            completion: false,
            prefixes: PrefixHashes::new(),
            prompt_tokens: 0,
            tokens: PLAIN_COST,
        }
    }

    fn completion(call: &parse::ModelCall) -> Shape {
        Shape {
            stream: call.stream,
            completion: true,
            prefixes: prefix_hashes(&call.prompt),
            prompt_tokens: call.prompt_tokens(),
            tokens: call.estimate(),
        }
    }
}

/// The tenant whose token the request carries.
///
/// Tokens are found by their SHA-256, so the time that a comparison takes
/// tells nothing of a token that would match.
fn tenant<'a>(cfg: &'a Config, headers: &HeaderMap) -> Result<&'a Tenant, Problem> {
    let refuse = |detail: &str| Problem::not_run(StatusCode::UNAUTHORIZED, detail);
    let token = parse::bearer(headers).ok_or_else(|| refuse("a bearer token is needed"))?;
    let digest = sha256_hex(token);
    cfg.tenants
        .values()
        .find(|t| t.token_sha256 == digest)
        .ok_or_else(|| refuse("the bearer token is no tenant's"))
}

fn sha256_hex(text: &str) -> SmolStr {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(text.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.into()
}

fn known_service<'a>(
    cfg: &'a Config,
    name: &str,
    completion: bool,
) -> Result<&'a Service, Problem> {
    let unknown = || {
        let detail = format!("no such service: {name}");
        Problem::not_run(StatusCode::NOT_FOUND, detail)
    };
    let service = cfg.services.get(name).ok_or_else(unknown)?;
    let plain = matches!(service.kind, ServiceKind::Plain { .. });
    if plain == completion {
        let detail = format!("service {name} does not take this kind of call");
        return Err(Problem::not_run(StatusCode::NOT_FOUND, detail));
    }
    Ok(service)
}

/// Runs a call, with retries where nothing ran or the call may be repeated.
pub(crate) async fn run(core: &Arc<Core>, call: &Call) -> Result<Ran, Problem> {
    // After the claim of a call that has a key: an answer that is kept is told to the end.
    if !core.may_begin(call.deadline) {
        return Err(super::call::may_outlast_node());
    }
    let mut may_have_run = false;
    let ran = attempts(core, call, &mut may_have_run).await;
    // "Not run" is said of the whole call and not of its last attempt.
    ran.map_err(|problem| match may_have_run {
        true => problem.after_a_run(),
        false => problem,
    })
}

async fn attempts(core: &Arc<Core>, call: &Call, may_have_run: &mut bool) -> Result<Ran, Problem> {
    let shard = core
        .shard(&call.served_by)
        .ok_or_else(|| super::call::nothing_serves(&call.service, ""))?;
    let print = trial::print_of(call);
    let mut avoid = Avoided::new();
    let mut attempt = 1;
    loop {
        let suspect = trial::check(core, call, print).await?;
        let next = Attempt {
            number: attempt,
            avoid: away(core, &avoid, suspect),
            suspect,
            resume_from: 0,
        };
        let failure = match attempt::start(core, &shard, call, &next).await {
            Ok(started) => {
                avoid.extend(started.place.group());
                match finish(core, &shard, call, started, attempt).await {
                    Ok(ran) => return Ok(ran),
                    Err(failure) => failure,
                }
            }
            Err(NotStarted::Refused(problem)) => return Err(problem),
            Err(NotStarted::Failed(failure, pick)) => {
                avoid.push(pick.group);
                failure
            }
        };
        *may_have_run |= failure.outcome != Outcome::NotRun;
        if retry(core, call, attempt, &failure).is_err() {
            return Err(failure.into_problem());
        }
        attempt += 1;
        tokio::time::sleep(pause(core, call, attempt)).await;
    }
}

/// Groups to keep away from: those that failed, and for a suspect those where another runs.
fn away(core: &Core, failed: &Avoided, suspect: bool) -> Avoided {
    let mut avoid = failed.clone();
    if suspect {
        avoid.extend(lock(&core.guard).on_trial(Instant::now()));
    }
    avoid
}

async fn finish(
    core: &Arc<Core>,
    shard: &Arc<Shard>,
    call: &Call,
    started: Started,
    attempt: u32,
) -> Result<Ran, Failure> {
    // An engine's own error is no completion; a plain service's is its answer.
    if call.completion && started.response.status.is_server_error() {
        let status = started.response.status;
        return Err(Failure::unknown(format_smolstr!(
            "the engine answered {status}"
        )));
    }
    if call.stream && started.response.status.is_success() {
        let (core, shard) = (core.clone(), shard.clone());
        let (relay, first) = Relay::begin(core, shard, call.clone(), started, attempt).await?;
        return Ok(Ran::Stream(Box::new(relay), first));
    }
    answer::read(core, call, started).await.map(Ran::Whole)
}

fn retry(core: &Core, call: &Call, attempt: u32, failure: &Failure) -> Result<(), RetryDenied> {
    let mut budget = lock(&core.retries);
    may_retry(
        failure.outcome,
        call.repeatable,
        attempt,
        &call.tenant,
        &mut budget,
    )?;
    drop(budget);
    core.journal.note(EventKind::RequestRetried {
        request: call.id.clone(),
        attempt,
        reason: failure.detail.clone(),
    });
    Ok(())
}

/// The pause before an attempt, never beyond the deadline.
fn pause(core: &Core, call: &Call, attempt: u32) -> Duration {
    let mut rng = fastrand::Rng::with_seed(core.ident.seed(&call.id));
    backoff(attempt - 1, &mut rng).min(call.left(Instant::now()))
}
