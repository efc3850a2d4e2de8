//! Reading calls, whatever arrives.

use eelgrassmill_timeline::Query;
use googletest::prelude::*;
use http::{Method, Request};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

use super::call::Call;
use super::handler::admit;
use crate::admin_token::TokenHash;

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

#[gtest]
fn no_path_or_query_makes_the_reader_panic() {
    let path = prop_oneof![
        Just("/admin/v1/timeline".to_owned()),
        Just("/admin/v1/config".to_owned()),
        any::<String>(),
    ];
    let query = prop_oneof![
        "(since|limit|group|version)=[0-9a-z%+/]{0,25}(&.{0,9})?",
        any::<String>()
    ];
    let tested = runner(1).run(&(path, query), |(path, query)| {
        if let Ok(Call::Timeline(wanted)) = Call::read(&Method::GET, &path, &query) {
            prop_assert!(wanted.limit() <= eelgrassmill_timeline::MAX_LIMIT);
        }
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn no_header_lets_a_caller_in_but_the_token() {
    let token = TokenHash::of("correct-horse-battery");
    let header = prop_oneof![
        "Bearer .{0,30}",
        "(bearer|Basic|) ?correct-horse.{0,9}",
        any::<String>()
    ];
    let tested = runner(2).run(&header, |header| {
        let Ok(value) = http::HeaderValue::from_str(&header) else {
            return Ok(());
        };
        let req = Request::builder()
            .uri("/admin/v1/groups")
            .header("authorization", value);
        let (head, ()) = req.body(()).expect("a request").into_parts();
        prop_assert!(admit(&head, &token).is_err(), "{header}");
        Ok(())
    });
    expect_that!(tested, ok(anything()));
}

#[gtest]
fn a_question_to_the_time_line_is_read_as_it_is_written() {
    let query = "since=17&group=chat/0&host=engine-1&request=q-1&node=node-a&limit=20000";
    let wanted = Query {
        since_ms: Some(17),
        group: Some("chat/0".into()),
        host: Some("engine-1".into()),
        request: Some("q-1".into()),
        node: Some("node-a".into()),
        limit: Some(20_000),
    };
    let read = Call::read(&Method::GET, "/admin/v1/timeline", query);
    expect_that!(read, ok(eq(&Call::Timeline(wanted))));
}
