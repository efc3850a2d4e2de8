//! Tests with real nodes over loopback.

mod support;

use std::time::Duration;

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    Change, ConfigAnnouncement, HealthReport, Item, PeerError, QuotaRequest, ScheduleRequest,
    SlotDemand, SlotRequest,
};
use googletest::prelude::*;

use crate::support::cluster::{Cluster, wait_until};
use crate::support::net::status;

const LIMIT: Duration = Duration::from_secs(10);

fn missing(group: &str) -> Item {
    Item::Health(HealthReport {
        group: group.into(),
        epoch: 7,
        serving: false,
        code: 1,
        reason: "host-3 is missing".into(),
    })
}

#[gtest]
fn update_reaches_eight_nodes() {
    let cluster = Cluster::start(8);
    let item = missing("replies/0");
    cluster.node("node-3").publish(item.clone());
    expect_that!(
        wait_until(LIMIT, || cluster.all_hold("node-3", &item)),
        some(anything())
    );
    let is_handled = || {
        let updates = cluster.nodes["node-0"].handler.updates.lock();
        let updates = updates.expect("the lock isn't poisoned");
        updates
            .iter()
            .any(|(_, u)| matches!(&u.change, Change::Put { item: put, .. } if *put == item))
    };
    expect_that!(wait_until(LIMIT, is_handled), some(anything()));
}

#[gtest]
fn partitioned_nodes_catch_up() {
    // With a broken link between two nodes, state still reaches the other via a third node.
    // A node that was cut off from all then receives what it missed once it is back.
    let cluster = Cluster::start(3);
    expect_that!(
        wait_until(LIMIT, || cluster
            .all_hold("node-0", &status(&cluster.nodes["node-0"].member))),
        some(anything())
    );
    cluster.block("node-0", "node-1");
    let first = missing("replies/0");
    cluster.node("node-0").publish(first.clone());
    let took = wait_until(LIMIT, || cluster.holds("node-1", "node-0", &first));
    expect_that!(took, some(anything()));

    let others: Vec<NodeId> = vec!["node-0".into(), "node-1".into()];
    cluster.nodes["node-2"].blocked_peers.set(others);
    let second = missing("replies/1");
    cluster.node("node-1").publish(second.clone());
    let reached = wait_until(Duration::from_millis(1500), || {
        cluster.holds("node-2", "node-1", &second)
    });
    expect_that!(reached, none());
    for running in cluster.nodes.values() {
        running.blocked_peers.set([]);
    }
    let took = wait_until(LIMIT, || cluster.all_hold("node-1", &second));
    expect_that!(took, some(anything()));
}

#[gtest]
fn restarted_node_with_a_new_address_replaces_its_former_incarnation() {
    // A replaced node has the same name, another port and a higher incarnation. The others
    // must drop the former items and use the address in the new status.
    let mut cluster = Cluster::start(4);
    let item = missing("replies/0");
    cluster.node("node-2").publish(item.clone());
    expect_that!(
        wait_until(LIMIT, || cluster.all_hold("node-2", &item)),
        some(anything())
    );
    cluster.node("node-2").stop();
    cluster.nodes.remove("node-2");
    cluster.add("node-2", 2, &["node-0"]);
    let now = status(&cluster.nodes["node-2"].member);
    let took = wait_until(LIMIT, || {
        cluster.all_hold("node-2", &now)
            && cluster
                .nodes
                .keys()
                .all(|node| !cluster.holds(node, "node-2", &item))
    });
    expect_that!(took, some(anything()));
    let back = missing("replies/1");
    cluster.node("node-3").publish(back.clone());
    expect_that!(
        wait_until(LIMIT, || cluster.all_hold("node-3", &back)),
        some(anything())
    );
}

#[gtest]
fn node_with_one_seed_joins() {
    // A node that starts while the table service is down has no list of members.
    let mut cluster = Cluster::start(3);
    cluster.add("late", 1, &["node-1"]);
    let late = status(&cluster.nodes["late"].member);
    expect_that!(
        wait_until(LIMIT, || cluster.all_hold("late", &late)),
        some(anything())
    );
    let item = missing("replies/0");
    cluster.node("node-2").publish(item.clone());
    expect_that!(
        wait_until(LIMIT, || cluster.holds("late", "node-2", &item)),
        some(anything())
    );
}

#[gtest]
fn calls_return_replies_and_errors() {
    let cluster = Cluster::start(2);
    let here = cluster.node("node-0");
    let other = NodeId::from("node-1");
    let events = here.fetch_timeline(&other, b"since=3".to_vec(), LIMIT);
    let events = cluster.runtime.block_on(events).expect("it answers");
    expect_that!(events, eq(b"events for since=3"));

    let req = QuotaRequest {
        from: "node-0".into(),
        incarnation: 1,
        demands: vec![SlotDemand {
            group: "replies/0".into(),
            running: 1,
            waiting: 5,
            urgent_waiting: 2,
            ..SlotDemand::default()
        }],
    };
    let quota = cluster
        .runtime
        .block_on(here.request_quota(&other, req, LIMIT));
    let grants = quota.expect("it answers").grants;
    expect_that!(grants.len(), eq(1));
    expect_that!(grants[0].slots, eq(5));

    let unknown_id = NodeId::from("nobody");
    let unknown = here.fetch_timeline(&unknown_id, Vec::new(), LIMIT);
    let unknown = cluster.runtime.block_on(unknown);
    expect_that!(unknown, err(pat!(PeerError::NoAddress(_))));

    let huge = here.fetch_timeline(&other, vec![0; 1024 * 1024], LIMIT);
    let huge = cluster.runtime.block_on(huge);
    expect_that!(huge, err(pat!(PeerError::Rejected(_))));

    cluster.nodes["node-1"].blocked_peers.set(["node-0".into()]);
    let refused = here.fetch_timeline(&other, Vec::new(), LIMIT);
    let refused = cluster.runtime.block_on(refused);
    expect_that!(refused, err(pat!(PeerError::Unreachable(_))));
}

