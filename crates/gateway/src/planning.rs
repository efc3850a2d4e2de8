//! Running the planner while this node is the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, HostId};
use eelgrassmill_fleet::{
    Command, Formation, FormationPhase, Host, LossReason, Order, OrderReply, Planner,
    PlannerTiming, Purpose, Service,
};
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{HostControl, HostReport, HostUnavailable, LeaderRecord, Platform};
use crate::watch::{LostReplica, REPORT_TIMEOUT};

/// The planner looks at everything at least this often: its shortest own time is the
/// 120 ms between two questions to a host.
const STEP: Duration = Duration::from_millis(60);
/// Pause after a step, in times of what it took. Answers to orders come one by one, by the
/// hundred: a step for each would leave callers' requests no processor at this node.
const PAUSE_PER_STEP: u32 = 4;
/// An order without an answer for this long counts as unanswered. Answers take 1 to 5 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Until then the first loads of a system that starts for the first time are quick.
const COLD_TIME: Duration = Duration::from_secs(12);

/// What the planner should know.
#[derive(Debug)]
pub(crate) enum PlanningEvent {
    /// A replica lost a member.
    Lost(LostReplica),
    /// What became of an order.
    Reply(HostId, Order, Result<OrderReply, HostUnavailable>),
    /// What became of a question.
    Report(HostId, Result<HostReport, HostUnavailable>),
}

/// One term of the planner, from becoming the leader until that is given up or lost.
pub(crate) struct Term<P: Platform> {
    core: Arc<Core<P>>,
    planner: Planner,
    /// How long the last step took.
    last_step: Duration,
    /// How far each replica was when it was last noted.
    noted: BTreeMap<GroupId, FormationPhase>,
}

impl<P: Platform> Drop for Term<P> {
    fn drop(&mut self) {
        self.core.planning.close();
    }
}

impl<P: Platform> Term<P> {
    pub(crate) fn new(core: Arc<Core<P>>, leader: &LeaderRecord) -> Term<P> {
        core.planning.open();
        let planner = Planner::new(leader.term, PlannerTiming::default(), Instant::now());
        Term {
            core,
            planner,
            last_step: Duration::ZERO,
            noted: BTreeMap::new(),
        }
    }

    /// Waits until there may be something to decide.
    pub(crate) async fn wait(&self) {
        tokio::time::sleep(self.last_step * PAUSE_PER_STEP).await;
        // Running out is the other way to look again.
        let _ = tokio::time::timeout(STEP, self.core.planning.changed()).await;
    }

    /// Takes in what happened, decides, and starts to carry it out.
    pub(crate) fn step(&mut self) {
        let began = Instant::now();
        self.decide(began);
        self.last_step = began.elapsed().min(STEP);
    }

    fn decide(&mut self, now: Instant) {
        for event in self.core.planning.take() {
            self.take(event, now);
        }
        self.take_lost_heads(now);
        self.take_rejecting_heads(now);
        let catalog = self.core.catalog();
        let services: Vec<&Service> = catalog.services().collect();
        let core = &self.core;
        let cold = core.cfg.first_start && !core.has_served() && core.began.elapsed() < COLD_TIME;
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
        self.note_formations();
        for command in commands {
            self.carry_out(command);
        }
    }

    /// Notes how far the replicas are that serve or are to serve, and why one is given up: the
    /// orders alone don't say what they are for.
    fn note_formations(&mut self) {
        let serving = |f: &&Formation| f.purpose == Purpose::Serve;
        for f in self.planner.formations().filter(serving) {
            if self.noted.get(&f.id) == Some(&f.phase) {
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
        self.noted = formations.map(|f| (f.id.clone(), f.phase)).collect();
    }

    /// Gives up replicas that are known here to be lost.
    ///
    /// ListUpdate of a loss that comes before this planner knows the replica, or while nobody
    /// plans, is gone as an event. The planner would find the silent member only by asking
    /// all hosts: 2.4 s later in the test of a loss while nobody plans (one run each).
    fn take_lost_heads(&mut self, now: Instant) {
        let heads = locked(&self.core.heads);
        for head in heads.all().filter(|h| h.is_lost()) {
            self.planner
                .on_replica_lost(&head.replica, head.epoch, LossReason::Broken, now);
        }
    }

    /// Tells the planner of heads that reject requests and have room.
    fn take_rejecting_heads(&mut self, now: Instant) {
        let heads = locked(&self.core.heads);
        for head in heads.all().filter(|h| h.is_ejected() && !h.is_half_full()) {
            self.planner.on_head_rejecting(&head.host, now);
        }
    }

    fn take(&mut self, event: PlanningEvent, now: Instant) {
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
                    self.planner.on_unanswered(&host, &fleet);
                } else {
                    self.planner.on_reply(&host, &order, reply.ok(), now);
                }
            }
            PlanningEvent::Report(host, Ok(report)) => {
                let mut fleet = locked(&self.core.fleet);
                if let Some(known) = fleet.host(&host).cloned() {
                    let told = updated(known, report);
                    if self.planner.on_report(&told, &fleet, now) {
                        fleet.apply_report(told);
                    } else {
                        info!(event = "host-entry", %host, outcome = "another-answers");
                    }
                }
            }
            PlanningEvent::Report(host, Err(_)) => {
                let fleet = locked(&self.core.fleet);
                self.planner.on_unanswered(&host, &fleet);
            }
        }
    }

    fn carry_out(&self, command: Command) {
        let core = Arc::clone(&self.core);
        let address = match &command {
            Command::Order { address, .. } => Some(address.clone()),
            Command::Query { host } => locked(&core.fleet).host(host).map(|h| h.address.clone()),
        };
        let Some(address) = address else { return };
        tokio::spawn(async move {
            let control = core.platform.control();
            let event = match command {
                Command::Order { host, order, .. } => {
                    let reply = control.order(&host, &address, &order, ORDER_TIMEOUT).await;
                    note(&core, &host, &order, &reply);
                    PlanningEvent::Reply(host, order, reply)
                }
                Command::Query { host } => {
                    let report = control.report(&host, &address, REPORT_TIMEOUT).await;
                    PlanningEvent::Report(host, report)
                }
            };
            core.planning.push(event);
        });
    }
}

fn updated(known: Host, report: HostReport) -> Host {
    let started_ms = if report.born_ms > 0 {
        report.born_ms
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

fn note<P: Platform>(
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
