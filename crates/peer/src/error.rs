//! Errors of this crate.

use std::io;

use eelgrassmill_base::NodeId;

/// Why a call between nodes gave no result.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The node's own address can't be listened on.
    #[error("cannot listen for other nodes: {0}")]
    Listen(#[source] io::Error),
    /// Nothing says where the node takes calls.
    #[error("the address of node {0} is not known")]
    NoAddress(NodeId),
    /// An address is not a numeric `IP:PORT`.
    #[error("not a numeric IP:PORT: {0}")]
    BadAddress(String),
    /// The node did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The node can't be reached.
    #[error("cannot be reached: {0}")]
    Unreachable(String),
    /// The node answered with an error.
    #[error("refused: {0}")]
    Refused(String),
    /// Calls to the node are switched off.
    #[error("calls to node {0} are refused by setting")]
    Blocked(NodeId),
    /// The node has no configuration.
    #[error("the node has no configuration")]
    NoConfig,
    /// A text does not match its checksum.
    #[error("the text does not match its checksum")]
    Checksum,
}

impl From<tonic::transport::Error> for PeerError {
    fn from(err: tonic::transport::Error) -> PeerError {
        PeerError::Unreachable(err.to_string())
    }
}

impl From<tonic::Status> for PeerError {
    fn from(status: tonic::Status) -> PeerError {
        match status.code() {
            tonic::Code::Unavailable | tonic::Code::Unknown => {
                PeerError::Unreachable(status.message().to_string())
            }
            tonic::Code::DeadlineExceeded | tonic::Code::Cancelled => PeerError::Timeout,
            _ => PeerError::Refused(status.message().to_string()),
        }
    }
}
