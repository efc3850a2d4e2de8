//! Tests of the selection of nodes for shared roles.

use eelgrassmill_base::{FailureDomain, NodeId};
use eelgrassmill_fleet::{RoleCandidate, ranked_for_role, strongest};
use googletest::prelude::*;
use smol_str::format_smolstr;

struct Node {
    id: NodeId,
    failure_domain: FailureDomain,
    processor: u32,
}

impl Node {
    fn candidate(&self) -> RoleCandidate<'_> {
        RoleCandidate {
            id: &self.id,
            failure_domain: &self.failure_domain,
            processor: self.processor,
        }
    }
}

/// Five failure domains with three large and `small` small nodes each.
fn fleet(small: usize) -> Vec<Node> {
    let node = |domain: usize, n: usize| Node {
        id: format_smolstr!("n{domain}-{n}"),
        failure_domain: format_smolstr!("z{domain}"),
        processor: if n < 3 { 500 } else { 120 },
    };
    let domains = 0..5;
    domains
        .flat_map(|d| (0..3 + small).map(move |n| node(d, n)))
        .collect()
}

fn first<'n>(key: &str, near: Option<&str>, nodes: &[&'n Node]) -> Option<&'n Node> {
    let near = near.map(FailureDomain::from);
    let candidates = nodes.iter().map(|n| n.candidate());
    let ranked = ranked_for_role(key, near.as_ref(), candidates);
    let id = ranked.first().copied()?;
    nodes.iter().copied().find(|n| n.id == *id)
}

/// Guards against a small node delaying all others under the load of a shared role.
#[gtest]
fn roles_go_to_nodes_with_the_most_processor() {
    let all = fleet(36);
    let nodes: Vec<&Node> = all.iter().collect();
    for role in 0..50 {
        let domain = format!("z{}", role % 5);
        let holder = first(&format!("role-{role}"), Some(&domain), &nodes);
        let holder = holder.expect("some node takes it");
        expect_that!(holder.processor, eq(500));
        expect_that!(holder.failure_domain.as_str(), eq(domain.as_str()));
    }
}

/// Guards against a role without a holder when every large node of its failure domain is lost.
#[gtest]
fn a_role_leaves_its_domain_before_it_goes_to_a_small_node() {
    let all = fleet(36);
    let is_left = |n: &&Node| n.failure_domain != "z0" || n.processor < 500;
    let left: Vec<&Node> = all.iter().filter(is_left).collect();
    let holder = first("role", Some("z0"), &left).expect("some node takes it");
    expect_that!(holder.processor, eq(500));
    let small: Vec<&Node> = all.iter().filter(|n| n.processor < 500).collect();
    let holder = first("role", Some("z0"), &small).expect("some node takes it");
    expect_that!(holder.failure_domain.as_str(), eq("z0"));
}

#[gtest]
fn the_loss_of_a_node_moves_only_its_own_roles() {
    let all = fleet(10);
    let nodes: Vec<&Node> = all.iter().collect();
    let lost = first("role-0", None, &nodes).expect("some node takes it");
    let left: Vec<&Node> = nodes.iter().copied().filter(|n| n.id != lost.id).collect();
    for role in 0..50 {
        let key = format!("role-{role}");
        let before = first(&key, None, &nodes).expect("some node takes it");
        let after = first(&key, None, &left).expect("some node takes it");
        expect_that!(before.id == after.id, eq(before.id != lost.id));
    }
}

/// Guards against excluding nodes that don't report their processor capacity when none does.
#[gtest]
fn nodes_of_unknown_processor_take_roles_among_themselves() {
    let mut all = fleet(2);
    for node in &mut all {
        node.processor = 0;
    }
    let count = strongest(all.iter().map(Node::candidate)).len();
    expect_that!(count, eq(all.len()));
}
