//! The planner: a pure function from the known state of a region to a list of actions.
//!
//! One round visits every host and group, in this order: order and release hosts, end surplus
//! groups, re-form and repair groups, form missing ones from free hosts, and load weights on
//! spares. Each round bounds the number of transactions and of concurrent loads, so that the loss
//! of a fabric domain doesn't overload the table and the weight store; the rest waits for later
//! rounds.

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

/// Returns the actions to take now, the most urgent first.
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
