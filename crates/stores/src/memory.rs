//! In-memory table and object store.
//!
//! They define the semantics that the stand-in platform and the tests of policies share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{RowVersion, TxnId};
use smol_str::SmolStr;

use crate::{Condition, ObjectError, ObjectStore, Row, Table, TableError, Txn, TxnOutcome, Write};

/// An in-memory table that can inject the faults of the real service.
#[derive(Debug, Default)]
pub struct MemoryTable {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Deleted rows are kept as tombstones so that a version is never reused.
    rows: BTreeMap<SmolStr, Stored>,
    faults: Faults,
    /// Commits accepted but not yet applied, oldest first.
    delayed: Vec<Txn>,
    reads: u64,
    commits: u64,
}

#[derive(Debug)]
struct Stored {
    version: RowVersion,
    txn: TxnId,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct Faults {
    unavailable: bool,
    lose_responses: u32,
    delay_commits: u32,
}

impl MemoryTable {
    /// Creates an empty table.
    pub fn new() -> MemoryTable {
        MemoryTable::default()
    }

    /// While `unavailable`, every call fails without effect.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.lock().faults.unavailable = unavailable;
    }

    /// Applies the next `count` commits but drops their responses.
    pub fn lose_responses(&self, count: u32) {
        self.lock().faults.lose_responses = count;
    }

    /// Delays the next `count` commits until [`MemoryTable::apply_delayed`]; their callers
    /// get [`TableError::Unknown`].
    pub fn delay_commits(&self, count: u32) {
        self.lock().faults.delay_commits = count;
    }

    /// Applies the delayed commits in order of arrival.
    pub fn apply_delayed(&self) -> Vec<TxnOutcome> {
        let mut inner = self.lock();
        let delayed = std::mem::take(&mut inner.delayed);
        delayed.iter().map(|txn| inner.apply(txn)).collect()
    }

    /// Number of delayed commits.
    pub fn delayed(&self) -> usize {
        self.lock().delayed.len()
    }

    /// Number of read and commit calls so far, including failed ones.
    pub fn calls(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.reads, inner.commits)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_for_read(&self) -> Result<MutexGuard<'_, Inner>, TableError> {
        let mut inner = self.lock();
        inner.reads += 1;
        inner.check_available()?;
        Ok(inner)
    }
}

impl Table for MemoryTable {
    fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        Ok(self.lock_for_read()?.row(key))
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let inner = self.lock_for_read()?;
        let from = inner.rows.range(SmolStr::from(prefix)..);
        let keys = from
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix));
        Ok(keys.filter_map(|key| inner.row(key)).collect())
    }

    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, TableError> {
        let mut inner = self.lock();
        inner.commits += 1;
        inner.check_available()?;
        if decrement(&mut inner.faults.delay_commits) {
            inner.delayed.push(txn.clone());
            return Err(TableError::Unknown("time-out".to_owned()));
        }
        let outcome = inner.apply(txn);
        if decrement(&mut inner.faults.lose_responses) {
            return Err(TableError::Unknown("response lost".to_owned()));
        }
        Ok(outcome)
    }
}

impl Inner {
    fn check_available(&self) -> Result<(), TableError> {
        if self.faults.unavailable {
            return Err(TableError::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn row(&self, key: &str) -> Option<Row> {
        let (key, stored) = self.rows.get_key_value(key)?;
        let value = stored.value.clone()?;
        Some(Row {
            key: key.clone(),
            version: stored.version,
            txn: stored.txn.clone(),
            value,
        })
    }

    fn holds(&self, condition: &Condition) -> bool {
        let version = self.row(&condition.key).map_or(0, |row| row.version);
        version == condition.version
    }

    fn apply(&mut self, txn: &Txn) -> TxnOutcome {
        let failed: Vec<&Condition> = txn.conditions.iter().filter(|c| !self.holds(c)).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|c| self.row(&c.key)).collect();
            return TxnOutcome::Conflict(rows);
        }
        for write in &txn.writes {
            self.write(&txn.id, write);
        }
        TxnOutcome::Committed
    }

    fn write(&mut self, txn: &TxnId, write: &Write) {
        let version = self.rows.get(&write.key).map_or(0, |stored| stored.version) + 1;
        let stored = Stored {
            version,
            txn: txn.clone(),
            value: write.value.clone(),
        };
        self.rows.insert(write.key.clone(), stored);
    }
}

/// Decrements `count` unless it is zero; returns whether it did.
fn decrement(count: &mut u32) -> bool {
    let positive = *count > 0;
    *count = count.saturating_sub(1);
    positive
}

/// An in-memory object store.
#[derive(Debug, Default)]
pub struct MemoryObjects {
    objects: Mutex<BTreeMap<SmolStr, Vec<u8>>>,
}

impl MemoryObjects {
    /// Creates an empty store.
    pub fn new() -> MemoryObjects {
        MemoryObjects::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Vec<u8>>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectStore for MemoryObjects {
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, ObjectError> {
        Ok(self.lock().get(key).cloned())
    }

    fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), ObjectError> {
        self.lock().insert(key.into(), bytes);
        Ok(())
    }
}
