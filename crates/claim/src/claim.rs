//! State machine of one claim at the entry that owns it.

use std::time::{Duration, Instant};

use eelgrassmill_base::{Outcome, value};

use crate::row::{
    ClaimError, ClaimRow, ClaimState, RowChange, StoredResponse, VersionedRow, WriteOutcome,
};

/// Maximum age, from the first read of its row, at which a claim may still be dispatched.
///
/// Far below the shortest retention of a claim: an owner that was paused until its row was
/// deleted and its key claimed again finds its own claim too old.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(120);

value! {
    /// Outcome of a dispatch under a claim.
    pub enum DispatchOutcome {
        /// The target rejected the request or no byte was sent: it certainly did not run.
        NotRun,
        /// It ran, and its complete response is in the object store.
        Answered(StoredResponse),
        /// It may have run, or its response could not be stored.
        Unknown,
    }

    /// What the result of writing the claim allows.
    pub enum ClaimResult {
        /// The request may be dispatched.
        Held,
        /// Another claim is stored; decide again from it.
        Lost(Option<VersionedRow>),
        /// Nothing is or will be dispatched: return `not-run` to the caller at once.
        /// Retry writing the change, if any, until `on_written` returns `None`.
        Abandoned(Option<RowChange>),
        /// A duplicate or late result of a completed write; nothing changes.
        Ignored,
    }
}

value! { copy
    enum Phase {
        /// The write of the claim is in flight.
        Claiming,
        /// This entry owns the claim and nothing is running.
        Held,
        /// A dispatched request may be running.
        Dispatched,
        /// No further dispatch is allowed.
        Closed,
    }
}

/// The claim of one attempt, at the entry that made it.
///
/// Invariant: no dispatch is possible in `Closed`, and `Released` or another
/// final state is written only in `Closed`.
#[derive(Clone, Debug)]
pub struct Claim {
    phase: Phase,
    row: ClaimRow,
    change: RowChange,
    /// When the request's row was first read.
    began: Instant,
}

impl Claim {
    /// Creates a claim from the change that [`decide`](crate::decide) returned.
    ///
    /// `began` is when the request's row was first read, and stays the same when the request
    /// decides again after a lost claim. With the time of the last read, a request that was
    /// paused until the row was deleted would find the key free and run a second time.
    ///
    /// # Errors
    /// [`ClaimError::DispatchNotPermitted`] when the change doesn't write a claim.
    pub fn new(change: RowChange, began: Instant) -> Result<Claim, ClaimError> {
        match &change.row {
            Some(row) if row.state == ClaimState::Claimed => Ok(Claim {
                phase: Phase::Claiming,
                row: row.clone(),
                change,
                began,
            }),
            _ => Err(ClaimError::DispatchNotPermitted),
        }
    }

    /// Key of the claimed row.
    pub fn key(&self) -> &str {
        &self.change.key
    }

    /// Name of the attempt that made the claim.
    pub fn attempt(&self) -> &str {
        &self.row.attempt
    }

    /// Handles the result of writing the claim.
    ///
    /// A write whose response was lost may be committed now or later. The entry abandons the
    /// attempt and dispatches nothing, so `not-run` is correct. A claim left in the table
    /// would make later retries wait for a live owner that does nothing, so the entry writes
    /// `Released` under the same version condition: if that commits, the lost write can no
    /// longer commit; if it conflicts with this claim's own row, it is retried at that
    /// row's version.
    pub fn on_claim_written(&mut self, outcome: WriteOutcome) -> ClaimResult {
        if self.phase != Phase::Claiming {
            return ClaimResult::Ignored;
        }
        match outcome {
            WriteOutcome::Committed => {
                self.phase = Phase::Held;
                // Correct unless the row was deleted before. A wrong guess only conflicts,
                // since the committed write has a version of its own.
                self.change.version += 1;
                ClaimResult::Held
            }
            WriteOutcome::Conflict(Some(current)) if current.row == self.row => {
                // A write that was sent twice conflicts with itself, so the claim is held.
                // Treated as another owner's claim, it would stay in progress forever.
                self.phase = Phase::Held;
                self.change.version = current.version;
                ClaimResult::Held
            }
            WriteOutcome::Conflict(current) => {
                self.phase = Phase::Closed;
                ClaimResult::Lost(current)
            }
            WriteOutcome::Busy => {
                self.phase = Phase::Closed;
                ClaimResult::Lost(None)
            }
            WriteOutcome::Unavailable => {
                self.phase = Phase::Closed;
                ClaimResult::Abandoned(None)
            }
            WriteOutcome::Unknown => ClaimResult::Abandoned(Some(self.close(ClaimState::Released))),
        }
    }

