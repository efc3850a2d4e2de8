//! Targets that answer wrongly: what a caller gets is whole and its own, or is seen not to be.

mod util;

use eelgrassmill_standin::expected_answer;
use util::{Cluster, completion, eventually, text};

fn one_group() -> (Cluster, String) {
    let cluster = Cluster::start(2, 2);
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let lead = cluster.serving(0)[0].1[0].clone();
    (cluster, lead)
}

/// Whether an answer is either whole and right, or an error that says so.
fn is_honest(answer: &util::Answer, prompt: &str, tokens: u64) -> bool {
    match answer.status {
        200 => answer.json()["choices"][0]["text"] == expected_answer(prompt, tokens),
        _ => !answer.outcome().is_empty(),
    }
}

/// The engine's process loses its connection half way through an answer, as
/// when a cable is pulled. A guest would read a letter that stops in mid
/// sentence and take it for the council's reply.
#[test]
fn a_cut_answer_is_never_given_as_whole() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "cut-after", "&n=120");
    let answer = cluster.complete(0, "cut me off", 200);
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"));
    // Far enough for some tokens to have reached the caller.
    cluster.fault(&lead, "cut-after", "&n=2000");
    let body = completion("cut my stream off", 200, true);
    let raw = cluster.raw(0, "/v1/completions", &[], &body);
    assert_eq!(raw.status(), 200);
    assert!(!raw.tokens().is_empty() && !raw.ended);
    cluster.mend(&lead);
    // The fault cut the answers to probes too, so the group may be formed anew.
    let answer = cluster.complete(0, "honest", 20);
    assert!(is_honest(&answer, "honest", 20), "{}", answer.text);
    eventually("whole answers again", || {
        let answer = cluster.complete(0, "whole again", 20);
        answer.status == 200 && is_honest(&answer, "whole again", 20)
    });
}

/// An engine that was stuck gives the answer to an earlier request on a
/// connection that is used for the next one. The trustee would read another
/// client's status.
#[test]
fn an_answer_with_another_requests_id_is_not_handed_on() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "wrong-id", "");
    let answer = cluster.complete(0, "whose is this", 10);
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"));
}

/// The engine answers for the group as it was before it was formed anew: with
/// weights and a cache of members that are gone.
#[test]
fn an_answer_from_another_epoch_is_not_handed_on() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "wrong-epoch", "");
    let answer = cluster.complete(0, "which group is this", 10);
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"));
}

/// The engine gives an earlier answer once more in place of the next one.
#[test]
fn a_doubled_answer_reaches_nobody_else() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "twice", "");
    for i in 0..6 {
        let prompt = format!("letter {i}");
        let answer = cluster.complete(i % 2, &prompt, 10);
        assert!(is_honest(&answer, &prompt, 10), "{}", answer.text);
    }
}

/// The engine sends the head of an answer and closes, with neither length nor
/// end. A client that reads to the end of the connection would see an empty answer.
#[test]
fn a_close_after_the_head_is_an_error() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "close-after-headers", "");
    let answer = cluster.complete(0, "nothing follows", 10);
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"));
}

/// The target says that it refuses and has not run the request. The caller is
/// told so, at once and with the time to come back, and it is true.
#[test]
fn a_refusal_is_told_as_not_run() {
    let (cluster, lead) = one_group();
    cluster.fault(&lead, "refuse", "");
    let answer = cluster.complete(0, "refuse me", 10);
    assert_eq!((answer.status, answer.outcome().as_str()), (503, "not-run"));
    assert!(answer.retry_after.is_some());
    assert!(cluster.engine_runs().is_empty());
}

/// A plain service dies while it runs a refund that must not be repeated. The
/// call may have run: it is told as unknown, and the repeat with the same key
/// is told so too and never runs.
#[test]
fn a_refund_that_may_have_run_is_not_run_again() {
    let (cluster, _) = one_group();
    eventually("the plain service serves", || {
        cluster
            .caller(0, "/services/booking/ready", &[], "ping")
            .status
            == 200
    });
    cluster.fault("plain-0", "cut-after", "&n=10");
    let key = [("idempotency-key", "refund-cut")];
    let answer = cluster.caller(0, "/services/booking/refund", &key, "room 9");
    assert_eq!((answer.status, answer.outcome().as_str()), (502, "unknown"));
    cluster.mend("plain-0");
    for i in [0, 1] {
        let again = cluster.caller(i, "/services/booking/refund", &key, "room 9");
        assert_eq!((again.status, again.outcome().as_str()), (502, "unknown"));
    }
    let runs = cluster.standins.runs("plain-0").unwrap();
    assert_eq!(runs.by_key.get("refund-cut"), Some(&1));
}
