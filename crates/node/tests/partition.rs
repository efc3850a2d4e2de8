//! Cuts in the network between nodes, and between a node and the table.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::time::{Duration, Instant};

use eelgrassmill_standin::engine_specs;
use util::observe::{EVIDENCE_TIME, SLACK, observe};
use util::{Cluster, eventually, text};

/// Waits until `time` has passed since `from`, for a span in which something must not happen.
fn hold(from: Instant, time: Duration) {
    eventually("the span is over", || from.elapsed() >= time);
}

/// Every link between the entry hosts is lost, as when their switch fails, and
/// each entry still reaches the engines. An entry that watches the group goes on
/// knowing that it is whole. One that doesn't watch it hears nothing any more:
/// would it go on sending, a guest's letter would run on a replica that may
/// have lost a machine. It must refuse within the age that evidence may have,
/// and serve again after the cut.
#[test]
fn a_node_without_fresh_evidence_stops_and_comes_back() {
    let cluster = Cluster::of(5, engine_specs(2, 4));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let (cut, seen) = observe(&cluster, |_| {
        let cut = Instant::now();
        cluster.partition(&[&[0], &[1], &[2], &[3], &[4]]);
        hold(cut, EVIDENCE_TIME + SLACK);
        for i in 0..5 {
            let answer = cluster.complete(i, "during the cut", 5);
            let refused = answer.status == 503 && answer.outcome() == "not-run";
            assert!(answer.status == 200 || refused, "{}", answer.text);
            assert!(!refused || answer.retry_after.is_some());
        }
        cluster.heal();
        cluster.wait_whole(1);
        cut
    });
    seen.check();
    let member = cluster.serving(0)[0].1[0].clone();
    let stopped: Vec<_> = (0..5)
        .filter_map(|i| seen.stopped_after(i, &member, cut))
        .collect();
    assert_eq!(stopped.len(), 2, "three of five nodes watch the group");
    for after in stopped {
        assert!(after <= EVIDENCE_TIME + SLACK, "{after:?}");
    }
}

/// The node that decides formations loses all links to the other nodes. It
/// only forms groups; those that serve need nothing of it. Guests at the other
/// entries must notice nothing.
#[test]
fn a_planner_that_is_cut_off_costs_no_downtime() {
    let cluster = Cluster::of(4, engine_specs(4, 4));
    cluster.accept(&text(2), 0);
    cluster.wait_whole(2);
    eventually("a planner is known", || cluster.planner().is_some());
    let planner = cluster.planner().unwrap();
    let others: Vec<usize> = (0..4).filter(|i| *i != planner).collect();
    let (cut, seen) = observe(&cluster, |_| {
        let cut = Instant::now();
        cluster.partition(&[&[planner], &others]);
        hold(cut, 2 * EVIDENCE_TIME);
        cluster.heal();
        cluster.wait_whole(2);
        cut
    });
    seen.check();
    for i in others {
        assert_eq!(seen.fewest_serving(i, cut), 2, "node-{i}");
    }
}

/// A machine fails while the nodes are split in two. Neither side may go on
/// serving the group with what the other side knew, and each has to find out by
/// itself.
#[test]
fn a_host_that_dies_during_a_cut_stops_its_group_on_both_sides() {
    let cluster = Cluster::of(4, engine_specs(2, 4));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let lost = cluster.serving(0)[0].1[1].clone();
    let (died, seen) = observe(&cluster, |_| {
        cluster.partition(&[&[0, 1], &[2, 3]]);
        let died = Instant::now();
        cluster.fault(&lost, "die", "");
        hold(died, EVIDENCE_TIME + SLACK);
        for i in 0..4 {
            assert_eq!(cluster.serving(i).len(), 0, "node-{i}");
        }
        cluster.heal();
        cluster.mend(&lost);
        cluster.wait_whole(1);
        died
    });
    seen.check();
    for i in 0..4 {
        let after = seen.stopped_after(i, &lost, died).expect("it stopped");
        assert!(after <= EVIDENCE_TIME + SLACK, "node-{i}: {after:?}");
    }
}

/// One node loses its links to all others but still reaches the table. An
/// operator's change is accepted meanwhile. Callers of the node that is cut off
/// must get the new text like all others.
#[test]
fn a_config_reaches_a_node_without_peers_through_the_table() {
    let cluster = Cluster::of(3, engine_specs(2, 4));
    let version = cluster.accept(&text(1), 0);
    cluster.partition(&[&[0, 1], &[2]]);
    let changed = text(1).replace("slots = 8", "slots = 6");
    let version = cluster.submit(0, &changed, version);
    let accepted = Instant::now();
    for i in 0..3 {
        eventually("in force", || cluster.version_at(i) == version);
    }
    assert!(accepted.elapsed() < Duration::from_secs(3));
    cluster.heal();
}

/// A node starts while it can't reach the table. It must take the text in
/// force, and each later one, from the other nodes; its callers would be told
/// that there is no such service for as long as the table is away.
#[test]
fn a_config_reaches_a_node_without_the_table_through_its_peers() {
    let nowhere = ([127, 0, 0, 1], 9).into();
    let cluster = Cluster::with_settings(3, engine_specs(2, 4), |i, settings| {
        if i == 2 {
            settings.platform.table = nowhere;
        }
    });
    let first = cluster.submit(0, &text(1), 0);
    eventually("in force", || cluster.version_at(2) == first);
    let changed = text(1).replace("slots = 8", "slots = 6");
    let second = cluster.submit(0, &changed, first);
    let accepted = Instant::now();
    eventually("in force", || cluster.version_at(2) == second);
    assert!(accepted.elapsed() < Duration::from_secs(3));
}

/// The table goes down after a change was accepted and before a node that was
/// cut off has read it. When the node reaches its peers again they tell it, and
/// no node goes back to the former text, neither then nor when the table returns.
#[test]
fn a_config_never_goes_back_while_the_table_is_down() {
    let cluster = Cluster::of(3, engine_specs(2, 4));
    let first = cluster.accept(&text(1), 0);
    cluster.partition(&[&[0, 1], &[2]]);
    let changed = text(1).replace("slots = 8", "slots = 6");
    let second = cluster.submit(0, &changed, first);
    cluster.fault("platform", "down", "");
    let mut known = [0; 3];
    let mut rising = |what: &str, until: &dyn Fn(&[u64; 3]) -> bool| {
        eventually(what, || {
            for (i, known) in known.iter_mut().enumerate() {
                let now = cluster.version_at(i);
                assert!(now >= *known, "node-{i} went from {known} to {now}");
                *known = now;
            }
            until(&known)
        });
    };
    cluster.heal();
    rising("told by peers", &|known| *known == [second; 3]);
    cluster.mend("platform");
    let back = Instant::now();
    rising("the table is read again", &|_| {
        back.elapsed() > Duration::from_secs(2)
    });
}
