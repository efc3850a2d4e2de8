//! Stopping a node on purpose.
// A panic is how a test fails, in its helpers too.
#![allow(clippy::unwrap_used)]

mod util;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_standin::{HostSpec, Pace, Standins, engine_specs, expected_answer};
use util::stream::{Raw, post};
use util::{Answer, Cluster, TENANT_TOKEN, completion, eventually, text};

/// How long callers keep the addresses that they were told.
const KEEP: Duration = Duration::from_secs(1);
/// What the news of the leaving and the end of the node's threads may take beyond that.
const REST: Duration = Duration::from_millis(1_800);
/// What may run may end for this long after the port has closed.
const STOP_TIME: Duration = Duration::from_secs(3);
/// Longer than any call may take here.
const LONG_STOP_TIME: Duration = Duration::from_secs(20);
/// A letter that takes 12 s, longer than a node with [`STOP_TIME`] is still there.
const LONG: u64 = 1_200;
const TOKEN_TIME: Duration = Duration::from_millis(10);
const PROMPT: &str = "a letter";

/// Two nodes that stop within [`KEEP`], 1 s and `stop_time`, before slow engines.
fn slow_cluster(stop_time: Duration) -> Cluster {
    let pace = Pace {
        token: TOKEN_TIME,
        prefill: Duration::ZERO,
        batch_permille: 0,
    };
    let slow = |h: HostSpec| h.pace(pace.clone());
    let engines = engine_specs(2, 4).into_iter().map(slow).collect();
    let cluster = Cluster::with_settings(2, engines, |_, settings| {
        settings.timing.address_keep = KEEP;
        settings.timing.stop_time = stop_time;
    });
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    cluster
}

/// Stops node 0; once node 1 no longer names it, and so within [`KEEP`] of its port's closing,
/// does `late` with its address. Gives whether all of node 0 could be finished.
fn stop_and<T>(cluster: &mut Cluster, late: impl FnOnce(&Cluster, SocketAddr) -> T) -> (bool, T) {
    let node = cluster.nodes.remove(0);
    let address = node.caller_address();
    std::thread::scope(|scope| {
        let stop = scope.spawn(|| node.stop());
        eventually("it is no longer named", || {
            let told = util::call(
                cluster.nodes[0].caller_address(),
                "GET",
                "/v1/addresses?service=reply",
                &[],
                "",
            );
            !told.text.contains(&address.to_string())
        });
        let came = late(cluster, address);
        (stop.join().unwrap(), came)
    })
}

/// Asks for a completion; `timeout` is the caller's own, in seconds.
fn ask(address: SocketAddr, tokens: u64, stream: bool, timeout: Option<&str>) -> Raw {
    let token = format!("Bearer {TENANT_TOKEN}");
    let mut headers = vec![("authorization", token.as_str())];
    headers.extend(timeout.map(|secs| ("x-request-timeout", secs)));
    let body = completion(PROMPT, tokens, stream);
    post(address, "/v1/completions", &headers, &body)
}

fn outcome(raw: &Raw) -> String {
    let problem: serde_json::Value = serde_json::from_slice(&raw.body).unwrap();
    problem["outcome"].as_str().unwrap_or_default().to_owned()
}

/// Whether it is word that nothing has run and when to come back.
fn is_not_run(raw: &Raw) -> bool {
    raw.status() == 503 && raw.head.contains("retry-after: ") && outcome(raw) == "not-run"
}

/// Asks for a refund, which may take the service's 10 s.
fn refund(address: SocketAddr, key: &str) -> Answer {
    let token = format!("Bearer {TENANT_TOKEN}");
    let headers = [("authorization", token.as_str()), ("idempotency-key", key)];
    util::call(address, "POST", "/services/booking/refund", &headers, key)
}

fn shown(raw: &Raw) -> String {
    format!(
        "{} ended: {}, {} bytes",
        raw.head,
        raw.ended,
        raw.body.len()
    )
}

/// An operator replaces a node on which nothing runs. Threads that wait for work
/// which never comes held the process for five seconds more, and a roll over all
/// entry hosts took minutes longer than it had to.
#[test]
fn a_node_with_nothing_running_stops_when_its_addresses_have_run_out() {
    let mut cluster = Cluster::with_settings(2, engine_specs(2, 4), |_, settings| {
        settings.timing.address_keep = KEEP;
    });
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let began = Instant::now();
    assert!(cluster.nodes.remove(0).stop());
    let took = began.elapsed();
    println!("stopped after {took:?}");
    assert!(took >= KEEP, "{took:?}");
    assert!(took < KEEP + REST, "{took:?}");
}

