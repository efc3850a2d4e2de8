//! Choosing models and members for hosts that are free.
//!
//! Weights take ten times longer to load from the weight store than all else in a repair.
//! So a replica is formed only of hosts that hold its weights already; what is missing is
//! loaded beside, and whoever is ready first takes the place. A host that loads as a
//! member would bind the others for that time, and begin anew whenever the replica is
//! formed differently or another planner takes over.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, HostId, ModelName};

use crate::catalog::{Engine, ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::formation::{Formation, Purpose, Step};
use crate::planner::{Command, Order, Planner};

/// A load that was ordered is ordered again after this many times its usual time: beyond
/// the loads that the weight store serves at once each takes proportionally longer.
const STAGE_PATIENCE: u32 = 2;

/// A model whose replicas have this many times less work each than another's would have
/// leaves hosts that the other waits for to it.
const PLENTY: f64 = 2.0;

/// Hosts for which others wait: one arrives in a domain every few seconds while hosts are
/// lost and replaced, and none is to be expected before the first request.
const WORTH_WAITING: usize = 1;

/// Hosts that start together are listed within a second of each other.
const LISTED_AFTER: Duration = Duration::from_secs(1);

/// What the decisions of one step rest on.
pub(super) struct View<'v> {
    pub(super) service: &'v Service,
    pub(super) engine: &'v Engine,
    pub(super) fleet: &'v Fleet,
    /// Whether no request was ever served, so that loads are quick and not bounded.
    pub(super) cold: bool,
    pub(super) now: Instant,
}

impl Planner {
    /// Forms replicas from free hosts, and readies those that are left over.
    pub(super) fn form(&mut self, view: &View<'_>, commands: &mut Vec<Command>) {
        let mut domains = self.free_hosts(view);
        for (fabric, free) in &mut domains {
            self.form_in(view, fabric, free, commands);
        }
        // Before requests come, replicas that serve are loaded first.
        let waits = |f: &Formation| f.purpose == Purpose::Serve && f.step != Step::Open;
        if view.cold && self.formations.values().any(waits) {
            return;
        }
        for (fabric, free) in &domains {
            for host in free {
                self.prime_spare(view, fabric, host, commands);
            }
        }
        for (fabric, free) in &domains {
            self.stage_spares(view, fabric, free, commands);
        }
    }

