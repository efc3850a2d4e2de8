//! Finds out what became of a transaction whose answer was lost.

use std::time::{Duration, Instant};

use eelgrassmill_base::{RowVersion, value};
use smol_str::SmolStr;

use crate::{Condition, Row, Table, TableError, Txn, TxnOutcome};

value! {
    /// What became of a transaction.
    pub enum CommitStatus {
        /// Its writes were made, exactly once.
        Committed,
        /// Its writes were not made and will not be. The rows whose condition
        /// failed; none when the service was never reached.
        NotCommitted(Vec<Row>),
        /// Nobody can tell: its writes may have been made, or may be made later.
        Unknown,
    }

    /// How long to try.
    pub struct RetryLimits {
        /// Time after which no new attempt starts.
        pub total: Duration,
        /// Attempts at most.
        pub attempts: u32,
        /// Pause between two attempts.
        pub pause: Duration,
    }
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits {
            total: Duration::from_secs(5),
            attempts: 4,
            pause: Duration::from_millis(50),
        }
    }
}

/// Why a transaction can't be settled, and so was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryError {
    /// A row is written without a condition on it, so that a late copy of the
    /// transaction could write it a second time.
    #[error("transaction {txn} writes row {key} without a condition on it")]
    Unconditional {
        /// The transaction.
        txn: SmolStr,
        /// The row.
        key: SmolStr,
    },
}

/// Commits `txn` and, when the answer is lost, finds out what became of it.
///
/// A write without an answer may take effect later, so reading the old value
/// proves nothing. Sending the same transaction again does: whichever copy
/// comes second fails, because every written row has a condition and versions
/// only rise. A row created under condition 0 is the exception: once it is
/// deleted, a copy still under way could create it again. Whoever deletes such
/// rows waits longer than a write can be under way, or adds a condition on a
/// row that is never deleted.
///
/// Blocks for up to `budget.total` and one call.
///
/// # Errors
/// When a written row has no condition; nothing is sent then.
pub fn commit_with_retry(
    table: &impl Table,
    txn: &Txn,
    budget: &RetryLimits,
) -> Result<CommitStatus, RetryError> {
    let bases = bases(txn)?;
    let start = Instant::now();
    let mut in_doubt = false;
    for attempt in 0..budget.attempts {
        if attempt > 0 {
            std::thread::sleep(budget.pause);
            if start.elapsed() >= budget.total {
                break;
            }
        }
        match table.commit(txn) {
            Ok(TxnOutcome::Committed) => return Ok(CommitStatus::Committed),
            Ok(TxnOutcome::Conflict(rows)) if !in_doubt => {
                return Ok(CommitStatus::NotCommitted(rows));
            }
            Ok(TxnOutcome::Conflict(rows)) => return Ok(judge(table, txn, &bases, rows)),
            Err(TableError::Unavailable(_)) => {}
            Err(TableError::Unknown(_) | TableError::Protocol(_)) => in_doubt = true,
        }
    }
    if in_doubt {
        Ok(CommitStatus::Unknown)
    } else {
        Ok(CommitStatus::NotCommitted(Vec::new()))
    }
}

/// A written row and the version that the transaction demands of it.
struct Base<'a> {
    key: &'a SmolStr,
    version: RowVersion,
}

fn bases(txn: &Txn) -> Result<Vec<Base<'_>>, RetryError> {
    txn.writes
        .iter()
        .map(|write| base(txn, &write.key))
        .collect()
}

fn base<'a>(txn: &Txn, key: &'a SmolStr) -> Result<Base<'a>, RetryError> {
    match txn.conditions.iter().find(|c| c.key == *key) {
        Some(condition) => Ok(Base {
            key,
            version: condition.version,
        }),
        None => Err(RetryError::Unconditional {
            txn: txn.id.clone(),
            key: key.clone(),
        }),
    }
}

/// Judges a retry that conflicted after an attempt without an answer.
fn judge(table: &impl Table, txn: &Txn, bases: &[Base<'_>], rows: Vec<Row>) -> CommitStatus {
    let written = |row: &&Row| bases.iter().any(|base| *base.key == row.key);
    if rows.iter().filter(written).any(|row| row.txn == txn.id) {
        return CommitStatus::Committed;
    }
    let refuted = bases.iter().any(|base| {
        let row = rows.iter().find(|row| row.key == *base.key);
        // The version right after ours is another's: ours never was there.
        row.is_some_and(|row| row.version == base.version + 1)
    });
    if refuted || (never_again(&txn.conditions, &rows) && untouched(table, bases, &rows)) {
        return CommitStatus::NotCommitted(rows);
    }
    CommitStatus::Unknown
}

/// Whether a condition failed that can't come to hold again.
fn never_again(conditions: &[Condition], rows: &[Row]) -> bool {
    let passed = |c: &Condition| rows.iter().any(|r| r.key == c.key && r.version > c.version);
    conditions.iter().any(|c| c.version > 0 && passed(c))
}

/// Whether a written row still has the version from before, with all copies now void.
fn untouched(table: &impl Table, bases: &[Base<'_>], rows: &[Row]) -> bool {
    let in_conflict = |base: &Base<'_>| rows.iter().any(|row| row.key == *base.key);
    let mut candidates = bases
        .iter()
        .filter(|base| base.version > 0 && !in_conflict(base));
    candidates.any(|base| {
        let row = table.get(base.key).ok().flatten();
        row.is_some_and(|row| row.version == base.version)
    })
}
