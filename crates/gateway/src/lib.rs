//! The request path: from a caller's connection to a host and back.
//!
//! [`Gateway`] is one node: it accepts callers' requests, chooses hosts, forwards responses and
//! streams, exchanges state with other nodes, and plans replicas while it is the leader. What
//! differs between platforms is behind the traits of [`ports`](crate::Platform): the list of hosts,
//! orders and report requests to hosts, the headers of requests, and the leader's record.

mod admission;
mod body;
mod call;
mod client_limits;
mod config;
mod configuration;
mod connection_headers;
mod connection_timer;
mod control_timeouts;
mod core;
mod crash_detection;
mod demand;
mod dispatch;
mod fair_admission;
mod gateway;
mod heads;
mod host_relay;
mod host_signals;
mod inbox;
mod leader;
mod lifecycle;
mod list_codec;
mod log_report;
mod logs;
mod loss_detection;
mod metrics;
mod node_api;
mod nodes;
mod pacing;
mod peers;
mod planning;
mod ports;
mod quarantine;
mod reflector;
mod refusal;
mod reload;
mod scheduler;
mod scheduler_client;
mod server;
mod settings;
mod slot_events;
mod snapshot_relay;
mod sse;
mod store_calls;
mod store_http;
mod stream;
mod table_pages;

pub use crate::call::RequestMetadata;
pub use crate::config::{
    Addresses, GatewayConfig, PolicySwitches, ProcessLimits, RetryBudgetConfig,
};
pub use crate::connection_headers::without_connection_headers;
pub use crate::gateway::{Gateway, GatewayError};
pub use crate::lifecycle::{RunError, run_until_stopped};
pub use crate::log_report::{LogReader, Subject};
pub use crate::logs::{LogQueue, SkippedEntries, init_logging};
pub use crate::ports::{
    AcceptedConfig, AttemptMetadata, ConditionalWrite, Dialect, HostControl, HostReport,
    HostUnavailable, NamedLimit, NodeRequest, OperatorChange, OwnRecords, Platform, RecordStore,
    ResponseClass, Source, SourceError, SourceRead, StoredRecord,
};
pub use crate::refusal::{Refusal, RefusalCause};
pub use crate::settings::{SECTIONS, Settings, SettingsError};
pub use crate::store_calls::{AnswerHead, StoreCalls};
pub use crate::store_http::{StoreAnswer, StoreHttp};
pub use crate::table_pages::{PageSize, PagedStore, TablePages, TableRange, TableRead, read_table};
