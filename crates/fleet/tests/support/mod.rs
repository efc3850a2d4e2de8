//! Simulated hosts that execute orders like the platform's, and a checker of the safety rules.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, ModelName};
use eelgrassmill_fleet::{
    CapacityStep, CapacityStepKind, Command, DemandSnapshot, Engine, EngineSpeed, Fleet,
    FleetChange, Host, HostState, LossReason, Membership, MembershipPhase, Millionths, ModelSpec,
    OpenHead, Order, OrderReply, Planner, PlannerTiming, RequestKey, Service,
};
use smol_str::{SmolStr, format_smolstr};

/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(20);
/// Delay until a change shows in a host's entry.
const ENTRY_LAG: Duration = Duration::from_millis(250);
/// An entry expires this long after its host was last able to write it.
const ENTRY_TTL: Duration = Duration::from_millis(3000);
/// Time until a lost member is detected by stalled streams.
const STALL_DETECTION_TIME: Duration = Duration::from_millis(500);
/// Time until a head that lost a member reports itself broken.
const BREAK_TIME: Duration = Duration::from_secs(6);
const SERVICE: &str = "writer";
const LARGE: &str = "large";
const SMALL: &str = "small";

/// Actual state of a host.
#[derive(Clone, Debug)]
pub(crate) struct FakeHost {
    pub(crate) id: HostId,
    pub(crate) fabric: SmolStr,
    pub(crate) staged: Vec<ModelName>,
    pub(crate) last_model: Option<ModelName>,
    pub(crate) part: Option<Part>,
    pub(crate) alive: bool,
    /// Whether planners can reach it.
    pub(crate) reachable: bool,
    /// Whether another host has its address.
    pub(crate) replaced: bool,
    /// The other host, if it answers queries meant for this one.
    pub(crate) answered_by: Option<HostId>,
    pub(crate) state: HostState,
    /// Its start time.
    started_ms: u64,
    highest_epoch: Epoch,
    /// The model that it loads, and when it has loaded it.
    staging: Option<(ModelName, Duration)>,
    /// Orders that it has begun since its start.
    pub(crate) begun: u64,
    silent_since: Option<Duration>,
    /// Since when it can't write its entry, which is stale until it expires.
    unheard_since: Option<Duration>,
    listed: bool,
    shown: Option<Host>,
}

/// A host's membership in a replica.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Part {
    pub(crate) replica: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) model: ModelName,
    pub(crate) members: Vec<HostId>,
    pub(crate) phase: MembershipPhase,
    ready_at: Duration,
    opens_at: Option<Duration>,
}

/// A planner; an old one may still be running.
pub(crate) struct Actor {
    pub(crate) planner: Planner,
    pub(crate) until: Option<Duration>,
    /// Its node's view: the list and the hosts' own reports.
    fleet: Fleet,
}

/// All hosts and planners, and the violations found.
pub(crate) struct World {
    pub(crate) began: Instant,
    pub(crate) now: Duration,
    pub(crate) hosts: BTreeMap<HostId, FakeHost>,
    /// The host list alone, which is all that a new planner knows.
    listed: Fleet,
    pub(crate) actors: Vec<Actor>,
    service: Service,
    entries: Vec<(Duration, FleetChange)>,
    late: Vec<(Duration, HostId, Order)>,
    /// Fraction of orders that get no answer and are executed seconds later.
    pub(crate) delayed_ratio: f64,
    ready_once: BTreeSet<(GroupId, Epoch, HostId)>,
    pub(crate) violations: Vec<String>,
    /// Log of orders, replies and faults, for the trace of a violation.
    pub(crate) history: Vec<String>,
    pub(crate) orders: usize,
    pub(crate) queries: usize,
    pub(crate) loads: Vec<Duration>,
    /// Whether loads beyond those that the weight store serves at once slow each other down.
    pub(crate) shares_weight_store: bool,
    /// The most loads that ran at once.
    pub(crate) most_loads: usize,
    /// Whether no request was ever served: loads are fast then.
    pub(crate) cold: bool,
    /// Whether planners follow the demand.
    pub(crate) follows_demand: bool,
    /// The demand that planners learn.
    pub(crate) demand: Option<DemandSnapshot>,
    /// Steps by which capacity followed demand.
    pub(crate) steps: Vec<(Duration, CapacityStep)>,
    /// Number of failure domains over which fabric domains are spread.
    failure_domains: usize,
    rng: fastrand::Rng,
    term: u64,
    next_host: usize,
}

