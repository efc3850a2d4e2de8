//! How stand-in targets work: order of urgency, caches, loading, refusals.
//! The tests of routing rest on these.

mod common;

use std::time::{Duration, Instant};

use common::{Bench, Fail, LEAD, MEMBER, PLAIN, PROMPT, ask, completion, join, request, wait_for};
use eelgrassmill_base::{HostReport, OrderReply};
use eelgrassmill_engine::{HostControl, TargetClient, TargetRequest};
use eelgrassmill_standin::{HostSpec, Pace, Run, RunEnd, Standins, engine_specs};
use googletest::prelude::*;

/// Two engines with `slots` and `pace` that form the group of the tests.
fn group_of_two(slots: usize, pace: Pace, weight_bytes: u64) -> Bench {
    let hosts = engine_specs(2, 2).into_iter();
    let hosts = hosts.map(|spec: HostSpec| spec.pace(pace.clone()).slots(slots, 2));
    let standins = Standins::builder()
        .hosts(hosts)
        .weights("lake", "1", weight_bytes)
        .weight_rate(1 << 20)
        .start()
        .expect("stand-ins start");
    let bench = Bench {
        standins,
        control: HostControl::default(),
    };
    bench.form(1, 1);
    bench
}

fn pace(token_ms: u64, prefill_us: u64) -> Pace {
    Pace {
        token: Duration::from_millis(token_ms),
        prefill: Duration::from_micros(prefill_us),
        batch_permille: 0,
    }
}

fn runs(bench: &Bench, host: &str) -> Vec<Run> {
    bench.standins.runs(host).expect("a known host").runs
}

