//! A text with every kind of section, and a generator of configurations.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod rows;

use std::time::Duration;

use eelgrassmill_config::{
    Config, ModelService, NodeOptions, RepairObjective, Service, ServiceKind, TargetOptions, Tenant,
};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

pub(crate) const TEXT: &str = "\
# The reply service and what it needs.
[fleet]
repair = stranded

[tenant baths]
token_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
weight = 3

[service status]
kind = plain
targets = plain-1, plain-2

[service reply]
kind = model
model = lm-70b
version = v1
groups = 4
hosts_per_group = 2
depends_on = status
timeout = 90s

[service reply-formal]
kind = adapter
base = reply
adapter = formal

[target engine-1]
checks_orders = yes

[node node-a]
drain = yes
";

/// A property test runner with a fixed seed; `EELGRASSMILL_CASES` sets the number of cases.
pub(crate) fn runner(seed: u64) -> TestRunner {
    let cases = std::env::var("EELGRASSMILL_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    TestRunner::new(ProptestConfig {
        cases: cases.unwrap_or(200),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn duration() -> impl Strategy<Value = Duration> {
    (1u64..3_600).prop_map(Duration::from_secs)
}

fn model() -> impl Strategy<Value = ServiceKind> {
    (0u32..9, 1u32..65, 1u32..99, 0u32..99).prop_map(|(groups, hosts, slots, urgent)| {
        ServiceKind::Model(ModelService {
            model: "m".into(),
            version: "v2".into(),
            groups,
            hosts_per_group: hosts,
            floor: groups / 2,
            slots,
            urgent_slots: urgent % slots,
        })
    })
}

fn plain() -> impl Strategy<Value = ServiceKind> {
    (prop::collection::btree_set("h[0-9]{1,3}", 0..5), 1u32..99).prop_map(|(targets, slots)| {
        ServiceKind::Plain {
            targets: targets.into_iter().map(Into::into).collect(),
            slots,
        }
    })
}

fn service(index: usize) -> impl Strategy<Value = Service> {
    (
        prop_oneof![model(), plain()],
        any::<bool>(),
        duration(),
        duration(),
        1u32..500,
    )
        .prop_map(
            move |(kind, repeatable, keep_answers, timeout, max_queue)| Service {
                name: format!("s{index}").into(),
                kind,
                // Depends only on a lower index, so there are no cycles.
                depends_on: index
                    .checked_sub(1)
                    .map(|i| format!("s{i}").into())
                    .into_iter()
                    .collect(),
                repeatable,
                keep_answers,
                timeout,
                max_queue,
            },
        )
}

fn tenant(index: usize) -> impl Strategy<Value = Tenant> {
    (1u32..10_000, 1u32..10_000).prop_map(move |(weight, max_queue)| Tenant {
        name: format!("t{index}").into(),
        token_sha256: format!("{index:064x}").into(),
        weight,
        max_queue,
    })
}

pub(crate) fn config() -> impl Strategy<Value = Config> {
    let services = (0usize..5).prop_flat_map(|n| (0..n).map(service).collect::<Vec<_>>());
    let tenants = (0usize..4).prop_flat_map(|n| (0..n).map(tenant).collect::<Vec<_>>());
    let targets = prop::collection::btree_map("h[0-9]", (any::<bool>(), any::<bool>()), 0..4);
    let nodes = prop::collection::btree_map("n[0-9]", any::<bool>(), 0..3);
    (any::<bool>(), services, tenants, targets, nodes).prop_map(
        |(stranded, services, tenants, targets, nodes)| Config {
            repair: if stranded {
                RepairObjective::Stranded
            } else {
                RepairObjective::Downtime
            },
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            tenants: tenants.into_iter().map(|t| (t.name.clone(), t)).collect(),
            targets: targets
                .into_iter()
                .map(|(h, (checks_orders, drain))| {
                    (
                        h.into(),
                        TargetOptions {
                            checks_orders,
                            drain,
                        },
                    )
                })
                .collect(),
            nodes: nodes
                .into_iter()
                .map(|(n, drain)| (n.into(), NodeOptions { drain }))
                .collect(),
        },
    )
}
