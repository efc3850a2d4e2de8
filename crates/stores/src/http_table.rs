//! HTTP client of the table service.

use oxhttp::model::StatusCode;

use crate::{
    CallError, HttpCaller, Reply, Row, Table, TableError, Txn, TxnOutcome, percent_encode,
};

/// HTTP client of the platform's table service.
#[derive(Debug)]
pub struct HttpTable {
    caller: HttpCaller,
}

impl HttpTable {
    /// Creates a client that sends its requests through `caller`.
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
            StatusCode::SERVICE_UNAVAILABLE => Err(service_unavailable()),
            _ => Err(read_error(self.caller.unexpected_status(&reply))),
        }
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let reply = self.read(&format!("/table/rows?prefix={}", percent_encode(prefix)))?;
        match reply.status {
            StatusCode::OK => self.caller.json(&reply).map_err(read_error),
            StatusCode::SERVICE_UNAVAILABLE => Err(service_unavailable()),
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
            StatusCode::SERVICE_UNAVAILABLE => Err(service_unavailable()),
            _ => Err(write_error(self.caller.unexpected_status(&reply))),
        }
    }
}

/// Error for status 503, by which the service states that the call had no effect.
fn service_unavailable() -> TableError {
    TableError::Unavailable("status 503".to_owned())
}

fn read_error(error: CallError) -> TableError {
    match error {
        CallError::InvalidResponse { .. } => TableError::Protocol(error.to_string()),
        // A read has no effect, whatever the error.
        _ => TableError::Unavailable(error.to_string()),
    }
}

fn write_error(error: CallError) -> TableError {
    match error {
        CallError::ConnectionRefused(_) | CallError::InvalidRequest(_) => {
            TableError::Unavailable(error.to_string())
        }
        // An invalid response doesn't show whether the write took effect either.
        CallError::NoResponse { .. } | CallError::InvalidResponse { .. } => {
            TableError::Unknown(error.to_string())
        }
    }
}
