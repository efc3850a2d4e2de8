//! Bad days, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassmill_base::NodeId;

use crate::spread::Fleet;
use crate::support::net::members;

const LIMIT: Duration = Duration::from_secs(120);

pub(crate) fn play() {
    println!("\nthe days, in virtual time");
    for (nodes, groups) in [(60, 18), (185, 55), (370, 110)] {
        all_start(nodes, groups);
        one_restarts(nodes, groups);
    }
    // Two sizes only: these play minutes.
    for (nodes, groups) in [(60, 18), (185, 55)] {
        domain_dark(nodes, groups);
        parted(nodes, groups);
    }
}

/// Whether every node holds the state of all that run.
fn complete(fleet: &Fleet) -> bool {
    let running = fleet.net.nodes.len();
    let all: BTreeSet<&NodeId> = fleet.net.nodes.keys().collect();
    fleet.net.nodes.values().all(|node| {
        let held = node.origins().filter(|(id, _, _)| all.contains(id));
        held.count() == running
    })
}

fn until_complete(fleet: &mut Fleet) -> Option<Duration> {
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
    let most = fleet.net.tally.values().map(|t| t.sent + t.received).max();
    println!(
        "{:4} nodes, {what}: {took:?}; {:.0} KB a node (most {:.0}), {:.0} B/s",
        fleet.list.len(),
        fleet.mean(|t| (t.sent + t.received) as f64) / 1024.0,
        most.unwrap_or(0) as f64 / 1024.0,
        fleet.mean(|t| (t.sent + t.received) as f64) / seconds,
    );
}

/// All nodes start at one moment, with the list of members.
fn all_start(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    let took = until_complete(&mut fleet);
    report("all start at once, until all know all", &fleet, took);
}

/// One node restarts with nothing but a seed.
fn one_restarts(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    fleet.forget_tallies();
    let member = fleet.list[1].clone();
    fleet.net.start(&member, 2, &[]);
    let seed = fleet.list[2].id.clone();
    fleet.net.greet(&member.id, &seed);
    let took = until_complete(&mut fleet);
    let tally = fleet.net.tally[&member.id];
    println!(
        "{nodes:4} nodes, one restarts knowing a seed: knows all after {took:?}; it moved {:.0} KB",
        (tally.sent + tally.received) as f64 / 1024.0
    );
}

/// A failure domain goes dark and comes back a minute later.
fn domain_dark(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    let dark: Vec<NodeId> = in_domain(nodes, &["domain-2"]);
    for node in &dark {
        fleet.net.stop(node);
    }
    fleet.forget_tallies();
    fleet.seconds(60);
    report(
        "a domain dark for a minute",
        &fleet,
        Some(Duration::from_secs(60)),
    );
    let list = fleet.list.clone();
    for member in list.iter().filter(|m| dark.contains(&m.id)) {
        fleet.net.start(member, 2, &list);
    }
    fleet.forget_tallies();
    let took = until_complete(&mut fleet);
    report("the dark domain returns, until all know all", &fleet, took);
}

/// A region is parted from the others for longer than nodes remember each other's state.
fn parted(nodes: usize, groups: usize) {
    let mut fleet = Fleet::new(nodes, groups, 6);
    fleet.seconds(10);
    let side = in_domain(nodes, &["domain-0", "domain-1"]);
    fleet.net.part(&side);
    fleet.seconds(60);
    fleet.forget_tallies();
    fleet.seconds(20);
    report(
        "regions parted, after a minute",
        &fleet,
        Some(Duration::from_secs(20)),
    );
    fleet.net.heal();
    fleet.forget_tallies();
    let took = until_complete(&mut fleet);
    report("the regions meet, until all know all", &fleet, took);
}

fn in_domain(nodes: usize, domains: &[&str]) -> Vec<NodeId> {
    members(nodes, 6)
        .into_iter()
        .filter(|m| domains.contains(&m.failure_domain.as_str()))
        .map(|m| m.id)
        .collect()
}
