//! What the admin API needs from the node behind it.

use eelgrassmill_base::ConfigVersion;
use eelgrassmill_config::Submit;
use eelgrassmill_timeline::{Query, Timeline};

use super::info::{
    ConfigStatus, ConfigVersionInfo, GroupInfo, HostInfo, NodeInfo, SubmitReply, SuspectInfo,
    TenantInfo,
};

/// The node behind the admin API. Calls may block; they run on threads of their own.
pub trait AdminBackend: Send + Sync + 'static {
    /// Asks to accept a text.
    ///
    /// # Errors
    /// [`BackendError::Unknown`] when it may have been accepted: ask again with the same id.
    fn submit(&self, submit: Submit) -> Result<SubmitReply, BackendError>;

    /// One accepted version with its text, the latest for `None`.
    ///
    /// # Errors
    /// When it isn't kept or can't be read.
    fn show(&self, version: Option<ConfigVersion>) -> Result<ConfigVersionInfo, BackendError>;

    /// The accepted versions that are kept, the latest first, without their texts.
    ///
    /// # Errors
    /// When they can't be read.
    fn log(&self) -> Result<Vec<ConfigVersionInfo>, BackendError>;

    /// Which node has which version in force.
    ///
    /// # Errors
    /// When it can't be told.
    fn config_status(&self) -> Result<ConfigStatus, BackendError>;

    /// All groups.
    fn groups(&self) -> Vec<GroupInfo>;

    /// All hosts.
    fn hosts(&self) -> Vec<HostInfo>;

    /// All nodes.
    fn nodes(&self) -> Vec<NodeInfo>;

    /// All tenants, as this node serves them.
    fn tenants(&self) -> Vec<TenantInfo>;

    /// Suspects, as this node knows them.
    fn suspects(&self) -> Vec<SuspectInfo>;

    /// Events of all nodes.
    fn timeline(&self, query: &Query) -> Timeline;

    /// Metrics of this node in the text format of Prometheus.
    fn metrics(&self) -> String;
}

/// Why the node behind gives no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// There is no such thing.
    #[error("{0}")]
    NotFound(String),
    /// Not now, and nothing was changed.
    #[error("{0}")]
    Unavailable(String),
    /// It may have been done; ask again with the same id.
    #[error("{0}")]
    Unknown(String),
}
