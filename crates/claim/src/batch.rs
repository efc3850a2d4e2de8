//! Many row changes in one transaction.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::value;

use crate::key::ClaimKey;
use crate::row::{RowChange, VersionedRow};

/// Changes of one transaction by default.
const MAX_BATCH: usize = 64;
/// Time that a change waits for company by default.
const MAX_WAIT: Duration = Duration::from_millis(3);

value! {
    /// Changes for one transaction. Invariant: no key twice.
    pub struct Batch {
        /// The changes.
        pub changes: Vec<RowChange>,
    }

    /// A row that failed a transaction.
    pub struct ConflictRow {
        /// Its key.
        pub key: ClaimKey,
        /// What is there.
        pub current: VersionedRow,
    }

    /// A batch that conflicted, taken apart.
    pub struct ConflictSplit {
        /// These lost, to what is there (`None`: absent).
        pub conflicted: Vec<(RowChange, Option<VersionedRow>)>,
        /// These are to be tried again at once, each batch in a transaction of its own.
        pub retry: Vec<Batch>,
    }
}

/// A change of the same key waits or is under way here already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a change of this claim is already under way")]
pub struct KeyBusy;

/// Gathers row changes for a few milliseconds, or until there are enough.
#[derive(Debug)]
pub struct ClaimBatcher {
    pending: BTreeMap<ClaimKey, RowChange>,
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
    /// Gathers up to `max` changes for at most `wait`.
    pub fn new(max: usize, wait: Duration) -> ClaimBatcher {
        ClaimBatcher {
            pending: BTreeMap::new(),
            since: None,
            max: max.max(1),
            wait,
        }
    }

    /// Adds a change; gives the batch when it is full.
    ///
    /// # Errors
    /// [`KeyBusy`] when the same key waits already: two claims of one key in one
    /// transaction could never both hold. The request is in progress here.
    pub fn push(&mut self, change: RowChange, now: Instant) -> Result<Option<Batch>, KeyBusy> {
        if self.pending.contains_key(&change.key) {
            return Err(KeyBusy);
        }
        self.pending.insert(change.key.clone(), change);
        self.since.get_or_insert(now);
        Ok((self.pending.len() >= self.max).then(|| self.take()))
    }

    /// Gives the batch when its time has come.
    pub fn due(&mut self, now: Instant) -> Option<Batch> {
        let due = self.next_due().is_some_and(|at| at <= now);
        due.then(|| self.take())
    }

    /// When `due` has to be called next.
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
    /// Takes a conflicted batch apart, so that one lost claim doesn't fail the others.
    ///
    /// A conflict names the rows that are there but not those that are absent, so
    /// a change of an existing row that isn't named may have lost too; it goes alone,
    /// where a conflict without rows can only mean itself.
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
