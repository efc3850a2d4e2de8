//! Assignment of free hosts to models.
//!
//! Loading weights from the weight store takes ten times longer than the rest of a repair. So a
//! replica is formed only of hosts that already have its weights; missing weights are loaded in
//! the background, and the first host that is ready joins. A host that loads as a member would
//! block the other members meanwhile, and start over whenever the replica is formed differently
//! or another planner takes over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, GroupId, HostId, ModelName};
use smallvec::SmallVec;

use crate::catalog::{Engine, ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::capacity::CapacityStepKind;
use crate::planner::formation::{Formation, FormationPhase, Purpose};
use crate::planner::loads::UnloadedReplica;
use crate::planner::{Command, Planner};

/// A model whose replicas would have this many times less work each than another's leaves free
/// hosts to that other model.
const REBALANCE_RATIO: f64 = 2.0;

/// Number of missing hosts that free hosts wait for. While hosts are lost and replaced, one arrives
/// in a domain every few seconds; before the first request none is expected.
pub(super) const MAX_MISSING_HOSTS: usize = 1;

/// Hosts that start together are listed within this time of each other.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Inputs of one planning pass for one service.
pub(super) struct ServiceView<'v> {
    pub(super) service: &'v Service,
    pub(super) engine: &'v Engine,
    pub(super) fleet: &'v Fleet,
    /// Whether no request was ever served; loads are fast and not rate-limited then.
    pub(super) cold: bool,
    pub(super) now: Instant,
}

impl Planner {
    /// Forms replicas from free hosts, and prepares the remaining hosts as spares.
    pub(super) fn form_replicas(&mut self, view: &ServiceView<'_>, commands: &mut Vec<Command>) {
        // The first few hosts to be listed would go to whichever model fits.
        if view.cold && !self.all_are_listed(view.now) {
            return;
        }
        let mut domains = self.free_hosts(view);
        let unasked = self.unreported_domains(view);
        let mut unloaded = Vec::new();
        for (fabric, free) in &mut domains {
            // The first few hosts to answer a new planner would go to whichever model fits.
            if !unasked.contains(fabric) {
                self.form_in_domain(view, fabric, free, &mut unloaded);
                self.lend_spares(view, fabric, free);
            }
        }
        self.load_replicas(view, unloaded, commands);
        // Before the first request, serving replicas load before spares do.
        let waits = |f: &Formation| f.purpose == Purpose::Serve && f.phase != FormationPhase::Open;
        if view.cold && self.formations.values().any(waits) {
            return;
        }
        let unbound = self.free_hosts(view);
        for (fabric, free) in &domains {
            let spares = unbound.get(fabric).map_or(&[][..], Vec::as_slice);
            for host in free {
                self.prime_spare(view, spares, host, commands);
            }
        }
        for (fabric, free) in &domains {
            self.stage_spares(view, fabric, free, commands);
        }
        self.stage_lent_spares(view, commands);
        self.stage_ahead(view, commands);
    }

