//! Failures one by one and in twos, over the real leases, planner and evidence.
//!
//! The world's oracle looks at every step: no host in two groups, no group
//! served without a host, no write by a planner that was replaced.

#[path = "../examples/repair/fleets.rs"]
#[allow(dead_code)]
mod fleets;
#[path = "../examples/repair/sim.rs"]
#[allow(dead_code)]
mod sim;
mod support;

use std::time::Duration;

use eelgrassmill_base::{HostState, Order, OrderKind, Placement};
use eelgrassmill_config::RepairWeight;
use eelgrassmill_group::{GroupRow, MissingReason, NotServing, RepairPolicy};
use googletest::prelude::*;
use smol_str::SmolStr;

use crate::sim::Fault;
use crate::support::cluster::{Cluster, TableFault};

const SECOND: Duration = Duration::from_secs(1);

/// Two fabric domains of five hosts and three groups of two; every other host checks orders.
fn cluster() -> Cluster {
    let mut hosts = fleets::hosts(&[(0, 5), (1, 5)], 8);
    hosts
        .iter_mut()
        .enumerate()
        .for_each(|(i, h)| h.checks_orders = i % 2 == 0);
    let checking: Vec<SmolStr> = hosts
        .iter()
        .filter(|h| h.checks_orders)
        .map(|h| h.entry.id.clone())
        .collect();
    let services = [fleets::service("a", 2, 2, 1), fleets::service("b", 1, 2, 1)];
    let config = fleets::config(services, checking.iter().map(SmolStr::as_str));
    let mut cluster = Cluster::new(hosts, config, RepairPolicy::new(RepairWeight::Downtime));
    assert!(
        cluster.run_until(30 * SECOND, all_served),
        "not formed at the start"
    );
    cluster.run(10 * SECOND);
    cluster
}

fn all_served(cluster: &Cluster) -> bool {
    cluster.served().len() == 3
}

fn group_at(cluster: &Cluster, n: usize) -> GroupRow {
    cluster
        .table
        .groups()
        .nth(n)
        .cloned()
        .expect("three groups were formed")
}

fn inject_fault(cluster: &mut Cluster, host: &str, fault: Fault) {
    let now = cluster.now;
    cluster
        .hosts
        .get_mut(host)
        .expect("the host exists")
        .inject(fault, now);
}

fn join_of(row: &GroupRow, host: &str, fence: u64) -> Order {
    Order {
        host: host.into(),
        kind: OrderKind::Join,
        placement: Placement {
            group: row.group.clone(),
            epoch: row.epoch,
            model: row.model.clone(),
            version: row.version.clone(),
            members: row.members.clone(),
        },
        fence,
        from: "n0".into(),
    }
}

/// A member of a group loses power and never comes back. The group is not
/// served from two seconds after, and serves again with a spare in its place.
#[gtest]
fn a_host_that_dies_is_replaced_by_a_spare() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[1], Fault::Die);
    cluster.run(2 * SECOND + SECOND / 4);
    expect_that!(
        cluster.entry.serving(&row.group, cluster.now),
        err(anything())
    );
    assert!(cluster.run_until(30 * SECOND, all_served));
    let now = group_at(&cluster, 0);
    expect_that!(now.epoch, gt(row.epoch));
    expect_that!(now.members, not(contains(eq(&row.members[1]))));
}

/// A member is stopped for twenty seconds, is replaced meanwhile, and goes on
/// as if nothing had happened: it still says that it belongs to the old epoch.
/// A caller would get half an answer if its word counted.
#[gtest]
fn a_returning_host_must_leave_its_old_group() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let host = row.members[1].clone();
    inject_fault(&mut cluster, &host, Fault::Pause(20));
    assert!(cluster.run_until(15 * SECOND, |c| all_served(c)
        && c.table.groups().all(|g| !g.members.contains(&host))));
    let away = |c: &Cluster| !c.hosts[&host].is_up();
    assert!(away(&cluster), "it was replaced only after it came back");
    assert!(cluster.run_until(20 * SECOND, |c| !away(c)));
    assert!(cluster.run_until(5 * SECOND, |c| c.hosts[&host].placement.is_none()));
    expect_that!(cluster.served().len(), eq(3));
}

/// A member restarts within a second. Its probes hardly miss a beat, but it
/// holds nothing any more, and the others talk to a process that is gone.
#[gtest]
fn a_member_that_restarts_ends_its_epoch() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Restart(1));
    cluster.run(SECOND + SECOND / 2);
    let denied = cluster.entry.serving(&row.group, cluster.now);
    let gone = matches!(
        denied,
        Err(NotServing::Ending | NotServing::NoEvidence { .. } | NotServing::Missing { .. })
    );
    assert!(
        gone || cluster.entry.epoch(&row.group) > Some(row.epoch),
        "{denied:?}"
    );
    assert!(cluster.run_until(30 * SECOND, all_served));
    expect_that!(group_at(&cluster, 0).epoch, gt(row.epoch));
}

