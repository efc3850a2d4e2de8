//! Errors to callers as problem documents (RFC 9457) with the field `outcome`.

use std::time::Duration;

use eelgrassmill_base::Outcome;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use super::body::AnswerBody;

/// The media type of a problem document.
pub(crate) const PROBLEM_JSON: &str = "application/problem+json";

/// Why a request got no plain answer, as its caller is told.
///
/// Invariant: `outcome` is `NotRun` only where no byte of the request left
/// for a target or the target said that it refused it.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    status: StatusCode,
    outcome: Outcome,
    detail: String,
    retry_after: Option<Duration>,
    instead: Vec<String>,
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'a str,
    status: u16,
    outcome: Outcome,
    detail: &'a str,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    instead: &'a [String],
}

impl Problem {
    pub(crate) fn not_run(status: StatusCode, detail: impl Into<String>) -> Problem {
        Problem::new(status, Outcome::NotRun, detail)
    }

    pub(crate) fn unknown(detail: impl Into<String>) -> Problem {
        Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, detail)
    }

    pub(crate) fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Problem {
        Problem {
            status,
            outcome,
            detail: detail.into(),
            retry_after: None,
            instead: Vec::new(),
        }
    }

    /// Tells the caller when to come back. Rounded up to whole seconds, at least one.
    pub(crate) fn retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after = Some(wait);
        self
    }

    /// The same of a call of which an earlier attempt may have run.
    ///
    /// The last attempt's refusal speaks of itself alone. Passed on as it is, a
    /// caller would be told "not run" of a request that crashed an engine before.
    pub(crate) fn after_a_run(mut self) -> Problem {
        if self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
            self.detail.push_str("; an earlier attempt may have run");
        }
        self
    }

    /// Names entries that may have room.
    pub(crate) fn instead(mut self, addresses: Vec<String>) -> Problem {
        self.instead = addresses;
        self
    }

    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    pub(crate) fn detail(&self) -> &str {
        &self.detail
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let doc = Document {
            kind: "about:blank",
            title: self.status.canonical_reason().unwrap_or("error"),
            status: self.status.as_u16(),
            outcome: self.outcome,
            detail: &self.detail,
            instead: &self.instead,
        };
        let body = serde_json::to_vec(&doc).unwrap_or_default();
        let mut resp = Response::new(AnswerBody::whole(body));
        *resp.status_mut() = self.status;
        let headers = resp.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
        }
        resp
    }
}

/// `Retry-After` knows whole seconds only; zero would invite an immediate repeat.
fn whole_seconds(wait: Duration) -> u64 {
    let secs = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    secs.max(1)
}
