//! Traits and HTTP clients for the platform: table service, object store, weight store and host list.

mod table;

pub use crate::table::{Condition, Row, Table, TableError, Txn, TxnOutcome, Write};
