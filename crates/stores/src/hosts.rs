//! The platform's host list and its HTTP client.

use eelgrassmill_base::HostEntry;
use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller};

/// The list of live and leaving hosts, which may be several seconds out of date.
pub trait HostList: Send + Sync + 'static {
    /// Returns the whole list.
    ///
    /// # Errors
    /// When the list can't be fetched.
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError>;
}

/// Why the host list can't be fetched.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(#[from] pub CallError);

/// HTTP client of the platform's host list.
#[derive(Debug)]
pub struct HttpHostList {
    caller: HttpCaller,
}

impl HttpHostList {
    /// Creates a client that sends its requests through `caller`.
    pub fn new(caller: HttpCaller) -> HttpHostList {
        HttpHostList { caller }
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError> {
        let reply = self.caller.get("/hosts")?;
        match reply.status {
            StatusCode::OK => Ok(self.caller.json(&reply)?),
            _ => Err(self.caller.unexpected_status(&reply).into()),
        }
    }
}
