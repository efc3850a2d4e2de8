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

mod choose;
mod formation;
mod order;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, ModelName, ServiceName, value};
use smol_str::format_smolstr;

pub use crate::planner::formation::{Formation, Loss, Purpose, Step};
pub use crate::planner::order::{Command, Order, OrderReply};

use crate::catalog::{ModelSpec, Service};
use crate::fleet::Fleet;
use crate::host::{Host, MembershipPhase};
use crate::planner::choose::View;

/// Formations that one planner's term has room for; far more than a term can last.
const EPOCHS_PER_TERM: u64 = 1 << 20;
/// A join from nothing in a host that was a member of a replica of this model: 0.2 s by
/// the platform's page.
const PRIMED_JOIN: Duration = Duration::from_millis(200);
/// A host that gave no answer this often in a row counts as silent.
const MAX_UNANSWERED: u32 = 2;

value! {
    /// Times of the planner.
    pub struct PlannerTiming {
        /// An order without an answer is sent again after this.
        pub resend: Duration,
        /// The same to a host that gives no answer at all, until it is no longer listed.
        pub resend_silent: Duration,
        /// Between two questions to a host that is about to be ready. Entries of hosts
        /// come 200 to 300 ms late, which would be the larger part of a repair.
        pub ask: Duration,
        /// An open replica whose members' entries say otherwise for this long is given
        /// up: entries lag behind orders, so a shorter time would end sound replicas.
        pub entry_lag: Duration,
        /// How long the members of a lost replica are waited for before others take their
        /// places: two orders' time.
        pub leave: Duration,
        /// How long a replica serves on with a member that is leaving. Members stay for up
        /// to 10 s; what is left is for the head to finish its work.
        pub stay: Duration,
        /// How long a head may finish what runs when a member is leaving.
        pub drain: Duration,
        /// The window of the bound on loads from the weight store.
        pub load_window: Duration,
    }
}

impl Default for PlannerTiming {
    fn default() -> PlannerTiming {
        PlannerTiming {
            resend: Duration::from_millis(300),
            resend_silent: Duration::from_millis(1000),
            ask: Duration::from_millis(120),
            entry_lag: Duration::from_millis(1500),
            leave: Duration::from_millis(700),
            stay: Duration::from_millis(6000),
            drain: Duration::from_millis(1500),
            load_window: Duration::from_secs(5),
        }
    }
}

/// The planner's state. It is rebuilt from the hosts' own reports by any new planner.
#[derive(Clone, Debug)]
pub struct Planner {
    term: u64,
    began: Instant,
    formed: u64,
    timing: PlannerTiming,
    /// Invariant: a host is a member of at most one formation.
    formations: BTreeMap<GroupId, Formation>,
    /// Hosts that give no answer.
    silent: BTreeMap<HostId, Silence>,
    /// Formations whose hosts are free, for as long as entries may still show them.
    dissolved: BTreeMap<GroupId, Dissolved>,
    unanswered: BTreeMap<HostId, u32>,
    /// Orders and questions under way or sent lately by the epoch that they are about, 0
    /// for none, and when.
    sent: BTreeMap<(HostId, SentKind, Epoch), Instant>,
    /// Hosts that have been members of a replica of a model, by their start.
    primed: BTreeMap<HostId, (u64, ModelName)>,
    /// Spares that load a further model, and until when that may take.
    staging: BTreeMap<HostId, (ModelName, Instant)>,
    /// When loads from the weight store began.
    loads: VecDeque<Instant>,
}

/// What is remembered of a host that gives no answer.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Its start when that was noticed.
    born_ms: u64,
    /// Whether it has been listed ever since.
    listed: bool,
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
pub(crate) enum SentKind {
    Join,
    Open,
    Close,
    Leave,
    Stage,
    Question,
}

