//! The traits that a platform implements so that a node can run on it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_base::{HostId, ModelName, RowVersion, StoreEra, TenantId, value};
use eelgrassmill_fleet::{Catalog, EvacuationChange, FleetChange, Membership, Order, OrderReply};
use http::{HeaderMap, HeaderValue, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::call::RequestMetadata;

/// Why a source could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// It could not be connected to or gave no response. A write may have been done.
    #[error("no response: {0}")]
    Unreachable(String),
    /// It gave no response in time, while nothing shows that it can't be reached. A write may have
    /// been done.
    #[error("no response in time")]
    NoAnswer,
    /// It refused the call with this HTTP status and did nothing.
    #[error("refused with status {0}")]
    Refused(u16),
    /// It has no history since the requested version: it was discarded, or the store has come back
    /// from an older copy.
    #[error("the requested history has been compacted")]
    Compacted {
        /// The store's era, if it names one.
        era: Option<StoreEra>,
    },
    /// Its response is longer than this node holds, or can't be read in time. The same request would
    /// get the same response: what is asked for next must be less.
    #[error("response too large: {0}")]
    TooLarge(String),
    /// Its response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// What a source answered.
#[derive(Clone, Debug)]
pub struct SourceRead<C> {
    /// The changes, in order.
    pub changes: Vec<C>,
    /// The store's era, if it names one.
    pub era: Option<StoreEra>,
    /// The version to which the changes lead, at which the feed continues.
    pub version: RowVersion,
}

/// A list with a feed of its changes.
pub trait Source: Send + Sync + 'static {
    /// One change, or a snapshot of the list.
    type Change: Send;

    /// Reads the whole list.
    fn snapshot(
        &self,
    ) -> impl Future<Output = Result<SourceRead<Self::Change>, SourceError>> + Send;

    /// Long polls the changes since `since`: returns once there are any or `wait` is over.
    fn changes(
        &self,
        since: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceRead<Self::Change>, SourceError>> + Send;
}

/// An accepted configuration, with the text that it was parsed from.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// The parsed configuration.
    pub catalog: Catalog,
    /// The platform's own text, which nodes relay to each other.
    pub text: String,
}

/// A change that the operator made.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A configuration was accepted.
    Configuration(AcceptedConfig),
    /// A failure domain was evacuated or reinstated.
    Evacuation(EvacuationChange),
}

value! {
    /// A record of the nodes' own as the store has it.
    pub struct StoredRecord {
        /// What was written last; `None` if nothing was.
        pub encoded: Option<Vec<u8>>,
        /// The version of the record; 0 if it was never written.
        pub version: RowVersion,
        /// The store's era, if it names one.
        pub era: Option<StoreEra>,
        /// The time of the store's clock, which is steady and the same for all nodes.
        pub clock: Duration,
    }
}

value! { copy
    /// The answer to a write on a condition.
    pub struct ConditionalWrite {
        /// Whether the condition held, so that the write was done.
        pub done: bool,
        /// The store's era, if it names one. A condition on a version that was read in an earlier
        /// era may have held by chance.
        pub era: Option<StoreEra>,
    }
}

/// Store of a record of the nodes' own, of at most 16 KB.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads the record.
    fn read(&self) -> impl Future<Output = Result<StoredRecord, SourceError>> + Send;

    /// Replaces the record if it still has `version` (compare and set).
    fn write(
        &self,
        version: RowVersion,
        encoded: &[u8],
    ) -> impl Future<Output = Result<ConditionalWrite, SourceError>> + Send;
}

value! {
    /// A host's report of its state.
    pub struct HostReport {
        /// Time of its start in milliseconds; 0 if unknown.
        pub started_ms: u64,
        /// Models whose weights are staged in its memory.
        pub staged: SmallVec<[ModelName; 2]>,
        /// Its membership in a replica.
        pub membership: Option<Membership>,
        /// Number of orders that it has begun since its start, if it says so.
        pub orders: Option<u64>,
    }
}

/// Why a host gave no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostUnavailable {
    /// The host received nothing.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The host may have received the request, or may receive it later.
    #[error("no response: {0}")]
    NoAnswer(String),
}

/// Sends report requests and orders to hosts. `on_answer` gets the heads of their answers, also of
/// those that count as no response.
pub trait HostControl: Send + Sync + 'static {
    /// Requests the report of `host` at `address`. A reply of another host counts as no response.
    fn report(
        &self,
        host: &HostId,
        address: &str,
        timeout: Duration,
        on_answer: impl FnOnce(StatusCode, &HeaderMap) + Send,
    ) -> impl Future<Output = Result<HostReport, HostUnavailable>> + Send;

    /// Sends an order to `host` at `address`.
    fn order(
        &self,
        host: &HostId,
        address: &str,
        order: &Order,
        timeout: Duration,
        on_answer: impl FnOnce(StatusCode, &HeaderMap) + Send,
    ) -> impl Future<Output = Result<OrderReply, HostUnavailable>> + Send;
}

