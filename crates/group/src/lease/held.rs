//! The holder's side of a lease.

use std::time::Instant;

use eelgrassmill_base::{Incarnation, RowVersion, value};

use crate::lease::LeaseTiming;

/// Why the holder must not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// No renewal has succeeded yet.
    #[error("no lease is held")]
    NotHeld,
    /// The term has run out, less the margin.
    #[error("the lease has lapsed")]
    Expired,
    /// Another node has deleted or replaced the lease row.
    #[error("the lease was taken over")]
    TakenOver,
    /// The order left, but the lease lapsed while it did.
    #[error("the lease lapsed while the order was being sent")]
    ExpiredDuringSend,
}

value! { copy
    /// Proof that the lease was valid just before a send; spent by [`HeldLease::confirm`].
    pub struct LeaseProof {
        checked: Instant,
        row: RowVersion,
    }
}

/// A lease as its holder counts it.
///
/// The count starts at the instant *before* the renewal was sent. If it
/// started at the answer, a slow table service would let the holder believe in
/// a lease that an observer already counts as lapsed: two planners at once.
#[derive(Clone, Debug)]
pub struct HeldLease {
    timing: LeaseTiming,
    incarnation: Incarnation,
    /// Sending instant and row version of the newest renewal that succeeded.
    renewed: Option<(Instant, RowVersion)>,
    /// Invariant: once set, never cleared; a node that lost its row starts anew.
    taken_over: bool,
}

impl HeldLease {
    /// A lease that is not held yet.
    pub fn new(timing: LeaseTiming, incarnation: Incarnation) -> HeldLease {
        HeldLease {
            timing,
            incarnation,
            renewed: None,
            taken_over: false,
        }
    }

    /// The start of the node that this lease is for.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Version of the lease row, on which every transaction of the holder is conditional.
    pub fn row_version(&self) -> Option<RowVersion> {
        self.renewed.map(|(_, row)| row)
    }

    /// Notes that the renewal sent at `sent` succeeded and left the row at `row`.
    ///
    /// Answers may arrive out of order; an older renewal never shortens a newer one.
    pub fn record_renewal(&mut self, sent: Instant, row: RowVersion) {
        if self.renewed.is_none_or(|(_, known)| known < row) {
            self.renewed = Some((sent, row));
        }
    }

    /// Notes that the row is no longer the holder's.
    pub fn mark_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Whether the holder may act at `now`.
    pub fn valid_at(&self, now: Instant) -> bool {
        self.check(now).is_ok()
    }

    /// The last step before an order is sent.
    ///
    /// # Errors
    /// Says why the holder must not send.
    pub fn check(&self, now: Instant) -> Result<LeaseProof, LeaseError> {
        if self.taken_over {
            return Err(LeaseError::TakenOver);
        }
        let (sent, row) = self.renewed.ok_or(LeaseError::NotHeld)?;
        let end = sent + self.timing.term - self.timing.clock_margin;
        if now >= end {
            return Err(LeaseError::Expired);
        }
        Ok(LeaseProof { checked: now, row })
    }

    /// The first step after an order was sent.
    ///
    /// A process that is paused between the check and the system call sends
    /// with a lease that may long be another's. Nothing in the process can
    /// prevent that; this check makes it known, so that the order's effect is
    /// not counted and the host's state is read back.
    ///
    /// # Errors
    /// [`LeaseError::ExpiredDuringSend`] when the order may have left too late.
    pub fn confirm(&self, proof: LeaseProof, now: Instant) -> Result<(), LeaseError> {
        let too_long = now.duration_since(proof.checked) > self.timing.order_transit;
        if too_long || self.check(now).is_err() {
            return Err(LeaseError::ExpiredDuringSend);
        }
        Ok(())
    }
}
