//! Answers that a node gives by itself.

use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_base::value;
use http::{HeaderValue, Response, StatusCode, header};

use crate::body::ResponseBody;

value! { copy
    /// Why a request got no answer of a host.
    pub enum RefusalCause {
        /// This node knows no configuration or no hosts yet.
        NotLoaded,
        /// No route takes it.
        NoRoute,
        /// Its key is missing or unknown.
        UnknownKey,
        /// Its body is longer than the limit.
        BodyTooLarge,
        /// Its body did not come in time or broke off.
        BodyIncomplete,
        /// It may outlast this node, which was told to stop.
        NodeLeaving,
        /// No host or replica can serve it now.
        NoHealthyTarget,
        /// All are full.
        Full,
        /// Hosts refused it, and no further attempt is permitted.
        HostsRefused,
        /// It would have to be sent again, and the bound on repeats is reached.
        RetryBudgetExhausted,
        /// Its time was over before it was sent to a host.
        DeadlineExceeded,
        /// It was sent, and no answer came in time.
        ResponseTimeout,
        /// It was sent, and the answer broke off or was of no use.
        BrokenResponse,
        /// This node exits and may have sent it.
        NodeExiting,
    }
}

impl RefusalCause {
    /// The word for it in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalCause::NotLoaded => "not-loaded",
            RefusalCause::NoRoute => "no-route",
            RefusalCause::UnknownKey => "unknown-key",
            RefusalCause::BodyTooLarge => "too-long",
            RefusalCause::BodyIncomplete => "body-cut",
            RefusalCause::NodeLeaving => "node-leaves",
            RefusalCause::NoHealthyTarget => "nothing-serves",
            RefusalCause::Full => "full",
            RefusalCause::HostsRefused => "hosts-refused",
            RefusalCause::RetryBudgetExhausted => "no-repeats-left",
            RefusalCause::DeadlineExceeded => "out-of-time",
            RefusalCause::ResponseTimeout => "no-answer-in-time",
            RefusalCause::BrokenResponse => "answer-broken",
            RefusalCause::NodeExiting => "node-ends",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RefusalCause::NotLoaded
            | RefusalCause::NodeLeaving
            | RefusalCause::NoHealthyTarget
            | RefusalCause::Full
            | RefusalCause::HostsRefused
            | RefusalCause::RetryBudgetExhausted
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
    /// The final answer to a request that was given up.
    pub struct Refusal {
        /// Why.
        pub cause: RefusalCause,
        /// When the caller should come back. Only for requests that have not run.
        pub retry_after: Option<Duration>,
    }
}

impl Refusal {
    /// A refusal with nothing to wait for.
    pub fn new(cause: RefusalCause) -> Refusal {
        Refusal {
            cause,
            retry_after: None,
        }
    }

    /// A refusal of a request that has not run, and when to come back.
    pub fn later(cause: RefusalCause, wait: Duration) -> Refusal {
        Refusal {
            cause,
            retry_after: Some(wait),
        }
    }

    /// As an HTTP answer.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut answer = Response::new(ResponseBody::full(Bytes::from(text)));
        *answer.status_mut() = self.cause.status();
        let headers = answer.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let seconds = self.retry_after.map(|w| format!("{:.2}", w.as_secs_f64()));
        // Digits and a point are always a valid header value.
        if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        answer
    }
}
