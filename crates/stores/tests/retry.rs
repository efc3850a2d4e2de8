//! What a writer learns of a transaction whose answer was lost.

use std::time::Duration;

use eelgrassmill_stores::{
    CommitStatus, Condition, MemoryTable, RetryError, RetryLimits, Row, Table, TableError, Txn,
    TxnOutcome, Write, commit_with_retry,
};
use googletest::prelude::*;

fn txn(id: &str, key: &str, version: u64) -> Txn {
    Txn {
        id: id.into(),
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            key: key.into(),
            value: Some(id.to_owned()),
        }],
    }
}

fn budget(attempts: u32) -> RetryLimits {
    RetryLimits {
        total: Duration::from_secs(5),
        attempts,
        pause: Duration::ZERO,
    }
}

fn seeded() -> MemoryTable {
    let table = MemoryTable::new();
    table
        .commit(&txn("seed", "row", 0))
        .expect("an empty table takes it");
    table
}

#[gtest]
fn a_write_whose_answer_is_lost_counts_as_committed() {
    // The service makes the write, and the answer is lost on its way. A writer
    // that took this for a failure would write a second time.
    let table = seeded();
    table.lose_responses(1);
    expect_that!(
        commit_with_retry(&table, &txn("a", "row", 1), &budget(3)),
        ok(eq(&CommitStatus::Committed))
    );
    expect_that!(table.get("row").unwrap().unwrap().version, eq(2));
}

#[gtest]
fn a_late_first_copy_does_not_write_twice() {
    // The first copy waits within the service while the retry is made. When it
    // is applied at last, the row would move on with nobody expecting it.
    let table = seeded();
    table.delay_commits(1);
    expect_that!(
        commit_with_retry(&table, &txn("a", "row", 1), &budget(3)),
        ok(eq(&CommitStatus::Committed))
    );
    expect_that!(table.delayed(), eq(1));
    table.apply_delayed();
    expect_that!(table.get("row").unwrap().unwrap().version, eq(2));
}

#[gtest]
fn an_old_value_proves_nothing() {
    // Every copy of the write is parked, and the row shows its old value. The
    // writer must not conclude that it failed: it is applied in the end.
    let table = seeded();
    table.delay_commits(3);
    let settled = commit_with_retry(&table, &txn("a", "row", 1), &budget(3));
    expect_that!(table.get("row").unwrap().unwrap().txn.as_str(), eq("seed"));
    expect_that!(settled, ok(eq(&CommitStatus::Unknown)));
    table.apply_delayed();
    expect_that!(table.get("row").unwrap().unwrap().txn.as_str(), eq("a"));
}

/// Parks the first commit and lets another writer in before the retry.
struct Raced {
    table: MemoryTable,
    between: Vec<Txn>,
}

impl Table for Raced {
    fn get(&self, key: &str) -> std::result::Result<Option<Row>, TableError> {
        self.table.get(key)
    }

    fn scan(&self, prefix: &str) -> std::result::Result<Vec<Row>, TableError> {
        self.table.scan(prefix)
    }

    fn commit(&self, txn: &Txn) -> std::result::Result<TxnOutcome, TableError> {
        let answer = self.table.commit(txn);
        if answer.is_err() {
            for other in &self.between {
                self.table.commit(other).expect("no fault is left");
            }
        }
        answer
    }
}

#[gtest]
fn another_writer_at_the_next_version_proves_that_ours_failed() {
    let table = seeded();
    table.delay_commits(1);
    let raced = Raced {
        table,
        between: vec![txn("other", "row", 1)],
    };
    let settled = commit_with_retry(&raced, &txn("a", "row", 1), &budget(3)).unwrap();
    assert_that!(settled, pat!(CommitStatus::NotCommitted(len(eq(1)))));
    raced.table.apply_delayed();
    expect_that!(
        raced.table.get("row").unwrap().unwrap().txn.as_str(),
        eq("other")
    );
}

#[gtest]
fn a_row_overwritten_twice_leaves_the_writer_in_doubt() {
    // Ours may have been written and then overwritten by the next writer; the
    // row no longer shows it. Saying "failed" would be a guess.
    let table = seeded();
    table.lose_responses(1);
    let raced = Raced {
        table,
        between: vec![txn("other", "row", 2)],
    };
    let settled = commit_with_retry(&raced, &txn("a", "row", 1), &budget(3));
    expect_that!(settled, ok(eq(&CommitStatus::Unknown)));
}

#[gtest]
fn a_guard_that_moved_on_proves_that_ours_failed() {
    // A planner loses its lease row while its write is under way. The row to be
    // written still has its old version, and with the guard gone no copy of the
    // write can apply any more.
    let table = seeded();
    table.commit(&txn("seed", "guard", 0)).unwrap();
    table.delay_commits(1);
    let raced = Raced {
        table,
        between: vec![txn("other", "guard", 1)],
    };
    let mut guarded = txn("a", "row", 1);
    guarded.conditions.push(Condition {
        key: "guard".into(),
        version: 1,
    });
    let settled = commit_with_retry(&raced, &guarded, &budget(3)).unwrap();
    assert_that!(settled, pat!(CommitStatus::NotCommitted(len(eq(1)))));
    raced.table.apply_delayed();
    expect_that!(raced.table.get("row").unwrap().unwrap().version, eq(1));
}

#[gtest]
fn a_service_that_is_down_leaves_no_doubt() {
    let table = seeded();
    table.set_unavailable(true);
    let settled = commit_with_retry(&table, &txn("a", "row", 1), &budget(2));
    expect_that!(settled, ok(eq(&CommitStatus::NotCommitted(vec![]))));
    expect_that!(table.calls().1, eq(3));
}

#[gtest]
fn a_write_without_a_condition_is_refused_unsent() {
    let table = seeded();
    let mut bare = txn("a", "row", 1);
    bare.conditions.clear();
    let settled = commit_with_retry(&table, &bare, &budget(2));
    assert_that!(settled, err(pat!(RetryError::Unconditional { .. })));
    expect_that!(table.calls().1, eq(1));
}
