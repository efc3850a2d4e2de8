//! Node leases: the holder's side, the observer's side, and taking over a region.

mod held;
mod observer;
mod takeover;

pub use crate::lease::held::{HeldLease, LeaseError, LeaseProof};
pub use crate::lease::observer::LeaseObserver;
pub use crate::lease::takeover::{ObservedPlanner, Takeover, TakeoverError, takeover};

use std::time::Duration;

use eelgrassmill_base::value;

value! { copy
    /// Durations that every node must hold alike.
    pub struct LeaseTiming {
        /// How long one renewal lasts, counted from before it was sent.
        pub term: Duration,
        /// What the holder gives up early and an observer waits longer, for clocks that
        /// run at different rates.
        pub clock_margin: Duration,
        /// Longest time from the holder's check until an order has reached its host or failed.
        pub order_transit: Duration,
        /// Longest time between two sightings of a row that still count as one stretch.
        pub max_observation_gap: Duration,
    }
}

impl LeaseTiming {
    /// After this time nothing that a silent holder ordered can still arrive.
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
