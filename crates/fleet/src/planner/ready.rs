//! Readying hosts: weights in their memory, and spares that are members for a model.
//!
//! A host joins within 0.2 s the model that it was last a member for, and within 1.6 s one
//! whose weights its memory holds; with neither it takes 16 s. So spares are made members for
//! one model and load another one beside.

use std::time::Instant;

use eelgrassmill_base::{FabricDomain, ModelName};

use crate::catalog::ModelSpec;
use crate::host::Host;
use crate::planner::choose::{STAGE_TIMEOUT_FACTOR, ServiceView};
use crate::planner::formation::{Formation, Purpose};
use crate::planner::{Command, Order, Planner};

impl Planner {
    /// Has a host load a model beside what it does, unless it does so already.
    pub(super) fn stage(
        &mut self,
        view: &ServiceView<'_>,
        host: &Host,
        model: &ModelSpec,
        commands: &mut Vec<Command>,
    ) {
        let busy = self
            .staging
            .get(&host.id)
            .is_some_and(|(_, until)| view.now < *until);
        if busy || self.has_weights(host, model) || !self.reserve_loads(1, view) {
            return;
        }
        let until = view.now + model.load_time * STAGE_TIMEOUT_FACTOR;
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
    pub(super) fn loads_in_progress(&self, view: &ServiceView<'_>) -> usize {
        let is_loading = |(_, until): &&(ModelName, Instant)| view.now < *until;
        self.staging.values().filter(is_loading).count()
    }

    /// Whether `count` loads may start now; counts them if so.
    ///
    /// The weight store serves a bounded number of loads, and each one beyond makes all
    /// slower, so that spares loading at once would delay the replica that waits.
    pub(super) fn reserve_loads(&mut self, count: usize, view: &ServiceView<'_>) -> bool {
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
        let before = self.term > 1 && now.saturating_duration_since(self.started_at) < window;
        if !view.cold && (before || (self.loads.len() + count) as f64 > permitted) {
            return false;
        }
        self.loads.extend(std::iter::repeat_n(now, count));
        true
    }

    /// Makes a spare a member for one model, in a replica of its own that is never opened.
    ///
    /// A host joins in 0.2 s the model that it was last a member for, whatever weights
    /// its memory holds by now.
    pub(super) fn prime_spare(
        &mut self,
        view: &ServiceView<'_>,
        unbound: &[&Host],
        host: &Host,
        commands: &mut Vec<Command>,
    ) {
        if self.primed_model(host).is_some() {
            return;
        }
        let Some(model) = self.choose_model_to_prime(view, unbound, host) else {
            return;
        };
        if self.has_weights(host, model) || view.cold {
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
    pub(super) fn stage_spares(
        &mut self,
        view: &ServiceView<'_>,
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
            if !view.cold && self.loads_in_progress(view) * 2 >= view.engine.max_concurrent_loads {
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
            let members =
                |m: &&ModelSpec| m.size * self.serving_count(view, m, Some(fabric)).max(1);
            if let Some(model) = others().max_by_key(members) {
                self.stage(view, host, model, commands);
            }
        }
    }

    /// Has a spare join a replica of its own.
    fn prime(&mut self, view: &ServiceView<'_>, host: &Host, model: &ModelSpec) {
        if self.formation_of(&host.id).is_some() {
            return;
        }
        let loads = usize::from(!self.has_weights(host, model));
        if !self.reserve_loads(loads, view) {
            return;
        }
        let (id, epoch) = self.next_formation();
        let formation = Formation::new(id, epoch, &model.name, &[host], view.now);
        if let Some(mut formation) = formation {
            formation.purpose = Purpose::Prime;
            self.formations.insert(formation);
        }
    }

    /// The model with the most members in this domain for each spare that could replace one.
    fn choose_model_to_prime<'e>(
        &self,
        view: &ServiceView<'e>,
        unbound: &[&Host],
        host: &Host,
    ) -> Option<&'e ModelSpec> {
        let spares = self.spares(unbound);
        let need = |m: &ModelSpec| {
            let members = m.size * self.serving_count(view, m, Some(&host.fabric)).max(1);
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

    /// The models for which free hosts are primed, or about to be.
    fn spares(&self, unbound: &[&Host]) -> Vec<ModelName> {
        let models = unbound.iter().filter_map(|host| {
            let priming = self.formation_of(&host.id).map(|f| f.model.clone());
            let staging = self.staging.get(&host.id).map(|(model, _)| model.clone());
            self.primed_model(host).or(priming).or(staging)
        });
        models.collect()
    }
}
