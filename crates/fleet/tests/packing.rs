//! Tests of how many replicas of each model a planner forms.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_fleet::{
    Command, Engine, Fleet, FleetChange, FormationPhase, Host, HostState, Membership,
    MembershipPhase, Millionths, ModelSpec, Order, Planner, PlannerTiming, Service,
};
use googletest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

use crate::support::speed;

fn model(name: &str, size: usize, share: f64) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        size,
        share: Millionths::of(share),
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_millis(1600),
        time_factor: Millionths::of(1.0),
    }
}

fn service(models: Vec<ModelSpec>) -> Service {
    Service {
        name: "writer".into(),
        max_connections: 100,
        cold: None,
        engine: Some(Engine {
            slots: 26,
            models,
            loads_per_ks: 18_000,
            max_concurrent_loads: 27,
            speed: speed(),
        }),
    }
}

fn host(fabric: usize, n: usize, staged: Option<&str>) -> Host {
    Host {
        id: format_smolstr!("d{fabric}-{n:02}"),
        started_ms: 1,
        service: "writer".into(),
        address: format_smolstr!("10.0.{fabric}.{n}:1"),
        failure_domain: "z1".into(),
        fabric: format_smolstr!("d{fabric}"),
        state: HostState::Ready,
        slots: 26,
        cold_ms: 0,
        staged: staged.into_iter().map(SmolStr::from).collect(),
        model: None,
        membership: None,
    }
}

fn fleet(hosts: Vec<Host>, now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply(FleetChange::Snapshot(hosts), now);
    fleet
}

/// Number of replicas of each model that a planner orders hosts to join within a few passes.
fn formed(fleet: &Fleet, service: &Service, cold: bool, now: Instant) -> BTreeMap<SmolStr, usize> {
    let mut planner = Planner::new(1, PlannerTiming::default(), now);
    let mut replicas = BTreeMap::new();
    for step in 0..40 {
        let at = now + Duration::from_millis(60) * step;
        for command in planner.plan(fleet, &[service], cold, at) {
            let Command::Order { order, .. } = command else {
                continue;
            };
            if let Order::Join {
                replica,
                model,
                members,
                ..
            } = order
                && members.len() > 1
            {
                replicas.insert(replica, model);
            }
        }
    }
    let mut counts = BTreeMap::new();
    for model in replicas.into_values() {
        *counts.entry(model).or_default() += 1;
    }
    counts
}

/// Guards against a model without replicas for hours after a change of planner during startup:
/// hosts answer the new planner one by one, and the first few only fit the small model.
#[gtest]
fn a_new_planner_forms_nothing_from_the_first_hosts_that_answer() {
    let began = Instant::now();
    let service = service(vec![model("large", 16, 0.5), model("small", 4, 0.5)]);
    let hosts: Vec<Host> = (0..35).map(|n| host(0, n, None)).collect();
    let fleet = fleet(hosts.clone(), began);
    let mut planner = Planner::new(2, PlannerTiming::default(), began);
    let mut sizes: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for step in 0..100 {
        let at = began + Duration::from_millis(60) * step;
        // Queried once the previous planner can send no orders; then five more answer in each pass.
        let settled = (step as usize).saturating_sub(33);
        let able = &hosts[..hosts.len().min(settled * 5)];
        for command in planner.plan(&fleet, &[&service], true, at) {
            match command {
                Command::Query { host } => {
                    let told = able.iter().find(|h| h.id == host);
                    told.map(|told| planner.on_report(told, &fleet, at));
                }
                Command::Order {
                    order:
                        Order::Join {
                            replica, members, ..
                        },
                    ..
                } => {
                    sizes.insert(replica, members.len());
                }
                Command::Order { .. } => {}
            }
        }
    }
    let of_size = |size: usize| sizes.values().filter(|s| **s == size).count();
    expect_that!(of_size(16), eq(1), "{sizes:?}");
    expect_that!(of_size(4), eq(4), "{sizes:?}");
}

