//! Error responses that a node sends itself.

use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_base::value;
use http::{HeaderValue, Response, StatusCode, header};

use crate::body::ResponseBody;

value! { copy
    /// Why a request got no response from a host.
    pub enum RefusalCause {
        /// This node has no configuration or no hosts yet.
        NotLoaded,
        /// No route matches it.
        NoRoute,
        /// Its key is missing or unknown.
        UnknownKey,
        /// Its body is longer than the limit.
        BodyTooLarge,
        /// Its body did not arrive in time or is incomplete.
        BodyIncomplete,
        /// The memory for callers is used up.
        OutOfMemory,
        /// It could run longer than this node, which is stopping.
        NodeLeaving,
        /// No host or replica is available for it.
        NoHealthyTarget,
        /// All replicas are full.
        Full,
        /// The limits that all its hosts name are used up.
        HostLimit,
        /// All its hosts have asked this node for rest.
        HostRest,
        /// Hosts refused it, and no further attempt is permitted.
        HostsRefused,
        /// It needs a retry, and the retry budget is exhausted.
        RetryBudgetExhausted,
        /// It crashed the hosts that ran it.
        Quarantined,
        /// Its deadline passed before a host received it.
        DeadlineExceeded,
        /// It was sent, and no response arrived before its deadline.
        ResponseTimeout,
        /// It was sent, and the response was truncated or invalid.
        BrokenResponse,
        /// This node is about to exit and may have sent it.
        NodeExiting,
    }
}

impl RefusalCause {
    /// Its name in logs, metrics and error responses.
    pub fn name(self) -> &'static str {
        match self {
            RefusalCause::NotLoaded => "not-loaded",
            RefusalCause::NoRoute => "no-route",
            RefusalCause::UnknownKey => "unknown-key",
            RefusalCause::BodyTooLarge => "too-long",
            RefusalCause::BodyIncomplete => "body-cut",
            RefusalCause::OutOfMemory => "memory-full",
            RefusalCause::NodeLeaving => "node-leaves",
            RefusalCause::NoHealthyTarget => "nothing-serves",
            RefusalCause::Full => "full",
            RefusalCause::HostLimit => "host-limit",
            RefusalCause::HostRest => "host-rest",
            RefusalCause::HostsRefused => "hosts-refused",
            RefusalCause::RetryBudgetExhausted => "no-repeats-left",
            RefusalCause::Quarantined => "quarantined",
            RefusalCause::DeadlineExceeded => "out-of-time",
            RefusalCause::ResponseTimeout => "no-answer-in-time",
            RefusalCause::BrokenResponse => "answer-broken",
            RefusalCause::NodeExiting => "node-ends",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalCause::NotLoaded
            | RefusalCause::OutOfMemory
            | RefusalCause::NodeLeaving
            | RefusalCause::NoHealthyTarget
            | RefusalCause::Full
            | RefusalCause::HostLimit
            | RefusalCause::HostRest
            | RefusalCause::HostsRefused
            | RefusalCause::RetryBudgetExhausted
            | RefusalCause::Quarantined
            | RefusalCause::DeadlineExceeded => StatusCode::SERVICE_UNAVAILABLE,
            RefusalCause::NoRoute => StatusCode::NOT_FOUND,
            RefusalCause::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalCause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalCause::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RefusalCause::ResponseTimeout => StatusCode::GATEWAY_TIMEOUT,
            RefusalCause::BrokenResponse | RefusalCause::NodeExiting => StatusCode::BAD_GATEWAY,
        }
    }
}

value! { copy
    /// The final error response to a request.
    pub struct Refusal {
        /// Why the request was refused.
        pub cause: RefusalCause,
        /// Retry-After. Only for requests that have not run or may run again.
        pub retry_after: Option<Duration>,
    }
}

impl Refusal {
    /// A refusal without Retry-After.
    pub fn new(cause: RefusalCause) -> Refusal {
        Refusal {
            cause,
            retry_after: None,
        }
    }

    /// A refusal with Retry-After.
    pub fn with_retry_after(cause: RefusalCause, wait: Duration) -> Refusal {
        Refusal {
            cause,
            retry_after: Some(wait),
        }
    }

    /// The refusal of a request that has not run and could outlast this node, which is stopping: the
    /// caller should retry at once at another node.
    pub(crate) fn node_leaving() -> Refusal {
        Refusal::with_retry_after(RefusalCause::NodeLeaving, Duration::ZERO)
    }

    /// Converts it to an HTTP response.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut response = Response::new(ResponseBody::full(Bytes::from(text)));
        *response.status_mut() = self.cause.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let seconds = self.retry_after.map(|w| format!("{:.2}", w.as_secs_f64()));
        // Digits and a decimal point are always a valid header value.
        if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
