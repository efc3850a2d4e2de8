//! Choosing models and members for hosts that are free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{FabricDomain, HostId};

use crate::catalog::{Engine, ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::Host;
use crate::planner::formation::{Formation, Purpose, Step};
use crate::planner::{Command, Order, Planner};

/// A load that was ordered is ordered again after this many times its usual time: beyond
/// the loads that the weight store serves at once each takes proportionally longer.
const STAGE_PATIENCE: u32 = 2;

impl Planner {
    /// Forms replicas from free hosts, and primes those that are left over.
    pub(super) fn form(
        &mut self,
        service: &Service,
        engine: &Engine,
        fleet: &Fleet,
        cold: bool,
        now: Instant,
    ) {
        let mut domains = self.free_hosts(service, fleet);
        for (fabric, free) in &mut domains {
            if self.is_being_freed(fabric, now) {
                continue;
            }
            while let Some(model) = self.next_model(service, engine, fabric, free) {
                if !self.form_one(model, engine, free, cold, now) {
                    break;
                }
            }
        }
        for (fabric, free) in &domains {
            for host in free {
                self.prime(service, engine, fabric, host, cold, now);
            }
        }
    }

    /// Whether hosts of a domain are about to be free that hold a model already.
    ///
    /// Members of a lost replica leave within milliseconds of each other. One formed in
    /// between would take spares that must load the model, for 16 s instead of 0.2 s.
    fn is_being_freed(&self, fabric: &FabricDomain, now: Instant) -> bool {
        let waits_for = |m: &HostId| !self.silent.contains_key(m);
        let leaving = |f: &&Formation| f.step == Step::Dissolving && f.fabric == *fabric;
        let mut leaving = self.formations.values().filter(leaving);
        leaving.any(|f| {
            let recent = now.saturating_duration_since(f.since) < self.timing.leave;
            recent && f.bound().any(waits_for)
        })
    }

    /// Hosts that no serving formation has, by fabric domain.
    fn free_hosts<'f>(
        &self,
        service: &Service,
        fleet: &'f Fleet,
    ) -> BTreeMap<FabricDomain, Vec<&'f Host>> {
        let bound = self.members();
        let mut domains: BTreeMap<FabricDomain, Vec<&Host>> = BTreeMap::new();
        for host in fleet.hosts() {
            let usable = host.service == service.name && host.is_ready();
            if usable && !bound.contains(&host.id) && !self.silent.contains_key(&host.id) {
                domains.entry(host.fabric.clone()).or_default().push(host);
            }
        }
        domains
    }

    /// The model that free hosts of a domain should form next.
    ///
    /// The one with the most work for each of its replicas, counting one more. A second
    /// replica of a model in one domain is formed only where that model is the neediest:
    /// otherwise hosts that wait for one more would be taken from a needier model.
    fn next_model<'e>(
        &self,
        service: &Service,
        engine: &'e Engine,
        fabric: &FabricDomain,
        free: &[&Host],
    ) -> Option<&'e ModelSpec> {
        let need = |m: &ModelSpec| m.share.get() / (self.serving(service, m, None) + 1) as f64;
        let mut models: Vec<&ModelSpec> = engine.models.iter().collect();
        models.sort_by(|a, b| need(b).total_cmp(&need(a)));
        let neediest = models.first().map(|m| m.name.clone());
        models.into_iter().find(|m| {
            let first = self.serving(service, m, Some(fabric)) == 0;
            let spares_left = free.len().saturating_sub(m.size) >= engine.models.len();
            let wanted = first || (neediest.as_ref() == Some(&m.name) && spares_left);
            wanted && m.size > 0 && m.size <= free.len()
        })
    }

    /// Replicas of a model that serve or are about to.
    fn serving(
        &self,
        service: &Service,
        model: &ModelSpec,
        fabric: Option<&FabricDomain>,
    ) -> usize {
        let counts = |f: &&Formation| {
            f.purpose == Purpose::Serve
                && f.loss.is_none()
                && f.service == service.name
                && f.model == model.name
                && fabric.is_none_or(|d| f.fabric == *d)
        };
        self.formations.values().filter(counts).count()
    }

    /// Takes the hosts that are ready soonest. `false` when loads must wait.
    fn form_one(
        &mut self,
        model: &ModelSpec,
        engine: &Engine,
        free: &mut Vec<&Host>,
        cold: bool,
        now: Instant,
    ) -> bool {
        free.sort_by_key(|h| (self.join_time(h, Some(model)), h.id.clone()));
        let chosen: Vec<&Host> = free.iter().take(model.size).copied().collect();
        let loads = chosen.iter().filter(|h| self.needs_load(h, model)).count();
        if !self.take_loads(loads, engine, cold, now) {
            return false;
        }
        let (id, epoch) = self.next_formation();
        let Some(formation) = Formation::new(id.clone(), epoch, model, &chosen, now) else {
            return false;
        };
        self.drop_priming(&formation.members);
        self.formations.insert(id, formation);
        free.drain(..model.size);
        true
    }

    /// Whether joining takes a load from the weight store.
    fn needs_load(&self, host: &Host, model: &ModelSpec) -> bool {
        !host.staged.contains(&model.name)
    }

    /// Whether `count` loads may start now; counts them if so.
    ///
    /// The weight store serves a bounded number of loads, and each one beyond makes all
    /// slower, so that spares loading at once would delay the replica that waits.
    fn take_loads(&mut self, count: usize, engine: &Engine, cold: bool, now: Instant) -> bool {
        if count == 0 {
            return true;
        }
        let window = self.timing.load_window;
        while self
            .loads
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > window)
        {
            self.loads.pop_front();
        }
        let permitted = engine.loads_per_ks as f64 / 1000.0 * window.as_secs_f64();
        // What a planner before this one began in the window isn't known.
        let before = self.term > 1 && now.saturating_duration_since(self.began) < window;
        if !cold && (before || (self.loads.len() + count) as f64 > permitted) {
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

    /// Has a spare join a replica of its own, of the model that most needs one.
    fn prime(
        &mut self,
        service: &Service,
        engine: &Engine,
        fabric: &FabricDomain,
        host: &Host,
        cold: bool,
        now: Instant,
    ) {
        if self.primed.contains_key(&host.id) || self.formation_of(&host.id).is_some() {
            return;
        }
        // Before requests come, replicas that serve are loaded first.
        let waits = |f: &Formation| f.purpose == Purpose::Serve && f.step != Step::Open;
        if cold && self.formations.values().any(waits) {
            return;
        }
        let Some(model) = self.model_to_prime(service, engine, fabric, host) else {
            return;
        };
        let loads = usize::from(self.needs_load(host, model));
        if !self.take_loads(loads, engine, cold, now) {
            return;
        }
        let (id, epoch) = self.next_formation();
        let Some(mut formation) = Formation::new(id.clone(), epoch, model, &[host], now) else {
            return;
        };
        formation.purpose = Purpose::Prime;
        self.formations.insert(id, formation);
    }

    /// Has spares that are primed for one model load another one as well.
    ///
    /// A host joins in 0.2 s the model that it was last a member for, whatever weights
    /// its memory holds by now, and in 1.6 s one whose weights it holds. With both, each
    /// spare can replace a member of either model; with one, the second loss of the same
    /// model in a domain would wait 16 s for a load.
    pub(super) fn stage_spares(
        &mut self,
        service: &Service,
        engine: &Engine,
        fleet: &Fleet,
        cold: bool,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if engine.models.len() < 2 {
            return;
        }
        let domains = self.free_hosts(service, fleet);
        for (fabric, host) in domains
            .iter()
            .flat_map(|(f, hosts)| hosts.iter().map(move |h| (f, h)))
        {
            let Some((_, primed)) = self.primed.get(&host.id) else {
                continue;
            };
            let busy = self
                .staging
                .get(&host.id)
                .is_some_and(|(_, until)| now < *until);
            let others = |m: &&ModelSpec| m.name != *primed;
            let held = engine
                .models
                .iter()
                .filter(others)
                .any(|m| host.staged.contains(&m.name));
            if busy || held {
                continue;
            }
            let size = |m: &&ModelSpec| m.size * self.serving(service, m, Some(fabric)).max(1);
            let Some(model) = engine.models.iter().filter(others).max_by_key(size) else {
                continue;
            };
            if !self.take_loads(1, engine, cold, now) {
                return;
            }
            let until = now + model.load * STAGE_PATIENCE;
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
    }

    /// The model with the most members in this domain for each spare that could replace one.
    fn model_to_prime<'e>(
        &self,
        service: &Service,
        engine: &'e Engine,
        fabric: &FabricDomain,
        host: &Host,
    ) -> Option<&'e ModelSpec> {
        let spares = self.spares(service, fabric);
        let need = |m: &ModelSpec| {
            let members = m.size * self.serving(service, m, Some(fabric)).max(1);
            let ready = spares.iter().filter(|s| **s == m.name.as_str()).count();
            let staged = if host.staged.contains(&m.name) {
                1.5
            } else {
                1.0
            };
            staged * members as f64 / (ready + 1) as f64
        };
        engine
            .models
            .iter()
            .max_by(|a, b| need(a).total_cmp(&need(b)))
    }

    /// The models for which the spares of a domain are primed.
    fn spares(&self, service: &Service, fabric: &FabricDomain) -> Vec<&str> {
        let bound: BTreeSet<&HostId> = self.members();
        let of_domain = |f: &&Formation| {
            f.purpose == Purpose::Prime && f.service == service.name && f.fabric == *fabric
        };
        let priming = self.formations.values().filter(of_domain);
        let free = priming.filter(|f| f.members.iter().all(|m| !bound.contains(m)));
        free.map(|f| f.model.as_str()).collect()
    }
}
