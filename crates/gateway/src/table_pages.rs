//! Tables of the store that are read page by page.

use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassmill_base::{RowVersion, StoreEra};
use smol_str::SmolStr;
use tracing::warn;

use crate::ports::{SourceError, SourceRead};

/// Rows of a table with keys from `from` to before `target`; without bound where one is empty.
#[derive(Clone, Copy, Debug)]
pub struct TableRange<'t> {
    /// The table.
    pub table: &'t str,
    /// The first key.
    pub from: &'t str,
    /// The key behind the last one.
    pub target: &'t str,
}

impl<'t> TableRange<'t> {
    /// All rows of a table.
    pub fn all(table: &'t str) -> TableRange<'t> {
        TableRange {
            table,
            from: "",
            target: "",
        }
    }
}

/// A page of a table, what was kept of all its pages, or its changes.
#[derive(Debug)]
pub struct TableRead<T> {
    /// The rows, in ascending order of their keys; changes, in the order of versions.
    pub rows: Vec<T>,
    /// Whether there are rows behind them.
    pub has_more: bool,
    /// The version of the store that the rows show, or an earlier one.
    pub version: RowVersion,
    /// The store's steady clock.
    pub clock: Duration,
    /// The store's era, if it names one.
    pub era: Option<StoreEra>,
}

impl<T> TableRead<T> {
    /// What the rows say.
    pub fn with_changes<C>(&self, changes: impl IntoIterator<Item = C>) -> SourceRead<C> {
        SourceRead {
            changes: changes.into_iter().collect(),
            era: self.era,
            version: self.version,
        }
    }
}

/// A store whose tables are read page by page.
pub trait PagedStore: Sync {
    /// A row.
    type Row: Send;

    /// Reads up to `limit` rows, with their keys.
    fn page(
        &self,
        range: TableRange<'_>,
        limit: usize,
    ) -> impl Future<Output = Result<TableRead<(SmolStr, Self::Row)>, SourceError>> + Send;

    /// The sizes of pages.
    fn page_size(&self) -> &PageSize;
}

/// Reads what is needed of the rows of a table, up to `max_kept`.
///
/// # Errors
/// Those of the store and of [`TablePages::push`].
pub async fn read_table<S: PagedStore, T: Send>(
    store: &S,
    range: TableRange<'_>,
    max_kept: usize,
    mut needed: impl FnMut(S::Row) -> Option<T> + Send,
) -> Result<TableRead<T>, SourceError> {
    let mut pages = TablePages::new(max_kept);
    let mut first = None;
    loop {
        let from = pages.next_from().map_or(range.from, SmolStr::as_str);
        let limit = store.page_size().rows();
        let page = store.page(TableRange { from, ..range }, limit).await;
        store.page_size().record(&page);
        let page = page?;
        // Later pages show later states, and the feed has to continue at the earliest one.
        let (version, clock) = *first.get_or_insert((page.version, page.clock));
        let (has_more, era) = (page.has_more, page.era);
        pages.push(page.rows, has_more, era, |_, row| needed(row))?;
        if has_more {
            continue;
        }
        let left_out = pages.left_out();
        if left_out > 0 {
            let table = range.table;
            warn!(
                event = "dependency",
                table,
                state = "too-many-rows",
                left_out
            );
        }
        return Ok(TableRead {
            rows: pages.into_kept(),
            has_more,
            version,
            clock,
            era,
        });
    }
}

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
