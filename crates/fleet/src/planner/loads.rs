//! Loads of weights from the weight store: which begin first, and how many at a time.
//!
//! Beyond a number of concurrent loads the weight store slows all of them down. If all hosts of a
//! fleet lack their weights and load at once, none has them before the last one does. So the loads
//! of the replica that serves the largest share of requests for each load come first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FabricDomain, HostId, ModelName, value};

use crate::catalog::ModelSpec;
use crate::host::Host;
use crate::planner::placement::ServiceView;
use crate::planner::{Command, Order, Planner};

/// Timeout of a load as a multiple of its expected time.
const TIMEOUT_FACTOR: u32 = 2;
/// Highest factor by which the timeout grows while a load is ordered again.
const MAX_BACKOFF: u32 = 8;

value! { copy
    /// What a load is for.
    pub(super) enum LoadPurpose {
        /// A replica that serves once it has its weights.
        Replica,
        /// Later repairs, or additional replicas.
        Spare,
    }
}

/// A load that a host was ordered to do and has not completed, as far as its entry shows.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) model: ModelName,
    /// Start time of the host, which knows nothing of the order after a restart.
    pub(super) born_ms: u64,
    purpose: LoadPurpose,
    expected_end: Instant,
    /// When the load is ordered again.
    timeout: Instant,
    /// Factor by which the timeout is longer than that of the first order.
    backoff: u32,
}

impl Load {
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.expected_end.saturating_duration_since(now)
    }

    fn is_running(&self, now: Instant) -> bool {
        now < self.timeout
    }
}

/// A replica that can be formed once its hosts have loaded its weights.
#[derive(Debug)]
pub(super) struct UnloadedReplica<'v> {
    pub(super) model: &'v ModelSpec,
    pub(super) hosts: Vec<&'v Host>,
}

/// Whether a host has neither a membership nor staged weights, as far as its entry shows.
pub(super) fn is_blank(host: &Host) -> bool {
    host.membership.is_none() && host.staged.is_empty()
}

