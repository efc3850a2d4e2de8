//! Which submissions are accepted, and what a node applies.

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

fn log_of(row: &CurrentRow) -> LogRow {
    LogRow {
        version: row.version,
        text: row.text.clone(),
        checksum: row.checksum.clone(),
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
    }
}

#[gtest]
fn the_first_text_becomes_version_1_if_no_row_is_there() {
    let decision = decide_submit(None, None, &submit("s1", 0, "ada", TEXT));
    let Decision::Accept(a) = decision else {
        panic!("{decision:?}")
    };
    expect_that!(a.version, eq(1));
    let keys: Vec<&str> = a.writes.iter().map(|w| w.key.as_str()).collect();
    expect_that!(keys, eq(&vec![CURRENT_KEY, HEAD_KEY, "config/log/001"]));
    expect_true!(a.writes.iter().all(|w| w.expected_version == Some(0)));
}

/// Versions come and go for months. Unless rows are used again, the log fills
/// the table; and unless their conditions stay true, one day nothing can be
/// accepted any more.
#[gtest]
fn acceptance_goes_on_and_the_log_stays_bounded() {
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
        // The same transaction again, as after a lost answer, has no effect.
        assert!(!rows.commit(&a.writes), "version {v} again");
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
fn the_row_version_seen_is_the_condition() {
    let row = accepted(None, &submit("s1", 0, "ada", TEXT));
    let decision = decide_submit(Some((77, &row)), None, &submit("s2", 1, "ada", TEXT));
    let Decision::Accept(a) = decision else {
        panic!("{decision:?}")
    };
    expect_that!(a.writes[0].expected_version, some(eq(77)));
    expect_that!(a.writes[1].expected_version, some(eq(77)));
}

/// Two operators change the text at the same moment. The one whose transaction
/// comes second must not undo the first one's change, and is told what it was.
#[gtest]
fn the_second_of_two_operators_is_told_who_changed_what() {
    let first = accepted(None, &submit("s1", 0, "ada", TEXT));
    let bobs = TEXT.replace("groups = 4", "groups = 5");
    let second = accepted(Some((1, &first)), &submit("s2", 1, "bob", &bobs));
    let late = submit("s3", 1, "ada", &TEXT.replace("weight = 3", "weight = 4"));
    let decision = decide_submit(Some((2, &second)), Some(&log_of(&first)), &late);
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

/// The table commits but its answer is lost, another operator's text follows,
/// and then the first one asks again. Calling that a conflict would make the
/// operator submit a change that is already in force.
#[gtest]
fn a_repeat_of_an_accepted_submission_says_which_version_it_became() {
    let first = accepted(None, &submit("s1", 0, "ada", TEXT));
    let second = accepted(Some((1, &first)), &submit("s2", 1, "bob", TEXT));
    let decision = decide_submit(Some((2, &second)), None, &submit("s1", 0, "ada", TEXT));
    expect_that!(decision, eq(&Decision::AlreadyAccepted(1)));
}

#[gtest]
fn remembered_submissions_are_bounded() {
    let mut row = accepted(None, &submit("s0", 0, "ada", TEXT));
    for i in 1..(MAX_RECENT_SUBMISSIONS as u64 + 10) {
        row = accepted(Some((i, &row)), &submit(&format!("s{i}"), i, "ada", TEXT));
    }
    expect_that!(row.recent.len(), eq(MAX_RECENT_SUBMISSIONS));
    // Out of memory and judged by its base alone: still not accepted twice.
    let again = decide_submit(Some((1, &row)), None, &submit("s0", 0, "ada", TEXT));
    expect_that!(again, matches_pattern!(Decision::Conflict(anything())));
}

#[gtest]
fn a_wrong_text_is_never_accepted() {
    let decision = decide_submit(None, None, &submit("s1", 0, "ada", "[fleet]\nrepair = x\n"));
    expect_that!(decision, matches_pattern!(Decision::Invalid(anything())));
}

/// A node that was cut off comes back and its peers, one of them behind, offer
/// what they have. Whatever the order, an operator never sees a version fall.
#[gtest]
fn versions_only_rise_at_a_node() {
    let offers = prop::collection::vec((0u64..6, any::<bool>()), 1..30);
    let tested = runner(6).run(&offers, |offers| {
        let mut node = AppliedConfig::empty();
        for (version, damaged) in offers {
            let text = format!("[tenant t]\ntoken_sha256 = {version:064x}\n");
            let sum = if damaged {
                checksum("other")
            } else {
                checksum(&text)
            };
            let before = node.version();
            let offered = node.apply(version, &text, &sum);
            prop_assert!(node.version() >= before);
            prop_assert_eq!(checksum(node.text()), node.checksum().clone());
            prop_assert_eq!(
                offered == Ok(ApplyOutcome::Applied { from: before }),
                !damaged && version > before
            );
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn what_a_node_refuses_leaves_its_text_in_force() {
    let mut node = AppliedConfig::empty();
    let sum = checksum(TEXT);
    expect_that!(
        node.apply(2, TEXT, &sum),
        ok(eq(&ApplyOutcome::Applied { from: 0 }))
    );
    expect_that!(node.apply(2, TEXT, &sum), ok(eq(&ApplyOutcome::Unchanged)));
    let stale = ApplyError::Stale {
        offered: 1,
        current: 2,
    };
    expect_that!(node.apply(1, TEXT, &sum), err(eq(&stale)));
    let half = &TEXT[..TEXT.len() / 2];
    expect_that!(
        node.apply(3, half, &sum),
        err(eq(&ApplyError::ChecksumMismatch(3)))
    );
    expect_that!(
        node.apply(2, "", &checksum("")),
        err(eq(&ApplyError::VersionConflict(2)))
    );
    let newer_keys = "[fleet]\nnovel = 1\n";
    let unread = node.apply(3, newer_keys, &checksum(newer_keys));
    expect_that!(
        unread,
        err(matches_pattern!(ApplyError::Invalid {
            version: eq(&3),
            ..
        }))
    );
    expect_that!(node.version(), eq(2));
    expect_that!(&**node.text(), eq(TEXT));
}
