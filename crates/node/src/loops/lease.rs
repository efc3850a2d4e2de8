//! Keeping this node's lease row renewed.

use std::sync::Arc;
use std::time::Instant;

use eelgrassmill_base::RowVersion;
use eelgrassmill_group::{HeldLease, NodeRow, node_key};
use eelgrassmill_stores::{Condition, Row, Table, Txn, TxnOutcome, Write};
use eelgrassmill_timeline::EventKind;

use super::rows::{decode, json};
use crate::state::core::Core;
use crate::state::lock::lock;

/// Renewals in one term. Two may be lost before the lease is.
pub(crate) const RENEWALS_PER_TERM: u32 = 3;

/// Renews the lease row of one node.
pub(crate) struct LeaseKeeper {
    core: Arc<Core>,
    /// The version that the row is thought to have; 0 for absent.
    version: RowVersion,
    renewals: u64,
    held: bool,
}

impl LeaseKeeper {
    pub(crate) fn new(core: Arc<Core>) -> LeaseKeeper {
        LeaseKeeper {
            core,
            version: 0,
            renewals: 0,
            held: false,
        }
    }

    /// One renewal.
    pub(crate) fn step(&mut self) {
        self.renew();
        self.note_change();
    }

    fn renew(&mut self) {
        let sent = Instant::now();
        self.renewals += 1;
        let txn = self.txn(true);
        match self.core.platform.table.commit(&txn) {
            Ok(TxnOutcome::Committed) => self.committed(sent, &txn),
            Ok(TxnOutcome::Conflict(rows)) => self.conflict(&rows),
            Err(err) => tracing::debug!(%err, "lease not renewed"),
        }
    }

    fn txn(&self, keep: bool) -> Txn {
        let ident = &self.core.ident;
        let key = node_key(&ident.node);
        let row = ident.row(self.core.node_state(), self.renewals);
        Txn {
            id: ident.unique(),
            conditions: vec![Condition {
                key: key.clone(),
                version: self.version,
            }],
            writes: vec![Write {
                key,
                value: keep.then(|| json(&row)),
            }],
        }
    }

    fn committed(&mut self, sent: Instant, txn: &Txn) {
        if self.version == 0 {
            // Versions go on over deletions, so the first one has to be read.
            let key = node_key(&self.core.ident.node);
            match self.core.platform.table.get(&key) {
                Ok(Some(row)) if row.txn == txn.id => self.version = row.version,
                _ => return,
            }
        } else {
            self.version += 1;
        }
        lock(&self.core.lease).record_renewal(sent, self.version);
    }

    /// The row is not as thought: an answer was lost, or others wrote it.
    ///
    /// The lease is not counted as renewed here, even when the row is ours: when
    /// the write took effect is not known, only that it did.
    fn conflict(&mut self, rows: &[Row]) {
        let key = node_key(&self.core.ident.node);
        let Some(row) = rows.iter().find(|r| r.key == key) else {
            return self.row_is_gone();
        };
        let Some((there, version)) = decode::<NodeRow>(row) else {
            return;
        };
        if there.incarnation > self.core.ident.incarnation {
            // A later start with this name: two processes must not share a lease.
            lock(&self.core.lease).mark_taken_over();
            tracing::error!(node = %there.node, "another process runs under this node's name");
            return;
        }
        self.version = version;
    }

    /// The planner that took over from this node deleted its row.
    ///
    /// Whatever this node held under the old row is gone; it joins again with
    /// a new lease, whose row has a version that no old transaction expects.
    fn row_is_gone(&mut self) {
        if self.version != 0 {
            let mut lease = lock(&self.core.lease);
            lease.mark_taken_over();
            *lease = HeldLease::new(self.core.timing, self.core.ident.incarnation);
        }
        self.version = 0;
    }

    fn note_change(&mut self) {
        let holds = self.core.holds_lease();
        if holds == self.held {
            return;
        }
        self.held = holds;
        match holds {
            true => self.core.journal.note(EventKind::LeaseTaken {}),
            false => self.note_lost("not renewed in time"),
        }
    }

    fn note_lost(&self, reason: &str) {
        let reason = reason.into();
        self.core.journal.note(EventKind::LeaseLost { reason });
    }

    /// Deletes the row, so that others need not wait for its lapse.
    pub(crate) fn give_back(&mut self) {
        lock(&self.core.lease).mark_taken_over();
        let txn = self.txn(false);
        if let Err(err) = self.core.platform.table.commit(&txn) {
            // The lease lapses by itself; others only learn of it later.
            tracing::warn!(%err, "lease row not given back");
        }
        if std::mem::take(&mut self.held) {
            self.note_lost("given back");
        }
    }
}
