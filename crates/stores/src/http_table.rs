//! The table service over HTTP.

use oxhttp::model::StatusCode;

use crate::{
    CallError, HttpCaller, Reply, Row, Table, TableError, Txn, TxnOutcome, percent_encode,
};

/// Client of the platform's table service.
#[derive(Debug)]
pub struct HttpTable {
    caller: HttpCaller,
}

impl HttpTable {
    /// A client that calls as `caller` is set up to.
    pub fn new(caller: HttpCaller) -> HttpTable {
        HttpTable { caller }
    }

    fn read(&self, path: &str) -> Result<Reply, TableError> {
        self.caller.get(path).map_err(read_error)
    }
}

impl Table for HttpTable {
    fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let reply = self.read(&format!("/table/row?key={}", percent_encode(key)))?;
        match reply.status {
            StatusCode::OK => self.caller.json(&reply).map(Some).map_err(read_error),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::SERVICE_UNAVAILABLE => Err(refused()),
            _ => Err(read_error(self.caller.unexpected_status(&reply))),
        }
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let reply = self.read(&format!("/table/rows?prefix={}", percent_encode(prefix)))?;
        match reply.status {
            StatusCode::OK => self.caller.json(&reply).map_err(read_error),
            StatusCode::SERVICE_UNAVAILABLE => Err(refused()),
            _ => Err(read_error(self.caller.unexpected_status(&reply))),
        }
    }

    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, TableError> {
        let reply = self
            .caller
            .post_json("/table/txn", txn)
            .map_err(write_error)?;
        match reply.status {
            StatusCode::OK => self.caller.json(&reply).map_err(write_error),
            StatusCode::SERVICE_UNAVAILABLE => Err(refused()),
            _ => Err(write_error(self.caller.unexpected_status(&reply))),
        }
    }
}

/// The service's own word that it did nothing.
fn refused() -> TableError {
    TableError::Unavailable("the service refuses".to_owned())
}

fn read_error(error: CallError) -> TableError {
    match error {
        CallError::InvalidResponse { .. } => TableError::Protocol(error.to_string()),
        // A read has no effect, whatever broke.
        _ => TableError::Unavailable(error.to_string()),
    }
}

fn write_error(error: CallError) -> TableError {
    match error {
        CallError::ConnectionRefused(_) | CallError::InvalidRequest(_) => {
            TableError::Unavailable(error.to_string())
        }
        // A spoilt answer says as little about the write as none at all.
        CallError::NoResponse { .. } | CallError::InvalidResponse { .. } => {
            TableError::Unknown(error.to_string())
        }
    }
}
