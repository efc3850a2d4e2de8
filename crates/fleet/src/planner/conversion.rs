//! Conversion of idle replicas to a model that lacks capacity.
//!
//! Responds to demand that shifts from one model to another for longer than a burst. Weights are
//! loaded in the background while the replicas serve, so that a conversion costs their slots only
//! for the time of draining, joining and opening.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, FailureDomain, GroupId, HostId, ModelName, ServiceName};

use crate::catalog::ModelSpec;
use crate::planner::capacity::{CapacityStepKind, replicas_for};
use crate::planner::formation::{Formation, FormationPhase, LossReason, Purpose};
use crate::planner::loads::LoadPurpose;
use crate::planner::placement::ServiceView;
use crate::planner::{Command, Planner};

/// Time to drain, join and open, for which the converted slots are lost.
const CONVERSION_TIME: Duration = Duration::from_secs(3);
/// Time over which the gain of a conversion must exceed its cost.
const GAIN_TIME: Duration = Duration::from_secs(10);
/// Shortest time between conversions of a fabric domain in opposite directions.
const MIN_REVERSAL_TIME: Duration = Duration::from_secs(10);
/// A conversion whose weights were not loaded within this many times the load time is given up.
const STAGING_TIMEOUT_FACTOR: u32 = 4;
/// At most this fraction of a service's hosts is being converted.
const MAX_CONVERTING_DIVISOR: usize = 9;

/// The failure domain of each fabric domain of a service.
type FailureDomains<'f> = BTreeMap<&'f FabricDomain, &'f FailureDomain>;

/// Conversions by fabric domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Conversions {
    /// Invariant: at most one in each fabric domain.
    current: BTreeMap<FabricDomain, Conversion>,
    /// The last conversion that gave up replicas.
    last: BTreeMap<FabricDomain, Conversion>,
}

/// Replicas of one model whose hosts are to form replicas of another.
#[derive(Clone, Debug)]
struct Conversion {
    service: ServiceName,
    from: ModelName,
    to: ModelName,
    replicas: Vec<GroupId>,
    members: Vec<HostId>,
    began: Instant,
    /// When the replicas were given up; they serve until then.
    given_up: Option<Instant>,
    /// Slots that the other model gains.
    gained_slots: f64,
}

impl Conversions {
    /// Whether a domain's free hosts are meant for replicas of `model`.
    pub(super) fn is_for(&self, fabric: &FabricDomain, model: &str) -> bool {
        let released = self.current.get(fabric).filter(|c| c.given_up.is_some());
        released.is_some_and(|c| c.to == model)
    }

    /// Whether a domain's free hosts were just taken from replicas of `model`.
    pub(super) fn is_from(&self, fabric: &FabricDomain, model: &str) -> bool {
        let released = self.current.get(fabric).filter(|c| c.given_up.is_some());
        released.is_some_and(|c| c.from == model)
    }

    fn hosts(&self) -> usize {
        self.current.values().map(|c| c.members.len()).sum()
    }

    /// Slots that a model gains from conversions in progress whose replicas do not serve yet.
    fn expected_slots(&self, service: &ServiceName, model: &ModelName) -> f64 {
        let gains = |c: &&Conversion| c.service == *service && c.to == *model;
        let current = self.current.values().filter(gains);
        current.map(|c| c.gained_slots).sum()
    }

    /// Whether a domain was converted to `from` too recently to be converted back.
    fn is_reversal(&self, fabric: &FabricDomain, from: &ModelName, now: Instant) -> bool {
        self.last.get(fabric).is_some_and(|c| {
            let since = c.given_up.unwrap_or(c.began);
            c.to == *from && now.saturating_duration_since(since) < MIN_REVERSAL_TIME
        })
    }
}

impl Planner {
    /// Continues conversions, and begins one if a model lacks capacity that others have idle.
    pub(super) fn convert(&mut self, view: &ServiceView<'_>, commands: &mut Vec<Command>) {
        if view.cold {
            return;
        }
        // Computed once, since it takes a pass over all hosts.
        let hosts = view.fleet.hosts();
        let hosts = hosts.filter(|h| h.service == view.service.name);
        let domains: FailureDomains<'_> = hosts.map(|h| (&h.fabric, &h.failure_domain)).collect();
        self.advance_conversions(view, &domains, commands);
        if !self.capacity.is_known(&view.service.name) {
            return;
        }
        let lacking = |m: &&ModelSpec| self.lasting_need(view, m) > 0.0;
        let models = view.engine.models.iter().filter(lacking);
        let need = |m: &ModelSpec| self.lasting_need(view, m) / m.size.max(1) as f64;
        let Some(to) = models.max_by(|a, b| need(a).total_cmp(&need(b))) else {
            return;
        };
        if let Some((fabric, conversion)) = self.choose_conversion(view, &domains, to) {
            self.conversions.current.insert(fabric, conversion);
            self.advance_conversions(view, &domains, commands);
        }
    }

