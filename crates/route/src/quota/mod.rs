//! Short-lived quotas by which the entries share the slots of one group.
//!
//! One of the group's watchers is the issuer; the entries send it demands. A grant
//! answers one demand. The holder counts the grant's term from before the demand was
//! sent, the issuer from after it arrived and with a clock margin, so a grant has
//! always expired at the holder before the issuer grants its slots to another entry.
//!
//! Bound on over-commitment, per kind of slot: with one issuer the valid grants
//! never exceed the group's slots. An entry without a valid grant uses
//! [`fallback_share`]; the issuer reserves that share for each listed entry without
//! a recent demand. Running requests can therefore exceed the slots by at most one
//! share for each entry that neither holds a grant nor has a share reserved (it is
//! unknown to the issuer, or the shares together exceed the slots), and by the
//! group's slots for each further node that wrongly believes itself the issuer, for
//! as long as it does.

mod holder;
mod issuer;

use std::time::Duration;

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId, value};

use crate::queue::Slots;
pub use crate::quota::holder::QuotaHolder;
pub use crate::quota::issuer::QuotaIssuer;

/// How long a grant is valid.
pub const QUOTA_TERM: Duration = Duration::from_secs(2);
/// Added to the term by the issuer, for clocks that run at different rates.
pub const QUOTA_CLOCK_MARGIN: Duration = Duration::from_millis(100);

value! {
    /// An entry's demand to a group's issuer, sent several times per term.
    pub struct QuotaDemand {
        /// The entry that sends it.
        pub entry: NodeId,
        /// The entry's incarnation. Grants are not valid after a restart.
        pub incarnation: Incarnation,
        /// The group.
        pub group: GroupId,
        /// The group's epoch.
        pub epoch: Epoch,
        /// Increases with every demand of the entry for the group.
        pub seq: u64,
        /// The newest demand whose grant the entry has accepted, 0 for none. The
        /// entry uses no older grant after that.
        pub held_seq: u64,
        /// Requests the entry is running on the group.
        pub running: Slots,
        /// Further requests it would start there.
        pub waiting: Slots,
    }

    /// The issuer's answer to one demand.
    pub struct QuotaGrant {
        /// The node that issued it.
        pub issuer: NodeId,
        /// The entry it is for.
        pub entry: NodeId,
        /// The incarnation of the entry it is for.
        pub incarnation: Incarnation,
        /// The group.
        pub group: GroupId,
        /// The group's epoch.
        pub epoch: Epoch,
        /// The demand it answers.
        pub seq: u64,
        /// Maximum number of requests the entry may have running.
        pub slots: Slots,
        /// How long it is valid, counted from when the demand was sent.
        pub term: Duration,
    }
}

/// Returns what an entry without a grant may use of `slots` shared by `entries`.
///
/// At least one slot, so that an entry that can't reach the issuer but can reach
/// the group keeps serving.
pub fn fallback_share(slots: Slots, entries: u32) -> Slots {
    let share = |n: u32| (n / entries.max(1)).max(n.min(1));
    Slots {
        normal: share(slots.normal),
        urgent: share(slots.urgent),
    }
}
