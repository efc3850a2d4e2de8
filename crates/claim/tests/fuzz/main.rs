//! Stateful fuzz test of at-most-once calls that counts the runs at the targets.

mod store;
mod world;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::{ENTRIES, Reported, World};

/// Environment variable with the number of cases.
const CASES_VAR: &str = "EELGRASSMILL_FUZZ_CASES";
const SEED: u64 = 0x0c1a_1115;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        entry: usize,
        key: usize,
        body: u8,
    },
    Tick {
        millis: u64,
    },
    Deliver {
        at: usize,
        duplicate: bool,
        reject: bool,
    },
    Drop {
        at: usize,
    },
    TimeOut {
        call: usize,
    },
    Kill {
        entry: usize,
    },
    Sweep,
    SeemExpired {
        entry: usize,
    },
}

/// The steps need no reference model: each is valid at any time.
struct StepSequence;

impl ReferenceStateMachine for StepSequence {
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
                .prop_map(|(at, duplicate, reject)| Step::Deliver { at, duplicate, reject }),
            1 => (0..64usize).prop_map(|at| Step::Drop { at }),
            3 => (0..64usize).prop_map(|call| Step::TimeOut { call }),
            1 => entry.clone().prop_map(|entry| Step::Kill { entry }),
            1 => Just(Step::Sweep),
            1 => entry.prop_map(|entry| Step::SeemExpired { entry }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = StepSequence;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        let messages = world.messages.len();
        let calls = world.calls.len();
        match step {
            Step::Submit { entry, key, body } => world.submit(entry, key, body),
            Step::Tick { millis } => world.tick(millis),
            Step::Deliver {
                at,
                duplicate,
                reject,
            } if messages > 0 => {
                // A target receives each connection's request once; only responses and
                // writes are duplicated.
                let at = at % messages;
                let request = matches!(world.messages[at], world::Message::Request { .. });
                world.deliver(at, duplicate && !request, reject);
            }
            Step::Drop { at } if messages > 0 => {
                world.messages.remove(at % messages);
            }
            Step::TimeOut { call } if calls > 0 => world.time_out(call % calls),
            Step::Kill { entry } => world.kill(entry),
            Step::Sweep => world.sweep(),
            Step::SeemExpired { entry } => world.seem_expired(entry),
            _ => (),
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        // A key that is used after its retention is a new request.
        let mut runs: BTreeMap<(usize, u32), u32> = BTreeMap::new();
        for run in &world.runs {
            *runs.entry((run.key, run.generation)).or_default() += 1;
        }
        assert!(runs.values().all(|n| *n <= 1), "a key ran twice: {runs:?}");
        for call in &world.calls {
            match &call.reported {
                Some(Reported::NotRun) => assert_eq!(call.runs, 0, "false not-run: {call:?}"),
                Some(Reported::Response(run)) => {
                    let ran = world.runs[*run as usize - 1];
                    assert_eq!(
                        (ran.key, ran.body),
                        (call.key, call.body),
                        "response of another request: {call:?}"
                    );
                }
                _ => (),
            }
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var(CASES_VAR).ok().and_then(|n| n.parse().ok());
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

    /// Callers send the same request to two entries, while responses of the store and the
    /// targets are delayed, duplicated or lost and entries crash. The request runs at most
    /// once, and `not-run` is never reported for one that ran.
    #[test]
    fn no_double_run_and_no_false_not_run(sequential 1..120 => Fuzz);
}
