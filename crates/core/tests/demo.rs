//! The README's first command, as a newcomer runs it.

mod common;

use common::run;
use googletest::prelude::*;
use serde_json::Value;

const TENANTS: [&str; 3] = ["front-desk", "complaints", "portal"];

fn is_address(value: &Value) -> bool {
    let address = value.as_str().map(str::parse::<std::net::SocketAddr>);
    matches!(address, Some(Ok(_)))
}

/// Checks the line from which a person's own client learns where everything is.
fn check_description(told: &Value) {
    let nodes = told["nodes"].as_array().expect("nodes");
    expect_that!(nodes.len(), eq(3));
    for node in nodes {
        expect_true!(is_address(&node["entry"]) && is_address(&node["admin"]));
    }
    expect_true!(told["admin_token"].is_string());
    expect_that!(told["tenant_tokens"].as_array().map(Vec::len), some(eq(3)));
    let standins = &told["standins"];
    expect_true!(is_address(&standins["platform"]["address"]));
    expect_true!(standins["platform"]["faults"]["down"].is_string());
    let targets = standins["targets"].as_array().expect("targets");
    expect_that!(targets.len(), eq(8));
    for target in targets {
        expect_true!(is_address(&target["host"]["address"]));
        expect_true!(target["faults"]["die"].is_string());
    }
}

/// The numbers of the row that begins with these two words, after them.
fn row(out: &str, tenant: &str) -> Vec<f64> {
    let line = out.lines().find(|l| l.starts_with(tenant));
    let words = line.unwrap_or_default().split_whitespace().skip(2);
    words.filter_map(|w| w.parse().ok()).collect()
}

/// A changed spelling of one key in the demonstration's own texts once broke the
/// first command that the README tells a newcomer to run, and no test saw it.
#[gtest]
fn the_demonstration_shows_a_death_and_a_repair_and_no_broken_promise() {
    let shown = run(&["demo"]);
    expect_that!(shown.code, some(eq(0)), "{}\n{}", shown.out, shown.err);
    let first = shown.out.lines().next().unwrap_or_default();
    check_description(&serde_json::from_str(first).expect("JSON in the first line"));

    let dead = shown
        .out
        .lines()
        .find_map(|l| l.split_once(" died half way"));
    let (dead, _) = dead.expect("the host that died");
    let serving = shown.out.lines().filter(|l| l.starts_with("serving: "));
    let serving: Vec<&str> = serving.collect();
    expect_that!(serving.len(), ge(2), "{}", shown.out);
    expect_that!(serving, each(not(contains_substring(dead))));
    for event in ["group-broken", "group-forming", "group-whole"] {
        expect_that!(shown.out, contains_substring(event));
    }
    for tenant in TENANTS {
        let counts = row(&shown.out, tenant);
        expect_that!(counts.first(), some(gt(&0.0)), "{tenant} sent");
        expect_that!(counts.get(1), some(gt(&0.0)), "{tenant} whole");
        expect_that!(counts.get(4), some(eq(&0.0)), "{tenant} wrong");
    }
    for line in [
        "group downtime, from the start: ",
        "stranded accelerator-seconds: ",
    ] {
        expect_that!(shown.out, contains_substring(line));
    }
}
