//! What callers hand to the queue and what they get back.

use std::time::{Duration, Instant};

use eelgrassmill_base::{TenantId, Tokens, Urgency, value};

value! { copy
    /// Names one admitted request of one [`ServiceQueue`](crate::ServiceQueue).
    pub struct Ticket(pub(crate) u64);

    /// Which kind of slot a started request occupies.
    pub enum SlotKind {
        /// Any request may use it.
        Normal,
        /// Held back for urgent requests.
        Urgent,
    }

    /// A number of slots of each kind.
    pub struct Slots {
        /// Slots that any request may use.
        pub normal: u32,
        /// Further slots that only urgent requests may use.
        pub urgent: u32,
    }
}

impl Slots {
    /// No slot at all.
    pub const NONE: Slots = Slots {
        normal: 0,
        urgent: 0,
    };

    /// Both kinds together.
    pub fn total(self) -> u32 {
        self.normal + self.urgent
    }
}

value! {
    /// A request that asks to be admitted.
    pub struct AdmissionRequest {
        /// Whose it is.
        pub tenant: TenantId,
        /// The tenant's share relative to the others'; 0 counts as 1.
        pub weight: u32,
        /// How urgent its caller says it is.
        pub urgency: Urgency,
        /// Estimate of what it costs, prompt and answer together.
        pub tokens: Tokens,
        /// When its answer is of no more use.
        pub deadline: Instant,
        /// Longest queue of its tenant here, in requests.
        pub max_tenant_queue: u32,
    }

    /// A request whose turn has come.
    pub struct Dequeued<T> {
        /// Give it back to `complete` when the request has ended.
        pub ticket: Ticket,
        /// The kind of slot it takes.
        pub slot: SlotKind,
        /// What the caller offered with it.
        pub payload: T,
    }
}

value! { copy
    /// Why a request was refused. In every case it was not run.
    #[derive(thiserror::Error)]
    pub enum RefusalReason {
        /// The queue of the service is full.
        #[error("the service's queue is full")]
        QueueFull,
        /// The tenant's own queue is full.
        #[error("the tenant's queue is full")]
        TenantQueueFull,
        /// The queue was full and the tenant held more of it than its share.
        #[error("the tenant holds more than its share of a full queue")]
        OverFairShare,
        /// It can't be answered before its deadline.
        #[error("it can't be answered before its deadline")]
        DeadlineTooNear,
    }
}

impl RefusalReason {
    /// Whether the tenant's own load is the cause (429) or the service's (503).
    pub fn caused_by_tenant(self) -> bool {
        matches!(
            self,
            RefusalReason::TenantQueueFull | RefusalReason::OverFairShare
        )
    }
}

value! { copy
    /// A final refusal, to be answered at once as not run.
    #[derive(thiserror::Error)]
    #[error("{reason}; come back in {} ms", retry_after.as_millis())]
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// When the caller may come back, spread so that callers don't come as one.
        pub retry_after: Duration,
    }
}
