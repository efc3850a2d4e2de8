//! Requests that wait for a slot.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::rank::Priority;
use crate::schedule::{PendingRequest, RequestKey};

/// Requests that wait for this long without a break show that more come than are served.
const LIFO_DELAY: Duration = Duration::from_millis(50);

/// A position in the queue: by rank, then in the order of arrival.
pub(super) type Position = (Priority, u64);

/// Requests that wait, by position.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    next: u64,
    waiting: BTreeMap<Position, PendingRequest>,
    /// Invariant: the keys of `waiting`.
    positions: HashMap<RequestKey, Position>,
    /// Since when requests have waited without a break.
    since: Option<Instant>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn contains(&self, key: &RequestKey) -> bool {
        self.positions.contains_key(key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.positions.keys()
    }

    /// The positions in the order in which they are decided.
    ///
    /// Of requests that can be on time the oldest goes first; the newest once requests have waited
    /// for [`LIFO_DELAY`]. In a queue that doesn't empty the oldest can only just be on time, and
    /// with a slot each is late by the least delay.
    pub(super) fn positions(&self, now: Instant) -> Vec<Position> {
        let mut positions: Vec<Position> = self.waiting.keys().copied().collect();
        if self.busy_for(now) >= LIFO_DELAY {
            for same in positions.chunk_by_mut(|a, b| a.0 == b.0) {
                if matches!(same.first(), Some((Priority::OnTime(_), _))) {
                    same.reverse();
                }
            }
        }
        positions
    }

    pub(super) fn get(&self, position: Position) -> Option<&PendingRequest> {
        self.waiting.get(&position)
    }

    pub(super) fn last(&self) -> Option<(Position, &PendingRequest)> {
        let last = self.waiting.last_key_value();
        last.map(|(position, ask)| (*position, ask))
    }

    /// Adds a request behind all others of its rank.
    pub(super) fn push(&mut self, rank: Priority, ask: PendingRequest) {
        self.insert((rank, self.next), ask);
        self.next += 1;
    }

    fn insert(&mut self, position: Position, ask: PendingRequest) {
        self.positions.insert(ask.key.clone(), position);
        self.waiting.insert(position, ask);
    }

    pub(super) fn remove(&mut self, position: Position) -> Option<PendingRequest> {
        let ask = self.waiting.remove(&position)?;
        self.positions.remove(&ask.key);
        Some(ask)
    }

    pub(super) fn remove_key(&mut self, key: &RequestKey) {
        if let Some(position) = self.positions.get(key) {
            self.remove(*position);
        }
    }

    /// Notes whether any request waits after a round of decisions.
    pub(super) fn decided(&mut self, now: Instant) {
        let waits = !self.waiting.is_empty();
        self.since = waits.then(|| self.since.unwrap_or(now));
    }

    /// How long requests have waited without a break.
    pub(super) fn busy_for(&self, now: Instant) -> Duration {
        let busy = |since| now.saturating_duration_since(since);
        self.since.map_or(Duration::ZERO, busy)
    }

    /// Moves requests that can't be on time any more behind those that can. `lead` is the time to
    /// a first event.
    ///
    /// Without `lead`, each slot would go to the request that waited until it could only just be
    /// late.
    pub(super) fn rank_late(&mut self, lead: Duration, now: Instant) {
        let late: Vec<Position> = self
            .waiting
            .range((Priority::OnTime(0), 0)..(Priority::Late(0), 0))
            .filter(|(_, ask)| now + lead >= ask.on_time_until)
            .map(|(position, _)| *position)
            .collect();
        for position in late {
            if let (Priority::OnTime(urgency), Some(ask)) = (position.0, self.remove(position)) {
                self.insert((Priority::Late(urgency), position.1), ask);
            }
        }
    }
}
