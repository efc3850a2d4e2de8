//! The messages and calls between nodes.
//!
//! Written by hand in the shape that a generator gives, with `prost`'s derive
//! and `tonic`'s codec, so that neither the build nor a change of the protocol
//! needs a generator.

pub(crate) mod client;
pub(crate) mod convert;
pub(crate) mod messages;
pub(crate) mod server;

/// The service's name in request paths.
pub(crate) const SERVICE: &str = "eelgrassmill.peer.v1.Peer";

/// Paths of the calls.
pub(crate) mod path {
    pub(crate) const EXCHANGE: &str = "/eelgrassmill.peer.v1.Peer/Exchange";
    pub(crate) const FETCH_CONFIG: &str = "/eelgrassmill.peer.v1.Peer/FetchConfig";
    pub(crate) const TIMELINE: &str = "/eelgrassmill.peer.v1.Peer/Timeline";
    pub(crate) const LIST: &str = "/eelgrassmill.peer.v1.Peer/List";
    pub(crate) const SCHEDULE: &str = "/eelgrassmill.peer.v1.Peer/Schedule";
    pub(crate) const QUOTA: &str = "/eelgrassmill.peer.v1.Peer/Quota";
}

/// Most bytes of a message that a node takes as a request.
pub(crate) const MAX_EXCHANGE: usize = 256 * 1024;
/// Most bytes of an answer, which may be a whole configuration or a time line.
pub(crate) const MAX_REPLY: usize = 4 * 1024 * 1024;
