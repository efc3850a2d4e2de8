//! Which hosts form a replica of which model, and the orders that make it so.
//!
//! The load it answers: a pool of hosts in fabric domains that loses a host every few
//! seconds, now and then a whole domain, while demand stays. What costs callers most is
//! the time that a replica can't serve, so each domain keeps spares that have joined a
//! replica of the model before and join again in a fraction of a second.
//!
//! Safety rests on three rules, each checked in one place:
//! - A replica is opened only after every member said that it is ready in this very
//!   formation ([`Planner::advance_joining`]).
//! - A host of a replica that may serve is given nothing else until it has itself left
//!   ([`Planner::advance_dissolving`]). Its head may be out of reach and serve on.
//! - Every formation has an epoch of its own that is higher than all before it, also
//!   those of earlier planners, so that a late order of an older one is refused.

mod advance;
mod choose;
mod formation;
mod formations;
mod knowledge;
mod order;
mod ready;
mod rejecting;
mod send;
mod serving;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, ModelName, ServiceName, value};
use smol_str::format_smolstr;

pub use crate::planner::formation::{Formation, FormationPhase, LossReason, Purpose};
pub use crate::planner::order::{Command, Order, OrderReply};

use crate::catalog::{ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::{Host, MembershipPhase};
use crate::planner::advance::PlanInput;
use crate::planner::choose::ServiceView;
use crate::planner::formations::Formations;
use crate::planner::knowledge::{LastReport, MAX_ORDER_DELAY, Silence};
use crate::planner::rejecting::RejectingHosts;
use crate::planner::serving::ServingCounts;

/// Formations that one planner's term has room for; far more than a term can last.
const EPOCHS_PER_TERM: u64 = 1 << 20;
/// How long it is remembered what was sent to a host: longer than any interval between two
/// orders of a kind.
const SENT_TTL: Duration = Duration::from_secs(2);
/// A join from nothing in a host that was a member of a replica of this model: 0.2 s by
/// the platform's page.
const PRIMED_JOIN_TIME: Duration = Duration::from_millis(200);

value! {
    /// Times of the planner.
    pub struct PlannerTiming {
        /// An order without an answer is sent again after this.
        pub resend_interval: Duration,
        /// The same to a host that gives no answer at all, until it is no longer listed.
        pub silent_resend_interval: Duration,
        /// Between two questions to a host that is about to be ready. Entries of hosts
        /// come 200 to 300 ms late, which would be the larger part of a repair.
        pub query_interval: Duration,
        /// An open replica whose members' entries say otherwise for this long is given
        /// up: entries lag behind orders, so a shorter time would end sound replicas.
        pub max_entry_lag: Duration,
        /// A planner that takes over forms nothing for this long: the lease of the one
        /// before, and the time that its last orders wait for answers.
        pub takeover_delay: Duration,
        /// How long the members of a lost replica are waited for before others take their
        /// places: two orders' time.
        pub leave_timeout: Duration,
        /// How long a replica serves on with a member that is leaving. Members stay for up
        /// to 10 s; what is left is for the head to finish its work.
        pub max_leaving_time: Duration,
        /// How long a head may finish what runs when a member is leaving.
        pub drain_timeout: Duration,
        /// The window of the bound on loads from the weight store.
        pub load_window: Duration,
    }
}

impl Default for PlannerTiming {
    fn default() -> PlannerTiming {
        PlannerTiming {
            resend_interval: Duration::from_millis(300),
            silent_resend_interval: Duration::from_millis(1000),
            query_interval: Duration::from_millis(120),
            max_entry_lag: Duration::from_millis(1500),
            takeover_delay: Duration::from_millis(1900),
            leave_timeout: Duration::from_millis(700),
            max_leaving_time: Duration::from_millis(6000),
            drain_timeout: Duration::from_millis(1500),
            load_window: Duration::from_secs(5),
        }
    }
}

/// The planner's state. It is rebuilt from the hosts' own reports by any new planner.
#[derive(Clone, Debug)]
pub struct Planner {
    term: u64,
    started_at: Instant,
    formed: u64,
    timing: PlannerTiming,
    /// Invariant: a host is a member of at most one formation.
    formations: Formations,
    /// Invariant: true while replicas are being formed, and outdated between two steps.
    serving: ServingCounts,
    /// Hosts that report this planner themselves which replica they belong to. Invariant:
    /// after the first term only these join anything, and none report it while the planner
    /// before could still give orders.
    last_reports: BTreeMap<HostId, LastReport>,
    /// Hosts that left an order unanswered, and when. They may carry it out yet.
    unconfirmed_orders: BTreeMap<HostId, Instant>,
    /// Hosts that give no answer.
    silent: BTreeMap<HostId, Silence>,
    /// Formations whose hosts are free, for as long as entries may still show them.
    dissolved: BTreeMap<GroupId, Dissolved>,
    unanswered_counts: BTreeMap<HostId, u32>,
    /// Hosts to ask because an order got no answer.
    pending_queries: BTreeSet<HostId>,
    /// Orders and questions under way or sent lately by the epoch that they are about, 0
    /// for none, and when.
    sent: BTreeMap<(HostId, MessageKind, Epoch), Instant>,
    /// Hosts that have been members of a replica of a model, by their start.
    primed: BTreeMap<HostId, (u64, ModelName)>,
    /// Spares that load a further model, and until when that may take.
    staging: BTreeMap<HostId, (ModelName, Instant)>,
    /// When loads from the weight store began.
    loads: VecDeque<Instant>,
    /// Hosts that reject requests as heads.
    rejecting: RejectingHosts,
    /// How many hosts there are, and since when.
    host_count: (usize, Instant),
}

/// What is remembered of a formation that has ended.
#[derive(Clone, Debug)]
struct Dissolved {
    at: Instant,
    /// Members that left it, whatever their entries still say.
    left: BTreeSet<HostId>,
}

/// What was sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKind {
    Join,
    Open,
    Close,
    Leave,
    Stage,
    Query,
}

