//! `config` as an operator uses it.

mod common;

use std::net::TcpListener;

use common::{Node, TOKEN, TempFile, program, ran, run};
use googletest::prelude::*;

const TEXT: &str =
    "[service chat]\nkind = model\nmodel = lm\nversion = v1\ngroups = 2\nhosts_per_group = 2\n";

#[gtest]
fn check_needs_no_node_and_tells_each_mistake_on_its_line() {
    let good = TempFile::new("check-good.ini", TEXT);
    let checked = run(&["config", "check", good.path()]);
    expect_that!(
        (checked.code, checked.out.as_str()),
        eq((Some(0), "ok: 1 services, 0 tenants\n"))
    );
    let bad = TempFile::new("check-bad.ini", &TEXT.replace("= 2", "= two"));
    let checked = run(&["config", "check", bad.path()]);
    expect_that!(checked.code, some(eq(2)));
    let path = bad.path();
    let line = |n, what: &str| format!("eelgrassmill: {path}:{n}: {what}\n");
    let first = line(
        5,
        "`groups = two` is invalid, expected a whole number from 0 to 1000",
    );
    let second = line(
        6,
        "`hosts_per_group = two` is invalid, expected a whole number from 1 to 64",
    );
    expect_that!(checked.err, eq(&format!("{first}{second}")));
    let missing = run(&["config", "check", "/nonexistent.ini"]);
    expect_that!(missing.code, some(eq(2)));
    expect_that!(
        missing.err,
        starts_with("eelgrassmill: /nonexistent.ini:1: can't be read")
    );
}

#[gtest]
fn a_shown_text_is_changed_compared_and_submitted() {
    let node = Node::start();
    let first = TempFile::new("submit-first.ini", TEXT);
    let without_base = node.run(&["config", "submit", first.path()]);
    expect_that!(without_base.code, some(eq(2)));
    expect_that!(without_base.err, contains_substring("--base"));
    let accepted = node.run(&["config", "submit", first.path(), "--base", "0"]);
    expect_that!(
        (accepted.code, accepted.out.as_str()),
        eq((Some(0), "accepted as version 1\n"))
    );

    let shown = node.run(&["config", "show"]).out;
    expect_that!(
        shown,
        eq(&format!("# eelgrassmill config version 1 by ada\n{TEXT}"))
    );
    let second = TempFile::new("submit-second.ini", &shown.replace("v1", "v2"));
    let compared = node.run(&["config", "diff", second.path()]).out;
    expect_that!(compared, eq("[service chat] version: v1 -> v2\n"));
    let accepted = node
        .run(&["config", "submit", second.path(), "--author", "bob"])
        .out;
    expect_that!(accepted, eq("accepted as version 2\n"));
    // The line that told the base is not part of the text.
    let shown = node.run(&["config", "show"]).out;
    expect_that!(shown.matches("# eelgrassmill").count(), eq(1));
    expect_that!(
        node.run(&["config", "show", "1"]).out,
        contains_substring("version = v1")
    );
    let log = node.run(&["config", "log"]).out;
    let authors: Vec<&str> = log
        .lines()
        .skip(1)
        .filter_map(|l| l.split_whitespace().nth(1))
        .collect();
    expect_that!(authors, eq(&vec!["bob", "ada"]));
    insta::assert_snapshot!(node.run(&["config", "status"]).out);
}

#[gtest]
fn waiting_for_every_node_ends_in_time() {
    let node = Node::start();
    let waited = node.run(&["config", "status", "--wait", "300ms"]);
    expect_that!(waited.code, some(eq(1)));
    expect_that!(waited.out, contains_substring("node-b"));
    expect_that!(
        waited.err,
        contains_substring("not in force at every node in time")
    );
    expect_that!(
        node.run(&["config", "status", "--wait", "soon"]).code,
        some(eq(2))
    );
}

/// Two operators start from the same version. The second one to submit must
/// not undo the first one's change without knowing it.
#[gtest]
fn the_later_of_two_operators_is_told_who_changed_what() {
    let node = Node::start();
    let file = TempFile::new("conflict.ini", TEXT);
    node.run(&["config", "submit", file.path(), "--base", "0"]);
    let bobs = TempFile::new("conflict-bob.ini", &TEXT.replace("v1", "v2"));
    node.run(&[
        "config",
        "submit",
        bobs.path(),
        "--base",
        "1",
        "--author",
        "bob",
    ]);
    let late = node.run(&["config", "submit", file.path(), "--base", "1"]);
    expect_that!(late.code, some(eq(1)));
    insta::assert_snapshot!(late.err);
}

/// The table commits, its answer is lost on the way, and the command asks
/// again. The operator must see one accepted version and no conflict.
#[gtest]
fn a_lost_answer_is_asked_for_again_under_the_same_id() {
    let node = Node::start();
    let file = TempFile::new("lost.ini", TEXT);
    *node.memory.lose_answers.lock().unwrap() = 1;
    let accepted = node.run(&["config", "submit", file.path(), "--base", "0"]);
    expect_that!(accepted.out, eq("already accepted as version 1\n"));
    expect_that!(accepted.code, some(eq(0)));
    *node.memory.lose_answers.lock().unwrap() = 9;
    let open = node.run(&[
        "config",
        "submit",
        file.path(),
        "--base",
        "1",
        "--id",
        "mine",
    ]);
    expect_that!(open.code, some(eq(1)));
    expect_that!(
        open.err,
        contains_substring("it may have been accepted: repeat it with --id mine")
    );
}

#[gtest]
fn a_submission_that_had_no_effect_is_not_called_open() {
    let node = Node::start();
    node.memory
        .down
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let file = TempFile::new("down.ini", TEXT);
    let refused = node.run(&["config", "submit", file.path(), "--base", "0"]);
    expect_that!(refused.code, some(eq(1)));
    expect_that!(
        refused.err,
        ends_with("it was not accepted, try again later\n")
    );
}

#[gtest]
fn the_next_admin_address_is_tried_when_one_does_not_answer() {
    let node = Node::start();
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let both = format!("{closed},{}", node.address());
    let shown = node.run(&["config", "status", "--admin", &both]);
    expect_that!(shown.code, some(eq(0)));
    let none = node.run(&["config", "status", "--admin", &closed.to_string()]);
    expect_that!(none.code, some(eq(1)));
    expect_that!(
        none.err,
        starts_with(format!("eelgrassmill: no answer from {closed}"))
    );
}

#[gtest]
fn a_wrong_token_is_refused_and_no_token_is_shown() {
    let node = Node::start();
    let file = TempFile::new("token", &format!("{TOKEN}\n"));
    let address = node.address().to_string();
    let by_file = ["groups", "--admin", &address, "--token-file", file.path()];
    expect_that!(run(&by_file).code, some(eq(0)));
    let wrong = ran(program()
        .args(["groups", "--admin", &address])
        .env("EELGRASSMILL_TOKEN", "some-other-secret"));
    expect_that!(wrong.code, some(eq(1)));
    expect_that!(
        wrong.err,
        eq("eelgrassmill: refused: the token is not this system's\n")
    );
    let newline = ran(program()
        .args(["groups", "--admin", &address])
        .env("EELGRASSMILL_TOKEN", "secret\nsecret"));
    expect_that!(newline.err, not(contains_substring("secret")));
}
