//! The fleets that the scripts run on.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassmill_base::ServiceName;
use eelgrassmill_config::{
    Config, ModelService, RepairObjective, Service, ServiceKind, TargetOptions,
};
use eelgrassmill_group::RepairPolicy;
use smol_str::{SmolStr, format_smolstr};

use crate::sim::{FakeHost, Simulation, Store, entry};

const GB: u64 = 1_000_000_000;

/// A model service for a configuration.
pub(crate) fn service(name: &str, groups: u32, size: u32, floor: u32) -> (ServiceName, Service) {
    let model = ModelService {
        model: format_smolstr!("{name}-model"),
        version: "1".into(),
        groups,
        hosts_per_group: size,
        floor,
        slots: 8,
        urgent_slots: 1,
    };
    let service = Service {
        name: name.into(),
        kind: ServiceKind::Model(model),
        depends_on: Vec::new(),
        repeatable: true,
        keep_answers: Duration::from_secs(60),
        timeout: Duration::from_secs(60),
        max_queue: 100,
    };
    (name.into(), service)
}

/// A configuration of these services; `checking` hosts check fencing tokens.
pub(crate) fn config<'a>(
    services: impl IntoIterator<Item = (ServiceName, Service)>,
    checking: impl IntoIterator<Item = &'a str>,
) -> Config {
    let rule = |host: &str| {
        let checks_orders = true;
        (
            host.into(),
            TargetOptions {
                checks_orders,
                drain: false,
            },
        )
    };
    Config {
        repair: RepairObjective::Downtime,
        services: services.into_iter().collect(),
        tenants: BTreeMap::new(),
        nodes: BTreeMap::new(),
        targets: checking.into_iter().map(rule).collect(),
    }
}

/// Hosts `hFABRIC-N`; every other one checks fencing tokens.
pub(crate) fn hosts(fabrics: &[(usize, usize)], accelerators: u32) -> Vec<FakeHost> {
    let mut all = Vec::new();
    for (fabric, (failure, count)) in fabrics.iter().enumerate() {
        for n in 0..*count {
            let id = format!("h{fabric}-{n:02}");
            let line = entry(
                &id,
                &format!("d{failure}"),
                &format!("f{fabric}"),
                accelerators,
            );
            all.push(FakeHost::new(line, n % 2 == 0));
        }
    }
    all
}

/// A fleet to run scripts on.
pub(crate) struct Fleet {
    pub(crate) name: &'static str,
    /// Failure domain and host count of each fabric domain.
    pub(crate) fabrics: Vec<(usize, usize)>,
    pub(crate) accelerators: u32,
    pub(crate) group_size: usize,
    pub(crate) services: Vec<(ServiceName, Service)>,
    pub(crate) sizes: Vec<(SmolStr, u64)>,
    pub(crate) store: Store,
}

/// 55 engines in 3 failure domains of 2 fabric domains: 12 groups of 4 and 7 spares.
pub(crate) fn today() -> Fleet {
    Fleet {
        name: "today",
        fabrics: vec![(0, 9), (0, 9), (1, 9), (1, 9), (2, 9), (2, 10)],
        accelerators: 8,
        group_size: 4,
        services: vec![service("reply", 9, 4, 6), service("booking", 3, 4, 1)],
        sizes: vec![
            ("reply-model@1".into(), 160 * GB),
            ("booking-model@1".into(), 80 * GB),
        ],
        store: Store {
            rate: 4 * GB,
            host_rate: GB,
        },
    }
}

/// 110 groups of 8 over 6 failure domains with 880 hosts and no spares.
pub(crate) fn full() -> Fleet {
    let mut fabrics = Vec::new();
    for failure in 0..6 {
        let last = if failure == 5 { 64 } else { 48 };
        fabrics.extend([(failure, 48), (failure, 48), (failure, last)]);
    }
    Fleet {
        name: "full",
        fabrics,
        accelerators: 4,
        group_size: 8,
        services: vec![service("reply", 80, 8, 60), service("draft", 30, 8, 20)],
        sizes: vec![
            ("reply-model@1".into(), 640 * GB),
            ("draft-model@1".into(), 320 * GB),
        ],
        store: Store {
            rate: 20 * GB,
            host_rate: 2 * GB,
        },
    }
}

/// The same 110 groups with 3 spares in each of the 18 fabric domains.
pub(crate) fn with_spares() -> Fleet {
    let mut fleet = full();
    fleet.name = "spared";
    for (_, count) in &mut fleet.fabrics {
        *count += 3;
    }
    fleet
}

impl Fleet {
    /// A fleet with `groups` groups of 8 and one spare for every 24 hosts.
    pub(crate) fn of_groups(groups: usize) -> Fleet {
        let mut fleet = full();
        fleet.fabrics = (0..groups.div_ceil(3)).map(|i| (i % 6, 25)).collect();
        fleet.services = vec![service("reply", groups as u32, 8, 1)];
        fleet
    }

    /// The fleet with all groups whole, after up to ten minutes for spares to load.
    pub(crate) fn start(&self, policy: RepairPolicy) -> Simulation {
        let mut sim = self.form(policy);
        for _ in 0..1200 {
            sim.step();
            if sim.is_idle() {
                break;
            }
        }
        sim.totals = Default::default();
        sim
    }

    /// The fleet with all groups newly formed.
    pub(crate) fn form(&self, policy: RepairPolicy) -> Simulation {
        let hosts = hosts(&self.fabrics, self.accelerators);
        let ids: Vec<SmolStr> = hosts.iter().map(|h| h.entry.id.clone()).collect();
        let checking = ids.iter().enumerate().filter(|(i, _)| i % 2 == 0);
        let config = config(
            self.services.iter().cloned(),
            checking.map(|(_, id)| id.as_str()),
        );
        let mut sim = Simulation::new(hosts, config, &self.sizes, self.store, policy);
        self.form_instantly(&mut sim);
        sim
    }

    /// Forms the groups with instant, unlimited loads, then restores the usual rates and limits.
    fn form_instantly(&self, sim: &mut Simulation) {
        let rates = sim.store;
        let limits = (sim.policy.max_loads, sim.policy.max_transactions);
        let strategy = sim.policy.strategy;
        sim.policy.strategy = eelgrassmill_group::RepairStrategy::WaitForReturn;
        sim.store.rate = u64::MAX / 1_000_000;
        sim.store.host_rate = sim.store.rate;
        sim.view.host_rate = 0;
        (sim.policy.max_loads, sim.policy.max_transactions) = (10_000, 10_000);
        sim.run(Duration::from_secs(20));
        sim.store = rates;
        sim.view.host_rate = rates.host_rate;
        (sim.policy.max_loads, sim.policy.max_transactions) = limits;
        sim.policy.strategy = strategy;
    }
}
