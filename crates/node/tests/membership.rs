//! Hosts that pause, restart, return or get an order that is too late.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostReport, Order, OrderKind, Placement};
use eelgrassmill_standin::{HostSpec, engine_specs};
use util::load::{check_honest, under_load};
use util::observe::{EVIDENCE_TIME, Observed, SLACK, observe, report};
use util::{Cluster, call, eventually, text};

const NODES: usize = 3;

fn one_group(engines: Vec<HostSpec>) -> Cluster {
    let cluster = Cluster::of(NODES, engines);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    cluster
}

fn epoch(cluster: &Cluster) -> u64 {
    let groups = cluster.admin(0, "GET", "/admin/v1/groups", "").json();
    groups[0]["epoch"].as_u64().unwrap()
}

fn address(cluster: &Cluster, host: &str) -> SocketAddr {
    cluster.standins.address_of(host).unwrap().parse().unwrap()
}

fn ask(cluster: &Cluster, host: &str) -> Option<HostReport> {
    report(address(cluster, host))
}

/// Panics when a node served a group with `host` for longer after `from` than evidence counts.
fn stopped_in_time(seen: &Observed, host: &str, from: Instant) {
    seen.check();
    for i in 0..NODES {
        let after = seen
            .stopped_after(i, host, from)
            .expect("it stopped serving");
        assert!(after <= EVIDENCE_TIME + SLACK, "node-{i}: {after:?}");
    }
}

/// A machine of the group hangs for some seconds, as with a stuck disk driver,
/// and then goes on as if nothing had happened. While it hangs, the group is
/// not whole: a letter sent to it would hang with it. Afterwards no half-run
/// answer may reach anyone, and the group serves again.
#[test]
fn a_paused_host_stops_its_group_until_it_is_back() {
    let cluster = one_group(engine_specs(2, 4));
    let paused = cluster.serving(0)[0].1[1].clone();
    let ((from, calls), seen) = observe(&cluster, |_| {
        under_load(&cluster, || {
            let from = Instant::now();
            cluster.fault(&paused, "pause", "&ms=4000");
            eventually("nobody serves", || {
                (0..NODES).all(|i| cluster.serving(i).is_empty())
            });
            cluster.wait_whole(1);
            from
        })
    });
    stopped_in_time(&seen, &paused, from);
    check_honest(&calls);
    // What was sent while nobody served was refused at once, not held until the return.
    let mut refused = calls.iter().filter(|c| c.answer.outcome_is("not-run"));
    assert!(refused.all(|c| c.answer.retry_after.is_some()));
    assert!(calls.iter().any(|c| c.sent > from && c.right));
}

/// A machine restarts so fast that hardly a probe fails. It holds nothing any
/// more, and the other machines hold connections to a process that is gone. A
/// group that served on in its old epoch would answer from a broken replica.
#[test]
fn a_restarted_host_serves_only_in_a_new_epoch() {
    let cluster = one_group(engine_specs(2, 4));
    let before = epoch(&cluster);
    let restarted = cluster.serving(0)[0].1[1].clone();
    let (from, seen) = observe(&cluster, |seen| {
        let from = Instant::now();
        cluster.fault(&restarted, "restart", "");
        eventually("every node stopped", || {
            (0..NODES).all(|i| seen.stopped_after(i, &restarted, from).is_some())
        });
        cluster.wait_whole(1);
        from
    });
    stopped_in_time(&seen, &restarted, from);
    assert!(epoch(&cluster) > before);
    for i in 0..NODES {
        let late = seen
            .node(i)
            .into_iter()
            .filter(|s| s.at > from + EVIDENCE_TIME + SLACK);
        for sample in late {
            let old = sample
                .groups
                .iter()
                .find(|g| g.serving && g.epoch <= before);
            assert!(old.is_none(), "node-{i}: {old:?}");
        }
    }
}

