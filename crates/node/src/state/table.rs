//! The table service, with every call counted by how it ended.

use std::sync::Arc;

use eelgrassmill_stores::{Row, Table, TableError, Txn, TxnOutcome};

use crate::metrics::{Metrics, TableCall, TableResult};

/// A table whose calls are counted.
///
/// Counting here and not where the calls are made keeps a new caller from
/// being left out.
pub(crate) struct CountedTable<T> {
    inner: T,
    metrics: Arc<Metrics>,
}

impl<T: Table> CountedTable<T> {
    pub(crate) fn new(inner: T, metrics: Arc<Metrics>) -> CountedTable<T> {
        CountedTable { inner, metrics }
    }

    fn count<R>(
        &self,
        call: TableCall,
        result: Result<R, TableError>,
        ended: impl Fn(&R) -> TableResult,
    ) -> Result<R, TableError> {
        let counted = match &result {
            Ok(done) => ended(done),
            Err(TableError::Unavailable(_)) => TableResult::Unavailable,
            Err(TableError::Unknown(_) | TableError::Protocol(_)) => TableResult::Unknown,
        };
        self.metrics.table_call(call, counted);
        result
    }
}

impl<T: Table> Table for CountedTable<T> {
    fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.count(TableCall::Get, self.inner.get(key), |_| TableResult::Ok)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.count(TableCall::Scan, self.inner.scan(prefix), |_| {
            TableResult::Ok
        })
    }

    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, TableError> {
        let result = self.inner.commit(txn);
        self.count(TableCall::Commit, result, |outcome| match outcome {
            TxnOutcome::Committed => TableResult::Ok,
            TxnOutcome::Conflict(_) => TableResult::Conflict,
        })
    }
}
