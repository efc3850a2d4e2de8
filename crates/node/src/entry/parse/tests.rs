use eelgrassmill_base::{Outcome, Urgency};
use googletest::prelude::*;
use http::{Method, Request, Uri};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{Route, model_call, route, wishes};

fn fixed(seed: u64) -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed(1))]

    /// Whatever a caller sends, it is a call within its limits or a refusal that
    /// says that nothing ran.
    #[test]
    fn a_body_is_a_call_or_not_run(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        match model_call(&body) {
            Ok(call) => prop_assert!(call.max_tokens > 0 && !call.service.is_empty()),
            Err(problem) => prop_assert_eq!(problem.outcome(), Outcome::NotRun),
        }
    }

    /// The same for bodies that are nearly right.
    #[test]
    fn a_nearly_right_body_is_a_call_or_not_run(
        model in "[a-z]{0,3}",
        field in "prompt|messages|max_tokens|stream|other",
        value in "null|true|-1|0|7|1e99|\"\"|\"text\"|\\[\\]|\\[\\{\"content\":\"a\"\\}\\]|\\{\\}",
    ) {
        let body = format!(r#"{{"model":"{model}","{field}":{value}}}"#);
        match model_call(body.as_bytes()) {
            Ok(call) => prop_assert!(call.max_tokens > 0 && call.service == model.as_str()),
            Err(problem) => prop_assert_eq!(problem.outcome(), Outcome::NotRun),
        }
    }

    /// Headers that policy reads are understood within their limits or refused.
    #[test]
    fn headers_are_understood_or_refused(
        priority in "(u=)?[0-9a-z, =.-]{0,8}",
        timeout in "[0-9eE+.naif-]{0,8}",
        key in "[ -~]{0,220}",
    ) {
        let req = Request::builder()
            .header("priority", priority)
            .header("x-request-timeout", timeout)
            .header("idempotency-key", key)
            .body(())
            .expect("plain text headers");
        match wishes(&req.into_parts().0) {
            Ok(wishes) => {
                prop_assert!(wishes.urgency <= Urgency(7));
                let secs = wishes.timeout.expect("it was given").as_secs_f64();
                prop_assert!(secs > 0.0 && secs <= 3600.0);
                prop_assert!(wishes.key.is_some_and(|k| !k.is_empty() && k.len() <= 200));
            }
            Err(problem) => prop_assert_eq!(problem.outcome(), Outcome::NotRun),
        }
    }

    /// A path leads to a service that is named, or to a refusal.
    #[test]
    fn a_path_is_a_route_or_refused(path in "/[a-z0-9/%?=&.]{0,40}") {
        let Ok(uri) = path.parse::<Uri>() else { return Ok(()) };
        match route(&Method::POST, &uri) {
            Ok(Route::Plain { service, path }) => {
                prop_assert!(!service.is_empty() && path.starts_with('/'));
            }
            Ok(_) => {}
            Err(problem) => prop_assert_eq!(problem.outcome(), Outcome::NotRun),
        }
    }
}

/// A caller that gives a header twice leaves open which one it meant; taking
/// either would run its request otherwise than asked.
#[gtest]
fn a_doubled_header_is_refused() {
    let req = Request::builder()
        .header("idempotency-key", "a")
        .header("idempotency-key", "b")
        .body(())
        .expect("a request");
    let refused = wishes(&req.into_parts().0).err();
    expect_that!(refused.map(|p| p.outcome()), some(eq(Outcome::NotRun)));
}
