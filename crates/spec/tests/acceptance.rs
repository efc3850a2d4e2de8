//! Every state of the configuration model, with all guards and without each.

use eelgrassmill_spec::acceptance::{Acceptance, Guard};
use eelgrassmill_spec::check::explore;
use googletest::prelude::*;

const LIMIT: usize = 1_500_000;

const GUARDS: [Guard; 4] = [
    Guard::ConditionalOnVersion,
    Guard::SubmitIds,
    Guard::SettlesBeforeRefusal,
    Guard::RisingOnly,
];

#[gtest]
fn no_state_breaks_a_promise() {
    let outcome = explore(&Acceptance::new(), LIMIT);
    println!(
        "acceptance: {} states, complete {}",
        outcome.states, outcome.complete
    );
    expect_that!(outcome.counterexample, none());
    expect_that!(outcome.complete, eq(true));
    expect_that!(outcome.states, ge(100_000));
}

/// Each guard is there because something goes wrong without it; the trace says what.
#[test]
fn every_guard_is_needed() {
    for guard in GUARDS {
        let outcome = explore(&Acceptance::without(guard), LIMIT);
        let found = outcome.counterexample;
        let found = found.unwrap_or_else(|| panic!("nothing goes wrong without {guard:?}"));
        insta::assert_debug_snapshot!(format!("without_{guard:?}"), found);
    }
}
