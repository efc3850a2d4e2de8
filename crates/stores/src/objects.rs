//! The platform's object store and its HTTP client.

use oxhttp::model::StatusCode;

use crate::{CallError, HttpCaller, percent_encode};

/// A key-value store for values too large for table rows. Repeating a put is idempotent.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` when it doesn't exist.
    ///
    /// # Errors
    /// When the store can't be reached or returns an error.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, ObjectError>;

    /// Stores an object, replacing any object with the same key.
    ///
    /// # Errors
    /// When the store can't be reached or returns an error; the object may be stored
    /// nevertheless.
    fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), ObjectError>;
}

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object store unavailable: {0}")]
pub struct ObjectError(#[from] pub CallError);

/// HTTP client of the platform's object store.
#[derive(Debug)]
pub struct HttpObjectStore {
    caller: HttpCaller,
}

impl HttpObjectStore {
    /// Creates a client that sends its requests through `caller`.
    pub fn new(caller: HttpCaller) -> HttpObjectStore {
        HttpObjectStore { caller }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, ObjectError> {
        let reply = self.caller.get(&object_path(key))?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.caller.unexpected_status(&reply).into()),
        }
    }

    fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), ObjectError> {
        let reply = self.caller.put(&object_path(key), bytes)?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(self.caller.unexpected_status(&reply).into())
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", percent_encode(key))
}
