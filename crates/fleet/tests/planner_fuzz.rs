//! Runs the planner under random faults and checks two safety rules: no replica opens without all
//! its members, and no host is reassigned from a replica that may serve.
//!
//! `FLEET_FUZZ_SEEDS=2000 cargo test -p eelgrassmill-fleet --test planner_fuzz` runs longer.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassmill_fleet::{DemandSnapshot, LEASE_TERM, ModelDemand};
use googletest::prelude::*;

use crate::support::World;

/// Number of seeds in CI; each takes about 400 ms.
const SEEDS: u64 = 40;
/// Number of seeds in CI while capacity follows demand; each takes some 4 s.
const DEMAND_SEEDS: u64 = 10;
/// Faults per seed.
const FAULTS: usize = 25;

/// Number of fault kinds in [`fault`].
const KINDS: u64 = 14;
/// Number of fault kinds when the regression seed 47 was found.
const FIRST_KINDS: u64 = 9;

fn fault(world: &mut World, kinds: u64) {
    let host = world.pick(true);
    match world.roll(kinds) {
        0 | 1 => world.kill(&host),
        2 => world.partition(&host),
        3 => world.heal(&host),
        4 => world.remove_entry(&host),
        5 => world.drain(&host),
        6 => {
            // An old planner runs no longer than its lease; see tests/lease.rs. Seed 47 dates from
            // before the lease existed.
            let most = if kinds > FIRST_KINDS {
                LEASE_TERM
            } else {
                Duration::from_secs(6)
            };
            let overlap = Duration::from_millis(world.roll(most.as_millis() as u64));
            world.new_planner(Some(overlap));
        }
        7 => {
            let fabric = format!("d{}", world.roll(2));
            world.add_host(&fabric);
        }
        8 => world.delayed_ratio = if world.delayed_ratio > 0.0 { 0.0 } else { 0.3 },
        9 | 10 => world.partition_from_list(&host),
        11 => world.partition_from_planners(&host),
        13 => world.restart(&host),
        _ => world.reload_list(),
    }
    let pause = Duration::from_millis(world.roll(4000));
    world.run(pause);
}

fn play(seed: u64, kinds: u64) -> Vec<String> {
    play_in(&mut World::new(2, 11, seed), kinds)
}

fn play_in(world: &mut World, kinds: u64) -> Vec<String> {
    world.run(Duration::from_secs(40));
    for _ in 0..FAULTS {
        // Conversions need a shortfall of 2 s, so that not every fault changes the demand.
        if world.follows_demand && world.roll(3) == 0 {
            change_demand(world);
        }
        fault(world, kinds);
    }
    world.delayed_ratio = 0.0;
    let ids: Vec<_> = world.hosts.keys().cloned().collect();
    for id in ids {
        world.heal(&id);
    }
    world.run(Duration::from_secs(60));
    let mut found = world.violations.clone();
    if world.serving() == 0 && has_enough_hosts(world) {
        found.push("nothing serves long after all faults are over".to_owned());
    }
    found
}

/// Sets a demand that one model cannot serve while the other is idle; one time in five none is
/// known.
fn change_demand(world: &mut World) {
    let mut demand = DemandSnapshot::default();
    let busy = world.roll(2);
    for (n, model) in ["large", "small"].into_iter().enumerate() {
        let most = if n as u64 == busy { 600 } else { 30 };
        let wanted = world.roll(most) as f64;
        let of_model = ModelDemand {
            used: wanted / 2.0,
            wanted,
            peak: wanted * 1.2,
            rejected_per_second: 0.0,
            prompt_tokens_per_second: 0.0,
        };
        demand.insert("writer", model, of_model);
    }
    world.demand = (world.roll(5) > 0).then_some(demand);
}

/// Whether some domain still has enough hosts for the small model.
fn has_enough_hosts(world: &World) -> bool {
    ["d0", "d1"].iter().any(|fabric| {
        let usable = world.hosts.values().filter(|h| {
            h.alive && h.fabric == *fabric && h.state == eelgrassmill_fleet::HostState::Ready
        });
        usable.count() >= 8
    })
}

/// A replaced planner runs on briefly and forms a replica. Its successor sees some of the members
/// and makes them leave. It must not treat members that are listed later as free, since their head
/// may still get the order to open.
#[gtest]
fn members_listed_late_leave_before_they_join_elsewhere() {
    let found = play(47, FIRST_KINDS);
    expect_that!(found, is_empty());
}

/// A member leaves and then executes an earlier, unanswered order to join, while the unreachable
/// head keeps serving. Treated as free, the host would be reassigned from a serving replica.
#[gtest]
fn a_member_that_rejoins_after_leaving_is_not_treated_as_free() {
    let found = play(1054, 13);
    expect_that!(found, is_empty());
}

#[gtest]
fn no_rule_is_broken_under_random_faults() {
    let seeds = std::env::var("FLEET_FUZZ_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let found = play(seed, KINDS);
        expect_that!(found, is_empty(), "seed {seed}");
    }
}

/// Guards against steps for capacity by demand that take a host from a replica that serves.
#[gtest]
fn no_rule_is_broken_while_capacity_follows_demand() {
    let seeds = std::env::var("FLEET_FUZZ_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let mut steps = BTreeSet::new();
    for seed in 0..seeds.unwrap_or(DEMAND_SEEDS) {
        // A conversion takes at most a ninth of the hosts, and a large replica has six. Weights
        // are staged ahead in the first 12 s.
        let mut world = World::new(4, 14, seed);
        world.follow_demand();
        world.cold = true;
        world.run(Duration::from_secs(12));
        world.cold = false;
        let found = play_in(&mut world, KINDS);
        expect_that!(found, is_empty(), "seed {seed}");
        steps.extend(world.steps.iter().map(|(_, step)| step.kind.name()));
    }
    let kinds = ["convert", "reclaim", "spare", "survivors"];
    expect_that!(steps, eq(&BTreeSet::from(kinds)));
}
