//! Tests of the distribution of the platform's lists between nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId, StorePosition};
use eelgrassmill_fleet::{
    ChangeLog, RoleCandidate, SyncUpdate, initial_read_delay, initial_sync_source, list_parent,
};
use googletest::prelude::*;

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nodes in three failure domains.
fn nodes(count: usize) -> Vec<(NodeId, FailureDomain)> {
    let node = |n: usize| (format!("n{n}").into(), format!("z{}", n % 3).into());
    (0..count).map(node).collect()
}

fn candidate((id, failure_domain): &(NodeId, FailureDomain)) -> RoleCandidate<'_> {
    RoleCandidate {
        id,
        failure_domain,
        processor: 250,
    }
}

/// The parent of the node at index `me` among the nodes `up`.
fn parent<'n>(
    up: &'n [(NodeId, FailureDomain)],
    me: usize,
    holder: Option<&'n NodeId>,
) -> Option<&'n NodeId> {
    let others = up.iter().enumerate().filter(|(n, _)| *n != me);
    let others = others.map(|(_, node)| candidate(node));
    list_parent(candidate(&up[me]), holder, others).map(|parent| parent.node)
}

/// Number of nodes that read the store, and the maximum number of hops of a change.
fn readers_and_hops(up: &[(NodeId, FailureDomain)], holder: Option<&NodeId>) -> (usize, usize) {
    let index = |id: &NodeId| up.iter().position(|(other, _)| other == id);
    let mut readers = 0;
    let mut hops = 0;
    for me in 0..up.len() {
        let mut at = me;
        let mut way = 0;
        while let Some(next) = parent(up, at, holder) {
            at = index(next).expect("parents are nodes that are up");
            way += 1;
            assert!(way <= up.len(), "nodes ask each other in a circle");
        }
        readers += usize::from(way == 0);
        hops = hops.max(way);
    }
    (readers, hops)
}

/// With 5 to 300 nodes only the holder of the lease reads the store, or one node of each failure
/// domain if there is no holder. Any node may be gone.
#[gtest]
fn few_nodes_read_the_store_whatever_the_number_of_nodes() {
    for count in [5, 7, 74, 300] {
        let all = nodes(count);
        for gone in 0..count.min(40) {
            let mut up = all.clone();
            let (gone, _) = up.remove(gone);
            let domains: BTreeSet<&FailureDomain> = up.iter().map(|(_, d)| d).collect();
            let one_a_domain = domains.len();
            expect_that!(readers_and_hops(&up, None), eq((one_a_domain, 1)));
            let holder = up[count / 2].0.clone();
            let (readers, hops) = readers_and_hops(&up, Some(&holder));
            expect_that!(readers, eq(1), "{count} nodes");
            expect_that!(hops, le(2), "{count} nodes");
            // It still counts as the holder of the lease, but no node hears it.
            expect_that!(readers_and_hops(&up, Some(&gone)), eq((one_a_domain, 1)));
        }
    }
}

/// Number of nodes that poll each node.
fn children(up: &[(NodeId, FailureDomain)], holder: &NodeId) -> BTreeMap<NodeId, usize> {
    let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
    for me in 0..up.len() {
        if let Some(parent) = parent(up, me, Some(holder)) {
            *children.entry(parent.clone()).or_default() += 1;
        }
    }
    children
}

/// Guards against one node of a failure domain sending the lists to all others, whose number grows
/// with the fleet.
#[gtest]
fn no_node_is_polled_by_more_than_a_fraction_of_a_fleet() {
    let most = [985, 1970].map(|count| {
        let node = |n: usize| (format!("n{n}").into(), format!("z{}", n % 5).into());
        let up: Vec<(NodeId, FailureDomain)> = (0..count).map(node).collect();
        let holder = up[count / 2].0.clone();
        let (readers, hops) = readers_and_hops(&up, Some(&holder));
        expect_that!(readers, eq(1));
        expect_that!(hops, le(3));
        children(&up, &holder).into_values().max().unwrap_or(0)
    });
    expect_that!(most, each(le(50)));
    // Grows with the square root of the number of nodes.
    expect_that!(most[1] as f64 / most[0] as f64, le(1.5));
}

fn at(version: u64) -> StorePosition {
    StorePosition { era: 0, version }
}

fn change(n: u8) -> Vec<u8> {
    vec![n]
}

/// A node that lags behind gets the missing changes, also if its version is within a batch. One
/// that lags too far gets the full list, never changes with a gap.
#[gtest]
fn changes_are_sent_without_a_gap() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    expect_that!(log.changes_since(at(3)), eq(&SyncUpdate::Snapshot));
    log.reset(at(10), now);
    log.append(vec![change(1), change(2)], at(14), now, now);
    log.append(vec![], at(17), now + millis(500), now + millis(500));
    log.append(
        vec![change(3)],
        at(20),
        now + millis(900),
        now + millis(900),
    );
    expect_that!(log.changes_since(at(0)), eq(&SyncUpdate::Snapshot));
    expect_that!(log.changes_since(at(9)), eq(&SyncUpdate::Snapshot));
    let changes = |parts: &[u8]| SyncUpdate::Delta(parts.iter().map(|n| change(*n)).collect());
    expect_that!(log.changes_since(at(10)), eq(&changes(&[1, 2, 3])));
    expect_that!(log.changes_since(at(12)), eq(&changes(&[1, 2, 3])));
    expect_that!(log.changes_since(at(14)), eq(&changes(&[3])));
    expect_that!(log.changes_since(at(20)), eq(&changes(&[])));
    log.append(
        vec![change(4)],
        at(30),
        now + millis(6000),
        now + millis(6000),
    );
    expect_that!(log.changes_since(at(14)), eq(&SyncUpdate::Snapshot));
    expect_that!(log.changes_since(at(20)), eq(&changes(&[4])));
}

