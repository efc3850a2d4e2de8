//! Tests of the canonical text, checksums and diffs.

mod common;

use common::{TEXT, config, runner};
use eelgrassmill_config::{Config, canonical, checksum, diff};
use googletest::prelude::*;
use proptest::prelude::*;

#[gtest]
fn canonical_text_contains_every_key() {
    let config = Config::parse(TEXT, "f").unwrap();
    insta::assert_snapshot!(canonical(&config));
}

#[gtest]
fn canonical_text_round_trips() {
    let tested = runner(2).run(&config(), |c| {
        let parsed =
            Config::parse(&canonical(&c), "f").map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(&parsed, &c);
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn diff_is_empty_only_for_equal_configurations() {
    let tested = runner(3).run(&(config(), config()), |(a, b)| {
        prop_assert_eq!(diff(&a, &b).is_empty(), a == b);
        prop_assert!(diff(&a, &a).is_empty());
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn diff_lists_sections_and_keys_and_truncates_token_hashes() {
    let old = Config::parse(TEXT, "f").unwrap();
    let new = TEXT
        .replace("version = v1", "version = v2")
        .replace("9f86", "0000")
        .replace("base = reply\n", "base = reply\nrepeatable = no\n")
        .replace("[node node-a]", "[node node-b]");
    let changes = diff(&old, &Config::parse(&new, "f").unwrap());
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn checksum_is_the_sha_256_of_the_text() {
    expect_that!(
        checksum("test").as_str(),
        eq("9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08")
    );
}
