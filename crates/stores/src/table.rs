//! The interface of the table service: rows, transactions and errors.

use std::sync::Arc;

use eelgrassmill_base::{RowVersion, TxnId, value};
use smol_str::SmolStr;

/// A transactional table of small rows. Calls may be slow, fail, or lose their responses.
pub trait Table: Send + Sync + 'static {
    /// Reads one row; `None` when it is absent.
    ///
    /// # Errors
    /// When the service can't be reached or returns an error.
    fn get(&self, key: &str) -> Result<Option<Row>, TableError>;

    /// Reads a consistent snapshot of all rows whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// When the service can't be reached or returns an error.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError>;

    /// Applies all writes of `txn` atomically, or none when one of its conditions fails.
    ///
    /// # Errors
    /// [`TableError::Unknown`] means that the writes may have been applied, or may
    /// still be applied later; see [`commit_with_retry`](crate::commit_with_retry).
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, TableError>;
}

impl<T: Table> Table for Arc<T> {
    fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        T::get(self, key)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        T::scan(self, prefix)
    }

    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, TableError> {
        T::commit(self, txn)
    }
}

value! { wire
    /// A row and the transaction that last wrote it.
    pub struct Row {
        /// Key of the row.
        pub key: SmolStr,
        /// Increases by one with every write of this row, including deletions.
        pub version: RowVersion,
        /// Id of the transaction that wrote it.
        pub txn: TxnId,
        /// Contents; JSON by convention of the callers.
        pub value: String,
    }

    /// A row version that a transaction requires.
    pub struct Condition {
        /// Key of the row.
        pub key: SmolStr,
        /// The required version; 0 requires that the row is absent.
        pub version: RowVersion,
    }

    /// A put or delete of one row.
    pub struct Write {
        /// Key of the row.
        pub key: SmolStr,
        /// New value; `None` deletes the row.
        pub value: Option<String>,
    }

    /// A transaction: writes that are applied together if all conditions hold.
    pub struct Txn {
        /// Chosen by the writer and never reused.
        pub id: TxnId,
        /// Conditions that must all hold.
        pub conditions: Vec<Condition>,
        /// Writes, applied atomically.
        pub writes: Vec<Write>,
    }

    /// The outcome of a transaction as returned by the service.
    pub enum TxnOutcome {
        /// All writes were applied.
        Committed,
        /// No write was applied. Holds the rows whose condition failed, without absent ones.
        Conflict(Vec<Row>),
    }
}

/// Why a call to the table service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call had no effect.
    #[error("table service unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect, or may take effect later.
    #[error("outcome of the table service call is unknown: {0}")]
    Unknown(String),
    /// The service returned a response that violates the protocol.
    #[error("invalid response from the table service: {0}")]
    Protocol(String),
}
