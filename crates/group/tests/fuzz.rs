//! Random faults against the real leases, planner and evidence, checked by a simple oracle.
//!
//! `GROUP_FUZZ_CASES=2000 cargo test -p eelgrassmill-group --test fuzz` runs longer.

#[path = "../examples/repair/fleets.rs"]
#[allow(dead_code)]
mod fleets;
#[path = "../examples/repair/sim.rs"]
#[allow(dead_code)]
mod sim;
mod support;

use std::time::Duration;

use eelgrassmill_base::{HostState, Order, OrderKind, Placement};
use eelgrassmill_config::{Config, RepairObjective, ServiceKind};
use eelgrassmill_group::{GroupPhase, GroupRow, RepairPolicy};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use smol_str::SmolStr;

use crate::sim::Fault;
use crate::support::cluster::{Cluster, TableFault};

const HOSTS: usize = 7;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Host(usize, HostEvent),
    PauseNode(usize),
    ResumeNode(usize),
    TableFault(u8, u64),
    EvidenceDelay(u64),
    Partition(usize, usize),
    Heal,
    Leaving(usize, bool),
    Version(bool),
}

#[derive(Clone, Debug)]
enum HostEvent {
    Pause(u64),
    Restart(u64),
}

/// Generates the events only; the cluster's oracle checks the invariants.
struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        let host = prop_oneof![
            (1u64..12).prop_map(HostEvent::Pause),
            (1u64..6).prop_map(HostEvent::Restart),
        ];
        prop_oneof![
            6 => (100u64..6000).prop_map(Event::Advance),
            3 => (0..HOSTS, host).prop_map(|(h, e)| Event::Host(h, e)),
            1 => (0usize..2).prop_map(Event::PauseNode),
            2 => (0usize..2).prop_map(Event::ResumeNode),
            2 => (0u8..4, 100u64..9000).prop_map(|(w, ms)| Event::TableFault(w, ms)),
            1 => (0u64..3000).prop_map(Event::EvidenceDelay),
            1 => (0usize..2, 0..HOSTS).prop_map(|(n, h)| Event::Partition(n, h)),
            1 => Just(Event::Heal),
            1 => (0..HOSTS, any::<bool>()).prop_map(|(h, leaving)| Event::Leaving(h, leaving)),
            1 => any::<bool>().prop_map(Event::Version),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Event) {}
}

struct Invariants;

impl StateMachineTest for Invariants {
    type SystemUnderTest = Cluster;
    type Reference = Events;

    fn init_test(_: &()) -> Cluster {
        let mut hosts = fleets::hosts(&[(0, 4), (1, 3)], 8);
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
        let served = cluster.run_until(Duration::from_secs(30), |c| c.served().len() == 3);
        assert!(served, "groups were not formed");
        cluster
    }

    fn apply(mut cluster: Cluster, _: &(), event: Event) -> Cluster {
        apply_event(&mut cluster, event);
        cluster.step(Duration::from_millis(100));
        cluster
    }

    fn check_invariants(_: &Cluster, _: &()) {}

    /// Once all faults have ended, all groups must serve the configured version again.
    fn teardown(mut cluster: Cluster, _: ()) {
        cluster.table.fault = None;
        cluster.evidence_delay = Duration::from_millis(20);
        cluster.partition = None;
        for host in 0..HOSTS {
            set_leaving(&mut cluster, host, false);
        }
        for n in 0..2 {
            if cluster.nodes[n].paused {
                cluster.resume(n);
            }
        }
        let timeout = Duration::from_secs(180);
        let served = cluster.run_until(timeout, |c| c.served().len() >= 3 && is_current(c));
        let rows: Vec<_> = cluster.table.groups().collect();
        assert!(
            served,
            "groups not served in time: {:?}, rows {rows:#?}",
            cluster.served()
        );
    }
}

fn apply_event(cluster: &mut Cluster, event: Event) {
    match event {
        Event::Advance(ms) => cluster.run(Duration::from_millis(ms)),
        Event::Host(host, event) => inject_fault(cluster, host, event),
        Event::PauseNode(n) if !cluster.nodes[n].paused => {
            let order = any_join(cluster);
            cluster.pause_with_order(n, order);
        }
        Event::ResumeNode(n) if cluster.nodes[n].paused => cluster.resume(n),
        Event::PauseNode(_) | Event::ResumeNode(_) => {}
        Event::TableFault(kind, ms) => {
            cluster.table.fault = match kind {
                0 => None,
                1 => Some(TableFault::ResponseLost),
                2 => Some(TableFault::Delayed(Duration::from_millis(ms))),
                _ => Some(TableFault::Unavailable),
            }
        }
        Event::EvidenceDelay(ms) => cluster.evidence_delay = Duration::from_millis(ms),
        Event::Partition(n, host) => {
            let host = cluster.hosts.keys().nth(host).cloned();
            cluster.partition = host.map(|h| (n, h));
        }
        Event::Leaving(host, leaving) => set_leaving(cluster, host, leaving),
        Event::Version(second) => cluster.configure(|c| set_version(c, second)),
        Event::Heal => {
            cluster.partition = None;
            cluster.table.fault = None;
        }
    }
}

fn is_current(cluster: &Cluster) -> bool {
    let wanted = |row: &GroupRow| match cluster.config().services.get(&row.service).map(|s| &s.kind)
    {
        // With a floor equal to the group count and no spare capacity, the rollout can't proceed.
        Some(ServiceKind::Model(model)) => {
            model.version == row.version || model.floor == model.groups
        }
        _ => false,
    };
    let mut formed = cluster
        .table
        .groups()
        .filter(|g| g.phase == GroupPhase::Formed);
    formed.all(wanted)
}

fn set_leaving(cluster: &mut Cluster, host: usize, leaving: bool) {
    let state = if leaving {
        HostState::Leaving
    } else {
        HostState::Live
    };
    if let Some(host) = cluster.hosts.values_mut().nth(host) {
        host.entry.state = state;
    }
}

fn set_version(config: &mut Config, second: bool) {
    for service in config.services.values_mut() {
        if let ServiceKind::Model(model) = &mut service.kind {
            model.version = if second { "2" } else { "1" }.into();
        }
    }
}

fn inject_fault(cluster: &mut Cluster, host: usize, event: HostEvent) {
    let now = cluster.now;
    let fault = match event {
        HostEvent::Pause(s) => Fault::Pause(s),
        HostEvent::Restart(s) => Fault::Restart(s),
    };
    if let Some(host) = cluster.hosts.values_mut().nth(host).filter(|h| h.is_up()) {
        host.inject(fault, now);
    }
}

/// A `Join` that the table currently allows, to be sent late by a paused node.
fn any_join(cluster: &Cluster) -> Option<Order> {
    let group = cluster
        .table
        .groups()
        .find(|g| g.phase == GroupPhase::Formed)?;
    let host = group.members.last()?;
    let fence = cluster.hosts[host].fence;
    Some(Order {
        host: host.clone(),
        kind: OrderKind::Join,
        placement: Placement {
            group: group.group.clone(),
            epoch: group.epoch,
            model: group.model.clone(),
            version: group.version.clone(),
            members: group.members.clone(),
        },
        fence,
        from: "n0".into(),
    })
}

fn cases() -> u32 {
    let asked = std::env::var("GROUP_FUZZ_CASES").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(48)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 300,
        .. ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(sequential 1..40 => Invariants);
}
