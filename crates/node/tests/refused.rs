//! Bad input at the callers' port, and requests that are given up on.
// A panic is how a test fails.
#![allow(clippy::unwrap_used)]

mod util;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use eelgrassmill_standin::engine_specs;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use util::stream::Raw;
use util::{ADMIN_TOKEN, Answer, Cluster, TENANT_TOKEN, call, completion, eventually, text};

/// Time for which a request may wait for a group that has just stopped, and some slack.
const GRACE: Duration = Duration::from_secs(4);

fn cluster() -> Cluster {
    let cluster = Cluster::of(1, engine_specs(2, 4));
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    cluster
}

/// Panics unless the answer is a problem document that says that nothing ran.
fn is_clear(raw: &Raw, status: u16) {
    assert_eq!(raw.status(), status, "{}", raw.head);
    assert!(raw.ended, "{}", raw.head);
    let kind = "content-type: application/problem+json";
    assert!(raw.head.contains(kind), "{}", raw.head);
    let problem: serde_json::Value = serde_json::from_slice(&raw.body).unwrap();
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(problem["status"], status);
    assert!(!problem["detail"].as_str().unwrap().is_empty());
}

/// A client with a fault sends what no one can read. It must be told what is
/// wrong, and that nothing ran, so that its owner mends it and may ask again.
#[test]
fn bad_requests_get_a_clear_answer() {
    let cluster = cluster();
    let good = completion("p", 4, false);
    let long = "k".repeat(201);
    let post = |path: &str, more: &[(&str, &str)], body: &str| cluster.raw(0, path, more, body);
    let completions = "/v1/completions";
    for body in [
        "",
        "{",
        "[]",
        "{\"model\":7}",
        "{\"prompt\":\"p\"}",
        "\u{0}\u{1}",
    ] {
        is_clear(&post(completions, &[], body), 400);
    }
    for body in [
        r#"{"model":"reply"}"#,
        r#"{"model":"reply","prompt":"p","messages":[]}"#,
        r#"{"model":"reply","prompt":"p","max_tokens":0}"#,
        r#"{"model":"reply","prompt":"p","max_tokens":-1}"#,
        r#"{"model":"reply","prompt":"p","max_tokens":99999999999}"#,
    ] {
        is_clear(&post(completions, &[], body), 400);
    }
    for (name, value) in [
        ("priority", "u=9"),
        ("priority", "u=x"),
        ("x-request-timeout", "0"),
        ("x-request-timeout", "-1"),
        ("x-request-timeout", "NaN"),
        ("x-request-timeout", "1e300"),
        ("x-request-timeout", "soon"),
        ("idempotency-key", ""),
        ("idempotency-key", long.as_str()),
    ] {
        is_clear(&post(completions, &[(name, value)], &good), 400);
    }
    let twice = [("priority", "u=1"), ("priority", "u=2")];
    is_clear(&post(completions, &twice, &good), 400);
    let unknown = good.replace("reply", "nobody");
    is_clear(&post(completions, &[], &unknown), 404);
    let plain = good.replace("reply", "booking");
    is_clear(&post(completions, &[], &plain), 404);
    is_clear(&post("/services/reply/x", &[], "b"), 404);
    is_clear(&post("/services/nobody/x", &[], "b"), 404);
    is_clear(&post("/services//x", &[], "b"), 404);
    is_clear(&post("/nowhere", &[], &good), 404);
    is_clear(&post("/v1/addresses?service=reply", &[], ""), 405);
    assert!(cluster.engine_runs().is_empty());
    assert_eq!(cluster.complete(0, "still there", 4).status, 200);
}

/// A caller without a token, with a wrong one, or with the operators' one must
/// get nothing, and the operators' port nothing with a tenant's.
#[test]
fn a_wrong_token_is_refused_on_both_ports() {
    let cluster = cluster();
    let at = cluster.nodes[0].caller_address();
    let good = completion("p", 4, false);
    let admin = format!("Bearer {ADMIN_TOKEN}");
    let tenant = format!("Bearer {TENANT_TOKEN}");
    for token in ["", "Bearer ", "Bearer wrong", "Basic abc", admin.as_str()] {
        let headers = [("authorization", token)];
        let answer = call(at, "POST", "/v1/completions", &headers, &good);
        assert_eq!((answer.status, answer.outcome().as_str()), (401, "not-run"));
    }
    let admin = cluster.nodes[0].admin_address();
    for token in ["", "Bearer wrong", tenant.as_str()] {
        let headers = [("authorization", token)];
        let answer = call(admin, "GET", "/admin/v1/groups", &headers, "");
        assert_eq!(answer.status, 401, "{}", answer.text);
    }
    assert!(cluster.engine_runs().is_empty());
}

