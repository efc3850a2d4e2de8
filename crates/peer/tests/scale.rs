//! How far and how fast changes travel at the size that the design is for.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{ConfigAnnouncement, Item, Member, Overlay, Timing, Verdict};
use googletest::prelude::*;

use crate::support::net::{Net, members};

const NODES: usize = 370;
const DOMAINS: usize = 6;
/// From the origin to its partner in another domain, and two down that domain's tree.
const HOPS: usize = 3;

fn overlay(list: &[Member]) -> Overlay {
    Overlay::new(list.iter().map(|m| (&m.id, &m.failure_domain)))
}

/// Hands a change of `origin` on until nobody is left; gives hops and copies.
fn spread(overlay: &Overlay, origin: &NodeId, dead: &BTreeSet<NodeId>) -> (usize, Vec<NodeId>) {
    let mut reached = vec![origin.clone()];
    let mut front = vec![origin.clone()];
    let mut hops = 0;
    loop {
        let next: Vec<NodeId> = front
            .iter()
            .flat_map(|node| overlay.children(node, origin, dead))
            .collect();
        if next.is_empty() {
            return (hops, reached);
        }
        hops += 1;
        reached.extend(next.iter().cloned());
        front = next;
    }
}

#[gtest]
fn every_node_is_reached_once_in_three_hops() {
    for count in [1, 2, 12, 13, 60, 185, NODES] {
        let list = members(count, DOMAINS);
        let overlay = overlay(&list);
        for origin in list.iter().step_by(1 + count / 40) {
            let (hops, reached) = spread(&overlay, &origin.id, &BTreeSet::new());
            let distinct: BTreeSet<&NodeId> = reached.iter().collect();
            assert_that!(distinct.len(), eq(count));
            assert_that!(reached.len(), eq(count));
            assert_that!(hops, le(HOPS));
        }
    }
}

#[gtest]
fn the_living_are_reached_past_the_dead() {
    // A domain is dark and every fifth node elsewhere is gone. Whoever would have been
    // served by one of them must be served by somebody else, or would miss changes.
    let list = members(NODES, DOMAINS);
    let overlay = overlay(&list);
    let dark = |m: &&Member| m.failure_domain == "domain-2";
    let fifth = list.iter().step_by(5);
    let dead: BTreeSet<NodeId> = list
        .iter()
        .filter(dark)
        .chain(fifth)
        .map(|m| m.id.clone())
        .collect();
    for origin in list.iter().filter(|m| !dead.contains(&m.id)).take(15) {
        let (_, reached) = spread(&overlay, &origin.id, &dead);
        let distinct: BTreeSet<&NodeId> = reached.iter().collect();
        assert_that!(distinct.len(), eq(NODES - dead.len()));
        assert_that!(reached.len(), eq(NODES - dead.len()));
    }
}

#[gtest]
fn no_node_has_more_links_than_the_pool_of_connections() {
    let list = members(NODES, DOMAINS);
    let overlay = overlay(&list);
    for node in list.iter().step_by(9) {
        let links: BTreeSet<NodeId> = list
            .iter()
            .flat_map(|origin| overlay.children(&node.id, &origin.id, &BTreeSet::new()))
            .collect();
        assert_that!(links.len(), le(20));
    }
}

#[gtest]
fn urgent_changes_reach_370_nodes_within_a_flush_for_each_hop() {
    let list = members(NODES, DOMAINS);
    let mut net = Net::new(&list, 1);
    net.keep_learned = false;
    net.run(Duration::from_millis(1500));
    let flush = Timing::default().flush;
    let bound = (flush + Duration::from_millis(20)) * HOPS as u32;
    let missing = Item::Verdict(Verdict {
        group: "replies/0".into(),
        epoch: 7,
        serves: false,
        code: 1,
        reason: "host-3 is missing".into(),
    });
    let version = Item::Config(ConfigAnnouncement {
        version: 18,
        checksum: "00".into(),
    });
    for (origin, item) in [("node-17", missing), ("node-200", version)] {
        net.publish(origin, item.clone());
        let took = net.run_until(Duration::from_secs(3), |net| net.all_hold(origin, &item));
        expect_that!(took, some(le(bound)));
    }
}
