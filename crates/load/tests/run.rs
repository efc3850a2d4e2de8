//! What a run counts, against an entry that answers well and badly.

mod common;

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use common::Entry;
use eelgrassmill_load::{Counts, EntryFault, LoadError, Report, RunChecks, Scenario, Targets, run};
use eelgrassmill_standin::{Standins, plain_specs};
use googletest::prelude::*;

fn scenario(mark: &str, more: &str) -> Scenario {
    let text = format!(
        "[scenario]\nname = test\nseconds = 0.5\npatience = 2\n\
         [tenant baths]\ntoken = t\n\
         [class review]\nservice = reviews\nrates = baths:100\ntokens = 4-8\nmark = {mark}\n{more}"
    );
    Scenario::parse(&text).expect("a good scenario")
}

fn run_against(entry: &Entry, scenario: &Scenario) -> Report {
    let entries = vec![entry.address.as_str().into()];
    run(
        scenario,
        &Targets {
            entries,
            ..Targets::default()
        },
    )
    .expect("it runs")
}

fn counts(mark: &str, more: &str) -> Counts {
    run_against(&Entry::start(), &scenario(mark, more))
        .all
        .counts
}

#[gtest]
fn whole_answers_and_streams_count_as_whole() {
    for more in ["", "stream = yes\n", "api = call\npath = check\n"] {
        let counts = counts("", more);
        expect_that!(counts.sent, gt(20));
        expect_that!(counts.whole, eq(counts.sent), "{more}");
    }
}

#[gtest]
fn another_answer_and_a_short_one_with_an_end_count_as_wrong() {
    // An entry passes on someone else's answer, or half a stream with its end
    // marker. A reader can't tell; the load must.
    for (mark, more) in [("DO-WRONG", ""), ("DO-SHORT", "stream = yes\n")] {
        let counts = counts(mark, more);
        expect_that!(counts.wrong, all![gt(0), eq(counts.sent)], "{mark}");
    }
}

#[gtest]
fn a_stream_without_its_end_counts_as_cut() {
    let counts = counts("DO-CUT", "stream = yes\n");
    expect_that!(counts.cut, all![gt(0), eq(counts.sent)]);
}

#[gtest]
fn refusals_count_as_what_they_say_and_are_tried_again_as_told() {
    let refused = counts("DO-REFUSE", "retries = 2\n");
    expect_that!(refused.not_run, all![gt(0), eq(refused.sent)]);
    expect_that!(refused.retries, eq(2 * refused.sent));
    let doubtful = counts("DO-DOUBT", "");
    expect_that!((doubtful.unknown, doubtful.retries), eq((doubtful.sent, 0)));
    expect_that!(
        doubtful.failures.get("503 without a reason"),
        some(eq(&doubtful.sent))
    );
}

#[gtest]
fn a_caller_keeps_the_addresses_it_was_told() {
    let entry = Entry::start();
    let report = run_against(&entry, &scenario("", ""));
    expect_that!(report.all.counts.sent, gt(20));
    // Four callers, one service; a few requests of each may ask at the same moment.
    expect_that!(
        entry.asked_for_addresses.load(Ordering::Relaxed),
        all![ge(4), le(12)]
    );
}

#[gtest]
fn an_entry_that_is_gone_is_not_run_and_seen_at_once() {
    let entry = Entry::start();
    let gone = entry.address.clone();
    drop(entry);
    let targets = Targets {
        entries: vec![gone.into()],
        ..Targets::default()
    };
    let counts = run(&scenario("", ""), &targets)
        .expect("it runs")
        .all
        .counts;
    expect_that!(counts.not_run, all![gt(0), eq(counts.sent)]);
    expect_that!(counts.moved, eq(counts.sent));
    let none = run(&scenario("", ""), &Targets::default());
    expect_that!(none, err(pat!(LoadError::NoEntries)));
}

#[gtest]
fn faults_reach_their_keeper_or_are_reported() {
    let entry = Entry::start();
    let (tx, rx) = mpsc::channel();
    let faults = "[fault one]\nat = 0.1\ntarget = entry-0\nname = kill\nfor = 2\n\
                  [fault two]\nat = 0.2\ntarget = engine-0\nname = die\n";
    let targets = Targets {
        entries: vec![entry.address.as_str().into()],
        entry_faults: Some(tx),
        ..Targets::default()
    };
    let report = run(&scenario("", faults), &targets).expect("it runs");
    let fault = EntryFault {
        entry: 0,
        name: "kill".into(),
        time: Some(Duration::from_secs(2)),
    };
    expect_that!(rx.try_recv(), ok(eq(&fault)));
    expect_that!(
        report.fault_errors,
        elements_are![contains_substring("die of engine-0")]
    );
}

#[gtest]
fn the_same_seed_sends_the_same_requests() {
    let sent = |seed: u64| {
        let mut scenario = scenario("", "");
        scenario.seed = seed;
        let report = run_against(&Entry::start(), &scenario);
        (report.all.counts.sent, report.all.counts.useful_tokens)
    };
    let first = sent(7);
    expect_that!(sent(7), eq(first));
    expect_that!(sent(8), not(eq(first)));
}

/// Runs keyed calls through an entry before a stand-in service.
fn keyed(mark: &str) -> Report {
    let standins = Standins::builder()
        .hosts(plain_specs(1))
        .start()
        .expect("stand-ins start");
    let target = standins.address_of("plain-0").expect("it runs").to_owned();
    let entry = Entry::before(Some(target));
    let targets = Targets {
        entries: vec![entry.address.as_str().into()],
        control: Some(standins.control_address().into()),
        ..Targets::default()
    };
    let scenario = scenario(mark, "api = call\nat_most_once = yes\n");
    run(&scenario, &targets).expect("it runs")
}

#[gtest]
fn the_targets_say_whether_a_key_ran_once() {
    // An entry sends a refund twice, or tells its caller "not run" of one that
    // ran. No caller can see that; the target's own count shows it.
    let well = keyed("");
    let sent = well.all.counts.sent;
    expect_that!(well.all.counts.whole, eq(sent));
    let checks = RunChecks {
        keys: sent,
        double_runs: 0,
        false_not_run: 0,
    };
    expect_that!(well.checks, some(eq(checks)));
    expect_that!(
        keyed("DO-TWICE").checks,
        some(eq(RunChecks {
            double_runs: sent,
            ..checks
        }))
    );
    expect_that!(
        keyed("DO-LIE").checks,
        some(eq(RunChecks {
            false_not_run: sent,
            ..checks
        }))
    );
}

#[gtest]
fn faults_are_switched_at_the_stand_ins() {
    let standins = Standins::builder()
        .hosts(plain_specs(1))
        .start()
        .expect("stand-ins start");
    let entry = Entry::start();
    let targets = Targets {
        entries: vec![entry.address.as_str().into()],
        control: Some(standins.control_address().into()),
        ..Targets::default()
    };
    let fault = |name: &str| format!("[fault one]\nat = 0.1\ntarget = plain-0\nname = {name}\n");
    let good = run(&scenario("", &fault("die")), &targets).expect("it runs");
    expect_that!(good.fault_errors, is_empty());
    let address = standins.address_of("plain-0").expect("it was there");
    expect_that!(std::net::TcpStream::connect(address), err(anything()));
    let bad = run(&scenario("", &fault("explode")), &targets).expect("it runs");
    expect_that!(
        bad.fault_errors,
        elements_are![contains_substring("no fault of this name")]
    );
}
