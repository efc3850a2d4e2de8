//! Every state of the ownership model, with all guards and without each.

use eelgrassmill_spec::check::explore;
use eelgrassmill_spec::ownership::{Guard, Ownership, Size};
use googletest::prelude::*;

/// States visited of each size that is too large to visit whole.
const PART: usize = 400_000;
const LIMIT: usize = 2_000_000;

/// Sizes that are visited whole.
const WHOLE: [Size; 4] = [
    Size::Planners,
    Size::OrdersChecked,
    Size::OrdersUnchecked,
    Size::Evidence,
];

/// Each guard, and a size in which it matters.
const GUARDS: [(Guard, Size); 9] = [
    (Guard::ObserverWaits, Size::Planners),
    (Guard::CountsFromSend, Size::Planners),
    (Guard::ConditionalOnLease, Size::Planners),
    (Guard::ConditionalOnRows, Size::Planners),
    (Guard::FreedWhenConfirmed, Size::OrdersUnchecked),
    (Guard::RaisesFence, Size::OrdersChecked),
    (Guard::QuietAfterTakeover, Size::Handover),
    (Guard::ReadsBack, Size::Handover),
    (Guard::EvidenceExpires, Size::Evidence),
];

#[gtest]
fn no_state_breaks_a_promise() {
    let mut states = 0;
    for size in WHOLE {
        let outcome = explore(&Ownership::new(size), LIMIT);
        println!(
            "ownership {size:?}: {} states, complete {}",
            outcome.states, outcome.complete
        );
        expect_that!(outcome.counterexample, none());
        expect_that!(outcome.complete, eq(true));
        states += outcome.states;
    }
    expect_that!(states, ge(100_000));
}

#[gtest]
fn the_nearest_states_of_the_larger_sizes_break_no_promise() {
    for size in [Size::Handover, Size::All] {
        let outcome = explore(&Ownership::new(size), PART);
        println!(
            "ownership {size:?}: {} states, complete {}",
            outcome.states, outcome.complete
        );
        expect_that!(outcome.counterexample, none());
        expect_that!(outcome.states, ge(100_000));
    }
}

/// Each guard is there because something goes wrong without it; the trace says what.
#[test]
fn every_guard_is_needed() {
    for (guard, size) in GUARDS {
        let outcome = explore(&Ownership::without(guard, size), LIMIT);
        let found = outcome.counterexample;
        println!(
            "{guard:?}: {} states, found {}",
            outcome.states,
            found.is_some()
        );
        let found = found.unwrap_or_else(|| panic!("nothing goes wrong without {guard:?}"));
        insta::assert_debug_snapshot!(format!("without_{guard:?}"), found);
    }
}
