//! One blocking HTTP call with bounds on time and size.

use std::io::{ErrorKind, Read};
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use oxhttp::model::{Body, HeaderMap, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

const DEFAULT_STEP_TIMEOUT: Duration = Duration::from_millis(1_500);
const DEFAULT_TOTAL_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_MAX_BODY_BYTES: usize = 16 << 20;
const READ_BLOCK: usize = 16 << 10;

/// Calls one HTTP server by a new connection for each call.
#[derive(Debug)]
pub struct HttpCaller {
    address: SmolStr,
    step_timeout: Duration,
    total_timeout: Duration,
    max_body_bytes: usize,
}

/// Sets up an [`HttpCaller`].
#[derive(Debug)]
pub struct HttpCallerBuilder(HttpCaller);

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why a call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The server refused the connection, so that no byte reached it.
    #[error("connection refused by {0}")]
    ConnectionRefused(SmolStr),
    /// The request may have reached the server; the text says what broke.
    #[error("no answer from {address}: {cause}")]
    NoResponse {
        /// Who was called.
        address: SmolStr,
        /// What broke.
        cause: String,
    },
    /// The answer isn't what the protocol allows.
    #[error("bad answer from {address}: {cause}")]
    InvalidResponse {
        /// Who was called.
        address: SmolStr,
        /// What is wrong with it.
        cause: String,
    },
    /// The request can't be written; nothing was sent.
    #[error("request can't be sent: {0}")]
    InvalidRequest(String),
}

impl HttpCallerBuilder {
    /// Bounds the connect, and each read and write, on its own. The head of an
    /// answer is bounded by this for each read and to 8 KiB, and by nothing else.
    pub fn step_timeout(mut self, timeout: Duration) -> HttpCallerBuilder {
        self.0.step_timeout = timeout;
        self
    }

    /// Bounds the reading of the whole body, checked between reads.
    pub fn total_timeout(mut self, timeout: Duration) -> HttpCallerBuilder {
        self.0.total_timeout = timeout;
        self
    }

    /// Bounds the bytes of an answer's body.
    pub fn max_body_bytes(mut self, bytes: usize) -> HttpCallerBuilder {
        self.0.max_body_bytes = bytes;
        self
    }

    /// The caller as set up.
    pub fn build(self) -> HttpCaller {
        self.0
    }
}

impl HttpCaller {
    /// Sets up calls to `address`, `IP:PORT`.
    pub fn builder(address: impl Into<SmolStr>) -> HttpCallerBuilder {
        HttpCallerBuilder(HttpCaller {
            address: address.into(),
            step_timeout: DEFAULT_STEP_TIMEOUT,
            total_timeout: DEFAULT_TOTAL_TIMEOUT,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        })
    }

    /// Gets `path`.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn get(&self, path: &str) -> Result<Reply, CallError> {
        self.call(Method::GET, path, Vec::new())
    }

    /// Posts `value` as JSON to `path`.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn post_json(&self, path: &str, value: &impl Serialize) -> Result<Reply, CallError> {
        let body =
            serde_json::to_vec(value).map_err(|e| CallError::InvalidRequest(e.to_string()))?;
        self.call(Method::POST, path, body)
    }

    /// Puts `body` at `path`.
    ///
    /// # Errors
    /// When no whole answer came.
    pub fn put(&self, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        self.call(Method::PUT, path, body)
    }

    /// Reads a reply's body as JSON.
    ///
    /// # Errors
    /// [`CallError::InvalidResponse`] when it isn't what was asked for.
    pub fn json<T: DeserializeOwned>(&self, reply: &Reply) -> Result<T, CallError> {
        serde_json::from_slice(&reply.body).map_err(|e| self.invalid_response(e.to_string()))
    }

    /// The error for an answer with a status that the protocol doesn't know.
    pub fn unexpected_status(&self, reply: &Reply) -> CallError {
        self.invalid_response(format!("status {}", reply.status.as_u16()))
    }

    fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        let start = Instant::now();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .map_err(|e| CallError::InvalidRequest(e.to_string()))?;
        let client = Client::new().with_global_timeout(self.step_timeout);
        let response = client.request(req).map_err(|e| self.transport_error(&e))?;
        self.read(response, start)
    }

    fn read(&self, response: Response<Body>, start: Instant) -> Result<Reply, CallError> {
        let status = response.status();
        // The client reads an answer with neither length nor chunks, legal in
        // HTTP/1.1, as an empty one: a row would look absent. Ours always say.
        if !is_framed(response.headers()) && status != StatusCode::NO_CONTENT {
            return Err(self.invalid_response("neither length nor chunks".to_owned()));
        }
        let mut stream = response.into_body();
        let mut body = Vec::new();
        let mut block = vec![0; READ_BLOCK];
        loop {
            let n = stream
                .read(&mut block)
                .map_err(|e| self.transport_error(&e))?;
            if n == 0 {
                return Ok(Reply { status, body });
            }
            body.extend_from_slice(&block[..n]);
            if body.len() > self.max_body_bytes {
                return Err(self.invalid_response(format!("over {} bytes", self.max_body_bytes)));
            }
            if start.elapsed() > self.total_timeout {
                let cause = "the whole answer took too long".to_owned();
                return Err(CallError::NoResponse {
                    address: self.address.clone(),
                    cause,
                });
            }
        }
    }

    fn transport_error(&self, error: &std::io::Error) -> CallError {
        match error.kind() {
            // Only connect(2) gives this; a time-out may also come after the
            // request was written, so it proves nothing.
            ErrorKind::ConnectionRefused => CallError::ConnectionRefused(self.address.clone()),
            ErrorKind::InvalidInput => CallError::InvalidRequest(error.to_string()),
            _ => CallError::NoResponse {
                address: self.address.clone(),
                cause: error.to_string(),
            },
        }
    }

    fn invalid_response(&self, cause: String) -> CallError {
        CallError::InvalidResponse {
            address: self.address.clone(),
            cause,
        }
    }
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