    /// Allows one dispatch.
    ///
    /// # Errors
    /// [`ClaimError::DispatchNotPermitted`] unless the claim is held, is at most
    /// [`MAX_CLAIM_AGE`] old, and nothing may be running.
    pub fn begin_dispatch(&mut self, now: Instant) -> Result<(), ClaimError> {
        let too_old = now.saturating_duration_since(self.began) > MAX_CLAIM_AGE;
        if self.phase != Phase::Held || too_old {
            return Err(ClaimError::DispatchNotPermitted);
        }
        self.phase = Phase::Dispatched;
        Ok(())
    }

    /// Handles the outcome of a dispatch and returns the change to write, if any.
    ///
    /// After `NotRun` the claim is held again: dispatch to another target, or `release`.
    pub fn on_dispatched(&mut self, outcome: DispatchOutcome) -> Option<RowChange> {
        if self.phase != Phase::Dispatched {
            return None;
        }
        match outcome {
            DispatchOutcome::NotRun => {
                self.phase = Phase::Held;
                None
            }
            DispatchOutcome::Answered(response) => Some(self.close(ClaimState::Answered(response))),
            DispatchOutcome::Unknown => Some(self.close(ClaimState::Unknown)),
        }
    }

    /// Releases the claim when nothing has run; the caller gets `not-run`.
    pub fn release(&mut self) -> Option<RowChange> {
        (self.phase == Phase::Held).then(|| self.close(ClaimState::Released))
    }

    /// The outcome that may be reported to a caller now, without a response at hand.
    ///
    /// `NotRun` only once no further dispatch is possible.
    pub fn reportable_outcome(&self) -> Outcome {
        match (self.phase, &self.row.state) {
            (Phase::Closed, ClaimState::Answered(_)) => Outcome::Answered,
            (Phase::Closed, ClaimState::Released | ClaimState::Claimed) => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Handles the result of writing a final state and returns the change to write next,
    /// if any: at once after a conflict, after a delay on failure.
    pub fn on_written(&mut self, outcome: WriteOutcome) -> Option<RowChange> {
        match outcome {
            WriteOutcome::Committed => None,
            WriteOutcome::Unavailable | WriteOutcome::Unknown | WriteOutcome::Busy => {
                Some(self.change.clone())
            }
            WriteOutcome::Conflict(current) => {
                let current = current?;
                if !current.row.is_same_attempt(&self.row) || !self.may_replace(&current.row.state)
                {
                    return None;
                }
                self.change.version = current.version;
                Some(self.change.clone())
            }
        }
    }

    /// Whether this claim's state may overwrite the stored one. A final state that the owner
    /// wrote is never replaced. An `Unknown` that another entry wrote after the lease expired
    /// is, since the owner knows the real outcome.
    fn may_replace(&self, stored: &ClaimState) -> bool {
        match stored {
            ClaimState::Claimed => true,
            ClaimState::Unknown => self.row.state != ClaimState::Unknown,
            ClaimState::Answered(_) | ClaimState::Released => false,
        }
    }

    fn close(&mut self, state: ClaimState) -> RowChange {
        self.phase = Phase::Closed;
        self.row = self.row.with_state(state);
        self.change.row = Some(self.row.clone());
        self.change.clone()
    }
}
