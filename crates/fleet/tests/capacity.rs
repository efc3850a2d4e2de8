//! Tests of capacity by demand.

mod support;

use std::time::Duration;

use eelgrassmill_fleet::{Engine, Millionths, ModelSpec, Service};
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