impl Planner {
    /// A planner whose epochs are above those of all terms before `term`.
    pub fn new(term: u64, timing: PlannerTiming, now: Instant) -> Planner {
        Planner {
            term,
            started_at: now,
            formed: 0,
            timing,
            formations: Formations::default(),
            serving: ServingCounts::default(),
            last_reports: BTreeMap::new(),
            unconfirmed_orders: BTreeMap::new(),
            silent: BTreeMap::new(),
            dissolved: BTreeMap::new(),
            unanswered_counts: BTreeMap::new(),
            pending_queries: BTreeSet::new(),
            sent: BTreeMap::new(),
            primed: BTreeMap::new(),
            staging: BTreeMap::new(),
            loads: VecDeque::new(),
            rejecting: RejectingHosts::default(),
            host_count: (0, now),
        }
    }

    /// The formations it is responsible for.
    pub fn formations(&self) -> impl Iterator<Item = &Formation> {
        self.formations.values()
    }

    /// Notes that a replica no longer serves.
    pub fn on_replica_lost(&mut self, replica: &str, epoch: Epoch, loss: LossReason, now: Instant) {
        let known = self.formations.get_mut(replica);
        let serving = known.filter(|f| f.epoch == epoch && f.phase == FormationPhase::Open);
        if let Some(f) = serving {
            f.abandon(loss, now);
        }
    }

    /// Takes what a host answered to an order that reached it; `None` when no answer came.
    ///
    /// Some hosts leave orders unanswered and carry them out seconds later, and are well
    /// otherwise. Taken for dead after two such orders, they cost a replica each time; a
    /// question tells them from dead ones.
    pub fn on_reply(
        &mut self,
        host: &HostId,
        order: &Order,
        reply: Option<OrderReply>,
        now: Instant,
    ) {
        if reply.is_some() {
            self.unanswered_counts.remove(host);
        } else {
            self.unconfirmed_orders.insert(host.clone(), now);
            self.pending_queries.insert(host.clone());
        }
        let Some((replica, epoch)) = order.formation() else {
            return;
        };
        let known = self.formations.get_mut(replica);
        let Some(formation) = known.filter(|f| f.epoch == epoch) else {
            return;
        };
        if let (Some(OrderReply::WrongHost), Some(info)) = (reply, formation.member_info.get(host))
        {
            // Its entry is about to go; chosen again meanwhile it would end each new
            // formation at once.
            let silence = Silence {
                born_ms: info.born_ms,
                listed: true,
            };
            self.silent.insert(host.clone(), silence);
        }
        // A formation that was given up while the order was under way stays given up:
        // taken back, it would serve without the member that it lost.
        let phase = formation.phase;
        match (order, reply) {
            (Order::Join { .. }, None) => {
                formation.unconfirmed_joins.insert(host.clone());
            }
            (Order::Join { .. }, Some(OrderReply::Begun | OrderReply::Done)) => {
                formation.accepted.insert(host.clone());
            }
            (Order::Join { .. }, Some(OrderReply::Fenced | OrderReply::WrongHost))
                if phase == FormationPhase::Joining =>
            {
                formation.abandon(LossReason::Refused(host.clone()), now);
            }
            (Order::Open { .. }, Some(OrderReply::Begun | OrderReply::Done))
                if phase == FormationPhase::Opening =>
            {
                formation.enter_phase(FormationPhase::Open, now);
            }
            // It was ready, so it has been taken out of the formation. Told again and again,
            // it would never serve, and its hosts be bound for good.
            (Order::Open { .. }, Some(OrderReply::Conflict | OrderReply::WrongHost))
                if phase == FormationPhase::Opening =>
            {
                formation.abandon(LossReason::Refused(host.clone()), now);
            }
            // A conflict means that it is no member, and another host at its address
            // that it is gone.
            (Order::Leave { .. }, Some(reply)) if !matches!(reply, OrderReply::Refused(_)) => {
                formation.left.insert(host.clone(), now);
            }
            _ => {}
        }
    }