value! {
    /// Metadata that one attempt adds to a caller's headers.
    pub struct AttemptMetadata {
        /// The host that must run it; another host at its address refuses it.
        pub host: HostId,
        /// The time left for it.
        pub timeout: Duration,
        /// The caller's tenant.
        pub tenant: Option<TenantId>,
        /// Priority, with 0 admitted first; set if the target orders its requests.
        pub urgency: Option<u8>,
        /// The id of the last event that the caller has, if a stream resumes.
        pub resume_after: Option<SmolStr>,
    }
}

value! { copy
    /// What the headers of a response say about its execution.
    pub enum ResponseClass {
        /// The host answered the request.
        Answered,
        /// The host did not run the request and never will.
        NotRun,
        /// Another host has this address; it did not run the request.
        WrongHost,
        /// It has a success status but lacks the header that every response of a host has.
        Unverified,
        /// Its status promises that the request did not run, but the host doesn't state so. The
        /// request may have run, and the status must not reach the caller.
        FalsePromise,
    }
}

impl ResponseClass {
    /// Whether the host that was asked sent the response.
    pub(crate) fn is_of_host(self) -> bool {
        matches!(
            self,
            ResponseClass::Answered | ResponseClass::NotRun | ResponseClass::FalsePromise
        )
    }
}

/// What a response says of its target's limit, which holds for as long as the target names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    Absent,
    /// Requests per second that the target takes from all nodes together.
    PerSecond(f64),
    /// It names one that can't be read.
    Unreadable,
}

impl NamedLimit {
    /// Parses a decimal number; `None` is a header that is missing.
    pub fn parse(value: Option<&HeaderValue>) -> NamedLimit {
        let Some(value) = value else {
            return NamedLimit::Absent;
        };
        let limit = value.to_str().ok().and_then(|v| v.trim().parse().ok());
        let limit = limit.filter(|limit: &f64| limit.is_finite() && *limit >= 0.0);
        limit.map_or(NamedLimit::Unreadable, NamedLimit::PerSecond)
    }
}

value! {
    /// A request to the node itself.
    pub enum NodeRequest {
        /// Whether the node takes requests.
        Ready,
        /// The node addresses that a caller in this failure domain should use.
        Resolve {
            /// The caller's failure domain; empty if unknown.
            failure_domain: SmolStr,
        },
        /// The metrics page.
        Metrics,
        /// An unknown path or method.
        Unknown,
    }
}

/// The platform's HTTP headers and endpoints.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the caller's API key.
    fn api_key<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// Reads the metadata of a request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// The request headers for a target.
    fn target_headers(&self, caller: &HeaderMap, attempt: &AttemptMetadata) -> HeaderMap;

    /// Classifies a target's response by its status and headers.
    fn classify(&self, status: StatusCode, headers: &HeaderMap) -> ResponseClass;

    /// The request rate that the target names in a response.
    fn host_limit(&self, headers: &HeaderMap) -> NamedLimit;

    /// The times in seconds for which a target that rejects a request wants no other from this node,
    /// as it names them.
    fn host_rest<'h>(&self, headers: &'h HeaderMap) -> SmallVec<[&'h str; 1]>;

    /// What the target says of its leaving in a response, if anything: "1" if it leaves.
    fn host_leaving<'h>(&self, headers: &'h HeaderMap) -> Option<&'h str>;

    /// The response headers for the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses a request to the node itself.
    fn node_request(&self, method: &http::Method, uri: &http::Uri) -> NodeRequest;

    /// Encodes addresses for callers, who may cache them for `ttl`.
    fn addresses(&self, addresses: &[SmolStr], ttl: Duration) -> Bytes;
}

/// Records of the nodes' own.
#[derive(Debug)]
pub struct OwnRecords<R> {
    /// The planner's leader.
    pub leader: R,
    /// The quarantine's decisions, for nodes that all restart at the same time.
    pub decisions: R,
    /// The quarantine's evidence on crashes, for the same.
    pub evidence: R,
}

/// A platform on which a node can run.
pub trait Platform: Send + Sync + Sized + 'static {
    /// The list of hosts.
    type Hosts: Source<Change = FleetChange>;
    /// The operator's accepted configuration and evacuations.
    type Operator: Source<Change = OperatorChange>;
    /// Records of the nodes' own.
    type Records: RecordStore;
    /// Orders and report requests to hosts.
    type Control: HostControl;
    /// HTTP headers and endpoints.
    type Dialect: Dialect;

    /// The list of hosts.
    fn hosts(&self) -> &Self::Hosts;
    /// The operator's accepted configuration and evacuations.
    fn operator(&self) -> &Self::Operator;
    /// Parses a configuration's text, which another node read from the same source.
    ///
    /// # Errors
    /// [`SourceError::Malformed`].
    fn read_catalog(&self, text: &str) -> Result<Catalog, SourceError>;
    /// Records of the nodes' own.
    fn records(&self) -> &OwnRecords<Self::Records>;
    /// Orders and report requests to hosts.
    fn control(&self) -> &Self::Control;
    /// HTTP headers and endpoints.
    fn dialect(&self) -> &Self::Dialect;
    /// Uses the store at another address from now on.
    fn set_store(&self, address: SocketAddr);
}
