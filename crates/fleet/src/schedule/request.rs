//! Requests for slots, the heads that have them, and the decisions of a scheduler.

use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, HostId, NodeId, value};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::catalog::Millionths;
use crate::cold::ColdStart;

/// Identifies a replica's formation.
pub type HeadKey = (GroupId, Epoch);

value! {
    /// Identifies a request.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RequestKey {
        /// The node that received the request.
        pub node: NodeId,
        /// Unique per node.
        pub number: u64,
    }

    /// A head that accepts requests.
    pub struct OpenHead {
    /// Its replica's formation.
    pub key: HeadKey,
    /// Its host.
    pub host: HostId,
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Requests that the previous scheduler reported as assigned to it.
        pub inherited_requests: usize,
        /// Requests that nodes sent there without a scheduler.
        pub unscheduled_requests: usize,
        /// Set while it is cold.
        pub cold: Option<ColdStart>,
        /// Requests per second that it takes from all nodes together, if it names a limit.
        pub limit: Option<Millionths>,
    }

    /// A request that needs a slot.
    pub struct PendingRequest {
    /// Identifies the request.
    pub key: RequestKey,
    /// Failure domain of the requesting node.
    pub failure_domain: FailureDomain,
    /// Prompt tokens to prefill.
    pub prompt_tokens: u64,
        /// Whether it resumes a stream whose replica was lost.
        pub resumed: bool,
        /// 0 is the most urgent.
        pub urgency: u8,
        /// Until when its response can be on time.
        pub on_time_until: Instant,
        /// Until when it may be queued.
        pub deadline: Instant,
        /// Longest gap between events of a stream that is on time.
        pub max_event_gap: Duration,
        /// Hosts to use only if there are no others.
        pub avoid: SmallVec<[HostId; 4]>,
        /// Hosts that must not get it.
        pub excluded: SmallVec<[HostId; 4]>,
    }
}

value! {
    /// Decision on a pending request.
    pub enum SlotOutcome {
    /// The request gets a slot at this head.
    Granted(HeadKey),
        /// The request is rejected, since no slot is or will be free in time.
        Full,
        /// The request is rejected, since the limits that the heads name are used up.
        Limited {
            /// Time until it can be served.
            retry_after: Duration,
        },
    }
}

value! { copy
    /// Optional policies of a scheduler. Those that are off leave decisions as they are without them.
    #[derive(Default)]
    pub struct SchedulingPolicy {
        /// Customers share slots fairly, and requests that can't begin in time are rejected at once.
        pub fair_share: bool,
    }

    /// Why a request was granted or rejected.
    pub enum AdmissionDecision {
        /// It got a slot.
        Granted,
        /// It was rejected on arrival, since it would begin too late.
        RejectedEstimate,
        /// It was queued, and rejected for a request of a customer with less service.
        RejectedShare,
        /// It was queued, and can no longer begin in time.
        Shed,
    }
}

value! {
    /// Who sends a request.
    #[derive(Default)]
    pub struct RequestOrigin {
        /// The customer; empty if unknown.
        pub customer: SmolStr,
        /// Whether the request was rejected before.
        pub returning: bool,
    }

    /// Decision on a pending request, and its reasons.
    pub struct Decision {
        /// The request.
        pub key: RequestKey,
        /// The decision.
        pub outcome: SlotOutcome,
        /// For [`SlotOutcome::Full`], when it can be served; `None` if unknown.
        pub retry_after: Option<Duration>,
        /// Why.
        pub decision: AdmissionDecision,
        /// Tokens of its prompt.
        pub prompt_tokens: u64,
        /// Its customer; empty if unknown.
        pub customer: SmolStr,
        /// Whether it was rejected before.
        pub is_returning: bool,
    }
}

value! { copy
    /// State of one head.
    pub struct HeadLoad {
    /// Requests at the head.
    pub requests: usize,
        /// Whether it is ejected because it rejects all requests.
        pub is_ejected: bool,
    }

    /// Summary of a scheduler's heads and queue.
    #[derive(Default)]
    pub struct SchedulerState {
    /// Number of open heads.
    pub heads: usize,
    /// Total number of slots.
    pub slots: usize,
    /// Requests at all heads.
    pub requests: usize,
    /// Heads that recently rejected a request.
    pub rejecting: usize,
    /// Queued requests.
    pub waiting: usize,
    /// Tokens of the longest queued prompt.
    pub longest_prompt: u64,
    /// Grants so far to a request while one ahead of it with a longer prompt found no room.
    pub passed_over: u64,
        /// Moving average of the time from a grant to its first event.
        pub first_event_latency: Duration,
    }
}

impl Decision {
    pub(super) fn new(request: PendingRequest, outcome: SlotOutcome) -> Decision {
        let decision = match outcome {
            SlotOutcome::Granted(_) => AdmissionDecision::Granted,
            SlotOutcome::Full | SlotOutcome::Limited { .. } => AdmissionDecision::Shed,
        };
        Decision {
            key: request.key,
            outcome,
            retry_after: None,
            decision,
            prompt_tokens: request.prompt_tokens,
            customer: SmolStr::default(),
            is_returning: false,
        }
    }
}
