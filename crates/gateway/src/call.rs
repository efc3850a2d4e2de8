//! One request of a caller, decoded.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{ModelName, RequestId, TenantId, value};
use eelgrassmill_fleet::{Caller, RetryPolicy, Route};
use http::{HeaderMap, Method};
use smol_str::SmolStr;

value! {
    /// What a request's headers say.
    pub struct RequestMetadata {
        /// The id of this attempt of the caller; empty where it has none.
        pub id: RequestId,
        /// How long the caller waits.
        pub timeout: Option<Duration>,
        /// The model that must answer it, where it names one.
        pub model: Option<ModelName>,
        /// Tokens of its prompt; 0 where it doesn't say.
        pub prompt_tokens: u64,
        /// The last event that the caller has of this stream.
        pub resume_after: Option<SmolStr>,
    }
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    /// Path and query as the caller wrote them.
    pub(crate) path: SmolStr,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) caller: Option<Arc<Caller>>,
    pub(crate) arrived: Instant,
    /// When its caller is likely to have sent its first attempt; no later than `arrived`.
    pub(crate) first_sent: Instant,
    /// When its caller gives up or its route's timeout is over, whichever is first.
    pub(crate) deadline: Instant,
}

impl Call {
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Until then an answer is on time.
    pub(crate) fn on_time_until(&self) -> Instant {
        self.first_sent + self.route.latency_objective
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    pub(crate) fn tenant(&self) -> Option<TenantId> {
        self.caller.as_ref().map(|c| c.tenant.clone())
    }

    /// The tenant's urgency goes before the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let caller = self.caller.as_ref().and_then(|c| c.urgency);
        caller.unwrap_or(self.route.urgency)
    }
}
