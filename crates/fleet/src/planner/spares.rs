//! Preparation of spare hosts: priming and staging of weights.
//!
//! A host joins a replica of the model that it was last a member for within 0.2 s, one whose
//! weights are in its memory within 1.6 s, and any other within 16 s. So each spare is primed for
//! one model and stages another one in the background.

use eelgrassmill_base::{FabricDomain, ModelName};

use crate::catalog::ModelSpec;
use crate::host::Host;
use crate::planner::formation::{Formation, Purpose};
use crate::planner::loads::LoadPurpose;
use crate::planner::placement::ServiceView;
use crate::planner::{Command, Planner};

impl Planner {
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
            return;
        }
        // The host may be wanted by a replica once the others are free.
        let is_wanted = self.is_releasing_members(&host.fabric, view.now);
        if !is_wanted && self.loads_in_progress(view.now) < view.engine.max_concurrent_loads {
            self.stage(view, host, model, LoadPurpose::Spare, commands);
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
            if !view.cold
                && self.loads_in_progress(view.now) * 2 >= view.engine.max_concurrent_loads
            {
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
                self.stage(view, host, model, LoadPurpose::Spare, commands);
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
            let staging = self.staging.get(&host.id).map(|load| load.model.clone());
            self.primed_model(host).or(priming).or(staging)
        });
        models.collect()
    }
}
