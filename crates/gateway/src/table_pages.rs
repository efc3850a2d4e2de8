//! Tables of the store that are read page by page.

use eelgrassmill_base::StoreEra;
use smol_str::SmolStr;

use crate::ports::SourceError;

/// A row of a table.
pub trait TableRow {
    /// Its key.
    fn key(&self) -> &SmolStr;
    /// Bytes that it takes in memory.
    fn size(&self) -> usize;
}

/// The pages of a table that were read so far.
///
/// Each further page begins at the last key of the one before, and so repeats its row: a key behind it
/// would have to be made from it, and could exceed the store's limit on keys.
#[derive(Debug)]
pub struct TablePages<R> {
    /// Invariant: in ascending order of their keys, without duplicates.
    rows: Vec<R>,
    bytes: usize,
    max_bytes: usize,
    /// The era that the first page names, if any; `None` before that page.
    era: Option<Option<StoreEra>>,
}

impl<R: TableRow> TablePages<R> {
    /// No pages of a table that may take up to `max_bytes` in memory.
    pub fn new(max_bytes: usize) -> TablePages<R> {
        TablePages {
            rows: Vec::new(),
            bytes: 0,
            max_bytes,
            era: None,
        }
    }

    /// The key at which the next page begins; `None` for the first page.
    pub fn next_from(&self) -> Option<&SmolStr> {
        self.rows.last().map(R::key)
    }

    /// Adds the next page. `has_more` is whether there are rows behind it.
    ///
    /// # Errors
    /// [`SourceError::Compacted`] if it is of another era than the first one, and
    /// [`SourceError::Malformed`] if the table is too long, or if the page has no new row although
    /// there are more: the page after it would be the same one again.
    pub fn push(
        &mut self,
        page: Vec<R>,
        has_more: bool,
        era: Option<StoreEra>,
    ) -> Result<(), SourceError> {
        if *self.era.get_or_insert(era) != era {
            return Err(SourceError::Compacted { era });
        }
        let known = self.rows.len();
        for row in page {
            if self.next_from().is_some_and(|last| row.key() <= last) {
                continue;
            }
            self.bytes += row.size();
            if self.bytes > self.max_bytes {
                let why = format!("table of over {} bytes", self.max_bytes);
                return Err(SourceError::Malformed(why));
            }
            self.rows.push(row);
        }
        if has_more && self.rows.len() == known {
            let from = self.next_from().map_or("", SmolStr::as_str);
            let why = format!("page from key {from:?} has no new row");
            return Err(SourceError::Malformed(why));
        }
        Ok(())
    }

    /// The rows in ascending order of their keys.
    pub fn into_rows(self) -> Vec<R> {
        self.rows
    }
}
