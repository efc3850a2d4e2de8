//! The platform's host list.

use eelgrassmill_base::HostEntry;
use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller};

/// The list of live and leaving hosts, which lags by seconds.
pub trait HostList: Send + Sync + 'static {
    /// The whole list.
    ///
    /// # Errors
    /// When it can't be had.
    fn hosts(&self) -> Result<Vec<HostEntry>, HostListError>;
}

/// Why the host list can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host list unavailable: {0}")]
pub struct HostListError(#[from] pub CallError);

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HttpHostList {
    caller: HttpCaller,
}

impl HttpHostList {
    /// A client that calls as `caller` is set up to.
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
