//! Deadlines of a graceful shutdown.

use std::time::{Duration, Instant};

use crate::value;

value! { copy
    /// Deadlines of a graceful shutdown: when to stop accepting and when to stop draining.
    pub struct Shutdown {
        /// New connections are accepted until then.
        accept_until: Instant,
        /// In-flight requests may finish until then. Invariant: not before `accept_until`.
        drain_until: Instant,
    }
}

impl Shutdown {
    /// Returns the deadlines of a process that was signalled at `signalled_at`: it accepts
    /// connections for `accept_time`, at most `total_time`, and drains for `total_time`.
    pub fn new(signalled_at: Instant, accept_time: Duration, total_time: Duration) -> Shutdown {
        Shutdown {
            accept_until: signalled_at + accept_time.min(total_time),
            drain_until: signalled_at + total_time,
        }
    }

    /// Moves the deadlines to those of `other` that are earlier.
    pub fn shorten(&mut self, other: Shutdown) {
        self.accept_until = self.accept_until.min(other.accept_until);
        self.drain_until = self.drain_until.min(other.drain_until);
    }

    /// Returns when to stop accepting connections.
    pub fn accept_until(&self) -> Instant {
        self.accept_until
    }

    /// Returns when to stop waiting for in-flight requests.
    pub fn drain_until(&self) -> Instant {
        self.drain_until
    }

    /// Returns whether a request with this deadline may start.
    ///
    /// A request can use all the time up to its deadline, mostly queued for a host that is at
    /// capacity. One that starts because requests usually take less is cut off when the process
    /// exits; one that is refused can be retried at another process at once.
    pub fn may_begin(&self, deadline: Instant) -> bool {
        deadline <= self.drain_until
    }
}