/// Guards against a planner that takes over while hosts are being listed again and dissolves all
/// serving replicas.
#[gtest]
fn a_new_planner_waits_for_the_list_before_it_dissolves_incomplete_replicas() {
    let began = Instant::now();
    let service = service(vec![model("large", 16, 0.5), model("small", 4, 0.5)]);
    let member = |n: usize| Host {
        model: Some("large".into()),
        membership: Some(Membership {
            replica: "r1-1".into(),
            epoch: 1 << 20,
            rank: n,
            phase: if n == 0 {
                MembershipPhase::Open
            } else {
                MembershipPhase::Ready
            },
        }),
        ..host(0, n, Some("large"))
    };
    let hosts: Vec<Host> = (0..16).map(member).collect();
    let mut planner = Planner::new(2, PlannerTiming::default(), began);
    let mut left = Vec::new();
    for step in 0..60 {
        let at = began + Duration::from_millis(60) * step;
        // Half are listed at first, all after one second.
        let listed = if step < 17 { 8 } else { 16 };
        let fleet = fleet(hosts[..listed].to_vec(), at);
        for command in planner.plan(&fleet, &[&service], false, at) {
            match command {
                Command::Query { host } => {
                    let told = hosts.iter().find(|h| h.id == host);
                    told.map(|told| planner.on_report(told, &fleet, at));
                }
                Command::Order {
                    host,
                    order: Order::Leave { .. },
                    ..
                } => left.push(host),
                Command::Order { .. } => {}
            }
        }
    }
    expect_that!(left, is_empty());
    let open = planner
        .formations()
        .filter(|f| f.phase == FormationPhase::Open);
    expect_that!(open.count(), eq(1));
}

/// A model's share is of the work of all hosts, so a model with small replicas needs more of them.
/// If all replicas counted alike, hosts on which the large model no longer fits would be idle, 17
/// of 37 in each domain, while the small model's callers wait.
#[gtest]
fn hosts_are_divided_by_work_and_few_stay_idle() {
    let now = Instant::now();
    let cases = [
        (9, (4, 0.57), (3, 0.43)),
        (11, (6, 0.67), (3, 0.33)),
        (27, (12, 0.5), (6, 0.5)),
        (35, (16, 0.5), (4, 0.5)),
        (37, (16, 0.5), (4, 0.5)),
        (37, (16, 0.1), (4, 0.9)),
        (37, (4, 0.5), (2, 0.5)),
        (35, (8, 0.9), (2, 0.1)),
    ];
    for (each, (large, large_share), (small, small_share)) in cases {
        let models = vec![
            model("large", large, large_share),
            model("small", small, small_share),
        ];
        let service = service(models);
        let hosts = (0..6).flat_map(|d| (0..each).map(move |n| host(d, n, None)));
        let formed = formed(&fleet(hosts.collect(), now), &service, true, now);
        let count = |name: &str| formed.get(name).copied().unwrap_or(0);
        let used = count("large") * large + count("small") * small;
        let idle = 6 * each - used;
        let case = format!("{each} hosts, replicas of {large} and {small}: {formed:?}");
        // Two spares per domain, plus fewer than a small replica needs.
        expect_that!(idle, le(6 * (2 + small)), "{case}");
        expect_that!(count("large"), ge(6), "{case}");
        expect_that!(count("small"), ge(6), "{case}");
    }
}

/// After most replicas of a pool were lost at once, hosts of a domain have weights of different
/// models. The three with the small model's weights can serve immediately; waiting for the large
/// model's weights, they would be idle for 16 s.
#[gtest]
fn a_replica_that_needs_no_load_does_not_wait_for_one() {
    let now = Instant::now();
    let models = vec![model("large", 6, 0.67), model("small", 3, 0.33)];
    let service = service(models);
    let staged = |n: usize| Some(if n < 3 { "small" } else { "large" });
    let hosts = (0..8).map(|n| host(0, n, staged(n)));
    let formed = formed(&fleet(hosts.collect(), now), &service, false, now);
    expect_that!(formed.get("small"), some(eq(&1)));
}

/// A domain has lost hosts, and its free hosts have the small model's weights. All but one can
/// serve immediately; kept as spares for a second loss, they would be idle while callers are
/// rejected.
#[gtest]
fn hosts_with_the_weights_serve_rather_than_wait_as_spares() {
    let now = Instant::now();
    let service = service(vec![model("large", 12, 0.5), model("small", 6, 0.5)]);
    let formed_of = |each: usize| {
        let hosts = (0..each).map(|n| host(0, n, Some("small")));
        let formed = formed(&fleet(hosts.collect(), now), &service, false, now);
        formed.get("small").copied()
    };
    expect_that!(formed_of(13), some(eq(2)));
    expect_that!(formed_of(12), some(eq(1)));
}
