//! Priorities of queued requests, and early rejection of late ones.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

/// How long late requests are rejected immediately after one of them timed out in the queue.
const LATE_REJECTION_PERIOD: Duration = Duration::from_millis(600);

value! { copy
    /// Priority of a queued request, highest first.
    pub enum Priority {
        /// A stream that resumes at another host: its caller has part of the answer and gives up
        /// soon.
        Resumed,
        /// A request that can still be on time, by urgency.
        OnTime(u8),
        /// A request that can no longer be on time, by urgency.
        Late(u8),
    }
}

impl Priority {
    /// Initial priority of a request.
    pub fn first(resumed: bool, urgency: u8) -> Priority {
        if resumed {
            Priority::Resumed
        } else {
            Priority::OnTime(urgency)
        }
    }

    /// Whether the request can no longer be on time.
    pub fn is_late(self) -> bool {
        matches!(self, Priority::Late(_))
    }
}

/// Decides whether late requests are rejected without queueing.
///
/// Under overload requests that can be on time take every slot, and late ones would wait for a
/// second only to be rejected. If rejected immediately, their callers can retry in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateRejection {
    until: Option<Instant>,
}

impl LateRejection {
    /// Records that a request got a slot, or timed out in the queue.
    pub fn on_wait_ended(&mut self, rank: Priority, served: bool, now: Instant) {
        if rank.is_late() {
            self.until = (!served).then_some(now + LATE_REJECTION_PERIOD);
        }
    }

    /// Whether a request of this priority is rejected immediately.
    pub fn applies_to(&self, rank: Priority, now: Instant) -> bool {
        rank.is_late() && self.until.is_some_and(|until| now < until)
    }
}
