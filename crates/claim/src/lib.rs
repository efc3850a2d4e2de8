//! Requests that run at most once: claims, their settlement and the answers kept for repeats.
//!
//! An entry writes a claim row before it dispatches, and dispatches only when
//! the write is known to be made. A key is claimed anew only after its owner
//! wrote that nothing ran. Everything else is about telling callers the truth.

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