/// Speed of replicas with decode steps of 6 ms that prefill 50 tokens per millisecond.
pub(crate) fn key(number: u64) -> RequestKey {
    RequestKey {
        node: "n1".into(),
        number,
    }
}

/// Heads `r0`, `r1` and so on, at the hosts `h0`, `h1` and so on.
pub(crate) fn open_heads_with(count: usize, slots: usize) -> Vec<OpenHead> {
    let head = |n: usize| OpenHead {
        key: (format_smolstr!("r{n}"), 1),
        host: format_smolstr!("h{n}"),
        slots,
        failure_domain: "z1".into(),
        inherited_requests: 0,
        unscheduled_requests: 0,
        cold: None,
        limit: None,
    };
    (0..count).map(head).collect()
}

pub(crate) fn speed() -> EngineSpeed {
    EngineSpeed {
        decode_step: Duration::from_millis(6),
        decode_per_request: Duration::from_micros(45),
        steps_per_pass: 7,
        prefill_per_token: Duration::from_micros(20),
        time_factor: Millionths::of(1.0),
    }
}

fn model(name: &str, size: usize, share: f64, load: u64, warm: u64) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        size,
        share: Millionths::of(share),
        load_time: Duration::from_millis(load),
        warm_load_time: Duration::from_millis(warm),
        time_factor: Millionths::of(1.0),
    }
}

pub(crate) fn service() -> Service {
    Service {
        name: SERVICE.into(),
        max_connections: 100,
        cold: None,
        engine: Some(Engine {
            slots: 26,
            models: vec![
                model(LARGE, 6, 0.67, 16_000, 1_600),
                model(SMALL, 3, 0.33, 12_000, 1_100),
            ],
            loads_per_ks: 5_500,
            max_concurrent_loads: 8,
            speed: speed(),
        }),
    }
}

impl World {
    /// Creates `domains` fabric domains of `each` hosts, and a first planner.
    pub(crate) fn new(domains: usize, each: usize, seed: u64) -> World {
        World::with_service(domains, each, seed, service(), 1)
    }

    /// Creates a world with another service and several failure domains.
    pub(crate) fn with_service(
        domains: usize,
        each: usize,
        seed: u64,
        service: Service,
        failure_domains: usize,
    ) -> World {
        let began = Instant::now();
        let mut world = World {
            began,
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            listed: Fleet::default(),
            actors: Vec::new(),
            service,
            entries: Vec::new(),
            late: Vec::new(),
            delayed_ratio: 0.0,
            ready_once: BTreeSet::new(),
            violations: Vec::new(),
            history: Vec::new(),
            orders: 0,
            queries: 0,
            loads: Vec::new(),
            shares_weight_store: false,
            most_loads: 0,
            cold: false,
            follows_demand: false,
            demand: None,
            steps: Vec::new(),
            failure_domains,
            rng: fastrand::Rng::with_seed(seed),
            term: 0,
            next_host: 0,
        };
        for domain in 0..domains {
            for _ in 0..each {
                world.add_host(&format!("d{domain}"));
            }
        }
        let hosts = world.hosts.values().map(|h| world.entry(h)).collect();
        world.listed.apply(FleetChange::Snapshot(hosts), began);
        world.new_planner(None);
        world
    }

    pub(crate) fn add_host(&mut self, fabric: &str) -> HostId {
        let id = format_smolstr!("h{:03}", self.next_host);
        self.next_host += 1;
        let host = FakeHost {
            id: id.clone(),
            fabric: fabric.into(),
            staged: Vec::new(),
            last_model: None,
            part: None,
            alive: true,
            reachable: true,
            replaced: false,
            answered_by: None,
            state: HostState::Ready,
            started_ms: 1,
            highest_epoch: 0,
            staging: None,
            begun: 0,
            silent_since: None,
            unheard_since: None,
            listed: true,
            shown: None,
        };
        self.hosts.insert(id.clone(), host);
        id
    }

