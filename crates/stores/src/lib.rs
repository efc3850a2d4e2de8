//! Traits and HTTP clients for the platform's services: table service, object store, weight store and host list.

mod call;
mod hosts;
mod http_table;
mod memory;
mod objects;
mod percent;
mod retry;
mod table;
mod weights;

pub use crate::call::{CallError, HttpCaller, HttpCallerBuilder, Reply};
pub use crate::hosts::{HostList, HostListError, HttpHostList};
pub use crate::http_table::HttpTable;
pub use crate::memory::{MemoryObjects, MemoryTable};
pub use crate::objects::{HttpObjectStore, ObjectError, ObjectStore};
pub use crate::percent::{percent_decode, percent_encode};
pub use crate::retry::{CommitStatus, RetryError, RetryLimits, commit_with_retry};
pub use crate::table::{Condition, Row, Table, TableError, Txn, TxnOutcome, Write};
pub use crate::weights::{HttpWeightStore, WeightError, WeightInfo, WeightStore};
