//! One call of a caller, from its checks to the attempts that answer it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{Outcome, RequestId, ServiceName, TenantId, Tokens, Urgency};
use eelgrassmill_route::{AdmissionRequest, PrefixHashes, Refusal};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use smol_str::SmolStr;

use super::problem::Problem;

/// When a caller may come back to a service without a group that may serve.
const NO_GROUP_RETRY: Duration = Duration::from_secs(3);

/// Retry-After of a leaving node. Meanwhile the caller uses another of the addresses it is given.
const LEAVING_RETRY: Duration = Duration::from_secs(1);

/// A checked call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) tenant: TenantId,
    /// The service that the caller named.
    pub(crate) service: ServiceName,
    /// The service whose groups or targets serve it.
    pub(crate) served_by: ServiceName,
    pub(crate) method: Method,
    /// Path and query at the target.
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) urgency: Urgency,
    pub(crate) traceparent: Option<SmolStr>,
    pub(crate) key: Option<SmolStr>,
    /// Whether it may run again when nobody knows if it ran.
    pub(crate) repeatable: bool,
    /// Whether the answer is a token stream.
    pub(crate) stream: bool,
    /// Whether the answer is a completion, whose end marker is checked.
    pub(crate) completion: bool,
    pub(crate) prefixes: PrefixHashes,
    /// Estimate of the tokens of its prompt.
    pub(crate) prompt_tokens: Tokens,
    /// Estimate of what it costs.
    pub(crate) tokens: Tokens,
    pub(crate) began: Instant,
    pub(crate) deadline: Instant,
    pub(crate) weight: u32,
    pub(crate) max_tenant_queue: u32,
}

impl Call {
    pub(crate) fn offer(&self) -> AdmissionRequest {
        AdmissionRequest {
            tenant: self.tenant.clone(),
            weight: self.weight,
            urgency: self.urgency,
            tokens: self.tokens,
            deadline: self.deadline,
            max_tenant_queue: self.max_tenant_queue,
        }
    }

    /// The headers that every target gets.
    pub(crate) fn target_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        put(&mut headers, "x-request-id", &self.id);
        put(&mut headers, "x-tenant", &self.tenant);
        let priority = format!("u={}", self.urgency.0);
        put(&mut headers, "priority", &priority);
        if let Some(key) = &self.key {
            put(&mut headers, "idempotency-key", key);
        }
        if let Some(traceparent) = &self.traceparent {
            put(&mut headers, "traceparent", traceparent);
        }
        if let Some(content_type) = &self.content_type {
            headers.insert(http::header::CONTENT_TYPE, content_type.clone());
        }
        headers
    }

    pub(crate) fn prompt_tokens(&self) -> Tokens {
        self.prompt_tokens
    }

    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Puts a header whose value came from a header or a checked name; one that
/// can't be a header value is left out.
pub(crate) fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// An attempt that gave no answer.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) outcome: Outcome,
    pub(crate) detail: SmolStr,
    /// The connection broke, as when an engine dies.
    pub(crate) broke: bool,
    /// Nothing is wrong with the group: the call only has to wait.
    pub(crate) waits: bool,
}

impl Failure {
    pub(crate) fn not_run(detail: impl Into<SmolStr>) -> Failure {
        Failure {
            outcome: Outcome::NotRun,
            detail: detail.into(),
            broke: false,
            waits: false,
        }
    }

    pub(crate) fn unknown(detail: impl Into<SmolStr>) -> Failure {
        Failure {
            outcome: Outcome::Unknown,
            detail: detail.into(),
            broke: false,
            waits: false,
        }
    }

    /// The same, of a connection that broke.
    pub(crate) fn broken(self) -> Failure {
        Failure {
            broke: true,
            ..self
        }
    }

    /// The same, of a call that only has to wait.
    pub(crate) fn waiting(self) -> Failure {
        Failure {
            waits: true,
            ..self
        }
    }

    /// What the caller is told when no attempt follows.
    pub(crate) fn into_problem(self) -> Problem {
        match self.outcome {
            Outcome::NotRun => Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, self.detail)
                .retry_after(NO_GROUP_RETRY),
            _ => Problem::unknown(self.detail),
        }
    }
}

/// What a caller is told whom the queue refused.
pub(crate) fn refused(refusal: &Refusal) -> Problem {
    let status = if refusal.reason.caused_by_tenant() {
        StatusCode::TOO_MANY_REQUESTS
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Problem::not_run(status, refusal.reason.to_string()).retry_after(refusal.retry_after)
}

/// What a caller is told of a call that a leaving node can't be sure to finish.
pub(crate) fn may_outlast_node() -> Problem {
    let detail = "this node leaves, and the call may take longer than it is there";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).retry_after(LEAVING_RETRY)
}

/// What a caller is told of a service that nothing serves.
pub(crate) fn nothing_serves(service: &str, why: &str) -> Problem {
    let detail = format!("no group or target of service {service} can serve now{why}");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).retry_after(NO_GROUP_RETRY)
}
