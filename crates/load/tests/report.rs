//! How a result looks, as a table and as JSON.

use std::collections::BTreeMap;

use eelgrassmill_load::{Counts, Quantiles, Report, ReportRow, RunChecks};
use googletest::prelude::*;

fn quantiles(p50_ms: f64) -> Quantiles {
    Quantiles {
        count: 40,
        p50_ms,
        p95_ms: p50_ms * 2.0,
        p99_ms: p50_ms * 3.0,
        max_ms: p50_ms * 4.0,
    }
}

fn row(tenant: &str, class: &str) -> ReportRow {
    let counts = Counts {
        sent: 50,
        unsent: 3,
        whole: 40,
        not_run: 6,
        unknown: 2,
        wrong: 0,
        cut: 2,
        retries: 5,
        moved: 1,
        useful_tokens: 800,
        failures: BTreeMap::from([
            ("429 queue is full".into(), 6),
            ("answer cut off".into(), 2),
            ("no entry reached".into(), 2),
        ]),
    };
    ReportRow {
        tenant: tenant.into(),
        class: class.into(),
        counts,
        first_token: quantiles(12.5),
        between_tokens: quantiles(2.0),
        whole_answer: quantiles(250.0),
    }
}

fn report() -> Report {
    Report {
        scenario: "lindach".into(),
        seed: 11,
        seconds: 10.0,
        rows: vec![row("front-desk", "thanks")],
        all: row("all", "all"),
        checks: Some(RunChecks {
            keys: 20,
            double_runs: 0,
            false_not_run: 0,
        }),
        fault_errors: vec!["kill of entry-0: nobody here keeps the entries".to_owned()],
    }
}

#[gtest]
fn the_table_shows_ends_times_and_checks() {
    insta::assert_snapshot!(report());
}

#[gtest]
fn the_json_holds_every_count() {
    insta::assert_snapshot!(report().to_json().unwrap());
}

#[gtest]
fn a_wrong_answer_or_a_second_run_breaks_a_promise() {
    expect_that!(report().promises_kept(), eq(true));
    let mut wrong = report();
    wrong.all.counts.wrong = 1;
    expect_that!(wrong.promises_kept(), eq(false));
    let mut twice = report();
    twice.checks = Some(RunChecks {
        double_runs: 1,
        ..RunChecks::default()
    });
    expect_that!(twice.promises_kept(), eq(false));
    let mut lied = report();
    lied.checks = Some(RunChecks {
        false_not_run: 1,
        ..RunChecks::default()
    });
    expect_that!(lied.promises_kept(), eq(false));
}
