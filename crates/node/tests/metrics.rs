//! Metrics as Prometheus reads them.

use std::time::Duration;

use eelgrassmill_base::Urgency;
use eelgrassmill_node::{
    AdminRefusal, MAX_LABEL_VALUES, Metrics, Promise, RequestEnd, TableCall, TableResult,
};
use googletest::prelude::*;

fn lines(metrics: &Metrics, start: &str) -> Vec<String> {
    metrics
        .render()
        .lines()
        .filter(|l| l.starts_with(start))
        .map(str::to_owned)
        .collect()
}

#[gtest]
fn all_is_rendered_with_its_labels() {
    let metrics = Metrics::new().unwrap();
    metrics.promise_guarded(Promise::HostInOneGroup);
    metrics.add_group_downtime("chat", Duration::from_millis(1_500));
    metrics.add_group_downtime("chat", Duration::from_millis(500));
    metrics.add_stranded(8, Duration::from_millis(250));
    metrics.request_ended("baths", Urgency(0), RequestEnd::Answered);
    metrics.request_ended("baths", Urgency(3), RequestEnd::NotRun);
    metrics.waited(Urgency(0), Duration::from_millis(3));
    metrics.first_token(Urgency(0), Duration::from_millis(400));
    metrics.answered(Urgency(3), Duration::from_secs(3));
    metrics.table_call(TableCall::Commit, TableResult::Unknown);
    metrics.add_peer_bytes(70, 30);
    metrics.admin_refused(AdminRefusal::TokenWrong);
    metrics.set_groups(3, 1);
    metrics.set_config_version(7);
    let rendered = metrics.render();
    let kept: Vec<&str> = rendered
        .lines()
        .filter(|l| !l.contains("_bucket{"))
        .collect();
    insta::assert_snapshot!(kept.join("\n"));
}

#[gtest]
fn promises_are_there_before_anything_happens() {
    let metrics = Metrics::new().unwrap();
    let broken = lines(&metrics, "eelgrassmill_promise_broken_total{");
    expect_that!(broken.len(), eq(Promise::ALL.len()));
    expect_that!(broken, each(ends_with(" 0")));
}

/// A text names a new tenant for each campaign, thousands over the weeks. If
/// each became a time series, node and collector would run out of memory.
#[gtest]
fn labels_from_the_text_are_bounded() {
    let metrics = Metrics::new().unwrap();
    for i in 0..(MAX_LABEL_VALUES + 50) {
        metrics.request_ended(&format!("t{i}"), Urgency::DEFAULT, RequestEnd::Answered);
    }
    let series = lines(&metrics, "eelgrassmill_requests_total{");
    expect_that!(series.len(), eq(MAX_LABEL_VALUES + 1));
    expect_that!(
        series,
        contains(all![contains_substring("\"other\""), ends_with(" 50")])
    );
}