/// Somebody sends a body without end. It must neither be kept in memory nor
/// wait for an end that never comes.
#[test]
fn a_huge_body_is_refused_before_it_has_come() {
    let cluster = cluster();
    let mut conn = connect(cluster.nodes[0].caller_address());
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {TENANT_TOKEN}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    conn.write_all(head.as_bytes()).unwrap();
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    let mut sent = 0;
    // Far more than is taken; the node stops reading long before.
    while sent < 64 << 20 && conn.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    assert!(sent < 64 << 20, "all {sent} bytes were read");
    assert_eq!(cluster.complete(0, "still there", 4).status, 200);
}

/// Guards against resetting a connection over which the rest of a refused body comes: its caller may
/// never see the answer.
#[test]
fn a_caller_that_is_still_sending_sees_why_it_is_refused() {
    let cluster = cluster();
    let piece = [b'x'; 0x10000];
    let authorized = format!("authorization: Bearer {TENANT_TOKEN}\r\n");
    for (token, pieces, status) in [("", 14, 401), (&*authorized, 24, 413)] {
        let mut conn = connect(cluster.nodes[0].caller_address());
        let length = pieces * piece.len();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{token}\
             content-length: {length}\r\n\r\n"
        );
        conn.write_all(head.as_bytes()).unwrap();
        for _ in 0..pieces {
            std::thread::sleep(Duration::from_millis(10));
            conn.write_all(&piece).unwrap();
        }
        let mut answer = String::new();
        conn.read_to_string(&mut answer).unwrap();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    }
}

/// Guards against waiting for the body of a refused request.
#[test]
fn a_refused_caller_whose_body_never_comes_is_told_at_once() {
    let cluster = cluster();
    let mut conn = connect(cluster.nodes[0].caller_address());
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                content-length: 100000\r\n\r\nthe first part";
    conn.write_all(head.as_bytes()).unwrap();
    let began = Instant::now();
    let mut answer = [0; 12];
    conn.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 401");
    assert!(began.elapsed() < Duration::from_millis(500));
}

/// Slow clients, by fault or on purpose, hold connections without ever sending
/// a whole head. Others must still be answered, and the slow ones are cut off.
#[test]
fn slow_heads_are_cut_off_and_hold_nobody_up() {
    let cluster = cluster();
    let at = cluster.nodes[0].caller_address();
    let slow: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut conn = connect(at);
            conn.write_all(b"POST /v1/completions HTTP/1.1\r\nhost:")
                .unwrap();
            conn
        })
        .collect();
    let begun = Instant::now();
    assert_eq!(cluster.complete(0, "in between", 4).status, 200);
    assert!(begun.elapsed() < Duration::from_secs(2));
    for mut conn in slow {
        // The node ends the connection, with or without a word.
        let mut rest = Vec::new();
        let _ = conn.read_to_end(&mut rest);
    }
    assert!(begun.elapsed() < Duration::from_secs(15));
}

/// More connections than the node holds at once: those beyond the limit wait,
/// and are answered when others have gone. None is lost.
#[test]
fn connections_beyond_the_limit_wait() {
    let cluster = Cluster::with_settings(1, engine_specs(2, 4), |_, settings| {
        settings.limits.connections = 4;
    });
    cluster.accept(&text(1), 0);
    cluster.wait_whole(1);
    let at = cluster.nodes[0].caller_address();
    let held: Vec<TcpStream> = (0..4).map(|_| connect(at)).collect();
    // Connections are accepted in their order, so the four idle ones hold all places.
    let mut waiting = cluster.open(0, "/v1/completions", &completion("p", 4, false));
    assert!(!waiting.comes_within(Duration::from_millis(500)));
    drop(held);
    let raw = waiting.into_whole();
    assert_eq!(raw.status(), 200, "{}", raw.head);
}

/// Both machines of the only group are lost. For a moment the group may come
/// back; after that the request is given up on, and its caller must hear so at
/// once and be told when to come back, not when its time is over.
#[test]
fn a_request_that_nothing_can_serve_is_refused_at_once() {
    let cluster = cluster();
    for host in cluster.serving(0)[0].1.clone() {
        cluster.fault(&host, "die", "");
    }
    eventually("nothing serves", || cluster.serving(0).is_empty());
    refused_early(&cluster);
}

/// The only group is leaving and there is no spare: it gets nothing new, and
/// nobody is there to wait for.
#[test]
fn a_request_that_only_a_leaving_group_could_serve_is_refused_at_once() {
    let cluster = cluster();
    let lead = cluster.serving(0)[0].1[0].clone();
    cluster.list_as(&lead, "leaving");
    refused_early(&cluster);
}

