//! The platform's weight store and its HTTP client.

use eelgrassmill_base::value;
use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller, percent_encode};

/// Metadata of the weights of model versions. Reads of the weights are rate-limited.
pub trait WeightStore: Send + Sync + 'static {
    /// Returns size and read rate of a model version; `None` when the store doesn't have it.
    ///
    /// # Errors
    /// When the store can't be reached or returns an error.
    fn info(&self, model: &str, version: &str) -> Result<Option<WeightInfo>, WeightError>;
}

value! { wire copy
    /// Size and read rate of the weights of one model version.
    pub struct WeightInfo {
        /// Size in bytes.
        pub bytes: u64,
        /// Read rate of the store in bytes per second, shared by all concurrent readers.
        pub bytes_per_second: u64,
    }
}

/// Why a call to the weight store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("weight store unavailable: {0}")]
pub struct WeightError(#[from] pub CallError);

/// HTTP client of the platform's weight store.
#[derive(Debug)]
pub struct HttpWeightStore {
    caller: HttpCaller,
}

impl HttpWeightStore {
    /// Creates a client that sends its requests through `caller`.
    pub fn new(caller: HttpCaller) -> HttpWeightStore {
        HttpWeightStore { caller }
    }
}

impl WeightStore for HttpWeightStore {
    fn info(&self, model: &str, version: &str) -> Result<Option<WeightInfo>, WeightError> {
        let key = percent_encode(&format!("{model}@{version}"));
        let reply = self.caller.get(&format!("/weights/{key}"))?;
        match reply.status {
            StatusCode::OK => Ok(Some(self.caller.json(&reply)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.caller.unexpected_status(&reply).into()),
        }
    }
}
