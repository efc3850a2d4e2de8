//! Runs the planner while this node is the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, HostId};
use eelgrassmill_fleet::{
    CapacityTarget, Command, Formation, FormationPhase, Host, LossReason, Order, OrderReply,
    Planner, PlannerTiming, Purpose, Service,
};
use tracing::info;

use crate::core::Core;
use crate::demand;
use crate::heads::locked;
use crate::host_signals;
use crate::leader::LeaderRecord;
use crate::loss_detection::{LostReplica, REPORT_TIMEOUT};
use crate::ports::{HostReport, HostUnavailable, Platform};

/// Longest time between two steps of the planner: its shortest own interval is the 120 ms between
/// two report requests to a host.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a step, in multiples of the step's duration. Replies to orders arrive one by one, by
/// the hundred: a step for each would leave callers' requests no CPU at this node.
const PAUSE_PER_STEP_TIME: u32 = 4;
/// Timeout of an order. Replies take 1 to 5 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// How long after the first start of the whole system the first model loads are fast.
const COLD_START_PERIOD: Duration = Duration::from_secs(12);

/// An input of the planner.
#[derive(Debug)]
pub(crate) enum PlanningEvent {
    /// A replica lost a member.
    Lost(LostReplica),
    /// The result of an order.
    Reply(HostId, Order, Result<OrderReply, HostUnavailable>),
    /// The result of a report request.
    Report(HostId, Result<HostReport, HostUnavailable>),
}

/// One term of the planner, from acquiring the leader role until it is given up or lost.
pub(crate) struct PlannerTerm<P: Platform> {
    core: Arc<Core<P>>,
    planner: Planner,
    /// Duration of the last step.
    last_step_time: Duration,
    /// The phase at which each replica was last logged.
    logged_phases: BTreeMap<GroupId, FormationPhase>,
}

impl<P: Platform> Drop for PlannerTerm<P> {
    fn drop(&mut self) {
        self.core.planning.close();
        // Targets are those of the planner; a node that is none shows no old ones.
        self.core.metrics.capacity_target_replicas.reset();
        self.core.metrics.wanted_slots.reset();
    }
}

impl<P: Platform> PlannerTerm<P> {
    pub(crate) fn new(core: Arc<Core<P>>, leader: &LeaderRecord) -> PlannerTerm<P> {
        core.planning.open();
        let mut planner = Planner::new(leader.term, PlannerTiming::default(), Instant::now());
        planner.set_first_start_end(core.started_at + COLD_START_PERIOD);
        if core.cfg.policies.capacity_follows_demand {
            planner.enable_demand_policy();
        }
        PlannerTerm {
            core,
            planner,
            last_step_time: Duration::ZERO,
            logged_phases: BTreeMap::new(),
        }
    }

    /// Waits for new input or the next regular step.
    pub(crate) async fn wait(&self) {
        tokio::time::sleep(self.last_step_time * PAUSE_PER_STEP_TIME).await;
        // A timeout is the regular step.
        let _ = tokio::time::timeout(MAX_STEP_INTERVAL, self.core.planning.changed()).await;
    }

    /// Processes the inputs, decides, and starts to execute the commands.
    pub(crate) fn step(&mut self) {
        let began = Instant::now();
        self.decide(began);
        self.last_step_time = began.elapsed().min(MAX_STEP_INTERVAL);
    }

    fn decide(&mut self, now: Instant) {
        for event in self.core.planning.drain() {
            self.on_event(event, now);
        }
        self.report_lost_heads(now);
        self.report_rejecting_heads(now);
        let catalog = self.core.catalog();
        let services: Vec<&Service> = catalog.services().collect();
        let core = &self.core;
        let cold = core.cfg.first_start
            && !core.has_served()
            && core.started_at.elapsed() < COLD_START_PERIOD;
        if core.cfg.policies.capacity_follows_demand {
            let demand = demand::snapshot(core, now);
            core.metrics.set_wanted_slots(&catalog, &demand);
            self.planner.set_demand(Some(demand));
        }
        let commands = {
            let fleet = locked(&core.fleet);
            if !fleet.is_loaded() {
                return;
            }
            self.planner.plan(&fleet, &services, cold, now)
        };
        let open = self
            .planner
            .formations()
            .filter(|f| f.phase == FormationPhase::Open)
            .count();
        core.metrics
            .open_replicas
            .set(i64::try_from(open).unwrap_or(i64::MAX));
        self.log_formations();
        self.report_capacity();
        for command in commands {
            self.execute(command);
        }
    }

    /// Logs each phase of the replicas that serve or will serve, and why one is given up: the log
    /// lines on orders don't show their purpose.
    fn log_formations(&mut self) {
        let serving = |f: &&Formation| f.purpose == Purpose::Serve;
        for f in self.planner.formations().filter(serving) {
            if self.logged_phases.get(&f.id) == Some(&f.phase) {
                continue;
            }
            let why = f.loss.as_ref().map(|loss| format!("{loss:?}"));
            info!(
                event = "formation", replica = %f.id, epoch = f.epoch, model = %f.model,
                fabric = %f.fabric, members = f.members.len(), step = ?f.phase,
                why = why.unwrap_or_default(),
            );
        }
        let formations = self.planner.formations().filter(serving);
        self.logged_phases = formations.map(|f| (f.id.clone(), f.phase)).collect();
    }

