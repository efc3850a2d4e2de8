//! The admin API over real HTTP, with a backend that answers from memory.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_config::{AcceptedSubmission, Conflict, Submit};
use eelgrassmill_node::{
    AdminBackend, AdminLimits, AdminRefusal, AdminServer, BackendError, ConfigStatus,
    ConfigVersionInfo, GroupInfo, HostInfo, Metrics, NodeConfig, NodeInfo, Problem, SubmitReply,
    SuspectInfo, TenantInfo, TokenHash,
};
use eelgrassmill_timeline::{Query, Timeline};
use googletest::prelude::*;

const TOKEN: &str = "correct-horse-battery";
const TEXT: &str = "[service s]\nkind = plain\ntargets = h1\n";
const BOUND: Duration = Duration::from_secs(5);

struct Fake;

impl AdminBackend for Fake {
    fn submit(&self, submit: Submit) -> std::result::Result<SubmitReply, BackendError> {
        match submit.id.as_str() {
            "lost" => Err(BackendError::Unknown("no answer from the table".to_owned())),
            "down" => Err(BackendError::Unavailable("the table is down".to_owned())),
            "late" => Ok(SubmitReply::Conflict {
                conflict: Conflict {
                    version: 8,
                    by: vec![AcceptedSubmission {
                        version: 8,
                        author: "bob".into(),
                        submit_id: "b-1".into(),
                    }],
                    changes: None,
                },
            }),
            "panic" => panic!("a fault of the backend"),
            _ => Ok(SubmitReply::Accepted {
                version: submit.base + 1,
            }),
        }
    }

    fn show(&self, version: Option<u64>) -> std::result::Result<ConfigVersionInfo, BackendError> {
        match version {
            None | Some(7) => Ok(ConfigVersionInfo {
                version: 7,
                author: "ada".into(),
                submit_id: "a-1".into(),
                checksum: "00".into(),
                text: Some(TEXT.to_owned()),
            }),
            // The row of version 507 is that of version 7.
            Some(507) => self.show(Some(7)),
            Some(v) => Err(BackendError::NotFound(format!("version {v} is not kept"))),
        }
    }

    fn log(&self) -> std::result::Result<Vec<ConfigVersionInfo>, BackendError> {
        Ok(Vec::new())
    }

    fn config_status(&self) -> std::result::Result<ConfigStatus, BackendError> {
        let behind = NodeConfig {
            node: "node-b".into(),
            version: Some(6),
            checksum: "00".into(),
            behind: Some("not heard from for 9 s".into()),
        };
        Ok(ConfigStatus {
            accepted: 7,
            nodes: vec![behind],
        })
    }

    fn groups(&self) -> Vec<GroupInfo> {
        Vec::new()
    }

    fn hosts(&self) -> Vec<HostInfo> {
        Vec::new()
    }

    fn nodes(&self) -> Vec<NodeInfo> {
        Vec::new()
    }

    fn tenants(&self) -> Vec<TenantInfo> {
        Vec::new()
    }

    fn suspects(&self) -> Vec<SuspectInfo> {
        Vec::new()
    }

    fn timeline(&self, query: &Query) -> Timeline {
        // Echoes the question, so that a test sees how it arrived.
        let silent = vec![format!("{query:?}").into()];
        Timeline {
            events: Vec::new(),
            silent,
            dropped: Vec::new(),
        }
    }

    fn metrics(&self) -> String {
        "# metrics\n".to_owned()
    }
}

struct Port {
    server: AdminServer,
    metrics: Arc<Metrics>,
}

fn port(limits: AdminLimits) -> Port {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let token = TokenHash::of(TOKEN);
    let server = AdminServer::start(
        listener,
        Arc::new(Fake),
        token,
        Arc::clone(&metrics),
        limits,
    )
    .expect("a port");
    Port { server, metrics }
}

struct Answer {
    status: u16,
    content_type: String,
    retry_after: bool,
    body: String,
}

