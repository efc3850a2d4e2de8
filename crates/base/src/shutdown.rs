//! The times of a process that was told to stop.

use std::time::{Duration, Instant};

use crate::value;

value! { copy
    /// When a process that was told to stop does what.
    pub struct Shutdown {
        /// Until then it takes connections.
        closes: Instant,
        /// Until then what runs may end. Invariant: not before `closes`.
        ends: Instant,
    }
}

impl Shutdown {
    /// The shutdown of a process that was told to stop at `told`: it takes connections for
    /// `open`, and ends after `all`.
    pub fn new(told: Instant, open: Duration, all: Duration) -> Shutdown {
        Shutdown {
            closes: told + open.min(all),
            ends: told + all,
        }
    }

    /// Until when it takes connections.
    pub fn closes(&self) -> Instant {
        self.closes
    }

    /// Until when what runs may end.
    pub fn ends(&self) -> Instant {
        self.ends
    }

    /// Whether it may begin what can last until `deadline`.
    ///
    /// A request can take all the time that its caller gives it, most of it in the queue of a
    /// host that is full. One that is begun because requests usually take less breaks off in
    /// the middle when the process exits; refused, its caller asks another process at once.
    pub fn may_begin(&self, deadline: Instant) -> bool {
        deadline <= self.ends
    }
}
