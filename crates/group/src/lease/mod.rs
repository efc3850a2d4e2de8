//! Node leases: the holder's side, the observer's side, and planner takeover.

mod held;
mod observer;
mod takeover;

pub use crate::lease::held::{HeldLease, LeaseError, LeaseProof};
pub use crate::lease::observer::LeaseObserver;
pub use crate::lease::takeover::{ObservedPlanner, Takeover, TakeoverError, takeover};

use std::time::Duration;

use eelgrassmill_base::value;

value! { copy
    /// Lease durations. Invariant: the same on every node.
    pub struct LeaseTiming {
        /// Validity of one renewal, counted from before it was sent.
        pub term: Duration,
        /// Allowance for clock rate drift: the holder stops this much earlier, and an
        /// observer waits this much longer.
        pub clock_margin: Duration,
        /// Upper bound from the holder's lease check until its order is delivered or has failed.
        pub order_transit: Duration,
        /// Longest gap between two reads of a row that still count as continuous observation.
        pub max_observation_gap: Duration,
    }
}

impl LeaseTiming {
    /// Time after which no order of a holder that stopped renewing can still be delivered.
    pub fn orders_expire_after(&self) -> Duration {
        self.term + self.clock_margin + self.order_transit
    }
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            term: Duration::from_secs(6),
            clock_margin: Duration::from_millis(500),
            order_transit: Duration::from_secs(2),
            max_observation_gap: Duration::from_secs(3),
        }
    }
}