impl Port {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.address()).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a timeout");
        stream
    }

    /// Sends `bytes` and reads to the end.
    fn raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).expect("sent");
        read_rest(&mut stream)
    }

    fn call(&self, method: &str, path: &str, token: Option<&str>, body: &str) -> Answer {
        call(self.server.address(), method, path, token, body)
    }

    fn get(&self, path: &str) -> Answer {
        self.call("GET", path, Some(TOKEN), "")
    }

    fn post(&self, path: &str, body: &str) -> Answer {
        self.call("POST", path, Some(TOKEN), body)
    }

    fn submit(&self, id: &str) -> Answer {
        let submit = Submit {
            id: id.into(),
            base: 7,
            author: "ada".into(),
            text: TEXT.to_owned(),
        };
        self.post(
            "/admin/v1/config",
            &serde_json::to_string(&submit).expect("JSON"),
        )
    }

    /// Waits until `reason` was counted `n` times.
    fn counted(&self, reason: AdminRefusal, n: u64) -> bool {
        let start = Instant::now();
        while self.metrics.admin_refusals(reason) < n {
            if start.elapsed() > BOUND {
                return false;
            }
            std::thread::yield_now();
        }
        self.metrics.admin_refusals(reason) == n
    }
}

fn read_rest(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    // A reset after the answer still leaves the answer.
    let _ = stream.read_to_end(&mut buf);
    String::from_utf8_lossy(&buf).into_owned()
}

