//! From a whole request to a whole answer, without any I/O of its own.

use bytes::Bytes;
use eelgrassmill_base::ConfigVersion;
use eelgrassmill_config::{Config, Submit, diff};
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Response, StatusCode, request};
use serde::Serialize;

use super::backend::{AdminBackend, BackendError};
use super::call::{Call, CallError};
use super::info::{ConfigVersionInfo, SubmitReply};
use super::problem::Problem;
use crate::admin_token::TokenHash;
use crate::metrics::{AdminRefusal, Metrics};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROBLEM: HeaderValue = HeaderValue::from_static("application/problem+json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
const RETRY_SECONDS: HeaderValue = HeaderValue::from_static("2");
const BEARER: &str = "Bearer";

/// A refused call: what to count and what to say.
pub(crate) struct Refused {
    status: StatusCode,
    reason: AdminRefusal,
    detail: String,
}

impl Refused {
    pub(crate) fn new(
        status: StatusCode,
        reason: AdminRefusal,
        detail: impl Into<String>,
    ) -> Refused {
        Refused {
            status,
            reason,
            detail: detail.into(),
        }
    }

    /// Counts it and gives the answer.
    pub(crate) fn answer(self, metrics: &Metrics) -> Response<Bytes> {
        metrics.admin_refused(self.reason);
        let mut answer = problem(&Problem::new(self.status, self.reason.name(), self.detail));
        if self.status == StatusCode::UNAUTHORIZED {
            answer
                .headers_mut()
                .insert(WWW_AUTHENTICATE, HeaderValue::from_static(BEARER));
        }
        answer
    }
}

/// Which call the head of a request makes, if it may: checked before its body is read.
pub(crate) fn admit(head: &request::Parts, token: &TokenHash) -> Result<Call, Refused> {
    let call = Call::read(
        &head.method,
        head.uri.path(),
        head.uri.query().unwrap_or(""),
    );
    if call == Ok(Call::Live) {
        return Ok(Call::Live);
    }
    // Before anything else: a caller without the token isn't told which calls there are.
    check_token(&head.headers, token)?;
    call.map_err(|e| match e {
        CallError::Unknown { .. } => Refused::new(
            StatusCode::NOT_FOUND,
            AdminRefusal::UnknownCall,
            e.to_string(),
        ),
        CallError::Query(_) => Refused::new(
            StatusCode::BAD_REQUEST,
            AdminRefusal::Malformed,
            e.to_string(),
        ),
    })
}

fn check_token(headers: &HeaderMap, token: &TokenHash) -> Result<(), Refused> {
    let refused =
        |reason, detail: &str| Err(Refused::new(StatusCode::UNAUTHORIZED, reason, detail));
    let mut given = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (given.next(), given.next()) else {
        return refused(
            AdminRefusal::TokenMissing,
            "send one Authorization: Bearer header",
        );
    };
    let bearer = value.to_str().ok().and_then(|v| v.split_once(' '));
    match bearer {
        Some((scheme, given)) if scheme.eq_ignore_ascii_case(BEARER) => {
            if token.matches(given.trim()) {
                return Ok(());
            }
            refused(AdminRefusal::TokenWrong, "the token is not this system's")
        }
        _ => refused(
            AdminRefusal::TokenMissing,
            "send one Authorization: Bearer header",
        ),
    }
}

/// Answers an admitted call.
pub(crate) fn handle(
    backend: &impl AdminBackend,
    metrics: &Metrics,
    call: Call,
    body: &Bytes,
) -> Response<Bytes> {
    let answer = match call {
        Call::Live => return plain("live\n"),
        Call::Metrics => return plain(&backend.metrics()),
        Call::Submit => submit(backend, body),
        Call::Check => check(body),
        Call::Diff => compare(backend, body),
        Call::Show(version) => shown(show(backend, version)),
        Call::Log => shown(backend.log()),
        Call::Status => shown(backend.config_status()),
        Call::Groups => Ok(json(&backend.groups())),
        Call::Hosts => Ok(json(&backend.hosts())),
        Call::Nodes => Ok(json(&backend.nodes())),
        Call::Tenants => Ok(json(&backend.tenants())),
        Call::Suspects => Ok(json(&backend.suspects())),
        Call::Timeline(query) => Ok(json(&backend.timeline(&query))),
    };
    answer.unwrap_or_else(|refused| refused.answer(metrics))
}

fn submit(backend: &impl AdminBackend, body: &Bytes) -> Result<Response<Bytes>, Refused> {
    let submit: Submit = serde_json::from_slice(body).map_err(|e| {
        malformed(format!(
            "the body is no submission ({e}), send id, base, author and text"
        ))
    })?;
    if !eelgrassmill_config::is_valid_name(&submit.id) {
        return Err(malformed(
            "`id` can't be, send letters, digits, `.`, `_` and `-`, at most 64",
        ));
    }
    if submit.author.is_empty() || submit.author.len() > MAX_AUTHOR {
        return Err(malformed(
            "`author` can't be, send a name of at most 128 bytes",
        ));
    }
    Ok(match backend.submit(submit) {
        Ok(reply @ (SubmitReply::Accepted { .. } | SubmitReply::AlreadyAccepted { .. })) => {
            json(&reply)
        }
        Ok(SubmitReply::Conflict { conflict }) => {
            let detail = format!("version {} was accepted meanwhile", conflict.version);
            let mut body = Problem::new(StatusCode::CONFLICT, "conflict", detail);
            body.conflict = Some(conflict);
            problem(&body)
        }
        Ok(SubmitReply::Invalid { errors }) => invalid(errors),
        Err(e) => unable(&e),
    })
}

/// Longest name of an author, in bytes.
const MAX_AUTHOR: usize = 128;

fn check(body: &Bytes) -> Result<Response<Bytes>, Refused> {
    Ok(match Config::parse(text_of(body)?, "text") {
        Ok(_) => json(&serde_json::json!({ "result": "ok" })),
        Err(errors) => invalid(errors.as_slice().iter().map(ToString::to_string).collect()),
    })
}

fn compare(backend: &impl AdminBackend, body: &Bytes) -> Result<Response<Bytes>, Refused> {
    let new = match Config::parse(text_of(body)?, "text") {
        Ok(new) => new,
        Err(errors) => {
            return Ok(invalid(
                errors.as_slice().iter().map(ToString::to_string).collect(),
            ));
        }
    };
    Ok(match backend.show(None) {
        Ok(current) => match Config::parse(&current.text.unwrap_or_default(), "current") {
            Ok(old) => json(&diff(&old, &new)),
            Err(e) => unable(&BackendError::Unavailable(format!("current text: {e}"))),
        },
        Err(e) => unable(&e),
    })
}

/// Versions share rows of the log with later ones: a backend that reads a row
/// whose version has moved on must not pass it off as the one asked for.
fn show(
    backend: &impl AdminBackend,
    version: Option<ConfigVersion>,
) -> Result<ConfigVersionInfo, BackendError> {
    let info = backend.show(version)?;
    match version {
        Some(asked) if asked != info.version => Err(BackendError::NotFound(format!(
            "version {asked} is no longer kept"
        ))),
        _ => Ok(info),
    }
}

fn text_of(body: &Bytes) -> Result<&str, Refused> {
    std::str::from_utf8(body).map_err(|e| malformed(format!("the body is no UTF-8 text ({e})")))
}

fn malformed(detail: impl Into<String>) -> Refused {
    Refused::new(StatusCode::BAD_REQUEST, AdminRefusal::Malformed, detail)
}

fn shown<T: Serialize>(value: Result<T, BackendError>) -> Result<Response<Bytes>, Refused> {
    Ok(match value {
        Ok(value) => json(&value),
        Err(e) => unable(&e),
    })
}

fn invalid(errors: Vec<String>) -> Response<Bytes> {
    let detail = format!("the text has {} mistakes", errors.len());
    let mut body = Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail);
    body.errors = errors;
    problem(&body)
}

fn unable(error: &BackendError) -> Response<Bytes> {
    let (status, title) = match error {
        BackendError::NotFound(_) => (StatusCode::NOT_FOUND, "not-found"),
        BackendError::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        BackendError::Unknown(_) => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
    };
    let mut answer = problem(&Problem::new(status, title, error.to_string()));
    if status != StatusCode::NOT_FOUND {
        answer.headers_mut().insert(RETRY_AFTER, RETRY_SECONDS);
    }
    answer
}

pub(crate) fn problem(body: &Problem) -> Response<Bytes> {
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer(status, PROBLEM, to_json(body))
}

fn json(value: &impl Serialize) -> Response<Bytes> {
    answer(StatusCode::OK, JSON, to_json(value))
}

fn plain(text: &str) -> Response<Bytes> {
    answer(StatusCode::OK, TEXT, text.to_owned().into_bytes())
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("answers hold only numbers, strings and lists")
}

fn answer(status: StatusCode, content: HeaderValue, body: Vec<u8>) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, content);
    answer
}
