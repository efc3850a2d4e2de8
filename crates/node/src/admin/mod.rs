//! The admin API: an HTTP port of its own, behind a bearer token.

mod backend;
mod call;
mod handler;
mod info;
mod problem;
mod server;
#[cfg(test)]
mod tests;

pub use backend::{AdminBackend, BackendError};
pub use info::{
    ConfigStatus, ConfigVersionInfo, GroupInfo, HostInfo, NodeConfig, NodeInfo, SubmitReply,
    SuspectInfo, TenantInfo,
};
pub use problem::Problem;
pub use server::{AdminLimits, AdminServer, AdminServerError};
