//! Target numbers of replicas, computed from measured demand.
//!
//! Responds to demand that differs from the configured shares: one model wants a multiple of its
//! slots while another has replicas that are idle.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, FailureDomain, ModelName, ServiceName, value};

use crate::catalog::{ModelSpec, Service};
use crate::demand::{DemandSnapshot, ModelDemand};
use crate::planner::Planner;
use crate::planner::placement::ServiceView;

/// Fraction of a replica's slots that peak demand may use.
const PEAK_USE: f64 = 0.85;
/// A model whose wanted slots exceed this fraction of its slots is short.
const SHORT_USE: f64 = 0.9;
/// How long a model must have been short.
const SHORT_TIME: Duration = Duration::from_secs(1);
/// How long demand must have been known before it determines targets.
const MIN_DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time over which the smallest shortfall counts. An overload of 1 s counts as none.
const SHORTFALL_WINDOW: Duration = Duration::from_secs(2);
/// Weight of a model below its floor in the choice of the model to form, so that its reserve goes
/// before the peak demand of others.
const FLOOR_WEIGHT: f64 = 2.0;
/// Fewest replicas of a model, so that one is left when one is lost.
const MIN_REPLICAS: usize = 2;

value! { copy
    /// Kind of a step by which capacity follows demand.
    pub enum CapacityStepKind {
        /// Spares of a fabric domain formed a replica of a short model.
        Spare,
        /// A replica was given up to replace a lost member of another model's replica.
        Reclaim,
        /// Survivors of a lost replica formed a replica of a short model.
        Survivors,
        /// Idle replicas were given up for a short model.
        Convert,
    }

    /// Target number of replicas of a model.
    pub(super) struct Target {
        /// Replicas that meet the mean demand, with the reserve.
        pub(super) floor: usize,
        /// Replicas that meet the peak demand, with the reserve, as far as the hosts suffice.
        pub(super) replicas: usize,
    }
}

value! {
    /// A step by which capacity followed demand.
    pub struct CapacityStep {
        /// Its kind.
        pub kind: CapacityStepKind,
        /// The service.
        pub service: ServiceName,
        /// The model that gains the replica or the member.
        pub model: ModelName,
        /// The fabric domain.
        pub fabric: FabricDomain,
    }
}

impl CapacityStepKind {
    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            CapacityStepKind::Spare => "spare",
            CapacityStepKind::Reclaim => "reclaim",
            CapacityStepKind::Survivors => "survivors",
            CapacityStepKind::Convert => "convert",
        }
    }
}

/// Target and demand of a model.
#[derive(Clone, Debug)]
pub struct CapacityTarget {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// Target number of replicas.
    pub replicas: usize,
    /// Slots that its requests want.
    pub wanted_slots: f64,
}

/// Number of hosts of each fabric domain.
type DomainHosts = BTreeMap<(FailureDomain, FabricDomain), usize>;

/// What a model needs, as input of its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelNeed {
    /// Hosts per replica.
    pub(super) size: usize,
    /// Slots per replica.
    pub(super) slots: f64,
    /// Slots wanted on average.
    pub(super) mean: f64,
    /// Slots wanted at the recent peak.
    pub(super) peak: f64,
    /// Failure domains with hosts for a replica.
    pub(super) domains: usize,
}

impl ModelNeed {
    /// Fewest replicas, whatever the demand.
    fn fewest(&self) -> usize {
        self.domains.max(MIN_REPLICAS)
    }

    /// Replicas that meet the mean demand after the loss of one replica or of one failure domain.
    fn floor(&self) -> usize {
        let mean = replicas_for(self.mean, self.slots);
        let spread = match self.domains {
            0 | 1 => mean,
            n => (mean * n).div_ceil(n - 1),
        };
        spread.max(mean + 1).max(self.fewest())
    }

    fn target(&self) -> usize {
        let peak = replicas_for(self.peak, self.slots * PEAK_USE);
        (peak + 1).max(self.floor())
    }

