//! Tests of the state machine over a simulated network in virtual time.

mod support;

use std::time::Duration;

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{Change, ConfigAnnouncement, HealthReport, Item, ItemKey, LeavingTarget};
use googletest::prelude::*;

use crate::support::net::{Net, NetworkConditions, member, members, status};

fn health(group: &str, serving: bool) -> Item {
    Item::Health(HealthReport {
        group: group.into(),
        epoch: 7,
        serving,
        code: 1,
        reason: "host-3 is missing".into(),
    })
}

fn announcement(version: u64) -> Item {
    Item::Config(ConfigAnnouncement {
        version,
        checksum: format!("{version:064x}").into(),
    })
}

#[gtest]
fn update_reaches_all_nodes_of_a_mesh() {
    let mut net = Net::new(&members(8, 3), 1);
    net.run(Duration::from_secs(2));
    net.publish("node-3", health("replies/0", true));
    let took = net.run_until(Duration::from_secs(2), |net| {
        net.all_hold("node-3", &health("replies/0", true))
    });
    expect_that!(took, some(le(Duration::from_millis(300))));
    expect_that!(net.has_converged(), eq(true));
}

#[gtest]
fn urgent_updates_do_not_wait_for_the_tick() {
    let mut net = Net::new(&members(8, 3), 2);
    net.run(Duration::from_secs(2));
    net.publish("node-3", health("replies/0", false));
    let took = net.run_until(Duration::from_secs(2), |net| {
        net.all_hold("node-3", &health("replies/0", false))
    });
    expect_that!(took, some(le(Duration::from_millis(70))));
}

#[gtest]
fn withdrawn_and_expired_items_are_removed_everywhere() {
    let mut net = Net::new(&members(8, 3), 3);
    let leaving = Item::Leaving(LeavingTarget {
        host: "host-1".into(),
        incarnation: 4,
    });
    let now = net.now;
    net.node("node-0")
        .publish_with_ttl(leaving.clone(), Duration::from_secs(5), now);
    net.publish("node-0", health("replies/0", true));
    net.run(Duration::from_secs(2));
    expect_that!(net.all_hold("node-0", &leaving), eq(true));
    let now = net.now;
    net.node("node-0")
        .withdraw(&ItemKey::Health("replies/0".into()), now);
    net.run(Duration::from_secs(4));
    for name in net.nodes.keys() {
        let keys: Vec<ItemKey> = net.nodes[name]
            .items_of("node-0")
            .map(|(item, _, _)| item.key())
            .collect();
        expect_that!(keys, elements_are![eq(&ItemKey::Status)], "at {name}");
    }
}

#[gtest]
fn restart_discards_the_former_incarnations_items() {
    // If the former incarnation's health report remained, requests would be sent to a group
    // that nobody probes any more.
    let list = members(8, 3);
    let mut net = Net::new(&list, 4);
    net.publish("node-5", health("replies/0", true));
    net.run(Duration::from_secs(2));
    net.start(&list[5], 2, &list);
    net.run(Duration::from_secs(3));
    for name in net.nodes.keys() {
        let held: Vec<Item> = net.nodes[name]
            .items_of("node-5")
            .map(|(item, _, _)| item.clone())
            .collect();
        expect_that!(held, elements_are![eq(&status(&list[5]))], "at {name}");
    }
    expect_that!(net.has_converged(), eq(true));
}

#[gtest]
fn dead_node_expires_and_is_not_restored() {
    // A dead node's state must not circulate between nodes that have dropped it and nodes that
    // still hold it.
    let mut net = Net::new(&members(20, 3), 5);
    net.run(Duration::from_secs(5));
    net.stop("node-7");
    net.run(Duration::from_secs(40));
    let holders = |net: &Net| {
        net.nodes
            .values()
            .filter(|node| node.items_of("node-7").next().is_some())
            .count()
    };
    expect_that!(holders(&net), eq(0));
    net.run(Duration::from_secs(30));
    expect_that!(holders(&net), eq(0));
}

#[gtest]
fn state_is_routed_around_a_broken_link() {
    // Two nodes can't reach each other, but all others reach both. Health reports of
    // one must stay fresh at the other.
    let mut net = Net::new(&members(8, 3), 6);
    net.cut("node-1", "node-2");
    net.publish("node-1", health("replies/0", true));
    net.run(Duration::from_secs(5));
    for _ in 0..100 {
        let now = net.now;
        net.node("node-1").confirm(now);
        net.run(Duration::from_millis(200));
    }
    let at_node_2 = &net.nodes["node-2"];
    let confirmed = at_node_2
        .origins()
        .find(|(id, _, _)| **id == "node-1")
        .map(|(_, _, confirmed)| net.now - confirmed);
    expect_that!(confirmed, some(le(Duration::from_millis(2000))));
    net.heal();
    net.run(Duration::from_secs(15));
    expect_that!(net.has_converged(), eq(true));
}

