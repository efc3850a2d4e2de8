//! Reports on the demand for models, from the schedulers to the planner.
//!
//! Nodes publish the demand at their schedulers, and each node keeps the reports of all, so that
//! any of them can begin as the planner. [`DemandTable`] has the policy.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId};
use eelgrassmill_fleet::{DemandReport, DemandSnapshot, DemandTable, ModelDemand, OpenHead};
use eelgrassmill_peer::{Item, ItemKey, ModelDemand as DemandItem};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::Platform;
use crate::scheduler::{self, Scope};

/// The scopes that this node reports on.
pub(crate) type ReportedScopes = BTreeSet<Scope>;

/// A scheduler's measurement.
#[derive(Clone, Debug)]
pub(crate) struct Measurement {
    pub(crate) scope: Scope,
    pub(crate) demand: ModelDemand,
    /// Slots of its heads.
    pub(crate) slots: usize,
    /// When it got its last request.
    pub(crate) last_request: Instant,
}

impl Measurement {
    pub(crate) fn new(
        scope: &Scope,
        heads: &[OpenHead],
        (demand, last_request): (ModelDemand, Instant),
    ) -> Measurement {
        Measurement {
            scope: scope.clone(),
            demand,
            slots: heads.iter().map(|h| h.slots).sum(),
            last_request,
        }
    }

    fn report(&self, now: Instant) -> DemandReport {
        DemandReport {
            demand: self.demand,
            slots: self.slots as f64,
            measured_at: now,
            last_request: self.last_request,
        }
    }

    fn item(&self, node_age: Duration, now: Instant) -> DemandItem {
        let idle = now.saturating_duration_since(self.last_request);
        DemandItem {
            scope: self.scope.clone(),
            measured_s: u32::try_from(node_age.as_secs()).unwrap_or(u32::MAX),
            idle_ms: u32::try_from(idle.as_millis()).unwrap_or(u32::MAX),
            slots: thousandths(self.slots as f64),
            used: thousandths(self.demand.used),
            wanted: thousandths(self.demand.wanted),
            peak: thousandths(self.demand.peak),
            rejected_per_second: thousandths(self.demand.rejected_per_second),
            prompt_tokens_per_second: thousandths(self.demand.prompt_tokens_per_second),
        }
    }
}

/// Publishes the demand at this node's schedulers, and withdraws that of schedulers that ended.
pub(crate) fn publish<P: Platform>(core: &Core<P>, reported: &mut ReportedScopes, now: Instant) {
    let Some(peer) = core.peer() else { return };
    let measured = scheduler::measure_demand(core, now);
    let current: ReportedScopes = measured.iter().map(|m| m.scope.clone()).collect();
    let ended: ReportedScopes = reported.difference(&current).cloned().collect();
    record_own(core, &measured, &ended, now);
    for scope in ended {
        peer.withdraw(&ItemKey::ModelDemand(scope));
    }
    let age = now.saturating_duration_since(core.started_at);
    for measurement in measured {
        peer.publish(Item::ModelDemand(measurement.item(age, now)));
    }
    *reported = current;
}

fn record_own<P: Platform>(
    core: &Core<P>,
    measured: &[Measurement],
    ended: &ReportedScopes,
    now: Instant,
) {
    let me = &core.cfg.node;
    let mut table = locked(&core.demand);
    ended.iter().for_each(|scope| table.remove(me, scope));
    for measurement in measured {
        table.on_report(me, &measurement.scope, measurement.report(now));
    }
}

/// Records another node's report, which was measured at `as_of`.
pub(crate) fn on_item<P: Platform>(
    core: &Core<P>,
    origin: &NodeId,
    item: &DemandItem,
    as_of: Instant,
) {
    let demand = ModelDemand {
        used: from_thousandths(item.used),
        wanted: from_thousandths(item.wanted),
        peak: from_thousandths(item.peak),
        rejected_per_second: from_thousandths(item.rejected_per_second),
        prompt_tokens_per_second: from_thousandths(item.prompt_tokens_per_second),
    };
    let idle = Duration::from_millis(item.idle_ms.into());
    let report = DemandReport {
        demand,
        slots: from_thousandths(item.slots),
        measured_at: as_of,
        last_request: as_of.checked_sub(idle).unwrap_or(as_of),
    };
    locked(&core.demand).on_report(origin, &item.scope, report);
}

/// The known demand for each model of the configuration.
pub(crate) fn snapshot<P: Platform>(core: &Core<P>, now: Instant) -> DemandSnapshot {
    let catalog = core.catalog();
    let mut snapshot = DemandSnapshot::default();
    for service in catalog.services() {
        let models = service.engine.iter().flat_map(|e| &e.models);
        for model in models {
            let domains = busy_domains(core, &service.name, &model.name);
            let table = locked(&core.demand);
            let demand = known_demand(&table, &service.name, &model.name, &domains, now);
            if let Some(demand) = demand {
                snapshot.insert(service.name.clone(), model.name.clone(), demand);
            }
        }
    }
    snapshot
}

fn known_demand(
    table: &DemandTable,
    service: &str,
    model: &str,
    busy_domains: &BTreeSet<FailureDomain>,
    now: Instant,
) -> Option<ModelDemand> {
    let covered = table.covers(service, model, busy_domains.iter());
    covered.then(|| table.demand(service, model, now))?
}

/// The failure domains in which heads of a model have requests.
fn busy_domains<P: Platform>(
    core: &Core<P>,
    service: &str,
    model: &str,
) -> BTreeSet<FailureDomain> {
    let heads = locked(&core.heads);
    let busy = heads.of_model(service, model).filter(|h| h.load() > 0);
    busy.map(|h| h.failure_domain.clone()).collect()
}

fn thousandths(value: f64) -> u64 {
    (value * 1000.0).round() as u64
}

fn from_thousandths(value: u64) -> f64 {
    value as f64 / 1000.0
}
