//! Priority of requests that wait for a slot.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

/// How long late requests are rejected at once after one of them got no slot in time.
const LATE_REJECTION_PERIOD: Duration = Duration::from_millis(600);

value! { copy
    /// Who goes first.
    pub enum Priority {
        /// A stream that continues elsewhere: its caller has part of the answer and leaves soon.
        Resumed,
        /// One that can be on time, by urgency.
        OnTime(u8),
        /// One that can't any more, by urgency.
        Late(u8),
    }
}

impl Priority {
    /// The rank of a request that has just come.
    pub fn first(resumed: bool, urgency: u8) -> Priority {
        if resumed {
            Priority::Resumed
        } else {
            Priority::OnTime(urgency)
        }
    }

    /// Whether it can't be on time any more.
    pub fn is_late(self) -> bool {
        matches!(self, Priority::Late(_))
    }
}

/// Deadline check: whether late requests are rejected without waiting.
///
/// While more arrive than are served, those on time take every slot, and each late one would wait
/// for a second only to be rejected. Told at once, its caller can come back in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateRejection {
    until: Option<Instant>,
}

impl LateRejection {
    /// Notes that a request got a slot, or none in all its time.
    pub fn on_wait_ended(&mut self, rank: Priority, served: bool, now: Instant) {
        if rank.is_late() {
            self.until = (!served).then_some(now + LATE_REJECTION_PERIOD);
        }
    }

    /// Whether a request of this rank is rejected at once.
    pub fn applies_to(&self, rank: Priority, now: Instant) -> bool {
        rank.is_late() && self.until.is_some_and(|until| now < until)
    }
}
