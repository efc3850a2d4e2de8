//! What can go wrong between us and a target.

use eelgrassmill_base::{HostId, Outcome, RequestId};
use eelgrassmill_stores::CallError;

/// Why a probe or an order gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// No byte reached the host.
    #[error("host not reached: {0}")]
    NotSent(String),
    /// The host may have taken it, or may take it later.
    #[error("host gave no answer: {0}")]
    Unknown(String),
    /// The host answered what the protocol doesn't allow; it may have taken it.
    #[error("host answered nonsense: {0}")]
    BadAnswer(String),
    /// Another host answered at this address.
    #[error("host {0} answered in place of the one asked")]
    WrongHost(HostId),
}

impl TargetError {
    /// Whether the host may have received what was sent, now or later.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, TargetError::NotSent(_))
    }
}

impl From<CallError> for TargetError {
    fn from(error: CallError) -> TargetError {
        let text = error.to_string();
        match error {
            CallError::ConnectionRefused(_) | CallError::InvalidRequest(_) => {
                TargetError::NotSent(text)
            }
            CallError::NoResponse { .. } => TargetError::Unknown(text),
            CallError::InvalidResponse { .. } => TargetError::BadAnswer(text),
        }
    }
}

/// Why a request got no answer from a target.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it left for the target.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection was refused: nothing listens at the address.
    #[error("not sent: {0}")]
    Refused(String),
    /// It may have run.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The answer belongs to another request; nothing of it was handed out.
    #[error("answer for request {got:?} in place of {expected}")]
    WrongId {
        /// What was asked.
        expected: RequestId,
        /// What was answered; `None` when the answer names no request.
        got: Option<RequestId>,
    },
    /// The answer has a status that HTTP doesn't define for a request like this; nothing of it was
    /// handed out.
    #[error("answer with invalid status {0}")]
    InvalidStatus(u16),
    /// The answer's end can't be told from a cut: neither length, chunks nor end marker.
    #[error("answer without an end that can be checked")]
    Unframed,
}

impl SendError {
    /// What the caller may be told.
    pub fn outcome(&self) -> Outcome {
        match self {
            SendError::NotSent(_) | SendError::Refused(_) => Outcome::NotRun,
            SendError::Unknown(_)
            | SendError::WrongId { .. }
            | SendError::InvalidStatus(_)
            | SendError::Unframed => Outcome::Unknown,
        }
    }
}

/// Why an answer's body did not come whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection broke before the end of the body or of the stream.
    #[error("answer cut off: {0}")]
    Cut(String),
    /// It has bytes that belong to no answer.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// Nothing came for the idle timeout.
    #[error("target went silent within its answer")]
    Idle,
    /// It is longer than the limit.
    #[error("answer is over {0} bytes")]
    TooLong(usize),
}
