//! A small client: one connection for each request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};

pub struct Reply {
    pub status: u16,
    pub retry_after: Option<u64>,
    /// An error when it broke off.
    pub body: io::Result<String>,
}

impl Reply {
    pub fn json(&self) -> serde_json::Value {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_str(body).unwrap_or_default()
    }
}

/// Sends a request; an error when no head of an answer came.
pub fn open(
    method: &str,
    at: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response<Body>> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{at}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(body.to_owned()).expect("a request");
    Client::new().with_global_timeout(timeout).request(req)
}

pub fn ask(
    method: &str,
    at: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Reply> {
    let answer = open(method, at, path, headers, body, timeout)?;
    let retry_after = answer
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    Ok(Reply {
        status: answer.status().as_u16(),
        retry_after,
        body: answer.into_body().to_string(),
    })
}
