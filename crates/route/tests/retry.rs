//! Retries and their budget.

use std::time::Duration;

use eelgrassmill_base::Outcome;
use eelgrassmill_route::*;
use googletest::prelude::*;

/// Every group fails at once. Retries without a bound would triple the load just then;
/// the budget holds them to a tenth of the requests, after what was saved up.
#[googletest::test]
fn retries_stay_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let (greedy, quiet) = ("greedy".into(), "quiet".into());
    let mut retried = 0;
    for _ in 0..1000 {
        budget.deposit(&greedy);
        retried += u32::from(may_retry(Outcome::NotRun, false, 1, &greedy, &mut budget).is_ok());
    }
    expect_that!(retried, le(110));
    expect_that!(retried, ge(100));
    budget.deposit(&quiet);
    expect_that!(
        may_retry(Outcome::NotRun, false, 1, &quiet, &mut budget),
        ok(anything())
    );
}

/// A refund check gets no answer. Whether it ran is unknown, so it isn't sent again,
/// while a draft is; and nothing is tried for ever.
#[googletest::test]
fn only_what_may_run_again_is_retried() {
    let mut budget = RetryBudget::default();
    let tenant = "lindach".into();
    budget.deposit(&tenant);
    let mut ask = |outcome, repeatable, attempt| {
        may_retry(outcome, repeatable, attempt, &tenant, &mut budget)
    };
    expect_that!(
        ask(Outcome::Unknown, false, 1),
        err(eq(RetryDenied::NotRepeatable))
    );
    expect_that!(ask(Outcome::Unknown, true, 1), ok(anything()));
    expect_that!(ask(Outcome::NotRun, false, 1), ok(anything()));
    expect_that!(
        ask(Outcome::NotRun, true, MAX_ATTEMPTS),
        err(eq(RetryDenied::AttemptsExhausted))
    );
    expect_that!(
        ask(Outcome::Answered, true, 1),
        err(eq(RetryDenied::Answered))
    );
}

/// Many requests fail in one instant; their retries must not arrive in one instant.
#[googletest::test]
fn backoff_is_spread_and_bounded() {
    let mut rng = fastrand::Rng::with_seed(1);
    let waits: Vec<Duration> = (0..100).map(|_| backoff(2, &mut rng)).collect();
    expect_that!(waits.iter().max(), some(le(&Duration::from_millis(100))));
    expect_that!(waits.iter().max(), some(ge(&Duration::from_millis(80))));
    expect_that!(waits.iter().min(), some(le(&Duration::from_millis(20))));
    expect_that!(backoff(30, &mut rng), le(Duration::from_secs(2)));
}