#[gtest]
fn config_text_is_sent_as_a_difference_and_verified() {
    let cluster = Cluster::start(2);
    let here = cluster.node("node-0");
    let other = NodeId::from("node-1");
    let none = cluster
        .runtime
        .block_on(here.fetch_config(&other, None, LIMIT));
    expect_that!(none, err(pat!(PeerError::NoConfig)));

    let long: String = (0..2000).map(|i| format!("key-{i} = väl\n")).collect();
    let serving = &cluster.nodes["node-1"].handler;
    serving.set_text(1, &long);
    let full = cluster
        .runtime
        .block_on(here.fetch_config(&other, None, LIMIT))
        .expect("it answers");
    expect_that!(full.text, eq(&long));
    expect_that!(full.author, eq("ada"));

    let next = long.replace("key-1000 = väl", "key-1000 = vål");
    serving.set_text(2, &next);
    let before = cluster.node("node-1").traffic().sent_bytes;
    let changed = cluster
        .runtime
        .block_on(here.fetch_config(&other, Some(&full), LIMIT))
        .expect("it answers");
    let after = cluster.node("node-1").traffic().sent_bytes;
    expect_that!(changed.text, eq(&next));
    expect_that!(after - before, le(long.len() as u64 / 4));

    // The difference must not be applied to a base with another text of that version.
    let mut wrong_base = changed.clone();
    wrong_base.text.push('x');
    serving.set_text(3, &long);
    let fetched = cluster
        .runtime
        .block_on(here.fetch_config(&other, Some(&wrong_base), LIMIT))
        .expect("it answers");
    expect_that!(fetched.text, eq(&long));
}

#[gtest]
fn config_version_reaches_eight_nodes_within_three_seconds() {
    let cluster = Cluster::start(8);
    let all_discovered = || {
        cluster
            .nodes
            .values()
            .all(|n| cluster.all_hold(&n.member.id, &status(&n.member)))
    };
    expect_that!(wait_until(LIMIT, all_discovered), some(anything()));
    cluster.nodes["node-0"].handler.set_text(1, "a = 1\n");
    let item = Item::Config(ConfigAnnouncement {
        version: 1,
        checksum: eelgrassmill_peer::checksum("a = 1\n"),
    });
    cluster.node("node-0").publish(item.clone());
    let took = wait_until(LIMIT, || cluster.all_hold("node-0", &item));
    println!("known at 8 nodes after {took:?}");
    expect_that!(took, some(le(Duration::from_secs(3))));
    let text = cluster
        .runtime
        .block_on(
            cluster
                .node("node-7")
                .fetch_config(&"node-0".into(), None, LIMIT),
        );
    expect_that!(text.map(|t| t.version).ok(), some(eq(1)));
}

/// Guards against opening a new connection to a slow node for each late call, which would slow
/// it down further.
#[gtest]
fn calls_that_time_out_keep_the_connection_to_a_slow_node() {
    let cluster = Cluster::start(2);
    let here = cluster.node("node-0");
    let other = NodeId::from("node-1");
    let call = |wait_ms, timeout| {
        let req = ScheduleRequest {
            slot_request: Some(SlotRequest {
                wait_ms,
                ..SlotRequest::default()
            }),
            from: "node-0".into(),
            ..ScheduleRequest::default()
        };
        let called = here.call_scheduler(&other, req, Duration::from_millis(timeout));
        cluster.runtime.block_on(called)
    };
    expect_that!(call(0, 5_000), ok(anything()));
    let before = here.traffic().connections;
    for _ in 0..5 {
        expect_that!(call(60, 30), err(pat!(PeerError::Timeout)));
    }
    expect_that!(call(0, 5_000), ok(anything()));
    expect_that!(here.traffic().connections - before, eq(0));
}

/// Guards against nodes that know no other for seconds because their seeds started last.
#[gtest]
fn node_started_before_its_seed_discovers_it_soon() {
    let reserved = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let seed = reserved.local_addr().expect("its address");
    drop(reserved);
    let any = "127.0.0.1:0".parse().expect("an address");
    let mut cluster = Cluster::start(0);
    cluster.add_at("node-1", 1, any, vec![seed]);
    std::thread::sleep(Duration::from_millis(300));
    cluster.add_at("node-0", 1, seed, Vec::new());
    let item = status(&cluster.nodes["node-0"].member);
    let took = wait_until(LIMIT, || cluster.holds("node-1", "node-0", &item));
    expect_that!(took, some(le(Duration::from_millis(1000))));
}
