//! A table service that the fuzz can make late, lossy and doubled.

use std::collections::BTreeMap;

use eelgrassmill_claim::{Batch, ClaimKey, ClaimRow, ConflictRow, VersionedRow};

#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Versions go on over deletions.
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

    /// Makes all changes, or none and names the rows there whose condition failed.
    pub(crate) fn commit(&mut self, batch: &Batch) -> Result<(), Vec<ConflictRow>> {
        let failed = |key: &ClaimKey, version| self.read(key).map_or(0, |s| s.version) != version;
        let lost: Vec<_> = batch
            .changes
            .iter()
            .filter(|c| failed(&c.key, c.version))
            .collect();
        if !lost.is_empty() {
            let there = lost.iter().filter_map(|c| {
                let current = self.read(&c.key)?;
                Some(ConflictRow {
                    key: c.key.clone(),
                    current,
                })
            });
            return Err(there.collect());
        }
        for change in &batch.changes {
            let (version, row) = self.rows.entry(change.key.clone()).or_default();
            *version += 1;
            *row = change.row.clone();
        }
        Ok(())
    }
}