    /// Fabric domains with hosts that have yet to report their membership to this planner.
    fn unreported_domains<'f>(&self, view: &ServiceView<'f>) -> BTreeSet<&'f FabricDomain> {
        let unasked = |h: &&Host| {
            let is_ours = h.service == view.service.name && h.is_ready();
            is_ours && !self.knows_membership(h) && !self.silent.contains_key(&h.id)
        };
        let hosts = view.fleet.hosts().filter(unasked);
        hosts.map(|h| &h.fabric).collect()
    }

    /// Hosts that are held by no serving formation, by fabric domain.
    pub(super) fn free_hosts<'f>(
        &self,
        view: &ServiceView<'f>,
    ) -> BTreeMap<FabricDomain, Vec<&'f Host>> {
        let mut domains: BTreeMap<FabricDomain, Vec<&Host>> = BTreeMap::new();
        for host in view.fleet.hosts() {
            if host.service == view.service.name && self.is_free(host) {
                domains.entry(host.fabric.clone()).or_default().push(host);
            }
        }
        domains
    }

    /// Forms replicas from a domain's free hosts, and adds first ones that lack weights to `unloaded`.
    /// Removes the hosts of both from `free`.
    fn form_in_domain<'v>(
        &mut self,
        view: &ServiceView<'v>,
        fabric: &FabricDomain,
        free: &mut Vec<&'v Host>,
        unloaded: &mut Vec<UnloadedReplica<'v>>,
    ) {
        self.form_without_loads(view, fabric, free);
        for model in self.wanted_models(view, fabric, free.len()) {
            let is_first = self.serving_count(view, model, Some(fabric)) == 0;
            let spares_kept = if is_first {
                0
            } else {
                view.engine.models.len()
            };
            if model.size == 0 || free.len() < model.size + spares_kept {
                continue;
            }
            self.sort_by_join_time(free, model, view.now);
            let chosen: Vec<&Host> = free.iter().take(model.size).copied().collect();
            let lacking = chosen
                .iter()
                .filter(|h| !self.has_weights(h, model))
                .count();
            if lacking == 0 || view.cold {
                if !self.is_releasing_members(fabric, view.now)
                    && self.form_replica(view, model, &chosen).is_some()
                {
                    free.drain(..model.size);
                }
                continue;
            }
            // An additional replica isn't worth holding spares for. While members of a lost replica
            // are leaving, a model may only seem to have none, and loading it would evict the
            // weights of another model from hosts that wait for that one.
            if is_first && !self.is_releasing_members(fabric, view.now) {
                let hosts = free.drain(..model.size).collect();
                unloaded.push(UnloadedReplica { model, hosts });
            }
        }
    }

    /// Forms the replicas that a domain can have without loading weights.
    ///
    /// Missing weights take 16 s to load. If hosts were reserved for the model with the most unmet
    /// demand all that time, hosts with another model's weights would be idle: after a store outage
    /// that lost eight of twelve replicas, 33 of 54 hosts waited for 6 s and longer. A model with
    /// far less unmet demand than another gets no replica here. An additional replica leaves one
    /// spare: more would serve nobody, and the next loss of such a replica is repaired from its
    /// survivors.
    fn form_without_loads(
        &mut self,
        view: &ServiceView<'_>,
        fabric: &FabricDomain,
        free: &mut Vec<&Host>,
    ) {
        if view.cold || self.is_releasing_members(fabric, view.now) {
            return;
        }
        let wanted = self.wanted_models(view, fabric, free.len());
        let neediest = wanted.first().map_or(0.0, |m| self.unmet_demand(view, m));
        for model in wanted {
            let is_first = self.serving_count(view, model, Some(fabric)) == 0;
            // The hosts of a conversion are all meant for its model.
            let is_converting = self.conversions.is_for(fabric, &model.name);
            let spares_kept = usize::from(!is_first && !is_converting);
            let is_needed = self.unmet_demand(view, model) * REBALANCE_RATIO >= neediest;
            if model.size == 0 || free.len() < model.size + spares_kept || !is_needed {
                continue;
            }
            self.sort_by_join_time(free, model, view.now);
            let chosen: Vec<&Host> = free.iter().take(model.size).copied().collect();
            let all_hold = chosen.iter().all(|h| self.has_weights(h, model));
            if all_hold && self.form_replica(view, model, &chosen).is_some() {
                free.drain(..model.size);
            }
        }
    }

    /// Whether a host can join a replica of the model without loading weights.
    pub(super) fn has_weights(&self, host: &Host, model: &ModelSpec) -> bool {
        host.staged.contains(&model.name) || self.is_primed(host, model)
    }

    /// Whether members of a lost replica in a domain are about to become free.
    ///
    /// They leave within milliseconds of each other. A replica formed in between would use up the
    /// spares instead.
    pub(super) fn is_releasing_members(&self, fabric: &FabricDomain, now: Instant) -> bool {
        let waits_for = |m: &HostId| !self.silent.contains_key(m);
        let leaving = |f: &&Formation| f.phase == FormationPhase::Dissolving && f.fabric == *fabric;
        let mut leaving = self.formations.values().filter(leaving);
        leaving.any(|f| {
            let recent = now.saturating_duration_since(f.since) < self.timing.leave_timeout;
            recent && f.held_members().any(waits_for)
        })
    }

    /// The models of which a domain should form a replica, by descending unmet demand.
    ///
    /// Unmet demand is the work per replica, counting one more replica. A model's share is of the
    /// work of all hosts, so a model with small replicas needs more of them for the same share:
    /// four to one with sizes of 16 and 4 and equal shares. While the `free` hosts lack only a few
    /// for a replica of the model with the most unmet demand, no other model gets an additional
    /// replica, since it would take hosts that wait for the missing ones.
    pub(super) fn wanted_models<'e>(
        &self,
        view: &ServiceView<'e>,
        fabric: &FabricDomain,
        free: usize,
    ) -> Vec<&'e ModelSpec> {
        let mut models: Vec<&ModelSpec> = view.engine.models.iter().collect();
        models.sort_by(|a, b| {
            self.unmet_demand(view, b)
                .total_cmp(&self.unmet_demand(view, a))
        });
        let Some(neediest) = models.first().copied() else {
            return models;
        };
        let lacking = (neediest.size + models.len()).saturating_sub(free);
        let waits_for = if view.cold { 0 } else { MAX_MISSING_HOSTS };
        let others_too = lacking > waits_for && self.all_are_listed(view.now);
        let has_targets = self.capacity.is_known(&view.service.name);
        models.retain(|m| {
            // A model that has its target needs no replica in each fabric domain, and leaves
            // survivors of a lost replica to the model that is below its target.
            let is_satisfied = has_targets && !self.is_below_target(view, m);
            let is_converted = self.conversions.is_from(fabric, &m.name);
            if is_converted || is_satisfied && self.is_awaited(view, fabric, m, free) {
                return false;
            }
            let is_first = self.serving_count(view, m, Some(fabric)) == 0;
            is_first && !is_satisfied || others_too || neediest.name == m.name
        });
        models
    }

    /// Whether the number of listed hosts has been stable for [`LIST_SETTLE_TIME`].
    ///
    /// When all hosts start, they are listed one by one. Partially listed domains would be assigned
    /// to whichever model fits first, leaving no room for the others: with domains of 11 hosts and
    /// replicas of 6 and 3, half as many requests were served on time.
    fn all_are_listed(&self, now: Instant) -> bool {
        let since = self.host_count.1;
        now.saturating_duration_since(since) >= LIST_SETTLE_TIME
    }

    /// The work that an additional replica of a model would have.
    pub(super) fn unmet_demand(&self, view: &ServiceView<'_>, model: &ModelSpec) -> f64 {
        if let Some(unmet) = self.unmet_target(view, model) {
            return unmet;
        }
        let replicas = (self.serving_count(view, model, None) + 1) as f64;
        model.share.get() / (replicas * model.size.max(1) as f64)
    }

    /// Number of replicas of a model that serve or are about to.
    pub(super) fn serving_count(
        &self,
        view: &ServiceView<'_>,
        model: &ModelSpec,
        fabric: Option<&FabricDomain>,
    ) -> usize {
        self.serving.count(&view.service.name, &model.name, fabric)
    }

    /// Creates a formation of the chosen hosts; `None` if the loads that it needs must wait.
    pub(super) fn form_replica(
        &mut self,
        view: &ServiceView<'_>,
        model: &ModelSpec,
        chosen: &[&Host],
    ) -> Option<GroupId> {
        let loads = chosen
            .iter()
            .filter(|h| !self.has_weights(h, model))
            .count();
        if !self.reserve_loads(loads, view) {
            return None;
        }
        let (id, epoch) = self.next_formation();
        let mut chosen = chosen.to_vec();
        // The first host becomes the head.
        chosen.sort_by_key(|h| self.rejecting.is_unfit_head(&h.id));
        let formation = Formation::new(id.clone(), epoch, &model.name, &chosen, view.now)?;
        if self.is_below_target(view, model) && self.are_survivors(&chosen, model) {
            let (service, fabric) = (&formation.service, &formation.fabric);
            self.capacity
                .record(CapacityStepKind::Survivors, service, &model.name, fabric);
        }
        self.drop_priming(&formation.members);
        self.serving.add(&formation);
        self.formations.insert(formation);
        Some(id)
    }

    /// Removes the priming formations of spares that join a serving formation.
    fn drop_priming(&mut self, members: &[HostId]) {
        for member in members {
            let listing = self.formations.of_member(member);
            let priming = listing.filter(|f| f.purpose == Purpose::Prime);
            let ids: SmallVec<[GroupId; 2]> = priming.map(|f| f.id.clone()).collect();
            for id in ids {
                self.formations.remove(&id);
            }
        }
    }

    pub(super) fn primed_model(&self, host: &Host) -> Option<ModelName> {
        self.primed.get(&host.id).map(|(_, model)| model.clone())
    }

    /// Expected time for a host to become ready in a replica of `model`.
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
            return super::PRIMED_JOIN_TIME;
        }
        if host.staged.contains(&model.name) {
            return model.warm_load_time;
        }
        let load_time = match self.load_of(host, model) {
            Some(load) => load.time_left(now),
            None => model.load_time,
        };
        load_time + model.warm_load_time
    }

    /// Sorts hosts by the time in which they could join a replica of `model`; those that load another
    /// model come after others that load nothing.
    pub(super) fn sort_by_join_time(&self, hosts: &mut [&Host], model: &ModelSpec, now: Instant) {
        hosts.sort_by_key(|h| {
            let loads_another = self
                .staging
                .get(&h.id)
                .is_some_and(|l| l.model != model.name);
            let join_time = self.join_time(h, Some(model), now);
            (join_time, loads_another, h.id.clone())
        });
    }

    pub(super) fn is_primed(&self, host: &Host, model: &ModelSpec) -> bool {
        let primed = self.primed.get(&host.id);
        primed.is_some_and(|(_, m)| *m == model.name)
    }
}
