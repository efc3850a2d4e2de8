//! The claim row in the table service.

use eelgrassmill_base::{Incarnation, NodeId, RowVersion, value};
use smol_str::SmolStr;

use crate::era::Era;
use crate::key::{ClaimKey, Fingerprint, sha256};

/// Names one attempt to claim, unique over all nodes and time; a request that decides
/// anew after a lost claim takes a new one.
pub type AttemptId = SmolStr;

value! { wire
    /// One start of one node.
    pub struct Owner {
        /// The node.
        pub node: NodeId,
        /// Its start. A node that restarted owns nothing of what it owned before.
        pub incarnation: Incarnation,
    }

    /// Where the whole answer of a claimed request is kept.
    pub struct StoredResponse {
        /// Its key in the object store.
        pub object: SmolStr,
        /// Its HTTP status.
        pub status: u16,
        /// Its `content-type`.
        pub content_type: SmolStr,
        /// Length of its body in bytes.
        pub length: u64,
        /// SHA-256 of its body, so that a truncated object is never taken for the answer.
        pub sha256: SmolStr,
    }

    /// What is known of a claimed request.
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimState {
        /// Its owner may dispatch it, or has done so.
        Claimed,
        /// It ran, and its answer is kept.
        Answered(StoredResponse),
        /// It may have run; nobody can tell.
        Unknown,
        /// It was not run and its attempt never will be: the key may be claimed anew.
        Released,
    }

    /// The value of one claim row.
    ///
    /// Invariants: only the owner of the attempt writes `Answered` and
    /// `Released`; it writes `Released` only when it dispatches nothing more
    /// under the attempt; anyone may write `Unknown` once the owner has lapsed.
    pub struct ClaimRow {
        /// Of the request that made the claim.
        pub fingerprint: Fingerprint,
        /// Who claimed it.
        pub owner: Owner,
        /// The attempt that claimed it.
        pub attempt: AttemptId,
        /// First era in which the row may be deleted.
        pub expires: Era,
        /// What is known.
        pub state: ClaimState,
    }

    /// A row as read.
    pub struct VersionedRow {
        /// Its value.
        pub row: ClaimRow,
        /// Its version.
        pub version: RowVersion,
    }

    /// One conditional write of one claim row.
    pub struct RowChange {
        /// The row.
        pub key: ClaimKey,
        /// The version it must have; 0 for absent.
        pub version: RowVersion,
        /// Its new value; `None` deletes it.
        pub row: Option<ClaimRow>,
    }
}

value! {
    /// What became of one row change.
    pub enum WriteOutcome {
        /// It was made.
        Committed,
        /// It was not made, since the row is this one (`None`: absent).
        Conflict(Option<VersionedRow>),
        /// It certainly had no effect.
        Unavailable,
        /// It may have been made, or may be made later.
        Unknown,
    }
}

/// Why a claim row or kept answer can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The row's value isn't a claim.
    #[error("claim row can't be read: {0}")]
    Decode(String),
    /// The claim can't be written as JSON.
    #[error("claim row can't be written: {0}")]
    Encode(String),
    /// The object isn't the whole answer that was kept.
    #[error("kept answer {0} is not whole")]
    BodyMismatch(SmolStr),
    /// The claim is not one under which a request may be dispatched now.
    #[error("claim does not permit a dispatch")]
    DispatchNotPermitted,
}

impl ClaimRow {
    /// Reads a row's value.
    ///
    /// # Errors
    /// [`ClaimError::Decode`] when it isn't a claim. Nothing may be dispatched then.
    pub fn decode(value: &str) -> Result<ClaimRow, ClaimError> {
        serde_json::from_str(value).map_err(|e| ClaimError::Decode(e.to_string()))
    }

    /// Writes the row's value.
    ///
    /// # Errors
    /// [`ClaimError::Encode`] when it can't be written as JSON.
    pub fn encode(&self) -> Result<String, ClaimError> {
        serde_json::to_string(self).map_err(|e| ClaimError::Encode(e.to_string()))
    }

    pub(crate) fn is_attempt(&self, other: &ClaimRow) -> bool {
        self.owner == other.owner && self.attempt == other.attempt
    }

    pub(crate) fn with_state(&self, state: ClaimState) -> ClaimRow {
        ClaimRow {
            state,
            ..self.clone()
        }
    }
}

impl StoredResponse {
    /// Describes an answer that is to be put at `object`.
    pub fn new(
        object: impl Into<SmolStr>,
        status: u16,
        content_type: impl Into<SmolStr>,
        body: &[u8],
    ) -> StoredResponse {
        StoredResponse {
            object: object.into(),
            status,
            content_type: content_type.into(),
            length: body.len() as u64,
            sha256: sha256(body),
        }
    }

    /// Checks that `body` is the whole answer.
    ///
    /// # Errors
    /// [`ClaimError::BodyMismatch`] when it is another or a part of it.
    pub fn verify(&self, body: &[u8]) -> Result<(), ClaimError> {
        if body.len() as u64 == self.length && sha256(body) == self.sha256 {
            return Ok(());
        }
        Err(ClaimError::BodyMismatch(self.object.clone()))
    }
}
