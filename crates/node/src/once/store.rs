//! Claim rows in the table, many changes to one transaction.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use eelgrassmill_claim::{
    Batch, ClaimBatcher, ClaimRow, ConflictRow, RowChange, StoreCircuitBreaker, StoreUnavailable,
    VersionedRow, WriteOutcome,
};
use eelgrassmill_stores::{Condition, Row, Table, TableError, Txn, TxnOutcome, Write};
use tokio::sync::oneshot;

use crate::state::core::Core;
use crate::state::lock::lock;

/// Changes that may wait for the writer.
const WAITING: usize = 4096;
/// Transactions under way at a time. While one waits for a slow table, others go on.
const WRITERS: usize = 4;
/// Longest sleep of a writer. A change wakes it, and so does the end of the last sender.
const NAP: Duration = Duration::from_secs(1);

struct Command {
    change: RowChange,
    tx: oneshot::Sender<WriteOutcome>,
}

/// Writes claim rows. Cloned freely; the writers end when all clones are gone.
#[derive(Clone)]
pub(crate) struct ClaimStore {
    tx: Sender<Command>,
    breaker: Arc<Mutex<StoreCircuitBreaker>>,
}

impl ClaimStore {
    pub(crate) fn start(core: &Arc<Core>) -> (ClaimStore, Vec<JoinHandle<()>>) {
        let (tx, rx) = bounded(WAITING);
        let breaker = StoreCircuitBreaker::new(core.ident.seed("store-gate"));
        let breaker = Arc::new(Mutex::new(breaker));
        let writers = (0..WRITERS).map(|_| {
            let writer = Writer {
                core: core.clone(),
                breaker: breaker.clone(),
                rx: rx.clone(),
                batcher: ClaimBatcher::default(),
                answers: BTreeMap::new(),
            };
            std::thread::spawn(move || writer.run())
        });
        let writers = writers.collect();
        (ClaimStore { tx, breaker }, writers)
    }

    /// Whether claims can be made now.
    ///
    /// # Errors
    /// While the table is down, so that callers are refused at once.
    pub(crate) fn admit(&self) -> Result<(), StoreUnavailable> {
        lock(&self.breaker).admit(Instant::now())
    }

    /// Writes one change from a thread that may block.
    pub(crate) fn write_blocking(&self, change: RowChange) -> WriteOutcome {
        match self.send(change) {
            Some(rx) => rx.blocking_recv().unwrap_or(WriteOutcome::Unknown),
            None => WriteOutcome::Unavailable,
        }
    }

    /// Writes one change.
    pub(crate) async fn write(&self, change: RowChange) -> WriteOutcome {
        match self.send(change) {
            Some(rx) => rx.await.unwrap_or(WriteOutcome::Unknown),
            None => WriteOutcome::Unavailable,
        }
    }

    /// Hands a change to the writers; `None` when it never reached them.
    fn send(&self, change: RowChange) -> Option<oneshot::Receiver<WriteOutcome>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Command { change, tx }).ok()?;
        Some(rx)
    }
}

struct Writer {
    core: Arc<Core>,
    breaker: Arc<Mutex<StoreCircuitBreaker>>,
    rx: Receiver<Command>,
    batcher: ClaimBatcher,
    answers: BTreeMap<smol_str::SmolStr, oneshot::Sender<WriteOutcome>>,
}

impl Writer {
    fn run(mut self) {
        loop {
            let now = Instant::now();
            let wait = match self.batcher.next_due() {
                Some(due) => due.saturating_duration_since(now),
                None => NAP,
            };
            match self.rx.recv_timeout(wait) {
                Ok(command) => self.take(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if let Some(batch) = self.batcher.due(Instant::now()) {
                self.commit(batch);
            }
        }
    }

    fn take(&mut self, command: Command) {
        let key = command.change.key.clone();
        match self.batcher.push(command.change, Instant::now()) {
            Ok(full) => {
                self.answers.insert(key, command.tx);
                if let Some(batch) = full {
                    self.commit(batch);
                }
            }
            // The same key waits in this batch, and both changes can't hold. A claim looks at the
            // row again, and a final state is written again later.
            Err(_) => drop(command.tx.send(WriteOutcome::Busy)),
        }
    }

    fn commit(&mut self, batch: Batch) {
        let mut left = vec![batch];
        while let Some(batch) = left.pop() {
            match self.core.platform.table.commit(&self.txn(&batch)) {
                Ok(TxnOutcome::Committed) => {
                    lock(&self.breaker).on_response();
                    self.answer_all(&batch, &WriteOutcome::Committed);
                }
                Ok(TxnOutcome::Conflict(rows)) => {
                    lock(&self.breaker).on_response();
                    let split = batch.split(rows.iter().filter_map(conflict_row));
                    for (change, current) in split.conflicted {
                        self.answer(&change, WriteOutcome::Conflict(current));
                    }
                    left.extend(split.retry);
                }
                Err(err) => {
                    tracing::debug!(%err, "claims not written");
                    lock(&self.breaker).on_failure(Instant::now());
                    let outcome = match err {
                        TableError::Unavailable(_) => WriteOutcome::Unavailable,
                        TableError::Unknown(_) | TableError::Protocol(_) => WriteOutcome::Unknown,
                    };
                    self.answer_all(&batch, &outcome);
                }
            }
        }
    }

    fn txn(&self, batch: &Batch) -> Txn {
        let conditions = batch.changes.iter().map(|change| Condition {
            key: change.key.clone(),
            version: change.version,
        });
        let writes = batch.changes.iter().map(|change| Write {
            key: change.key.clone(),
            value: change.row.as_ref().and_then(|row| row.encode().ok()),
        });
        Txn {
            id: self.core.ident.unique(),
            conditions: conditions.collect(),
            writes: writes.collect(),
        }
    }

    fn answer_all(&mut self, batch: &Batch, outcome: &WriteOutcome) {
        for change in &batch.changes {
            self.answer(change, outcome.clone());
        }
    }

    fn answer(&mut self, change: &RowChange, outcome: WriteOutcome) {
        if let Some(tx) = self.answers.remove(&change.key) {
            // Whoever asked may have gone; the row stays for whoever asks again.
            let _ = tx.send(outcome);
        }
    }
}

fn conflict_row(row: &Row) -> Option<ConflictRow> {
    let current = VersionedRow {
        row: ClaimRow::decode(&row.value).ok()?,
        version: row.version,
    };
    Some(ConflictRow {
        key: row.key.clone(),
        current,
    })
}
