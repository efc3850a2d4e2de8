//! Crowds of clients that don't behave, before a node that runs as a process of its own.
//!
//! Each test checks that the process lives within its memory and descriptors, and that ordinary
//! calls are answered while the clients stay open and after they left.

mod process;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use googletest::prelude::*;
use process::caller::{Call, End, send};
use process::http::ask;
use process::secs;
use process::world::{Shape, TENANT, World};

/// What a process may use when its settings name no memory, in MB.
const MEMORY_MB: usize = 256;
/// Descriptors that a process may use in these tests.
const MAX_FDS: usize = 512;
/// Longest body, in bytes.
const MAX_BODY: usize = 1 << 20;
/// What is left out of a body that stops short, in bytes.
const MISSING: usize = 100;
/// Clients that send bodies: all of them together are larger than the memory.
const BODIES: usize = 300;
/// Clients that send small chunks, and the bytes of their bodies.
const CHUNKED: usize = 150;
const SMALL_CHUNKS: usize = 200 << 10;
/// Clients that only take a connection.
const CONNECTIONS: usize = 600;
const ANSWER_TIME: Duration = secs(15);
/// Until then a client has sent all, or the node reads no more.
const WRITE_TIME: Duration = secs(1);

struct Site(World);

impl Site {
    fn start() -> Site {
        Site::start_with("")
    }

    /// Starts with few connections, so that a small crowd takes all.
    fn start_small() -> Site {
        Site::start_with("[limits]\nconnections = 200\n")
    }

    fn start_with(settings: &'static str) -> Site {
        Site(World::start(Shape {
            nodes: 1,
            engines: 2,
            per_fabric: 2,
            groups: 1,
            settings,
            ..Shape::default()
        }))
    }

    fn callers(&self) -> SocketAddr {
        self.0.nodes[0].ports.callers
    }

    fn check(&mut self, when: &str) {
        let process = &mut self.0.nodes[0].process;
        expect_that!(process.has_ended(), eq(false), "{when}");
        let status = std::fs::read_to_string(process.proc_file("status")).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|l| l.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        println!("{when}: {kib:?} KiB");
        expect_that!(kib, some(le(MEMORY_MB << 10)), "KiB {when}");
        let descriptors = std::fs::read_dir(process.proc_file("fd")).map_or(0, Iterator::count);
        expect_that!(descriptors, le(MAX_FDS), "descriptors {when}");
    }

    fn check_answers(&self, when: &str) {
        let (end, _) = send(Call::Short, self.callers(), when, "");
        expect_that!(end, eq(End::Whole), "{when}");
        let admin = self.0.nodes[0].ports.admin;
        let live = ask("GET", admin, "/live", &[], "", ANSWER_TIME);
        expect_that!(live.map(|r| r.status).ok(), some(eq(200)), "{when}");
    }

    /// Sends a crowd, checks, lets it leave and checks again.
    fn withstands(&mut self, at: SocketAddr, client: impl Fn(&mut TcpStream), count: usize) {
        self.check_answers("before");
        let crowd: Vec<TcpStream> = (0..count).filter_map(|_| connect(at, &client)).collect();
        // What was sent last is read meanwhile.
        std::thread::sleep(secs(1));
        self.check("while they stay");
        self.check_answers("while they stay");
        drop(crowd);
        self.check("after they left");
        self.check_answers("after they left");
    }
}

/// Connects and sends; a client that isn't read or whose connection is closed stays as it is.
fn connect(at: SocketAddr, client: impl Fn(&mut TcpStream)) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&at, WRITE_TIME).ok()?;
    stream.set_write_timeout(Some(WRITE_TIME)).ok()?;
    client(&mut stream);
    Some(stream)
}

/// Sends a request with a body framed as told; what of it can't be sent is left out.
fn send_body(stream: &mut TcpStream, framing: &str, body: &[u8]) {
    let head = format!(
        "POST /services/booking/refund HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TENANT}\r\n\
         X-Request-Timeout: 30\r\n{framing}\r\n\r\n"
    );
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
}

fn chunks(chunk: usize, total: usize) -> Vec<u8> {
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    one.repeat(total / chunk).into_bytes()
}

const CHUNKS: &str = "Transfer-Encoding: chunked";

/// Guards against holding incomplete bodies of all callers without a bound.
#[gtest]
fn calls_that_stop_short() {
    let mut site = Site::start();
    let body = vec![b'x'; MAX_BODY - MISSING];
    let framing = format!("Content-Length: {MAX_BODY}");
    let client = |stream: &mut TcpStream| send_body(stream, &framing, &body);
    site.withstands(site.callers(), client, BODIES);
}

#[gtest]
fn calls_in_large_chunks_that_stop_short() {
    let mut site = Site::start();
    let body = chunks(64 << 10, MAX_BODY - MISSING);
    let client = |stream: &mut TcpStream| send_body(stream, CHUNKS, &body);
    site.withstands(site.callers(), client, BODIES);
}

#[gtest]
fn calls_in_chunks_of_one_byte_that_stop_short() {
    let mut site = Site::start();
    let body = chunks(1, SMALL_CHUNKS);
    let client = |stream: &mut TcpStream| send_body(stream, CHUNKS, &body);
    site.withstands(site.callers(), client, CHUNKED);
}

/// Guards against reading a body that is announced to be too long.
#[gtest]
fn calls_announced_far_over_the_limit() {
    let mut site = Site::start();
    let body = vec![b'x'; MAX_BODY - MISSING];
    let framing = format!("Content-Length: {}", 2_u64 << 30);
    let client = |stream: &mut TcpStream| send_body(stream, &framing, &body);
    site.withstands(site.callers(), client, BODIES);
}

#[gtest]
fn calls_without_end() {
    let mut site = Site::start();
    let body = chunks(64 << 10, 4 * MAX_BODY);
    let client = |stream: &mut TcpStream| send_body(stream, CHUNKS, &body);
    site.withstands(site.callers(), client, BODIES);
}

#[gtest]
fn whole_calls_at_once() {
    let mut site = Site::start();
    let body = vec![b'x'; MAX_BODY];
    let framing = format!("Content-Length: {MAX_BODY}");
    let client = |stream: &mut TcpStream| send_body(stream, &framing, &body);
    site.withstands(site.callers(), client, BODIES);
}

/// Guards against silent connections that keep callers out.
#[gtest]
fn callers_without_a_whole_head() {
    let mut site = Site::start_small();
    let client = |stream: &mut TcpStream| {
        let _ = stream.write_all(b"POST /services/booking/refund HTTP/1.1\r\nHost: ");
    };
    site.withstands(site.callers(), client, CONNECTIONS);
}

/// Guards against silent connections that keep operators out.
#[gtest]
fn operators_without_a_whole_head() {
    let mut site = Site::start_small();
    let client = |stream: &mut TcpStream| {
        let _ = stream.write_all(b"GET /live HTTP/1.1\r\nHost: ");
    };
    site.withstands(site.0.nodes[0].ports.admin, client, CONNECTIONS);
}

#[gtest]
fn silent_connections_between_nodes() {
    let mut site = Site::start_small();
    site.withstands(site.0.nodes[0].ports.peers, |_| {}, CONNECTIONS);
}
