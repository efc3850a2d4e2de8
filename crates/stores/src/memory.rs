//! The table service and object store within one process.
//!
//! One definition of their semantics for the stand-in and for tests of policy.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{RowVersion, TxnId};
use smol_str::SmolStr;

use crate::{Condition, ObjectError, ObjectStore, Row, Table, TableError, Txn, TxnOutcome, Write};

/// A table in memory, with switches for the faults of the real one.
#[derive(Debug, Default)]
pub struct MemoryTable {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Deleted rows stay as tombstones, so that a version is never used twice.
    rows: BTreeMap<SmolStr, Stored>,
    faults: Faults,
    /// Writes that were taken and not yet made, oldest first.
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
    down: bool,
    lose_responses: u32,
    delay_commits: u32,
}

impl MemoryTable {
    /// An empty table.
    pub fn new() -> MemoryTable {
        MemoryTable::default()
    }

    /// Refuses every call without effect while `down`.
    pub fn set_unavailable(&self, down: bool) {
        self.lock().faults.down = down;
    }

    /// Makes the writes of the next `count` commits and loses their answers.
    pub fn lose_responses(&self, count: u32) {
        self.lock().faults.lose_responses = count;
    }

    /// Parks the next `count` commits until released; their callers get no answer.
    pub fn delay_commits(&self, count: u32) {
        self.lock().faults.delay_commits = count;
    }

    /// Applies the parked commits in the order in which they came.
    pub fn apply_delayed(&self) -> Vec<TxnOutcome> {
        let mut inner = self.lock();
        let delayed = std::mem::take(&mut inner.delayed);
        delayed.iter().map(|txn| inner.apply(txn)).collect()
    }

    /// How many commits are delayed.
    pub fn delayed(&self) -> usize {
        self.lock().delayed.len()
    }

    /// Reads and commits asked for so far, refused ones included.
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
            return Err(TableError::Unknown("answer lost".to_owned()));
        }
        Ok(outcome)
    }
}

impl Inner {
    fn check_available(&self) -> Result<(), TableError> {
        if self.faults.down {
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

fn decrement(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

/// An object store in memory.
#[derive(Debug, Default)]
pub struct MemoryObjects {
    objects: Mutex<BTreeMap<SmolStr, Vec<u8>>>,
}

impl MemoryObjects {
    /// An empty store.
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
