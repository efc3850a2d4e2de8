//! Between the policy's rows and the table's.

use eelgrassmill_base::{RowVersion, TxnId};
use eelgrassmill_group::{RowValue, Transaction};
use eelgrassmill_stores::{Condition, Row, Table, TableError, Txn, Write};
use serde::de::DeserializeOwned;

/// Reads one row's value; a value of another shape is left out and logged.
///
/// One row that a newer release wrote must not hide all the others.
pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Option<(T, RowVersion)> {
    match serde_json::from_str(&row.value) {
        Ok(value) => Some((value, row.version)),
        Err(err) => {
            tracing::warn!(key = %row.key, %err, "row can't be read");
            None
        }
    }
}

/// Reads all rows under `prefix`.
pub(crate) fn scan<T: DeserializeOwned>(
    table: &impl Table,
    prefix: &str,
) -> Result<Vec<(T, RowVersion)>, TableError> {
    let rows = table.scan(prefix)?;
    Ok(rows.iter().filter_map(decode).collect())
}

/// The transaction that makes a change.
pub(crate) fn txn(id: TxnId, transaction: &Transaction) -> Txn {
    let conditions = transaction.expect.iter().map(|e| Condition {
        key: e.key.clone(),
        version: e.version,
    });
    let writes = transaction.puts.iter().map(|p| Write {
        key: p.key.clone(),
        value: encode(&p.value),
    });
    Txn {
        id,
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

fn encode(value: &RowValue) -> Option<String> {
    match value {
        RowValue::Absent => None,
        RowValue::Node(row) => Some(json(row)),
        RowValue::Planner(row) => Some(json(row)),
        RowValue::Group(row) => Some(json(row)),
        RowValue::Host(row) => Some(json(row)),
    }
}

/// Rows hold only numbers, strings and lists, which always can be written.
pub(crate) fn json(row: &impl serde::Serialize) -> String {
    serde_json::to_string(row).expect("rows hold only numbers, strings and lists")
}
