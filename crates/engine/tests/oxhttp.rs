//! What oxhttp 0.3.3 does that decides where it can serve and where not.
//!
//! It is fit for the admin API, the platform, orders and probes, whose answers
//! are whole and framed. The callers' port and the streams of targets need
//! tokens to pass as they come, and a cut to be seen as one.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::{Bench, LEAD, PROMPT, completion};
use eelgrassmill_engine::{StreamEvent, TargetClient, TokenStream};
use eelgrassmill_stores::{CallError, HttpCaller};
use googletest::prelude::*;
use oxhttp::model::{Body, Request, Response};
use oxhttp::{Client, Server};

const TOKENS: u32 = 10;
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// A body that gives one short token at a time.
struct SlowTokens(u32);

impl Read for SlowTokens {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        std::thread::sleep(TOKEN_TIME);
        buf[..6].copy_from_slice(b"token ");
        Ok(6)
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound")
}

/// Serves `answer` to one caller and closes.
fn answer_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(answer.as_bytes());
    });
    address
}

fn get(address: SocketAddr) -> std::io::Result<Response<Body>> {
    let uri = format!("http://{address}/");
    let req = Request::builder()
        .uri(uri)
        .body(Body::empty())
        .expect("a good request");
    Client::new()
        .with_global_timeout(Duration::from_secs(5))
        .request(req)
}

#[gtest]
fn its_server_holds_tokens_back_until_the_last_one() {
    // Ten tokens are sent one by one. A caller of a server that gathers them
    // sees its first token when the whole answer is done.
    let address = free_address();
    let body = || Body::from_read(SlowTokens(TOKENS));
    let server = Server::new(move |_| Response::builder().body(body()).expect("a good answer"));
    let _listening = server.bind(address).spawn().expect("it listens");
    let start = Instant::now();
    let mut stream = TcpStream::connect(address).expect("it accepts");
    let req = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(req.as_bytes()).expect("it reads");
    stream.read_exact(&mut [0; 1]).expect("it answers");
    let first = start.elapsed();
    expect_that!(first, ge(TOKEN_TIME * TOKENS));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_hyper_server_passes_the_first_token_on_at_once() {
    let bench = Bench::with_token_time(TOKEN_TIME);
    let start = Instant::now();
    let req = completion("r1", PROMPT, u64::from(TOKENS), true);
    let response = TargetClient::default()
        .send(&bench.address(LEAD), req)
        .await
        .unwrap();
    let first = TokenStream::new(response).next().await;
    expect_that!(first, ok(pat!(StreamEvent::Token(anything()))));
    expect_that!(start.elapsed(), lt(TOKEN_TIME * TOKENS / 2));
}

#[gtest]
fn its_client_reads_an_unframed_answer_as_empty() {
    // An answer may lack length and chunks and end with the connection. Its
    // client calls that an empty body and no error: a row would look absent.
    let address = answer_once("HTTP/1.1 200 OK\r\n\r\nthe whole answer");
    let body = get(address).expect("it sees an answer").into_body();
    expect_that!(body.to_vec(), ok(is_empty()));
    let address = answer_once("HTTP/1.1 200 OK\r\n\r\nthe whole answer");
    let ours = HttpCaller::builder(address.to_string()).build().get("/");
    expect_that!(ours, err(pat!(CallError::InvalidResponse { .. })));
}

#[gtest]
fn its_client_notices_a_body_shorter_than_its_length() {
    let address = answer_once("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf");
    let body = get(address).expect("it sees an answer").into_body();
    expect_that!(body.to_vec(), err(anything()));
}
