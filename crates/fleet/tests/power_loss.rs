//! Loads of weights after hosts came back without any.

mod support;

use std::time::Duration;

use eelgrassmill_base::HostId;
use googletest::prelude::*;

use crate::support::{World, service};

const LOADS_AT_ONCE: usize = 8;
/// Load and join of the slower model.
const LOAD: Duration = Duration::from_millis(16_000 + 1_600);
/// Time for orders, entries and the opening, beside loads and joins.
const CONTROL: Duration = Duration::from_millis(1200);

fn settled(domains: usize, each: usize) -> World {
    let mut world = World::new(domains, each, 1);
    world.shares_weight_store = true;
    world.run(Duration::from_secs(200));
    assert_that!(world.violations, is_empty());
    world
}

/// Runs until `count` replicas serve; returns how long that took.
fn until_serving(world: &mut World, count: usize, most: Duration) -> Option<Duration> {
    let began = world.now;
    while world.now < began + most {
        if world.serving() >= count {
            return Some(world.now - began);
        }
        world.run(Duration::from_millis(20));
    }
    None
}

/// Guards against a first replica that waits for the loads of all other hosts, and for loads that a
/// former planner can't have begun.
#[gtest]
fn a_replica_serves_after_one_load_time_though_all_hosts_lost_their_weights() {
    for (domains, each) in [(1, 11), (2, 11), (6, 11), (3, 37)] {
        let mut world = settled(domains, each);
        world.lose_power();
        let took = until_serving(&mut world, 1, 4 * LOAD);
        expect_that!(
            took,
            some(le(LOAD + CONTROL)),
            "{domains} domains of {each}"
        );
        expect_that!(world.most_loads, le(LOADS_AT_ONCE));
        expect_that!(world.violations, is_empty());
    }
}

/// Guards against loads that are all begun at once, or one after the other.
#[gtest]
fn all_first_replicas_serve_after_as_many_rounds_of_loads_as_they_need() {
    for (domains, each) in [(1, 11), (2, 11), (6, 11)] {
        let mut world = settled(domains, each);
        world.lose_power();
        let loads = domains * (6 + 3);
        let rounds = loads.div_ceil(LOADS_AT_ONCE) as u32;
        let took = until_serving(&mut world, 2 * domains, 2 * rounds * LOAD);
        expect_that!(
            took,
            some(le(rounds * (LOAD + CONTROL))),
            "{domains} domains"
        );
        expect_that!(world.violations, is_empty());
    }
}

/// Guards against a model that nobody serves while another one gets its second replica.
#[gtest]
fn each_model_gets_a_replica_before_any_gets_a_second_one() {
    let mut world = settled(6, 11);
    world.lose_power();
    let took = until_serving(&mut world, 2, 4 * LOAD);
    expect_that!(took, some(anything()));
    let models = [world.replicas("large"), world.replicas("small")];
    expect_that!(models, each(ge(1)));
}

/// Guards against a replica larger than the weight store's limit whose loads run one after the other.
#[gtest]
fn a_replica_larger_than_the_limit_loads_at_once() {
    let mut service = service();
    let engine = service.engine.as_mut().expect("it has an engine");
    engine.max_concurrent_loads = 4;
    engine.models.truncate(1);
    let mut world = World::with_service(1, 7, 1, service, 1);
    world.shares_weight_store = true;
    world.run(Duration::from_secs(200));
    world.lose_power();
    let took = until_serving(&mut world, 1, 4 * LOAD);
    expect_that!(took, some(le(LOAD.mul_f64(1.5) + CONTROL)));
}

/// Guards against hosts that restart while they load and are taken for loading.
#[gtest]
fn hosts_that_restart_while_they_load_are_told_again() {
    let mut world = settled(1, 11);
    world.lose_power();
    world.run(Duration::from_secs(8));
    let ids: Vec<HostId> = world.hosts.keys().cloned().collect();
    for id in ids {
        world.restart(&id);
    }
    let took = until_serving(&mut world, 1, 4 * LOAD);
    expect_that!(took, some(le(LOAD + CONTROL)));
}

/// Guards against replaced domains whose hosts all load at once.
#[gtest]
fn a_domain_that_is_replaced_serves_after_its_first_loads() {
    let mut world = settled(4, 11);
    let lost: Vec<HostId> = world.hosts.keys().cloned().collect();
    for id in lost {
        let host = world.host(&id);
        if host.fabric == "d0" || host.fabric == "d1" {
            world.restart(&id);
            world.host(&id).staged.clear();
        }
    }
    world.most_loads = 0;
    let serving = world.serving();
    let took = until_serving(&mut world, serving + 1, 4 * LOAD);
    // Replicas that have lost a member are dissolved first.
    expect_that!(took, some(le(LOAD + CONTROL + Duration::from_secs(2))));
    expect_that!(world.most_loads, le(LOADS_AT_ONCE));
    expect_that!(world.violations, is_empty());
}

/// Guards against more loads than the weight store permits, where a former planner began some.
#[gtest]
fn loads_of_a_former_planner_count_against_the_rate() {
    let mut world = World::new(6, 11, 1);
    world.run(Duration::from_secs(3));
    let before = world.loads.len();
    expect_that!(before, gt(0));
    let ids: Vec<HostId> = world.hosts.keys().cloned().collect();
    for id in ids {
        world.host(&id).begun += 1;
    }
    world.new_planner(None);
    world.run(Duration::from_secs(4));
    expect_that!(world.loads.len(), eq(before));
    world.run(Duration::from_secs(10));
    expect_that!(world.loads.len(), gt(before));
}
