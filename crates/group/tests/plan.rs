//! Planner decisions over simulated runs of small fleets.

#[path = "../examples/repair/fleets.rs"]
#[allow(dead_code)]
mod fleets;
#[path = "../examples/repair/sim.rs"]
#[allow(dead_code)]
mod sim;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_config::{Config, RepairObjective, ServiceKind};
use eelgrassmill_group::{
    Action, EndReason, FailureScope, FreeReason, GroupPhase, GroupRow, Recovery, RecoveryModel,
    RepairPolicy, RowValue, Transaction,
};
use googletest::prelude::*;
use smol_str::SmolStr;

use crate::sim::{Fault, Simulation, Store};

const SECOND: Duration = Duration::from_secs(1);
const GB: u64 = 1_000_000_000;

/// Simulates services given as (name, groups, hosts per group, floor) on hosts given as (failure
/// domain, count) for each fabric domain. A host loads a model in at most eight seconds.
fn sim(
    services: &[(&str, u32, u32, u32)],
    fabrics: &[(usize, usize)],
    weight: RepairObjective,
) -> Simulation {
    let hosts = fleets::hosts(fabrics, 8);
    let services = services
        .iter()
        .map(|(name, n, size, floor)| fleets::service(name, *n, *size, *floor));
    let services: Vec<_> = services.collect();
    let mut sizes: Vec<(SmolStr, u64)> = Vec::new();
    for (name, _) in &services {
        sizes.push((format!("{name}-model@1").into(), 16 * GB));
        sizes.push((format!("{name}-model@2").into(), 16 * GB));
    }
    let store = Store {
        rate: 16 * GB,
        host_rate: GB,
    };
    let config = fleets::config(services, []);
    let mut sim = Simulation::new(hosts, config, &sizes, store, RepairPolicy::new(weight));
    sim.run(120 * SECOND);
    sim
}

fn reconfigure(sim: &mut Simulation, change: impl FnOnce(&mut Config)) {
    let mut config = (*sim.view.config).clone();
    change(&mut config);
    sim.view.config = Arc::new(config);
}

fn model<'a>(config: &'a mut Config, service: &str) -> &'a mut eelgrassmill_config::ModelService {
    let service = config.services.get_mut(service).expect("it is configured");
    match &mut service.kind {
        ServiceKind::Model(model) => model,
        _ => panic!("a model service"),
    }
}

fn serving(sim: &Simulation, service: &str) -> Vec<GroupRow> {
    let all = sim.serving_groups().into_iter();
    all.filter(|g| g.service == service).cloned().collect()
}

/// Runs for `time` and returns the minimum number of serving groups of a service.
fn min_serving(sim: &mut Simulation, service: &str, time: Duration) -> usize {
    let end = sim.now + time;
    let mut fewest = usize::MAX;
    while sim.now < end {
        sim.step();
        fewest = fewest.min(serving(sim, service).len());
    }
    fewest
}

fn domains_of(sim: &Simulation, row: &GroupRow) -> BTreeSet<SmolStr> {
    let entry = |id: &SmolStr| sim.hosts[id].entry.fabric_domain.clone();
    row.members.iter().map(entry).collect()
}

#[gtest]
fn groups_stay_in_one_fabric_domain_and_spread_over_failure_domains() {
    let sim = sim(
        &[("a", 6, 3, 1)],
        &[(0, 8), (1, 8), (2, 8)],
        RepairObjective::Downtime,
    );
    let rows = serving(&sim, "a");
    assert_that!(rows.len(), eq(6));
    let mut per_domain: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for row in &rows {
        let domains = domains_of(&sim, row);
        expect_that!(domains.len(), eq(1));
        *per_domain
            .entry(domains.into_iter().next().unwrap())
            .or_default() += 1;
    }
    expect_that!(
        per_domain.values().copied().collect::<Vec<_>>(),
        elements_are![eq(&2), eq(&2), eq(&2)]
    );
}

