//! Targets that are leaving: nothing new begins there, and what runs there ends whole.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::time::{Duration, Instant};

use eelgrassmill_standin::{RunEnd, engine_specs, expected_answer};
use util::load::{Called, check_honest, under_load};
use util::observe::{observe, report};
use util::{Answer, Cluster, TENANT_TOKEN, call, completion, eventually, text};

const NODES: usize = 2;
/// How long after the word that a target is leaving work may still begin there.
const FEW_SECONDS: Duration = Duration::from_secs(4);
/// Longest time of a short call while there is always a group that takes it; without
/// one, calls wait for the replacement.
const NO_WAIT: Duration = Duration::from_millis(900);
/// Tokens of a request that runs for longer than the hand-over takes.
const LONG: u64 = 2_500;

/// One group, and spares that hold the weights and are free.
fn group_and_spares() -> Cluster {
    let cluster = Cluster::of(NODES, engine_specs(4, 4));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let members = cluster.serving(0)[0].1.clone();
    eventually("the spares are warm", || {
        let hosts = cluster.standins.host_entries();
        let mut spares = hosts
            .iter()
            .filter(|h| h.id.starts_with("engine") && !members.iter().any(|m| *m == h.id));
        spares.all(|h| {
            let report = report(h.address.parse().unwrap());
            report.is_some_and(|r| r.placement.is_none() && !r.warm.is_empty())
        })
    });
    cluster
}

fn two_plain(text: &str) -> String {
    text.replace("targets = plain-0", "targets = plain-0, plain-1")
}

/// How many requests began at `host` so far.
fn begun(cluster: &Cluster, host: &str) -> usize {
    cluster.standins.runs(host).unwrap().runs.len()
}

/// Waits until `time` after `from`; gives how long after it the last request began at `host`.
fn last_begin(cluster: &Cluster, host: &str, from: Instant, time: Duration) -> Duration {
    let (mut known, mut last) = (begun(cluster, host), Duration::ZERO);
    eventually("the span is over", || {
        let now = begun(cluster, host);
        if now > known {
            (known, last) = (now, from.elapsed());
        }
        from.elapsed() > time
    });
    last
}

/// Starts a long request, has `leave` say that the lead is leaving, and looks on.
fn engine_leaves(leave: impl FnOnce(&Cluster, &str)) {
    let cluster = group_and_spares();
    let lead = cluster.serving(0)[0].1[0].clone();
    let ((calls, last), seen) = observe(&cluster, |_| {
        let ((long, last), calls) = under_load(&cluster, || {
            std::thread::scope(|scope| {
                let long = scope.spawn(|| cluster.complete(0, "a long letter", LONG));
                eventually("it runs", || {
                    let runs = cluster.standins.runs(&lead).unwrap().runs;
                    let running = runs.iter().filter(|r| r.end == RunEnd::Running);
                    running.count() >= 1 && runs.len() > 4
                });
                let from = Instant::now();
                leave(&cluster, &lead);
                let last = last_begin(&cluster, &lead, from, FEW_SECONDS + Duration::from_secs(2));
                (long.join().unwrap(), last)
            })
        });
        assert_eq!(long.status, 200, "{}", long.text);
        assert_eq!(
            long.json()["choices"][0]["text"],
            expected_answer("a long letter", LONG)
        );
        (calls, last)
    });
    seen.check();
    println!("the last request began {last:?} after the word");
    assert!(last < FEW_SECONDS, "{last:?}");
    no_gap(&calls);
    assert!(!cluster.serving(0)[0].1.contains(&lead));
    cluster.wait_whole(1);
}

/// Panics when a call was not answered whole: spares were there to take over.
fn no_gap(calls: &[Called]) {
    check_honest(calls);
    let longest = calls.iter().map(|c| c.answered - c.sent).max();
    println!("the longest of {} calls took {longest:?}", calls.len());
    assert!(longest < Some(NO_WAIT), "{longest:?}");
    let failed: Vec<_> = calls.iter().filter(|c| !c.right).collect();
    let first = failed.first().map(|c| &c.answer.text);
    assert!(
        failed.is_empty(),
        "{} of {} calls refused: {first:?}",
        failed.len(),
        calls.len()
    );
}

/// The platform takes a machine away and says so in its host list, a second
/// late. What is still sent there when the machine goes would be cut off in
/// the middle of a letter. New letters go to another group, which is there
/// before the old one stops, since spares are; the letter in progress ends whole.
#[test]
fn an_engine_that_the_host_list_calls_leaving_gets_nothing_new() {
    engine_leaves(|cluster, lead| {
        cluster.fault("platform", "list-lag", "&n=1000");
        cluster.list_as(lead, "leaving");
    });
}

/// The engine's own process was told to stop and says so when it is probed,
/// before any list does.
#[test]
fn an_engine_that_says_it_is_leaving_gets_nothing_new() {
    engine_leaves(|cluster, lead| cluster.fault(lead, "leaving", ""));
}

/// An operator empties a machine for a repair by the text.
#[test]
fn an_engine_that_the_text_drains_gets_nothing_new() {
    engine_leaves(|cluster, lead| {
        let drained = format!("{}\n[target {lead}]\ndrain = yes\n", text(1));
        cluster.accept(&drained, 1);
    });
}