    /// Slots that a model below its target has lacked for the whole window, beyond those that
    /// conversions in progress will give it.
    fn lasting_need(&self, view: &ServiceView<'_>, model: &ModelSpec) -> f64 {
        let service = &view.service.name;
        let is_short = self.capacity.is_short(service, &model.name, view.now);
        if !is_short || !self.is_below_target(view, model) {
            return 0.0;
        }
        let shortfall = self
            .capacity
            .lasting_shortfall(service, &model.name, view.now);
        shortfall - self.conversions.expected_slots(service, &model.name)
    }

    /// The conversion with the fewest loads that is worth its cost.
    fn choose_conversion(
        &self,
        view: &ServiceView<'_>,
        domains: &FailureDomains<'_>,
        to: &ModelSpec,
    ) -> Option<(FabricDomain, Conversion)> {
        let hosts = view.fleet.hosts();
        let hosts = hosts.filter(|h| h.service == view.service.name && h.is_ready());
        let permitted = hosts.count() / MAX_CONVERTING_DIVISOR;
        let left = permitted.saturating_sub(self.conversions.hosts());
        let serves = |f: &&Formation| f.purpose == Purpose::Serve && f.service == view.service.name;
        let mut by_fabric: BTreeMap<&FabricDomain, Vec<&Formation>> = BTreeMap::new();
        for f in self.formations.values().filter(serves) {
            by_fabric.entry(&f.fabric).or_default().push(f);
        }
        // A domain in which a replica is being re-formed is left alone.
        by_fabric.retain(|_, all| all.iter().all(|f| f.phase == FormationPhase::Open));
        let models = view.engine.models.iter();
        let models = models.filter(|m| m.name != to.name && self.has_surplus(view, m, to));
        let candidates = models.flat_map(|from| {
            let by_fabric = by_fabric.iter();
            by_fabric.filter_map(|(_, all)| self.candidate(view, domains, all, from, to))
        });
        let lacking = |c: &Conversion| {
            let hosts = c.members.iter().filter_map(|m| view.fleet.host(m));
            hosts.filter(|h| !self.has_weights(h, to)).count()
        };
        let permitted = candidates.filter(|(_, c)| c.members.len() <= left);
        permitted.min_by_key(|(_, c)| lacking(c))
    }

    /// Whether a model has more than its target by as much as one conversion takes.
    fn has_surplus(&self, view: &ServiceView<'_>, from: &ModelSpec, to: &ModelSpec) -> bool {
        let replicas = to.size.div_ceil(from.size.max(1));
        let target = self.capacity.target(&view.service.name, &from.name);
        let total = self.serving_count(view, from, None);
        target.is_some_and(|t| total >= t.replicas + replicas)
    }

    /// A conversion in the domain of these formations, if it is permitted and worth its cost.
    fn candidate(
        &self,
        view: &ServiceView<'_>,
        domains: &FailureDomains<'_>,
        formations: &[&Formation],
        from: &ModelSpec,
        to: &ModelSpec,
    ) -> Option<(FabricDomain, Conversion)> {
        let fabric = &formations.first()?.fabric;
        let conversions = &self.conversions;
        let is_busy = conversions.current.contains_key(fabric)
            || conversions.is_reversal(fabric, &from.name, view.now);
        if is_busy || from.size == 0 || to.size == 0 {
            return None;
        }
        let replicas = to.size.div_ceil(from.size);
        if !self.keeps_reserve(view, domains, fabric, from, replicas) {
            return None;
        }
        let demand = self.capacity.demand(&view.service.name, &from.name)?;
        let serving = self.serving_count(view, from, None).max(1) as f64;
        let in_use = (demand.used / serving).min(view.engine.slots as f64) * replicas as f64;
        let gain = self.lasting_need(view, to) * GAIN_TIME.as_secs_f64();
        if gain <= in_use * CONVERSION_TIME.as_secs_f64() {
            return None;
        }
        let idle = |f: &&&Formation| f.model == from.name && f.leaving_since.is_none();
        let mut idle: Vec<&Formation> = formations.iter().filter(idle).copied().collect();
        let lacking = |f: &Formation| {
            let hosts = f.members.iter().filter_map(|m| view.fleet.host(m));
            hosts.filter(|h| !self.has_weights(h, to)).count()
        };
        idle.sort_by_key(|f| lacking(f));
        idle.truncate(replicas);
        if idle.len() < replicas {
            return None;
        }
        let members: Vec<HostId> = idle
            .iter()
            .flat_map(|f| f.members.iter().cloned())
            .collect();
        let gained_slots = (members.len() / to.size * view.engine.slots) as f64;
        let conversion = Conversion {
            service: view.service.name.clone(),
            from: from.name.clone(),
            to: to.name.clone(),
            replicas: idle.iter().map(|f| f.id.clone()).collect(),
            members,
            began: view.now,
            given_up: None,
            gained_slots,
        };
        Some((fabric.clone(), conversion))
    }

