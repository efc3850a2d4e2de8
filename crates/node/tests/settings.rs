//! What a settings file says, and what is said of a wrong one.

use std::io;
use std::net::SocketAddr;

use eelgrassmill_node::{Limits, Settings, Timing, TokenHash};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const TOKEN: &str = "correct-horse-battery";

const TEXT: &str = "\
[node]
id = node-a
region = r1
failure_domain = r1-fd1
[listen]
callers = 10.0.0.1:8000
admin = 10.0.0.1:8001
peers = 10.0.0.1:8002
[platform]
table = 10.0.1.1:80
weights = 10.0.1.2:80
[admin]
token_file = /run/token
[peers]
seeds = 10.0.0.2:8002, 10.0.0.3:8002
";

fn token_file(path: &str) -> io::Result<String> {
    match path {
        "/run/token" => Ok(format!("{TOKEN}\n")),
        "/run/short" => Ok("short".to_owned()),
        _ => Err(io::ErrorKind::NotFound.into()),
    }
}

fn errors(text: &str) -> String {
    Settings::parse(text, "node.ini", token_file)
        .expect_err("wrong settings")
        .to_string()
}

#[gtest]
fn defaults_fill_what_is_left_out() {
    let settings = Settings::parse(TEXT, "node.ini", token_file).unwrap();
    expect_that!(settings.node.as_str(), eq("node-a"));
    expect_that!(settings.platform.objects, eq(settings.platform.table));
    expect_that!(
        settings.platform.weights,
        eq("10.0.1.2:80".parse::<SocketAddr>().unwrap())
    );
    expect_that!(settings.timing, eq(&Timing::default()));
    expect_that!(settings.limits, eq(&Limits::default()));
    expect_that!(settings.seeds.len(), eq(2));
    expect_true!(settings.admin_token.matches(TOKEN));
    expect_false!(settings.admin_token.matches("correct-horse-batterz"));
}

#[gtest]
fn all_mistakes_are_told_with_their_lines() {
    let text = "\
[node]
id = node a
region = r1
zone = z
[listen]
callers = localhost:8000
admin = 0.0.0.0:8001
peers = 10.0.0.1:0
[admin]
token_file = /run/none
token_sha256 = 12
connections = 0
[timing]
probe_interval = 2s
lease_term = 10s
clock_margin = 6s
[log]
level = loud
[logs]
[node]
";
    insta::assert_snapshot!(errors(text));
}

#[gtest]
fn a_token_must_be_given_once_and_be_long_enough() {
    let without = TEXT.replace("token_file = /run/token", "");
    let short = TEXT.replace("/run/token", "/run/short");
    let two = TEXT.replace(
        "[peers]",
        &format!("token_sha256 = {}\n[peers]", "0".repeat(64)),
    );
    let same_port = TEXT.replace("8002\n[platform]", "8001\n[platform]");
    let all = [without, short, two, same_port]
        .map(|text| errors(&text))
        .join("\n");
    insta::assert_snapshot!(all);
}

#[gtest]
fn a_missing_file_is_told_in_the_usual_form() {
    let error = Settings::load("/nonexistent/node.ini")
        .unwrap_err()
        .to_string();
    expect_that!(error, starts_with("/nonexistent/node.ini:1: can't be read"));
}

#[gtest]
fn nothing_of_the_token_is_shown() {
    let settings = Settings::parse(TEXT, "node.ini", token_file).unwrap();
    let shown = format!("{settings:?}");
    expect_that!(shown, contains_substring("TokenHash(..)"));
    expect_that!(shown, not(contains_substring(TOKEN)));
    let hash = TokenHash::of(TOKEN);
    expect_that!(format!("{hash:?}"), eq("TokenHash(..)"));
}

#[gtest]
fn hashes_are_read_from_hexadecimal_digits_alone() {
    expect_that!(TokenHash::from_hex(&"0".repeat(64)), some(anything()));
    expect_that!(TokenHash::from_hex(&"0".repeat(63)), none());
    expect_that!(TokenHash::from_hex(&"é".repeat(32)), none());
    expect_that!(TokenHash::from_hex(&"+1".repeat(32)), none());
}

#[gtest]
fn no_text_makes_the_parser_panic() {
    let piece = prop_oneof![
        Just("[node]\n".to_owned()),
        Just("[listen]\ncallers = [::]:1\n".to_owned()),
        Just("[timing]\nlease_term = 1h\n".to_owned()),
        "[a-z\\[\\]=:;#\\\\ \r\n\t\u{0}é]{0,12}",
        any::<String>(),
    ];
    let text = prop::collection::vec(piece, 0..10).prop_map(|p| p.concat());
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let tested = runner.run(&text, |text| {
        prop_assert!(Settings::parse(&text, "f", token_file).is_err());
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}
