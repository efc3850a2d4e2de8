//! Errors that callers get for answers without end.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eelgrassmill_stores::HttpCaller;
use googletest::prelude::*;

/// Bytes of an answer without end.
const ENDLESS_BYTES: usize = 64 << 20;
/// Most bytes of a body that the caller accepts.
const MAX_BODY_BYTES: usize = 256 << 10;
/// What the caller and the sockets on the way may take of an answer without end, in bytes.
const MAX_TAKEN_BYTES: usize = 16 << 20;
const STEP_TIMEOUT: Duration = Duration::from_millis(500);
const TOTAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one request with `start` and then `repeated` until the caller closes, `pause` apart.
/// Returns the server's address and the bytes it has written.
fn serve(start: &str, repeated: &str, pause: Duration) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let (start, repeated) = (start.to_owned(), repeated.to_owned());
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(start.as_bytes());
        while count.load(Ordering::Relaxed) < ENDLESS_BYTES {
            if stream.write_all(repeated.as_bytes()).is_err() {
                return;
            }
            count.fetch_add(repeated.len(), Ordering::Relaxed);
            std::thread::sleep(pause);
        }
        // The caller closes first.
        let _ = stream.read(&mut [0; 4096]);
    });
    (address, written)
}

/// Calls a server whose answer has no end; it ends in time with an error, in bounded memory.
fn check(start: &str, repeated: &str, pause: Duration) {
    let (address, written) = serve(start, repeated, pause);
    let caller = HttpCaller::builder(address)
        .step_timeout(STEP_TIMEOUT)
        .total_timeout(TOTAL_TIMEOUT)
        .max_body_bytes(MAX_BODY_BYTES)
        .build();
    let began = Instant::now();
    let start = &start[start.len().saturating_sub(20)..];
    expect_that!(caller.get("/"), err(anything()), "{start:?}");
    let limit = 2 * (TOTAL_TIMEOUT + STEP_TIMEOUT);
    expect_that!(began.elapsed(), le(limit), "{start:?}");
    expect_that!(
        written.load(Ordering::Relaxed),
        le(MAX_TAKEN_BYTES),
        "{start:?}"
    );
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[gtest]
fn an_answer_without_end_is_an_error() {
    let x = "x".repeat(1000);
    let chunk = format!("3e8\r\n{x}\r\n");
    for (start, repeated) in [
        ("HTTP/1.1 200 OK\r\n".to_owned(), "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\nx-more: ".to_owned(), &x),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n".to_owned(),
            &x,
        ),
        (CHUNKED.to_owned(), &chunk),
        (CHUNKED.to_owned(), "0"),
        (format!("{CHUNKED}1;"), &x),
        (format!("{CHUNKED}0\r\n"), "x-more: 1\r\n"),
    ] {
        check(&start, repeated, Duration::ZERO);
    }
}

/// Guards against buffering what comes in place of the end of a chunk.
#[gtest]
fn a_chunk_without_end_is_an_error() {
    check(
        &format!("{CHUNKED}1\r\nx"),
        &"x".repeat(1000),
        Duration::ZERO,
    );
}

#[gtest]
fn a_body_that_trickles_is_an_error() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    check(start, "x", Duration::from_millis(10));
}

/// Guards against a limit on the time of an answer that holds for its body alone.
#[gtest]
fn a_head_that_trickles_is_an_error() {
    check("HTTP/1.1 200 OK\r\nx-more: ", "x", Duration::from_millis(1));
}