impl Planner {
    /// A planner whose epochs are above those of all terms before `term`.
    pub fn new(term: u64, timing: PlannerTiming, now: Instant) -> Planner {
        Planner {
            term,
            began: now,
            formed: 0,
            timing,
            formations: BTreeMap::new(),
            silent: BTreeMap::new(),
            dissolved: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            sent: BTreeMap::new(),
            primed: BTreeMap::new(),
            staging: BTreeMap::new(),
            loads: VecDeque::new(),
        }
    }

    /// The formations it is responsible for.
    pub fn formations(&self) -> impl Iterator<Item = &Formation> {
        self.formations.values()
    }

    /// Notes that a host gives no answer though others do.
    pub fn host_silent(&mut self, host: &HostId, fleet: &Fleet) {
        let entry = fleet.host(host);
        let silence = Silence {
            born_ms: entry.map_or(0, |h| h.born_ms),
            listed: entry.is_some(),
        };
        self.silent.entry(host.clone()).or_insert(silence);
    }

    /// Notes that a replica no longer serves.
    pub fn replica_lost(&mut self, replica: &str, epoch: Epoch, loss: Loss, now: Instant) {
        let known = self.formations.get_mut(replica);
        let serving = known.filter(|f| f.epoch == epoch && f.step == Step::Open);
        if let Some(f) = serving {
            f.lose(loss, now);
        }
    }

    /// Notes that a host has answered.
    pub fn host_answered(&mut self, host: &HostId) {
        self.silent.remove(host);
        self.unanswered.remove(host);
    }

    /// Notes that a host did not answer a question or an order.
    pub fn host_unanswered(&mut self, host: &HostId, fleet: &Fleet) {
        let count = self.unanswered.entry(host.clone()).or_default();
        *count += 1;
        if *count >= MAX_UNANSWERED {
            self.host_silent(host, fleet);
        }
    }

    /// Takes what a host answered to an order; `None` when no answer came.
    pub fn on_reply(
        &mut self,
        host: &HostId,
        order: &Order,
        reply: Option<OrderReply>,
        now: Instant,
    ) {
        if reply.is_some() {
            self.unanswered.remove(host);
        }
        let Some((replica, epoch)) = order.formation() else {
            return;
        };
        let known = self.formations.get_mut(replica);
        let Some(formation) = known.filter(|f| f.epoch == epoch) else {
            return;
        };
        match (order, reply) {
            (Order::Join { .. }, Some(OrderReply::Begun | OrderReply::Done)) => {
                formation.accepted.insert(host.clone());
            }
            (Order::Join { .. }, Some(OrderReply::Fenced | OrderReply::WrongHost)) => {
                formation.lose(Loss::Refused(host.clone()), now);
            }
            (Order::Open { .. }, Some(OrderReply::Begun | OrderReply::Done)) => {
                formation.enter(Step::Open, now);
            }
            // A conflict means that it is no member, and another host at its address
            // that it is gone.
            (Order::Leave { .. }, Some(reply)) if !matches!(reply, OrderReply::Refused(_)) => {
                formation.left.insert(host.clone());
            }
            _ => {}
        }
    }

    /// Decides what to do now. `cold` while no request was ever served, when loads are
    /// quick and bounded by nothing.
    pub fn step(
        &mut self,
        fleet: &Fleet,
        services: &[&Service],
        cold: bool,
        now: Instant,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        self.forget_returned(fleet, now);
        self.adopt(fleet, services, now);
        let ids: Vec<GroupId> = self.formations.keys().cloned().collect();
        for id in ids {
            self.advance(&id, fleet, services, cold, now, &mut commands);
        }
        if !self.is_settling(now) {
            for service in services {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let view = View {
                    service,
                    engine,
                    fleet,
                    cold,
                    now,
                };
                self.form(&view, &mut commands);
            }
        }
        self.ask_silent(fleet, now, &mut commands);
        // Formations that were just decided are ordered at once.
        let joining = |f: &Formation| f.step == Step::Joining && f.accepted.is_empty();
        let fresh: Vec<GroupId> = self
            .formations
            .values()
            .filter(|f| joining(f))
            .map(|f| f.id.clone())
            .collect();
        for id in fresh {
            self.advance(&id, fleet, services, cold, now, &mut commands);
        }
        commands
    }

