//! The planner: a pure function from what is known of a region to what is to be done.
//!
//! One round looks at every host and group once, in this order: release and
//! order hosts, end groups that are not wanted or can be mended better in
//! another shape, form groups from free hosts, and load spares. Each round is
//! bounded in transactions and in hosts that load at once, so that a dark
//! fabric domain starts no storm; what doesn't fit waits for the next round.

mod action;
mod baseline;
mod end;
mod form;
mod group;
mod merge;
mod policy;
mod preempt;
mod reconcile;
mod recovery;
mod repair;
mod retire;
mod round;
mod view;
mod warm;

use std::time::Instant;

pub use crate::plan::action::{Action, FreeReason};
pub use crate::plan::policy::{RepairPolicy, RepairStrategy};
pub use crate::plan::recovery::{FailureScope, Recovery, RecoveryModel};
pub use crate::plan::view::{FleetView, GroupStatus, HostStatus};

use crate::plan::round::Round;

/// What is to be done now, the most urgent first.
pub fn plan(view: &FleetView, policy: &RepairPolicy, now: Instant) -> Vec<Action> {
    let mut round = Round::new(view, policy, now);
    reconcile::reconcile(&mut round);
    retire::end_surplus(&mut round);
    form::reform_ended(&mut round);
    repair::repair(&mut round);
    form::form_missing(&mut round);
    retire::roll_out(&mut round);
    warm::warm_spares(&mut round);
    round.actions
}