#[gtest]
fn a_rollout_with_spare_capacity_loses_none() {
    let mut sim = sim(
        &[("a", 3, 2, 2)],
        &[(0, 5), (1, 5)],
        RepairObjective::Downtime,
    );
    reconfigure(&mut sim, |c| model(c, "a").version = "2".into());
    let fewest = min_serving(&mut sim, "a", 300 * SECOND);
    expect_that!(fewest, ge(3));
    expect_true!(serving(&sim, "a").iter().all(|g| g.version == "2"));
    expect_that!(serving(&sim, "a").len(), eq(3));
}

/// Without spare hosts each group has to end before it can be re-formed.
#[gtest]
fn a_rollout_without_spare_capacity_keeps_the_floor() {
    let mut sim = sim(
        &[("a", 4, 2, 3)],
        &[(0, 4), (1, 4)],
        RepairObjective::Downtime,
    );
    reconfigure(&mut sim, |c| model(c, "a").version = "2".into());
    let fewest = min_serving(&mut sim, "a", 300 * SECOND);
    expect_that!(fewest, eq(3));
    let rows = serving(&sim, "a");
    expect_that!(rows.len(), eq(4));
    expect_true!(rows.iter().all(|g| g.version == "2"));
}

/// All hosts stop answering briefly while one of two groups is being updated. The other group
/// would resume within half a second; if it were ended for the rollout now, callers would wait
/// for a full load.
#[gtest]
fn a_brief_outage_does_not_end_the_last_group_of_a_rollout() {
    let mut sim = sim(&[("a", 2, 2, 1)], &[(0, 4)], RepairObjective::Downtime);
    reconfigure(&mut sim, |c| model(c, "a").version = "2".into());
    while serving(&sim, "a").len() == 2 {
        sim.step();
    }
    let last = serving(&sim, "a").remove(0);
    let hosts: Vec<SmolStr> = sim.hosts.keys().cloned().collect();
    for host in &hosts {
        sim.inject(host, Fault::Pause(2));
    }
    expect_that!(min_serving(&mut sim, "a", 3 * SECOND), eq(0));
    let back = serving(&sim, "a").iter().any(|g| g.epoch == last.epoch);
    expect_true!(back);
    sim.run(120 * SECOND);
    let rows = serving(&sim, "a");
    expect_that!(rows.len(), eq(2));
    expect_true!(rows.iter().all(|g| g.version == "2"));
}

fn is_rollout(action: &Action) -> bool {
    let ended = |reason: &EndReason| matches!(reason, EndReason::Rollout | EndReason::Replaced);
    matches!(action, Action::EndGroup { reason, .. } if ended(reason))
}

/// The planner knows first that a group serves; the other nodes learn of it later. If the last old
/// group were ended at once, callers at these nodes would find no group.
#[gtest]
fn a_new_group_keeps_the_floor_only_once_every_node_knows_of_it() {
    for (groups, floor, hosts) in [(2, 1, 4), (2, 2, 6)] {
        let mut sim = sim(
            &[("a", groups, 2, floor)],
            &[(0, hosts)],
            RepairObjective::Downtime,
        );
        reconfigure(&mut sim, |c| model(c, "a").version = "2".into());
        let known = sim.policy.propagation_delay;
        let old = serving(&sim, "a")
            .into_iter()
            .map(|g| (g.epoch, sim.now - known));
        let mut since: BTreeMap<u64, Instant> = old.collect();
        let end = sim.now + 300 * SECOND;
        while sim.now < end {
            let now = sim.now;
            let ends = sim.step().into_iter().filter(is_rollout).count();
            if ends > 0 {
                let propagated = since.values().filter(|at| now - **at >= known).count();
                expect_that!(propagated, ge(floor as usize + ends));
            }
            let epochs: BTreeSet<u64> = serving(&sim, "a").iter().map(|g| g.epoch).collect();
            since.retain(|epoch, _| epochs.contains(epoch));
            for epoch in epochs {
                since.entry(epoch).or_insert(now);
            }
        }
        expect_true!(serving(&sim, "a").iter().all(|g| g.version == "2"));
        expect_that!(serving(&sim, "a").len(), eq(groups as usize));
    }
}

