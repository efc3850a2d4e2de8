//! The order in which requests wait for a place.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

/// After one waited in vain for its whole time, those that can't be on time any more are
/// refused at once for this long: half a stream's usual duration, in which places become
/// free again.
const IN_VAIN: Duration = Duration::from_millis(600);

value! { copy
    /// Who goes first.
    pub enum Rank {
        /// A stream that goes on: its caller has part of the answer and leaves soon.
        Resumed,
        /// One that can be on time, by urgency.
        OnTime(u8),
        /// One that can't any more, by urgency.
        Late(u8),
    }
}

impl Rank {
    /// The rank of a request that has just come.
    pub fn first(resumed: bool, urgency: u8) -> Rank {
        if resumed {
            Rank::Resumed
        } else {
            Rank::OnTime(urgency)
        }
    }

    /// Whether it can't be on time any more.
    pub fn is_late(self) -> bool {
        matches!(self, Rank::Late(_))
    }
}

/// Whether late requests are known to get no turn.
///
/// While more arrive than are served, those on time take every place, and each late one
/// would wait for a second only to be refused. Told at once, its caller can come back
/// while there is still time.
#[derive(Clone, Copy, Debug, Default)]
pub struct InVain {
    until: Option<Instant>,
}

impl InVain {
    /// Notes that a request got its turn, or waited in vain for all its time.
    pub fn ended(&mut self, rank: Rank, served: bool, now: Instant) {
        if rank.is_late() {
            self.until = (!served).then_some(now + IN_VAIN);
        }
    }

    /// Whether a request of this rank would wait in vain.
    pub fn holds_for(&self, rank: Rank, now: Instant) -> bool {
        rank.is_late() && self.until.is_some_and(|until| now < until)
    }
}
