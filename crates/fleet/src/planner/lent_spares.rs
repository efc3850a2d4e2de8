//! Use of spares by short models, and return of hosts to replicas that lost a member.
//!
//! Responds to a burst of one model while each fabric domain keeps spares for repairs: the spares
//! serve until a repair needs them.

use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, GroupId, HostId, ModelName, ServiceName};

use crate::catalog::ModelSpec;
use crate::host::Host;
use crate::planner::capacity::CapacityStepKind;
use crate::planner::formation::{Formation, FormationPhase, LossReason, Purpose};
use crate::planner::loads::LoadPurpose;
use crate::planner::placement::{MAX_MISSING_HOSTS, ServiceView};
use crate::planner::serving::ServingCounts;
use crate::planner::{Command, Planner};

/// A lost member is replaced from another replica unless a spare can join within this time.
const MAX_SPARE_JOIN_TIME: Duration = Duration::from_secs(2);
/// How long a lost replica waits for hosts of others.
const LOSS_TTL: Duration = Duration::from_secs(5);

/// A lost replica: its service, fabric domain and model.
pub(super) type LossKey = (ServiceName, FabricDomain, ModelName);

impl Planner {
    /// Forms replicas of short models from a domain's spares that hold the weights.
    pub(super) fn lend_spares(
        &mut self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        free: &mut Vec<&Host>,
    ) {
        let is_known = self.capacity.is_known(&view.service.name);
        if !is_known || view.cold || self.is_releasing_members(fabric, view.now) {
            return;
        }
        for model in &view.engine.models {
            let is_short = self
                .capacity
                .is_short(&view.service.name, &model.name, view.now);
            while is_short && self.shortfall(view, model) > 0.0 {
                if !self.lend_once(view, fabric, model, free) {
                    break;
                }
            }
        }
    }

    fn lend_once(
        &mut self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
        free: &mut Vec<&Host>,
    ) -> bool {
        if model.size == 0 || self.is_awaited(view, fabric, model, free.len()) {
            return false;
        }
        free.sort_by_key(|h| (self.join_time(h, Some(model), view.now), h.id.clone()));
        let holding = free.iter().filter(|h| self.has_weights(h, model));
        let chosen: Vec<&Host> = holding.take(model.size).copied().collect();
        if chosen.len() < model.size {
            return false;
        }
        let Some(id) = self.form_replica(view, model, &chosen) else {
            return false;
        };
        free.retain(|h| chosen.iter().all(|c| c.id != h.id));
        let survivors = self.are_survivors(&chosen, model);
        if let Some(f) = self.formations.get_mut(&id).filter(|_| !survivors) {
            f.reclaimable = true;
            let service = &view.service.name;
            self.capacity
                .record(CapacityStepKind::Spare, service, &model.name, fabric);
        }
        true
    }

    /// Stages a second model on the members of reclaimable replicas, as on spares: a host that
    /// joined with the weights in its memory has none of another model left.
    pub(super) fn stage_lent_spares(
        &mut self,
        view: &ServiceView<'_>,
        commands: &mut Vec<Command>,
    ) {
        let is_lent = |f: &&Formation| f.reclaimable && f.phase == FormationPhase::Open;
        let lent = self.formations.values().filter(is_lent);
        let members = lent.filter(|f| f.service == view.service.name);
        let members: Vec<HostId> = members.flat_map(|f| f.members.iter().cloned()).collect();
        for host in members.iter().filter_map(|id| view.fleet.host(id)) {
            if self.loads_in_progress(view.now) * 2 >= view.engine.max_concurrent_loads {
                return;
            }
            let primed = self.primed_model(host);
            let models = view.engine.models.iter();
            let others = models.filter(|m| Some(&m.name) != primed.as_ref());
            let members = |m: &&ModelSpec| m.size * self.serving_count(view, m, Some(&host.fabric));
            let holds = |m: &&ModelSpec| host.staged.contains(&m.name);
            if others.clone().any(|m| holds(&m)) {
                continue;
            }
            if let Some(model) = others.max_by_key(members) {
                self.stage(view, host, model, LoadPurpose::Spare, commands);
            }
        }
    }

    /// Whether another model below its target could soon form a replica of the free hosts.
    pub(super) fn is_awaited(
        &self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
        free: usize,
    ) -> bool {
        let awaits = |m: &&ModelSpec| {
            let is_lost = self.has_lost_replica(view, fabric, m);
            let fits = free + MAX_MISSING_HOSTS >= m.size;
            m.name != model.name && self.is_below_target(view, m) && (is_lost || fits)
        };
        view.engine.models.iter().any(|m| awaits(&m))
    }

    fn has_lost_replica(
        &self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
    ) -> bool {
        let key = (
            view.service.name.clone(),
            fabric.clone(),
            model.name.clone(),
        );
        self.recent_losses.contains_key(&key)
    }