/// The last group of an old version is stuck: a host has lost its placement and ignores orders.
/// The rollout must not wait for it indefinitely.
#[gtest]
fn a_group_that_cannot_recover_does_not_block_a_rollout() {
    let mut sim = sim(&[("a", 1, 2, 1)], &[(0, 2)], RepairObjective::Downtime);
    let old = serving(&sim, "a").remove(0);
    let host = sim.hosts.get_mut(&old.members[0]).unwrap();
    host.placement = None;
    host.ignores_orders = true;
    host.set_running(0);
    reconfigure(&mut sim, |c| model(c, "a").version = "2".into());
    sim.run(30 * SECOND);
    let held = |row: &GroupRow| row.epoch == old.epoch && row.phase == GroupPhase::Formed;
    expect_false!(sim.view.groups.values().any(|g| held(&g.row)));
}

#[gtest]
fn group_count_follows_the_configuration() {
    let mut sim = sim(
        &[("a", 3, 2, 1), ("b", 1, 2, 1)],
        &[(0, 6), (1, 6)],
        RepairObjective::Downtime,
    );
    reconfigure(&mut sim, |c| model(c, "a").groups = 1);
    sim.run(60 * SECOND);
    expect_that!(serving(&sim, "a").len(), eq(1));
    reconfigure(&mut sim, |c| model(c, "a").groups = 4);
    sim.run(60 * SECOND);
    expect_that!(serving(&sim, "a").len(), eq(4));
    reconfigure(&mut sim, |c| {
        c.services.remove("b");
    });
    sim.run(120 * SECOND);
    let left: Vec<_> = sim
        .view
        .groups
        .values()
        .filter(|g| g.row.service == "b")
        .collect();
    expect_true!(left.is_empty(), "{left:?}");
}

/// An ending group keeps its hosts while requests are in progress.
#[gtest]
fn an_ending_group_is_drained_first() {
    let mut sim = sim(&[("a", 1, 2, 0)], &[(0, 3)], RepairObjective::Downtime);
    let row = serving(&sim, "a").remove(0);
    sim.hosts.get_mut(&row.members[0]).unwrap().set_running(5);
    reconfigure(&mut sim, |c| model(c, "a").groups = 0);
    sim.run(20 * SECOND);
    let holds = |f: &Simulation| f.hosts[&row.members[0]].placement.is_some();
    expect_true!(holds(&sim));
    sim.hosts.get_mut(&row.members[0]).unwrap().set_running(0);
    sim.run(2 * SECOND);
    expect_false!(holds(&sim));
}

/// A fabric domain with twelve groups fails and its hosts restart without state. The table and the
/// weight store must not be overloaded.
#[gtest]
fn the_loss_of_a_domain_causes_no_load_storm() {
    let mut sim = sim(
        &[("a", 24, 2, 8)],
        &[(0, 26), (1, 26)],
        RepairObjective::Downtime,
    );
    expect_that!(serving(&sim, "a").len(), eq(24));
    let unreachable: Vec<SmolStr> = sim
        .hosts
        .keys()
        .filter(|h| h.starts_with("h0"))
        .cloned()
        .collect();
    sim.totals = Default::default();
    for host in &unreachable {
        sim.inject(host, Fault::Restart(30));
    }
    sim.run(240 * SECOND);
    expect_that!(serving(&sim, "a").len(), eq(24));
    expect_that!(sim.totals.max_loads, le(16));
    expect_that!(sim.totals.max_transactions, le(32));
}

