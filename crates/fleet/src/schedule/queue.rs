//! Priority queue of requests that wait for a slot.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::priority::Priority;
use crate::schedule::{PendingRequest, RequestKey};

/// The queue switches to LIFO once it has been non-empty for this long, which indicates overload.
const LIFO_DELAY: Duration = Duration::from_millis(50);

/// Position in the queue: by priority, then by arrival.
pub(super) type Position = (Priority, u64);

/// Queued requests by position.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    next: u64,
    waiting: BTreeMap<Position, PendingRequest>,
    /// Invariant: the keys of `waiting`.
    positions: HashMap<RequestKey, Position>,
    /// Since when the queue has been non-empty.
    since: Option<Instant>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.positions.keys()
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = &PendingRequest> {
        self.waiting.values()
    }

    /// All positions in the order in which they are served.
    ///
    /// Requests that can be on time are served oldest first, and newest first once the queue has
    /// been non-empty for [`LIFO_DELAY`]. In a queue that doesn't drain, the oldest requests can
    /// only just be on time, and the smallest delay after their grant makes them late.
    pub(super) fn positions(&self, now: Instant) -> Vec<Position> {
        let mut positions: Vec<Position> = self.waiting.keys().copied().collect();
        if self.nonempty_for(now) >= LIFO_DELAY {
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

    pub(super) fn position(&self, key: &RequestKey) -> Option<Position> {
        self.positions.get(key).copied()
    }

    pub(super) fn get_mut(&mut self, key: &RequestKey) -> Option<&mut PendingRequest> {
        self.waiting.get_mut(self.positions.get(key)?)
    }

    pub(super) fn last(&self) -> Option<(Position, &PendingRequest)> {
        let last = self.waiting.last_key_value();
        last.map(|(position, request)| (*position, request))
    }

    /// Adds a request behind all others of its priority.
    pub(super) fn push(&mut self, priority: Priority, request: PendingRequest) {
        self.insert((priority, self.next), request);
        self.next += 1;
    }

    fn insert(&mut self, position: Position, request: PendingRequest) {
        self.positions.insert(request.key.clone(), position);
        self.waiting.insert(position, request);
    }

    pub(super) fn remove(&mut self, position: Position) -> Option<PendingRequest> {
        let request = self.waiting.remove(&position)?;
        self.positions.remove(&request.key);
        Some(request)
    }

    pub(super) fn remove_key(&mut self, key: &RequestKey) {
        if let Some(position) = self.positions.get(key) {
            self.remove(*position);
        }
    }

    /// Records whether the queue is empty after a round of decisions.
    pub(super) fn on_round_end(&mut self, now: Instant) {
        let waits = !self.waiting.is_empty();
        self.since = waits.then(|| self.since.unwrap_or(now));
    }

    /// How long the queue has been non-empty.
    pub(super) fn nonempty_for(&self, now: Instant) -> Duration {
        let busy = |since| now.saturating_duration_since(since);
        self.since.map_or(Duration::ZERO, busy)
    }

    /// Lowers the priority of requests that can no longer be on time. `first_event_latency` is the
    /// expected first-event latency.
    ///
    /// Without `first_event_latency`, each slot would go to a request that has waited until it is
    /// bound to be late.
    pub(super) fn demote_late(&mut self, first_event_latency: Duration, now: Instant) {
        let late: Vec<Position> = self
            .waiting
            .range((Priority::OnTime(0), 0)..(Priority::Late(0), 0))
            .filter(|(_, request)| now + first_event_latency >= request.on_time_until)
            .map(|(position, _)| *position)
            .collect();
        for position in late {
            if let (Priority::OnTime(urgency), Some(request)) = (position.0, self.remove(position))
            {
                self.insert((Priority::Late(urgency), position.1), request);
            }
        }
    }
}
