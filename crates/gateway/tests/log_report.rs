//! Reports extracted from logs.

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
fn a_requests_report_includes_its_replicas_events() {
    let report = reader().report(&Subject::Request("q1".to_owned()));
    expect_that!(report.len(), eq(4));
    expect_that!(
        report[0],
        starts_with("21:06:02.955 node-b attempt after=4")
    );
    expect_that!(report[1], starts_with("21:06:03.005 node-a replica-lost"));
    expect_that!(report[2], contains_substring("outcome=cut"));
    // The order was minutes later and isn't related; the torn line is counted as unreadable.
    expect_that!(report[3], eq("1 lines could not be read"));
}

#[gtest]
fn a_hosts_report_includes_lines_that_list_it_as_silent() {
    let report = reader().report(&Subject::Host("h-9".to_owned()));
    expect_that!(report[0], contains_substring("replica-lost"));
}

#[gtest]
fn the_report_on_an_unknown_request_lists_the_logs_that_were_read() {
    let report = reader().report(&Subject::Request("q9".to_owned()));
    expect_that!(report[0], contains_substring("Logs read: node-a, node-b"));
}
