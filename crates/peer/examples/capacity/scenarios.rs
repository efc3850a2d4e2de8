//! Failure scenarios in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassmill_base::NodeId;

use crate::spread::Fleet;
use crate::support::net::members;

const LIMIT: Duration = Duration::from_secs(120);

pub(crate) fn run() {
    println!("\nfailure scenarios, virtual time");
    for (nodes, groups) in [(60, 18), (185, 55), (370, 110)] {
        all_nodes_start(nodes, groups);
        one_node_restarts(nodes, groups);
    }
    // Two sizes only, since these simulate minutes.
    for (nodes, groups) in [(60, 18), (185, 55)] {
        domain_down(nodes, groups);
        regions_partitioned(nodes, groups);
    }
}

/// Whether every node holds the state of all running nodes.
fn complete(fleet: &Fleet) -> bool {
    let running = fleet.net.nodes.len();
    let all: BTreeSet<&NodeId> = fleet.net.nodes.keys().collect();
    fleet.net.nodes.values().all(|node| {
        let held = node.origins().filter(|(id, _, _)| all.contains(id));
        held.count() == running
    })
}

fn run_until_complete(fleet: &mut Fleet) -> Option<Duration> {
    let began = fleet.net.now;
    while !complete(fleet) {
        if fleet.net.now - began > LIMIT {
            return None;
        }
        fleet.step();
    }
    Some(fleet.net.now - began)
}

fn report(what: &str, fleet: &Fleet, took: Option<Duration>) {
    let seconds = took.unwrap_or(LIMIT).as_secs_f64().max(1.0);
    let most = fleet.net.stats.values().map(|t| t.sent + t.received).max();
    println!(
        "{:4} nodes, {what}: {took:?}; {:.0} KB per node (max {:.0}), {:.0} B/s",
        fleet.list.len(),
        fleet.mean(|t| (t.sent + t.received) as f64) / 1024.0,
        most.unwrap_or(0) as f64 / 1024.0,
        fleet.mean(|t| (t.sent + t.received) as f64) / seconds,
    );
}

/// All nodes start at once, with the list of members.
fn all_nodes_start(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    let took = run_until_complete(&mut fleet);
    report("all start at once, until complete", &fleet, took);
}

/// One node restarts and knows only a seed.
fn one_node_restarts(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    fleet.reset_stats();
    let member = fleet.list[1].clone();
    fleet.net.start(&member, 2, &[]);
    let seed = fleet.list[2].id.clone();
    fleet.net.send_hello(&member.id, &seed);
    let took = run_until_complete(&mut fleet);
    let stats = fleet.net.stats[&member.id];
    println!(
        "{nodes:4} nodes, one restarts with one seed: complete after {took:?}, {:.0} KB transferred",
        (stats.sent + stats.received) as f64 / 1024.0
    );
}

/// A failure domain goes down and returns a minute later.
fn domain_down(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    let down: Vec<NodeId> = in_domain(nodes, &["domain-2"]);
    for node in &down {
        fleet.net.stop(node);
    }
    fleet.reset_stats();
    fleet.seconds(60);
    report(
        "one domain down for a minute",
        &fleet,
        Some(Duration::from_secs(60)),
    );
    let list = fleet.list.clone();
    for member in list.iter().filter(|m| down.contains(&m.id)) {
        fleet.net.start(member, 2, &list);
    }
    fleet.reset_stats();
    let took = run_until_complete(&mut fleet);
    report("the domain returns, until complete", &fleet, took);
}

/// Two failure domains are partitioned from the others for longer than state takes to expire.
fn regions_partitioned(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    let side = in_domain(nodes, &["domain-0", "domain-1"]);
    fleet.net.partition(&side);
    fleet.seconds(60);
    fleet.reset_stats();
    fleet.seconds(20);
    report(
        "regions partitioned, after a minute",
        &fleet,
        Some(Duration::from_secs(20)),
    );
    fleet.net.heal();
    fleet.reset_stats();
    let took = run_until_complete(&mut fleet);
    report("partition ends, until complete", &fleet, took);
}

fn in_domain(nodes: usize, domains: &[&str]) -> Vec<NodeId> {
    members(nodes, 6)
        .into_iter()
        .filter(|m| domains.contains(&m.failure_domain.as_str()))
        .map(|m| m.id)
        .collect()
}
