//! Deleting claim rows whose time is over.

use std::sync::Arc;

use eelgrassmill_claim::{
    CLAIM_PREFIX, ClaimRow, OwnerState, RowChange, VersionedRow, WriteOutcome,
};
use eelgrassmill_stores::{Row, Table};

use crate::once::{ClaimStore, owner_state};
use crate::state::core::Core;
use crate::state::lock::lock;

/// Parts into which the rows are divided by the first two digits of their hash.
const PARTS: u32 = 256;
/// Parts looked at in one round: eight reads a second at one node of a region,
/// and all parts in half a minute.
const PARTS_PER_ROUND: u32 = 8;
/// Deletions of one round; what is left comes with a later one.
const MAX_DELETIONS: usize = 256;

/// Sweeps while this node is its region's planner, so that one node does it and not all.
pub(crate) struct Sweeper {
    core: Arc<Core>,
    store: ClaimStore,
    next: u32,
}

impl Sweeper {
    pub(crate) fn new(core: Arc<Core>, store: ClaimStore) -> Sweeper {
        Sweeper {
            core,
            store,
            next: 0,
        }
    }

    /// One round.
    pub(crate) fn step(&mut self) {
        let planner = lock(&self.core.planner).clone();
        if planner.as_ref() != Some(&self.core.ident.node) {
            return;
        }
        let mut left = MAX_DELETIONS;
        for _ in 0..PARTS_PER_ROUND {
            let prefix = format!("{CLAIM_PREFIX}{:02x}", self.next);
            self.next = (self.next + 1) % PARTS;
            match self.core.platform.table.scan(&prefix) {
                Ok(rows) => left -= self.sweep(&rows, left),
                // Counted by the table itself; the part comes again.
                Err(_) => return,
            }
        }
    }

    fn sweep(&self, rows: &[Row], limit: usize) -> usize {
        let over: Vec<RowChange> = rows
            .iter()
            .filter_map(|row| self.deletion(row))
            .take(limit)
            .collect();
        let deleted = over.len();
        for change in over {
            // One that is lost or conflicts comes again when its part does.
            if let WriteOutcome::Unavailable = self.store.write_blocking(change) {
                break;
            }
        }
        deleted
    }

    fn deletion(&self, row: &Row) -> Option<RowChange> {
        let seen = VersionedRow {
            row: ClaimRow::decode(&row.value).ok()?,
            version: row.version,
        };
        let owner = match seen.row.owner == self.core.ident.owner() {
            true => OwnerState::Alive,
            false => owner_state(&self.core, &seen.row.owner),
        };
        lock(&self.core.era).sweep(&row.key, &seen, owner)
    }
}
