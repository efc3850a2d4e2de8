//! Stopping a node on purpose.

mod util;

use std::time::{Duration, Instant};

use eelgrassmill_standin::engine_specs;
use util::{Cluster, text};

/// How long callers keep the addresses that they were told.
const KEEP: Duration = Duration::from_secs(1);
/// What the news of the leaving and the end of the node's threads may take beyond that.
const REST: Duration = Duration::from_millis(1_800);

/// An operator replaces a node on which nothing runs. Threads that wait for work
/// which never comes held the process for five seconds more, and a roll over all
/// entry hosts took minutes longer than it had to.
#[test]
fn a_node_with_nothing_running_stops_when_its_addresses_have_run_out() {
    let mut cluster = Cluster::with_settings(2, engine_specs(2, 4), |_, settings| {
        settings.timing.address_keep = KEEP;
    });
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let began = Instant::now();
    assert!(cluster.nodes.remove(0).stop());
    let took = began.elapsed();
    println!("stopped after {took:?}");
    assert!(took >= KEEP, "{took:?}");
    assert!(took < KEEP + REST, "{took:?}");
}
