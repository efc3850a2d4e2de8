//! A decoded request of a caller.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::{ModelName, RequestId, TenantId, value};
use eelgrassmill_fleet::{Caller, RetryPolicy, Route};
use eelgrassmill_route::{
    CrashCandidates, Fingerprint, PartId, crash_candidates, request_fingerprint,
};
use http::{HeaderMap, Method};
use smallvec::SmallVec;
use smol_str::SmolStr;

value! {
    /// Metadata of a request, from its headers.
    pub struct RequestMetadata {
        /// The id of this attempt of the caller; empty if it has none.
        pub id: RequestId,
        /// How long the caller waits.
        pub timeout: Option<Duration>,
        /// The requested model, if it names one.
        pub model: Option<ModelName>,
        /// Tokens of its prompt; 0 if unknown.
        pub prompt_tokens: u64,
        /// The parts of its prompt that other requests may share, in order.
        pub prompt_parts: SmallVec<[PartId; 4]>,
        /// The id of the last event that the caller has of this stream.
        pub resume_after: Option<SmolStr>,
    }
}

/// Allowance beyond the deadline for an attempt to report that the deadline was exceeded.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(40);

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: SmolStr,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) caller: Option<Arc<Caller>>,
    pub(crate) arrived: Instant,
    /// Estimate of when its caller sent its first attempt; no later than `arrived`.
    pub(crate) first_sent: Instant,
    /// The end of the caller's or the route's timeout, whichever is first.
    pub(crate) deadline: Instant,
    /// Set once a scheduler has counted it as demand.
    pub(crate) demand_counted: OnceLock<()>,
    /// Computed at its first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// When its caller has an answer at the latest.
    pub(crate) fn last_reply_at(&self) -> Instant {
        self.deadline + FINAL_REPLY_MARGIN
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The time until which a response meets the route's latency objective.
    pub(crate) fn on_time_until(&self) -> Instant {
        self.first_sent + self.route.latency_objective
    }

    /// Whether its caller has sent it before.
    pub(crate) fn is_returning(&self) -> bool {
        self.first_sent < self.arrived
    }

    /// The name of its customer; empty if it has none.
    pub(crate) fn customer(&self) -> &str {
        self.caller.as_ref().map_or("", |c| c.tenant.as_str())
    }

    /// Whether a scheduler has counted it as demand before, now or at an earlier attempt of its
    /// caller.
    pub(crate) fn is_repeated(&self) -> bool {
        self.demand_counted.get().is_some()
            || self.first_sent < self.arrived
            || self.metadata.resume_after.is_some()
    }

    /// Identifies the request whenever its caller sends it again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let tenant = self.caller.as_ref().map_or("", |c| c.tenant.as_str());
            request_fingerprint(tenant, &self.path, &self.body)
        })
    }

    /// What may crash the hosts of a service that run it.
    pub(crate) fn crash_candidates(&self, service: &str) -> CrashCandidates {
        crash_candidates(self.fingerprint(), service, &self.metadata.prompt_parts)
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }

    pub(crate) fn tenant(&self) -> Option<TenantId> {
        self.caller.as_ref().map(|c| c.tenant.clone())
    }

    /// The tenant's urgency if it has one, else the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let caller = self.caller.as_ref().and_then(|c| c.urgency);
        caller.unwrap_or(self.route.urgency)
    }
}
