//! Retries a commit whose response was lost and determines its outcome.

use std::time::{Duration, Instant};

use eelgrassmill_base::{RowVersion, value};
use smol_str::SmolStr;

use crate::{Condition, Row, Table, TableError, Txn, TxnOutcome};

value! {
    /// The outcome of a transaction after retries.
    pub enum CommitStatus {
        /// The writes were applied exactly once.
        Committed,
        /// The writes were not applied and never will be. Holds the rows whose condition
        /// failed; empty when the service was never reached.
        NotCommitted(Vec<Row>),
        /// The writes may have been applied, or may be applied later.
        Unknown,
    }

    /// Limits on the time and number of attempts.
    pub struct RetryLimits {
        /// Time after which no new attempt starts.
        pub total: Duration,
        /// Maximum number of attempts.
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

/// Why a transaction can't be retried safely and was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryError {
    /// A row is written without a condition on it, so a delayed copy of the
    /// transaction could write it a second time.
    #[error("transaction {txn} writes row {key} without a condition on it")]
    Unconditional {
        /// Id of the transaction.
        txn: SmolStr,
        /// Key of the row.
        key: SmolStr,
    },
}

/// Commits `txn`, retrying when a call fails, and determines its outcome when a
/// response was lost.
///
/// A write without a response may take effect later, so reading the old value
/// doesn't show that it failed. Sending the same transaction again does:
/// whichever copy arrives second fails, because every written row has a
/// condition and versions only increase. A row created under condition 0 is the
/// exception: once it is deleted, a copy still in flight could create it again.
/// A caller that deletes such rows must wait longer than a write can be in
/// flight, or add a condition on a row that is never deleted.
///
/// Blocks for up to `limits.total` plus the duration of one call.
///
/// # Errors
/// When a written row has no condition; nothing is sent.
pub fn commit_with_retry(
    table: &impl Table,
    txn: &Txn,
    limits: &RetryLimits,
) -> Result<CommitStatus, RetryError> {
    let expected_versions = expected_versions(txn)?;
    let start = Instant::now();
    let mut in_doubt = false;
    for attempt in 0..limits.attempts {
        if attempt > 0 {
            std::thread::sleep(limits.pause);
            if start.elapsed() >= limits.total {
                break;
            }
        }
        match table.commit(txn) {
            Ok(TxnOutcome::Committed) => return Ok(CommitStatus::Committed),
            Ok(TxnOutcome::Conflict(rows)) if !in_doubt => {
                return Ok(CommitStatus::NotCommitted(rows));
            }
            Ok(TxnOutcome::Conflict(rows)) => {
                return Ok(resolve_conflict(table, txn, &expected_versions, rows));
            }
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

/// A written row and the version that the transaction requires of it.
struct ExpectedVersion<'a> {
    key: &'a SmolStr,
    version: RowVersion,
}

fn expected_versions(txn: &Txn) -> Result<Vec<ExpectedVersion<'_>>, RetryError> {
    txn.writes
        .iter()
        .map(|write| expected_version(txn, &write.key))
        .collect()
}

fn expected_version<'a>(txn: &Txn, key: &'a SmolStr) -> Result<ExpectedVersion<'a>, RetryError> {
    match txn.conditions.iter().find(|c| c.key == *key) {
        Some(condition) => Ok(ExpectedVersion {
            key,
            version: condition.version,
        }),
        None => Err(RetryError::Unconditional {
            txn: txn.id.clone(),
            key: key.clone(),
        }),
    }
}

/// Determines the outcome when a retry conflicts after an attempt without a response.
fn resolve_conflict(
    table: &impl Table,
    txn: &Txn,
    expected_versions: &[ExpectedVersion<'_>],
    rows: Vec<Row>,
) -> CommitStatus {
    let written = |row: &&Row| {
        expected_versions
            .iter()
            .any(|expected| *expected.key == row.key)
    };
    if rows.iter().filter(written).any(|row| row.txn == txn.id) {
        return CommitStatus::Committed;
    }
    let superseded = expected_versions.iter().any(|expected| {
        let row = rows.iter().find(|row| row.key == *expected.key);
        // Another transaction wrote the next version, so ours was never applied.
        row.is_some_and(|row| row.version == expected.version + 1)
    });
    if superseded
        || (cannot_apply(&txn.conditions, &rows)
            && has_unwritten_row(table, expected_versions, &rows))
    {
        return CommitStatus::NotCommitted(rows);
    }
    CommitStatus::Unknown
}

/// Whether a condition failed that can never hold again, so that no copy can be applied.
fn cannot_apply(conditions: &[Condition], rows: &[Row]) -> bool {
    let exceeded = |c: &Condition| rows.iter().any(|r| r.key == c.key && r.version > c.version);
    conditions.iter().any(|c| c.version > 0 && exceeded(c))
}

/// Whether a written row still has its expected version, given that no copy can be
/// applied any more.
fn has_unwritten_row(
    table: &impl Table,
    expected_versions: &[ExpectedVersion<'_>],
    rows: &[Row],
) -> bool {
    let in_conflict =
        |expected: &ExpectedVersion<'_>| rows.iter().any(|row| row.key == *expected.key);
    let mut candidates = expected_versions
        .iter()
        .filter(|expected| expected.version > 0 && !in_conflict(expected));
    candidates.any(|expected| {
        let row = table.get(expected.key).ok().flatten();
        row.is_some_and(|row| row.version == expected.version)
    })
}
