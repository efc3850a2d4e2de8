//! For how long the holder of the planner's lease may act.
//!
//! What goes wrong without it: a holder that is cut off from the store and from the other
//! nodes still reaches hosts. It would go on forming replicas while its successor does,
//! and each would take hosts from replicas that the other has just opened; epochs don't
//! prevent that, since a host that is free has seen none of the successor's. Callers would
//! see streams of sound replicas stand still.

use std::time::Duration;

use eelgrassmill_base::value;

/// Time since the machine started, with the time for which it was suspended. Steady clocks
/// leave that out, and a holder would wake with a lease that seems to be fresh.
pub type SinceBoot = Duration;

/// For how long one confirmation by the store counts, from before it was asked for. Two
/// questions fit in, so that one lost answer ends no term. A successor waits longer than
/// this before it forms anything: [`crate::PlannerTiming::settle`].
pub const LEASE_TERM: Duration = Duration::from_millis(1500);
/// A holder steps that often that a longer time between two steps means that its process
/// stood still: fifteen steps.
const PAUSE: Duration = Duration::from_millis(900);
/// A holder that isn't sure for this long gives the lease up: one more question to the
/// store, with the time that it waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2000);

value! { copy
    /// What a holder may do.
    pub enum LeaseStatus {
        /// Plan.
        Act,
        /// Nothing, until it is confirmed.
        Wait,
        /// Leave the lease to another node.
        GiveUp,
    }
}

/// Whether a holder that the store doesn't answer hears enough other nodes to be sure that
/// none has taken the lease. `silences` are the times since each one was heard, those that
/// are gone since lately among them.
///
/// Nodes take the lease only where they hear most others, so that one of those that the
/// holder hears would know of it. Were all of them needed, one dead node would stop all
/// repairs while the store is away.
pub fn hears_majority(silences: impl Iterator<Item = Duration> + Clone) -> bool {
    // A node that knows no other can't tell that it is alone from being cut off.
    silences.clone().next().is_some() && is_majority(silences, LEASE_TERM)
}

/// Whether nodes heard within `time` are, with this one, more than half.
pub fn is_majority(silences: impl Iterator<Item = Duration>, time: Duration) -> bool {
    let (mut all, mut heard) = (1, 1);
    for silence in silences {
        all += 1;
        heard += usize::from(silence < time);
    }
    heard * 2 > all
}

/// A holder's right to act.
///
/// It is sure of the lease for [`LEASE_TERM`] after the store showed it as the holder, and
/// while it [hears enough](hears_majority) other nodes. So planning goes on while the store is
/// away for all.
#[derive(Clone, Debug)]
pub struct Lease {
    confirmed: SinceBoot,
    /// When it woke from a pause that no confirmation has followed yet.
    paused: Option<SinceBoot>,
    stepped: SinceBoot,
    /// Since when it hasn't been sure.
    unsure: Option<SinceBoot>,
}

impl Lease {
    /// The lease of a holder that asked for the lease at `claimed`.
    pub fn new(claimed: SinceBoot) -> Lease {
        Lease {
            confirmed: claimed,
            paused: None,
            stepped: claimed,
            unsure: None,
        }
    }

    /// Notes that the store named the holder, when asked at `asked`.
    pub fn confirm(&mut self, asked: SinceBoot) {
        self.confirmed = self.confirmed.max(asked);
        self.paused.take_if(|woke| *woke <= asked);
    }

    /// Whether the holder may plan at `now`, when [`hears_majority`] says `heard`.
    pub fn update(&mut self, now: SinceBoot, heard: bool) -> LeaseStatus {
        if now.saturating_sub(self.stepped) > PAUSE {
            // What it heard before it stood still says nothing of now.
            self.paused = Some(now);
        }
        self.stepped = now;
        let fresh = now.saturating_sub(self.confirmed) < LEASE_TERM;
        if self.paused.is_none() && (fresh || heard) {
            self.unsure = None;
            return LeaseStatus::Act;
        }
        let since = *self.unsure.get_or_insert(now);
        if now.saturating_sub(since) < PATIENCE {
            LeaseStatus::Wait
        } else {
            LeaseStatus::GiveUp
        }
    }
}
