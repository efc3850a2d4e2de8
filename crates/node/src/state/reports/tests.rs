use std::time::{Duration, Instant};

use eelgrassmill_base::{HostReport, Placement};
use googletest::prelude::*;

use super::Reports;

fn report(incarnation: u64, fence: u64, group: Option<&str>) -> HostReport {
    HostReport {
        host: "h1".into(),
        incarnation,
        placement: group.map(|group| Placement {
            group: group.into(),
            epoch: fence,
            model: "lm".into(),
            version: "1".into(),
            members: vec!["h1".into()],
        }),
        ready: group.is_some(),
        fence,
        leaving: false,
        running: 0,
        warm: Vec::new(),
    }
}

fn placed(reports: &Reports) -> bool {
    reports
        .get("h1")
        .is_some_and(|a| a.report.placement.is_some())
}

/// A probe leaves for a host while an order to join is on its way there, and is
/// served first. Its answer comes last and says that the host belongs to nothing.
/// Callers would be refused by a group that is whole, until the next probe.
#[gtest]
fn an_answer_from_before_an_order_does_not_undo_it() {
    let reports = Reports::new();
    let order = Instant::now();
    let probe = order + Duration::from_millis(1);
    reports.put(report(1, 7, Some("a/0")), order);
    reports.put(report(1, 6, None), probe);
    expect_that!(placed(&reports), eq(true));
}

/// The same, with the probe's answer first: the order's counts from then on.
#[gtest]
fn an_order_counts_although_a_later_probe_was_answered_before() {
    let reports = Reports::new();
    let order = Instant::now();
    let probe = order + Duration::from_millis(1);
    reports.put(report(1, 6, None), probe);
    reports.put(report(1, 7, Some("a/0")), order);
    expect_that!(placed(&reports), eq(true));
    expect_that!(reports.get("h1").map(|a| a.sent > probe), some(eq(true)));
}

/// A host restarts and has lost its fencing number with all else. What its start
/// before had answered must not count any more.
#[gtest]
fn a_restarted_host_starts_anew() {
    let reports = Reports::new();
    let now = Instant::now();
    reports.put(report(1, 7, Some("a/0")), now);
    reports.put(report(2, 0, None), now + Duration::from_millis(1));
    expect_that!(placed(&reports), eq(false));
    reports.put(report(1, 7, Some("a/0")), now + Duration::from_millis(2));
    expect_that!(placed(&reports), eq(false));
}
