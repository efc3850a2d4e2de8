//! Tests of accepting submissions and of applying versions at a node.

mod common;

use common::rows::Rows;
use common::{TEXT, runner};
use eelgrassmill_config::{
    AppliedConfig, ApplyError, ApplyOutcome, CURRENT_KEY, CurrentRow, Decision, HEAD_KEY, HeadRow,
    LogRow, MAX_LOG_VERSIONS, MAX_RECENT_SUBMISSIONS, Submit, checksum, decide_submit, log_key,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn submit(id: &str, base: u64, author: &str, text: &str) -> Submit {
    Submit {
        id: id.into(),
        base,
        author: author.into(),
        text: text.into(),
    }
}

fn accepted(current: Option<(u64, &CurrentRow)>, submit: &Submit) -> CurrentRow {
    match decide_submit(current, None, submit) {
        Decision::Accept(a) => a.current,
        other => panic!("{other:?}"),
    }
}

fn to_log_row(row: &CurrentRow) -> LogRow {
    LogRow {
        version: row.version,
        text: row.text.clone(),
        checksum: row.checksum.clone(),
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
    }
}

#[gtest]
fn first_submission_becomes_version_1() {
    let decision = decide_submit(None, None, &submit("s1", 0, "ada", TEXT));
    let Decision::Accept(a) = decision else {
        panic!("{decision:?}")
    };
    expect_that!(a.version, eq(1));
    let keys: Vec<&str> = a.writes.iter().map(|w| w.key.as_str()).collect();
    expect_that!(keys, eq(&vec![CURRENT_KEY, HEAD_KEY, "config/log/001"]));
    expect_true!(a.writes.iter().all(|w| w.expected_version == Some(0)));
}

/// Log rows are overwritten cyclically. Without that the log would grow without
/// bound; with a wrong row version as the condition, every submission after the
/// first cycle would fail.
#[gtest]
fn log_is_bounded_and_submissions_after_its_wraparound_are_accepted() {
    let mut rows = Rows::default();
    let last = 2 * MAX_LOG_VERSIONS + 3;
    for v in 1..=last {
        let current: Option<(u64, CurrentRow)> = rows.read(CURRENT_KEY);
        let current = current.as_ref().map(|(version, row)| (*version, row));
        let submit = submit(&format!("s-{v}"), v - 1, "ada", TEXT);
        let Decision::Accept(a) = decide_submit(current, None, &submit) else {
            panic!("version {v}");
        };
        assert!(rows.commit(&a.writes), "version {v}");
        // Resending the same transaction, as after a lost response, has no effect.
        assert!(!rows.commit(&a.writes), "version {v} resent");
    }
    expect_that!(rows.len(), eq(MAX_LOG_VERSIONS as usize + 2));
    let head: HeadRow = rows.read(HEAD_KEY).unwrap().1;
    expect_that!((head.version, head.checksum), eq(&(last, checksum(TEXT))));
    let oldest = last - MAX_LOG_VERSIONS + 1;
    let kept: LogRow = rows.read(&log_key(oldest)).unwrap().1;
    expect_that!(kept.version, eq(oldest));
    let reused: LogRow = rows.read(&log_key(oldest - 1)).unwrap().1;
    expect_that!(reused.version, eq(last));
}

#[gtest]
fn acceptance_is_conditional_on_the_row_version_read() {
    let row = accepted(None, &submit("s1", 0, "ada", TEXT));
    let decision = decide_submit(Some((77, &row)), None, &submit("s2", 1, "ada", TEXT));
    let Decision::Accept(a) = decision else {
        panic!("{decision:?}")
    };
    expect_that!(a.writes[0].expected_version, some(eq(77)));
    expect_that!(a.writes[1].expected_version, some(eq(77)));
}

/// Of two concurrent submissions the later one must not revert the change of the
/// earlier one; the conflict reports that change.
#[gtest]
fn conflict_reports_authors_and_changes() {
    let first = accepted(None, &submit("s1", 0, "ada", TEXT));
    let changed = TEXT.replace("groups = 4", "groups = 5");
    let second = accepted(Some((1, &first)), &submit("s2", 1, "bob", &changed));
    let late = submit("s3", 1, "ada", &TEXT.replace("weight = 3", "weight = 4"));
    let decision = decide_submit(Some((2, &second)), Some(&to_log_row(&first)), &late);
    let Decision::Conflict(c) = decision else {
        panic!("{decision:?}")
    };
    expect_that!(c.version, eq(2));
    expect_that!(c.by.len(), eq(1));
    expect_that!(c.by[0].author.as_str(), eq("bob"));
    let changes: Vec<String> = c.changes.unwrap().iter().map(ToString::to_string).collect();
    expect_that!(
        changes,
        elements_are![
            eq("[service reply] groups: 4 -> 5"),
            eq("[service reply] floor: 3 -> 4")
        ]
    );
}

/// The response to an accepted submission is lost, another submission is accepted
/// and the first one is retried. Reporting a conflict would make the operator
/// submit a change that is already accepted.
#[gtest]
fn retry_of_an_accepted_submission_returns_its_version() {
    let first = accepted(None, &submit("s1", 0, "ada", TEXT));
    let second = accepted(Some((1, &first)), &submit("s2", 1, "bob", TEXT));
    let decision = decide_submit(Some((2, &second)), None, &submit("s1", 0, "ada", TEXT));
    expect_that!(decision, eq(&Decision::AlreadyAccepted(1)));
}

#[gtest]
fn recent_submissions_are_bounded() {
    let mut row = accepted(None, &submit("s0", 0, "ada", TEXT));
    for i in 1..(MAX_RECENT_SUBMISSIONS as u64 + 10) {
        row = accepted(Some((i, &row)), &submit(&format!("s{i}"), i, "ada", TEXT));
    }
    expect_that!(row.recent.len(), eq(MAX_RECENT_SUBMISSIONS));
    // No longer listed, the retry conflicts by its base: not accepted twice.
    let retry = decide_submit(Some((1, &row)), None, &submit("s0", 0, "ada", TEXT));
    expect_that!(retry, matches_pattern!(Decision::Conflict(anything())));
}

#[gtest]
fn invalid_text_is_rejected() {
    let decision = decide_submit(None, None, &submit("s1", 0, "ada", "[fleet]\nrepair = x\n"));
    expect_that!(decision, matches_pattern!(Decision::Invalid(anything())));
}

/// A node reconnects after a network partition and receives versions from its
/// peers, some stale or damaged. In any order, the applied version never decreases.
#[gtest]
fn applied_version_never_decreases() {
    let received = prop::collection::vec((0u64..6, any::<bool>()), 1..30);
    let tested = runner(6).run(&received, |received| {
        let mut node = AppliedConfig::empty();
        for (version, damaged) in received {
            let text = format!("[tenant t]\ntoken_sha256 = {version:064x}\n");
            let sum = if damaged {
                checksum("other")
            } else {
                checksum(&text)
            };
            let before = node.version();
            let result = node.apply(version, &text, &sum);
            prop_assert!(node.version() >= before);
            prop_assert_eq!(checksum(node.text()), node.checksum().clone());
            prop_assert_eq!(
                result == Ok(ApplyOutcome::Applied { from: before }),
                !damaged && version > before
            );
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn rejected_version_leaves_the_applied_text_unchanged() {
    let mut node = AppliedConfig::empty();
    let sum = checksum(TEXT);
    expect_that!(
        node.apply(2, TEXT, &sum),
        ok(eq(&ApplyOutcome::Applied { from: 0 }))
    );
    expect_that!(node.apply(2, TEXT, &sum), ok(eq(&ApplyOutcome::Unchanged)));
    let stale = ApplyError::Stale {
        received: 1,
        current: 2,
    };
    expect_that!(node.apply(1, TEXT, &sum), err(eq(&stale)));
    let truncated = &TEXT[..TEXT.len() / 2];
    expect_that!(
        node.apply(3, truncated, &sum),
        err(eq(&ApplyError::ChecksumMismatch(3)))
    );
    expect_that!(
        node.apply(2, "", &checksum("")),
        err(eq(&ApplyError::VersionConflict(2)))
    );
    let unknown_key = "[fleet]\nnovel = 1\n";
    let invalid = node.apply(3, unknown_key, &checksum(unknown_key));
    expect_that!(
        invalid,
        err(matches_pattern!(ApplyError::Invalid {
            version: eq(&3),
            ..
        }))
    );
    expect_that!(node.version(), eq(2));
    expect_that!(&**node.text(), eq(TEXT));
}