fn with_priority(mut req: TargetRequest, priority: &'static str) -> TargetRequest {
    req.headers
        .insert("priority", http::HeaderValue::from_static(priority));
    req
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_most_urgent_waiter_runs_next_and_a_full_queue_refuses() {
    let bench = group_of_two(1, pace(10, 0), 1);
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let spawn = |req: TargetRequest| {
        let (client, lead) = (client.clone(), lead.clone());
        tokio::spawn(async move { ask(&client, &lead, req).await })
    };
    let first = spawn(completion("first", PROMPT, 40, false));
    wait_for("the slot is taken", || runs(&bench, LEAD).len() == 1);
    let draft = spawn(with_priority(completion("draft", PROMPT, 1, false), "u=6"));
    wait_for("it waits", || bench.standins.waiting(LEAD) == Some(1));
    let urgent = spawn(with_priority(
        completion("urgent", PROMPT, 1, false),
        "i, u=0",
    ));
    wait_for("both wait", || bench.standins.waiting(LEAD) == Some(2));
    let refused = ask(&client, &lead, completion("fourth", PROMPT, 1, false)).await;
    expect_that!(refused, eq(&Err(Fail::Refused)));
    for waiting in [first, draft, urgent] {
        expect_that!(waiting.await.unwrap(), ok(anything()));
    }
    let order: Vec<String> = runs(&bench, LEAD)
        .iter()
        .map(|r| r.request.to_string())
        .collect();
    expect_that!(order, eq(&vec!["first", "urgent", "draft"]));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_known_beginning_shortens_the_time_to_the_first_token() {
    let bench = group_of_two(1, pace(1, 400), 1);
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    let prompt = "a long claim, ".repeat(147);
    let mut times = Vec::new();
    for id in ["cold", "warm"] {
        let start = Instant::now();
        ask(&client, &lead, completion(id, &prompt, 1, false))
            .await
            .unwrap();
        times.push(start.elapsed());
    }
    // 2,058 bytes are 515 tokens, of which all but 3 are known the second time.
    expect_that!(times[0], ge(Duration::from_millis(200)));
    expect_that!(times[1], lt(times[0] / 2));
}

#[gtest]
fn loading_takes_its_time_and_what_is_warm_is_ready_at_once() {
    let start = Instant::now();
    let bench = group_of_two(1, pace(1, 0), 100 << 10);
    // Two hosts load 100 KiB each at 1 MiB/s between them.
    expect_that!(start.elapsed(), ge(Duration::from_millis(150)));
    let member = bench.address(MEMBER);
    let reply = bench.control.order(&member, &join(MEMBER, 2, 2)).unwrap();
    let OrderReply::Obeyed(HostReport { ready, warm, .. }) = reply else {
        panic!("{reply:?}")
    };
    expect_that!(
        (ready, warm.as_slice()),
        eq((true, ["lake@1".into()].as_slice()))
    );
}

#[gtest]
fn a_plain_host_is_ready_without_a_placement() {
    let bench = Bench::start();
    let plain = bench.control.probe(&bench.address(PLAIN)).unwrap();
    expect_that!((plain.ready, plain.placement), eq(&(true, None)));
    let spare = bench.control.probe(&bench.address("engine-2")).unwrap();
    expect_that!(spare.ready, eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_engine_is_slow_by_its_factor() {
    let bench = Bench::with_token_time(Duration::from_millis(4));
    bench.fault(MEMBER, "slow&n=5");
    let start = Instant::now();
    let req = completion("r1", PROMPT, 10, false);
    ask(&TargetClient::default(), &bench.address(LEAD), req)
        .await
        .unwrap();
    expect_that!(start.elapsed(), ge(Duration::from_millis(200)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_or_is_leaving_says_so() {
    let bench = Bench::start();
    let (client, lead) = (TargetClient::default(), bench.address(LEAD));
    bench.fault(LEAD, "leaving");
    expect_that!(bench.control.probe(&lead).unwrap().leaving, eq(true));
    ask(&client, &lead, completion("r1", PROMPT, 1, false))
        .await
        .unwrap();
    expect_that!(runs(&bench, LEAD)[0].leaving_ms, some(anything()));
    bench.fault(LEAD, "refuse");
    let refused = ask(&client, &lead, completion("r2", PROMPT, 1, false)).await;
    expect_that!(refused, eq(&Err(Fail::Refused)));
    expect_that!(runs(&bench, LEAD).len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_another_epoch_or_to_another_member_is_refused() {
    let bench = Bench::start();
    let client = TargetClient::default();
    let mut stale = completion("r1", PROMPT, 1, false);
    stale.headers.insert("x-group-epoch", 9.into());
    let refused = ask(&client, &bench.address(LEAD), stale).await;
    expect_that!(refused, eq(&Err(Fail::Refused)));
    let to_member = completion("r2", PROMPT, 1, false);
    let refused = ask(&client, &bench.address(MEMBER), to_member).await;
    expect_that!(refused, eq(&Err(Fail::Refused)));
    expect_that!(runs(&bench, LEAD).len() + runs(&bench, MEMBER).len(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_plain_service_runs_a_call_that_nobody_waits_for() {
    // The service freezes with a refund in its socket. Its caller gives up, and
    // when the service goes on, the refund is made all the same.
    let bench = Bench::start();
    bench.fault(PLAIN, "pause&ms=400");
    let client = TargetClient::builder()
        .head_timeout(Duration::from_millis(100))
        .build();
    let req = request("r1", "/refunds", "{}".to_owned());
    let given_up = client.send(&bench.address(PLAIN), req).await.map(drop);
    expect_that!(given_up, err(anything()));
    expect_that!(runs(&bench, PLAIN), is_empty());
    wait_for("the call runs late", || {
        runs(&bench, PLAIN)
            .iter()
            .any(|run| run.end == RunEnd::Whole)
    });
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_refuses_repeats_runs_a_key_once() {
    let specs = [HostSpec::plain(PLAIN).refuses_repeats(true)];
    let standins = Standins::builder().hosts(specs).start().unwrap();
    let address = standins.address_of(PLAIN).unwrap();
    let client = TargetClient::default();
    let mut refusals = Vec::new();
    for id in ["r1", "r2"] {
        let mut req = request(id, "/refunds", "{}".to_owned());
        req.headers
            .insert("idempotency-key", http::HeaderValue::from_static("key-7"));
        refusals.push(client.send(address, req).await.unwrap().is_refusal());
    }
    expect_that!(refusals, eq(&vec![false, true]));
    expect_that!(standins.runs(PLAIN).unwrap().by_key["key-7"], eq(1));
}