#[gtest]
fn partition_heals_after_mutual_expiry() {
    // A partition lasts longer than the expiry of state. Once it ends, both sides must
    // reconnect without an operator.
    let list = members(16, 2);
    let mut net = Net::new(&list, 7);
    net.run(Duration::from_secs(5));
    let side: Vec<NodeId> = list
        .iter()
        .filter(|m| m.failure_domain == "domain-1")
        .map(|m| m.id.clone())
        .collect();
    net.partition(&side);
    net.run(Duration::from_secs(180));
    expect_that!(net.nodes["node-0"].items_of("node-1").count(), eq(0));
    net.heal();
    let took = net.run_until(Duration::from_secs(60), Net::has_converged);
    expect_that!(took, some(le(Duration::from_secs(30))));
}

#[gtest]
fn node_with_one_seed_discovers_all_nodes() {
    // A node that starts while the table service is down has no list of members and
    // sends a hello to a seed.
    let list = members(30, 3);
    let mut net = Net::new(&list, 8);
    net.publish("node-4", announcement(17));
    net.run(Duration::from_secs(3));
    let late = member("late", "domain-1");
    net.start(&late, 1, &[]);
    net.send_hello("late", "node-9");
    let took = net.run_until(Duration::from_secs(20), |net| {
        net.all_hold("late", &status(&late)) && net.has_converged()
    });
    expect_that!(took, some(le(Duration::from_secs(3))));
    expect_that!(net.nodes["late"].overlay().len(), eq(31));
}

#[gtest]
fn delayed_batch_does_not_look_fresh() {
    // A watcher is paused for ten seconds between building a batch and sending it, so the
    // batch still states an age of zero. Taken as fresh, its health report would keep a
    // group in service that may have lost a host since.
    let list = members(2, 1);
    let mut net = Net::new(&list, 9);
    net.publish("node-0", health("replies/0", true));
    net.run(Duration::from_secs(3));
    let now = net.now;
    net.node("node-0").confirm(now);
    let held_up = loop {
        net.now += Duration::from_millis(50);
        let now = net.now;
        let mut output = net.node("node-0").tick(now);
        if let Some((_, batch)) = output.batches.pop() {
            break batch;
        }
    };
    let sent = net.now;
    let later = sent + Duration::from_secs(10);
    let from = NodeId::from("node-0");
    let updates = net.node("node-1").receive(&from, held_up, later);
    for update in updates {
        if let Change::Confirmed(as_of) = update.change {
            expect_that!(as_of, le(sent + Duration::from_millis(20)));
        }
    }
    let confirmed = net.nodes["node-1"]
        .origins()
        .find(|(id, _, _)| **id == "node-0")
        .map(|(_, _, confirmed)| confirmed);
    expect_that!(confirmed, some(le(sent + Duration::from_millis(20))));
}

/// Nodes publish, withdraw and restart at random under loss, duplication and
/// reordering. Returns how long they then take to converge.
fn converges(count: usize, domains: usize, seed: u64) -> Option<Duration> {
    let list = members(count, domains);
    let mut net = Net::new(&list, seed);
    net.record_updates = false;
    net.conditions = NetworkConditions {
        latency: Duration::from_millis(60),
        loss: 0.2,
        duplication: 0.1,
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut incarnation = 1;
    for _ in 0..60 {
        let node = &list[rng.usize(..count)];
        let group = format!("replies/{}", rng.u32(0..4));
        match rng.u32(0..10) {
            0 => {
                incarnation += 1;
                net.start(node, incarnation, &list);
            }
            1 => {
                let now = net.now;
                net.node(&node.id)
                    .withdraw(&ItemKey::Health(group.into()), now);
            }
            2 => net.publish(&node.id, announcement(rng.u64(1..9))),
            _ => net.publish(&node.id, health(&group, rng.bool())),
        }
        net.run(Duration::from_millis(100));
    }
    net.run_until(Duration::from_secs(60), Net::has_converged)
}

#[gtest]
fn eight_nodes_converge_under_packet_loss() {
    for seed in 0..4 {
        expect_that!(
            converges(8, 3, seed),
            some(le(Duration::from_secs(20))),
            "seed {seed}"
        );
    }
}

#[gtest]
fn sixty_nodes_converge_under_packet_loss() {
    expect_that!(converges(60, 6, 11), some(le(Duration::from_secs(30))));
}

/// Guards against nodes that start together considering each other silent, and each acting as if it
/// were alone, because their first batches are assumed to be delayed by the call timeout.
#[gtest]
fn nodes_that_start_together_see_each_other_as_alive() {
    let all = members(30, 3);
    let mut net = Net::empty(5);
    for member in &all {
        net.start(member, 1, &[]);
    }
    for member in &all[1..] {
        net.send_hello(&member.id, &all[0].id);
    }
    let began = net.now;
    net.run(Duration::from_millis(800));
    for member in &all {
        let origins = net.nodes[&member.id].origins();
        let late = origins.filter(|(_, _, confirmed)| *confirmed + Duration::from_secs(1) < began);
        let late: Vec<_> = late.map(|(origin, ..)| origin.clone()).collect();
        expect_that!(late, is_empty(), "at {}", member.id);
    }
}