/// A node is told to stop. A caller that keeps its address asks it for a long letter shortly
/// before its port closes. The letter takes longer than the node is still there and breaks off
/// in the middle when the process exits; the other node had all the time for it. A call that
/// names a time which is over before then is answered.
///
/// The cause: until its port closed the node took whatever came, as if none took longer than the
/// stop time, and looked at no call's own time. With 5 s left it began letters of 12 s. Both
/// streams had got 200 and some 125 KB when the process ended; the third caller got no byte.
#[test]
fn a_stopping_node_begins_nothing_that_may_outlast_it() {
    let mut cluster = slow_cluster(STOP_TIME);
    let (finished, late) = stop_and(&mut cluster, |_, address| {
        std::thread::scope(|scope| {
            // Without a time of its own the first has the service's, 20 s.
            let calls = [
                (LONG, true, None),
                (LONG, true, Some("16")),
                (LONG, false, None),
                (5, false, Some("2")),
                (5, true, Some("2")),
            ];
            let asked = calls.map(|(tokens, stream, timeout)| {
                scope.spawn(move || ask(address, tokens, stream, timeout))
            });
            asked.map(|a| a.join().unwrap())
        })
    });
    for raw in &late {
        println!("{}", shown(raw));
    }
    let [long, own_time, unstreamed, short, short_stream] = late;
    for raw in [&long, &own_time, &unstreamed] {
        assert!(is_not_run(raw), "{}", shown(raw));
    }
    for raw in [&short, &short_stream] {
        assert!(raw.status() == 200 && raw.ended, "{}", shown(raw));
    }
    assert_eq!(short_stream.tokens().concat(), expected_answer(PROMPT, 5));
    assert!(finished);
}

/// Letters were under way when their node was told to stop, and take longer than its time. It
/// has to cut them off. The reader of a stream sees it break off; who waits for a whole answer
/// is told that it may have run, rather than getting a closed connection and no word.
#[test]
fn callers_are_told_when_a_node_stops_before_their_answer_ends() {
    let mut cluster = slow_cluster(STOP_TIME);
    let node = cluster.nodes.remove(0);
    let address = node.caller_address();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| ask(address, LONG, true, None));
        let whole = scope.spawn(|| ask(address, LONG, false, None));
        eventually("both run", || cluster.engine_runs().len() == 2);
        assert!(!node.stop());
        let (stream, whole) = (stream.join().unwrap(), whole.join().unwrap());
        assert!(!stream.ended, "{}", shown(&stream));
        assert!(whole.status() == 502 && whole.ended, "{}", shown(&whole));
        assert_eq!(outcome(&whole), "unknown");
    });
}

/// A node that leaves refuses a refund which may outlast it. The booking desk sends it again
/// elsewhere, under the same key: it runs there, once. An answer that is kept is told to the
/// end: who asks for it must not hear that nothing ran.
#[test]
fn a_stopping_node_tells_kept_answers_and_begins_no_long_call_with_a_key() {
    let mut cluster = slow_cluster(STOP_TIME);
    eventually("the plain service serves", || {
        refund(cluster.nodes[0].caller_address(), "kept").status == 200
    });
    let other = cluster.nodes[1].caller_address();
    let runs_of = |standins: &Standins, key: &str| {
        let runs = standins.runs("plain-0").unwrap();
        runs.by_key.get(key).copied().unwrap_or_default()
    };
    let (finished, ()) = stop_and(&mut cluster, |cluster, address| {
        let kept = refund(address, "kept");
        assert_eq!(kept.status, 200, "{}", kept.text);
        let refused = refund(address, "new");
        assert!(refused.outcome_is("not-run"), "{}", refused.text);
        assert!(refused.retry_after.is_some());
        assert_eq!(refused.json()["instead"][0], other.to_string());
        assert_eq!(runs_of(&cluster.standins, "new"), 0);
        // Its claim is given back within moments.
        eventually("it runs elsewhere", || refund(other, "new").status == 200);
    });
    assert!(finished);
    for key in ["kept", "new"] {
        assert_eq!(runs_of(&cluster.standins, key), 1, "{key}");
    }
}

/// A caller asks for a long letter under a key and its connection breaks. The call runs on, since
/// it can't be run a second time, and the caller means to ask for its answer under the key. Then
/// the node is told to stop. It has the time for the letter, and exits without waiting for it: the
/// caller hears that it may have run, and nobody has the letter.
///
/// The cause: a stop waited for connections to close, and such a call has none. With 20 s of stop
/// time it said "all finished" and exited while the letter of 12 s was being written; the key's
/// second call got 502 unknown.
#[test]
fn a_stopping_node_finishes_a_call_with_a_key_whose_caller_has_left() {
    let mut cluster = slow_cluster(LONG_STOP_TIME);
    let key = [("idempotency-key", "letter-1")];
    let body = completion(PROMPT, LONG, false);
    let asked = cluster.open_with(0, "/v1/completions", &key, &body);
    eventually("it runs", || cluster.engine_runs().len() == 1);
    drop(asked);
    let node = cluster.nodes.remove(0);
    assert!(node.stop());
    let mut again = cluster.caller(0, "/v1/completions", &key, &body);
    eventually("its claim is settled", || {
        again = cluster.caller(0, "/v1/completions", &key, &body);
        again.status != 409
    });
    assert_eq!(again.status, 200, "{}", again.text);
    let letter = &again.json()["choices"][0]["text"];
    assert_eq!(*letter, expected_answer(PROMPT, LONG));
    assert_eq!(cluster.engine_runs().len(), 1);
}
