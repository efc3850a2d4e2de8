//! A blocking HTTP client with limits on time and body size.

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
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Blocking HTTP client for one server. Opens a new connection for each request.
#[derive(Debug)]
pub struct HttpCaller {
    address: SmolStr,
    step_timeout: Duration,
    total_timeout: Duration,
    max_body_bytes: usize,
}

/// Builder of an [`HttpCaller`].
#[derive(Debug)]
pub struct HttpCallerBuilder(HttpCaller);

/// An HTTP response with its body read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Why a call returned no complete response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The server refused the connection, so no byte of the request reached it.
    #[error("connection refused by {0}")]
    ConnectionRefused(SmolStr),
    /// The request may have reached the server, but no complete response came back.
    #[error("no complete response from {address}: {cause}")]
    NoResponse {
        /// Address of the server.
        address: SmolStr,
        /// The I/O error or timeout.
        cause: String,
    },
    /// The response violates the protocol.
    #[error("invalid response from {address}: {cause}")]
    InvalidResponse {
        /// Address of the server.
        address: SmolStr,
        /// How the response violates the protocol.
        cause: String,
    },
    /// The request could not be built; nothing was sent.
    #[error("request could not be built: {0}")]
    InvalidRequest(String),
}

impl HttpCallerBuilder {
    /// Timeout of the connect and of each single read and write. The response head
    /// is limited to 8 KiB and by this timeout for each read, but not in total time.
    pub fn step_timeout(mut self, timeout: Duration) -> HttpCallerBuilder {
        self.0.step_timeout = timeout;
        self
    }

    /// Timeout from the start of a call to the end of its body, checked between reads of
    /// the body.
    pub fn total_timeout(mut self, timeout: Duration) -> HttpCallerBuilder {
        self.0.total_timeout = timeout;
        self
    }

    /// Maximum size of a response body in bytes.
    pub fn max_body_bytes(mut self, bytes: usize) -> HttpCallerBuilder {
        self.0.max_body_bytes = bytes;
        self
    }

    /// Returns the configured caller.
    pub fn build(self) -> HttpCaller {
        self.0
    }
}

impl HttpCaller {
    /// Returns a builder of a caller for the server at `address`, given as `IP:PORT`.
    pub fn builder(address: impl Into<SmolStr>) -> HttpCallerBuilder {
        HttpCallerBuilder(HttpCaller {
            address: address.into(),
            step_timeout: DEFAULT_STEP_TIMEOUT,
            total_timeout: DEFAULT_TOTAL_TIMEOUT,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        })
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    /// When no complete response was received.
    pub fn get(&self, path: &str) -> Result<Reply, CallError> {
        self.call(Method::GET, path, Vec::new())
    }

    /// Sends `value` as JSON in a POST request to `path`.
    ///
    /// # Errors
    /// When no complete response was received.
    pub fn post_json(&self, path: &str, value: &impl Serialize) -> Result<Reply, CallError> {
        let body =
            serde_json::to_vec(value).map_err(|e| CallError::InvalidRequest(e.to_string()))?;
        self.call(Method::POST, path, body)
    }

    /// Sends `body` in a PUT request to `path`.
    ///
    /// # Errors
    /// When no complete response was received.
    pub fn put(&self, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        self.call(Method::PUT, path, body)
    }

    /// Deserializes the body of `reply` from JSON.
    ///
    /// # Errors
    /// [`CallError::InvalidResponse`] when the body doesn't match `T`.
    pub fn json<T: DeserializeOwned>(&self, reply: &Reply) -> Result<T, CallError> {
        serde_json::from_slice(&reply.body).map_err(|e| self.invalid_response(e.to_string()))
    }

    /// Returns the error for a status that the protocol doesn't define for this request.
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
        // oxhttp reads a response without Content-Length and Transfer-Encoding, which
        // HTTP/1.1 allows, as empty, so an existing row would look absent. Our
        // servers always send one of the two.
        if !is_framed(response.headers()) && status != StatusCode::NO_CONTENT {
            return Err(
                self.invalid_response("neither Content-Length nor Transfer-Encoding".to_owned())
            );
        }
        let mut stream = response.into_body();
        let mut body = Vec::new();
        let mut buf = vec![0; READ_BUFFER_BYTES];
        loop {
            let n = stream
                .read(&mut buf)
                .map_err(|e| self.transport_error(&e))?;
            if n == 0 {
                return Ok(Reply { status, body });
            }
            body.extend_from_slice(&buf[..n]);
            if body.len() > self.max_body_bytes {
                return Err(
                    self.invalid_response(format!("body exceeds {} bytes", self.max_body_bytes))
                );
            }
            if start.elapsed() > self.total_timeout {
                let cause = "call exceeded the total timeout".to_owned();
                return Err(CallError::NoResponse {
                    address: self.address.clone(),
                    cause,
                });
            }
        }
    }

    fn transport_error(&self, error: &std::io::Error) -> CallError {
        match error.kind() {
            // Only connect(2) returns this. A timeout may also occur after the request
            // was written, so it doesn't show that nothing was sent.
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
