//! Requests, streams and orders against stand-in targets and their faults.

mod common;

use std::time::{Duration, Instant};

use common::{
    Bench, Fail, LEAD, MEMBER, PLAIN, PROMPT, ask, completion, join, read_stream, request, wait_for,
};
use eelgrassmill_base::{OrderReply, Outcome};
use eelgrassmill_engine::{
    BodyError, SendError, StreamEvent, TargetClient, TargetError, TokenStream,
};
use eelgrassmill_standin::{RunEnd, expected_answer, expected_plain_answer, prefix_names};
use googletest::prelude::*;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_group_answers_whole_and_as_a_stream() {
    let bench = Bench::start();
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let answer = ask(&client, &lead, completion("r1", PROMPT, 12, false)).await;
    assert_that!(answer, eq(&Ok(expected_answer(PROMPT, 12))));
    let stream = client
        .send(&lead, completion("r2", PROMPT, 12, true))
        .await
        .unwrap();
    assert_that!(
        read_stream(stream).await,
        eq(&Ok(expected_answer(PROMPT, 12)))
    );
    let runs = bench.standins.runs(LEAD).unwrap();
    expect_that!(runs.by_request.len(), eq(2));
    expect_that!(
        runs.runs,
        each(field!(eelgrassmill_standin::Run.end, eq(&RunEnd::Whole)))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_goes_on_at_its_offset() {
    let bench = Bench::start();
    let mut req = completion("r1", PROMPT, 9, true);
    req.headers.insert("x-resume-from", 5.into());
    let stream = TargetClient::default()
        .send(&bench.address(LEAD), req)
        .await
        .unwrap();
    let rest = read_stream(stream).await.unwrap();
    assert_that!(
        expected_answer(PROMPT, 5) + &rest,
        eq(&expected_answer(PROMPT, 9))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn tokens_come_as_they_are_made() {
    // A stream that is gathered on its way comes all at once at its end, and a
    // caller stares at nothing for as long as the whole answer takes.
    let bench = Bench::with_token_time(Duration::from_millis(20));
    let client = TargetClient::default();
    let response = client
        .send(&bench.address(LEAD), completion("r1", PROMPT, 10, true))
        .await;
    let mut stream = TokenStream::new(response.unwrap());
    let mut times = Vec::new();
    while let StreamEvent::Token(_) = stream.next().await.unwrap() {
        times.push(Instant::now());
    }
    assert_that!(times.len(), eq(10));
    expect_that!(
        times[9].duration_since(times[0]),
        ge(Duration::from_millis(9 * 20 - 30))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_without_one_member_refuses_and_breaks_off() {
    // A member's host dies while its group streams. The group can't go on
    // without it: the stream ends without its marker, and the next request is
    // refused without being run.
    let bench = Bench::with_token_time(Duration::from_millis(5));
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let response = client
        .send(&lead, completion("r1", PROMPT, 10_000, true))
        .await
        .unwrap();
    let mut stream = TokenStream::new(response);
    stream.next().await.unwrap();
    bench.fault(MEMBER, "die");
    let end = loop {
        match stream.next().await {
            Ok(StreamEvent::Token(_)) => {}
            other => break other,
        }
    };
    expect_that!(end, err(pat!(BodyError::Cut(anything()))));
    let next = ask(&client, &lead, completion("r2", PROMPT, 1, false)).await;
    expect_that!(next, eq(&Err(Fail::Refused)));
    expect_that!(
        bench.standins.runs(LEAD).unwrap().by_request.get("r2"),
        none()
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_member_holds_nothing() {
    let bench = Bench::start();
    let member = bench.address(MEMBER);
    let before = bench.control.probe(&member).unwrap();
    bench.fault(MEMBER, "restart");
    wait_for("the member is back", || {
        bench
            .control
            .probe(&member)
            .is_ok_and(|r| r.incarnation > before.incarnation)
    });
    let after = bench.control.probe(&member).unwrap();
    expect_that!(
        (after.placement, after.ready, after.warm.len()),
        eq(&(None, false, 0))
    );
    let req = completion("r1", PROMPT, 1, false);
    let answer = ask(&TargetClient::default(), &bench.address(LEAD), req).await;
    expect_that!(answer, eq(&Err(Fail::Refused)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_taken_for_a_whole_one() {
    // The target's connection breaks within the answer. Half an answer that
    // looks whole would be shown to a guest as the full reply.
    let bench = Bench::start();
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    for switch in ["cut-after&n=40", "close-after-headers"] {
        bench.fault(LEAD, switch);
        let answer = ask(&client, &lead, completion("r1", PROMPT, 12, false)).await;
        expect_that!(
            answer,
            err(pat!(Fail::Body(pat!(BodyError::Cut(anything()))))),
            "{switch}"
        );
        let stream = client
            .send(&lead, completion("r2", PROMPT, 12, true))
            .await
            .unwrap();
        let answer = read_stream(stream).await;
        expect_that!(
            answer,
            err(pat!(Fail::Body(pat!(BodyError::Cut(anything()))))),
            "{switch}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_not_handed_out() {
    // The target mixes up two requests, or gives one answer twice. A caller
    // would read someone else's letter.
    let bench = Bench::start();
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    bench.fault(LEAD, "twice");
    let first = ask(&client, &lead, completion("r1", PROMPT, 3, false)).await;
    expect_that!(first, ok(anything()));
    let second = ask(&client, &lead, completion("r2", "other", 3, false)).await;
    expect_that!(
        second,
        err(pat!(Fail::Send(pat!(SendError::WrongId { .. }))))
    );
    bench.fault(LEAD, "twice&ms=0");
    bench.fault(LEAD, "wrong-id");
    let third = ask(&client, &lead, completion("r3", PROMPT, 3, false)).await;
    expect_that!(
        third,
        err(pat!(Fail::Send(pat!(SendError::WrongId { .. }))))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_stops_the_run() {
    let bench = Bench::with_token_time(Duration::from_millis(5));
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let response = client
        .send(&lead, completion("r1", PROMPT, 100_000, true))
        .await
        .unwrap();
    let mut stream = TokenStream::new(response);
    stream.next().await.unwrap();
    drop(stream);
    let waiting = client.send(&lead, completion("r2", PROMPT, 100_000, false));
    let waited = tokio::time::timeout(Duration::from_millis(100), waiting).await;
    expect_that!(waited, err(anything()));
    wait_for("both runs have stopped", || {
        let runs = bench.standins.runs(LEAD).unwrap().runs;
        runs.len() == 2 && runs.iter().all(|run| run.end == RunEnd::Stopped)
    });
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_target_is_not_run_and_a_dying_one_unknown() {
    // A request that reached the target before it died may have run: a refund
    // told "not run" then would be made twice.
    let bench = Bench::with_token_time(Duration::from_millis(20));
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let running = tokio::spawn({
        let (client, lead) = (client.clone(), lead.clone());
        async move {
            client
                .send(&lead, completion("r1", PROMPT, 1_000, false))
                .await
                .map(drop)
        }
    });
    wait_for("the run begins", || {
        !bench.standins.runs(LEAD).unwrap().runs.is_empty()
    });
    bench.fault(LEAD, "die");
    let broken = running.await.unwrap().unwrap_err();
    expect_that!(broken.outcome(), eq(Outcome::Unknown));
    let refused = client
        .send(&lead, completion("r2", PROMPT, 1, false))
        .await
        .map(drop);
    expect_that!(refused.unwrap_err().outcome(), eq(Outcome::NotRun));
    expect_that!(
        bench.control.probe(&lead),
        err(pat!(TargetError::NotSent(anything())))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_target_goes_on_as_if_nothing_had_happened() {
    // A paused host obeys, late, an order whose sender has long given up: the
    // sender must know that it may still arrive.
    let bench = Bench::start();
    bench.fault(LEAD, "pause&ms=1200");
    let late = bench
        .control
        .order(&bench.address(LEAD), &join(LEAD, 2, 2))
        .unwrap_err();
    expect_that!(late.may_have_arrived(), eq(true));
    wait_for("the late order is obeyed", || {
        let report = bench.control.probe(&bench.address(LEAD));
        report.is_ok_and(|r| r.placement.is_some_and(|p| p.epoch == 2))
    });
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_old_fence_is_refused_unless_the_target_ignores_fences() {
    let bench = Bench::start();
    let member = bench.address(MEMBER);
    bench.form(2, 7);
    let old = bench.control.order(&member, &join(MEMBER, 1, 6));
    expect_that!(old, ok(eq(&OrderReply::Fenced(7))));
    bench.fault(MEMBER, "ignore-fences");
    let old = bench.control.order(&member, &join(MEMBER, 1, 6));
    expect_that!(old, ok(pat!(OrderReply::Obeyed(anything()))));
    let orders = bench.standins.runs(MEMBER).unwrap().orders;
    let obeyed: Vec<bool> = orders.iter().map(|order| order.obeyed).collect();
    expect_that!(obeyed, eq(&vec![true, true, false, true]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killer_request_takes_its_group_down_and_no_other_host() {
    let bench = Bench::start();
    let lead = bench.address(LEAD);
    let killer = completion("r1", "please KILL-TARGET now", 4, false);
    let answer = ask(&TargetClient::default(), &lead, killer).await;
    expect_that!(
        answer,
        err(pat!(Fail::Send(pat!(SendError::Unknown(anything())))))
    );
    for host in [LEAD, MEMBER] {
        wait_for("a new start", || {
            bench
                .control
                .probe(&bench.address(host))
                .is_ok_and(|r| r.incarnation == 2)
        });
    }
    let spare = bench.control.probe(&bench.address("engine-2")).unwrap();
    expect_that!(spare.incarnation, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_counts_runs_by_key() {
    let bench = Bench::start();
    let (client, plain) = (TargetClient::default(), bench.address(PLAIN));
    for id in ["r1", "r2"] {
        let mut req = request(id, "/refunds/check", "{\"booking\":7}".to_owned());
        req.headers
            .insert("idempotency-key", http::HeaderValue::from_static("key-7"));
        let response = client.send(&plain, req).await.unwrap();
        let body = response.read_whole(1 << 16).await.unwrap();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        let expected = expected_plain_answer("{\"booking\":7}");
        expect_that!(body["answer"].as_str(), some(eq(expected.as_str())));
    }
    let runs = bench.standins.runs(PLAIN).unwrap();
    expect_that!(runs.by_key.get("key-7"), some(eq(&2)));
    expect_that!(runs.by_request.get("r1"), some(eq(&1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cache_events_come_late_and_name_the_beginnings_of_a_prompt() {
    let bench = Bench::start();
    let prompt = "0123456789abcdef".repeat(70);
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    ask(&client, &lead, completion("r1", &prompt, 1, false))
        .await
        .unwrap();
    expect_that!(
        bench.control.cache_events(&lead, 0).unwrap().events,
        is_empty()
    );
    let mut events = Vec::new();
    wait_for("the events are published", || {
        events = bench.control.cache_events(&lead, 0).unwrap().events;
        !events.is_empty()
    });
    let names: Vec<u64> = events.iter().map(|event| event.prefix).collect();
    expect_that!(names, eq(&prefix_names(&prompt)));
    expect_that!(names.len(), eq(3));
    let rest = bench.control.cache_events(&lead, 3).unwrap();
    expect_that!((rest.next, rest.events.len()), eq((4, 1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_request_breaks_off() {
    let bench = Bench::with_token_time(Duration::from_millis(5));
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let response = client
        .send(&lead, completion("r1", PROMPT, 100_000, true))
        .await
        .unwrap();
    let reading = tokio::spawn(read_stream(response));
    expect_that!(bench.control.cancel(&lead, "r1"), ok(eq(&true)));
    let end = reading.await.unwrap();
    expect_that!(end, err(pat!(Fail::Body(pat!(BodyError::Cut(anything()))))));
    expect_that!(bench.control.cancel(&lead, "r1"), ok(eq(&false)));
}
