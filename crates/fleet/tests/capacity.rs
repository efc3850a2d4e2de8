//! Tests of capacity by demand.

mod support;

use std::time::Duration;

use eelgrassmill_fleet::{
    CapacityStepKind, DemandSnapshot, Engine, Millionths, ModelDemand, ModelSpec, Service,
};
use googletest::prelude::*;

use crate::support::{World, speed};

const fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn model(name: &str, size: usize, load_s: u64, warm_ms: u64) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        size,
        share: Millionths::of(0.5),
        load_time: seconds(load_s),
        warm_load_time: Duration::from_millis(warm_ms),
        time_factor: Millionths::of(1.0),
    }
}

fn service(slots: usize, large: usize, small: usize) -> Service {
    Service {
        name: "writer".into(),
        max_connections: 100,
        cold: None,
        engine: Some(Engine {
            slots,
            models: vec![
                model("large", large, 16, 1600),
                model("small", small, 12, 1100),
            ],
            loads_per_ks: 14_000,
            max_concurrent_loads: 20,
            speed: speed(),
        }),
    }
}

/// Nine fabric domains of 18 hosts, replicas of 8 and 2.
fn layout_d() -> World {
    World::with_service(9, 18, 1, service(20, 8, 2), 3)
}

/// Six fabric domains of 27 hosts, replicas of 12 and 6.
fn layout_b() -> World {
    World::with_service(6, 27, 1, service(48, 12, 6), 3)
}

/// A world that has followed the demand since its first start, which takes 12 s.
fn started(mut world: World) -> World {
    world.follow_demand();
    world.cold = true;
    world.run(seconds(12));
    world.cold = false;
    world
}

/// Members of all large replicas, and how many of them hold the small model's weights.
fn large_members(world: &World) -> (usize, usize) {
    // A spare that is primed is the only member of its replica.
    let of_large = |h: &&support::FakeHost| {
        let part = h.part.as_ref();
        part.is_some_and(|p| p.model == "large" && p.members.len() > 1)
    };
    let members: Vec<_> = world.hosts.values().filter(of_large).collect();
    let both = |h: &&&support::FakeHost| h.staged.iter().any(|m| m == "small");
    (members.len(), members.iter().filter(both).count())
}

/// Guards against conversions that wait 12 s for weights after the start, when loads are fast.
#[gtest]
fn weights_are_staged_on_serving_hosts_before_the_first_request() {
    for world in [layout_d(), layout_b()] {
        let world = started(world);
        let (members, both) = large_members(&world);
        expect_that!(members, ge(48));
        expect_that!(both, eq(members));
        expect_that!(world.violations, is_empty());
    }
}

/// Guards against loads on serving hosts in deployments that do not follow the demand.
#[gtest]
fn no_weights_are_staged_on_serving_hosts_with_the_part_off() {
    let mut world = layout_d();
    world.cold = true;
    world.run(seconds(12));
    let (members, both) = large_members(&world);
    expect_that!(members, ge(48));
    expect_that!(both, eq(0));
}

/// Demand for this many slots of each model.
fn demand(large: f64, small: f64) -> Option<DemandSnapshot> {
    let mut demand = DemandSnapshot::default();
    for (model, wanted) in [("large", large), ("small", small)] {
        let of_model = ModelDemand {
            used: wanted,
            wanted,
            peak: wanted,
            rejected_per_second: 0.0,
            prompt_tokens_per_second: 0.0,
        };
        demand.insert("writer", model, of_model);
    }
    Some(demand)
}

/// Guards against spares that idle while requests of a model are rejected.
#[gtest]
fn spares_serve_a_short_model() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    let before = (world.replicas("large"), world.replicas("small"));
    let slots = |replicas: usize| 20.0 * replicas as f64;
    world.demand = demand(slots(before.0) * 0.5, slots(before.1));
    // 2 s of demand, 1 s of shortage, and the time to join and open.
    world.run(seconds(6));
    expect_that!(world.replicas("small"), gt(before.1));
    expect_that!(world.count_steps(CapacityStepKind::Spare), ge(1));
    expect_that!(world.violations, is_empty());
}

