//! Staging of a second model's weights on serving hosts before the first request.
//!
//! A host rejoins the model of its last replica in 0.2 s, whatever its memory holds. The memory of
//! a serving host is therefore free for another model's weights, with which the host joins a
//! replica of either model within 1.6 s. Before the first request a load takes a tenth of its time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use eelgrassmill_base::{FabricDomain, HostId};

use crate::catalog::ModelSpec;
use crate::planner::formation::{Formation, FormationPhase, Purpose};
use crate::planner::loads::LoadPurpose;
use crate::planner::placement::ServiceView;
use crate::planner::{Command, Planner};

/// How many times faster weights load before the first request, as the platform specifies.
const FIRST_START_SPEEDUP: u32 = 10;

impl Planner {
    /// Switches on capacity by demand, which includes staging weights before the first request.
    pub fn enable_demand_policy(&mut self) {
        self.follows_demand = true;
    }

    /// Sets when loads cease to be fast even if no request was served. Loads that would end later
    /// are not started ahead; without an end there is no such limit.
    pub fn set_first_start_end(&mut self, end: Instant) {
        self.first_start_end = Some(end);
    }

    /// Stages other models' weights on serving members, once all replicas serve and all spares are
    /// primed.
    ///
    /// First come all members of the models with the largest replicas, then in each fabric domain
    /// as many members of other models as the domain keeps spares.
    pub(super) fn stage_ahead(&mut self, view: &ServiceView<'_>, commands: &mut Vec<Command>) {
        if !self.follows_demand || !view.cold || !self.is_prepared(view) {
            return;
        }
        let largest = view.engine.models.iter().map(|m| m.size).max();
        let is_largest = |m: &ModelSpec| Some(m.size) == largest;
        let mut first: BTreeMap<FabricDomain, VecDeque<HostId>> = BTreeMap::new();
        let mut then: BTreeMap<FabricDomain, VecDeque<HostId>> = BTreeMap::new();
        let serving =
            |f: &&Formation| f.purpose == Purpose::Serve && f.service == view.service.name;
        for f in self.formations.values().filter(serving) {
            let model = view.engine.models.iter().find(|m| m.name == f.model);
            let queues = if model.is_some_and(is_largest) {
                &mut first
            } else {
                &mut then
            };
            let queue = queues.entry(f.fabric.clone()).or_default();
            queue.extend(f.members.iter().cloned());
        }
        for queue in then.values_mut() {
            queue.truncate(view.engine.models.len());
        }
        let hosts = [in_turn(first), in_turn(then)].concat();
        for host in hosts.iter().filter_map(|id| view.fleet.host(id)) {
            if self.loads_in_progress(view.now) >= view.engine.max_concurrent_loads {
                return;
            }
            let holds = |m: &&ModelSpec| host.staged.contains(&m.name);
            let primed = self.primed_model(host);
            let others = || {
                let models = view.engine.models.iter();
                models.filter(|m| Some(&m.name) != primed.as_ref())
            };
            if primed.is_none() || others().any(|m| holds(&m)) {
                continue;
            }
            let members = |m: &&ModelSpec| m.size * self.serving_count(view, m, Some(&host.fabric));
            if let Some(model) = others().max_by_key(members)
                && self.ends_in_first_start(model, view.now)
            {
                self.stage(view, host, model, LoadPurpose::Spare, commands);
            }
        }
    }

    /// Whether all replicas of the service serve and all its spares are primed.
    fn is_prepared(&self, view: &ServiceView<'_>) -> bool {
        let mut formations = self.formations.values();
        let ready = |f: &Formation| match f.purpose {
            Purpose::Serve => f.phase == FormationPhase::Open,
            Purpose::Prime => f.ready.len() == f.members.len(),
        };
        let mut spares = self.free_hosts(view).into_values().flatten();
        formations.all(|f| f.service != view.service.name || ready(f))
            && spares.all(|h| self.primed_model(h).is_some())
    }

    fn ends_in_first_start(&self, model: &ModelSpec, now: Instant) -> bool {
        let ends = now + model.load_time / FIRST_START_SPEEDUP;
        self.first_start_end.is_none_or(|end| ends <= end)
    }
}

/// The hosts of all queues, one of each fabric domain in turn.
fn in_turn(mut queues: BTreeMap<FabricDomain, VecDeque<HostId>>) -> Vec<HostId> {
    let mut hosts = Vec::new();
    while !queues.is_empty() {
        queues.retain(|_, queue| {
            hosts.extend(queue.pop_front());
            !queue.is_empty()
        });
    }
    hosts
}
