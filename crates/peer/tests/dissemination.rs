//! The pure state machine over a network in virtual time.

mod support;

use std::time::Duration;

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{Change, ConfigAnnouncement, HealthReport, Item, ItemKey, LeavingTarget};
use googletest::prelude::*;

use crate::support::net::{Behaviour, Net, member, members, status};

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
fn an_update_reaches_all_nodes_of_a_mesh() {
    let mut net = Net::new(&members(8, 3), 1);
    net.run(Duration::from_secs(2));
    net.publish("node-3", health("replies/0", true));
    let took = net.run_until(Duration::from_secs(2), |net| {
        net.all_hold("node-3", &health("replies/0", true))
    });
    expect_that!(took, some(le(Duration::from_millis(300))));
    expect_that!(net.agree(), eq(true));
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
fn withdrawn_and_outlived_items_go_everywhere() {
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
fn a_restarted_node_replaces_what_it_said_before() {
    // A node restarts and its watch over a group has ended. Were its old verdict
    // still counted, requests would go to a group that nobody probes.
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
    expect_that!(net.agree(), eq(true));
}

#[gtest]
fn a_dead_node_is_forgotten_and_never_brought_back() {
    // A node dies. What it said must go, and must not travel round among those who
    // have already forgotten it and those who have not.
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
fn a_cut_between_two_nodes_is_passed_round_and_healed() {
    // Two nodes can't reach each other, everybody else can reach both. Verdicts of
    // the one must still be fresh at the other.
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
    expect_that!(net.agree(), eq(true));
}

#[gtest]
fn parts_that_forgot_each_other_join_again() {
    // Two regions lose each other for longer than nodes remember each other's state.
    // When the line is back, both must be one system again without an operator.
    let list = members(16, 2);
    let mut net = Net::new(&list, 7);
    net.run(Duration::from_secs(5));
    let side: Vec<NodeId> = list
        .iter()
        .filter(|m| m.failure_domain == "domain-1")
        .map(|m| m.id.clone())
        .collect();
    net.part(&side);
    net.run(Duration::from_secs(180));
    expect_that!(net.nodes["node-0"].items_of("node-1").count(), eq(0));
    net.heal();
    let took = net.run_until(Duration::from_secs(60), Net::agree);
    expect_that!(took, some(le(Duration::from_secs(30))));
}

#[gtest]
fn a_node_that_knows_one_seed_learns_all() {
    // The table service is down when a node starts, so that it has no list of
    // members. It asks a seed.
    let list = members(30, 3);
    let mut net = Net::new(&list, 8);
    net.publish("node-4", announcement(17));
    net.run(Duration::from_secs(3));
    let late = member("late", "domain-1");
    net.start(&late, 1, &[]);
    net.greet("late", "node-9");
    let took = net.run_until(Duration::from_secs(20), |net| {
        net.all_hold("late", &status(&late)) && net.agree()
    });
    expect_that!(took, some(le(Duration::from_secs(3))));
    expect_that!(net.nodes["late"].overlay().len(), eq(31));
}

#[gtest]
fn a_batch_that_was_held_up_does_not_look_fresh() {
    // A watcher is paused between putting a batch together and sending it. When it
    // goes on, the verdict in the batch is ten seconds old, while its age still
    // says zero. Taken at its word, it would keep a group in service that may have
    // lost a host since.
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

/// All nodes publish, withdraw and restart at random under loss, doubling and
/// reordering; afterwards all must hold the same.
fn converges(count: usize, domains: usize, seed: u64) -> Option<Duration> {
    let list = members(count, domains);
    let mut net = Net::new(&list, seed);
    net.keep_learned = false;
    net.behaviour = Behaviour {
        latency: Duration::from_millis(60),
        loss: 0.2,
        doubled: 0.1,
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
    net.run_until(Duration::from_secs(60), Net::agree)
}

#[gtest]
fn eight_nodes_agree_under_loss() {
    for seed in 0..4 {
        expect_that!(
            converges(8, 3, seed),
            some(le(Duration::from_secs(20))),
            "seed {seed}"
        );
    }
}

#[gtest]
fn sixty_nodes_agree_under_loss() {
    expect_that!(converges(60, 6, 11), some(le(Duration::from_secs(30))));
}

/// Guards against nodes that start together taking each other for silent, and acting as if each
/// were alone, since their first batches count as having been under way for as long as a call may.
#[gtest]
fn nodes_that_start_together_know_that_the_others_are_up() {
    let all = members(30, 3);
    let mut net = Net::empty(5);
    for member in &all {
        net.start(member, 1, &[]);
    }
    for member in &all[1..] {
        net.greet(&member.id, &all[0].id);
    }
    let began = net.now;
    net.run(Duration::from_millis(800));
    for member in &all {
        let heard = net.nodes[&member.id].origins();
        let late = heard.filter(|(_, _, confirmed)| *confirmed + Duration::from_secs(1) < began);
        let late: Vec<_> = late.map(|(origin, ..)| origin.clone()).collect();
        expect_that!(late, is_empty(), "at {}", member.id);
    }
}