/// Guards against spares that stay with a short model while a replica of another is incomplete.
#[gtest]
fn a_lost_member_is_replaced_by_hosts_of_a_reclaimable_replica() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    let before = (world.replicas("large"), world.replicas("small"));
    world.demand = demand(160.0, 2000.0);
    // The spares load the large model's weights again while they serve.
    world.run(seconds(60));
    expect_that!(world.replicas("small"), gt(before.1));
    let fabric = (0..9).map(|n| format!("d{n}")).find(|fabric| {
        let steps = world.steps.iter().filter(|(_, s)| s.fabric == *fabric);
        let spare = steps.filter(|(_, s)| s.kind == CapacityStepKind::Spare);
        spare.count() > 0 && !world.members(fabric, "large").is_empty()
    });
    let fabric = fabric.expect("spares of some domain serve");
    let large = world.replicas("large");
    world.demand = demand(175.0, 500.0);
    let lost = world.members(&fabric, "large")[3].clone();
    world.kill(&lost);
    world.run(seconds(6));
    expect_that!(world.members(&fabric, "large").len(), eq(8));
    expect_that!(world.replicas("large"), ge(large));
    expect_that!(world.count_steps(CapacityStepKind::Reclaim), eq(1));
    expect_that!(world.violations, is_empty());
}

/// The fewest replicas of a model that serve while the world runs, seen every 0.5 s.
fn least_replicas(world: &mut World, model: &str, time: Duration) -> usize {
    let end = world.now + time;
    let mut least = usize::MAX;
    while world.now < end {
        world.run(Duration::from_millis(500));
        least = least.min(world.replicas(model));
    }
    least
}

/// Guards against a model that rejects requests while another's replicas are idle, and against
/// conversions that take the other model's reserve.
#[gtest]
fn idle_replicas_are_converted_to_a_short_model() {
    for (world, slots) in [(layout_d(), 20.0), (layout_b(), 48.0)] {
        let mut world = started(world);
        world.run(seconds(60));
        let before = (world.replicas("large"), world.replicas("small"));
        // More than the spares can serve.
        let small = before.1 as f64 * slots * 1.4;
        world.demand = demand(slots, small);
        let least = least_replicas(&mut world, "large", seconds(40));
        expect_that!(world.replicas("small"), gt(before.1));
        expect_that!(world.count_steps(CapacityStepKind::Convert), ge(1));
        expect_that!(least, ge(3));
        expect_that!(world.violations, is_empty());
    }
}

/// Guards against capacity that stays with a model once its demand is gone.
#[gtest]
fn capacity_returns_when_demand_shifts_back() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    world.demand = demand(20.0, 1000.0);
    world.run(seconds(40));
    expect_that!(world.count_steps(CapacityStepKind::Convert), ge(1));
    let shifted = world.replicas("large");
    world.demand = demand(180.0, 100.0);
    world.run(seconds(60));
    expect_that!(world.replicas("large"), gt(shifted));
    expect_that!(world.replicas("small"), ge(6));
    expect_that!(world.violations, is_empty());
}

/// Guards against conversions of loaded replicas by a burst that ends before they would serve.
#[gtest]
fn an_overload_of_one_second_converts_nothing() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    world.demand = demand(100.0, 400.0);
    world.run(seconds(5));
    world.demand = demand(100.0, 1500.0);
    world.run(seconds(1));
    world.demand = demand(100.0, 400.0);
    world.run(seconds(10));
    expect_that!(world.count_steps(CapacityStepKind::Convert), eq(0));
    expect_that!(world.violations, is_empty());
}