/// All hosts of a fabric domain go dark at once and come back after half a
/// minute. Their groups must not be served meanwhile, and the rounds stay
/// bounded; afterwards everything serves.
#[gtest]
fn an_unreachable_fabric_domain_stops_only_its_own_groups() {
    let mut cluster = cluster();
    let dark: Vec<SmolStr> = cluster
        .hosts
        .keys()
        .filter(|h| h.starts_with("h0"))
        .cloned()
        .collect();
    let hit: Vec<SmolStr> = cluster
        .table
        .groups()
        .filter(|g| dark.contains(&g.members[0]))
        .map(|g| g.group.clone())
        .collect();
    for host in &dark {
        inject_fault(&mut cluster, host, Fault::Pause(30));
    }
    cluster.run(2 * SECOND + SECOND / 2);
    for group in &hit {
        expect_that!(cluster.served(), not(contains(eq(group))));
    }
    expect_that!(cluster.served().len(), eq(3 - hit.len()));
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// The planner is stopped between the check of its lease and the sending of a
/// `Join`, for longer than its lease. Another node takes over and moves the
/// host into another group; then the old order leaves. A host that checks
/// fencing numbers refuses it.
#[gtest]
fn a_host_that_checks_orders_refuses_a_late_one() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let host = row.members.iter().find(|h| cluster.hosts[*h].checks_orders);
    let host = host.expect("every other host checks").clone();
    let planner = cluster.planner().expect("somebody plans");
    let order = join_of(&row, &host, cluster.hosts[&host].fence);
    cluster.pause_with_order(planner, Some(order));
    inject_fault(&mut cluster, &host, Fault::Restart(3));
    assert!(cluster.run_until(40 * SECOND, |c| c.planner() != Some(planner)));
    assert!(cluster.run_until(40 * SECOND, all_served));
    // Its new placement came with a higher fence.
    let placed = cluster.hosts[&host].placement.clone();
    assert_that!(placed.as_ref().map(|p| p.epoch), some(gt(row.epoch)));
    cluster.resume(planner);
    expect_that!(cluster.hosts[&host].placement, eq(&placed));
    expect_that!(cluster.late_orders.len(), eq(1));
    expect_that!(cluster.served().len(), eq(3));
}

/// The same with a host that obeys whoever speaks last. It is torn out of its
/// new group by an order that is long out of date. Nothing can stop that
/// order; the sender notices, the group is out of service within the age of
/// evidence, and the planner brings the host back.
#[gtest]
fn a_late_order_to_a_host_that_does_not_check_it_stops_the_group() {
    let mut cluster = cluster();
    let obeys_all = |h: &&SmolStr| !cluster.hosts[*h].checks_orders;
    let mut groups = cluster.table.groups();
    let row = groups.find(|g| g.members.iter().any(|h| obeys_all(&h)));
    let row = row.expect("some hosts don't check").clone();
    drop(groups);
    let host = row
        .members
        .iter()
        .find(obeys_all)
        .expect("as above")
        .clone();
    let planner = cluster.planner().expect("somebody plans");
    let order = join_of(&row, &host, 1);
    cluster.pause_with_order(planner, Some(order));
    let other = row
        .members
        .iter()
        .find(|h| **h != host)
        .expect("two members")
        .clone();
    inject_fault(&mut cluster, &other, Fault::Die);
    assert!(cluster.run_until(60 * SECOND, |c| all_served(c)
        && c.planner() != Some(planner)));
    let placed = cluster.hosts[&host].placement.clone();
    cluster.resume(planner);
    expect_that!(cluster.late_orders.len(), eq(1), "the sender didn't notice");
    assert_that!(placed.as_ref().map(|p| p.epoch), some(gt(row.epoch)));
    expect_that!(cluster.hosts[&host].placement, not(eq(&placed)));
    let group = placed.map(|p| p.group).unwrap_or_default();
    expect_true!(cluster.run_until(2 * SECOND, |c| !c.served().contains(&group)));
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// The table makes a write and its answer is lost, while a member has died.
/// The planner reads the rows again and goes on from what they say.
#[gtest]
fn a_lost_response_only_delays_a_repair() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Die);
    for _ in 0..12 {
        cluster.table.fault = Some(TableFault::ResponseLost);
        cluster.run(SECOND / 2);
    }
    assert!(cluster.run_until(30 * SECOND, all_served));
}

