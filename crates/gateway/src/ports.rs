//! What a platform implements so that a node can run on it.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_base::{HostId, ModelName, NodeId, RowVersion, TenantId, value};
use eelgrassmill_fleet::{Catalog, EvacuationChange, FleetChange, Membership, Order, OrderReply};
use http::{HeaderMap, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::call::RequestMetadata;

/// A point in a source's history.
pub type Cursor = u64;

/// Why a source gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// It gave no answer, or could not be connected to. What was sent may have been done.
    #[error("no answer: {0}")]
    Unreachable(String),
    /// It refused the call with this status and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// It no longer has the history that was asked for.
    #[error("the history is no longer there")]
    Compacted,
    /// Its answer can't be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A list that changes, with a feed of its changes.
pub trait Source: Send + Sync + 'static {
    /// One change, or the whole list as one.
    type Change: Send;

    /// The whole list, and where its feed goes on.
    fn snapshot(
        &self,
    ) -> impl Future<Output = Result<(Vec<Self::Change>, Cursor), SourceError>> + Send;

    /// What changed since `since`, as soon as there is anything or `wait` is over.
    fn changes(
        &self,
        since: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Self::Change>, Cursor), SourceError>> + Send;
}

/// An accepted configuration, with the text that it was read from.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// What it says.
    pub catalog: Catalog,
    /// The platform's own text, which nodes tell each other.
    pub text: String,
}

/// A change of what the operator decided.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A configuration was accepted.
    Configuration(AcceptedConfig),
    /// A failure domain was evacuated or taken back.
    Evacuation(EvacuationChange),
}

value! {
    /// Who is the planner's leader.
    pub struct LeaderRecord {
        /// The node.
        pub node: NodeId,
        /// Counts the holders. Each term's epochs are above those of all before it.
        pub term: u64,
    }
}

/// Where it is kept which node plans.
pub trait LeaderElection: Send + Sync + 'static {
    /// The record and its version; `None` and 0 where it was never written.
    fn read(
        &self,
    ) -> impl Future<Output = Result<(Option<LeaderRecord>, RowVersion), SourceError>> + Send;

    /// Writes the record if it still has `version`. `false` when it has another.
    fn claim(
        &self,
        version: RowVersion,
        record: &LeaderRecord,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;
}

value! {
    /// What a host says when it is asked.
    pub struct HostReport {
        /// Its start; 0 where it doesn't say.
        pub born_ms: u64,
        /// Models whose weights are in its memory.
        pub staged: SmallVec<[ModelName; 2]>,
        /// The replica that it is a member of.
        pub membership: Option<Membership>,
    }
}

/// Why a host gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostUnavailable {
    /// Nothing reached it.
    #[error("not reached: {0}")]
    NotReached(String),
    /// It may have taken what was sent, or may take it later.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Asks hosts and gives them orders.
pub trait HostControl: Send + Sync + 'static {
    /// What `host` at `address` holds. Another host there is no answer.
    fn report(
        &self,
        host: &HostId,
        address: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<HostReport, HostUnavailable>> + Send;

    /// Gives an order to `host` at `address`.
    fn order(
        &self,
        host: &HostId,
        address: &str,
        order: &Order,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderReply, HostUnavailable>> + Send;
}

value! {
    /// What one attempt adds to a caller's headers.
    pub struct AttemptMetadata {
        /// The host that must run it; another one at its address refuses.
        pub host: HostId,
        /// The time left for it.
        pub timeout: Duration,
        /// Who asks.
        pub tenant: Option<TenantId>,
        /// 0 is admitted first; set where the target orders its requests.
        pub urgency: Option<u8>,
        /// The last event that the caller has, where a stream goes on.
        pub resume_after: Option<SmolStr>,
    }
}

value! { copy
    /// What an answer's head says beside its status.
    pub enum ResponseClass {
        /// The host answered the request.
        Answered,
        /// The host did not run it and never will.
        NotRun,
        /// Another host has this address; it did not run the request.
        WrongHost,
        /// It claims success but lacks what every answer of a host has.
        Unverified,
    }
}

value! {
    /// A request to a node itself.
    pub enum NodeRequest {
        /// Whether the node takes requests.
        Ready,
        /// Which addresses a caller in this failure domain should use.
        Resolve {
            /// The caller's failure domain; empty where it isn't known.
            failure_domain: SmolStr,
        },
        /// The metrics page.
        Metrics,
        /// Nothing that is served here.
        Unknown,
    }
}

/// How requests and answers are spelled.
pub trait Dialect: Send + Sync + 'static {
    /// The caller's key.
    fn api_key<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// What the request's headers say.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// The headers that a target gets.
    fn target_headers(&self, caller: &HeaderMap, attempt: &AttemptMetadata) -> HeaderMap;

    /// What an answer's head means.
    fn classify(&self, status: StatusCode, headers: &HeaderMap) -> ResponseClass;

    /// The headers of a target's answer that its caller gets.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads a request to the node itself.
    fn node_request(&self, method: &http::Method, uri: &http::Uri) -> NodeRequest;

    /// The addresses for callers, who may keep them for `ttl`.
    fn addresses(&self, addresses: &[SmolStr], ttl: Duration) -> Bytes;
}

/// A platform: everything that a node needs of it.
pub trait Platform: Send + Sync + Sized + 'static {
    /// The list of hosts.
    type Hosts: Source<Change = FleetChange>;
    /// What the operator decided: the accepted configuration and evacuations.
    type Operator: Source<Change = OperatorChange>;
    /// The planner's leader.
    type LeaderElection: LeaderElection;
    /// Orders and questions to hosts.
    type Control: HostControl;
    /// Headers.
    type Dialect: Dialect;

    /// The list of hosts.
    fn hosts(&self) -> &Self::Hosts;
    /// What the operator decided.
    fn operator(&self) -> &Self::Operator;
    /// Reads a configuration's text, which another node had from the same source.
    ///
    /// # Errors
    /// [`SourceError::Malformed`].
    fn read_catalog(&self, text: &str) -> Result<Catalog, SourceError>;
    /// The planner's leader.
    fn leader(&self) -> &Self::LeaderElection;
    /// Orders and questions to hosts.
    fn control(&self) -> &Self::Control;
    /// Headers.
    fn dialect(&self) -> &Self::Dialect;
}
