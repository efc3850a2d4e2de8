//! Tables of the store that are read page by page.

use std::sync::atomic::{AtomicUsize, Ordering};

use eelgrassmill_base::StoreEra;
use smol_str::SmolStr;

use crate::ports::SourceError;

/// Rows asked for at once, by what could be read before.
///
/// A page that is too large for this node, or for its link, would be so at each attempt.
#[derive(Debug)]
pub struct PageSize {
    rows: AtomicUsize,
    max: usize,
}

impl PageSize {
    /// Starts with `max`, the most that the store gives.
    pub const fn new(max: usize) -> PageSize {
        PageSize {
            rows: AtomicUsize::new(max),
            max,
        }
    }

    /// Rows to ask for now.
    pub fn rows(&self) -> usize {
        self.rows.load(Ordering::Relaxed)
    }

    /// Adapts it to the outcome of a read of a page.
    pub fn record<R>(&self, outcome: &Result<R, SourceError>) {
        let rows = match outcome {
            Ok(_) => (self.rows() * 2).min(self.max),
            Err(SourceError::TooLarge(_)) => (self.rows() / 2).max(1),
            Err(_) => return,
        };
        self.rows.store(rows, Ordering::Relaxed);
    }
}

/// What the pages of a table that were read so far hold for a node.
///
/// Rows that it doesn't need are dropped at once: those of other writers may take any size. Each
/// further page begins at the last key of the one before, and so repeats its row: a key behind it
/// would have to be made from it, and could exceed the store's limit on keys.
#[derive(Debug)]
pub struct TablePages<T> {
    kept: Vec<T>,
    max_kept: usize,
    /// Rows that were needed beyond `max_kept`.
    left_out: usize,
    /// The last key that was read.
    last: Option<SmolStr>,
    /// The era that the first page names, if any; `None` before that page.
    era: Option<Option<StoreEra>>,
}

impl<T> TablePages<T> {
    /// No pages of a table of which up to `max_kept` rows are kept.
    pub fn new(max_kept: usize) -> TablePages<T> {
        TablePages {
            kept: Vec::new(),
            max_kept,
            left_out: 0,
            last: None,
            era: None,
        }
    }

    /// The key at which the next page begins; `None` for the first page.
    pub fn next_from(&self) -> Option<&SmolStr> {
        self.last.as_ref()
    }

    /// Adds the next page, as the keys and rows that it holds, of which `needed` returns what is kept.
    /// `has_more` is whether there are rows behind it.
    ///
    /// # Errors
    /// [`SourceError::Compacted`] if it is of another era than the first one, and
    /// [`SourceError::Malformed`] if the page has no new row although there are more: the page after
    /// it would be the same one again.
    pub fn push<R>(
        &mut self,
        page: impl IntoIterator<Item = (SmolStr, R)>,
        has_more: bool,
        era: Option<StoreEra>,
        mut needed: impl FnMut(&SmolStr, R) -> Option<T>,
    ) -> Result<(), SourceError> {
        if *self.era.get_or_insert(era) != era {
            return Err(SourceError::Compacted { era });
        }
        let mut has_new = false;
        for (key, row) in page {
            if self.last.as_ref().is_some_and(|last| key <= *last) {
                continue;
            }
            has_new = true;
            if let Some(kept) = needed(&key, row) {
                if self.kept.len() < self.max_kept {
                    self.kept.push(kept);
                } else {
                    self.left_out += 1;
                }
            }
            self.last = Some(key);
        }
        if has_more && !has_new {
            let from = self.last.as_deref().unwrap_or_default();
            let why = format!("page from key {from:?} has no new row");
            return Err(SourceError::Malformed(why));
        }
        Ok(())
    }

    /// Rows that were needed but are left out, the last ones by their keys.
    pub fn left_out(&self) -> usize {
        self.left_out
    }

    /// What was kept, in ascending order of the keys.
    pub fn into_kept(self) -> Vec<T> {
        self.kept
    }
}
