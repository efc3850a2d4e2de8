//! An entry that answers as a prompt tells it to.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use eelgrassmill_base::stable_hash;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// An entry on a free port; it stops when it is dropped.
pub(crate) struct Entry {
    pub(crate) address: String,
    pub(crate) asked_for_addresses: Arc<AtomicU64>,
    _runtime: Runtime,
}

impl Entry {
    pub(crate) fn start() -> Entry {
        Entry::before(None)
    }

    /// An entry that passes plain calls on to `target`: twice when the body
    /// says so, and telling that it did not run when the body says so.
    pub(crate) fn before(target: Option<String>) -> Entry {
        let target: Arc<Option<String>> = Arc::new(target);
        let runtime = Runtime::new().expect("a runtime");
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let asked = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&asked);
        runtime.spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (count, target) = (Arc::clone(&count), Arc::clone(&target));
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        answer(req, address, Arc::clone(&count), Arc::clone(&target))
                    });
                    let stream = TokioIo::new(stream);
                    let _ = http1::Builder::new()
                        .serve_connection(stream, service)
                        .await;
                });
            }
        });
        Entry {
            address: address.to_string(),
            asked_for_addresses: asked,
            _runtime: runtime,
        }
    }
}

async fn answer(
    req: Request<Incoming>,
    address: SocketAddr,
    asked: Arc<AtomicU64>,
    target: Arc<Option<String>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.uri().path() == "/v1/addresses" {
        asked.fetch_add(1, Ordering::Relaxed);
        let book = json!({ "addresses": [address.to_string()], "keep_seconds": 30 });
        return Ok(reply(StatusCode::OK, book.to_string()));
    }
    let call = req.uri().path().starts_with("/services/");
    let key = req.headers().get("idempotency-key").cloned();
    let body = req
        .into_body()
        .collect()
        .await
        .expect("a whole body")
        .to_bytes();
    let body = String::from_utf8(body.to_vec()).expect("text");
    if let Some(target) = target.as_ref() {
        return Ok(pass_on(target, key, &body).await);
    }
    if call {
        let answer = json!({ "answer": format!("{:016x}", stable_hash([body.as_str()])) });
        return Ok(reply(StatusCode::OK, answer.to_string()));
    }
    let body: Value = serde_json::from_str(&body).expect("JSON");
    Ok(completion(&body))
}

async fn pass_on(
    target: &str,
    key: Option<http::HeaderValue>,
    body: &str,
) -> Response<Full<Bytes>> {
    let times = if body.contains("DO-TWICE") { 2 } else { 1 };
    let mut answer = Bytes::new();
    for _ in 0..times {
        let mut req = Request::post("/refunds").header("host", target);
        req = req.header("x-request-id", "r1");
        if let Some(key) = &key {
            req = req.header("idempotency-key", key);
        }
        let req = req
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a good request");
        let stream = tokio::net::TcpStream::connect(target)
            .await
            .expect("it listens");
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .expect("HTTP");
        tokio::spawn(connection);
        let reply = sender.send_request(req).await.expect("an answer");
        answer = reply
            .into_body()
            .collect()
            .await
            .expect("a whole answer")
            .to_bytes();
    }
    if body.contains("DO-LIE") {
        return problem("not-run");
    }
    reply(
        StatusCode::OK,
        String::from_utf8(answer.to_vec()).expect("text"),
    )
}

fn completion(body: &Value) -> Response<Full<Bytes>> {
    let prompt = body["prompt"].as_str().expect("a prompt");
    let tokens = body["max_tokens"].as_u64().expect("a number of tokens");
    let words: Vec<String> = (0..tokens).map(|i| word(prompt, i)).collect();
    let has = |mark: &str| prompt.contains(mark);
    if has("DO-REFUSE") {
        return problem("not-run");
    }
    if has("DO-DOUBT") {
        return problem("unknown");
    }
    if body["stream"] == true {
        let keep = if has("DO-SHORT") || has("DO-CUT") {
            words.len() / 2
        } else {
            words.len()
        };
        return reply(StatusCode::OK, events(&words[..keep], !has("DO-CUT")));
    }
    let text = if has("DO-WRONG") {
        "someone else's".to_owned()
    } else {
        words.join(" ")
    };
    reply(
        StatusCode::OK,
        json!({ "choices": [{ "text": text }] }).to_string(),
    )
}

fn events(words: &[String], done: bool) -> String {
    let mut text = String::new();
    for (i, word) in words.iter().enumerate() {
        let space = if i == 0 { "" } else { " " };
        let event = json!({ "choices": [{ "text": format!("{space}{word}") }] });
        text.push_str(&format!("data: {event}\n\n"));
    }
    text.push_str(if done { "data: [DONE]\n\n" } else { "" });
    text
}

fn word(prompt: &str, i: u64) -> String {
    let mut word = format!("{:016x}", stable_hash([prompt, &i.to_string()]));
    word.truncate(8);
    word
}

fn problem(outcome: &str) -> Response<Full<Bytes>> {
    let body = json!({ "title": "refused", "outcome": outcome });
    let mut answer = reply(StatusCode::SERVICE_UNAVAILABLE, body.to_string());
    answer
        .headers_mut()
        .insert("retry-after", http::HeaderValue::from_static("0"));
    answer
}

fn reply(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
