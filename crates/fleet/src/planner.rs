//! Assigns hosts to model replicas and issues the orders that form them.
//!
//! Designed for a pool of hosts in fabric domains that loses a host every few seconds, and at
//! times a whole domain, under constant demand. Callers suffer most while a replica is down, so
//! each domain keeps spares that have already joined a replica of the model and rejoin in a
//! fraction of a second.
//!
//! Three safety rules, each enforced in one place:
//! - A replica is opened only after every member has reported ready in this formation
//!   ([`Planner::advance_joining`]).
//! - A member of a replica that may be serving is not reassigned until it has itself left
//!   ([`Planner::advance_dissolving`]). Its head may be unreachable and still serving.
//! - Every formation has a unique epoch, higher than all earlier ones including those of previous
//!   planners, so that hosts reject delayed orders for an older formation.

mod advance;
mod capacity;
mod conversion;
mod formation;
mod formations;
mod host_reports;
mod lent_spares;
mod loads;
mod order;
mod placement;
mod rejecting;
mod send;
mod serving;
mod spares;
mod weights_ahead;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, ModelName, ServiceName, value};
use smol_str::format_smolstr;

pub use crate::planner::capacity::{CapacityStep, CapacityStepKind, CapacityTarget};
pub use crate::planner::formation::{Formation, FormationPhase, LossReason, Purpose};
pub use crate::planner::order::{Command, Order, OrderReply};

