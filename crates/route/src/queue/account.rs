//! One tenant's account in a queue: what it has used and what it waits for.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{Tokens, Urgency};

use crate::queue::offer::Ticket;

/// Tokens over weight, scaled by [`SCALE`].
pub(crate) type VirtualTime = u64;

/// Keeps small requests of heavy tenants from rounding to nothing.
const SCALE: u64 = 1024;

/// What `tokens` cost a tenant of `weight`.
pub(crate) fn cost(tokens: Tokens, weight: u32) -> VirtualTime {
    tokens.saturating_mul(SCALE) / u64::from(weight.max(1))
}

/// One waiting request.
#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) tokens: Tokens,
    /// From here on it can't be answered in time even when started at once.
    pub(crate) give_up_at: Instant,
    /// It was cancelled and resumed once.
    pub(crate) resumed: bool,
    pub(crate) payload: T,
}

/// Order in which a tenant's own requests start.
pub(crate) type Position = (Urgency, Ticket);

#[derive(Debug)]
pub(crate) struct Account<T> {
    pub(crate) weight: u32,
    /// Virtual time at which the tenant's last started request is paid for.
    ///
    /// Invariant: one account for all classes. With one per class, a tenant
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

    /// The least urgent, youngest request.
    pub(crate) fn tail(&self) -> Option<Position> {
        self.queued.last_key_value().map(|(p, _)| *p)
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.head().is_some_and(|(u, _)| u.is_urgent())
    }

    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.queued.is_empty()
    }

    /// Charges a started request.
    pub(crate) fn charge(&mut self, tokens: Tokens) {
        self.finish = self.finish.saturating_add(cost(tokens, self.weight));
    }

    /// Replaces an estimate by what was really used.
    pub(crate) fn correct(&mut self, estimate: Tokens, real: Tokens) {
        self.finish = self.finish.saturating_sub(cost(estimate, self.weight));
        self.charge(real);
    }

    /// Requests held in the queue over the weight, for finding who holds most.
    pub(crate) fn held(&self, extra: usize) -> VirtualTime {
        cost((self.queued.len() + extra) as Tokens, self.weight)
    }
}
