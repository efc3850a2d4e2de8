//! Events for a planner that this node may not have.

use std::time::Duration;

use googletest::prelude::*;

use crate::inbox::Inbox;

/// Six of seven nodes never plan, and hear of every lost replica. What they keep of it
/// would grow until the process is killed for its memory.
#[gtest]
fn nothing_is_kept_while_nobody_reads() {
    let inbox = Inbox::default();
    inbox.push(1);
    expect_that!(inbox.take(), is_empty());
    inbox.open();
    expect_that!(inbox.take(), is_empty());
    inbox.push(2);
    inbox.push(3);
    expect_that!(inbox.take(), elements_are![eq(&2), eq(&3)]);
    inbox.push(4);
    inbox.close();
    inbox.push(5);
    inbox.open();
    expect_that!(inbox.take(), is_empty());
}

/// An event comes between the reader's look and its wait. Missed, it would lie until the
/// next one, and a repair with it.
#[gtest]
#[tokio::test]
async fn an_event_before_the_wait_ends_it() {
    let inbox = Inbox::default();
    inbox.open();
    inbox.push(1);
    let waited = tokio::time::timeout(Duration::from_secs(5), inbox.changed()).await;
    expect_that!(waited.is_ok(), eq(true));
}
