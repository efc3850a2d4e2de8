//! One tenant's account in a queue: its virtual finish time and waiting requests.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{Tokens, Urgency};

use crate::queue::request::Ticket;

/// Tokens divided by weight, scaled by [`SCALE`].
pub(crate) type VirtualTime = u64;

/// Keeps small requests of tenants with a large weight from rounding to 0.
const SCALE: u64 = 1024;

/// Returns the virtual time that `tokens` cost a tenant of `weight`.
pub(crate) fn cost(tokens: Tokens, weight: u32) -> VirtualTime {
    tokens.saturating_mul(SCALE) / u64::from(weight.max(1))
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) tokens: Tokens,
    /// When it has to start at the latest to be answered before its deadline.
    pub(crate) start_deadline: Instant,
    /// Whether it was preempted and requeued once.
    pub(crate) requeued: bool,
    pub(crate) payload: T,
}

/// Orders the requests of one tenant: by urgency, then by arrival.
pub(crate) type Position = (Urgency, Ticket);

#[derive(Debug)]
pub(crate) struct Account<T> {
    pub(crate) weight: u32,
    /// Virtual finish time of the tenant's last dequeued request.
    ///
    /// Invariant: one account for all urgencies. With one for each, a tenant
    /// that marks everything urgent would be served from two shares.
    pub(crate) finish: VirtualTime,
    pub(crate) queued: BTreeMap<Position, Queued<T>>,
    /// Invariant: the sum over `queued`.
    pub(crate) queued_tokens: Tokens,
    pub(crate) running: u32,
}

impl<T> Account<T> {
    pub(crate) fn new(weight: u32, finish: VirtualTime) -> Account<T> {
        Account {
            weight: weight.max(1),
            finish,
            queued: BTreeMap::new(),
            queued_tokens: 0,
            running: 0,
        }
    }

    pub(crate) fn push(&mut self, position: Position, queued: Queued<T>) {
        self.queued_tokens += queued.tokens;
        self.queued.insert(position, queued);
    }

    pub(crate) fn remove(&mut self, position: Position) -> Option<Queued<T>> {
        let queued = self.queued.remove(&position)?;
        self.queued_tokens -= queued.tokens;
        Some(queued)
    }

    pub(crate) fn head(&self) -> Option<Position> {
        self.queued.first_key_value().map(|(p, _)| *p)
    }

    /// Returns the least urgent, youngest request.
    pub(crate) fn tail(&self) -> Option<Position> {
        self.queued.last_key_value().map(|(p, _)| *p)
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.head().is_some_and(|(u, _)| u.is_urgent())
    }

    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.queued.is_empty()
    }

    /// Charges a dequeued request.
    pub(crate) fn charge(&mut self, tokens: Tokens) {
        self.finish = self.finish.saturating_add(cost(tokens, self.weight));
    }

    /// Replaces the charge of an estimate by the tokens actually used.
    pub(crate) fn correct(&mut self, estimate: Tokens, used: Tokens) {
        self.finish = self.finish.saturating_sub(cost(estimate, self.weight));
        self.charge(used);
    }

    /// Returns the queued requests divided by the weight, to find the largest share.
    pub(crate) fn queue_share(&self, extra: usize) -> VirtualTime {
        cost((self.queued.len() + extra) as Tokens, self.weight)
    }
}