/// Two groups of a service each miss a host for long, and there is no spare. One of them must be
/// completed with a host of the other.
#[gtest]
fn broken_groups_are_merged_when_no_spare_is_left() {
    for weight in [RepairObjective::Downtime, RepairObjective::Stranded] {
        let mut sim = sim(&[("a", 2, 3, 0)], &[(0, 6)], weight);
        let rows = serving(&sim, "a");
        for row in &rows {
            sim.inject(&row.members[1], Fault::Pause(500));
        }
        sim.run(60 * SECOND);
        expect_that!(serving(&sim, "a").len(), eq(1));
    }
}

/// Service `b` has no group for its floor, while `a` has one more than it requires.
#[gtest]
fn the_least_needed_group_is_preempted() {
    let mut sim = sim(
        &[("a", 2, 2, 1), ("b", 1, 2, 1)],
        &[(0, 4), (1, 2)],
        RepairObjective::Downtime,
    );
    let b = serving(&sim, "b").remove(0);
    for host in &b.members {
        sim.inject(host, Fault::Die);
    }
    sim.run(20 * SECOND);
    expect_that!(serving(&sim, "a").len(), eq(2), "preempted too early");
    sim.run(60 * SECOND);
    expect_that!(serving(&sim, "b").len(), eq(1));
    expect_that!(serving(&sim, "a").len(), eq(1));
}

/// A broken group of `a` isn't expected to recover soon, and `b` lacks a group. With the repair
/// weight on stranded accelerators the healthy hosts of `a` must serve `b`; with the weight on
/// downtime they must wait for the missing hosts.
#[gtest]
fn the_weight_decides_whether_healthy_hosts_wait() {
    for (weight, expected) in [
        (RepairObjective::Downtime, 0),
        (RepairObjective::Stranded, 1),
    ] {
        let mut sim = sim(&[("a", 1, 4, 1), ("b", 1, 2, 1)], &[(0, 6)], weight);
        let (a, b) = (serving(&sim, "a").remove(0), serving(&sim, "b").remove(0));
        for host in b.members.iter().chain(&a.members[..2]) {
            sim.inject(host, Fault::Pause(900));
        }
        sim.run(100 * SECOND);
        expect_that!(serving(&sim, "b").len(), eq(expected), "{weight:?}");
    }
}

/// A warm spare replaces a host without a load.
#[gtest]
fn spares_are_warmed_in_advance() {
    let mut sim = sim(&[("a", 2, 2, 1)], &[(0, 5)], RepairObjective::Downtime);
    let spare = sim
        .hosts
        .values()
        .find(|h| h.placement.is_none())
        .expect("a spare is left");
    expect_that!(spare.warm, not(is_empty()));
    let row = serving(&sim, "a").remove(0);
    sim.inject(&row.members[0], Fault::Die);
    sim.run(5 * SECOND);
    expect_that!(serving(&sim, "a").len(), eq(2));
}

/// An order is resent until the host's report confirms it, but not in every round.
#[gtest]
fn orders_are_resent_at_an_interval() {
    let mut sim = sim(&[("a", 1, 2, 1)], &[(0, 2)], RepairObjective::Downtime);
    let row = serving(&sim, "a").remove(0);
    sim.hosts.get_mut(&row.members[0]).unwrap().ignores_orders = true;
    reconfigure(&mut sim, |c| model(c, "a").groups = 0);
    let mut leaves = 0;
    for _ in 0..40 {
        let sent =
            |a: &Action| matches!(a, Action::SendLeave { order } if order.host == row.members[0]);
        leaves += sim.step().iter().filter(|a| sent(a)).count();
    }
    // 20 s, of which the first three drain the group; at most one order per second.
    expect_that!(leaves, all!(ge(8), le(17)));
}