    /// Unserved peak demand per host, with this many replicas.
    fn unserved(&self, replicas: usize) -> f64 {
        let lacking = self.peak / PEAK_USE - replicas as f64 * self.slots;
        lacking.clamp(0.0, self.slots) / self.size as f64
    }
}

/// Replicas with `slots` each that have at least `wanted` slots.
pub(super) fn replicas_for(wanted: f64, slots: f64) -> usize {
    // Casts from floats saturate.
    (wanted / slots.max(1.0)).ceil().max(0.0) as usize
}

/// Targets of all models of a service that has `hosts` for them.
pub(super) fn targets(needs: &[ModelNeed], hosts: usize) -> Vec<Target> {
    let wanted: Vec<Target> = needs
        .iter()
        .map(|n| Target {
            floor: n.floor(),
            replicas: n.target(),
        })
        .collect();
    let needed = |count: fn(&Target) -> usize| {
        let sizes = needs.iter().map(|n| n.size);
        sizes
            .zip(&wanted)
            .map(|(size, t)| size * count(t))
            .sum::<usize>()
    };
    if needed(|t| t.replicas) <= hosts {
        return wanted;
    }
    let mut left = hosts;
    let mut counts = vec![0; needs.len()];
    // The fewest replicas first, then the floors in proportion.
    let met = |i: usize, counts: &[usize]| {
        let is_fewest = counts[i] >= needs[i].fewest();
        (is_fewest, counts[i] as f64 / wanted[i].floor as f64)
    };
    let compare = |a: (bool, f64), b: (bool, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
    loop {
        let lacking = |i: &usize| counts[*i] < wanted[*i].floor && needs[*i].size <= left;
        let next = (0..needs.len()).filter(lacking);
        let Some(i) = next.min_by(|a, b| compare(met(*a, &counts), met(*b, &counts))) else {
            break;
        };
        counts[i] += 1;
        left -= needs[i].size;
    }
    let floors = counts.clone();
    loop {
        let lacking = |i: &usize| counts[*i] < wanted[*i].replicas && needs[*i].size <= left;
        let next = (0..needs.len()).filter(lacking);
        let unserved = |i: usize| needs[i].unserved(counts[i]);
        let Some(i) = next.max_by(|a, b| unserved(*a).total_cmp(&unserved(*b))) else {
            break;
        };
        counts[i] += 1;
        left -= needs[i].size;
    }
    let granted = floors.into_iter().zip(counts);
    granted
        .map(|(floor, replicas)| Target { floor, replicas })
        .collect()
}

/// Demand and its history, and the targets that follow from it.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityState {
    demand: Option<DemandSnapshot>,
    services: BTreeMap<ServiceName, ServiceCapacity>,
    steps: Vec<CapacityStep>,
}

#[derive(Clone, Debug)]
struct ServiceCapacity {
    /// Since when the demand of all models has been known.
    known_since: Instant,
    /// Empty until there are targets.
    models: BTreeMap<ModelName, ModelCapacity>,
}

#[derive(Clone, Debug)]
struct ModelCapacity {
    target: Target,
    demand: ModelDemand,
    short_since: Option<Instant>,
    /// Slots wanted beyond [`SHORT_USE`], of the last [`SHORTFALL_WINDOW`] and one value before.
    shortfalls: VecDeque<(Instant, f64)>,
}

impl CapacityState {
    fn model(&self, service: &str, model: &str) -> Option<&ModelCapacity> {
        self.services.get(service)?.models.get(model)
    }

    pub(super) fn target(&self, service: &str, model: &str) -> Option<Target> {
        self.model(service, model).map(|m| m.target)
    }

    pub(super) fn demand(&self, service: &str, model: &str) -> Option<ModelDemand> {
        self.model(service, model).map(|m| m.demand)
    }

