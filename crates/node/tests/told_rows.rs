//! Rows that the planner tells of.

mod util;

use std::net::SocketAddr;

use eelgrassmill_node::Node;
use util::{Cluster, eventually, settings, text};

/// The platform's table is down for long, and just then an entry host is
/// replaced. The new node can read neither groups nor hosts. If it knew only
/// the table, callers that are sent to it would be refused until the table is
/// back, though every group serves.
#[test]
fn a_node_that_starts_without_the_platform_serves() {
    let mut cluster = Cluster::start(3, 4);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let mut late = settings(3, &cluster.standins);
    late.seeds = vec![cluster.nodes[0].peer_address()];
    // Nobody listens there: as down as a platform can be.
    let nowhere: SocketAddr = "127.0.0.1:1".parse().unwrap();
    late.platform.table = nowhere;
    late.platform.hosts = nowhere;
    late.platform.objects = nowhere;
    late.platform.weights = nowhere;
    cluster.nodes.push(Node::start(late).unwrap());
    eventually("the late node has the configuration and a group", || {
        cluster.serving(3).len() == 1
    });
    let answer = cluster.complete(3, "from the late node", 8);
    assert_eq!(answer.status, 200, "{}", answer.text);
}
