//! Tests with duplicated, delayed and reordered batches.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    Batch, Dissemination, DisseminationConfig, HealthReport, Item, ItemKey, Timing,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::support::net::{member, status};

/// An action of the origin between two ticks.
#[derive(Clone, Debug)]
enum Step {
    Publish { group: u8, epoch: u64 },
    Withdraw { group: u8 },
    Restart,
    Idle,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..4u8, 0..9u64).prop_map(|(group, epoch)| Step::Publish { group, epoch }),
        2 => (0..4u8).prop_map(|group| Step::Withdraw { group }),
        1 => Just(Step::Restart),
        1 => Just(Step::Idle),
    ]
}

fn start(name: &str, incarnation: u64, now: Instant) -> Dissemination {
    let cfg = DisseminationConfig {
        me: member(name, "domain-0"),
        incarnation,
        timing: Timing::default(),
    };
    let mut node = Dissemination::new(cfg, now);
    node.set_members(["a", "b"].map(|name| member(name, "domain-0")), now);
    node.publish(status(&member(name, "domain-0")), now);
    node
}

fn key(group: u8) -> ItemKey {
    ItemKey::Health(format!("replies/{group}").into())
}

/// Runs `steps` at node `a`. Returns it and the batches that it sent to `b`.
fn run_steps(steps: &[Step], now: &mut Instant) -> (Dissemination, Vec<Batch>) {
    let mut incarnation = 1;
    let mut a = start("a", incarnation, *now);
    let mut sent = Vec::new();
    for step in steps {
        match step {
            Step::Publish { group, epoch } => a.publish(
                Item::Health(HealthReport {
                    group: format!("replies/{group}").into(),
                    epoch: *epoch,
                    serving: epoch % 2 == 0,
                    code: 0,
                    reason: "".into(),
                }),
                *now,
            ),
            Step::Withdraw { group } => a.withdraw(&key(*group), *now),
            Step::Restart => {
                incarnation += 1;
                a = start("a", incarnation, *now);
            }
            Step::Idle => {}
        }
        *now += Duration::from_millis(300);
        sent.extend(a.tick(*now).batches.into_iter().map(|(_, batch)| batch));
    }
    (a, sent)
}

type View = BTreeMap<ItemKey, (u64, Item)>;

fn view(node: &Dissemination) -> (u64, View) {
    let incarnation = node
        .origins()
        .find(|(id, _, _)| **id == "a")
        .map_or(0, |(_, incarnation, _)| incarnation);
    let items = node
        .items_of("a")
        .map(|(item, sequence, _)| (item.key(), (sequence, item.clone())))
        .collect();
    (incarnation, items)
}

fn sequences(view: &View) -> BTreeMap<ItemKey, u64> {
    let pairs = view
        .iter()
        .map(|(key, (sequence, _))| (key.clone(), *sequence));
    pairs.collect()
}

fn cases() -> u32 {
    let cases = std::env::var("EELGRASSMILL_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(256)
}

proptest! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Retries and slower paths duplicate and reorder batches. Older state must never
    /// replace newer state, or a group that has lost a host would receive requests
    /// again. Finally both nodes must hold the same.
    #[test]
    fn older_state_never_replaces_newer_state(
        steps in prop::collection::vec(step(), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..60),
    ) {
        let mut now = Instant::now() + Duration::from_secs(7200);
        let mut b = start("b", 1, now);
        let (mut a, sent) = run_steps(&steps, &mut now);
        let from = NodeId::from("a");
        let mut highest: BTreeMap<(u64, ItemKey), u64> = BTreeMap::new();
        let mut incarnation = 0;
        if !sent.is_empty() {
            for index in &order {
                now += Duration::from_millis(7);
                b.receive(&from, index.get(&sent).clone(), now);
                let (seen, items) = view(&b);
                prop_assert!(seen >= incarnation, "incarnation fell to {seen}");
                incarnation = seen;
                for (key, sequence) in sequences(&items) {
                    let known = highest.entry((seen, key)).or_default();
                    prop_assert!(sequence >= *known, "sequence fell to {sequence}");
                    *known = sequence;
                }
            }
        }
        let hello = b.hello(now);
        let to = NodeId::from("b");
        a.receive(&to, hello, now);
        let reply = a.reply(&to, now);
        b.receive(&from, reply, now);
        let (final_incarnation, held) = view(&b);
        let (own_incarnation, published) = view(&a);
        prop_assert_eq!(final_incarnation, own_incarnation);
        prop_assert_eq!(held, published);
    }
}

#[gtest]
fn steps_produce_batches() {
    let mut now = Instant::now() + Duration::from_secs(7200);
    let steps = [
        Step::Publish { group: 1, epoch: 2 },
        Step::Restart,
        Step::Idle,
    ];
    let (_, sent) = run_steps(&steps, &mut now);
    expect_that!(sent.len(), ge(2));
}