/// A write is made seconds after its sender gave up on it. Its conditions no
/// longer hold by then; made in spite of that it would bind hosts twice.
#[gtest]
fn a_delayed_write_fails_its_preconditions() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Die);
    for _ in 0..8 {
        cluster.table.fault = Some(TableFault::Delayed(4 * SECOND));
        cluster.run(SECOND / 2);
    }
    assert!(cluster.run_until(40 * SECOND, all_served));
}

/// The table is down for two minutes. Groups that are whole go on serving,
/// since no write and no lease is needed for that. A member that dies
/// meanwhile is replaced once the table is back.
#[gtest]
fn whole_groups_serve_during_a_table_outage() {
    let mut cluster = cluster();
    cluster.table.fault = Some(TableFault::Unavailable);
    for _ in 0..240 {
        cluster.run(SECOND / 2);
        assert_that!(cluster.served().len(), eq(3));
    }
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Die);
    cluster.run(30 * SECOND);
    expect_that!(cluster.served().len(), eq(2));
    cluster.table.fault = None;
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// One watcher is cut off from one host, the other is not. The host answers,
/// so its callers should notice nothing.
#[gtest]
fn a_partition_between_one_watcher_and_a_host_stops_no_group() {
    let mut cluster = cluster();
    let host = group_at(&cluster, 0).members[0].clone();
    let other = 1 - cluster.planner().expect("somebody plans");
    cluster.partition = Some((other, host));
    for _ in 0..40 {
        cluster.run(SECOND / 4);
        assert_that!(cluster.served().len(), eq(3));
    }
}

/// Evidence stops arriving, as when the entry is cut off from all watchers. It
/// must not go on sending requests to groups of which it knows nothing.
#[gtest]
fn a_group_without_recent_evidence_is_not_served() {
    let mut cluster = cluster();
    cluster.evidence_delay = 60 * SECOND;
    cluster.run(2 * SECOND + SECOND / 4);
    expect_that!(cluster.served(), is_empty());
    // What arrives late is as old as it is, and revives nothing.
    cluster.run(70 * SECOND);
    expect_that!(cluster.served(), is_empty());
}

/// The planner dies just when a host does. The host's group waits for the next
/// planner, whose takeover waits for the lease; no other group is touched.
#[gtest]
fn the_planner_and_a_host_fail_together() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let planner = cluster.planner().expect("somebody plans");
    cluster.pause_with_order(planner, None);
    inject_fault(&mut cluster, &row.members[0], Fault::Die);
    cluster.run(6 * SECOND);
    expect_that!(cluster.planner(), some(eq(planner)));
    expect_that!(cluster.served().len(), eq(2));
    assert!(cluster.run_until(30 * SECOND, all_served));
    expect_that!(cluster.planner(), some(not(eq(planner))));
}

/// A host is announced as leaving. Its group keeps serving until another is
/// whole, and then no group has the host.
#[gtest]
fn a_leaving_host_is_replaced_before_it_leaves() {
    let mut cluster = cluster();
    let host = group_at(&cluster, 0).members[0].clone();
    cluster
        .hosts
        .get_mut(&host)
        .expect("the host exists")
        .entry
        .state = HostState::Leaving;
    let mut served = usize::MAX;
    for _ in 0..120 {
        cluster.run(SECOND / 2);
        served = served.min(cluster.served().len());
    }
    expect_that!(served, ge(3));
    expect_true!(cluster.table.groups().all(|g| !g.members.contains(&host)));
}

/// Two members of one group fail in different ways within a second.
#[gtest]
fn two_members_fail_at_once() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Restart(4));
    cluster.run(SECOND / 2);
    inject_fault(&mut cluster, &row.members[1], Fault::Pause(9));
    let silent = NotServing::Missing {
        host: row.members[1].clone(),
        reason: MissingReason::Silent,
    };
    cluster.run(2 * SECOND + SECOND / 4);
    expect_that!(
        cluster.entry.serving(&row.group, cluster.now),
        not(ok(anything())),
        "{silent:?}"
    );
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// The planner itself is cut off from a host that everybody else reaches. The
/// group serves; to replace it would load weights for nothing.
#[gtest]
fn a_partition_between_the_planner_and_a_host_changes_nothing() {
    let mut cluster = cluster();
    let before: Vec<GroupRow> = cluster.table.groups().cloned().collect();
    let host = before[0].members[0].clone();
    cluster.partition = cluster.planner().map(|planner| (planner, host));
    cluster.run(20 * SECOND);
    let after: Vec<GroupRow> = cluster.table.groups().cloned().collect();
    expect_that!(after, eq(&before));
    expect_that!(cluster.served().len(), eq(3));
}
