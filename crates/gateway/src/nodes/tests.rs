use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::ranked_for_role;
use googletest::prelude::*;

use crate::nodes::{NodeInfo, NodeTable};

fn nodes(now: Instant) -> NodeTable {
    let mut nodes = NodeTable::default();
    for (id, processor) in [("large-1", 500), ("large-2", 500), ("small-1", 120)] {
        let info = NodeInfo {
            address: "127.0.0.1:1".into(),
            failure_domain: "east".into(),
            processor,
            leaving: false,
        };
        nodes.on_status(&id.into(), info, now);
    }
    nodes
}

fn first(nodes: &NodeTable, now: Instant) -> Option<NodeId> {
    let ranked = ranked_for_role("role", None, nodes.alive(now));
    ranked.first().map(|id| NodeId::clone(id))
}

/// Guards against a role that stays at a node which has become slow.
#[gtest]
fn a_role_moves_away_from_an_overloaded_node_and_back() {
    let now = Instant::now();
    let mut nodes = nodes(now);
    let usual = first(&nodes, now).expect("the role is assigned");
    nodes.set_overloaded(&usual, true);
    let other = first(&nodes, now).expect("the role is assigned");
    expect_that!(other, all![not(eq(&usual)), not(eq("small-1"))]);
    nodes.set_overloaded(&usual, false);
    expect_that!(first(&nodes, now), some(eq(&usual)));
}

/// Guards against larger shares of the retry budget for each node while others are not heard.
#[gtest]
fn the_retry_budget_is_divided_among_all_nodes_heard_recently() {
    let now = Instant::now();
    let mut nodes = nodes(now);
    let later = now + Duration::from_secs(3);
    expect_that!(nodes.alive(later).count(), eq(0));
    expect_that!(nodes.retry_budget_shares(later), eq(4));
    nodes.remove("small-1");
    expect_that!(nodes.retry_budget_shares(later), eq(4));
    let long_after = now + Duration::from_secs(30);
    expect_that!(nodes.retry_budget_shares(long_after), eq(3));
}
