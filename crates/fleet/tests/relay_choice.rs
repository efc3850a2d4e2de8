//! Tests of the choice of a node that relays connections to hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId};
use eelgrassmill_fleet::{RelayChoice, RoleCandidate};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

struct Nodes {
    ids: Vec<NodeId>,
    domain: FailureDomain,
}

impl Nodes {
    fn new(count: usize) -> Nodes {
        Nodes {
            ids: (0..count).map(|n| format!("n{n}").into()).collect(),
            domain: "a".into(),
        }
    }

    fn candidates(&self) -> impl Iterator<Item = RoleCandidate<'_>> {
        self.ids.iter().map(|id| RoleCandidate {
            id,
            failure_domain: &self.domain,
            processor: 250,
        })
    }
}

/// Guards against one node carrying the connections of all that are cut off.
#[gtest]
fn all_nodes_share_the_connections() {
    let (nodes, choice, now) = (Nodes::new(8), RelayChoice::default(), Instant::now());
    let mut chosen: BTreeMap<NodeId, usize> = BTreeMap::new();
    for draw in 0..8000 {
        let first = &choice.candidates(nodes.candidates(), draw, now)[0];
        *chosen.entry(first.clone()).or_default() += 1;
    }
    expect_that!(chosen.len(), eq(8));
    let counts: Vec<usize> = chosen.into_values().collect();
    expect_that!(counts, each(all![ge(&800), le(&1200)]));
}

/// Guards against asking nodes again and again that are cut off themselves, and against asking
/// nobody where all could not relay once.
#[gtest]
fn nodes_that_could_not_relay_are_asked_last() {
    let (nodes, mut choice, now) = (Nodes::new(6), RelayChoice::default(), Instant::now());
    for id in &nodes.ids[1..] {
        choice.mark_unavailable(id, now);
    }
    for draw in 0..100 {
        let chosen = choice.candidates(nodes.candidates(), draw, now + SECOND);
        expect_that!(chosen[0], eq(&nodes.ids[0]));
        expect_that!(chosen.len(), eq(4));
    }
    let later = now + 3 * SECOND;
    let draws = 0..100;
    let mut firsts = draws.map(|d| choice.candidates(nodes.candidates(), d, later)[0].clone());
    expect_that!(firsts.any(|first| first != nodes.ids[0]), eq(true));
}
