//! Single and double failures against the real leases, planner and evidence.
//!
//! The oracle checks every step: no host is in two groups, no group is served without all its
//! hosts, and no replaced planner writes.

#[path = "../examples/repair/fleets.rs"]
#[allow(dead_code)]
mod fleets;
#[path = "../examples/repair/sim.rs"]
#[allow(dead_code)]
mod sim;
mod support;

use std::time::Duration;

use eelgrassmill_base::{HostState, Order, OrderKind, Placement};
use eelgrassmill_config::RepairObjective;
use eelgrassmill_group::{GroupRow, MissingReason, NotServing, RepairPolicy};
use googletest::prelude::*;
use smol_str::SmolStr;

use crate::sim::Fault;
use crate::support::cluster::{Cluster, TableFault};

const SECOND: Duration = Duration::from_secs(1);

/// Two fabric domains with five hosts each and three groups of two; every other host checks orders.
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
    let mut cluster = Cluster::new(hosts, config, RepairPolicy::new(RepairObjective::Downtime));
    assert!(
        cluster.run_until(30 * SECOND, all_served),
        "groups were not formed"
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

/// A member fails permanently. The group must stop being served within two seconds, and serve
/// again with a spare.
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

/// A member is paused, is replaced meanwhile, and then still reports its old epoch. If its report
/// were trusted, a group could be served without all its members.
#[gtest]
fn a_returning_host_must_leave_its_old_group() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let host = row.members[1].clone();
    inject_fault(&mut cluster, &host, Fault::Pause(20));
    assert!(cluster.run_until(15 * SECOND, |c| all_served(c)
        && c.table.groups().all(|g| !g.members.contains(&host))));
    let is_down = |c: &Cluster| !c.hosts[&host].is_up();
    assert!(is_down(&cluster), "it was replaced only after it returned");
    assert!(cluster.run_until(20 * SECOND, |c| !is_down(c)));
    assert!(cluster.run_until(5 * SECOND, |c| c.hosts[&host].placement.is_none()));
    expect_that!(cluster.served().len(), eq(3));
}

/// A member restarts within a second, so that hardly a probe is lost. It has lost its state, and
/// the other members hold connections to a process that no longer exists.
#[gtest]
fn a_member_that_restarts_ends_its_epoch() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    inject_fault(&mut cluster, &row.members[0], Fault::Restart(1));
    cluster.run(SECOND + SECOND / 2);
    let denied = cluster.entry.serving(&row.group, cluster.now);
    let not_serving = matches!(
        denied,
        Err(NotServing::Ending | NotServing::NoEvidence { .. } | NotServing::Missing { .. })
    );
    assert!(
        not_serving || cluster.entry.epoch(&row.group) > Some(row.epoch),
        "{denied:?}"
    );
    assert!(cluster.run_until(30 * SECOND, all_served));
    expect_that!(group_at(&cluster, 0).epoch, gt(row.epoch));
}

/// All hosts of a fabric domain are unreachable for 30 s. Their groups must not be served
/// meanwhile, all others must, and afterwards everything serves.
#[gtest]
fn an_unreachable_fabric_domain_stops_only_its_own_groups() {
    let mut cluster = cluster();
    let unreachable: Vec<SmolStr> = cluster
        .hosts
        .keys()
        .filter(|h| h.starts_with("h0"))
        .cloned()
        .collect();
    let affected: Vec<SmolStr> = cluster
        .table
        .groups()
        .filter(|g| unreachable.contains(&g.members[0]))
        .map(|g| g.group.clone())
        .collect();
    for host in &unreachable {
        inject_fault(&mut cluster, host, Fault::Pause(30));
    }
    cluster.run(2 * SECOND + SECOND / 2);
    for group in &affected {
        expect_that!(cluster.served(), not(contains(eq(group))));
    }
    expect_that!(cluster.served().len(), eq(3 - affected.len()));
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// The planner is paused between its lease check and sending a `Join`, for longer than its lease.
/// Another node takes over and moves the host into another group before the old order is sent. A
/// host that checks fencing tokens must refuse it.
#[gtest]
fn a_host_that_checks_orders_refuses_a_late_one() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let host = row.members.iter().find(|h| cluster.hosts[*h].checks_orders);
    let host = host.expect("every other host checks").clone();
    let planner = cluster.planner().expect("a planner is active");
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

/// The same with a host that doesn't check orders: the stale order moves it out of its new group.
/// The order can't be prevented, but the sender must detect it, the group must leave service
/// within the maximum evidence age, and the planner must restore the host.
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
    let planner = cluster.planner().expect("a planner is active");
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
    expect_that!(
        cluster.late_orders.len(),
        eq(1),
        "the sender didn't detect it"
    );
    assert_that!(placed.as_ref().map(|p| p.epoch), some(gt(row.epoch)));
    expect_that!(cluster.hosts[&host].placement, not(eq(&placed)));
    let group = placed.map(|p| p.group).unwrap_or_default();
    expect_true!(cluster.run_until(2 * SECOND, |c| !c.served().contains(&group)));
    assert!(cluster.run_until(60 * SECOND, all_served));
}

/// The table applies writes but their responses are lost while a member has failed. The planner
/// must read the rows again and continue from them.
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

/// A write is applied seconds after its sender gave up on it. Its preconditions no longer hold by
/// then; if they were ignored, hosts would be bound twice.
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

/// The table is unavailable for two minutes. Whole groups must keep serving, which needs no write
/// and no lease. A member that fails meanwhile is replaced once the table is back.
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

/// One watcher can't reach a host that the other one reaches. The group must keep serving.
#[gtest]
fn a_partition_between_one_watcher_and_a_host_stops_no_group() {
    let mut cluster = cluster();
    let host = group_at(&cluster, 0).members[0].clone();
    let other = 1 - cluster.planner().expect("a planner is active");
    cluster.partition = Some((other, host));
    for _ in 0..40 {
        cluster.run(SECOND / 4);
        assert_that!(cluster.served().len(), eq(3));
    }
}

/// Evidence stops arriving, as when the entry host is partitioned from all watchers. It must stop
/// sending requests to groups of unknown health.
#[gtest]
fn a_group_without_recent_evidence_is_not_served() {
    let mut cluster = cluster();
    cluster.evidence_delay = 60 * SECOND;
    cluster.run(2 * SECOND + SECOND / 4);
    expect_that!(cluster.served(), is_empty());
    // Delayed evidence keeps its age and doesn't return a group to service.
    cluster.run(70 * SECOND);
    expect_that!(cluster.served(), is_empty());
}

/// The planner and a host fail together. The repair waits for the next planner, whose takeover
/// waits for the lease to expire; no other group is affected.
#[gtest]
fn the_planner_and_a_host_fail_together() {
    let mut cluster = cluster();
    let row = group_at(&cluster, 0);
    let planner = cluster.planner().expect("a planner is active");
    cluster.pause_with_order(planner, None);
    inject_fault(&mut cluster, &row.members[0], Fault::Die);
    cluster.run(6 * SECOND);
    expect_that!(cluster.planner(), some(eq(planner)));
    expect_that!(cluster.served().len(), eq(2));
    assert!(cluster.run_until(30 * SECOND, all_served));
    expect_that!(cluster.planner(), some(not(eq(planner))));
}

/// A host is listed as leaving. Its group must keep serving until another one is whole, and
/// afterwards no group may contain the host.
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

/// Only the planner can't reach a host. The group serves, so replacing it would load weights
/// needlessly.
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