/// Guards against steps on old evidence when schedulers no longer report.
#[gtest]
fn reports_that_stop_begin_no_step() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    world.demand = demand(20.0, 1000.0);
    world.run(Duration::from_millis(1500));
    world.demand = None;
    world.run(seconds(20));
    expect_that!(world.steps, is_empty());
    expect_that!(world.planner().capacity_targets().count(), eq(0));
    expect_that!(world.violations, is_empty());
}

/// Guards against replicas that a new planner cannot complete or opens with members missing.
#[gtest]
fn a_new_planner_completes_a_conversion() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    let before = world.replicas("small");
    world.demand = demand(20.0, 1000.0);
    while world.count_steps(CapacityStepKind::Convert) == 0 {
        world.run(Duration::from_millis(20));
        assert_that!(world.now, lt(seconds(120)));
    }
    world.new_planner(None);
    world.run(seconds(12));
    expect_that!(world.replicas("small"), gt(before));
    expect_that!(world.violations, is_empty());
}

/// Guards against repairs that conversions hold up: two hosts are lost every 3 s, and two empty
/// ones added.
#[gtest]
fn losses_of_hosts_are_repaired_while_demand_shifts() {
    for (world, slots) in [(layout_d(), 20.0), (layout_b(), 48.0)] {
        let mut world = started(world);
        world.run(seconds(60));
        let small = world.replicas("small") as f64 * slots;
        for round in 0..10 {
            let wanted = if round < 5 { small } else { small * 0.5 };
            world.demand = demand(2.0 * slots, wanted);
            for _ in 0..2 {
                let host = world.pick(true);
                let fabric = world.host(&host).fabric.clone();
                world.kill(&host);
                world.add_host(&fabric);
            }
            world.run(seconds(3));
            expect_that!(world.replicas("large"), ge(2));
        }
        world.run(seconds(30));
        expect_that!(world.replicas("large"), ge(3));
        expect_that!(world.replicas("small") as f64 * slots, ge(small * 0.5));
        expect_that!(world.violations, is_empty());
    }
}

/// Guards against a model that is left without replicas when a fabric domain is unreachable.
#[gtest]
fn a_lost_domain_leaves_both_models_their_mean_demand() {
    let mut world = started(layout_d());
    world.run(seconds(60));
    world.demand = demand(60.0, 500.0);
    world.run(seconds(20));
    let of_domain = |h: &&support::FakeHost| h.fabric == "d4";
    let hosts = world.hosts.values().filter(of_domain);
    let hosts: Vec<_> = hosts.map(|h| h.id.clone()).collect();
    for host in &hosts {
        world.partition(host);
    }
    let least = least_replicas(&mut world, "large", seconds(8));
    expect_that!(least, ge(3));
    for host in &hosts {
        world.heal(host);
    }
    world.run(seconds(40));
    expect_that!(world.replicas("large"), ge(4));
    expect_that!(world.replicas("small"), ge(25));
    expect_that!(world.violations, is_empty());
}

/// The targets of the large and of the small model.
fn targets(world: &mut World, large: f64, small: f64) -> Vec<usize> {
    world.demand = demand(large, small);
    world.run(Duration::from_millis(2500));
    let targets = world.planner().capacity_targets();
    targets.map(|t| t.replicas).collect()
}

/// Guards against targets without a reserve for the loss of a failure domain, and against a model
/// that is left without one in favour of another that wants more than all hosts.
#[gtest]
fn targets_follow_from_demand_and_hosts() {
    let mut d = started(layout_d());
    // One replica serves the large model, and each of three failure domains has one. Of the small
    // model 20 replicas must be left when one failure domain is lost.
    expect_that!(targets(&mut d, 20.0, 400.0), container_eq([3, 30]));
    // 144 of 162 hosts are no spares; the rest is for the small model.
    expect_that!(targets(&mut d, 20.0, 2000.0), container_eq([3, 60]));
    let mut b = started(layout_b());
    expect_that!(targets(&mut b, 48.0, 480.0), container_eq([3, 15]));
}