    /// Whether a model has its target and its reserve without `replicas` of those in a domain.
    ///
    /// The mean demand must be met when any failure domain is lost, and one replica must be left in
    /// the failure domain of the converted ones.
    fn keeps_reserve(
        &self,
        view: &ServiceView<'_>,
        domains: &FailureDomains<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
        replicas: usize,
    ) -> bool {
        let service = &view.service.name;
        let Some(target) = self.capacity.target(service, &model.name) else {
            return false;
        };
        let total = self.serving_count(view, model, None);
        if total < target.replicas + replicas {
            return false;
        }
        let mut counts: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        for (fabric, failure_domain) in domains {
            *counts.entry(failure_domain).or_default() +=
                self.serving_count(view, model, Some(fabric));
        }
        let Some(count) = domains.get(fabric).and_then(|z| counts.get_mut(z)) else {
            return false;
        };
        if *count <= replicas {
            return false;
        }
        *count -= replicas;
        let mean = self.capacity.demand(service, &model.name);
        let mean = mean.map_or(0, |d| replicas_for(d.wanted, view.engine.slots as f64));
        let left = total - replicas;
        counts.len() < 2 || counts.values().all(|lost| left - lost >= mean)
    }

    /// Stages weights for conversions, gives up the replicas of those that are ready, and removes
    /// those that are over.
    fn advance_conversions(
        &mut self,
        view: &ServiceView<'_>,
        domains: &FailureDomains<'_>,
        commands: &mut Vec<Command>,
    ) {
        let current = std::mem::take(&mut self.conversions.current);
        let (ours, others): (BTreeMap<_, _>, BTreeMap<_, _>) = current
            .into_iter()
            .partition(|(_, c)| c.service == view.service.name);
        self.conversions.current = others;
        for (fabric, mut conversion) in ours {
            if self.advance_conversion(view, domains, &fabric, &mut conversion, commands) {
                self.conversions.current.insert(fabric, conversion);
            }
        }
    }

    /// Continues a conversion; returns whether it is still in progress.
    fn advance_conversion(
        &mut self,
        view: &ServiceView<'_>,
        domains: &FailureDomains<'_>,
        fabric: &FabricDomain,
        conversion: &mut Conversion,
        commands: &mut Vec<Command>,
    ) -> bool {
        if let Some(at) = conversion.given_up {
            return view.now.saturating_duration_since(at) < CONVERSION_TIME;
        }
        let find = |name: &ModelName| view.engine.models.iter().find(|m| m.name == *name);
        let (Some(from), Some(to)) = (find(&conversion.from), find(&conversion.to)) else {
            return false;
        };
        let serves = |id: &GroupId| {
            let f = self.formations.get(id);
            f.is_some_and(|f| f.phase == FormationPhase::Open && f.leaving_since.is_none())
        };
        let timeout = to.load_time * STAGING_TIMEOUT_FACTOR;
        let is_late = view.now.saturating_duration_since(conversion.began) >= timeout;
        if is_late || !conversion.replicas.iter().all(serves) {
            return false;
        }
        if !self.capacity.is_known(&view.service.name) {
            // Loads that have begun go on; whether the model is still short is unknown.
            return true;
        }
        let is_needed = self
            .capacity
            .is_short(&view.service.name, &to.name, view.now);
        let replicas = conversion.replicas.len();
        if !is_needed || !self.keeps_reserve(view, domains, fabric, from, replicas) {
            return false;
        }
        let mut is_ready = true;
        for host in conversion.members.iter().filter_map(|m| view.fleet.host(m)) {
            if self.has_weights(host, to) {
                continue;
            }
            is_ready = false;
            if self.loads_in_progress(view.now) * 2 < view.engine.max_concurrent_loads {
                self.stage(view, host, to, LoadPurpose::Spare, commands);
            }
        }
        if is_ready {
            for id in &conversion.replicas {
                self.give_up(id, LossReason::Converted, view.now);
            }
            conversion.given_up = Some(view.now);
            self.conversions
                .last
                .insert(fabric.clone(), conversion.clone());
            self.capacity.record(
                CapacityStepKind::Convert,
                &view.service.name,
                &to.name,
                fabric,
            );
        }
        true
    }
}
