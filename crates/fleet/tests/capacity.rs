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
