//! The holder's side of a node lease.

use std::time::Instant;

use eelgrassmill_base::{Incarnation, RowVersion, value};

use crate::lease::LeaseTiming;

/// Why the holder must not send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// No renewal has succeeded yet.
    #[error("no lease is held")]
    NotHeld,
    /// The term, less the clock margin, has run out.
    #[error("the lease has expired")]
    Expired,
    /// Another node has deleted or replaced the lease row.
    #[error("the lease was taken over")]
    TakenOver,
    /// The lease expired while the order was being sent.
    #[error("the lease expired while the order was being sent")]
    ExpiredDuringSend,
}

value! { copy
    /// Proof that the lease was valid just before a send; consumed by [`HeldLease::confirm`].
    pub struct LeaseProof {
        checked: Instant,
        row: RowVersion,
    }
}

/// A lease from its holder's point of view.
///
/// Its term starts *before* the renewal request is sent. If it started at the response, a slow
/// table service would let the holder consider a lease valid that an observer already considers
/// expired, and two planners would be active at once.
#[derive(Clone, Debug)]
pub struct HeldLease {
    timing: LeaseTiming,
    incarnation: Incarnation,
    /// Send time and row version of the newest successful renewal.
    renewed: Option<(Instant, RowVersion)>,
    /// Invariant: never cleared; a node that lost its row needs a new lease.
    taken_over: bool,
}

impl HeldLease {
    /// Creates a lease that is not held yet.
    pub fn new(timing: LeaseTiming, incarnation: Incarnation) -> HeldLease {
        HeldLease {
            timing,
            incarnation,
            renewed: None,
            taken_over: false,
        }
    }

    /// The node incarnation that this lease belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Version of the lease row; a precondition of every transaction of the holder.
    pub fn row_version(&self) -> Option<RowVersion> {
        self.renewed.map(|(_, row)| row)
    }

    /// Records that the renewal sent at `sent` succeeded and wrote row version `row`.
    ///
    /// Responses may arrive out of order; an older renewal never replaces a newer one.
    pub fn record_renewal(&mut self, sent: Instant, row: RowVersion) {
        if self.renewed.is_none_or(|(_, known)| known < row) {
            self.renewed = Some((sent, row));
        }
    }

    /// Records that another node deleted or replaced the row.
    pub fn mark_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Whether the lease is valid at `now`.
    pub fn valid_at(&self, now: Instant) -> bool {
        self.check(now).is_ok()
    }

    /// Checks the lease immediately before an order is sent.
    ///
    /// # Errors
    /// Returns why the holder must not send.
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

    /// Checks the lease again immediately after an order was sent.
    ///
    /// A process paused between the check and the system call may send after its lease has
    /// expired. The process can't prevent that; this check detects it, so that the caller
    /// assumes no effect and reads the host's state back.
    ///
    /// # Errors
    /// [`LeaseError::ExpiredDuringSend`] when the order may have been sent too late.
    pub fn confirm(&self, proof: LeaseProof, now: Instant) -> Result<(), LeaseError> {
        let too_long = now.duration_since(proof.checked) > self.timing.order_transit;
        if too_long || self.check(now).is_err() {
            return Err(LeaseError::ExpiredDuringSend);
        }
        Ok(())
    }
}
