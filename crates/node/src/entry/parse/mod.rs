//! From a caller's HTTP request to a checked one.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_account::{ByteAccount, DrainLimits, ReadError};
use eelgrassmill_base::{IdempotencyKey, ServiceName, Tokens, Urgency};
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use smol_str::SmolStr;

use super::problem::Problem;

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY: usize = 1024 * 1024;
/// A caller that has not sent its whole body after this long is refused.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// When a caller may come back whose request didn't fit into memory.
const OUT_OF_MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 200;
/// Longest deadline a caller may ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// What a completion asks for when it names no length.
const DEFAULT_MAX_TOKENS: Tokens = 256;
/// Most tokens one completion may ask for.
const MAX_TOKENS: Tokens = 131_072;
/// Bytes of prompt that are counted as one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;

const SERVICES_PREFIX: &str = "/services/";

/// What a caller's path asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Addresses,
    Model,
    /// A plain service, with the path that its target gets.
    Plain {
        service: ServiceName,
        path: String,
    },
}

/// The headers that matter to policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Wishes {
    pub(crate) urgency: Urgency,
    pub(crate) timeout: Option<Duration>,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) traceparent: Option<SmolStr>,
}

/// What a completion's body asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelCall {
    pub(crate) service: ServiceName,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Tokens,
    pub(crate) stream: bool,
}

impl ModelCall {
    /// Tokens that the call is taken to cost until its end is known.
    pub(crate) fn estimate(&self) -> Tokens {
        self.max_tokens + self.prompt_tokens()
    }

    /// Estimate of the prompt's length.
    pub(crate) fn prompt_tokens(&self) -> Tokens {
        self.prompt.len() as u64 / BYTES_PER_TOKEN
    }
}

#[derive(Deserialize)]
struct Wire {
    model: Option<SmolStr>,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<Tokens>,
    max_completion_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// Finds out what `path` asks for.
pub(crate) fn route(method: &Method, uri: &http::Uri) -> Result<Route, Problem> {
    match uri.path() {
        "/v1/addresses" => only(method, &Method::GET, Route::Addresses),
        "/v1/completions" | "/v1/chat/completions" => only(method, &Method::POST, Route::Model),
        path => plain(path, uri.query()),
    }
}

fn only(method: &Method, allowed: &Method, route: Route) -> Result<Route, Problem> {
    if method == allowed {
        return Ok(route);
    }
    Err(Problem::not_run(
        StatusCode::METHOD_NOT_ALLOWED,
        format!("this path takes {allowed} only"),
    ))
}

fn plain(path: &str, query: Option<&str>) -> Result<Route, Problem> {
    let unknown = || Problem::not_run(StatusCode::NOT_FOUND, format!("no such path: {path}"));
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or_else(unknown)?;
    let (service, tail) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(unknown());
    }
    let mut target = format!("/{tail}");
    if let Some(query) = query {
        target.push('?');
        target.push_str(query);
    }
    Ok(Route::Plain {
        service: service.into(),
        path: target,
    })
}

/// Reads the headers that matter to policy.
pub(crate) fn wishes(parts: &Parts) -> Result<Wishes, Problem> {
    let headers = &parts.headers;
    Ok(Wishes {
        urgency: urgency(text(headers, "priority")?)?,
        timeout: timeout(text(headers, "x-request-timeout")?)?,
        key: key(text(headers, "idempotency-key")?)?,
        traceparent: text(headers, "traceparent")?.map(SmolStr::new),
    })
}

fn bad(detail: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, detail)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    // Two values leave open which one the caller meant.
    if headers.get_all(name).iter().count() > 1 {
        return Err(bad(format!("header {name} is given more than once")));
    }
    let value = value
        .to_str()
        .map_err(|_| bad(format!("header {name} is not plain text")))?;
    Ok(Some(value.trim()))
}

/// RFC 9218: `u=0` to `u=7`; other parameters are left alone.
fn urgency(header: Option<&str>) -> Result<Urgency, Problem> {
    let Some(header) = header else {
        return Ok(Urgency::DEFAULT);
    };
    let value = header
        .split(',')
        .map(str::trim)
        .find_map(|part| part.strip_prefix("u="));
    match value {
        None => Ok(Urgency::DEFAULT),
        Some(v) => match v.parse::<u8>() {
            Ok(u) if u <= 7 => Ok(Urgency(u)),
            _ => Err(bad(format!("Priority: u={v} is not u=0 to u=7"))),
        },
    }
}

fn timeout(header: Option<&str>) -> Result<Option<Duration>, Problem> {
    let Some(header) = header else {
        return Ok(None);
    };
    let refuse = || bad("X-Request-Timeout is not a number of seconds above 0, up to 3600");
    let secs: f64 = header.parse().map_err(|_| refuse())?;
    if !(secs > 0.0 && secs <= MAX_TIMEOUT.as_secs_f64()) {
        return Err(refuse());
    }
    Ok(Some(Duration::from_secs_f64(secs)))
}

fn key(header: Option<&str>) -> Result<Option<IdempotencyKey>, Problem> {
    match header {
        None => Ok(None),
        Some("") => Err(bad("Idempotency-Key is empty")),
        Some(k) if k.len() > MAX_KEY => Err(bad(format!(
            "Idempotency-Key is longer than {MAX_KEY} bytes"
        ))),
        Some(k) => Ok(Some(k.into())),
    }
}

/// The bearer token, if the request carries one.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(http::header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

/// Reads the whole body, within the account and its limits of size and until `deadline`.
pub(crate) async fn read_body(
    body: &mut Incoming,
    account: &ByteAccount,
    deadline: Instant,
) -> Result<Bytes, Problem> {
    let read = eelgrassmill_account::read_body(body, account, MAX_BODY, deadline);
    read.await.map_err(body_problem)
}

fn body_problem(err: ReadError) -> Problem {
    let status = match err {
        ReadError::TooLong => {
            let detail = format!("the body is larger than {MAX_BODY} bytes");
            return Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail);
        }
        ReadError::Broken => return bad("the body broke off"),
        ReadError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        ReadError::OutOfMemory => return out_of_memory(),
    };
    Problem::not_run(status, err.to_string())
}

/// The refusal of a request that exceeds the memory for callers.
pub(crate) fn out_of_memory() -> Problem {
    let detail = ReadError::OutOfMemory.to_string();
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).retry_after(OUT_OF_MEMORY_RETRY)
}

/// Reads the rest of a refused request's body until `deadline` while the answer is sent.
pub(crate) async fn drain_body(body: Incoming, deadline: Instant) {
    let limits = DrainLimits {
        bytes: MAX_BODY,
        deadline,
    };
    eelgrassmill_account::drain_body(body, limits).await;
}

/// Reads a completion's body.
pub(crate) fn model_call(body: &[u8]) -> Result<ModelCall, Problem> {
    let wire: Wire = serde_json::from_slice(body)
        .map_err(|e| bad(format!("the body is not a completion: {e}")))?;
    let service = wire
        .model
        .filter(|m| !m.is_empty())
        .ok_or_else(|| bad("the body names no model"))?;
    let prompt = match (wire.prompt, wire.messages) {
        (Some(prompt), None) => prompt,
        (None, Some(messages)) => join(&messages),
        _ => return Err(bad("the body must have one of prompt and messages")),
    };
    let max_tokens = wire
        .max_tokens
        .or(wire.max_completion_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS {
        return Err(bad(format!("max_tokens is not 1 to {MAX_TOKENS}")));
    }
    Ok(ModelCall {
        service,
        prompt,
        max_tokens,
        stream: wire.stream,
    })
}

fn join(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}

#[cfg(test)]
mod tests;
