//! Telling what logs say of one request.

use eelgrassmill_gateway::{LogReader, Subject};
use googletest::prelude::*;

const LOG: &str = r#"
node-a {"timestamp":"2026-05-03T21:06:03.005590Z","level":"INFO","event":"replica-lost","replica":"r1-2","epoch":7,"silent":"[\"h-9\"]","running":4}
node-b {"timestamp":"2026-05-03T21:06:02.955000Z","level":"INFO","event":"attempt","request":"q1","host":"h-1","replica":"r1-2","epoch":7,"outcome":"broken","why":"its replica was lost","after":"4"}
node-b {"timestamp":"2026-05-03T21:06:05.100000Z","level":"INFO","event":"request","request":"q1","outcome":"cut","why":"full"}
node-b {"timestamp":"2026-05-03T21:06:04.000000Z","level":"INFO","event":"request","request":"q2","outcome":"late"}
node-a {"timestamp":"2026-05-03T21:09:00.000000Z","level":"INFO","event":"order","order":"leave","host":"h-1","replica":"r1-2","epoch":7,"outcome":"done"}
node-b {"timestamp":"2026-05-03T21:06:0
"#;

fn reader() -> LogReader {
    let mut reader = LogReader::default();
    for line in LOG.lines() {
        reader.push("file", line);
    }
    reader
}

#[gtest]
fn a_request_is_told_with_what_happened_to_its_replica() {
    let told = reader().report(&Subject::Request("q1".to_owned()));
    expect_that!(told.len(), eq(4));
    expect_that!(told[0], starts_with("21:06:02.955 node-b attempt after=4"));
    expect_that!(told[1], starts_with("21:06:03.005 node-a replica-lost"));
    expect_that!(told[2], contains_substring("outcome=cut"));
    // The order came minutes later and belongs to another story; the torn line is told.
    expect_that!(told[3], eq("1 lines could not be read"));
}

#[gtest]
fn a_host_is_told_by_name_and_among_the_silent() {
    let told = reader().report(&Subject::Host("h-9".to_owned()));
    expect_that!(told[0], contains_substring("replica-lost"));
}

#[gtest]
fn an_unknown_request_says_which_logs_were_read() {
    let told = reader().report(&Subject::Request("q9".to_owned()));
    expect_that!(told[0], contains_substring("Logs read: node-a, node-b"));
}