fn call(to: SocketAddr, method: &str, path: &str, token: Option<&str>, body: &str) -> Answer {
    let mut req = oxhttp::model::Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"));
    if let Some(token) = token {
        req = req.header("authorization", format!("Bearer {token}"));
    }
    let req = req.body(body.to_owned()).expect("a request");
    let answer = oxhttp::Client::new()
        .with_global_timeout(BOUND)
        .request(req)
        .expect("an answer");
    let header = |name: &str| {
        answer
            .headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    Answer {
        status: answer.status().as_u16(),
        content_type: header("content-type"),
        retry_after: !header("retry-after").is_empty(),
        body: answer.into_body().to_string().expect("a body"),
    }
}

fn problem(answer: &Answer) -> Problem {
    assert_eq!(answer.content_type, "application/problem+json");
    serde_json::from_str(&answer.body).expect("a problem")
}

#[gtest]
fn nothing_but_live_answers_without_the_token() {
    let port = port(AdminLimits::default());
    expect_that!(port.call("GET", "/live", None, "").status, eq(200));
    for path in [
        "/metrics",
        "/admin/v1/groups",
        "/admin/v1/config",
        "/nothing",
    ] {
        let missing = port.call("GET", path, None, "");
        expect_that!(missing.status, eq(401), "{path}");
        expect_that!(problem(&missing).title, eq("token-missing"));
        let wrong = port.call("GET", path, Some("correct-horse-batterx"), "");
        expect_that!(problem(&wrong).title, eq("token-wrong"));
    }
    expect_that!(port.call("POST", "/live", None, "").status, eq(401));
    expect_that!(
        port.metrics.admin_refusals(AdminRefusal::TokenMissing),
        eq(5)
    );
    expect_that!(port.metrics.admin_refusals(AdminRefusal::TokenWrong), eq(4));
    let twice = format!(
        "GET /metrics HTTP/1.1\r\nhost: a\r\nauthorization: Bearer x\r\nauthorization: Bearer {TOKEN}\r\n\r\n"
    );
    expect_that!(port.raw(twice.as_bytes()), starts_with("HTTP/1.1 401"));
}

#[gtest]
fn calls_answer_with_the_backends_values() {
    let port = port(AdminLimits::default());
    expect_that!(port.get("/metrics").body, eq("# metrics\n"));
    let status: ConfigStatus =
        serde_json::from_str(&port.get("/admin/v1/config/status").body).unwrap();
    expect_that!(
        status.nodes[0].behind.as_deref(),
        some(eq("not heard from for 9 s"))
    );
    let shown: ConfigVersionInfo =
        serde_json::from_str(&port.get("/admin/v1/config?version=7").body).unwrap();
    expect_that!(shown.text.as_deref(), some(eq(TEXT)));
    expect_that!(
        problem(&port.get("/admin/v1/config?version=3")).status,
        eq(404)
    );
    for list in [
        "config/log",
        "groups",
        "hosts",
        "nodes",
        "tenants",
        "suspects",
    ] {
        expect_that!(
            port.get(&format!("/admin/v1/{list}")).body,
            eq("[]"),
            "{list}"
        );
    }
    let query = "/admin/v1/timeline?since=5&group=chat/0&limit=9";
    let line: Timeline = serde_json::from_str(&port.get(query).body).unwrap();
    let asked = Query {
        since_ms: Some(5),
        group: Some("chat/0".into()),
        limit: Some(9),
        ..Query::default()
    };
    expect_that!(line.silent[0].as_str(), eq(format!("{asked:?}")));
}

#[gtest]
fn a_submission_tells_what_became_of_it() {
    let port = port(AdminLimits::default());
    expect_that!(
        port.submit("s-1").body,
        eq(r#"{"result":"accepted","version":8}"#)
    );
    let conflict = port.submit("late");
    expect_that!(conflict.status, eq(409));
    expect_that!(
        problem(&conflict).conflict.unwrap().by[0].author.as_str(),
        eq("bob")
    );
    let (lost, down) = (port.submit("lost"), port.submit("down"));
    expect_that!((lost.status, lost.retry_after), eq((504, true)));
    expect_that!((down.status, down.retry_after), eq((503, true)));
    expect_that!(port.submit("panic").status, eq(500));
    expect_that!(port.submit("s-2").status, eq(200));
}

#[gtest]
fn a_text_is_checked_and_compared_without_being_submitted() {
    let port = port(AdminLimits::default());
    expect_that!(port.post("/admin/v1/config/check", TEXT).status, eq(200));
    let wrong = port.post("/admin/v1/config/check", "[service s]\nkind = odd\n");
    expect_that!(wrong.status, eq(422));
    let errors = problem(&wrong).errors;
    expect_that!(
        errors,
        elements_are![starts_with("text:2: `kind = odd` is invalid")]
    );
    let changes = port.post("/admin/v1/config/diff", &TEXT.replace("h1", "h2"));
    expect_that!(changes.body, contains_substring(r#""from":"h1","to":"h2""#));
}

#[gtest]
fn what_cannot_be_read_is_refused_and_counted() {
    let port = port(AdminLimits::default());
    for body in [
        "",
        "{}",
        "[1",
        "{\"id\":\"a b\",\"base\":0,\"author\":\"x\",\"text\":\"\"}",
    ] {
        expect_that!(
            port.post("/admin/v1/config", body).status,
            eq(400),
            "{body}"
        );
    }
    for query in [
        "config?v=1",
        "config?version=x",
        "timeline?group=a%20b",
        "groups?a=1",
        "timeline?x",
    ] {
        expect_that!(
            port.get(&format!("/admin/v1/{query}")).status,
            eq(400),
            "{query}"
        );
    }
    expect_that!(port.metrics.admin_refusals(AdminRefusal::Malformed), eq(9));
    expect_that!(port.get("/admin/v1/nothing").status, eq(404));
    expect_that!(
        port.call("DELETE", "/admin/v1/config", Some(TOKEN), "")
            .status,
        eq(404)
    );
    expect_that!(
        port.metrics.admin_refusals(AdminRefusal::UnknownCall),
        eq(2)
    );
    port.raw(b"\x16\x03\x01 no HTTP at all\r\n\r\n");
    expect_true!(port.counted(AdminRefusal::Malformed, 10));
    let chunk = format!(
        "POST /admin/v1/config/check HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
    );
    expect_that!(port.raw(chunk.as_bytes()), starts_with("HTTP/1.1 400"));
}

#[gtest]
fn oversized_calls_are_refused_before_they_are_read() {
    let port = port(AdminLimits {
        max_body: 1_000,
        ..AdminLimits::default()
    });
    let head = format!(
        "POST /admin/v1/config/check HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n"
    );
    let announced = format!("{head}content-length: 99999999999\r\n\r\n");
    expect_that!(port.raw(announced.as_bytes()), starts_with("HTTP/1.1 413"));
    let chunked = format!(
        "{head}transfer-encoding: chunked\r\n\r\n800\r\n{}\r\n",
        "x".repeat(0x800)
    );
    expect_that!(port.raw(chunked.as_bytes()), starts_with("HTTP/1.1 413"));
    expect_that!(port.metrics.admin_refusals(AdminRefusal::TooLarge), eq(2));
    let headers = format!("GET /live HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    expect_that!(port.raw(headers.as_bytes()), starts_with("HTTP/1.1 431"));
    expect_true!(port.counted(AdminRefusal::TooLarge, 3));
}

/// Some client, broken or hostile, opens connections and drips a byte now and
/// then. Operators who want to look or to change the text find the port taken,
/// unless the time for all headers and the whole body is bounded.
#[gtest]
fn dripping_clients_are_cut_off_and_operators_get_through() {
    let limits = AdminLimits {
        connections: 2,
        header_time: Duration::from_millis(300),
        body_time: Duration::from_millis(300),
        ..AdminLimits::default()
    };
    let port = port(limits);
    let body = format!(
        "POST /admin/v1/config/check HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: 100\r\n\r\n"
    );
    let mut slow = [port.connect(), port.connect()];
    slow[0].write_all(b"GET /live HTTP/1.1\r\nx: ").unwrap();
    slow[1].write_all(body.as_bytes()).unwrap();
    let start = Instant::now();
    while !port.metrics.admin_refusals(AdminRefusal::TooSlow).eq(&2) && start.elapsed() < BOUND {
        for stream in &mut slow {
            // Fails once the port has closed it, which is what is waited for.
            let _ = stream.write_all(b"a");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    expect_that!(start.elapsed(), lt(BOUND));
    expect_true!(port.counted(AdminRefusal::TooSlow, 2));
    // The slots are free again a moment after the refusals were counted.
    let start = Instant::now();
    let mut status = 0;
    while status != 200 && start.elapsed() < BOUND {
        let mut stream = port.connect();
        let _ = stream.write_all(b"GET /live HTTP/1.1\r\nhost: a\r\n\r\n");
        status = if read_rest(&mut stream).starts_with("HTTP/1.1 200") {
            200
        } else {
            0
        };
    }
    expect_that!(status, eq(200));
}

#[gtest]
fn connections_over_the_bound_are_closed_at_once() {
    let port = port(AdminLimits {
        connections: 1,
        ..AdminLimits::default()
    });
    let mut first = port.connect();
    first.write_all(b"GET /live HTTP/1.1\r\n").unwrap();
    expect_that!(read_rest(&mut port.connect()), eq(""));
    expect_true!(port.counted(AdminRefusal::TooMany, 1));
    first.write_all(b"host: a\r\n\r\n").unwrap();
    expect_that!(read_rest(&mut first), starts_with("HTTP/1.1 200"));
}

/// A node stops while an operator's call is half way in. The call still gets
/// its answer, and the port takes no new one.
#[gtest]
fn a_stop_ends_the_calls_in_progress() {
    let port = port(AdminLimits::default());
    let address = port.server.address();
    let mut stream = port.connect();
    stream.write_all(b"GET /live HTTP/1.1\r\n").unwrap();
    // Answered after the one above was accepted: one thread accepts in order.
    expect_that!(port.call("GET", "/live", None, "").status, eq(200));
    std::thread::scope(|scope| {
        let stopping = scope.spawn(|| port.server.stop());
        let start = Instant::now();
        while TcpStream::connect(address).is_ok() && start.elapsed() < BOUND {
            std::thread::yield_now();
        }
        stream.write_all(b"host: a\r\n\r\n").unwrap();
        expect_that!(read_rest(&mut stream), starts_with("HTTP/1.1 200"));
        expect_that!(stopping.join(), ok(anything()));
    });
    expect_that!(TcpStream::connect(address).map(|_| ()), err(anything()));
}
