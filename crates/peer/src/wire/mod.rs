//! The messages and calls between nodes.
//!
//! Hand-written in the form of generated code, with `prost`'s derive and `tonic`'s
//! codec, so that neither the build nor a protocol change needs a code generator.

pub(crate) mod client;
pub(crate) mod convert;
pub(crate) mod host_messages;
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
    pub(crate) const SUSPECTS: &str = "/eelgrassmill.peer.v1.Peer/Suspects";
    pub(crate) const LIMITS: &str = "/eelgrassmill.peer.v1.Peer/Limits";
    pub(crate) const TUNNEL: &str = "/eelgrassmill.peer.v1.Peer/Tunnel";
    pub(crate) const QUOTA: &str = "/eelgrassmill.peer.v1.Peer/Quota";
}

/// Largest request message in bytes.
pub(crate) const MAX_REQUEST_BYTES: usize = 256 * 1024;
/// Largest reply message in bytes, which may be a full configuration or a timeline.
pub(crate) const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
