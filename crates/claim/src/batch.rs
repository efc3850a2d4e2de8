//! Batches row changes into transactions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::value;

use crate::key::ClaimKey;
use crate::row::{RowChange, VersionedRow};

/// Default maximum number of changes in one transaction.
const MAX_BATCH: usize = 64;
/// Default maximum time that a change waits for its batch to fill.
const MAX_WAIT: Duration = Duration::from_millis(3);

value! {
    /// Changes for one transaction. Invariant: keys are unique.
    pub struct Batch {
        /// Row changes to commit together.
        pub changes: Vec<RowChange>,
    }

    /// A row whose version condition failed a transaction.
    pub struct ConflictRow {
        /// Key of the row.
        pub key: ClaimKey,
        /// The row as it is stored now.
        pub current: VersionedRow,
    }

    /// A conflicted batch, split into lost changes and changes to retry.
    pub struct ConflictSplit {
        /// Changes that lost, each with the row stored now (`None`: absent).
        pub conflicted: Vec<(RowChange, Option<VersionedRow>)>,
        /// Batches to retry at once, each in its own transaction.
        pub retry: Vec<Batch>,
    }
}

/// A change of the same key is already pending in this batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of this claim row is already pending")]
pub struct KeyBusy;

/// Collects row changes into a batch until it is full or its oldest change has waited long enough.
#[derive(Debug)]
pub struct ClaimBatcher {
    pending: BTreeMap<ClaimKey, RowChange>,
    /// When the oldest pending change arrived; `None` while nothing is pending.
    since: Option<Instant>,
    max: usize,
    wait: Duration,
}

impl Default for ClaimBatcher {
    fn default() -> ClaimBatcher {
        ClaimBatcher::new(MAX_BATCH, MAX_WAIT)
    }
}

impl ClaimBatcher {
    /// Creates a batcher for up to `max` changes that wait at most `wait`.
    pub fn new(max: usize, wait: Duration) -> ClaimBatcher {
        ClaimBatcher {
            pending: BTreeMap::new(),
            since: None,
            max: max.max(1),
            wait,
        }
    }

    /// Adds a change and returns the batch once it is full.
    ///
    /// # Errors
    /// [`KeyBusy`] when a change of the same key is pending: two claims of one key in one
    /// transaction can't both be committed. The request is then in progress here.
    pub fn push(&mut self, change: RowChange, now: Instant) -> Result<Option<Batch>, KeyBusy> {
        if self.pending.contains_key(&change.key) {
            return Err(KeyBusy);
        }
        self.pending.insert(change.key.clone(), change);
        self.since.get_or_insert(now);
        Ok((self.pending.len() >= self.max).then(|| self.take()))
    }

    /// Returns the batch once its waiting time has passed.
    pub fn due(&mut self, now: Instant) -> Option<Batch> {
        let due = self.next_due().is_some_and(|at| at <= now);
        due.then(|| self.take())
    }

    /// When to call `due` next; `None` while nothing is pending.
    pub fn next_due(&self) -> Option<Instant> {
        self.since.map(|since| since + self.wait)
    }

    fn take(&mut self) -> Batch {
        self.since = None;
        let pending = std::mem::take(&mut self.pending);
        Batch {
            changes: pending.into_values().collect(),
        }
    }
}

impl Batch {
    /// Splits a conflicted batch, so that one lost claim doesn't fail the others.
    ///
    /// A conflict lists existing rows but not absent ones, so an update of a row that isn't
    /// listed may have lost too. It is retried in its own transaction, where a conflict
    /// without rows can only refer to that row.
    pub fn split(self, conflicts: impl IntoIterator<Item = ConflictRow>) -> ConflictSplit {
        let mut current_rows: BTreeMap<ClaimKey, VersionedRow> =
            conflicts.into_iter().map(|c| (c.key, c.current)).collect();
        let alone = self.changes.len() == 1;
        let mut split = ConflictSplit {
            conflicted: Vec::new(),
            retry: Vec::new(),
        };
        let mut inserts = Vec::new();
        for change in self.changes {
            match current_rows.remove(&change.key) {
                Some(current) => split.conflicted.push((change, Some(current))),
                None if alone => split.conflicted.push((change, None)),
                None if change.version == 0 => inserts.push(change),
                None => split.retry.push(Batch {
                    changes: vec![change],
                }),
            }
        }
        if !inserts.is_empty() {
            split.retry.push(Batch { changes: inserts });
        }
        split
    }
}