    /// Records which replicas were lost in the last few seconds.
    pub(super) fn record_losses(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LOSS_TTL;
        self.recent_losses.retain(|_, at| is_recent(at));
        let lost = |f: &&Formation| {
            let is_open = f.phase == FormationPhase::Open;
            let is_leaving = is_open && f.leaving_since.is_some();
            f.purpose == Purpose::Serve && (f.lost_member() || is_leaving)
        };
        let keys = self.formations.values().filter(lost).map(|f| {
            let key: LossKey = (f.service.clone(), f.fabric.clone(), f.model.clone());
            (key, now)
        });
        self.recent_losses.extend(keys);
    }

    /// Gives up replicas whose hosts replace lost members of others.
    ///
    /// Reclaimable replicas go first, then those of models above their target.
    pub(super) fn reclaim(&mut self, view: &ServiceView<'_>) {
        if !self.capacity.is_known(&view.service.name) || view.cold {
            return;
        }
        let is_ours = |key: &&LossKey| key.0 == view.service.name;
        let losses: Vec<LossKey> = self.recent_losses.keys().filter(is_ours).cloned().collect();
        for (_, fabric, name) in losses {
            let model = view.engine.models.iter().find(|m| m.name == name);
            let Some(model) = model.filter(|m| self.is_below_target(view, m)) else {
                continue;
            };
            let available = self.available_hosts(view, &fabric, model);
            let lacking = model.size.saturating_sub(available);
            // Without a single host that is available, the whole domain is gone or converted.
            if lacking == 0 || available == 0 {
                continue;
            }
            if let Some(id) = self.choose_donor(view, &fabric, model, lacking) {
                self.give_up(&id, LossReason::Reclaimed, view.now);
                let service = &view.service.name;
                self.capacity
                    .record(CapacityStepKind::Reclaim, service, &name, &fabric);
            }
        }
    }

    /// Lets a replica finish its requests and dissolves it.
    pub(super) fn give_up(&mut self, id: &GroupId, reason: LossReason, now: Instant) {
        if let Some(f) = self.formations.get_mut(id) {
            f.abandon(reason, now);
            f.enter_phase(FormationPhase::Draining, now);
        }
        self.serving = ServingCounts::of(self.formations.values());
    }

    /// Hosts of a domain that are free or about to be, and can soon join a replica of the model.
    fn available_hosts(
        &self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
    ) -> usize {
        let is_available = |h: &&Host| {
            let in_domain = h.service == view.service.name && h.fabric == *fabric;
            in_domain && self.loss_of(&h.id, view.fleet).is_none() && {
                let held = self
                    .formation_of(&h.id)
                    .filter(|f| f.purpose == Purpose::Serve);
                let released = held.is_none_or(|f| {
                    let leaving = f.model == model.name && f.leaving_since.is_some();
                    f.loss.is_some() || leaving
                });
                released && self.joins_soon(h, model, view.now)
            }
        };
        view.fleet.hosts().filter(is_available).count()
    }

    fn joins_soon(&self, host: &Host, model: &ModelSpec, now: Instant) -> bool {
        self.join_time(host, Some(model), now) <= MAX_SPARE_JOIN_TIME
    }

    /// The replica to give up so that `lacking` hosts can join a replica of `model`.
    ///
    /// Only conversions take a larger replica for a smaller one: in a burst each of several lost
    /// small replicas would otherwise take a large one, and most of the hosts would serve nobody.
    fn choose_donor(
        &self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        model: &ModelSpec,
        lacking: usize,
    ) -> Option<GroupId> {
        let can_give = |f: &&Formation| {
            let is_other = f.service == view.service.name && f.model != model.name;
            let serves = f.purpose == Purpose::Serve && f.phase == FormationPhase::Open;
            let is_small = f.reclaimable || f.members.len() <= model.size;
            is_other && serves && is_small && f.fabric == *fabric && self.is_spared(view, f) && {
                let hosts = f.members.iter().filter_map(|m| view.fleet.host(m));
                let joining = hosts.filter(|h| self.joins_soon(h, model, view.now));
                joining.count() >= lacking
            }
        };
        let donors = self.formations.values().filter(can_give);
        let best = donors.min_by_key(|f| (!f.reclaimable, f.members.len()));
        best.map(|f| f.id.clone())
    }

    /// Whether a replica can be given up for a repair: it is reclaimable and not the only one of
    /// its model, or its model has more than its target.
    fn is_spared(&self, view: &ServiceView<'_>, f: &Formation) -> bool {
        let counts = &self.serving;
        let replicas = counts.count(&view.service.name, &f.model, None);
        let target = self.capacity.target(&view.service.name, &f.model);
        let above = target.is_some_and(|t| replicas > t.replicas);
        f.loss.is_none() && replicas > 1 && (f.reclaimable || above)
    }

    /// Whether hosts come from a lost replica of another model.
    pub(super) fn are_survivors(&self, hosts: &[&Host], model: &ModelSpec) -> bool {
        let lost = self.dissolved.values().filter(|d| d.lost_member);
        let mut others = lost.filter(|d| d.model != model.name);
        others.any(|d| hosts.iter().any(|h| d.left.contains(&h.id)))
    }
}
