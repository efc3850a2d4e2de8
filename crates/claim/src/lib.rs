//! At-most-once requests: claims, their final states and the responses stored for repeats.
//!
//! An entry writes a claim row before it dispatches, and dispatches only once the
//! write is known to be committed. A key can be claimed again only after its owner
//! wrote that nothing ran. All other states only determine the outcome that callers get.

mod batch;
mod circuit_breaker;
mod claim;
mod decide;
mod era;
mod key;
mod row;

pub use crate::batch::{Batch, ClaimBatcher, ConflictRow, ConflictSplit, KeyBusy};
pub use crate::circuit_breaker::{StoreCircuitBreaker, StoreUnavailable};
pub use crate::claim::{Claim, ClaimResult, DispatchOutcome, MAX_CLAIM_AGE};
pub use crate::decide::{ClaimRequest, Decision, OwnerState, decide};
pub use crate::era::{ERA_KEY, ERA_LENGTH, Era, EraChange, EraClock};
pub use crate::key::{CLAIM_PREFIX, ClaimKey, Fingerprint, claim_key, fingerprint};
pub use crate::row::{
    AttemptId, ClaimError, ClaimRow, ClaimState, Owner, RowChange, StoredResponse, VersionedRow,
    WriteOutcome,
};
