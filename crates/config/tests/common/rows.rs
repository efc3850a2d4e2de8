//! In-memory table with conditional transactions.

use std::collections::BTreeMap;

use eelgrassmill_config::RowWrite;
use smol_str::SmolStr;

/// An in-memory table of versioned rows; a transaction commits only if all conditions hold.
#[derive(Default)]
pub(crate) struct Rows(BTreeMap<SmolStr, (u64, String)>);

impl Rows {
    /// Applies all writes, or none if a condition fails.
    pub(crate) fn commit(&mut self, writes: &[RowWrite]) -> bool {
        let version = |key| self.0.get(key).map_or(0, |(v, _)| *v);
        if writes
            .iter()
            .any(|w| w.expected_version.is_some_and(|e| e != version(&w.key)))
        {
            return false;
        }
        for write in writes {
            let row = self.0.entry(write.key.clone()).or_default();
            *row = (row.0 + 1, write.value.clone().unwrap_or_default());
        }
        true
    }

    /// Version and value of a row.
    pub(crate) fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<(u64, T)> {
        let (version, value) = self.0.get(key)?;
        Some((
            *version,
            serde_json::from_str(value).expect("a row of type T"),
        ))
    }

    /// Number of rows.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
