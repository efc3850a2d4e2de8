//! The owner's side of one claim.

use std::time::{Duration, Instant};

use eelgrassmill_base::{Outcome, value};

use crate::row::{
    ClaimError, ClaimRow, ClaimState, RowChange, StoredResponse, VersionedRow, WriteOutcome,
};

/// A claim is dispatched no later than this after its write was begun.
///
/// Far below the shortest time that a claim is kept: an owner that was paused for so
/// long that its row was deleted, and its key claimed anew, finds its claim too old.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(120);

value! {
    /// What became of a dispatch under a claim.
    pub enum DispatchOutcome {
        /// The target refused it, or no byte left for it: certainly not run.
        NotRun,
        /// It ran, and its whole answer has been put in the object store.
        Answered(StoredResponse),
        /// It may have run, or its answer could not be kept.
        Unknown,
    }

    /// What the claim's own write allows.
    pub enum ClaimResult {
        /// The request may be dispatched.
        Held,
        /// Another claim is there; decide again from it.
        Lost(Option<VersionedRow>),
        /// Nothing is or will be dispatched: tell the caller `not-run` at once.
        /// The change, if any, is to be written until it is settled.
        Abandoned(Option<RowChange>),
        /// A doubled or late word on a write that is settled: nothing changes.
        Ignored,
    }
}

value! { copy
    enum Phase {
        /// The write of the claim is under way.
        Claiming,
        /// The claim is ours and nothing runs.
        Held,
        /// Something may run.
        Dispatched,
        /// Nothing will be dispatched any more.
        Closed,
    }
}

/// One attempt's claim, at the entry that made it.
///
/// Invariant: from `Closed` no dispatch is possible, and only then is
/// `Released` or a final state written.
#[derive(Clone, Debug)]
pub struct Claim {
    phase: Phase,
    row: ClaimRow,
    change: RowChange,
    began: Instant,
}

impl Claim {
    /// Begins with the change that [`decide`](crate::decide) asked for.
    ///
    /// `began` is when the request's row was first read. A request that decides anew after
    /// a lost claim keeps it: with the time of the last read, one that was paused
    /// until its row was deleted would find the key free and run a second time.
    ///
    /// # Errors
    /// [`ClaimError::DispatchNotPermitted`] when the change is no claim.
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

    /// The row it claims.
    pub fn key(&self) -> &str {
        &self.change.key
    }

    /// The attempt that it makes.
    pub fn attempt(&self) -> &str {
        &self.row.attempt
    }

    /// Takes the outcome of the claim's own write.
    ///
    /// A write whose answer was lost may be made now or later. The entry
    /// abandons the attempt: it dispatches nothing, so `not-run` is true. A
    /// stranded row would show later repeats a live owner that does nothing, so
    /// the entry writes `Released` on the same condition: when that is
    /// made, the lost write can't be made any more; when it fails on our own row,
    /// it is repeated on that row's version.
    pub fn on_claim_written(&mut self, outcome: WriteOutcome) -> ClaimResult {
        if self.phase != Phase::Claiming {
            return ClaimResult::Ignored;
        }
        match outcome {
            WriteOutcome::Committed => {
                self.phase = Phase::Held;
                // Right when the row was never deleted; a wrong guess only conflicts,
                // since our own write is known to have made a version of its own.
                self.change.version += 1;
                ClaimResult::Held
            }
            WriteOutcome::Conflict(Some(current)) if current.row == self.row => {
                // A write that was sent twice conflicts with itself: the claim is made.
                // Taken for another's claim, it would be in progress for good.
                self.phase = Phase::Held;
                self.change.version = current.version;
                ClaimResult::Held
            }
            WriteOutcome::Conflict(current) => {
                self.phase = Phase::Closed;
                ClaimResult::Lost(current)
            }
            WriteOutcome::Unavailable => {
                self.phase = Phase::Closed;
                ClaimResult::Abandoned(None)
            }
            WriteOutcome::Unknown => ClaimResult::Abandoned(Some(self.close(ClaimState::Released))),
        }
    }

    /// Permits one dispatch.
    ///
    /// # Errors
    /// [`ClaimError::DispatchNotPermitted`] unless the claim is held, young enough, and nothing
    /// may be running.
    pub fn begin_dispatch(&mut self, now: Instant) -> Result<(), ClaimError> {
        let too_old = now.saturating_duration_since(self.began) > MAX_CLAIM_AGE;
        if self.phase != Phase::Held || too_old {
            return Err(ClaimError::DispatchNotPermitted);
        }
        self.phase = Phase::Dispatched;
        Ok(())
    }

    /// Takes the outcome of a dispatch; the change, if any, is to be written.
    ///
    /// After `NotRun` the claim is held again: dispatch elsewhere, or `release`.
    pub fn on_dispatched(&mut self, outcome: DispatchOutcome) -> Option<RowChange> {
        if self.phase != Phase::Dispatched {
            return None;
        }
        match outcome {
            DispatchOutcome::NotRun => {
                self.phase = Phase::Held;
                None
            }
            DispatchOutcome::Answered(kept) => Some(self.close(ClaimState::Answered(kept))),
            DispatchOutcome::Unknown => Some(self.close(ClaimState::Unknown)),
        }
    }

    /// Gives the claim up with nothing run; the caller is told `not-run`.
    pub fn release(&mut self) -> Option<RowChange> {
        (self.phase == Phase::Held).then(|| self.close(ClaimState::Released))
    }

    /// What a caller may truthfully be told now, without an answer in hand.
    ///
    /// `not-run` only once nothing can be dispatched any more.
    pub fn reportable_outcome(&self) -> Outcome {
        match (self.phase, &self.row.state) {
            (Phase::Closed, ClaimState::Answered(_)) => Outcome::Answered,
            (Phase::Closed, ClaimState::Released | ClaimState::Claimed) => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Takes the outcome of writing a final state; a change given back is to be
    /// written next (at once after a conflict, later after a failure).
    pub fn on_written(&mut self, outcome: WriteOutcome) -> Option<RowChange> {
        match outcome {
            WriteOutcome::Committed => None,
            WriteOutcome::Unavailable | WriteOutcome::Unknown => Some(self.change.clone()),
            WriteOutcome::Conflict(current) => {
                let current = current?;
                if !current.row.is_attempt(&self.row) || !self.may_replace(&current.row.state) {
                    return None;
                }
                self.change.version = current.version;
                Some(self.change.clone())
            }
        }
    }

    /// A final state of ours is never replaced; a mark by others that the owner
    /// has lapsed is, since the owner knows better.
    fn may_replace(&self, there: &ClaimState) -> bool {
        match there {
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
