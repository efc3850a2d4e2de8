//! At most once, checked over every interleaving of the specification.

use eelgrassmill_spec::claims::{Bounds, Guard, Model};
use googletest::prelude::*;

/// Set it to check larger bounds.
const FULL: &str = "EELGRASSMILL_SPEC_FULL";

fn bounds() -> Bounds {
    let full = std::env::var_os(FULL).is_some();
    let dispatches = if full { 2 } else { 1 };
    let faults = if full { 3 } else { 1 };
    Bounds { dispatches, faults }
}

/// Callers try several entries, entries pause and die, the store loses answers
/// and makes writes late, targets run late. No caller's request runs twice, and
/// nobody is told `not-run` of a request that ran.
#[googletest::test]
fn no_interleaving_breaks_at_most_once() {
    let states = Model::new(bounds()).check();
    println!("{states:?} states");
    expect_that!(states, ok(ge(100_000)));
}

/// Each rule of the protocol is there because of one failure. Without the rule
/// the check finds it: a second run, a false `not-run`, an answer to something
/// that never ran, or a key that is in progress for good.
#[googletest::test]
fn every_rule_is_needed() {
    let rules = [
        Guard::ConditionalClaim,
        Guard::NoDispatchOnLostAnswer,
        Guard::AbandonedStaysClosed,
        Guard::ReleaseOnSameCondition,
        Guard::ReleaseAbandoned,
        Guard::OwnRowOnly,
        Guard::TimeoutIsUnknown,
        Guard::LapsedKeepsClaim,
        Guard::FinalStateStays,
        Guard::TableKeepsWrites,
    ];
    let mut found = String::new();
    for rule in rules {
        let model = Model::new(bounds()).without(rule);
        let way = model.counterexample().map(|c| c.to_string());
        expect_that!(way, some(anything()), "without {rule:?}");
        found += &format!("without {rule:?}\n{}\n\n", way.unwrap_or_default());
    }
    insta::assert_snapshot!(found);
}
