//! Tests of parsing valid texts and of the errors for invalid ones.

mod common;

use common::{TEXT, runner};
use eelgrassmill_config::{Config, ConfigErrors, MAX_TEXT_BYTES, ServiceKind};
use googletest::prelude::*;
use proptest::prelude::*;

fn errors(text: &str) -> String {
    Config::parse(text, "fleet.ini")
        .expect_err("an invalid text")
        .to_string()
}

#[gtest]
fn omitted_keys_have_defaults() {
    let config = Config::parse(TEXT, "fleet.ini").unwrap();
    let ServiceKind::Model(model) = &config.services["reply"].kind else {
        panic!("a model service")
    };
    expect_that!(model.floor, eq(3));
    expect_that!(model.urgent_slots, eq(4));
    expect_true!(config.services["reply"].repeatable);
    expect_false!(config.services["status"].repeatable);
    expect_true!(config.checks_orders("engine-1"));
    expect_false!(config.checks_orders("engine-2"));
    expect_true!(config.is_node_draining("node-a"));
}

#[gtest]
fn all_errors_are_reported_with_line_numbers() {
    let text = "\
weight = 1
[fleet]
repair = both
color = blue
[tenant a b]
[tenant a]
token_sha256 = 12
weight = 0
weight = 1
[service s]
kind = model
model = m
groups = 2
hosts_per_group = 65
floor = 3
slots = 4
urgent_slots = 4
targets = h1
[service t]
kind = plain
targets = h1, h1, h/2
timeout = 2 days
[service t]
[services u]
[service v]
kind = adapter
adapter = x # the formal one
[target h1
checks_orders
";
    insta::assert_snapshot!(errors(text));
}

#[gtest]
fn missing_references_and_cycles_are_reported() {
    let text = "\
[service a]
kind = plain
targets = h1
depends_on = b, ghost
[service b]
kind = plain
targets = h2
depends_on = c
[service c]
kind = plain
targets = h3
depends_on = a
[service d]
kind = adapter
base = a
adapter = x
[service e]
kind = plain
targets =
depends_on = e
[service f]
kind = model
model = m
version = v
groups = 1
hosts_per_group = 1
depends_on = g
[service g]
kind = adapter
base = f
adapter = x
";
    insta::assert_snapshot!(errors(text));
}

#[gtest]
fn tenants_cannot_share_a_token() {
    let token = "ab".repeat(32);
    let upper = token.to_uppercase();
    let text = format!("[tenant a]\ntoken_sha256 = {token}\n[tenant b]\ntoken_sha256 = {upper}\n");
    insta::assert_snapshot!(errors(&text));
}

#[gtest]
fn long_dependency_chain_parses_and_oversized_text_is_rejected() {
    let mut chain = String::from("[service s0]\nkind = plain\ntargets = h\n");
    for i in 1..2_000 {
        chain += &format!(
            "[service s{i}]\nkind = plain\ntargets = h\ndepends_on = s{}\n",
            i - 1
        );
    }
    expect_that!(Config::parse(&chain, "f"), ok(anything()));
    let oversized = "#".repeat(MAX_TEXT_BYTES + 1);
    insta::assert_snapshot!(errors(&oversized));
    let garbage = "garbage\n".repeat(10_000);
    let errors = Config::parse(&garbage, "f").unwrap_err();
    expect_that!(errors.as_slice().len(), eq(ConfigErrors::MAX_ERRORS));
}

#[gtest]
fn line_endings_indentation_and_colons_are_equivalent() {
    let text = TEXT.replace('\n', "\r\n  ").replace(" = ", ":");
    expect_that!(
        Config::parse(&text, "f").unwrap(),
        eq(&Config::parse(TEXT, "f").unwrap())
    );
}

#[gtest]
fn parser_never_panics() {
    let piece = prop_oneof![
        Just("[service s]\n".to_owned()),
        Just("kind = model\n".to_owned()),
        Just("kind = adapter\nbase = s\n".to_owned()),
        Just("depends_on = s, t\n".to_owned()),
        Just("groups = 99999999999999999999\n".to_owned()),
        Just("timeout = 18446744073709551615h\n".to_owned()),
        "[a-z\\[\\]=:;#\\\\\"' \r\n\t\u{0}\u{85}\u{feff}é]{0,12}",
        any::<String>(),
    ];
    let text = prop::collection::vec(piece, 0..12).prop_map(|p| p.concat());
    let tested = runner(1).run(&text, |text| {
        if let Err(e) = Config::parse(&text, "f") {
            let lines = text.split('\n').count();
            prop_assert!(
                e.as_slice().iter().all(|e| (1..=lines).contains(&e.line)),
                "{e}"
            );
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}
