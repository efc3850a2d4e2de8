//! One service's queue and groups, under one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, ServiceName, Tokens};
use eelgrassmill_route::{
    AdmissionRequest, Candidate, GroupPicker, LatencySample, Pick, PrefixHashes, QueueOptions,
    Refusal, ServiceQueue, SlotKind, Slots, TenantUsage, Ticket,
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::lock::lock;
use super::seat::Seat;

/// Requests wait this long for a group when none may serve. Evidence may lapse
/// for a moment when a watcher dies; a group that is formed anew takes longer,
/// and whoever waits for it is better told at once when to come back.
const DESERTED_GRACE: Duration = Duration::from_secs(3);

/// Groups that a request failed at before.
pub(crate) type Avoided = SmallVec<[GroupId; 2]>;

/// A request that waits for its turn.
struct Waiter {
    tx: oneshot::Sender<Turn>,
    prefixes: PrefixHashes,
    avoid: Avoided,
}

/// What a waiting request is told.
#[derive(Debug)]
pub(crate) enum Turn {
    /// It may be sent to the group of the pick.
    Start(Pick),
    /// It is given up on, and has its final answer now.
    GivenUp(Refusal),
    /// No group is left that could take it.
    NoGroup,
}

struct State {
    queue: ServiceQueue<Waiter>,
    picker: GroupPicker,
    /// Invariant: holds every ticket that waits in `queue`, and maybe some that no longer do.
    waiting: BTreeSet<Ticket>,
    /// Slots taken here at each group; no entry for a group without any.
    in_flight: BTreeMap<GroupId, Slots>,
    /// Running drafts that give way when asked to.
    givers: BTreeMap<Ticket, oneshot::Sender<()>>,
    /// Since when there is no group or target that may get work; `None` while there is one.
    deserted: Option<Instant>,
}

/// One service at this node. Its lock is held for a few steps only and never over an await.
pub(crate) struct Shard {
    service: ServiceName,
    state: Mutex<State>,
}

/// A place in the queue, and after its turn a slot at a group; given back when dropped.
///
/// The caller may leave at any await. Without this guard the slot of a request
/// whose future was dropped would stay taken for good.
pub(crate) struct Place {
    shard: Arc<Shard>,
    ticket: Ticket,
    rx: oneshot::Receiver<Turn>,
    pick: Option<Pick>,
    /// What is charged when the place is given back; `None` until something ran.
    used: Option<Tokens>,
    /// Counts the request among its tenant's.
    seat: Option<Seat>,
}

impl Shard {
    pub(crate) fn new(service: ServiceName, max_queue: u32, seed: u64) -> Shard {
        let opts = QueueOptions::default().max_queue(max_queue).seed(seed);
        Shard {
            service,
            state: Mutex::new(State {
                queue: ServiceQueue::new(opts),
                picker: GroupPicker::new(seed),
                waiting: BTreeSet::new(),
                in_flight: BTreeMap::new(),
                givers: BTreeMap::new(),
                deserted: Some(Instant::now()),
            }),
        }
    }

    pub(crate) fn set_max_queue(&self, requests: u32) {
        self.state().queue.set_max_queue(requests);
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Asks for a place.
    ///
    /// # Errors
    /// When the request is refused at once. With no group for long, its turn is
    /// [`Turn::NoGroup`] at once.
    pub(crate) fn offer(
        self: &Arc<Shard>,
        offer: AdmissionRequest,
        prefixes: PrefixHashes,
        avoid: Avoided,
        now: Instant,
    ) -> Result<Place, Refusal> {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            tx,
            prefixes,
            avoid,
        };
        let mut state = self.state();
        let ticket = state.queue.admit(offer, waiter, now)?;
        state.waiting.insert(ticket);
        state.pump(now);
        drop(state);
        Ok(Place {
            shard: self.clone(),
            ticket,
            rx,
            pick: None,
            used: None,
            seat: None,
        })
    }

    /// Replaces the groups that may be picked.
    pub(crate) fn set_candidates(&self, candidates: Vec<Candidate>, now: Instant) {
        let mut state = self.state();
        // A leaving group gets nothing new: whoever waits for it alone waits in vain,
        // and would be told so only when its deadline has passed.
        state.deserted = match candidates.iter().all(|c| c.leaving) {
            true => state.deserted.or(Some(now)),
            false => None,
        };
        state.picker.set_candidates(candidates, now);
        state.pump(now);
    }

    pub(crate) fn observe(&self, pick: &Pick, sample: LatencySample, now: Instant) {
        self.state()
            .picker
            .observe(&pick.group, pick.epoch, sample, now);
    }

    pub(crate) fn report(&self, pick: (&GroupId, u64), running: u32, taken_at: Instant) {
        self.state()
            .picker
            .on_load_report(pick.0, pick.1, running, taken_at);
    }

    /// Slots that this entry has taken at a group.
    pub(crate) fn in_flight(&self, group: &str) -> Slots {
        let state = self.state();
        state.in_flight.get(group).copied().unwrap_or(Slots::NONE)
    }

    /// What tenants used here since the last call.
    pub(crate) fn take_usage(&self) -> Vec<TenantUsage> {
        self.state().queue.take_usage()
    }

    /// Charges what a tenant used at another entry.
    pub(crate) fn charge_elsewhere(&self, usage: &TenantUsage) {
        self.state().queue.charge_remote_usage(usage);
    }

    /// Waiting requests by kind of slot, and running ones.
    pub(crate) fn demand(&self) -> (Slots, usize) {
        let state = self.state();
        (state.queue.demand(), state.queue.running())
    }
}

impl State {
    fn pump(&mut self, now: Instant) {
        for (waiter, refusal) in self.queue.take_refused(now) {
            // A caller that has left wants no refusal.
            let _ = waiter.tx.send(Turn::GivenUp(refusal));
        }
        if self.is_deserted(now) {
            self.send_all_away();
        }
        while let Some(started) = self.queue.dequeue(self.picker.free_slots(now), now) {
            self.waiting.remove(&started.ticket);
            let waiter = started.payload;
            let Some(pick) = self.pick(started.slot, &waiter, now) else {
                self.queue.cancel(started.ticket);
                let _ = waiter.tx.send(Turn::NoGroup);
                continue;
            };
            self.occupy(&pick);
            if let Err(Turn::Start(pick)) = waiter.tx.send(Turn::Start(pick)) {
                self.ended(&pick);
                self.queue.cancel(started.ticket);
            }
        }
        self.ask_to_give_way(now);
    }

    /// Asks the draft to give way that a waiting request has a better claim than.
    fn ask_to_give_way(&mut self, now: Instant) {
        let free = self.picker.free_slots(now);
        let victim = self
            .queue
            .preemption_victim(free, |t| self.givers.contains_key(&t));
        // Asked once: until it has given way its entry here is gone.
        if let Some(tx) = victim.and_then(|ticket| self.givers.remove(&ticket)) {
            let _ = tx.send(());
        }
    }

    fn occupy(&mut self, pick: &Pick) {
        let taken = self
            .in_flight
            .entry(pick.group.clone())
            .or_insert(Slots::NONE);
        *count(taken, pick.slot) += 1;
    }

    fn ended(&mut self, pick: &Pick) {
        self.picker.release(pick);
        let Some(taken) = self.in_flight.get_mut(&pick.group) else {
            return;
        };
        let count = count(taken, pick.slot);
        *count = count.saturating_sub(1);
        if taken.total() == 0 {
            self.in_flight.remove(&pick.group);
        }
    }

    fn is_deserted(&self, now: Instant) -> bool {
        self.deserted
            .is_some_and(|since| now.saturating_duration_since(since) >= DESERTED_GRACE)
    }

    fn send_all_away(&mut self) {
        for ticket in std::mem::take(&mut self.waiting) {
            if let Some(waiter) = self.queue.cancel(ticket) {
                let _ = waiter.tx.send(Turn::NoGroup);
            }
        }
    }

    /// A group that the request has not failed at, or any when there is no other.
    fn pick(&mut self, slot: SlotKind, waiter: &Waiter, now: Instant) -> Option<Pick> {
        let elsewhere = self.picker.pick(slot, &waiter.prefixes, &waiter.avoid, now);
        elsewhere.or_else(|| self.picker.pick(slot, &waiter.prefixes, &[], now))
    }
}

fn count(slots: &mut Slots, kind: SlotKind) -> &mut u32 {
    match kind {
        SlotKind::Normal => &mut slots.normal,
        SlotKind::Urgent => &mut slots.urgent,
    }
}

impl Place {
    /// Waits for the turn.
    pub(crate) async fn turn(&mut self) -> Turn {
        match (&mut self.rx).await {
            Ok(Turn::Start(pick)) => {
                self.pick = Some(pick.clone());
                Turn::Start(pick)
            }
            Ok(turn) => turn,
            Err(_) => Turn::NoGroup,
        }
    }

    /// Says that the request can be cancelled at its engine and taken up again; the
    /// receiver is told when it is to give way.
    pub(crate) fn gives_way(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.shard.state().givers.insert(self.ticket, tx);
        rx
    }

    /// Gives the slot up and waits in the queue again, after `used` tokens.
    pub(crate) fn give_way(&mut self, used: Tokens, prefixes: PrefixHashes, now: Instant) {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            tx,
            prefixes,
            avoid: Avoided::new(),
        };
        let mut state = self.shard.state();
        if let Some(pick) = self.pick.take() {
            state.ended(&pick);
        }
        state.givers.remove(&self.ticket);
        // A ticket that no longer runs leaves the receiver without a sender,
        // which is a turn without a group.
        if let Some(ticket) = state.queue.requeue(self.ticket, used, waiter) {
            self.ticket = ticket;
            state.waiting.insert(ticket);
        }
        state.pump(now);
        drop(state);
        self.rx = rx;
        self.used = None;
    }

    /// Keeps `seat` for as long as the place is held.
    pub(crate) fn take_seat(&mut self, seat: Seat) {
        self.seat = Some(seat);
    }

    /// Counts the request as running.
    pub(crate) fn seat_runs(&mut self) {
        if let Some(seat) = &mut self.seat {
            seat.runs();
        }
    }

    /// Notes what the request has really used; nothing is charged without.
    pub(crate) fn used(&mut self, tokens: Tokens) {
        self.used = Some(tokens);
    }

    /// The group whose slot it holds.
    pub(crate) fn group(&self) -> Option<GroupId> {
        self.pick.as_ref().map(|pick| pick.group.clone())
    }

    pub(crate) fn observe(&self, sample: LatencySample, now: Instant) {
        if let Some(pick) = &self.pick {
            self.shard.observe(pick, sample, now);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.shard.state();
        state.waiting.remove(&self.ticket);
        state.givers.remove(&self.ticket);
        // The turn may have come between the last poll and this drop.
        self.rx.close();
        if let Ok(Turn::Start(pick)) = self.rx.try_recv() {
            self.pick = Some(pick);
        }
        if let Some(pick) = &self.pick {
            state.ended(pick);
        }
        match self.used {
            Some(tokens) => state.queue.complete(self.ticket, tokens, now),
            None => drop(state.queue.cancel(self.ticket)),
        }
        state.pump(now);
    }
}
