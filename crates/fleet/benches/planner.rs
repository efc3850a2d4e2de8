//! Cost of one planning pass at the target fleet size.
//!
//! Run with `cargo bench -p eelgrassmill-fleet --bench planner`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use divan::Bencher;
use eelgrassmill_fleet::{DemandSnapshot, ModelDemand};

use crate::support::World;

/// Hosts per fabric domain.
const DOMAIN_HOSTS: usize = 35;
/// Hosts per fabric domain when capacity follows demand; 88 domains have 2,640 hosts.
const DEMAND_DOMAIN_HOSTS: usize = 30;
/// Time until all replicas serve and spares are ready.
const START_TIME: Duration = Duration::from_secs(60);

fn main() {
    divan::main();
}

fn started(domains: usize) -> World {
    let mut world = World::new(domains, DOMAIN_HOSTS, 1);
    world.run(START_TIME);
    world
}

/// A planning pass without changes, by number of fabric domains.
#[divan::bench(args = [3, 25], sample_count = 20, sample_size = 1)]
fn steady(bencher: Bencher, domains: usize) {
    let mut world = started(domains);
    bencher.bench_local(|| world.step_planner());
}

/// A planning pass after a tenth of the hosts was lost and came back empty.
#[divan::bench(args = [3, 25], sample_count = 20, sample_size = 1)]
fn after_losses(bencher: Bencher, domains: usize) {
    let mut world = started(domains);
    for _ in 0..domains * DOMAIN_HOSTS / 10 {
        let host = world.pick(true);
        world.kill(&host);
        world.restart(&host);
    }
    world.run(Duration::from_secs(1));
    bencher.bench_local(|| world.step_planner());
}

/// A planning pass of 2,640 hosts whose capacity follows a demand that shifts: the large model is
/// idle and the small one wants more than it has, so that spares and conversions are considered.
#[divan::bench(args = [88], sample_count = 20, sample_size = 1)]
fn following_demand(bencher: Bencher, domains: usize) {
    let mut world = World::new(domains, DEMAND_DOMAIN_HOSTS, 1);
    world.follow_demand();
    world.run(START_TIME);
    let mut demand = DemandSnapshot::default();
    for (model, wanted) in [("large", 1_000.0), ("small", 20_000.0)] {
        let of_model = ModelDemand {
            used: wanted,
            wanted,
            peak: wanted,
            rejected_per_second: 0.0,
            prompt_tokens_per_second: 0.0,
        };
        demand.insert("writer", model, of_model);
    }
    world.demand = Some(demand);
    world.run(Duration::from_secs(5));
    bencher.bench_local(|| world.step_planner());
}

/// The same hosts without the part.
#[divan::bench(args = [88], sample_count = 20, sample_size = 1)]
fn not_following_demand(bencher: Bencher, domains: usize) {
    let mut world = World::new(domains, DEMAND_DOMAIN_HOSTS, 1);
    world.run(START_TIME);
    bencher.bench_local(|| world.step_planner());
}