use crate::catalog::{ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::{Host, MembershipPhase};
use crate::planner::advance::PlanInput;
use crate::planner::capacity::CapacityState;
use crate::planner::conversion::Conversions;
use crate::planner::formations::Formations;
use crate::planner::host_reports::{LastReport, MAX_ORDER_DELAY, Silence, Unanswered};
use crate::planner::lent_spares::LossKey;
use crate::planner::loads::Load;
use crate::planner::placement::ServiceView;
use crate::planner::rejecting::RejectingHosts;
use crate::planner::serving::ServingCounts;

/// Epochs reserved for one planner term; far more than a term can use.
pub(crate) const EPOCHS_PER_TERM: u64 = 1 << 20;
/// How long sent messages are remembered. Longer than any resend interval.
const SENT_TTL: Duration = Duration::from_secs(2);
/// Join time of a host whose last replica was of the same model, as the platform specifies.
const PRIMED_JOIN_TIME: Duration = Duration::from_millis(200);

value! {
    /// Timeouts and intervals of the planner.
    pub struct PlannerTiming {
        /// Interval at which an unanswered order is resent.
        pub resend_interval: Duration,
        /// Resend interval for silent hosts, while they are listed.
        pub silent_resend_interval: Duration,
        /// Interval between queries to a host that is about to be ready. Host entries arrive
        /// 200 to 300 ms late, which would be most of the repair time.
        pub query_interval: Duration,
        /// How long members' entries may contradict an open replica before it is dissolved.
        /// Entries lag behind orders, so a shorter time would dissolve healthy replicas.
        pub max_entry_lag: Duration,
        /// How long a new planner forms nothing after taking over: the previous planner's lease
        /// plus the timeout of its last orders.
        pub takeover_delay: Duration,
        /// How long to wait for the members of a lost replica to leave before other hosts
        /// replace them: two order round trips.
        pub leave_timeout: Duration,
        /// How long a replica keeps serving with a leaving member. Members stay for up to 10 s;
        /// the rest of that time is for the head to finish its requests.
        pub max_leaving_time: Duration,
        /// How long a head may finish running requests when a member is leaving.
        pub drain_timeout: Duration,
        /// Window of the rate limit on loads from the weight store.
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

/// State of the planner. A new planner rebuilds it from the hosts' reports.
#[derive(Clone, Debug)]
pub struct Planner {
    term: u64,
    started_at: Instant,
    formed: u64,
    timing: PlannerTiming,
    /// Invariant: a host is a member of at most one formation.
    formations: Formations,
    /// Invariant: accurate while replicas are being formed, stale between calls of
    /// [`Planner::plan`].
    serving: ServingCounts,
    /// Hosts that reported their membership to this planner directly. Invariant: after the first
    /// term only these join a replica, and only reports from after the previous planner's last
    /// possible orders are recorded.
    last_reports: BTreeMap<HostId, LastReport>,
    /// Hosts that did not answer an order, and when. They may still execute it.
    unconfirmed_orders: BTreeMap<HostId, Instant>,
    /// Hosts that do not respond.
    silent: BTreeMap<HostId, Silence>,
    /// Formations whose hosts are free, while entries may still show them as members.
    dissolved: BTreeMap<GroupId, Dissolved>,
    unanswered: BTreeMap<HostId, Unanswered>,
    /// Hosts to query because an order got no answer.
    pending_queries: BTreeSet<HostId>,
    /// When each recent order or query was sent, by the epoch it refers to (0 for none).
    sent: BTreeMap<(HostId, MessageKind, Epoch), Instant>,
    /// The model of the last replica that each host joined, with the host's start time.
    primed: BTreeMap<HostId, (u64, ModelName)>,
    /// Hosts that were ordered to load a model's weights and don't have them yet.
    staging: BTreeMap<HostId, Load>,
    /// Start times of recent loads from the weight store.
    loads: VecDeque<Instant>,
    /// Hosts that had begun no order when they reported to this planner, with their start times:
    /// no load that a former planner ordered is in progress there.
    unordered: BTreeMap<HostId, u64>,
    /// Hosts that reported during the takeover.
    early_reports: BTreeSet<HostId>,
    /// Heads that reject requests.
    rejecting: RejectingHosts,
    /// Number of listed hosts, and when it last changed.
    host_count: (usize, Instant),
    /// Whether the policies of capacity by demand are on.
    follows_demand: bool,
    /// Demand, targets and steps. Without demand it has no effect.
    capacity: CapacityState,
    /// Conversions of idle replicas.
    conversions: Conversions,
    /// When a replica of a model was last seen lost in a fabric domain.
    recent_losses: BTreeMap<LossKey, Instant>,
    /// When loads cease to be fast even if no request was served, if known.
    first_start_end: Option<Instant>,
}

/// A formation that has ended.
#[derive(Clone, Debug)]
struct Dissolved {
    at: Instant,
    /// Members that left it, whatever their entries still show.
    left: BTreeSet<HostId>,
    /// Its model.
    model: ModelName,
    /// Whether it ended because it lost a member.
    lost_member: bool,
}

/// Kind of a message to a host.
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
    /// Creates a planner whose epochs are higher than those of all terms before `term`.
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
            unanswered: BTreeMap::new(),
            pending_queries: BTreeSet::new(),
            sent: BTreeMap::new(),
            primed: BTreeMap::new(),
            staging: BTreeMap::new(),
            loads: VecDeque::new(),
            unordered: BTreeMap::new(),
            early_reports: BTreeSet::new(),
            rejecting: RejectingHosts::default(),
            host_count: (0, now),
            follows_demand: false,
            capacity: CapacityState::default(),
            conversions: Conversions::default(),
            recent_losses: BTreeMap::new(),
            first_start_end: None,
        }
    }

    /// All formations that this planner manages.
    pub fn formations(&self) -> impl Iterator<Item = &Formation> {
        self.formations.values()
    }

    /// Records that an open replica no longer serves, and dissolves it.
    pub fn on_replica_lost(&mut self, replica: &str, epoch: Epoch, loss: LossReason, now: Instant) {
        let known = self.formations.get_mut(replica);
        let serving = known.filter(|f| f.epoch == epoch && f.phase == FormationPhase::Open);
        if let Some(f) = serving {
            f.abandon(loss, now);
        }
    }

    /// Handles a host's reply to an order, or `None` if the order timed out after reaching it.
    ///
    /// Some healthy hosts don't answer orders but execute them seconds later. Declaring them dead
    /// after two such orders would lose a replica each time; a query tells them from dead hosts.
    pub fn on_reply(
        &mut self,
        host: &HostId,
        order: &Order,
        reply: Option<OrderReply>,
        now: Instant,
    ) {
        if reply.is_some() {
            self.unanswered.remove(host);
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
            // Its entry is about to be removed. Choosing the host again until then would break each
            // new formation at once.
            let silence = Silence {
                born_ms: info.born_ms,
                listed: true,
            };
            self.silent.insert(host.clone(), silence);
        }
        // A formation that was abandoned while the order was in flight stays abandoned. Reopened,
        // it would serve without the member that it lost.
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
            // The head was ready before, so it has since left the formation. Resending the order
            // would never succeed and would hold the members forever.
            (Order::Open { .. }, Some(OrderReply::Conflict | OrderReply::WrongHost))
                if phase == FormationPhase::Opening =>
            {
                formation.abandon(LossReason::Refused(host.clone()), now);
            }
            // A conflict means that the host is no member; another host at its address means that
            // it is gone.
            (Order::Leave { .. }, Some(reply)) if !matches!(reply, OrderReply::Refused(_)) => {
                formation.left.insert(host.clone(), now);
            }
            _ => {}
        }
    }

    /// Runs one planning pass and returns the commands to execute. `cold` is set until the first
    /// request was ever served; loads are fast and not rate-limited then.
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
        self.capacity.track(services, now);
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
        self.record_losses(now);
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
            if self.is_taking_over(now) {
                self.load_unused_domains(&view, &mut commands);
                continue;
            }
            self.update_targets(&view);
            self.form_replicas(&view, &mut commands);
            self.reclaim(&view);
            self.convert(&view, &mut commands);
        }
        self.query_unknown(fleet, services, now, &mut commands);
        self.query_pending(fleet, now, &mut commands);
        self.query_silent(fleet, now, &mut commands);
        // Sends the orders of new formations in the same pass.
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

    /// Removes state of hosts that are gone. A silent host is usable again once it is listed again
    /// or with another start time.
    fn remove_stale(&mut self, fleet: &Fleet, now: Instant) {
        let bound: BTreeSet<HostId> = self
            .formations
            .values()
            .flat_map(|f| f.held_members().cloned())
            .collect();
        let concerns = |id: &HostId| fleet.host(id).is_some() || bound.contains(id);
        self.unanswered.retain(|id, _| concerns(id));
        self.pending_queries.retain(concerns);
        self.last_reports
            .retain(|id, a| fleet.host(id).is_some_and(|h| h.started_ms == a.born_ms));
        self.unconfirmed_orders
            .retain(|_, at| now.saturating_duration_since(*at) < MAX_ORDER_DELAY);
        let recent = |at: Instant| now.saturating_duration_since(at) < SENT_TTL;
        self.sent.retain(|(id, ..), at| recent(*at) && concerns(id));
        // A finished load must not count as in progress once its host holds another model.
        self.staging.retain(|id, load| {
            let host = fleet.host(id);
            host.is_some_and(|h| h.started_ms == load.born_ms && !h.staged.contains(&load.model))
        });
        self.unordered
            .retain(|id, born| fleet.host(id).is_some_and(|h| h.started_ms == *born));
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

    /// Creates formations for replicas that hosts report and this planner doesn't manage yet.
    ///
    /// The previous planner's order to open one may still be in flight, and an unreachable host can
    /// come back as a member of an abandoned replica. Treated as free, such hosts could be
    /// reassigned while their replica serves.
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
            // A host that is still joining doesn't report its model.
            let model = model_of(first, services);
            let ranks = replica.members.iter().map(|(rank, _)| *rank);
            let whole = model.is_some_and(|m| hosts.len() == m.size && ranks.eq(0..m.size));
            // After a store outage hosts are listed again one by one. Serving replicas would be
            // dissolved for members that are not listed yet.
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
            // The previous planner gave it up; opened again, it would undo a conversion.
            if self.follows_demand && first.is_closing_head() {
                formation.abandon(LossReason::Converted, now);
                formation.enter_phase(FormationPhase::Draining, now);
            }
            if !whole || self.is_own_epoch(replica.epoch) {
                formation.abandon(LossReason::Incomplete, now);
            }
            self.formations.insert(formation);
        }
    }

    /// Adds hosts that report membership in a formation but aren't tracked as its members.
    ///
    /// Entries arrive one by one: members of a replica that is being dissolved may appear late, and
    /// an order to open it may still reach its head.
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

    /// Whether this planner issued the epoch.
    fn is_own_epoch(&self, epoch: Epoch) -> bool {
        epoch / EPOCHS_PER_TERM == self.term
    }

    /// Whether the previous planner may still send orders, or its orders may not show in host
    /// entries yet.
    fn is_taking_over(&self, now: Instant) -> bool {
        self.term > 1 && now.saturating_duration_since(self.started_at) < self.timing.takeover_delay
    }

    /// The formation that holds a host.
    pub fn formation_of(&self, host: &str) -> Option<&Formation> {
        self.formations
            .of_member(host)
            .find(|f| f.holds_member(host))
    }

    /// The most severe loss of a member: a silent member goes before a leaving one, which may still
    /// work.
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

    /// Whether a host accepts orders and is held by no serving formation.
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
