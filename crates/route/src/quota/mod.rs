//! Short-lived quotas: how entries share the slots of one group.
//!
//! One of the group's watchers issues, the entries ask. A grant is the answer
//! to one demand. The holder counts its time from before the demand was sent,
//! the issuer from after it arrived and with a margin, so a grant has always
//! ended at the holder before the issuer gives its slots to another.
//!
//! Bound on over-commitment, per kind of slot: with one issuer the valid grants
//! never exceed the group's slots. An entry without a valid grant uses
//! [`fallback_share`]; the issuer holds that part back for each listed entry it
//! hasn't heard from. What can exceed the slots is therefore at most
//! one part for each entry that neither holds a grant nor is held back for
//! (it is unknown to the issuer, or the parts together exceed the slots), and
//! once the slots again for each further node that wrongly believes itself the
//! issuer, for as long as it does.

mod holder;
mod issuer;

use std::time::Duration;

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId, value};

use crate::queue::Slots;
pub use crate::quota::holder::QuotaHolder;
pub use crate::quota::issuer::QuotaIssuer;

/// How long a grant lasts.
pub const QUOTA_TERM: Duration = Duration::from_secs(2);
/// What the issuer adds for clocks that run at different speeds.
pub const QUOTA_CLOCK_MARGIN: Duration = Duration::from_millis(100);

value! {
    /// What an entry asks of a group's issuer, a few times in a term.
    pub struct QuotaDemand {
        /// The entry that asks.
        pub entry: NodeId,
        /// This start of it. Its grants die with it.
        pub incarnation: Incarnation,
        /// The group.
        pub group: GroupId,
        /// Its epoch.
        pub epoch: Epoch,
        /// Rises with every demand of the entry for the group.
        pub seq: u64,
        /// The newest demand whose grant the entry has taken, 0 for none. It
        /// will use no grant older than that.
        pub held_seq: u64,
        /// What it has running there now.
        pub running: Slots,
        /// What it would like to start besides.
        pub waiting: Slots,
    }

    /// The issuer's answer to one demand.
    pub struct QuotaGrant {
        /// Who issues.
        pub issuer: NodeId,
        /// The entry it is for.
        pub entry: NodeId,
        /// The start of the entry it is for.
        pub incarnation: Incarnation,
        /// The group.
        pub group: GroupId,
        /// Its epoch.
        pub epoch: Epoch,
        /// The demand it answers.
        pub seq: u64,
        /// What the entry may have running.
        pub slots: Slots,
        /// How long, counted from when the demand was sent.
        pub term: Duration,
    }
}

/// What an entry without a grant may use, of `slots` shared by `entries`.
///
/// At least one, so that an entry that is cut off from the issuer but not from
/// the group keeps serving.
pub fn fallback_share(slots: Slots, entries: u32) -> Slots {
    let part = |n: u32| (n / entries.max(1)).max(n.min(1));
    Slots {
        normal: part(slots.normal),
        urgent: part(slots.urgent),
    }
}