/// Like the lead, the machine that is taken away may be any other of the group;
/// requests never reach it directly, and still run on it.
#[test]
fn a_group_whose_other_member_is_leaving_gets_nothing_new() {
    let cluster = group_and_spares();
    let members = cluster.serving(0)[0].1.clone();
    let (last, calls) = under_load(&cluster, || {
        let from = Instant::now();
        cluster.list_as(&members[1], "leaving");
        let last = last_begin(&cluster, &members[1], from, FEW_SECONDS);
        eventually("another group serves", || {
            let serving = cluster.serving(0);
            serving.len() == 1 && !serving[0].1.contains(&members[1])
        });
        last
    });
    no_gap(&calls);
    assert!(last < FEW_SECONDS, "{last:?}");
}

/// Two booking servers under refunds; `leave` says that `plain-0` is leaving.
fn plain_leaves(leave: impl FnOnce(&Cluster, &str)) -> Cluster {
    let cluster = Cluster::of(NODES, engine_specs(2, 4));
    let text = two_plain(&text(1));
    cluster.accept(&text, 0);
    eventually("both targets serve", || {
        refund(&cluster, 0);
        begun(&cluster, "plain-0") > 0 && begun(&cluster, "plain-1") > 0
    });
    let from = Instant::now();
    leave(&cluster, &text);
    let (mut known, mut last, mut i) = (begun(&cluster, "plain-0"), Duration::ZERO, 0);
    eventually("the span is over", || {
        i += 1;
        let answer = refund(&cluster, i % NODES);
        assert_eq!(answer.status, 200, "{}", answer.text);
        let now = begun(&cluster, "plain-0");
        if now > known {
            (known, last) = (now, from.elapsed());
        }
        from.elapsed() > FEW_SECONDS + Duration::from_secs(1)
    });
    println!("the last call began {last:?} after the word");
    assert!(last < FEW_SECONDS, "{last:?}");
    cluster
}

fn refund(cluster: &Cluster, i: usize) -> Answer {
    cluster.caller(i, "/services/booking/refund", &[], "refund")
}

/// One of two booking servers says that it is stopping. A refund that begins
/// there late would be cut off, and nobody could say whether the money went
/// out. When it takes the word back, it gets calls again.
#[test]
fn a_plain_target_that_says_it_is_leaving_gets_nothing_new() {
    let cluster = plain_leaves(|cluster, _| cluster.fault("plain-0", "leaving", ""));
    cluster.mend("plain-0");
    let before = begun(&cluster, "plain-0");
    eventually("it is back", || {
        refund(&cluster, 0);
        begun(&cluster, "plain-0") > before
    });
}

/// The platform takes one of two booking servers away.
#[test]
fn a_plain_target_that_the_host_list_calls_leaving_gets_nothing_new() {
    plain_leaves(|cluster, _| {
        cluster.fault("platform", "list-lag", "&n=1000");
        cluster.list_as("plain-0", "leaving");
    });
}

/// An operator empties one of two booking servers by the text.
#[test]
fn a_plain_target_that_the_text_drains_gets_nothing_new() {
    plain_leaves(|cluster, text| {
        let drained = format!("{text}\n[target plain-0]\ndrain = yes\n");
        cluster.accept(&drained, 1);
    });
}

/// A streamed letter is under way when its machine is called leaving; the
/// reader must get it to its last word.
#[test]
fn a_stream_that_runs_on_a_leaving_engine_ends_whole() {
    let cluster = Cluster::of(NODES, engine_specs(4, 4));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let lead = cluster.serving(0)[0].1[0].clone();
    let body = completion("a streamed letter", 1_000, true);
    let mut streaming = cluster.open(0, "/v1/completions", &body);
    streaming.events(10);
    cluster.list_as(&lead, "leaving");
    let raw = streaming.into_whole();
    assert!(raw.ended, "{}", raw.head);
    assert_eq!(
        raw.tokens().concat(),
        expected_answer("a streamed letter", 1_000)
    );
    let runs = cluster.engine_runs();
    assert!(
        runs.iter()
            .all(|r| r.host == lead && r.end == RunEnd::Whole)
    );
}

/// An entry that the text empties names itself to nobody, and still answers
/// callers that have kept its address.
#[test]
fn a_drained_node_is_named_to_nobody_and_still_answers() {
    let cluster = Cluster::of(3, engine_specs(2, 4));
    let drained = format!("{}\n[node node-1]\ndrain = yes\n", text(1));
    cluster.accept(&drained, 0);
    cluster.wait_whole(1);
    let token = format!("Bearer {TENANT_TOKEN}");
    let headers = [("authorization", token.as_str())];
    let left = cluster.nodes[1].caller_address().to_string();
    for i in 0..3 {
        let at = cluster.nodes[i].caller_address();
        let answer = call(at, "GET", "/v1/addresses?service=reply", &headers, "");
        assert!(!answer.text.contains(&left), "{}", answer.text);
    }
    assert_eq!(cluster.complete(1, "kept the address", 5).status, 200);
}