impl Planner {
    /// Orders loads for replicas, those first that serve the largest share of requests for each load
    /// that is still to be ordered.
    pub(super) fn load_replicas(
        &mut self,
        view: &ServiceView<'_>,
        mut unloaded: Vec<UnloadedReplica<'_>>,
        commands: &mut Vec<Command>,
    ) {
        // Replicas of each model that come before.
        let mut planned: BTreeMap<ModelName, usize> = BTreeMap::new();
        loop {
            let value = |r: &UnloadedReplica<'_>| {
                let before = planned.get(&r.model.name).copied().unwrap_or_default();
                self.share_per_load(view, r, before)
            };
            let values = unloaded.iter().map(value).enumerate();
            let best = values.max_by(|(i, a), (j, b)| a.total_cmp(b).then(j.cmp(i)));
            let Some((best, _)) = best else { return };
            let replica = unloaded.remove(best);
            *planned.entry(replica.model.name.clone()).or_default() += 1;
            if !self.load_replica(view, &replica, commands) {
                return;
            }
        }
    }

    /// The share of requests that a replica serves for each load that is still to be ordered, after
    /// `planned` other replicas of the model.
    fn share_per_load(
        &self,
        view: &ServiceView<'_>,
        replica: &UnloadedReplica<'_>,
        planned: usize,
    ) -> f64 {
        let model = replica.model;
        let next = (self.serving_count(view, model, None) + 1) as f64;
        let share = self.unmet_demand(view, model) * model.size as f64;
        let to_order = replica.hosts.iter();
        let to_order = to_order.filter(|h| self.is_to_load(h, model, view.now));
        share * next / (next + planned as f64) / to_order.count() as f64
    }

    /// Orders the loads that a replica still needs, as far as the weight store serves them without
    /// delay to earlier replicas. Returns whether it ordered all.
    ///
    /// Loads of one replica that exceed the limit are as fast together as one after the other, and
    /// those of spares don't delay the next replica.
    fn load_replica(
        &mut self,
        view: &ServiceView<'_>,
        replica: &UnloadedReplica<'_>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let model = replica.model;
        let running = self.staging.iter();
        let running = running
            .filter(|(id, load)| load.is_running(view.now) && !self.silent.contains_key(*id));
        let is_other = |(id, load): &(&HostId, &Load)| {
            load.purpose == LoadPurpose::Replica && replica.hosts.iter().all(|h| h.id != **id)
        };
        let room = if running.clone().any(|load| is_other(&load)) {
            let running = running.count();
            view.engine.max_concurrent_loads.saturating_sub(running)
        } else {
            replica.hosts.len()
        };
        let to_load = replica.hosts.iter();
        let to_load = to_load.filter(|h| self.is_to_load(h, model, view.now));
        let to_load: Vec<&Host> = to_load.copied().collect();
        for host in to_load.iter().take(room) {
            self.stage(view, host, model, LoadPurpose::Replica, commands);
        }
        to_load.len() <= room
    }

    /// Whether a host lacks a model's weights and isn't loading any.
    fn is_to_load(&self, host: &Host, model: &ModelSpec, now: Instant) -> bool {
        let load = self.staging.get(&host.id);
        !self.has_weights(host, model) && !load.is_some_and(|l| l.is_running(now))
    }

    /// The load of a model's weights that a host was ordered to do.
    pub(super) fn load_of(&self, host: &Host, model: &ModelSpec) -> Option<&Load> {
        let load = self.staging.get(&host.id);
        load.filter(|load| load.model == model.name)
    }

    /// During a takeover, orders loads for first replicas of fabric domains whose hosts have neither a
    /// membership nor staged weights, and have begun no order since their start.
    ///
    /// A background load breaks no replica, whatever orders of the former planner are still in flight.
    pub(super) fn load_unused_domains(
        &mut self,
        view: &ServiceView<'_>,
        commands: &mut Vec<Command>,
    ) {
        if view.cold {
            return;
        }
        let mut unused: BTreeMap<&FabricDomain, Vec<&Host>> = BTreeMap::new();
        let mut in_use: BTreeSet<&FabricDomain> = BTreeSet::new();
        let hosts = view.fleet.hosts().filter(|h| h.is_ready());
        for host in hosts.filter(|h| h.service == view.service.name) {
            if self.unordered.contains_key(&host.id) && is_blank(host) {
                unused.entry(&host.fabric).or_default().push(host);
            } else if !self.silent.contains_key(&host.id) {
                in_use.insert(&host.fabric);
            }
        }
        unused.retain(|fabric, _| !in_use.contains(fabric));
        let mut unloaded = Vec::new();
        for (fabric, free) in &mut unused {
            for model in self.wanted_models(view, fabric, free.len()) {
                if model.size > 0 && free.len() >= model.size {
                    self.sort_by_join_time(free, model, view.now);
                    let hosts = free.drain(..model.size).collect();
                    unloaded.push(UnloadedReplica { model, hosts });
                }
            }
        }
        self.load_replicas(view, unloaded, commands);
    }

    /// Orders a host to load a model's weights in the background, unless it is already loading.
    pub(super) fn stage(
        &mut self,
        view: &ServiceView<'_>,
        host: &Host,
        model: &ModelSpec,
        purpose: LoadPurpose,
        commands: &mut Vec<Command>,
    ) {
        if !self.is_to_load(host, model, view.now) || !self.reserve_loads(1, view) {
            return;
        }
        // A load that timed out may still run, slowed down by loads that this planner doesn't know.
        let backoff = match self.load_of(host, model) {
            Some(load) => (load.backoff * 2).min(MAX_BACKOFF),
            None => 1,
        };
        let concurrent = self.loads_in_progress(view.now) + 1;
        let slowdown = concurrent as f64 / view.engine.max_concurrent_loads.max(1) as f64;
        let expected = model.load_time.mul_f64(slowdown.max(1.0));
        let load = Load {
            model: model.name.clone(),
            born_ms: host.started_ms,
            purpose,
            expected_end: view.now + expected,
            timeout: view.now + expected * TIMEOUT_FACTOR * backoff,
            backoff,
        };
        self.staging.insert(host.id.clone(), load);
        commands.push(Command::Order {
            host: host.id.clone(),
            address: host.address.clone(),
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }

    /// Loads that were ordered and have not completed as far as host entries show.
    pub(super) fn loads_in_progress(&self, now: Instant) -> usize {
        let loads = self.staging.values();
        loads.filter(|load| load.is_running(now)).count()
    }

    /// Reserves `count` loads that start now, if the rate limit permits; returns whether it does.
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
        let recent = self.loads.len() + self.loads_of_former_planner(view);
        if !view.cold && (recent + count) as f64 > permitted {
            return false;
        }
        self.loads.extend(std::iter::repeat_n(now, count));
        true
    }

    /// The most loads that the previous planner may have started in the window: one at each host
    /// that has begun an order since its start.
    fn loads_of_former_planner(&self, view: &ServiceView<'_>) -> usize {
        let since_start = view.now.saturating_duration_since(self.started_at);
        if self.term <= 1 || since_start >= self.timing.load_window {
            return 0;
        }
        let hosts = view.fleet.hosts();
        let hosts = hosts.filter(|h| h.service == view.service.name);
        hosts
            .filter(|h| !self.unordered.contains_key(&h.id))
            .count()
    }
}