    /// Starts a new planner; the previous one keeps running for `overlap`, if set.
    pub(crate) fn new_planner(&mut self, overlap: Option<Duration>) {
        self.term += 1;
        self.history
            .push(format!("{} term {}", self.now.as_millis(), self.term));
        let until = overlap.map_or(self.now, |o| self.now + o);
        for actor in &mut self.actors {
            actor.until.get_or_insert(until);
        }
        let mut planner = Planner::new(self.term, PlannerTiming::default(), self.began + self.now);
        if self.follows_demand {
            planner.enable_demand_policy();
        }
        self.actors.push(Actor {
            planner,
            until: None,
            fleet: self.listed.clone(),
        });
    }

    pub(crate) fn planner(&self) -> &Planner {
        &self
            .actors
            .last()
            .expect("there is always a planner")
            .planner
    }

    /// Kills the host permanently.
    pub(crate) fn kill(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} kill", self.now.as_millis()));
        let now = self.now;
        let host = self.host(id);
        host.alive = false;
        host.reachable = false;
        host.silent_since = Some(now);
        host.unheard_since.get_or_insert(now);
    }

    /// Restarts the host under the same name; it keeps only its staged weights.
    pub(crate) fn restart(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} restart", self.now.as_millis()));
        let host = self.host(id);
        host.started_ms += 1;
        host.part = None;
        host.last_model = None;
        host.highest_epoch = 0;
        host.staging = None;
        host.begun = 0;
    }

    /// All hosts restart without their weights, and a new planner takes over.
    pub(crate) fn lose_power(&mut self) {
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.restart(&id);
            self.host(&id).staged.clear();
        }
        self.loads.clear();
        self.most_loads = 0;
        self.new_planner(None);
    }

    /// Partitions the host from planners and the list; it keeps serving.
    pub(crate) fn partition(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} cut", self.now.as_millis()));
        let now = self.now;
        let host = self.host(id);
        host.reachable = false;
        host.silent_since = Some(now);
        host.unheard_since.get_or_insert(now);
    }

    /// Partitions the host from the list only: it executes orders, but its entry becomes stale and
    /// expires.
    pub(crate) fn partition_from_list(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} cut from list", self.now.as_millis()));
        let now = self.now;
        self.host(id).unheard_since.get_or_insert(now);
    }

    /// Applies the full list again, as after its history was dropped.
    pub(crate) fn reload_list(&mut self) {
        self.history
            .push(format!("{} list read anew", self.now.as_millis()));
        let hosts: Vec<Host> = self.listed.hosts().cloned().collect();
        let now = self.instant();
        for actor in &mut self.actors {
            actor.fleet.apply(FleetChange::Snapshot(hosts.clone()), now);
        }
    }

    /// Reports to the planners that a host does not respond.
    pub(crate) fn report_silent(&mut self, id: &HostId) {
        for actor in &mut self.actors {
            actor.planner.mark_silent(id, &actor.fleet);
        }
    }

    /// Reports to the planners that a head rejects requests.
    pub(crate) fn report_rejecting(&mut self, head: &HostId) {
        let at = self.instant();
        for actor in &mut self.actors {
            actor.planner.on_head_rejecting(head, at);
        }
    }

    /// Reports to the newest planner that the replica of a head is broken, although its members are
    /// healthy.
    pub(crate) fn report_replica_lost(&mut self, head: &HostId) {
        let at = self.instant();
        let part = self.hosts.get(head).and_then(|h| h.part.clone());
        if let (Some(part), Some(actor)) = (part, self.actors.last_mut()) {
            let planner = &mut actor.planner;
            planner.on_replica_lost(&part.replica, part.epoch, LossReason::Broken, at);
        }
    }

    /// Partitions the host from planners only; the list still shows it.
    pub(crate) fn partition_from_planners(&mut self, id: &HostId) {
        self.host(id).reachable = false;
    }

    pub(crate) fn heal(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} heal", self.now.as_millis()));
        let host = self.host(id);
        if host.alive {
            host.reachable = true;
            host.silent_since = None;
            host.unheard_since = None;
            host.listed = true;
            host.shown = None;
        }
    }

    /// Removes the host's entry while the host keeps serving and executing orders.
    pub(crate) fn remove_entry(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} vanish", self.now.as_millis()));
        self.host(id).listed = false;
        let due = self.now + ENTRY_LAG;
        self.entries.push((due, FleetChange::Removed(id.clone())));
    }

    pub(crate) fn drain(&mut self, id: &HostId) {
        self.history
            .push(format!("{} {id} drain", self.now.as_millis()));
        self.host(id).state = HostState::Leaving;
    }

    pub(crate) fn host(&mut self, id: &HostId) -> &mut FakeHost {
        self.hosts
            .get_mut(id)
            .expect("the test names a host that exists")
    }

    /// Members of the open replica of `model` in `fabric`, the head first.
    pub(crate) fn members(&self, fabric: &str, model: &str) -> Vec<HostId> {
        let serves = |h: &&FakeHost| {
            h.alive
                && h.fabric == fabric
                && h.part.as_ref().is_some_and(|p| {
                    p.model == model && p.phase == MembershipPhase::Open && p.members[0] == h.id
                })
        };
        let head = self.hosts.values().find(serves);
        head.and_then(|h| h.part.as_ref())
            .map(|p| p.members.clone())
            .unwrap_or_default()
    }

    /// Number of open replicas with all their members.
    pub(crate) fn serving(&self) -> usize {
        let heads = self.hosts.values().filter(|h| h.alive);
        let parts = heads.filter_map(|h| h.part.as_ref().map(|p| (h, p)));
        parts
            .filter(|(h, p)| p.members[0] == h.id && p.phase == MembershipPhase::Open)
            .filter(|(_, p)| p.members.iter().all(|m| self.belongs(m, p)))
            .count()
    }

    /// Number of open replicas of a model with all their members.
    pub(crate) fn replicas(&self, model: &str) -> usize {
        let heads = self.hosts.values().filter(|h| h.alive);
        let parts = heads.filter_map(|h| h.part.as_ref().map(|p| (h, p)));
        parts
            .filter(|(h, p)| p.members[0] == h.id && p.phase == MembershipPhase::Open)
            .filter(|(_, p)| p.model == model && p.members.iter().all(|m| self.belongs(m, p)))
            .count()
    }

    /// Number of steps of a kind.
    pub(crate) fn count_steps(&self, kind: CapacityStepKind) -> usize {
        self.steps.iter().filter(|(_, s)| s.kind == kind).count()
    }

    fn belongs(&self, id: &HostId, part: &Part) -> bool {
        let host = self.hosts.get(id).filter(|h| h.alive);
        let own = host.and_then(|h| h.part.as_ref());
        own.is_some_and(|p| p.replica == part.replica && p.epoch == part.epoch)
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
    }

    fn instant(&self) -> Instant {
        self.began + self.now
    }

    /// Runs one planning pass of the newest planner.
    pub(crate) fn step_planner(&mut self) {
        self.step(self.actors.len() - 1);
    }

    fn tick(&mut self) {
        self.execute_delayed();
        self.share_weight_store();
        self.advance_hosts();
        self.write_entries();
        self.deliver_entries();
        self.detect_stalls();
        let now = self.now;
        self.actors
            .retain(|a| a.until.is_none_or(|until| now < until));
        for i in 0..self.actors.len() {
            self.step(i);
        }
    }

    fn step(&mut self, i: usize) {
        let now = self.instant();
        let services = [&self.service];
        let Actor { planner, fleet, .. } = &mut self.actors[i];
        if self.follows_demand {
            planner.set_demand(self.demand.clone());
        }
        let commands = planner.plan(fleet, &services, self.cold, now);
        let steps = planner.take_capacity_steps();
        self.steps.extend(steps.into_iter().map(|s| (self.now, s)));
        for command in commands {
            match command {
                Command::Order { host, order, .. } => self.order(i, host, order),
                Command::Query { host } => self.query(i, &host),
            }
        }
    }

    fn order(&mut self, i: usize, host: HostId, order: Order) {
        self.orders += 1;
        let now = self.instant();
        let reached = self.hosts.get(&host).is_some_and(|h| h.reachable);
        let late = reached && self.rng.f64() < self.delayed_ratio;
        if late {
            let due = self.now + Duration::from_millis(self.rng.u64(2_000..12_000));
            self.late.push((due, host.clone(), order.clone()));
        }
        let Actor { planner, fleet, .. } = &mut self.actors[i];
        if !reached {
            planner.on_unanswered(&host, fleet, now);
            return;
        }
        if late {
            planner.on_reply(&host, &order, None, now);
            return;
        }
        let reply = self.handle_order(&host, &order);
        let Actor { planner, fleet, .. } = &mut self.actors[i];
        if let (Order::Leave { replica, epoch }, OrderReply::Done) = (&order, reply) {
            fleet.clear_membership(&host, replica, *epoch);
        }
        planner.on_reply(&host, &order, Some(reply), now);
    }

    fn query(&mut self, i: usize, id: &HostId) {
        self.queries += 1;
        let host = self.hosts.get(id).filter(|h| h.reachable && !h.replaced);
        let has_no_orders = host.is_some_and(|h| h.begun == 0 && h.answered_by.is_none());
        let entry = host.map(|h| self.entry(h));
        let answers = self.hosts.get(id).and_then(|h| h.answered_by.as_ref());
        let entry = answers.map_or(entry, |other| {
            let other = self.entry(&self.hosts[other]);
            let id = id.clone();
            Some(Host { id, ..other })
        });
        let now = self.instant();
        let Actor { planner, fleet, .. } = &mut self.actors[i];
        let Some(entry) = entry else {
            planner.on_unanswered(id, fleet, now);
            return;
        };
        if planner.on_report(&entry, fleet, now) {
            if has_no_orders {
                planner.on_unordered(&entry);
            }
            fleet.apply_report(entry);
        }
    }

    fn execute_delayed(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|(at, ..)| *at <= now);
        self.late = later;
        for (_, host, order) in due {
            if self.hosts.get(&host).is_some_and(|h| h.alive) {
                self.handle_order(&host, &order);
            }
        }
    }

    pub(crate) fn handle_order(&mut self, id: &HostId, order: &Order) -> OrderReply {
        let replaced = self.hosts[id].replaced;
        let reply = if replaced {
            OrderReply::WrongHost
        } else {
            self.execute_order(id, order)
        };
        self.host(id).begun += u64::from(reply == OrderReply::Begun);
        let at = self.now.as_millis();
        self.history
            .push(format!("{at} {id} {order:?} -> {reply:?}"));
        reply
    }

    /// The log lines about a host or a replica.
    pub(crate) fn trace(&self, of: &str) -> Vec<&String> {
        self.history
            .iter()
            .filter(|line| line.contains(of))
            .collect()
    }

    fn execute_order(&mut self, id: &HostId, order: &Order) -> OrderReply {
        match order {
            Order::Join {
                replica,
                epoch,
                model,
                members,
            } => self.join(id, replica, *epoch, model, members),
            Order::Open { replica, epoch } => self.open(id, replica, *epoch),
            Order::Close { replica, epoch } => self.close(id, replica, *epoch),
            Order::Leave { replica, epoch } => {
                let host = self.host(id);
                if host
                    .part
                    .as_ref()
                    .is_some_and(|p| p.replica == *replica && p.epoch == *epoch)
                {
                    host.part = None;
                }
                OrderReply::Done
            }
            Order::Stage { model } if self.loads_model(id, model) => OrderReply::Done,
            Order::Stage { model } => {
                let load = self.load_time(model);
                let now = self.now;
                self.loads.push(now);
                self.host(id).staging = Some((model.clone(), now + load));
                OrderReply::Begun
            }
        }
    }

    fn loads_model(&self, id: &HostId, model: &ModelName) -> bool {
        let staging = self.hosts[id].staging.as_ref();
        staging.is_some_and(|(loads, _)| loads == model)
    }

    /// Delays loads that slow each other down.
    fn share_weight_store(&mut self) {
        let engine = self.service.engine.as_ref();
        let at_once = engine.map_or(0, |e| e.max_concurrent_loads);
        let loading = |h: &&mut FakeHost| h.alive && h.staging.is_some();
        let running = self.hosts.values_mut().filter(loading).count();
        self.most_loads = self.most_loads.max(running);
        if !self.shares_weight_store || running <= at_once {
            return;
        }
        let delay = TICK.mul_f64(1.0 - at_once as f64 / running as f64);
        let loading = self.hosts.values_mut().filter(loading);
        for (_, at) in loading.filter_map(|h| h.staging.as_mut()) {
            *at += delay;
        }
    }

    fn load_time(&self, model: &str) -> Duration {
        let engine = self
            .service
            .engine
            .as_ref()
            .expect("the service has an engine");
        engine
            .models
            .iter()
            .find(|m| m.name == model)
            .map(|m| m.load_time / if self.cold { 10 } else { 1 })
            .unwrap_or_default()
    }

    /// Switches on capacity by demand, for the current planner and later ones.
    pub(crate) fn follow_demand(&mut self) {
        self.follows_demand = true;
        for actor in &mut self.actors {
            actor.planner.enable_demand_policy();
        }
    }

    /// The failure domain of a host, by the number of its fabric domain.
    fn failure_domain(&self, host: &FakeHost) -> SmolStr {
        let number: usize = host.fabric[1..].parse().unwrap_or_default();
        format_smolstr!("z{}", number % self.failure_domains + 1)
    }

    fn join(
        &mut self,
        id: &HostId,
        replica: &GroupId,
        epoch: Epoch,
        model: &ModelName,
        members: &[HostId],
    ) -> OrderReply {
        let host = self.hosts[id].clone();
        if epoch < host.highest_epoch {
            return OrderReply::Fenced;
        }
        if let Some(part) = &host.part {
            if part.replica == *replica && part.epoch == epoch {
                return OrderReply::Done;
            }
            self.check_not_reassigned(&host, part);
        }
        let now = self.now;
        let takes = if host.last_model.as_ref() == Some(model) {
            Duration::from_millis(200)
        } else if host.staged.contains(model) {
            Duration::from_millis(1_600)
        } else {
            self.loads.push(now);
            self.load_time(model)
        };
        let host = self.host(id);
        host.highest_epoch = epoch;
        host.last_model = Some(model.clone());
        if !host.staged.contains(model) {
            host.staged = vec![model.clone()];
        }
        host.part = Some(Part {
            replica: replica.clone(),
            epoch,
            model: model.clone(),
            members: members.to_vec(),
            phase: MembershipPhase::Joining,
            ready_at: now + takes,
            opens_at: None,
        });
        OrderReply::Begun
    }

    /// Checks that a host isn't reassigned from a replica whose head may serve.
    fn check_not_reassigned(&mut self, host: &FakeHost, part: &Part) {
        let head = &part.members[0];
        let Some(head) = self.hosts.get(head).filter(|h| h.alive) else {
            return;
        };
        let Some(of_head) = &head.part else { return };
        let same = of_head.replica == part.replica && of_head.epoch == part.epoch;
        let serves = matches!(
            of_head.phase,
            MembershipPhase::Open | MembershipPhase::Closing
        );
        if same && serves {
            let what = format!(
                "{} was taken from {} whose head serves",
                host.id, part.replica
            );
            self.violations.push(what);
        }
    }

    fn open(&mut self, id: &HostId, replica: &GroupId, epoch: Epoch) -> OrderReply {
        let now = self.now;
        let host = self.host(id);
        match &mut host.part {
            Some(p) if p.replica == *replica && p.epoch == epoch => match p.phase {
                MembershipPhase::Ready => {
                    p.opens_at.get_or_insert(now + Duration::from_millis(300));
                    OrderReply::Begun
                }
                MembershipPhase::Open => OrderReply::Done,
                _ => OrderReply::Conflict,
            },
            _ => OrderReply::Conflict,
        }
    }

    fn close(&mut self, id: &HostId, replica: &GroupId, epoch: Epoch) -> OrderReply {
        let host = self.host(id);
        match &mut host.part {
            Some(p) if p.replica == *replica && p.epoch == epoch => {
                p.phase = MembershipPhase::Ready;
                p.opens_at = None;
                OrderReply::Begun
            }
            _ => OrderReply::Conflict,
        }
    }

    fn advance_hosts(&mut self) {
        let now = self.now;
        let mut opened = Vec::new();
        for host in self.hosts.values_mut().filter(|h| h.alive) {
            if let Some((model, _)) = host.staging.take_if(|(_, at)| *at <= now) {
                host.staged = vec![model];
            }
            let Some(part) = &mut host.part else { continue };
            if part.phase == MembershipPhase::Joining && part.ready_at <= now {
                part.phase = MembershipPhase::Ready;
                self.ready_once
                    .insert((part.replica.clone(), part.epoch, host.id.clone()));
            }
            if part.opens_at.is_some_and(|at| at <= now) {
                part.opens_at = None;
                part.phase = MembershipPhase::Open;
                opened.push(part.clone());
            }
        }
        for part in opened {
            self.check_complete(&part);
        }
    }

    /// Checks that a replica doesn't open before all its members were ready in it.
    fn check_complete(&mut self, part: &Part) {
        let engine = self
            .service
            .engine
            .as_ref()
            .expect("the service has an engine");
        let size = engine
            .models
            .iter()
            .find(|m| m.name == part.model)
            .map_or(0, |m| m.size);
        let was_ready = |m: &&HostId| {
            self.ready_once
                .contains(&(part.replica.clone(), part.epoch, (*m).clone()))
        };
        if part.members.len() != size || !part.members.iter().all(|m| was_ready(&m)) {
            self.violations.push(format!(
                "{} began to serve without all members",
                part.replica
            ));
        }
    }

    fn entry(&self, host: &FakeHost) -> Host {
        let membership = host.part.as_ref().map(|p| Membership {
            replica: p.replica.clone(),
            epoch: p.epoch,
            rank: p.members.iter().position(|m| *m == host.id).unwrap_or(0),
            phase: p.phase,
        });
        let joined = host
            .part
            .as_ref()
            .filter(|p| p.phase != MembershipPhase::Joining);
        Host {
            id: host.id.clone(),
            started_ms: host.started_ms,
            service: SERVICE.into(),
            address: format_smolstr!("10.0.0.1:{}", host.id),
            failure_domain: self.failure_domain(host),
            fabric: host.fabric.clone(),
            state: host.state,
            slots: 26,
            cold_ms: 0,
            staged: host.staged.iter().cloned().collect(),
            model: joined.map(|p| p.model.clone()),
            membership,
        }
    }

    fn write_entries(&mut self) {
        let due = self.now + ENTRY_LAG;
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for id in ids {
            let host = &self.hosts[&id];
            if !host.listed {
                continue;
            }
            if host
                .unheard_since
                .is_some_and(|since| self.now >= since + ENTRY_TTL)
            {
                self.host(&id).listed = false;
                self.entries.push((self.now, FleetChange::Removed(id)));
                continue;
            }
            let entry = self.entry(host);
            if host.unheard_since.is_none() && host.shown.as_ref() != Some(&entry) {
                self.host(&id).shown = Some(entry.clone());
                self.entries.push((due, FleetChange::Put(Box::new(entry))));
            }
        }
    }

    fn deliver_entries(&mut self) {
        let now = self.now;
        let instant = self.instant();
        let (due, later): (Vec<_>, Vec<_>) = self.entries.drain(..).partition(|(at, _)| *at <= now);
        self.entries = later;
        for (_, change) in due {
            for actor in &mut self.actors {
                actor.fleet.apply(change.clone(), instant);
            }
            self.listed.apply(change, instant);
        }
    }

    /// Reports members that were lost to the planners once their replica's streams have stalled.
    fn detect_stalls(&mut self) {
        let now = self.now;
        let mut silent = Vec::new();
        let mut broken = Vec::new();
        for host in self.hosts.values() {
            let Some(part) = &host.part else { continue };
            if part.members[0] != host.id || part.phase != MembershipPhase::Open {
                continue;
            }
            for member in &part.members {
                let lost = &self.hosts[member];
                let Some(since) = lost.silent_since else {
                    continue;
                };
                if now == round(since + STALL_DETECTION_TIME) {
                    silent.push(member.clone());
                }
                if host.alive && !lost.alive && now >= since + BREAK_TIME {
                    broken.push(host.id.clone());
                }
            }
        }
        for id in broken {
            if let Some(part) = &mut self.host(&id).part {
                part.phase = MembershipPhase::Broken;
            }
        }
        for id in silent {
            for actor in &mut self.actors {
                actor.planner.mark_silent(&id, &actor.fleet);
            }
        }
    }

    pub(crate) fn pick(&mut self, alive: bool) -> HostId {
        let ids: Vec<HostId> = self
            .hosts
            .values()
            .filter(|h| h.alive == alive)
            .map(|h| h.id.clone())
            .collect();
        ids[self.rng.usize(..ids.len())].clone()
    }

    pub(crate) fn roll(&mut self, sides: u64) -> u64 {
        self.rng.u64(..sides)
    }
}

fn round(at: Duration) -> Duration {
    let tick = TICK.as_millis() as u64;
    Duration::from_millis((at.as_millis() as u64).div_ceil(tick) * tick)
}