    /// Whether the service has targets.
    pub(super) fn is_known(&self, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|s| !s.models.is_empty())
    }

    /// The smallest shortfall of the last [`SHORTFALL_WINDOW`], in slots.
    pub(super) fn lasting_shortfall(&self, service: &str, model: &str, now: Instant) -> f64 {
        let Some(model) = self.model(service, model) else {
            return 0.0;
        };
        let oldest = model.shortfalls.front();
        let covered =
            oldest.is_some_and(|(at, _)| now.saturating_duration_since(*at) >= SHORTFALL_WINDOW);
        let least = model.shortfalls.iter().map(|(_, slots)| *slots);
        if covered {
            least.fold(f64::INFINITY, f64::min)
        } else {
            0.0
        }
    }

    /// Whether a model has been short for [`SHORT_TIME`].
    pub(super) fn is_short(&self, service: &str, model: &str, now: Instant) -> bool {
        let since = self.model(service, model).and_then(|m| m.short_since);
        since.is_some_and(|since| now.saturating_duration_since(since) >= SHORT_TIME)
    }

    pub(super) fn record(
        &mut self,
        kind: CapacityStepKind,
        service: &ServiceName,
        model: &ModelName,
        fabric: &FabricDomain,
    ) {
        self.steps.push(CapacityStep {
            kind,
            service: service.clone(),
            model: model.clone(),
            fabric: fabric.clone(),
        });
    }

    /// Records since when the demand of all models of each service has been known.
    pub(super) fn track(&mut self, services: &[&Service], now: Instant) {
        self.services
            .retain(|name, _| services.iter().any(|s| s.name == *name));
        for service in services {
            let models = service.engine.iter().flat_map(|e| &e.models);
            let demand = self.demand.as_ref();
            let known = |m: &ModelSpec| {
                let demand = demand.and_then(|d| d.get(&service.name, &m.name));
                demand.is_some_and(is_valid)
            };
            if service.engine.is_some() && models.into_iter().all(known) {
                let new = ServiceCapacity {
                    known_since: now,
                    models: BTreeMap::new(),
                };
                self.services.entry(service.name.clone()).or_insert(new);
            } else {
                self.services.remove(&service.name);
            }
        }
    }
}

fn is_valid(demand: &ModelDemand) -> bool {
    let values = [demand.used, demand.wanted, demand.peak];
    values.iter().all(|v| v.is_finite() && *v >= 0.0)
}

impl ModelCapacity {
    fn update(&mut self, slots: f64, now: Instant) {
        let shortfall = (self.demand.wanted - SHORT_USE * slots).max(0.0);
        if shortfall > 0.0 {
            self.short_since.get_or_insert(now);
        } else {
            self.short_since = None;
        }
        self.shortfalls.push_back((now, shortfall));
        let is_past =
            |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) >= SHORTFALL_WINDOW;
        while self.shortfalls.get(1).is_some_and(is_past) {
            self.shortfalls.pop_front();
        }
    }
}

impl Planner {
    /// Sets the demand of all models, or `None` if it is not followed. To be called before each
    /// step.
    pub fn set_demand(&mut self, demand: Option<DemandSnapshot>) {
        self.capacity.demand = demand;
    }

    /// The steps taken since the last call.
    pub fn take_capacity_steps(&mut self) -> Vec<CapacityStep> {
        std::mem::take(&mut self.capacity.steps)
    }

    /// Targets and demand of the models whose capacity follows demand.
    pub fn capacity_targets(&self) -> impl Iterator<Item = CapacityTarget> {
        self.capacity.services.iter().flat_map(|(service, known)| {
            known.models.iter().map(|(model, capacity)| CapacityTarget {
                service: service.clone(),
                model: model.clone(),
                replicas: capacity.target.replicas,
                wanted_slots: capacity.demand.wanted,
            })
        })
    }

