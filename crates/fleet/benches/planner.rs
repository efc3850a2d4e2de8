//! Cost of one planning pass at the target fleet size.
//!
//! Run with `cargo bench -p eelgrassmill-fleet --bench planner`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use divan::Bencher;

use crate::support::World;

/// Hosts per fabric domain.
const DOMAIN_HOSTS: usize = 35;
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