/// Guards against sending a node changes of a list that it doesn't have: versions of a former era
/// are given out again.
#[gtest]
fn a_node_with_a_list_of_another_era_gets_the_full_list() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    log.reset(at(100), now);
    let in_era = |era, version| StorePosition { era, version };
    log.reset(in_era(1, 40), now);
    log.append(vec![change(1)], in_era(1, 45), now, now);
    expect_that!(log.position(), eq(in_era(1, 45)));
    for version in [39, 40, 42, 100] {
        expect_that!(log.changes_since(at(version)), eq(&SyncUpdate::Snapshot));
    }
    let delta = SyncUpdate::Delta(vec![change(1)]);
    expect_that!(log.changes_since(in_era(1, 40)), eq(&delta));
}

/// A node that is partitioned from the store keeps answering others. The age that it reports must
/// grow, or they would treat its old list as current.
#[gtest]
fn the_age_of_an_unconfirmed_list_grows() {
    let now = Instant::now();
    let mut log = ChangeLog::default();
    expect_that!(log.age(now), none());
    log.reset(at(10), now);
    log.append(vec![], at(10), now + millis(400), now + millis(410));
    expect_that!(log.age(now + millis(1000)), some(eq(millis(600))));
    // Older information does not change the age.
    log.append(vec![], at(8), now + millis(100), now + millis(1000));
    expect_that!(log.age(now + millis(1000)), some(eq(millis(600))));
    expect_that!(log.position(), eq(at(10)));
}

/// Guards against the first lists crossing between failure domains once per node.
#[gtest]
fn first_copies_come_from_the_same_failure_domain() {
    let up = nodes(30);
    for me in 0..up.len() {
        let others = || up.iter().enumerate().filter(|(n, _)| *n != me);
        for pick in [0.0, 0.3, 0.7, 0.999] {
            let others = others().map(|(_, node)| candidate(node));
            let source = initial_sync_source(candidate(&up[me]), others, pick);
            let source = up.iter().find(|(id, _)| Some(id) == source);
            expect_that!(source.map(|(_, domain)| domain), some(eq(&up[me].1)));
        }
        let far = others().filter(|(_, node)| node.1 != up[me].1);
        let far = far.map(|(_, node)| candidate(node));
        expect_that!(
            initial_sync_source(candidate(&up[me]), far, 0.5),
            some(anything())
        );
    }
}

/// Guards against nodes that start together all reading the full list from the store: however many
/// there are, only a few of a failure domain read before copies are available.
#[gtest]
fn few_nodes_that_start_together_read_the_store_first() {
    let read_time = millis(100);
    for count in [30, 985, 1970] {
        let up = nodes(count);
        let delay = |me: usize| {
            let others = up.iter().enumerate().filter(|(n, _)| *n != me);
            initial_read_delay(candidate(&up[me]), others.map(|(_, node)| candidate(node)))
        };
        // Nodes of the first failure domain, each as late as any that counts.
        let delays: Vec<Duration> = (0..count).step_by(3).take(200).map(delay).collect();
        let first = delays.iter().filter(|delay| **delay < read_time).count();
        expect_that!(first, le(4), "{count} nodes");
        expect_that!(
            delays.iter().max(),
            some(le(&millis(1000))),
            "{count} nodes"
        );
    }
    let alone = nodes(1);
    expect_that!(
        initial_read_delay(candidate(&alone[0]), []),
        eq(Duration::ZERO)
    );
}

/// Guards against changes that no reply to another node can hold, and that are asked for for ever.
#[gtest]
fn a_node_that_lacks_more_changes_than_a_reply_holds_gets_the_list() {
    let (mut log, now) = (ChangeLog::default(), Instant::now());
    log.reset(at(1), now);
    let large = |count| vec![vec![0; 100_000]; count];
    log.append(large(5), at(2), now, now);
    log.append(large(4), at(3), now, now);
    expect_that!(
        log.changes_since(at(1)),
        matches_pattern!(SyncUpdate::Delta(len(eq(9))))
    );
    log.append(large(5), at(4), now, now);
    expect_that!(log.changes_since(at(1)), eq(&SyncUpdate::Snapshot));
    expect_that!(
        log.changes_since(at(2)),
        matches_pattern!(SyncUpdate::Delta(len(eq(9))))
    );
    log.append(large(50), at(5), now, now);
    expect_that!(log.changes_since(at(4)), eq(&SyncUpdate::Snapshot));
    expect_that!(
        log.changes_since(at(5)),
        matches_pattern!(SyncUpdate::Delta(is_empty()))
    );
}
