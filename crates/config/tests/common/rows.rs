//! Rows under conditions, in memory.

use std::collections::BTreeMap;

use eelgrassmill_config::RowWrite;
use smol_str::SmolStr;

/// A table as far as acceptance needs one: rows with versions, all conditions or nothing.
#[derive(Default)]
pub(crate) struct Rows(BTreeMap<SmolStr, (u64, String)>);

impl Rows {
    /// Makes all writes, or none when a condition fails.
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

    /// A row's version and value.
    pub(crate) fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<(u64, T)> {
        let (version, value) = self.0.get(key)?;
        Some((
            *version,
            serde_json::from_str(value).expect("a row of its kind"),
        ))
    }

    /// How many rows there are.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
