//! Tests of `commit_with_retry` when responses are lost or commits are delayed.

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

fn limits(attempts: u32) -> RetryLimits {
    RetryLimits {
        total: Duration::from_secs(5),
        attempts,
        pause: Duration::ZERO,
    }
}

fn table_with_row() -> MemoryTable {
    let table = MemoryTable::new();
    table
        .commit(&txn("seed", "row", 0))
        .expect("commit to an empty table");
    table
}

#[gtest]
fn a_write_whose_response_is_lost_counts_as_committed() {
    // The service applies the write but its response is lost. A writer that treats
    // this as a failure would write a second time.
    let table = table_with_row();
    table.lose_responses(1);
    expect_that!(
        commit_with_retry(&table, &txn("a", "row", 1), &limits(3)),
        ok(eq(&CommitStatus::Committed))
    );
    expect_that!(table.get("row").unwrap().unwrap().version, eq(2));
}

#[gtest]
fn a_delayed_first_copy_does_not_write_twice() {
    // The first copy is delayed within the service until after the retry. Applying
    // it would then change the row a second time.
    let table = table_with_row();
    table.delay_commits(1);
    expect_that!(
        commit_with_retry(&table, &txn("a", "row", 1), &limits(3)),
        ok(eq(&CommitStatus::Committed))
    );
    expect_that!(table.delayed(), eq(1));
    table.apply_delayed();
    expect_that!(table.get("row").unwrap().unwrap().version, eq(2));
}

#[gtest]
fn an_old_value_does_not_show_a_failed_write() {
    // Every copy of the write is delayed, so the row still has its old value. The
    // writer must not conclude that the write failed, because it is applied later.
    let table = table_with_row();
    table.delay_commits(3);
    let status = commit_with_retry(&table, &txn("a", "row", 1), &limits(3));
    expect_that!(table.get("row").unwrap().unwrap().txn.as_str(), eq("seed"));
    expect_that!(status, ok(eq(&CommitStatus::Unknown)));
    table.apply_delayed();
    expect_that!(table.get("row").unwrap().unwrap().txn.as_str(), eq("a"));
}

/// Commits the transactions of other writers after each failed commit, before the retry.
struct ConcurrentWrites {
    table: MemoryTable,
    others: Vec<Txn>,
}

impl Table for ConcurrentWrites {
    fn get(&self, key: &str) -> std::result::Result<Option<Row>, TableError> {
        self.table.get(key)
    }

    fn scan(&self, prefix: &str) -> std::result::Result<Vec<Row>, TableError> {
        self.table.scan(prefix)
    }

    fn commit(&self, txn: &Txn) -> std::result::Result<TxnOutcome, TableError> {
        let result = self.table.commit(txn);
        if result.is_err() {
            for other in &self.others {
                self.table.commit(other).expect("commit of another writer");
            }
        }
        result
    }
}

#[gtest]
fn another_write_at_the_next_version_means_not_committed() {
    let table = table_with_row();
    table.delay_commits(1);
    let contended = ConcurrentWrites {
        table,
        others: vec![txn("other", "row", 1)],
    };
    let status = commit_with_retry(&contended, &txn("a", "row", 1), &limits(3)).unwrap();
    assert_that!(status, pat!(CommitStatus::NotCommitted(len(eq(1)))));
    contended.table.apply_delayed();
    expect_that!(
        contended.table.get("row").unwrap().unwrap().txn.as_str(),
        eq("other")
    );
}

#[gtest]
fn a_row_overwritten_twice_leaves_the_outcome_unknown() {
    // Our write may have been applied and then overwritten by the next writer, and the
    // row no longer shows which.
    let table = table_with_row();
    table.lose_responses(1);
    let contended = ConcurrentWrites {
        table,
        others: vec![txn("other", "row", 2)],
    };
    let status = commit_with_retry(&contended, &txn("a", "row", 1), &limits(3));
    expect_that!(status, ok(eq(&CommitStatus::Unknown)));
}

#[gtest]
fn a_changed_lease_row_means_not_committed() {
    // A planner loses its lease row while its write is in flight. The row to be
    // written still has its old version, and since the condition on the lease row
    // can't hold again, no copy of the write can be applied.
    let table = table_with_row();
    table.commit(&txn("seed", "lease", 0)).unwrap();
    table.delay_commits(1);
    let contended = ConcurrentWrites {
        table,
        others: vec![txn("other", "lease", 1)],
    };
    let mut leased = txn("a", "row", 1);
    leased.conditions.push(Condition {
        key: "lease".into(),
        version: 1,
    });
    let status = commit_with_retry(&contended, &leased, &limits(3)).unwrap();
    assert_that!(status, pat!(CommitStatus::NotCommitted(len(eq(1)))));
    contended.table.apply_delayed();
    expect_that!(contended.table.get("row").unwrap().unwrap().version, eq(1));
}

#[gtest]
fn an_unavailable_service_means_not_committed() {
    let table = table_with_row();
    table.set_unavailable(true);
    let status = commit_with_retry(&table, &txn("a", "row", 1), &limits(2));
    expect_that!(status, ok(eq(&CommitStatus::NotCommitted(vec![]))));
    expect_that!(table.calls().1, eq(3));
}

#[gtest]
fn a_write_without_a_condition_is_rejected_before_sending() {
    let table = table_with_row();
    let mut unconditional = txn("a", "row", 1);
    unconditional.conditions.clear();
    let status = commit_with_retry(&table, &unconditional, &limits(2));
    assert_that!(status, err(pat!(RetryError::Unconditional { .. })));
    expect_that!(table.calls().1, eq(1));
}
