//! Validity of the planner's lease at its holder.
//!
//! A holder that is partitioned from the store and the other nodes may still reach hosts. Without
//! this check it would keep forming replicas while its successor does, and each would take hosts
//! from replicas that the other has just opened. Epochs don't prevent that, since a free host has
//! seen no epoch of the successor. Callers would see streams of healthy replicas stall.

use std::time::Duration;

use eelgrassmill_base::value;

/// Time since the machine booted, including suspended time. Monotonic clocks that exclude
/// suspended time would make a lease look fresh after a resume.
pub type SinceBoot = Duration;

/// How long a confirmation by the store is valid, counted from before the request was sent. Two
/// requests fit in, so one lost response doesn't end the term. A successor waits longer than this
/// before it forms anything: [`crate::PlannerTiming::takeover_delay`].
pub const LEASE_TERM: Duration = Duration::from_millis(1500);
/// A longer time between two updates means that the process was stalled or suspended. Fifteen
/// update intervals.
const MAX_UPDATE_GAP: Duration = Duration::from_millis(900);
/// A holder gives up the lease after being unconfirmed for this long: one more request to the
/// store and its timeout.
const GIVE_UP_AFTER: Duration = Duration::from_millis(2000);

value! { copy
    /// What the holder may do.
    pub enum LeaseStatus {
        /// It may plan.
        Act,
        /// It must not plan until the lease is confirmed.
        Wait,
        /// It must release the lease.
        GiveUp,
    }
}

/// Whether a holder that can't reach the store hears a majority of nodes, so that no other node
/// can have taken the lease. `silences` are the times since each other node was last heard,
/// including nodes that left recently.
///
/// A node takes the lease only if it hears a majority, and two majorities overlap in a node that
/// the holder hears. If the holder had to hear all nodes, one dead node would stop all repairs
/// during a store outage.
pub fn hears_majority(silences: impl Iterator<Item = Duration> + Clone) -> bool {
    // A node that knows no others can't distinguish being alone from being partitioned.
    silences.clone().next().is_some() && is_majority(silences, LEASE_TERM)
}

/// Whether this node and the nodes heard within `time` are more than half of all nodes.
pub fn is_majority(silences: impl Iterator<Item = Duration>, time: Duration) -> bool {
    let (mut all, mut heard) = (1, 1);
    for silence in silences {
        all += 1;
        heard += usize::from(silence < time);
    }
    heard * 2 > all
}

/// State of the lease at its holder.
///
/// The lease is valid for [`LEASE_TERM`] after the store confirmed the holder, and while the holder
/// [hears a majority](hears_majority) of nodes. So planning continues if the store is unavailable
/// to all nodes.
#[derive(Clone, Debug)]
pub struct Lease {
    confirmed: SinceBoot,
    /// When the process resumed after a stall, until the store confirms the lease again.
    resumed_at: Option<SinceBoot>,
    last_update: SinceBoot,
    /// Since when the lease has been neither confirmed nor backed by a majority.
    unconfirmed_since: Option<SinceBoot>,
}

impl Lease {
    /// Creates the lease of a holder that requested it at `claimed`.
    pub fn new(claimed: SinceBoot) -> Lease {
        Lease {
            confirmed: claimed,
            resumed_at: None,
            last_update: claimed,
            unconfirmed_since: None,
        }
    }

    /// Records that the store named this node as the holder, in reply to a request sent at
    /// `requested`.
    pub fn confirm(&mut self, requested: SinceBoot) {
        self.confirmed = self.confirmed.max(requested);
        self.resumed_at.take_if(|resumed| *resumed <= requested);
    }

    /// Updates the lease and returns what the holder may do at `now`. `hears_majority` is the
    /// result of [`hears_majority`].
    pub fn update(&mut self, now: SinceBoot, hears_majority: bool) -> LeaseStatus {
        if now.saturating_sub(self.last_update) > MAX_UPDATE_GAP {
            // What was heard before the stall is outdated.
            self.resumed_at = Some(now);
        }
        self.last_update = now;
        let fresh = now.saturating_sub(self.confirmed) < LEASE_TERM;
        if self.resumed_at.is_none() && (fresh || hears_majority) {
            self.unconfirmed_since = None;
            return LeaseStatus::Act;
        }
        let since = *self.unconfirmed_since.get_or_insert(now);
        if now.saturating_sub(since) < GIVE_UP_AFTER {
            LeaseStatus::Wait
        } else {
            LeaseStatus::GiveUp
        }
    }
}
