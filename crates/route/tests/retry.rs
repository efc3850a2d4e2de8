//! Tests of retries and the retry budget.

use std::time::Duration;

use eelgrassmill_base::Outcome;
use eelgrassmill_route::*;
use googletest::prelude::*;

/// Guards against retry storms when all groups fail: without a budget the load would triple.
/// Retries are limited to a tenth of the requests plus the initial balance.
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

/// Guards against retrying a request that must not run twice and may have run, and against
/// retrying without a limit.
#[googletest::test]
fn only_repeatable_or_unrun_requests_are_retried() {
    let mut budget = RetryBudget::default();
    let tenant = "lindach".into();
    budget.deposit(&tenant);
    let mut retry = |outcome, repeatable, attempt| {
        may_retry(outcome, repeatable, attempt, &tenant, &mut budget)
    };
    expect_that!(
        retry(Outcome::Unknown, false, 1),
        err(eq(RetryDenied::NotRepeatable))
    );
    expect_that!(retry(Outcome::Unknown, true, 1), ok(anything()));
    expect_that!(retry(Outcome::NotRun, false, 1), ok(anything()));
    expect_that!(
        retry(Outcome::NotRun, true, MAX_ATTEMPTS),
        err(eq(RetryDenied::AttemptsExhausted))
    );
    expect_that!(
        retry(Outcome::Answered, true, 1),
        err(eq(RetryDenied::Answered))
    );
}

/// Guards against requests that fail at the same time being retried at the same time.
#[googletest::test]
fn backoff_is_jittered_and_bounded() {
    let mut rng = fastrand::Rng::with_seed(1);
    let waits: Vec<Duration> = (0..100).map(|_| backoff(2, &mut rng)).collect();
    expect_that!(waits.iter().max(), some(le(&Duration::from_millis(100))));
    expect_that!(waits.iter().max(), some(ge(&Duration::from_millis(80))));
    expect_that!(waits.iter().min(), some(le(&Duration::from_millis(20))));
    expect_that!(backoff(30, &mut rng), le(Duration::from_secs(2)));
}
