//! Taking in batches.

use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;

use crate::delay::SenderClock;
use crate::dissemination::record::{Applied, Fingerprint, Record};
use crate::dissemination::{Dissemination, MAX_ORIGINS, before};
use crate::item::{Change, Item, ItemKey, Update};
use crate::wire::convert::name;
use crate::wire::messages::{Batch, OriginUpdate};

/// Unit of the ages of confirmations.
pub(super) const AGE_UNIT: Duration = Duration::from_millis(20);
/// Most states that a comparison brings a node of another failure domain.
pub(super) const MAX_FAR_STATES: usize = 128;
/// Most fingerprints that are asked for, or asked about, in one batch.
pub(super) const MAX_ASKED: usize = 64;

impl Dissemination {
    /// Takes in a batch that `from` sent or answered with.
    ///
    /// Batches may come twice, late and in any order.
    pub fn receive(&mut self, from: &NodeId, batch: Batch, now: Instant) -> Vec<Update> {
        if *from == self.cfg.me.id {
            return Vec::new();
        }
        self.answered(from);
        if batch.from.is_empty() {
            return Vec::new();
        }
        let late = self.lateness(from, &batch, now);
        let mut updates = Vec::new();
        for update in batch.updates {
            self.take_update(from, update, late, now, &mut updates);
        }
        let ages = batch
            .confirmed_age
            .iter()
            .chain(std::iter::repeat(&u32::MAX));
        for (&state, &age) in batch.confirmed.iter().zip(ages) {
            let age = AGE_UNIT.saturating_mul(age).saturating_add(late);
            self.take_confirmation(from, state, age, now, &mut updates);
        }
        for state in batch.want.into_iter().take(MAX_ASKED) {
            self.take_want(from, state);
        }
        for state in batch.stale.into_iter().take(MAX_ASKED) {
            self.take_stale(from, state, now);
        }
        if batch.sync {
            self.take_sync(from, &batch.have);
        }
        if batch.more {
            self.owed.entry(from.clone()).or_default().sync = true;
        }
        updates
    }

    /// How much later than usual the batch came.
    fn lateness(&mut self, from: &NodeId, batch: &Batch, now: Instant) -> Duration {
        let own_ms = now.saturating_duration_since(self.began).as_millis() as i64;
        let offset = own_ms.saturating_sub_unsigned(batch.sent_ms);
        if let Some(clock) = self.clocks.get_mut(from)
            && clock.incarnation() == batch.incarnation
        {
            return clock.delay(offset, now);
        }
        // A restarted node has nothing of what it was sent before.
        self.marks.remove(from);
        if self.clocks.len() < MAX_ORIGINS {
            let clock = SenderClock::new(batch.incarnation, offset, now);
            self.clocks.insert(from.clone(), clock);
        }
        // With nothing to compare with, it may have been under way for as long as a call may, but
        // not since before this node could take it. Without that bound nodes that start together
        // would take each other for silent, and each act as if it were alone.
        let up = now.saturating_duration_since(self.began);
        self.cfg.timing.call_timeout.min(up)
    }

    fn take_update(
        &mut self,
        from: &NodeId,
        update: OriginUpdate,
        late: Duration,
        now: Instant,
        updates: &mut Vec<Update>,
    ) {
        let Some(origin) = name(update.origin.clone()) else {
            return;
        };
        if origin == self.cfg.me.id || !self.admit(&origin, &update, now) {
            return;
        }
        let (incarnation, sequence) = (update.incarnation, update.sequence);
        let Some(applied) = self.change(&origin, |record| record.apply(update, late, now)) else {
            return;
        };
        if applied.complete {
            self.mark(from, &origin, incarnation, sequence);
        }
        self.overlay_outdated |= self.moves_a_node(&origin, &applied);
        let as_update = |change| Update {
            origin: origin.clone(),
            incarnation,
            change,
        };
        updates.extend(applied.changes.into_iter().map(as_update));
    }

    /// Whether the overlay must be laid out anew. Doing so for each status of a node that
    /// already has its place would cost a large system most of its start.
    fn moves_a_node(&self, origin: &NodeId, applied: &Applied) -> bool {
        applied.changes.iter().any(|change| match change {
            Change::Put {
                item: Item::Status(status),
                ..
            } => !self.overlay.has_place(origin, &status.failure_domain),
            Change::Removed(ItemKey::Status) => true,
            _ => false,
        })
    }

    /// Makes room for an origin that is heard of for the first time.
    fn admit(&mut self, origin: &NodeId, update: &OriginUpdate, now: Instant) -> bool {
        if self.records.contains_key(origin) {
            return true;
        }
        // A node that falls silent would otherwise be brought back by the last
        // node that still remembers it, and so on in turns.
        let age = Duration::from_millis(update.age_ms);
        if age >= self.cfg.timing.expire_after || self.records.len() >= MAX_ORIGINS {
            return false;
        }
        let Some(long_ago) = before(now, self.cfg.timing.expire_after / 2) else {
            return false;
        };
        let record = Record::new(origin, update.incarnation, long_ago);
        self.records.insert(origin.clone(), record);
        self.index(origin);
        if self.absent.remove(origin) {
            self.overlay_outdated = true;
        }
        true
    }