#[gtest]
fn the_optimal_wait_follows_earlier_recoveries() {
    let cost = 2 * SECOND;
    let mut model = RecoveryModel::new();
    for _ in 0..500 {
        model.record(FailureScope::Isolated, Recovery::Intact, 5 * SECOND);
    }
    let patient = model.optimal_wait(FailureScope::Isolated, Recovery::Intact, cost);
    expect_that!(patient, eq(Duration::ZERO), "5 s cost more than 2 s");
    expect_that!(
        model.optimal_wait(FailureScope::Isolated, Recovery::Intact, 9 * SECOND),
        eq(6 * SECOND)
    );
    for _ in 0..1500 {
        model.record_permanent(FailureScope::Isolated);
    }
    expect_that!(
        model.optimal_wait(FailureScope::Isolated, Recovery::Intact, 9 * SECOND),
        eq(Duration::ZERO)
    );
    // Isolated failures don't affect the model of correlated ones.
    let fresh =
        RecoveryModel::new().optimal_wait(FailureScope::Correlated, Recovery::Intact, 9 * SECOND);
    expect_that!(
        model.optimal_wait(FailureScope::Correlated, Recovery::Intact, 9 * SECOND),
        eq(fresh)
    );
}

/// A host is silent when its group ends. Its row may be reused only once no order that it allowed
/// can still arrive; otherwise a host that doesn't check orders could be moved out of its next
/// group.
#[gtest]
fn a_silent_host_is_freed_only_after_its_orders_expire() {
    let mut sim = sim(&[("a", 1, 2, 1)], &[(0, 4)], RepairObjective::Downtime);
    let row = serving(&sim, "a").remove(0);
    sim.inject(&row.members[1], Fault::Pause(100));
    let (mut ended, mut freed) = (None, None);
    for _ in 0..60 {
        for action in sim.step() {
            match action {
                Action::EndGroup { .. } => ended = ended.or(Some(sim.now)),
                Action::FreeHost { host, reason, .. } if host == row.members[1] => {
                    expect_that!(reason, eq(FreeReason::OrdersExpired));
                    freed = Some(sim.now);
                }
                _ => {}
            }
        }
    }
    let (ended, freed) = (ended.expect("it was ended"), freed.expect("it was freed"));
    expect_that!(freed - ended, ge(sim.policy.timing.orders_expire_after()));
}

/// Each binding and each ending raises a host's fence, so that their orders can be distinguished
/// in whatever order they arrive.
#[gtest]
fn binding_and_ending_raise_the_fence() {
    let mut sim = sim(&[("a", 2, 2, 1)], &[(0, 6)], RepairObjective::Downtime);
    let mut fences: BTreeMap<SmolStr, u64> = BTreeMap::new();
    let mut raised = 0;
    for round in 0..3 {
        reconfigure(&mut sim, |c| model(c, "a").groups = [0, 2, 1][round]);
        for _ in 0..40 {
            for host in sim.view.hosts.values() {
                fences.insert(host.row.host.clone(), host.row.fence);
            }
            let actions = sim.step();
            for action in &actions {
                let binds = matches!(action, Action::FormGroup { .. } | Action::EndGroup { .. });
                let puts = action.transaction().filter(|_| binds).map(|c| &c.puts);
                for put in puts.into_iter().flatten() {
                    if let RowValue::Host(row) = &put.value {
                        let before = fences.insert(row.host.clone(), row.fence);
                        expect_that!(before, some(lt(row.fence)), "{action:?}");
                        raised += 1;
                    }
                }
            }
        }
    }
    // Two groups of two hosts end, two are formed, one ends.
    expect_that!(raised, ge(10));
}

/// A replaced planner may still have a transaction in flight. It must fail because the planner's
/// lease row is one of its preconditions.
#[gtest]
fn planned_transactions_are_conditional_on_the_lease_and_the_planner() {
    let transaction = Transaction::new().under_lease("n1", 7, "r1", 3);
    let expected: Vec<_> = transaction
        .expect
        .iter()
        .map(|e| (e.key.as_str(), e.version))
        .collect();
    expect_that!(
        expected,
        unordered_elements_are![eq(&("node/n1", 7)), eq(&("planner/r1", 3))]
    );
}