    /// Drops what is remembered of hosts that are gone. A silent host counts again once
    /// it is listed anew or with another start.
    fn forget_returned(&mut self, fleet: &Fleet, now: Instant) {
        let bound: BTreeSet<HostId> = self
            .formations
            .values()
            .flat_map(|f| f.bound().cloned())
            .collect();
        let concerns = |id: &HostId| fleet.host(id).is_some() || bound.contains(id);
        self.unanswered.retain(|id, _| concerns(id));
        self.sent.retain(|(id, ..), _| concerns(id));
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
            Some(host) => silence.listed && host.born_ms == silence.born_ms,
        });
        self.primed
            .retain(|id, (born, _)| fleet.host(id).is_some_and(|h| h.born_ms == *born));
        for host in fleet.hosts() {
            let joined = host
                .membership
                .as_ref()
                .is_some_and(|m| m.phase != MembershipPhase::Joining);
            if let (true, Some(model)) = (joined, &host.model) {
                self.primed
                    .insert(host.id.clone(), (host.born_ms, model.clone()));
            }
        }
    }

    /// Takes over the replicas that hosts report and no formation here knows.
    ///
    /// An order to open one may still be under way from the planner before, and a host
    /// that was out of reach comes back as a member of one that was given up. Were such
    /// hosts taken as free, they could be given away while their replica serves.
    fn adopt(&mut self, fleet: &Fleet, services: &[&Service], now: Instant) {
        let lag = self.timing.entry_lag;
        self.dissolved
            .retain(|_, dissolved| now.saturating_duration_since(dissolved.at) < lag);
        for replica in fleet.replicas() {
            if self.formations.contains_key(&replica.id) {
                continue;
            }
            let dissolved = self.dissolved.get(&replica.id);
            let has_left = |h: &Host| dissolved.is_some_and(|d| d.left.contains(&h.id));
            let hosts = replica.members.iter().filter_map(|(_, id)| fleet.host(id));
            let hosts: Vec<&Host> = hosts
                .filter(|h| self.formation_of(&h.id).is_none() && !has_left(h))
                .collect();
            let Some(first) = hosts.first().copied() else {
                continue;
            };
            let Some(model) = model_of(first, services) else {
                continue;
            };
            let ranks = replica.members.iter().map(|(rank, _)| *rank);
            let whole = hosts.len() == model.size && ranks.eq(0..model.size);
            let (id, epoch) = (replica.id.clone(), replica.epoch);
            let Some(mut formation) = Formation::new(id, epoch, model, &hosts, now) else {
                continue;
            };
            formation.accepted = formation.members.iter().cloned().collect();
            if first.is_open_head() {
                formation.enter(Step::Open, now);
            }
            if !whole || self.own_epoch(replica.epoch) {
                formation.lose(Loss::Incomplete, now);
            }
            self.formations.insert(replica.id, formation);
        }
    }

    /// Whether this planner made the epoch.
    fn own_epoch(&self, epoch: Epoch) -> bool {
        epoch / EPOCHS_PER_TERM == self.term
    }

    /// Whether an order of a planner before this one may be about to be shown by hosts.
    fn is_settling(&self, now: Instant) -> bool {
        self.term > 1 && now.saturating_duration_since(self.began) < self.timing.entry_lag
    }

    /// The formation that a host is a member of.
    pub fn formation_of(&self, host: &str) -> Option<&Formation> {
        self.formations
            .values()
            .find(|f| f.bound().any(|m| m == host))
    }

    /// A member that is silent goes before one that is leaving and may still work.
    fn worst_loss(&self, f: &Formation, fleet: &Fleet) -> Option<Loss> {
        let silent = f.members.iter().find(|m| self.silent.contains_key(*m));
        let lost = || f.members.iter().find_map(|m| self.is_lost(m, fleet));
        silent.map(|m| Loss::Silent(m.clone())).or_else(lost)
    }

    fn is_lost(&self, host: &HostId, fleet: &Fleet) -> Option<Loss> {
        if self.silent.contains_key(host) {
            return Some(Loss::Silent(host.clone()));
        }
        match fleet.host(host) {
            None => Some(Loss::Gone(host.clone())),
            Some(h) if !h.is_ready() => Some(Loss::Leaving(host.clone())),
            Some(_) => None,
        }
    }

    fn advance(
        &mut self,
        id: &GroupId,
        fleet: &Fleet,
        services: &[&Service],
        cold: bool,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let Some(mut formation) = self.formations.remove(id) else {
            return;
        };
        let lost = self.worst_loss(&formation, fleet);
        let keep = match formation.step {
            Step::Joining | Step::Opening => {
                let model = find_model(services, &formation.service, &formation.model);
                self.advance_joining(&mut formation, lost, model, fleet, cold, now, commands)
            }
            Step::Open => {
                self.advance_open(&mut formation, lost, fleet, now);
                true
            }
            Step::Draining => self.advance_draining(&mut formation, lost, fleet, now, commands),
            Step::Dissolving => self.advance_dissolving(&mut formation, fleet, now, commands),
        };
        if keep {
            self.formations.insert(id.clone(), formation);
        }
    }

    /// Orders members to join, asks them, and opens once each said that it is ready.
    #[allow(clippy::too_many_arguments)]
    fn advance_joining(
        &mut self,
        f: &mut Formation,
        lost: Option<Loss>,
        model: Option<&ModelSpec>,
        fleet: &Fleet,
        cold: bool,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        if f.purpose == Purpose::Prime {
            return self.advance_priming(f, lost, model, fleet, now, commands);
        }
        if lost.is_some() || f.loss.is_some() {
            // The order to open may be under way: until the head has left it may serve.
            if f.step == Step::Opening {
                f.lose(lost.unwrap_or(Loss::Incomplete), now);
                return true;
            }
            return false;
        }
        for member in f.members.clone() {
            let Some(host) = fleet.host(&member) else {
                continue;
            };
            if f.is_ready_member(host) {
                self.primed
                    .insert(member.clone(), (host.born_ms, f.model.clone()));
                f.ready.insert(member);
                continue;
            }
            if f.ready.contains(&member) {
                continue;
            }
            if !f.accepted.contains(&member) {
                self.send(f.join(), f, &member, now, commands);
                continue;
            }
            let expected = f.since + self.join_time(host, model, now);
            // Before there are requests, entries are early enough.
            let patience = if cold {
                self.timing.entry_lag
            } else {
                Duration::ZERO
            };
            if now >= expected + patience {
                self.ask(&member, now, commands);
            }
        }
        if f.ready.len() == f.members.len() {
            self.open(f, fleet, now, commands);
        }
        true
    }

    fn open(
        &mut self,
        f: &mut Formation,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let Some(head) = f.head().cloned() else {
            return;
        };
        if fleet
            .host(&head)
            .is_some_and(|h| f.is_member(h) && h.is_open_head())
        {
            f.enter(Step::Open, now);
            return;
        }
        if f.step != Step::Opening {
            f.enter(Step::Opening, now);
        }
        let open = Order::Open {
            replica: f.id.clone(),
            epoch: f.epoch,
        };
        self.send(open, f, &head, now, commands);
    }

    /// A spare joins a replica of its own that is never opened, so that it joins a
    /// serving one in 0.2 s instead of the time that its weights take.
    fn advance_priming(
        &mut self,
        f: &mut Formation,
        lost: Option<Loss>,
        model: Option<&ModelSpec>,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        if lost.is_some() || f.loss.is_some() || model.is_none() {
            return false;
        }
        for member in f.members.clone() {
            let Some(host) = fleet.host(&member) else {
                continue;
            };
            if f.is_ready_member(host) {
                self.primed
                    .insert(member.clone(), (host.born_ms, f.model.clone()));
                f.ready.insert(member);
            } else if !f.accepted.contains(&member) {
                self.send(f.join(), f, &member, now, commands);
            }
        }
        true
    }

    fn advance_open(&mut self, f: &mut Formation, lost: Option<Loss>, fleet: &Fleet, now: Instant) {
        if let Some(loss) = lost {
            // A host whose entry vanished may be leaving without a word, and serve on.
            let planned = matches!(loss, Loss::Leaving(_) | Loss::Gone(_));
            if planned && self.may_stay(f, fleet, now) {
                return;
            }
            f.lose(loss, now);
            if planned {
                f.enter(Step::Draining, now);
            }
            return;
        }
        if now.saturating_duration_since(f.since) < self.timing.entry_lag {
            return;
        }
        for member in &f.members {
            let Some(host) = fleet.host(member) else {
                continue;
            };
            if !f.is_member(host) {
                f.lose(Loss::Elsewhere(member.clone()), now);
                return;
            }
        }
        let head = f.head().and_then(|h| fleet.host(h));
        match head.and_then(|h| h.membership.as_ref()).map(|m| m.phase) {
            Some(MembershipPhase::Broken) => f.lose(Loss::Broken, now),
            // A late order closed it: open it again.
            Some(MembershipPhase::Ready) => f.enter(Step::Joining, now),
            _ => {}
        }
    }

    /// Whether a replica serves on although a member is leaving.
    ///
    /// A member, unlike a head, gets no requests, and stays for up to 10 s while its head
    /// has work. Where no spare can take its place at once, the replica is of more use
    /// with it than dissolved.
    fn may_stay(&mut self, f: &mut Formation, fleet: &Fleet, now: Instant) -> bool {
        let head_stays = f.head().is_some_and(|h| self.is_lost(h, fleet).is_none());
        let since = *f.leaving_since.get_or_insert(now);
        let long = now.saturating_duration_since(since) >= self.timing.stay;
        head_stays && !long && !self.can_replace(f, fleet)
    }

    /// Whether free hosts could join now in place of all members that are leaving.
    fn can_replace(&self, f: &Formation, fleet: &Fleet) -> bool {
        let lost = f
            .members
            .iter()
            .filter(|m| self.is_lost(m, fleet).is_some())
            .count();
        let bound = self.members();
        let primed = |h: &&Host| {
            let model = self.primed.get(&h.id).is_some_and(|(_, m)| *m == f.model);
            h.fabric == f.fabric && h.is_ready() && (model || h.staged.contains(&f.model))
        };
        let free = fleet.hosts().filter(primed);
        let free = free.filter(|h| !bound.contains(&h.id) && !self.silent.contains_key(&h.id));
        free.take(lost).count() == lost
    }

    /// The head finishes what runs; then the replica is dissolved and formed anew.
    fn advance_draining(
        &mut self,
        f: &mut Formation,
        lost: Option<Loss>,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(head) = f.head().cloned() else {
            return false;
        };
        let phase = fleet.host(&head).filter(|h| f.is_member(h));
        let phase = phase.and_then(|h| h.membership.as_ref()).map(|m| m.phase);
        let finished = matches!(
            phase,
            Some(MembershipPhase::Ready | MembershipPhase::Broken)
        );
        let over = now.saturating_duration_since(f.since) >= self.timing.drain;
        let worse = lost.is_some_and(|l| matches!(l, Loss::Silent(_)));
        if finished || over || worse {
            f.enter(Step::Dissolving, now);
            return self.advance_dissolving(f, fleet, now, commands);
        }
        if phase.is_none_or(|p| p == MembershipPhase::Open) {
            let close = Order::Close {
                replica: f.id.clone(),
                epoch: f.epoch,
            };
            self.send(close, f, &head, now, commands);
        }
        true
    }

    /// Tells all members to leave, and keeps each bound until it has.
    ///
    /// A host that joins another replica while its old head serves would tear answers
    /// in progress apart, which callers see as streams that stand still. A member that
    /// has left stops the replica by itself, so the head needs not be in reach.
    fn advance_dissolving(
        &mut self,
        f: &mut Formation,
        fleet: &Fleet,
        now: Instant,
        commands: &mut Vec<Command>,
    ) -> bool {
        let entries_are_new = now.saturating_duration_since(f.since) >= self.timing.entry_lag;
        f.gone.retain(|m| fleet.host(m).is_none());
        for member in f.bound().cloned().collect::<Vec<_>>() {
            let silent = self.silent.contains_key(&member);
            let Some(host) = fleet.host(&member) else {
                if silent {
                    f.gone.insert(member);
                    continue;
                }
                self.order_to_leave(f, &member, self.timing.resend, now, commands);
                continue;
            };
            let reborn = f
                .seats
                .get(&member)
                .is_none_or(|seat| seat.born_ms != host.born_ms);
            if reborn || (entries_are_new && !f.is_member(host)) {
                f.left.insert(member);
                continue;
            }
            let every = if silent {
                self.timing.resend_silent
            } else {
                self.timing.resend
            };
            self.order_to_leave(f, &member, every, now, commands);
        }
        let done = f.bound().next().is_none();
        if done {
            let left = f.left.clone();
            self.dissolved
                .insert(f.id.clone(), Dissolved { at: now, left });
        }
        !done
    }

    fn order_to_leave(
        &mut self,
        f: &Formation,
        member: &HostId,
        every: Duration,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let leave = Order::Leave {
            replica: f.id.clone(),
            epoch: f.epoch,
        };
        self.send_every(leave, f, member, every, now, commands);
    }

    fn send(
        &mut self,
        order: Order,
        f: &Formation,
        host: &HostId,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        self.send_every(order, f, host, self.timing.resend, now, commands);
    }

    fn send_every(
        &mut self,
        order: Order,
        f: &Formation,
        host: &HostId,
        every: Duration,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let Some(seat) = f.seats.get(host) else {
            return;
        };
        if self.claim(host, order.kind(), f.epoch, every, now) {
            let address = seat.address.clone();
            commands.push(Command::Order {
                host: host.clone(),
                address,
                order,
            });
        }
    }

    fn ask(&mut self, host: &HostId, now: Instant, commands: &mut Vec<Command>) {
        if self.claim(host, SentKind::Question, 0, self.timing.ask, now) {
            commands.push(Command::Ask { host: host.clone() });
        }
    }

    /// Asks silent hosts that are still listed: one that was only cut off must not be
    /// lost as a spare.
    fn ask_silent(&mut self, fleet: &Fleet, now: Instant, commands: &mut Vec<Command>) {
        let listed = self.silent.keys().filter(|id| fleet.host(id).is_some());
        for host in listed.cloned().collect::<Vec<_>>() {
            if self.claim(&host, SentKind::Question, 0, self.timing.resend_silent, now) {
                commands.push(Command::Ask { host });
            }
        }
    }

    /// Whether it is time to send this to the host again.
    ///
    /// An answer alone is no reason: each wakes the planner, which would send the order
    /// again at once for as long as the host's entry lags behind.
    fn claim(
        &mut self,
        host: &HostId,
        kind: SentKind,
        epoch: Epoch,
        every: Duration,
        now: Instant,
    ) -> bool {
        let key = (host.clone(), kind, epoch);
        let last = self.sent.get(&key);
        if last.is_some_and(|last| now.saturating_duration_since(*last) < every) {
            return false;
        }
        self.sent.insert(key, now);
        true
    }

    fn next_formation(&mut self) -> (GroupId, Epoch) {
        self.formed += 1;
        let epoch = self.term * EPOCHS_PER_TERM + self.formed;
        (format_smolstr!("r{}-{}", self.term, self.formed), epoch)
    }

    fn members(&self) -> BTreeSet<&HostId> {
        let bound = self
            .formations
            .values()
            .filter(|f| f.purpose == Purpose::Serve);
        bound.flat_map(Formation::bound).collect()
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
