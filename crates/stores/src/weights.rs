//! The platform's weight store.

use eelgrassmill_base::value;
use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller, percent_encode};

/// Knows the weights of model versions; reading them is rate-limited.
pub trait WeightStore: Send + Sync + 'static {
    /// What the store holds of a model version; `None` when it doesn't know it.
    ///
    /// # Errors
    /// When the store can't be reached or refuses.
    fn info(&self, model: &str, version: &str) -> Result<Option<WeightInfo>, WeightError>;
}

value! { wire copy
    /// Size of the weights of one model version and how fast they can be read.
    pub struct WeightInfo {
        /// Size in bytes.
        pub bytes: u64,
        /// Bytes per second that the store gives, shared by all who read at once.
        pub bytes_per_second: u64,
    }
}

/// Why a call to the weight store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("weight store unavailable: {0}")]
pub struct WeightError(#[from] pub CallError);

/// Client of the platform's weight store.
#[derive(Debug)]
pub struct HttpWeightStore {
    caller: HttpCaller,
}

impl HttpWeightStore {
    /// A client that calls as `caller` is set up to.
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