    /// Decides what to do now. `cold` while no request was ever served, when loads are
    /// quick and bounded by nothing.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        services: &[&Service],
        cold: bool,
        now: Instant,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let count = fleet.hosts().count();
        if count != self.host_count.0 {
            self.host_count = (count, now);
        }
        self.remove_stale(fleet, now);
        self.rejecting.remove_expired(now);
        self.adopt(fleet, services, now);
        let input = PlanInput {
            fleet,
            services,
            cold,
            now,
        };
        let ids: Vec<GroupId> = self.formations.ids().cloned().collect();
        for id in ids {
            self.advance(&id, &input, &mut commands);
        }
        if !self.is_taking_over(now) {
            self.serving = ServingCounts::of(self.formations.values());
            for service in services {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let view = ServiceView {
                    service,
                    engine,
                    fleet,
                    cold,
                    now,
                };
                self.form_replicas(&view, &mut commands);
            }
        }
        if !self.is_taking_over(now) {
            self.query_unknown(fleet, services, now, &mut commands);
        }
        self.query_pending(fleet, now, &mut commands);
        self.query_silent(fleet, now, &mut commands);
        // Formations that were just decided are ordered at once.
        let joining = |f: &Formation| f.phase == FormationPhase::Joining && f.accepted.is_empty();
        let fresh: Vec<GroupId> = self
            .formations
            .values()
            .filter(|f| joining(f))
            .map(|f| f.id.clone())
            .collect();
        for id in fresh {
            self.advance(&id, &input, &mut commands);
        }
        commands
    }

    /// Drops what is remembered of hosts that are gone. A silent host counts again once
    /// it is listed anew or with another start.
    fn remove_stale(&mut self, fleet: &Fleet, now: Instant) {
        let bound: BTreeSet<HostId> = self
            .formations
            .values()
            .flat_map(|f| f.held_members().cloned())
            .collect();
        let concerns = |id: &HostId| fleet.host(id).is_some() || bound.contains(id);
        self.unanswered_counts.retain(|id, _| concerns(id));
        self.pending_queries.retain(concerns);
        self.last_reports
            .retain(|id, a| fleet.host(id).is_some_and(|h| h.started_ms == a.born_ms));
        self.unconfirmed_orders
            .retain(|_, at| now.saturating_duration_since(*at) < MAX_ORDER_DELAY);
        let recent = |at: Instant| now.saturating_duration_since(at) < SENT_TTL;
        self.sent.retain(|(id, ..), at| recent(*at) && concerns(id));
        // A load that is done must not count as under way once its host holds another model.
        self.staging.retain(|id, (model, until)| {
            let host = fleet.host(id);
            now < *until && host.is_some_and(|h| !h.staged.contains(model))
        });
        self.silent.retain(|id, silence| match fleet.host(id) {
            None => {
                silence.listed = false;
                bound.contains(id)
            }
            Some(host) => silence.listed && host.started_ms == silence.born_ms,
        });
        self.primed
            .retain(|id, (born, _)| fleet.host(id).is_some_and(|h| h.started_ms == *born));
        for host in fleet.hosts() {
            let joined = host
                .membership
                .as_ref()
                .is_some_and(|m| m.phase != MembershipPhase::Joining);
            let Some(model) = host.model.as_ref().filter(|_| joined) else {
                continue;
            };
            let known = self.primed.get(&host.id);
            if known.is_none_or(|(born, m)| *born != host.started_ms || m != model) {
                let primed = (host.started_ms, model.clone());
                self.primed.insert(host.id.clone(), primed);
            }
        }
    }

    /// Takes over the replicas that hosts report and no formation here knows.
    ///
    /// An order to open one may still be under way from the planner before, and a host
    /// that was out of reach comes back as a member of one that was given up. Were such
    /// hosts taken as free, they could be given away while their replica serves.
    fn adopt(&mut self, fleet: &Fleet, services: &[&Service], now: Instant) {
        let lag = self.timing.max_entry_lag;
        self.dissolved
            .retain(|_, dissolved| now.saturating_duration_since(dissolved.at) < lag);
        for replica in fleet.replicas() {
            let dissolved = self.dissolved.get(&replica.id);
            let has_left = |h: &Host| dissolved.is_some_and(|d| d.left.contains(&h.id));
            let hosts = replica.members.iter().filter_map(|(_, id)| fleet.host(id));
            let unknown = |h: &&Host| self.formation_of(&h.id).is_none() && !has_left(h);
            let hosts: Vec<&Host> = hosts.filter(unknown).collect();
            if self.formations.get(&replica.id).is_some() {
                self.update_members(&replica.id, &hosts, now);
                continue;
            }
            let Some(first) = hosts.first().copied() else {
                continue;
            };
            // A host that is still joining doesn't say for which model.
            let model = model_of(first, services);
            let ranks = replica.members.iter().map(|(rank, _)| *rank);
            let whole = model.is_some_and(|m| hosts.len() == m.size && ranks.eq(0..m.size));
            // After an outage of the store hosts are listed again one by one; replicas that
            // serve would be given up for members that are still to come.
            if !whole && self.is_taking_over(now) {
                continue;
            }
            let name = model.map(|m| m.name.clone()).unwrap_or_default();
            let (id, epoch) = (replica.id.clone(), replica.epoch);
            let Some(mut formation) = Formation::new(id, epoch, &name, &hosts, now) else {
                continue;
            };
            formation.accepted = formation.members.iter().cloned().collect();
            formation.open_sent = true;
            if first.is_open_head() {
                formation.enter_phase(FormationPhase::Open, now);
            }
            if !whole || self.is_own_epoch(replica.epoch) {
                formation.abandon(LossReason::Incomplete, now);
            }
            self.formations.insert(formation);
        }
    }

    /// Takes in hosts that report to be members of a formation and don't count as such.
    ///
    /// Entries come one by one: members of a replica that is being given up may show only
    /// now, and its head may still be report to serve.
    fn update_members(&mut self, replica: &GroupId, hosts: &[&Host], now: Instant) {
        for host in hosts {
            let Some(known) = self.formations.get_mut(replica) else {
                return;
            };
            if known.members.contains(&host.id) {
                known.reinstate(&host.id, now);
            } else if known.loss.is_some() {
                self.formations.add_member(replica, host);
            }
        }
    }

    /// Whether this planner made the epoch.
    fn is_own_epoch(&self, epoch: Epoch) -> bool {
        epoch / EPOCHS_PER_TERM == self.term
    }

    /// Whether the planner before this one may still give orders, or hosts be about to show
    /// what it ordered.
    fn is_taking_over(&self, now: Instant) -> bool {
        self.term > 1 && now.saturating_duration_since(self.started_at) < self.timing.takeover_delay
    }

    /// The formation that a host is a member of.
    pub fn formation_of(&self, host: &str) -> Option<&Formation> {
        self.formations
            .of_member(host)
            .find(|f| f.holds_member(host))
    }

    /// A member that is silent goes before one that is leaving and may still work.
    fn worst_loss(&self, f: &Formation, fleet: &Fleet) -> Option<LossReason> {
        let silent = f.members.iter().find(|m| self.silent.contains_key(*m));
        let lost = || f.members.iter().find_map(|m| self.loss_of(m, fleet));
        silent.map(|m| LossReason::Silent(m.clone())).or_else(lost)
    }

    fn loss_of(&self, host: &HostId, fleet: &Fleet) -> Option<LossReason> {
        if self.silent.contains_key(host) {
            return Some(LossReason::Silent(host.clone()));
        }
        match fleet.host(host) {
            None => Some(LossReason::Gone(host.clone())),
            Some(h) if !h.is_ready() => Some(LossReason::Leaving(host.clone())),
            Some(_) => None,
        }
    }

    fn next_formation(&mut self) -> (GroupId, Epoch) {
        self.formed += 1;
        let epoch = self.term * EPOCHS_PER_TERM + self.formed;
        (format_smolstr!("r{}-{}", self.term, self.formed), epoch)
    }

    /// Whether a host takes orders and is no member of a serving formation.
    fn is_free(&self, host: &Host) -> bool {
        let is_taken = |f: &Formation| {
            let serves = f.purpose == Purpose::Serve;
            serves && f.holds_member(&host.id) || f.may_rejoin(&host.id)
        };
        host.is_ready()
            && !self.silent.contains_key(&host.id)
            && self.knows_membership(host)
            && !self.formations.of_member(&host.id).any(is_taken)
    }
}

fn find_model<'s>(
    services: &[&'s Service],
    service: &ServiceName,
    model: &str,
) -> Option<&'s ModelSpec> {
    let service = services.iter().find(|s| s.name == *service)?;
    service
        .engine
        .as_ref()?
        .models
        .iter()
        .find(|m| m.name == model)
}

fn model_of<'s>(head: &Host, services: &[&'s Service]) -> Option<&'s ModelSpec> {
    find_model(services, &head.service, head.model.as_ref()?)
}
