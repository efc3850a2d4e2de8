//! The table service as the rest of the system sees it.

use std::sync::Arc;

use eelgrassmill_base::{RowVersion, TxnId, value};
use smol_str::SmolStr;

/// A transactional table of small rows, which may be slow, down, or lose its answers.
pub trait Table: Send + Sync + 'static {
    /// Reads one row; `None` when it is absent.
    ///
    /// # Errors
    /// When the service can't be reached or refuses.
    fn get(&self, key: &str) -> Result<Option<Row>, TableError>;

    /// Reads all rows whose key starts with `prefix`, in key order, at one point in time.
    ///
    /// # Errors
    /// When the service can't be reached or refuses.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError>;

    /// Makes all writes of `txn`, or none when one of its conditions fails.
    ///
    /// # Errors
    /// [`TableError::Unknown`] means that the writes may have been made, or
    /// may still be made later; see the settling helper of this crate.
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
    /// One row.
    pub struct Row {
        /// Its key.
        pub key: SmolStr,
        /// Rises by one with every write of this row, also over deletions.
        pub version: RowVersion,
        /// Id of the transaction that wrote it.
        pub txn: TxnId,
        /// What it holds; JSON by convention of the callers.
        pub value: String,
    }

    /// What a row must be for a transaction to happen.
    pub struct Condition {
        /// The row.
        pub key: SmolStr,
        /// The version it must have; 0 for absent.
        pub version: RowVersion,
    }

    /// One write of a transaction.
    pub struct Write {
        /// The row.
        pub key: SmolStr,
        /// Its new value; `None` deletes the row.
        pub value: Option<String>,
    }

    /// A set of row conditions and writes.
    pub struct Txn {
        /// Chosen by the writer, unique over all time.
        pub id: TxnId,
        /// All must hold.
        pub conditions: Vec<Condition>,
        /// All are made, or none.
        pub writes: Vec<Write>,
    }

    /// What became of a transaction that was answered.
    pub enum TxnOutcome {
        /// All writes were made.
        Committed,
        /// No write was made; these are the rows whose condition failed, absent ones left out.
        Conflict(Vec<Row>),
    }
}

/// Why a call to the table service gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call certainly had no effect.
    #[error("table service unavailable: {0}")]
    Unavailable(String),
    /// The call may have had an effect, or may have it later.
    #[error("table service gave no answer: {0}")]
    Unknown(String),
    /// The service answered with something that is not its protocol.
    #[error("table service answered nonsense: {0}")]
    Protocol(String),
}