    /// Notes what a child in the trees has without having been sent it by us.
    fn mark(&mut self, node: &NodeId, origin: &NodeId, incarnation: u64, sequence: u64) {
        if let Some(mark) = self.marks.get_mut(node).and_then(|m| m.get_mut(origin)) {
            *mark = (*mark).max((incarnation, sequence));
        }
    }

    fn take_confirmation(
        &mut self,
        from: &NodeId,
        state: Fingerprint,
        age: Duration,
        now: Instant,
        updates: &mut Vec<Update>,
    ) {
        let Some(origin) = self.current.get(&state).cloned() else {
            self.take_unknown(from, state);
            return;
        };
        let Some(as_of) = before(now, age) else {
            return;
        };
        if origin == self.cfg.me.id {
            return;
        }
        let Some(record) = self.records.get_mut(&origin) else {
            return;
        };
        if record.confirm(as_of) {
            updates.push(Update {
                origin,
                incarnation: record.incarnation(),
                change: Change::Confirmed(as_of),
            });
        }
    }

    /// A state that we do not have: an older one, or one that we lack.
    fn take_unknown(&mut self, from: &NodeId, state: Fingerprint) {
        let older = self.origin_in_past(state);
        let owed = self.owed.entry(from.clone()).or_default();
        match older {
            Some(origin) => {
                owed.states.insert(origin);
            }
            None if owed.want.len() < MAX_ASKED => {
                owed.want.insert(state);
            }
            None => {}
        }
    }

    fn origin_in_past(&self, state: Fingerprint) -> Option<NodeId> {
        self.records
            .iter()
            .find(|(_, record)| record.past().contains(&state))
            .map(|(origin, _)| origin.clone())
    }

    fn take_want(&mut self, from: &NodeId, state: Fingerprint) {
        let origin = match self.current.get(&state) {
            Some(origin) => Some(origin.clone()),
            None => self.origin_in_past(state),
        };
        if let Some(origin) = origin {
            let owed = self.owed.entry(from.clone()).or_default();
            owed.states.insert(origin);
        }
    }

    fn take_stale(&mut self, from: &NodeId, state: Fingerprint, now: Instant) {
        let Some(origin) = self.current.get(&state).cloned() else {
            self.take_unknown(from, state);
            return;
        };
        let fresh = !self.is_stale(&origin, now);
        if fresh {
            let owed = self.owed.entry(from.clone()).or_default();
            owed.confirmations.insert(origin);
        }
    }

    /// The part of `lacks` to tell a node: all in our failure domain, elsewhere so many that the node
    /// can ask others of its own domain for the rest.
    ///
    /// The few seeds that all nodes greet at their start would otherwise send the states of all
    /// nodes to each, from one failure domain to the other.
    fn portion_for(&mut self, node: &NodeId, mut lacks: Vec<NodeId>) -> Vec<NodeId> {
        let domain = self.status_of(node).map(|s| s.failure_domain.clone());
        let is_near = domain.as_ref() == Some(&self.cfg.me.failure_domain);
        if is_near || lacks.len() <= MAX_FAR_STATES {
            return lacks;
        }
        // Different ones for each node: together those of a domain know all.
        self.turn = self.turn.wrapping_add(1);
        let start = (self.turn * MAX_FAR_STATES / 2) % lacks.len();
        lacks.rotate_left(start);
        let of_domain = |id: &NodeId| {
            let status = self.status_of(id);
            domain.is_some() && status.map(|s| &s.failure_domain) == domain.as_ref()
        };
        let (near, far): (Vec<_>, Vec<_>) = lacks.into_iter().partition(of_domain);
        let near = near.into_iter().take(MAX_FAR_STATES / 2);
        near.chain(far).take(MAX_FAR_STATES).collect()
    }

    /// Compares the sender's whole account with ours.
    fn take_sync(&mut self, from: &NodeId, have: &[Fingerprint]) {
        let have: std::collections::BTreeSet<Fingerprint> = have.iter().copied().collect();
        let lacks = self.current.iter();
        let lacks = lacks.filter(|(state, _)| !have.contains(state));
        let lacks: Vec<NodeId> = lacks.map(|(_, origin)| origin.clone()).collect();
        let lacks = self.portion_for(from, lacks);
        let past: std::collections::BTreeSet<Fingerprint> = self
            .records
            .values()
            .flat_map(|record| record.past().iter().copied())
            .collect();
        let unknown: Vec<Fingerprint> = have
            .into_iter()
            .filter(|state| !self.current.contains_key(state) && !past.contains(state))
            .take(MAX_ASKED)
            .collect();
        let owed = self.owed.entry(from.clone()).or_default();
        owed.states.extend(lacks);
        owed.want.extend(unknown);
    }
}
