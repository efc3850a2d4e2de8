//! Errors of this crate.

use std::io;

use eelgrassmill_base::NodeId;

/// Error of a call to another node, or of starting to listen.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// Listening on the node's own address failed.
    #[error("cannot listen for peers: {0}")]
    Listen(#[source] io::Error),
    /// No address of the node is known.
    #[error("no known address of node {0}")]
    NoAddress(NodeId),
    /// An address is not a numeric `IP:PORT`.
    #[error("not a numeric IP:PORT: {0}")]
    InvalidAddress(String),
    /// The call timed out.
    #[error("call timed out")]
    Timeout,
    /// The node can't be reached.
    #[error("node unreachable: {0}")]
    Unreachable(String),
    /// The node rejected the call.
    #[error("call rejected: {0}")]
    Rejected(String),
    /// The node is on the list of blocked peers.
    #[error("node {0} is blocked")]
    Blocked(NodeId),
    /// The node has no configuration.
    #[error("node has no configuration")]
    NoConfig,
    /// A configuration text doesn't match its checksum.
    #[error("configuration text does not match its checksum")]
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
            _ => PeerError::Rejected(status.message().to_string()),
        }
    }
}