    /// Computes the targets of a service, once its demand has been known for [`MIN_DEMAND_TIME`].
    pub(super) fn update_targets(&mut self, view: &ServiceView<'_>) {
        let known = self.capacity.services.get(&view.service.name);
        let since = known.map(|s| s.known_since);
        let is_settled =
            |since: Instant| view.now.saturating_duration_since(since) >= MIN_DEMAND_TIME;
        if !since.is_some_and(is_settled) {
            return;
        }
        let demands: Vec<ModelDemand> = self.demands(view);
        if demands.len() != view.engine.models.len() {
            return;
        }
        let (hosts, domains) = self.usable_hosts(view);
        let needs: Vec<ModelNeed> = view
            .engine
            .models
            .iter()
            .zip(&demands)
            .map(|(m, d)| {
                let fits = |(_, hosts): &(_, &usize)| **hosts >= m.size;
                let failure_domains: BTreeSet<_> =
                    domains.iter().filter(fits).map(|((z, _), _)| z).collect();
                ModelNeed {
                    size: m.size.max(1),
                    slots: view.engine.slots as f64,
                    mean: d.wanted,
                    peak: d.peak.max(d.wanted),
                    domains: failure_domains.len(),
                }
            })
            .collect();
        let targets = targets(&needs, hosts);
        for ((model, demand), target) in view.engine.models.iter().zip(demands).zip(targets) {
            let replicas = self.serving_count(view, model, None);
            let slots = (replicas * view.engine.slots) as f64;
            let Some(service) = self.capacity.services.get_mut(&view.service.name) else {
                return;
            };
            let new = || ModelCapacity {
                target,
                demand,
                short_since: None,
                shortfalls: VecDeque::new(),
            };
            let capacity = service.models.entry(model.name.clone()).or_insert_with(new);
            (capacity.target, capacity.demand) = (target, demand);
            capacity.update(slots, view.now);
        }
    }

    fn demands(&self, view: &ServiceView<'_>) -> Vec<ModelDemand> {
        let Some(demand) = &self.capacity.demand else {
            return Vec::new();
        };
        let models = view.engine.models.iter();
        models
            .filter_map(|m| demand.get(&view.service.name, &m.name).copied())
            .collect()
    }

    /// Number of hosts for replicas, without the spares of each fabric domain, and the hosts of
    /// each domain.
    fn usable_hosts(&self, view: &ServiceView<'_>) -> (usize, DomainHosts) {
        let mut domains = DomainHosts::new();
        for host in view.fleet.hosts() {
            let usable = host.is_ready() && !self.silent.contains_key(&host.id);
            if host.service == view.service.name && usable {
                let key = (host.failure_domain.clone(), host.fabric.clone());
                *domains.entry(key).or_default() += 1;
            }
        }
        let smallest = view.engine.models.iter().map(|m| m.size.max(1)).min();
        let smallest = smallest.unwrap_or(1);
        let spares = view.engine.models.len();
        let usable = |hosts: &usize| hosts.saturating_sub(spares) / smallest * smallest;
        (domains.values().map(usable).sum(), domains)
    }

    /// Slots wanted of a model beyond nine tenths of its present slots.
    pub(super) fn shortfall(&self, view: &ServiceView<'_>, model: &ModelSpec) -> f64 {
        let demand = self.capacity.demand(&view.service.name, &model.name);
        let slots = self.serving_count(view, model, None) * view.engine.slots;
        demand.map_or(0.0, |d| d.wanted - SHORT_USE * slots as f64)
    }

    /// Whether a model has fewer replicas than its target.
    pub(super) fn is_below_target(&self, view: &ServiceView<'_>, model: &ModelSpec) -> bool {
        let target = self.capacity.target(&view.service.name, &model.name);
        target.is_some_and(|t| self.serving_count(view, model, None) < t.replicas)
    }

    /// The work that an additional replica of a model would have, in units of its target; `None`
    /// without targets.
    pub(super) fn unmet_target(&self, view: &ServiceView<'_>, model: &ModelSpec) -> Option<f64> {
        let target = self.capacity.target(&view.service.name, &model.name)?;
        let replicas = self.serving_count(view, model, None);
        let weight = if replicas < target.floor {
            FLOOR_WEIGHT
        } else {
            1.0
        };
        Some(weight * target.replicas as f64 / (replicas + 1) as f64)
    }
}