/// A machine is out of reach for so long that a spare takes its place. Then it
/// comes back, still loaded and sure that it belongs to the group. It must not
/// count as a member again, nor keep its accelerators for a group that it is
/// not in: it has to be told to leave, and be a spare itself.
#[test]
fn a_host_whose_place_was_taken_returns_as_a_spare() {
    let cluster = one_group(engine_specs(3, 4));
    let lost = cluster.serving(0)[0].1[1].clone();
    let ((from, calls), seen) = observe(&cluster, |_| {
        under_load(&cluster, || {
            let from = Instant::now();
            cluster.fault(&lost, "pause", "");
            eventually("a spare has its place", || {
                let serving = cluster.serving(0);
                serving.len() == 1 && !serving[0].1.contains(&lost)
            });
            cluster.mend(&lost);
            eventually("it holds nothing any more", || {
                ask(&cluster, &lost).is_some_and(|r| r.placement.is_none())
            });
            from
        })
    });
    stopped_in_time(&seen, &lost, from);
    check_honest(&calls);
    let serving = cluster.serving(0);
    assert!(!serving[0].1.contains(&lost), "{serving:?}");
    // It is of use again: the other two can't make a group when one more is lost.
    let next = serving[0].1[1].clone();
    cluster.fault(&next, "die", "");
    eventually("it is a member again", || {
        let serving = cluster.serving(0);
        serving.len() == 1 && serving[0].1.contains(&lost)
    });
}

/// A machine loses its power, a spare takes its place, and later it starts
/// again under the same name with nothing loaded.
#[test]
fn a_host_that_died_returns_empty_and_in_no_group() {
    let cluster = one_group(engine_specs(3, 4));
    let lost = cluster.serving(0)[0].1[0].clone();
    let (from, seen) = observe(&cluster, |_| {
        let from = Instant::now();
        cluster.fault(&lost, "die", "");
        eventually("a spare has its place", || {
            let serving = cluster.serving(0);
            serving.len() == 1 && !serving[0].1.contains(&lost)
        });
        cluster.mend(&lost);
        eventually("it is back", || {
            ask(&cluster, &lost).is_some_and(|r| r.placement.is_none())
        });
        from
    });
    stopped_in_time(&seen, &lost, from);
    assert!(!cluster.serving(0)[0].1.contains(&lost));
}

/// A `Join` to a group that `host` does not belong to.
fn foreign_order(host: &str) -> String {
    let order = Order {
        host: host.into(),
        kind: OrderKind::Join,
        placement: Placement {
            group: "reply/7".into(),
            epoch: 1,
            model: "lm".into(),
            version: "1".into(),
            members: vec![host.into(), "engine-9".into()],
        },
        fence: 0,
        from: "node-9".into(),
    };
    serde_json::to_string(&order).unwrap()
}

/// A whole group, the order late at a host that ignores fences, and what was seen until
/// the group served again; `during` runs before the order and once every node has stopped.
fn late_order(before: impl FnOnce(&Cluster), stopped: impl FnOnce(&Cluster)) {
    let hosts = engine_specs(2, 4);
    let hosts = hosts.into_iter().map(|h| h.checks_fences(false));
    let cluster = one_group(hosts.collect());
    let host = cluster.serving(0)[0].1[1].clone();
    let order = foreign_order(&host);
    let ((from, calls), seen) = observe(&cluster, |seen| {
        under_load(&cluster, || {
            before(&cluster);
            let from = Instant::now();
            let obeyed = call(address(&cluster, &host), "POST", "/order", &[], &order);
            assert_eq!(obeyed.status, 200, "{}", obeyed.text);
            eventually("every node stopped", || {
                (0..NODES).all(|i| seen.stopped_after(i, &host, from).is_some())
            });
            stopped(&cluster);
            cluster.wait_whole(1);
            from
        })
    });
    stopped_in_time(&seen, &host, from);
    check_honest(&calls);
    for i in 0..NODES {
        // The host itself said so, which needs no waiting for silence.
        let after = seen.stopped_after(i, &host, from).unwrap();
        assert!(after < Duration::from_millis(1500), "node-{i}: {after:?}");
    }
    let placed = ask(&cluster, &host).unwrap().placement.unwrap();
    assert_eq!(placed.group, "reply/0");
}

/// An order was under way while its sender was paused, and arrives when the
/// host belongs to another group. The host doesn't check fencing numbers and
/// obeys. Nobody can keep it from doing so; but the group that it left is not
/// whole any more, must stop at once, and be put right again.
#[test]
fn a_late_order_stops_the_group_until_it_is_put_right() {
    late_order(|_| {}, |_| {});
}

/// The same while the table is down, so that nobody can end the group by its
/// row: the evidence alone has to stop it. It is put right when the table is back.
#[test]
fn a_late_order_stops_the_group_while_the_table_is_down() {
    late_order(
        |cluster| cluster.fault("platform", "down", ""),
        |cluster| cluster.mend("platform"),
    );
}
