//! In-memory table service for the fuzz test.

use std::collections::BTreeMap;

use eelgrassmill_claim::{Batch, ClaimKey, ClaimRow, ConflictRow, VersionedRow};

#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Versions continue across deletions.
    rows: BTreeMap<ClaimKey, (u64, Option<ClaimRow>)>,
}

impl Store {
    pub(crate) fn read(&self, key: &ClaimKey) -> Option<VersionedRow> {
        let (version, row) = self.rows.get(key)?.clone();
        row.map(|row| VersionedRow { row, version })
    }

    pub(crate) fn keys(&self) -> Vec<ClaimKey> {
        self.rows.keys().cloned().collect()
    }

    /// Commits all changes, or none and returns the existing rows whose condition failed.
    pub(crate) fn commit(&mut self, batch: &Batch) -> Result<(), Vec<ConflictRow>> {
        let failed = |key: &ClaimKey, version| self.read(key).map_or(0, |s| s.version) != version;
        let conflicts: Vec<_> = batch
            .changes
            .iter()
            .filter(|c| failed(&c.key, c.version))
            .collect();
        if !conflicts.is_empty() {
            let existing = conflicts.iter().filter_map(|c| {
                let current = self.read(&c.key)?;
                Some(ConflictRow {
                    key: c.key.clone(),
                    current,
                })
            });
            return Err(existing.collect());
        }
        for change in &batch.changes {
            let (version, row) = self.rows.entry(change.key.clone()).or_default();
            *version += 1;
            *row = change.row.clone();
        }
        Ok(())
    }
}
