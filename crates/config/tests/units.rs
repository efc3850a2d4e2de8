//! Durations as settings have them.

use std::time::Duration;

use eelgrassmill_config::parse_duration;
use googletest::prelude::*;

/// Guards against a node that doesn't start because a number is written with a fraction.
#[gtest]
fn durations_may_have_fractions() {
    let millis = |text| parse_duration(text).map(|d| d.as_millis());
    let table = [
        "4.5s",
        "8.0s",
        "0.25s",
        "1.5ms",
        "0.0005s",
        "1.23456789012345m",
    ]
    .map(millis);
    let parsed = [4500, 8000, 250, 1, 0, 74_074].map(Some);
    expect_that!(table, eq(parsed));
    let wrong = [
        "", "s", ".5s", "4.s", "4.5", "4.5.1s", "-1s", "4,5s", "1e3s",
    ]
    .map(millis);
    expect_that!(wrong, each(none()));
    expect_that!(parse_duration("18446744073709551615.5h"), none());
    expect_that!(parse_duration("10s"), some(eq(Duration::from_secs(10))));
}