    /// Counts and logs the steps by which capacity followed demand, and publishes the targets.
    ///
    /// Steps need no limit on log lines: each of them forms or dissolves a replica.
    fn report_capacity(&mut self) {
        let metrics = &self.core.metrics;
        for step in self.planner.take_capacity_steps() {
            let kind = step.kind.name();
            metrics.capacity_steps.with_label_values(&[kind]).inc();
            info!(
                event = "capacity", step = kind, service = %step.service, model = %step.model,
                fabric = %step.fabric,
            );
        }
        let targets: Vec<CapacityTarget> = self.planner.capacity_targets().collect();
        if targets.is_empty() {
            metrics.capacity_target_replicas.reset();
        }
        for target in targets {
            let replicas = i64::try_from(target.replicas).unwrap_or(i64::MAX);
            let labels = [target.service.as_str(), target.model.as_str()];
            let gauge = &metrics.capacity_target_replicas;
            gauge.with_label_values(&labels).set(replicas);
        }
    }

    /// Gives up replicas that are known here to be lost.
    ///
    /// A loss that is reported before this planner knows the replica, or while no node leads, is
    /// missed as an event. The planner would then find the silent member only by asking all hosts,
    /// which took 2.4 s longer in a test of a loss without a leader.
    fn report_lost_heads(&mut self, now: Instant) {
        let heads = locked(&self.core.heads);
        for head in heads.all().filter(|h| h.is_lost()) {
            self.planner
                .on_replica_lost(&head.replica, head.epoch, LossReason::Broken, now);
        }
    }

    /// Reports heads to the planner that reject requests though they have room.
    fn report_rejecting_heads(&mut self, now: Instant) {
        let heads = locked(&self.core.heads);
        for head in heads.all().filter(|h| h.is_ejected() && !h.is_half_full()) {
            self.planner.on_head_rejecting(&head.host, now);
        }
    }

    fn on_event(&mut self, event: PlanningEvent, now: Instant) {
        match event {
            PlanningEvent::Lost(lost) => {
                let fleet = locked(&self.core.fleet);
                for host in &lost.silent {
                    self.planner.mark_silent(host, &fleet);
                }
                if lost.silent.is_empty() {
                    self.planner.on_replica_lost(
                        &lost.replica,
                        lost.epoch,
                        LossReason::Broken,
                        now,
                    );
                }
            }
            PlanningEvent::Reply(host, order, reply) => {
                let mut fleet = locked(&self.core.fleet);
                if let (Order::Leave { replica, epoch }, Ok(OrderReply::Done)) = (&order, &reply) {
                    fleet.clear_membership(&host, replica, *epoch);
                }
                if let Err(HostUnavailable::NotReached(_)) = reply {
                    self.planner.on_unanswered(&host, &fleet, now);
                } else {
                    self.planner.on_reply(&host, &order, reply.ok(), now);
                }
            }
            PlanningEvent::Report(host, Ok(report)) => {
                let mut fleet = locked(&self.core.fleet);
                if let Some(known) = fleet.host(&host).cloned() {
                    let has_begun_none = report.orders == Some(0);
                    let reported = merge_report(known, report);
                    if self.planner.on_report(&reported, &fleet, now) {
                        if has_begun_none {
                            self.planner.on_unordered(&reported);
                        }
                        fleet.apply_report(reported);
                    } else {
                        info!(event = "host-entry", %host, outcome = "another-answers");
                    }
                }
            }
            PlanningEvent::Report(host, Err(err)) => {
                let is_slow = matches!(err, HostUnavailable::NoAnswer(_));
                if is_slow && self.planner.is_silent(&host) {
                    host_signals::record_silence(&self.core, &host, REPORT_TIMEOUT);
                }
                let fleet = locked(&self.core.fleet);
                self.planner.on_unanswered(&host, &fleet, now);
            }
        }
    }

    fn execute(&self, command: Command) {
        let core = Arc::clone(&self.core);
        let address = match &command {
            Command::Order { address, .. } => Some(address.clone()),
            Command::Query { host } => locked(&core.fleet).host(host).map(|h| h.address.clone()),
        };
        let Some(address) = address else { return };
        tokio::spawn(async move {
            let event = match command {
                Command::Order { host, order, .. } => {
                    let sent = host_signals::order(&core, &host, &address, &order, ORDER_TIMEOUT);
                    let reply = sent.await;
                    record_order(&core, &host, &order, &reply);
                    PlanningEvent::Reply(host, order, reply)
                }
                Command::Query { host } => {
                    let sent = host_signals::report(&core, &host, &address, REPORT_TIMEOUT);
                    let report = sent.await;
                    PlanningEvent::Report(host, report)
                }
            };
            core.planning.push(event);
        });
    }
}

fn merge_report(known: Host, report: HostReport) -> Host {
    let started_ms = if report.started_ms > 0 {
        report.started_ms
    } else {
        known.started_ms
    };
    Host {
        started_ms,
        staged: report.staged,
        membership: report.membership,
        ..known
    }
}

fn record_order<P: Platform>(
    core: &Core<P>,
    host: &HostId,
    order: &Order,
    reply: &Result<OrderReply, HostUnavailable>,
) {
    let (replica, epoch) = order.formation().map_or(("", 0), |(r, e)| (r.as_str(), e));
    let kind = match order {
        Order::Join { .. } => "join",
        Order::Open { .. } => "open",
        Order::Close { .. } => "close",
        Order::Leave { .. } => "leave",
        Order::Stage { .. } => "stage",
    };
    let outcome = match reply {
        Ok(OrderReply::Begun) => "begun",
        Ok(OrderReply::Done) => "done",
        Ok(OrderReply::Conflict) => "conflict",
        Ok(OrderReply::Fenced) => "fenced",
        Ok(OrderReply::WrongHost) => "wrong-host",
        Ok(OrderReply::Refused(_)) => "refused",
        Err(HostUnavailable::NotReached(_)) => "not-reached",
        Err(HostUnavailable::NoAnswer(_)) => "no-answer",
    };
    core.metrics
        .orders
        .with_label_values(&[kind, outcome])
        .inc();
    info!(event = "order", order = kind, %host, %replica, epoch, outcome);
}
