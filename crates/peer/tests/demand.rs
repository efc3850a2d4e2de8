//! Tests of the items on the demand for models, over a simulated network.

mod support;

use std::time::Duration;

use eelgrassmill_base::SchedulerScope;
use eelgrassmill_peer::{Change, Item, ItemKey, ModelDemand};
use googletest::prelude::*;

use crate::support::net::{Net, members};

/// How often the demand is published.
const INTERVAL: Duration = Duration::from_millis(250);

fn scope(heads_in: Option<&str>) -> SchedulerScope {
    SchedulerScope {
        service: "writer".into(),
        model: "small".into(),
        heads_in: heads_in.map(Into::into),
    }
}

fn demand(heads_in: Option<&str>, measured_s: u32, wanted: u64) -> Item {
    Item::ModelDemand(ModelDemand {
        scope: scope(heads_in),
        measured_s,
        idle_ms: 12,
        slots: 720_000,
        used: 690_100,
        wanted,
        peak: 812_345,
        rejected_per_second: 33_300,
        prompt_tokens_per_second: 81_234_567,
    })
}

fn net(seed: u64) -> Net {
    let mut net = Net::empty(seed);
    net.timing.low_priority_interval = INTERVAL;
    let list = members(8, 3);
    for member in &list {
        net.start(member, 1, &list);
    }
    net.run(Duration::from_secs(2));
    net
}

/// Guards against fields and keys that are lost on the wire.
#[gtest]
fn demand_arrives_as_published_and_is_withdrawn_by_scope() {
    let mut net = net(1);
    let (all, part) = (demand(None, 3, 700_001), demand(Some("z1"), 3, 700_002));
    net.publish("node-3", all.clone());
    net.publish("node-3", part.clone());
    net.run(Duration::from_secs(1));
    expect_that!(net.all_hold("node-3", &all), eq(true));
    expect_that!(net.all_hold("node-3", &part), eq(true));
    for (withdrawn, left) in [(Some("z1"), 1), (None, 0)] {
        let now = net.now;
        let key = ItemKey::ModelDemand(scope(withdrawn));
        net.node("node-3").withdraw(&key, now);
        net.run(Duration::from_secs(1));
        let is_demand = |item: &Item| matches!(item, Item::ModelDemand(_));
        for (name, node) in &net.nodes {
            let held = node.items_of("node-3").filter(|(i, _, _)| is_demand(i));
            expect_that!(held.count(), eq(left), "at {name}");
        }
    }
}

/// Guards against taking a demand for old that doesn't change, and against sending each small change
/// to all nodes.
#[gtest]
fn steady_demand_is_sent_once_a_second_and_stays_fresh() {
    let mut net = net(2);
    let mut oldest = Duration::ZERO;
    for i in 0..80_u32 {
        let wanted = 700_000 + u64::from(i % 4) * 5_000;
        net.publish("node-3", demand(None, i / 4, wanted));
        net.run(INTERVAL);
        let held = net.nodes["node-5"].items_of("node-3");
        let age = held
            .filter(|(item, _, _)| matches!(item, Item::ModelDemand(_)))
            .map(|(_, _, as_of)| net.now.saturating_duration_since(as_of))
            .max();
        if i >= 4 {
            oldest = oldest.max(age.unwrap_or(Duration::MAX));
        }
    }
    expect_that!(oldest, le(Duration::from_millis(2_000)));
    let puts = net.updates["node-5"].iter().filter(|(_, update)| {
        let put = |change: &Change| {
            matches!(
                change,
                Change::Put {
                    item: Item::ModelDemand(_),
                    ..
                }
            )
        };
        update.origin == "node-3" && put(&update.change)
    });
    // 20 s.
    expect_that!(puts.count(), all![ge(18), le(21)]);
}

/// Guards against a burst that is reported late.
#[gtest]
fn a_large_change_is_sent_at_once() {
    let mut net = net(3);
    net.publish("node-3", demand(None, 3, 400_000));
    net.run(Duration::from_secs(1));
    let burst = demand(None, 3, 700_000);
    net.publish("node-3", burst.clone());
    net.run(Duration::from_millis(700));
    expect_that!(net.all_hold("node-3", &burst), eq(true));
}

/// Guards against nodes of an earlier build that fail on the item or no longer take the other ones.
#[gtest]
fn nodes_that_do_not_know_demand_ignore_it() {
    let mut net = net(4);
    net.old_nodes = ["node-1".into(), "node-2".into()].into();
    for i in 0..40 {
        net.publish("node-3", demand(None, i / 4, 700_000));
        net.run(INTERVAL);
    }
    let last = demand(None, 9, 700_000);
    for (name, node) in &net.nodes {
        let holds = node.items_of("node-3").any(|(item, _, _)| *item == last);
        expect_that!(holds, eq(!net.old_nodes.contains(name)), "at {name}");
    }
    let now = net.now;
    net.node("node-3")
        .withdraw(&ItemKey::ModelDemand(scope(None)), now);
    let other = Item::Leaving(eelgrassmill_peer::LeavingTarget {
        host: "host-1".into(),
        incarnation: 4,
    });
    net.publish("node-3", other.clone());
    net.run(Duration::from_secs(3));
    expect_that!(net.all_hold("node-3", &other), eq(true));
    expect_that!(net.has_converged(), eq(true));
}
