//! Stateful fuzz of at-most-once calls: the oracle counts runs at the targets.

mod store;
mod world;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::{ENTRIES, Told, World};

/// Number of cases for a longer run.
const CASES: &str = "EELGRASSMILL_FUZZ_CASES";
const SEED: u64 = 0x0c1a_1115;

#[derive(Clone, Debug)]
enum Step {
    Submit { entry: usize, key: usize, body: u8 },
    Tick { millis: u64 },
    Deliver { at: usize, keep: bool, refuse: bool },
    Lose { at: usize },
    TimeOut { call: usize },
    Kill { entry: usize },
    Sweep,
    SeemLapsed { entry: usize },
}

/// Steps need no model of their own: each is valid at any time.
struct Plan;

impl ReferenceStateMachine for Plan {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        prop_oneof![
            4 => (entry.clone(), 0..2usize, prop_oneof![9 => Just(0u8), 1 => Just(1u8)])
                .prop_map(|(entry, key, body)| Step::Submit { entry, key, body }),
            8 => prop_oneof![9 => 1..20u64, 1 => 1000..9000u64]
                .prop_map(|millis| Step::Tick { millis }),
            20 => (0..64usize, prop::bool::weighted(0.1), prop::bool::weighted(0.3))
                .prop_map(|(at, keep, refuse)| Step::Deliver { at, keep, refuse }),
            1 => (0..64usize).prop_map(|at| Step::Lose { at }),
            3 => (0..64usize).prop_map(|call| Step::TimeOut { call }),
            1 => entry.clone().prop_map(|entry| Step::Kill { entry }),
            1 => Just(Step::Sweep),
            1 => entry.prop_map(|entry| Step::SeemLapsed { entry }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        let messages = world.messages.len();
        let calls = world.calls.len();
        match step {
            Step::Submit { entry, key, body } => world.submit(entry, key, body),
            Step::Tick { millis } => world.tick(millis),
            Step::Deliver { at, keep, refuse } if messages > 0 => {
                // A target sees each connection's request once; only answers and
                // writes are doubled.
                let at = at % messages;
                let request = matches!(world.messages[at], world::Message::Request { .. });
                world.deliver(at, keep && !request, refuse);
            }
            Step::Lose { at } if messages > 0 => {
                world.messages.remove(at % messages);
            }
            Step::TimeOut { call } if calls > 0 => world.time_out(call % calls),
            Step::Kill { entry } => world.kill(entry),
            Step::Sweep => world.sweep(),
            Step::SeemLapsed { entry } => world.seem_lapsed(entry),
            _ => (),
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        // A key that is older than it was kept for is a new request.
        let mut runs: BTreeMap<(usize, u32), u32> = BTreeMap::new();
        for run in &world.runs {
            *runs.entry((run.key, run.generation)).or_default() += 1;
        }
        assert!(runs.values().all(|n| *n <= 1), "a key ran twice: {runs:?}");
        for call in &world.calls {
            match &call.told {
                Some(Told::NotRun) => assert_eq!(call.runs, 0, "false not-run: {call:?}"),
                Some(Told::Answer(run)) => {
                    let ran = world.runs[*run as usize - 1];
                    assert_eq!(
                        (ran.key, ran.body),
                        (call.key, call.body),
                        "someone else's answer: {call:?}"
                    );
                }
                _ => (),
            }
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var(CASES).ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(1000),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Callers send the same refund to two entries, while answers of the store
    /// and the targets come late, twice or never and entries die. The refund runs
    /// at most once, and nobody is told "not run" of one that ran.
    #[test]
    fn no_double_run_and_no_false_not_run(sequential 1..120 => Fuzz);
}
