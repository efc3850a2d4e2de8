//! Tests of the event queue.

use std::time::Duration;

use googletest::prelude::*;

use crate::inbox::Inbox;

/// Guards against unbounded memory growth at nodes that never run the planner but learn of every
/// lost replica.
#[gtest]
fn events_are_dropped_without_a_reader() {
    let inbox = Inbox::default();
    inbox.push(1);
    expect_that!(inbox.drain(), is_empty());
    inbox.open();
    expect_that!(inbox.drain(), is_empty());
    inbox.push(2);
    inbox.push(3);
    expect_that!(inbox.drain(), elements_are![eq(&2), eq(&3)]);
    inbox.push(4);
    inbox.close();
    inbox.push(5);
    inbox.open();
    expect_that!(inbox.drain(), is_empty());
}

/// Guards against a lost wakeup for an event between the reader's check and its wait, which would
/// delay a repair until the next event.
#[gtest]
#[tokio::test]
async fn an_event_before_the_wait_ends_the_wait() {
    let inbox = Inbox::default();
    inbox.open();
    inbox.push(1);
    let waited = tokio::time::timeout(Duration::from_secs(5), inbox.changed()).await;
    expect_that!(waited.is_ok(), eq(true));
}
