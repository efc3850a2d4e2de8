//! The canonical text and what changed between two.

mod common;

use common::{TEXT, config, runner};
use eelgrassmill_config::{Config, canonical, checksum, diff};
use googletest::prelude::*;
use proptest::prelude::*;

#[gtest]
fn the_canonical_text_writes_every_key_out() {
    let config = Config::parse(TEXT, "f").unwrap();
    insta::assert_snapshot!(canonical(&config));
}

#[gtest]
fn parsing_the_canonical_text_gives_the_same_configuration() {
    let tested = runner(2).run(&config(), |c| {
        let again =
            Config::parse(&canonical(&c), "f").map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(&again, &c);
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn equal_configurations_have_no_difference_and_others_have_one() {
    let tested = runner(3).run(&(config(), config()), |(a, b)| {
        prop_assert_eq!(diff(&a, &b).is_empty(), a == b);
        prop_assert!(diff(&a, &a).is_empty());
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn differences_are_told_by_section_and_key_and_show_no_whole_token_hash() {
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
fn a_checksum_is_the_sha_256_of_the_text() {
    expect_that!(
        checksum("test").as_str(),
        eq("9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08")
    );
}
