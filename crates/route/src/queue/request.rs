//! Requests to the queue and their outcomes.

use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Tokens, Urgency, value};

value! { copy
    /// Identifies one admitted request of one [`ServiceQueue`](crate::ServiceQueue).
    pub struct Ticket(pub(crate) u64);

    /// The kind of slot that a running request occupies.
    pub enum SlotKind {
        /// Usable by any request.
        Normal,
        /// Reserved for urgent requests.
        Urgent,
    }

    /// A number of slots of each kind.
    pub struct Slots {
        /// Slots usable by any request.
        pub normal: u32,
        /// Additional slots reserved for urgent requests.
        pub urgent: u32,
    }
}

impl Slots {
    /// No slots.
    pub const NONE: Slots = Slots {
        normal: 0,
        urgent: 0,
    };

    /// Returns the number of slots of both kinds.
    pub fn total(self) -> u32 {
        self.normal + self.urgent
    }
}

value! {
    /// A request to be admitted to the queue.
    pub struct AdmissionRequest {
        /// The tenant that sent it.
        pub tenant: TenantId,
        /// Weight of the tenant in the fair order; 0 counts as 1.
        pub weight: u32,
        /// Urgency set by the caller.
        pub urgency: Urgency,
        /// Estimated cost, prompt and answer together.
        pub tokens: Tokens,
        /// When the caller stops waiting for the answer.
        pub deadline: Instant,
        /// Maximum number of requests the tenant may have waiting here.
        pub max_tenant_queue: u32,
    }

    /// A request taken from the queue to be run.
    pub struct Dequeued<T> {
        /// Pass it to `complete` when the request has ended.
        pub ticket: Ticket,
        /// The kind of slot it occupies.
        pub slot: SlotKind,
        /// The payload passed to `admit`.
        pub payload: T,
    }
}

value! { copy
    /// Why a request was refused. A refused request has not run.
    #[derive(thiserror::Error)]
    pub enum RefusalReason {
        /// The service's queue is full.
        #[error("the service's queue is full")]
        QueueFull,
        /// The tenant's queue is full.
        #[error("the tenant's queue is full")]
        TenantQueueFull,
        /// The queue is full and the tenant holds more than its fair share of it.
        #[error("the queue is full and the tenant holds more than its fair share of it")]
        OverFairShare,
        /// The request can't be answered before its deadline.
        #[error("the request can't be answered before its deadline")]
        DeadlineTooNear,
    }
}

impl RefusalReason {
    /// Returns whether the tenant's own load is the cause (429) or the service's (503).
    pub fn caused_by_tenant(self) -> bool {
        matches!(
            self,
            RefusalReason::TenantQueueFull | RefusalReason::OverFairShare
        )
    }
}

value! { copy
    /// A final refusal, to be answered immediately as `not-run`.
    #[derive(thiserror::Error)]
    #[error("{reason}; retry after {} ms", retry_after.as_millis())]
    pub struct Refusal {
        /// The reason for the refusal.
        pub reason: RefusalReason,
        /// When the caller may retry, with jitter so that callers don't all retry at once.
        pub retry_after: Duration,
    }
}
