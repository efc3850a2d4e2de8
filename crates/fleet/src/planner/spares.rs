//! Preparation of spare hosts: priming and staging of weights.
//!
//! A host joins a replica of the model that it was last a member for within 0.2 s, one whose
//! weights are in its memory within 1.6 s, and any other within 16 s. So each spare is primed for
//! one model and stages another one in the background.

use std::time::Instant;

use eelgrassmill_base::{FabricDomain, ModelName};

use crate::catalog::ModelSpec;
use crate::host::Host;
use crate::planner::formation::{Formation, Purpose};
use crate::planner::placement::{STAGE_TIMEOUT_FACTOR, ServiceView};
use crate::planner::{Command, Order, Planner};

impl Planner {
    /// Orders a host to load a model's weights in the background, unless it is already loading.
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

    /// Loads that were ordered and have not completed as far as host entries show.
    ///
    /// Beyond a number of concurrent loads the weight store slows all of them down: twenty at once
    /// finish after 40 s, while the first eight finish after 16 s if the others wait.
    pub(super) fn loads_in_progress(&self, view: &ServiceView<'_>) -> usize {
        let is_loading = |(_, until): &&(ModelName, Instant)| view.now < *until;
        self.staging.values().filter(is_loading).count()
    }

    /// Reserves `count` loads that start now, if the rate limit permits; returns whether it does.
    ///
    /// The weight store serves a limited number of loads and slows down beyond it, so spares that
    /// load at the same time would delay the replica that waits for its weights.
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
        // The loads that the previous planner started in the window are unknown.
        let before = self.term > 1 && now.saturating_duration_since(self.started_at) < window;
        if !view.cold && (before || (self.loads.len() + count) as f64 > permitted) {
            return false;
        }
        self.loads.extend(std::iter::repeat_n(now, count));
        true
    }

    /// Primes a spare for one model by joining it to a replica of its own that is never opened.
    ///
    /// A host rejoins the model that it was last a member for in 0.2 s, whatever weights its memory
    /// holds by then.
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

    /// Stages a second model on primed spares, so that each can replace a member of either model:
    /// within 0.2 s for one and 1.6 s for the other.
    ///
    /// With one model per spare, the second loss of the same model in a domain would wait 16 s for
    /// a load. Nothing is staged if the domain has more spares than models, or while half of the
    /// weight store's concurrent loads are in progress, so that missing weights load first.
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

    /// Creates the priming formation of a spare.
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

    /// The model with the most members per primed spare in this domain.
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

    /// The models for which free hosts are primed or being primed.
    fn spares(&self, unbound: &[&Host]) -> Vec<ModelName> {
        let models = unbound.iter().filter_map(|host| {
            let priming = self.formation_of(&host.id).map(|f| f.model.clone());
            let staging = self.staging.get(&host.id).map(|(model, _)| model.clone());
            self.primed_model(host).or(priming).or(staging)
        });
        models.collect()
    }
}
