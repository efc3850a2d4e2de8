//! The platform's object store.

use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller, percent_encode};

/// A store of values too large for rows. A put under the same key is idempotent.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    /// When the store can't be reached or refuses.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, ObjectError>;

    /// Stores an object, over an earlier one of that key.
    ///
    /// # Errors
    /// When the store can't be reached or refuses; the object may be there all the same.
    fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), ObjectError>;
}

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object store unavailable: {0}")]
pub struct ObjectError(#[from] pub CallError);

/// Client of the platform's object store.
#[derive(Debug)]
pub struct HttpObjectStore {
    caller: HttpCaller,
}

impl HttpObjectStore {
    /// A client that calls as `caller` is set up to.
    pub fn new(caller: HttpCaller) -> HttpObjectStore {
        HttpObjectStore { caller }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, ObjectError> {
        let reply = self.caller.get(&path(key))?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.caller.unexpected_status(&reply).into()),
        }
    }

    fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), ObjectError> {
        let reply = self.caller.put(&path(key), bytes)?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(self.caller.unexpected_status(&reply).into())
    }
}

fn path(key: &str) -> String {
    format!("/objects/{}", percent_encode(key))
}
