//! One eelgrassmill node: its ports, its loops and the wiring between policy and I/O.

mod admin;
mod admin_token;
mod apply;
mod backend;
mod client_limits;
mod entry;
mod group_rows;
mod loops;
mod metrics;
mod node;
mod once;
mod peers;
mod settings;
mod settings_keys;
mod settings_read;
mod state;

pub use crate::admin::{
    AdminBackend, AdminLimits, AdminServer, AdminServerError, BackendError, ConfigStatus,
    ConfigVersionInfo, GroupInfo, HostInfo, NodeConfig, NodeInfo, Problem, SubmitReply,
    SuspectInfo, TenantInfo,
};
pub use crate::admin_token::TokenHash;
pub use crate::metrics::{
    AdminRefusal, MAX_LABEL_VALUES, Metrics, Promise, RequestEnd, TableCall, TableResult,
};
pub use crate::node::{Node, NodeError};
pub use crate::settings::{
    Limits, LogSettings, PlatformAddresses, Settings, SettingsError, Timing,
};
pub use crate::settings_keys::SETTINGS_SECTIONS;
