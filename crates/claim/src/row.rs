//! Claim rows in the table service.

use eelgrassmill_base::{Incarnation, NodeId, RowVersion, value};
use smol_str::SmolStr;

use crate::era::Era;
use crate::key::{ClaimKey, Fingerprint, sha256};

/// Name of one attempt to claim, unique across all nodes and time. A request that decides
/// again after a lost claim uses a new one.
pub type AttemptId = SmolStr;

value! { wire
    /// One incarnation of a node.
    pub struct Owner {
        /// The node.
        pub node: NodeId,
        /// Its incarnation. A restarted node no longer owns its earlier claims.
        pub incarnation: Incarnation,
    }

    /// Location and checksum of the complete response to a claimed request.
    pub struct StoredResponse {
        /// Key in the object store.
        pub object: SmolStr,
        /// HTTP status.
        pub status: u16,
        /// Value of the `content-type` header.
        pub content_type: SmolStr,
        /// Body length in bytes.
        pub length: u64,
        /// SHA-256 of the body, so that a truncated object is never replayed.
        pub sha256: SmolStr,
    }

    /// State of a claimed request.
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimState {
        /// The owner may dispatch it or has done so.
        Claimed,
        /// It ran, and its response is stored.
        Answered(StoredResponse),
        /// It may have run; the outcome can't be determined.
        Unknown,
        /// The attempt did not run and never will: the key may be claimed again.
        Released,
    }

    /// The value of one claim row.
    ///
    /// Invariants: only the owner of the attempt writes `Answered` and `Released`;
    /// it writes `Released` only once it dispatches nothing more under the attempt;
    /// any entry may write `Unknown` once the owner's lease has expired.
    pub struct ClaimRow {
        /// Fingerprint of the request that made the claim.
        pub fingerprint: Fingerprint,
        /// The node that made the claim.
        pub owner: Owner,
        /// The attempt that made the claim.
        pub attempt: AttemptId,
        /// First era in which the row may be deleted.
        pub expires: Era,
        /// State of the request.
        pub state: ClaimState,
    }

    /// A claim row as read, with its version.
    pub struct VersionedRow {
        /// Value of the row.
        pub row: ClaimRow,
        /// Version of the row.
        pub version: RowVersion,
    }

    /// One conditional write of one claim row.
    pub struct RowChange {
        /// Key of the row.
        pub key: ClaimKey,
        /// Version the row must have; 0 if absent.
        pub version: RowVersion,
        /// New value; `None` deletes the row.
        pub row: Option<ClaimRow>,
    }
}

value! {
    /// Outcome of one row change.
    pub enum WriteOutcome {
        /// It was committed.
        Committed,
        /// It was not committed, since the stored row is this one (`None`: absent).
        Conflict(Option<VersionedRow>),
        /// The store was unavailable; the change certainly had no effect.
        Unavailable,
        /// It may have been committed or may be committed later.
        Unknown,
        /// It was not written, since another change of the row was about to be; it certainly had
        /// no effect.
        Busy,
    }
}

/// Why a claim row or stored response can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The row's value isn't a valid claim.
    #[error("invalid claim row: {0}")]
    Decode(String),
    /// The claim can't be encoded as JSON.
    #[error("failed to encode claim row: {0}")]
    Encode(String),
    /// The object isn't the complete response that was stored.
    #[error("stored response {0} is incomplete or corrupt")]
    BodyMismatch(SmolStr),
    /// The claim doesn't permit a dispatch now.
    #[error("claim does not permit a dispatch")]
    DispatchNotPermitted,
}

impl ClaimRow {
    /// Decodes a row's value from JSON.
    ///
    /// # Errors
    /// [`ClaimError::Decode`] when the value isn't a claim. Nothing may be dispatched then.
    pub fn decode(value: &str) -> Result<ClaimRow, ClaimError> {
        serde_json::from_str(value).map_err(|e| ClaimError::Decode(e.to_string()))
    }

    /// Encodes the row's value as JSON.
    ///
    /// # Errors
    /// [`ClaimError::Encode`] when the row can't be encoded.
    pub fn encode(&self) -> Result<String, ClaimError> {
        serde_json::to_string(self).map_err(|e| ClaimError::Encode(e.to_string()))
    }

    /// Whether both rows belong to the same attempt of the same owner.
    pub(crate) fn is_same_attempt(&self, other: &ClaimRow) -> bool {
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
    /// Describes a response that is about to be stored under the key `object`.
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

    /// Verifies that `body` is the complete response.
    ///
    /// # Errors
    /// [`ClaimError::BodyMismatch`] when its length or checksum differs.
    pub fn verify(&self, body: &[u8]) -> Result<(), ClaimError> {
        if body.len() as u64 == self.length && sha256(body) == self.sha256 {
            return Ok(());
        }
        Err(ClaimError::BodyMismatch(self.object.clone()))
    }
}