/// Asks with a deadline of 15 s until a request is refused; the one after it is refused at once.
fn refused_early(cluster: &Cluster) {
    let ask = |stream| {
        let deadline = [("x-request-timeout", "15")];
        let body = completion("now", 4, stream);
        let asked = Instant::now();
        let answer = cluster.caller(0, "/v1/completions", &deadline, &body);
        (answer, asked.elapsed())
    };
    eventually("refused", || {
        let (answer, took) = ask(false);
        assert!(took < GRACE, "{took:?}");
        answer.status != 200
    });
    for stream in [false, true] {
        let (answer, took) = ask(stream);
        told_at_once(&answer, took);
    }
}

/// The engines are busy and the queue in front of them is as long as the text
/// now allows; it allowed more when the node started. Whoever comes then must
/// hear so at once.
#[test]
fn a_request_behind_a_full_queue_is_refused_at_once() {
    let cluster = Cluster::of(1, engine_specs(2, 4));
    let long = text(1).replace("slots = 8\nurgent_slots = 2", "slots = 2\nurgent_slots = 1");
    let version = cluster.accept(&long, 0);
    cluster.wait_whole(1);
    let short = long.replace(
        "timeout = 20s\nmax_queue = 100",
        "timeout = 20s\nmax_queue = 2",
    );
    cluster.accept(&short, version);
    let answers: Vec<(Answer, Duration)> = std::thread::scope(|scope| {
        let cluster = &cluster;
        let letter = move |i| {
            let asked = Instant::now();
            let answer = cluster.complete(0, &format!("long letter {i}"), 1_000);
            (answer, asked.elapsed())
        };
        let letters: Vec<_> = (0..6).map(|i| scope.spawn(move || letter(i))).collect();
        letters.into_iter().map(|l| l.join().unwrap()).collect()
    });
    // One runs and two wait; the urgent slot is not for them.
    let (answered, refused): (Vec<_>, Vec<_>) =
        answers.into_iter().partition(|(a, _)| a.status == 200);
    assert_eq!((answered.len(), refused.len()), (3, 3));
    for (answer, took) in &refused {
        told_at_once(answer, *took);
    }
}

fn told_at_once(answer: &Answer, took: Duration) {
    println!("refused after {took:?}");
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!([429, 503].contains(&answer.status), "{}", answer.text);
    assert_eq!(answer.outcome(), "not-run");
    assert!(answer.retry_after.is_some());
}

fn connect(at: SocketAddr) -> TcpStream {
    let conn = TcpStream::connect(at).unwrap();
    let limit = Some(Duration::from_secs(20));
    conn.set_read_timeout(limit).unwrap();
    conn.set_write_timeout(limit).unwrap();
    conn
}

/// Sends `bytes`, says that no more come, and gives the status line's code, if any comes.
fn send_bytes(at: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut conn = connect(at);
    let _ = conn.write_all(bytes);
    let _ = conn.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = conn.read_to_end(&mut answer);
    let line = String::from_utf8_lossy(answer.get(..12)?).into_owned();
    line.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

/// A port scanner, or a client that speaks another protocol, sends anything at
/// all. The node may refuse or hang up; it must not run anything, nor fall over.
#[test]
fn random_bytes_do_no_harm() {
    let cluster = cluster();
    let at = cluster.nodes[0].caller_address();
    let config = Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let raw = vec(any::<u8>(), 0..400);
    let mut runner = TestRunner::new(config.clone());
    let harmless = |bytes: &[u8]| {
        let status = send_bytes(at, bytes);
        prop_assert!(status.is_none_or(|s| (400..500).contains(&s)), "{status:?}");
        Ok(())
    };
    runner.run(&raw, |bytes| harmless(&bytes)).unwrap();
    // A good head, a random header and a random body get further in.
    let value = "[ -~]{0,60}";
    let shaped = (0..6_usize, value, vec(any::<u8>(), 0..200));
    let mut runner = TestRunner::new(config);
    let result = runner.run(&shaped, |(which, value, body)| {
        let names = [
            "priority",
            "x-request-timeout",
            "idempotency-key",
            "traceparent",
            "host",
            "te",
        ];
        let mut bytes = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {TENANT_TOKEN}\r\n{}: {value}\r\ncontent-length: {}\r\n\r\n",
            names[which],
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        harmless(&bytes)
    });
    result.unwrap();
    assert!(cluster.engine_runs().is_empty());
    assert_eq!(cluster.complete(0, "still there", 4).status, 200);
}

/// Cases of each kind; more by `EELGRASSMILL_FUZZ_CASES`.
fn cases() -> u32 {
    let cases = std::env::var("EELGRASSMILL_FUZZ_CASES").ok();
    cases.and_then(|c| c.parse().ok()).unwrap_or(200)
}