    /// Hosts that no serving formation has, by fabric domain.
    fn free_hosts<'f>(&self, view: &View<'f>) -> BTreeMap<FabricDomain, Vec<&'f Host>> {
        let bound = self.members();
        let mut domains: BTreeMap<FabricDomain, Vec<&Host>> = BTreeMap::new();
        for host in view.fleet.hosts() {
            if host.service == view.service.name && self.is_free(host, &bound) {
                domains.entry(host.fabric.clone()).or_default().push(host);
            }
        }
        domains
    }

    /// Forms what a domain's free hosts can form. Leaves those that aren't spoken for.
    fn form_in(
        &mut self,
        view: &View<'_>,
        fabric: &FabricDomain,
        free: &mut Vec<&Host>,
        commands: &mut Vec<Command>,
    ) {
        self.form_from_holders(view, fabric, free);
        for model in self.wanted_models(view, fabric, free.len()) {
            let first = self.serving(view, model, Some(fabric)) == 0;
            let kept = if first { 0 } else { view.engine.models.len() };
            if model.size == 0 || free.len() < model.size + kept {
                continue;
            }
            free.sort_by_key(|h| (self.join_time(h, Some(model), view.now), h.id.clone()));
            let chosen: Vec<&Host> = free.iter().take(model.size).copied().collect();
            let lacking = chosen.iter().filter(|h| !self.holds(h, model)).count();
            if lacking == 0 || view.cold {
                if !self.is_being_freed(fabric, view.now) && self.form_one(view, model, &chosen) {
                    free.drain(..model.size);
                }
                continue;
            }
            // A further replica isn't worth binding spares for.
            if first {
                for host in chosen {
                    self.stage(view, host, model, commands);
                }
                free.drain(..model.size);
            }
        }
    }

    /// Forms the replicas that a domain can have without a load.
    ///
    /// Weights that are missing take 16 s to load. Were hosts kept for the neediest model all
    /// that time, others that hold another model would wait with them: after an outage of the
    /// store in which eight of twelve replicas were lost, 33 of 54 hosts waited for 6 s and
    /// longer. Not for a model that has more than enough beside one that lacks these hosts.
    fn form_from_holders(&mut self, view: &View<'_>, fabric: &FabricDomain, free: &mut Vec<&Host>) {
        if view.cold || self.is_being_freed(fabric, view.now) {
            return;
        }
        let wanted = self.wanted_models(view, fabric, free.len());
        let neediest = wanted.first().map_or(0.0, |m| self.need(view, m));
        for model in wanted {
            let first = self.serving(view, model, Some(fabric)) == 0;
            let kept = if first { 0 } else { view.engine.models.len() };
            let is_needed = self.need(view, model) * PLENTY >= neediest;
            if model.size == 0 || free.len() < model.size + kept || !is_needed {
                continue;
            }
            free.sort_by_key(|h| (self.join_time(h, Some(model), view.now), h.id.clone()));
            let chosen: Vec<&Host> = free.iter().take(model.size).copied().collect();
            let all_hold = chosen.iter().all(|h| self.holds(h, model));
            if all_hold && self.form_one(view, model, &chosen) {
                free.drain(..model.size);
            }
        }
    }

    /// Whether a host joins a replica of the model without a load.
    fn holds(&self, host: &Host, model: &ModelSpec) -> bool {
        host.staged.contains(&model.name) || self.is_primed(host, model)
    }

    /// Whether hosts of a domain are about to be free that hold a model already.
    ///
    /// Members of a lost replica leave within milliseconds of each other. One formed in
    /// between would take spares in their place and leave none.
    fn is_being_freed(&self, fabric: &FabricDomain, now: Instant) -> bool {
        let waits_for = |m: &HostId| !self.silent.contains_key(m);
        let leaving = |f: &&Formation| f.step == Step::Dissolving && f.fabric == *fabric;
        let mut leaving = self.formations.values().filter(leaving);
        leaving.any(|f| {
            let recent = now.saturating_duration_since(f.since) < self.timing.leave;
            recent && f.bound().any(waits_for)
        })
    }

    /// The models that a domain should form, the neediest first.
    ///
    /// Need is the work for each replica, counting one more. A model's share is of the work
    /// of all hosts, so that one with small replicas needs more of them for the same share:
    /// with sizes of 16 and 4 and equal shares four to one. Further replicas in a domain are
    /// wanted of the neediest model alone while its `free` hosts lack few for one: others
    /// would take hosts that wait for one more.
    fn wanted_models<'e>(
        &self,
        view: &View<'e>,
        fabric: &FabricDomain,
        free: usize,
    ) -> Vec<&'e ModelSpec> {
        let mut models: Vec<&ModelSpec> = view.engine.models.iter().collect();
        models.sort_by(|a, b| self.need(view, b).total_cmp(&self.need(view, a)));
        let Some(neediest) = models.first().copied() else {
            return models;
        };
        let lacking = (neediest.size + models.len()).saturating_sub(free);
        let waits_for = if view.cold { 0 } else { WORTH_WAITING };
        let others_too = lacking > waits_for && self.all_are_listed(view.now);
        models.retain(|m| {
            let first = self.serving(view, m, Some(fabric)) == 0;
            first || others_too || neediest.name == m.name
        });
        models
    }

    /// Whether no host was listed or went for a while.
    ///
    /// Hosts are listed one by one when all start. Domains of which a few are known would be
    /// given to whichever model fits first, and the others find no room: the mean worth of
    /// the smaller sites fell by half.
    fn all_are_listed(&self, now: Instant) -> bool {
        let since = self.host_count.1;
        now.saturating_duration_since(since) >= LISTED_AFTER
    }

    /// The work that one more replica of a model would have.
    fn need(&self, view: &View<'_>, model: &ModelSpec) -> f64 {
        let replicas = (self.serving(view, model, None) + 1) as f64;
        model.share.get() / (replicas * model.size.max(1) as f64)
    }

    /// Replicas of a model that serve or are about to.
    fn serving(&self, view: &View<'_>, model: &ModelSpec, fabric: Option<&FabricDomain>) -> usize {
        let counts = |f: &&Formation| {
            f.purpose == Purpose::Serve
                && f.loss.is_none()
                && f.service == view.service.name
                && f.model == model.name
                && fabric.is_none_or(|d| f.fabric == *d)
        };
        self.formations.values().filter(counts).count()
    }

    /// `false` when the loads that it takes must wait.
    fn form_one(&mut self, view: &View<'_>, model: &ModelSpec, chosen: &[&Host]) -> bool {
        let loads = chosen.iter().filter(|h| !self.holds(h, model)).count();
        if !self.take_loads(loads, view) {
            return false;
        }
        let (id, epoch) = self.next_formation();
        let Some(formation) = Formation::new(id.clone(), epoch, &model.name, chosen, view.now)
        else {
            return false;
        };
        self.drop_priming(&formation.members);
        self.formations.insert(id, formation);
        true
    }

    /// Has a host load a model beside what it does, unless it does so already.
    fn stage(
        &mut self,
        view: &View<'_>,
        host: &Host,
        model: &ModelSpec,
        commands: &mut Vec<Command>,
    ) {
        let busy = self
            .staging
            .get(&host.id)
            .is_some_and(|(_, until)| view.now < *until);
        if busy || self.holds(host, model) || !self.take_loads(1, view) {
            return;
        }
        let until = view.now + model.load * STAGE_PATIENCE;
        self.staging
            .insert(host.id.clone(), (model.name.clone(), until));
        commands.push(Command::Order {
            host: host.id.clone(),
            address: host.address.clone(),
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }

    /// Loads that were ordered and aren't shown to be done.
    ///
    /// Beyond a number of loads at once the weight store makes each take longer: twenty at
    /// once end after 40 s, the first eight of them after 16 s when the others wait.
    fn loads_under_way(&self, view: &View<'_>) -> usize {
        let is_loading = |(_, until): &&(ModelName, Instant)| view.now < *until;
        self.staging.values().filter(is_loading).count()
    }

    /// Whether `count` loads may start now; counts them if so.
    ///
    /// The weight store serves a bounded number of loads, and each one beyond makes all
    /// slower, so that spares loading at once would delay the replica that waits.
    fn take_loads(&mut self, count: usize, view: &View<'_>) -> bool {
        if count == 0 {
            return true;
        }
        let (window, now) = (self.timing.load_window, view.now);
        let old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.loads.front().is_some_and(old) {
            self.loads.pop_front();
        }
        let permitted = view.engine.loads_per_ks as f64 / 1000.0 * window.as_secs_f64();
        // What a planner before this one began in the window isn't known.
        let before = self.term > 1 && now.saturating_duration_since(self.began) < window;
        if !view.cold && (before || (self.loads.len() + count) as f64 > permitted) {
            return false;
        }
        self.loads.extend(std::iter::repeat_n(now, count));
        true
    }

    /// Spares give up their own formations when a serving one takes them.
    fn drop_priming(&mut self, members: &[HostId]) {
        let taken = |f: &Formation| f.members.iter().any(|m| members.contains(m));
        self.formations
            .retain(|_, f| f.purpose == Purpose::Serve || !taken(f));
    }

    /// Makes a spare a member for one model, in a replica of its own that is never opened.
    ///
    /// A host joins in 0.2 s the model that it was last a member for, whatever weights
    /// its memory holds by now.
    fn prime_spare(
        &mut self,
        view: &View<'_>,
        fabric: &FabricDomain,
        host: &Host,
        commands: &mut Vec<Command>,
    ) {
        if self.primed_model(host).is_some() {
            return;
        }
        let Some(model) = self.model_to_prime(view, fabric, host) else {
            return;
        };
        if self.holds(host, model) || view.cold {
            self.prime(view, host, model);
        } else {
            self.stage(view, host, model, commands);
        }
    }

    /// Has primed spares load another model as well, so that each can replace a member of
    /// any model: within 0.2 s for one and 1.6 s for the other.
    ///
    /// With one model a spare, the second loss of the same model in a domain would wait
    /// 16 s for a load. A domain's spares beyond one a model, and spares while half of the
    /// weight store's loads are under way, are left alone: what is missing loads first.
    fn stage_spares(
        &mut self,
        view: &View<'_>,
        fabric: &FabricDomain,
        free: &[&Host],
        commands: &mut Vec<Command>,
    ) {
        let ready = |h: &&&Host| {
            let formation = self.formation_of(&h.id);
            self.primed_model(h).is_some() && formation.is_none_or(|f| !f.ready.is_empty())
        };
        let spares: Vec<&Host> = free.iter().filter(ready).copied().collect();
        if spares.len() > view.engine.models.len() {
            return;
        }
        for host in spares {
            if !view.cold && self.loads_under_way(view) * 2 >= view.engine.loads_at_once {
                return;
            }
            let primed = self.primed_model(host);
            let others = || {
                view.engine
                    .models
                    .iter()
                    .filter(|m| Some(&m.name) != primed.as_ref())
            };
            if others().any(|m| host.staged.contains(&m.name)) {
                continue;
            }
            let members = |m: &&ModelSpec| m.size * self.serving(view, m, Some(fabric)).max(1);
            if let Some(model) = others().max_by_key(members) {
                self.stage(view, host, model, commands);
            }
        }
    }

    fn primed_model(&self, host: &Host) -> Option<ModelName> {
        self.primed.get(&host.id).map(|(_, model)| model.clone())
    }

    /// Has a spare join a replica of its own.
    fn prime(&mut self, view: &View<'_>, host: &Host, model: &ModelSpec) {
        if self.formation_of(&host.id).is_some() {
            return;
        }
        let loads = usize::from(!self.holds(host, model));
        if !self.take_loads(loads, view) {
            return;
        }
        let (id, epoch) = self.next_formation();
        let formation = Formation::new(id.clone(), epoch, &model.name, &[host], view.now);
        if let Some(mut formation) = formation {
            formation.purpose = Purpose::Prime;
            self.formations.insert(id, formation);
        }
    }

    /// The model with the most members in this domain for each spare that could replace one.
    fn model_to_prime<'e>(
        &self,
        view: &View<'e>,
        fabric: &FabricDomain,
        host: &Host,
    ) -> Option<&'e ModelSpec> {
        let spares = self.spares(view, fabric);
        let need = |m: &ModelSpec| {
            let members = m.size * self.serving(view, m, Some(fabric)).max(1);
            let ready = spares.iter().filter(|s| **s == m.name).count();
            let staged = if host.staged.contains(&m.name) {
                1.5
            } else {
                1.0
            };
            staged * members as f64 / (ready + 1) as f64
        };
        let models = view.engine.models.iter();
        models.max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    /// The models for which free hosts of a domain are primed, or about to be.
    fn spares(&self, view: &View<'_>, fabric: &FabricDomain) -> Vec<ModelName> {
        let free = self.free_hosts(view).remove(fabric).unwrap_or_default();
        let models = free.into_iter().filter_map(|host| {
            let priming = self.formation_of(&host.id).map(|f| f.model.clone());
            let staging = self.staging.get(&host.id).map(|(model, _)| model.clone());
            self.primed_model(host).or(priming).or(staging)
        });
        models.collect()
    }

    /// How long a host takes to be ready in a replica of `model`.
    pub(super) fn join_time(
        &self,
        host: &Host,
        model: Option<&ModelSpec>,
        now: Instant,
    ) -> Duration {
        let Some(model) = model else {
            return Duration::ZERO;
        };
        if self.is_primed(host, model) {
            return super::PRIMED_JOIN;
        }
        if host.staged.contains(&model.name) {
            return model.warm;
        }
        match self.staging.get(&host.id) {
            Some((staging, until)) if *staging == model.name => {
                let began_to_end = model.load * (STAGE_PATIENCE - 1);
                let end = *until - began_to_end;
                end.saturating_duration_since(now) + model.warm
            }
            _ => model.load + model.warm,
        }
    }

    fn is_primed(&self, host: &Host, model: &ModelSpec) -> bool {
        let primed = self.primed.get(&host.id);
        primed.is_some_and(|(_, m)| *m == model.name)
    }
}
