//! Requests to targets over kept connections.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::RequestId;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::blocked_targets::{BlockedTargets, LinkFault};
use crate::pool::{Conn, Pool, PoolLimits};
use crate::read_limit::{ReadLimited, UnusedBytes};
use crate::relay::{Relay, RelayError, RelayStream};
use crate::response::Lease;
use crate::{SendError, TargetResponse};

/// The header in which targets echo the id of a request, unless another is set.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const MAX_HEADER_BYTES: usize = 64 << 10;
/// A connection that just ended an answer needs a moment to be ready again.
const READY_TIME: Duration = Duration::from_millis(20);
/// Time without an answer after which a request that may be repeated is also sent through a relay.
const HEDGE_DELAY: Duration = Duration::from_millis(80);

type TargetHttpRequest = Request<Full<Bytes>>;

/// Sends requests to targets. Cheap to clone; all clones share the connections.
#[derive(Clone, Debug)]
pub struct TargetClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) pool: Pool,
    pub(crate) idle_body_timeout: Duration,
    connect_timeout: Duration,
    head_timeout: Duration,
    echo: Option<HeaderName>,
    accept_unframed: bool,
    pub(crate) relay: Option<Relay>,
    blocked_targets: Option<BlockedTargets>,
}

/// Sets up a [`TargetClient`].
#[derive(Debug)]
pub struct TargetClientBuilder {
    connect_timeout: Duration,
    head_timeout: Duration,
    idle_body_timeout: Duration,
    limits: PoolLimits,
    echo: Option<HeaderName>,
    accept_unframed: bool,
    relay: Option<Relay>,
    blocked_targets: Option<BlockedTargets>,
}

/// One request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; the one that targets echo is required. `Host` names the target where
    /// it is left out.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What became of an attempt on one connection.
enum Attempt {
    Answered(Response<Incoming>),
    /// Nothing was written; the request comes back.
    Unwritten(Box<TargetHttpRequest>),
}

/// An established connection.
enum Established {
    Direct(TcpStream),
    Relayed(RelayStream),
}

impl TargetClientBuilder {
    /// Bounds the connect; 1 s by default.
    pub fn connect_timeout(mut self, timeout: Duration) -> TargetClientBuilder {
        self.connect_timeout = timeout;
        self
    }

    /// Bounds the wait for the head of an answer; 60 s by default.
    pub fn head_timeout(mut self, timeout: Duration) -> TargetClientBuilder {
        self.head_timeout = timeout;
        self
    }

    /// Bounds the wait for each next piece of a body; 30 s by default.
    pub fn idle_body_timeout(mut self, timeout: Duration) -> TargetClientBuilder {
        self.idle_body_timeout = timeout;
        self
    }

    /// Bounds how long a connection is kept unused; 15 s by default.
    pub fn idle_time(mut self, time: Duration) -> TargetClientBuilder {
        self.limits.idle_time = time;
        self
    }

    /// Bounds the unused connections per address; 32 by default.
    pub fn max_idle(mut self, connections: usize) -> TargetClientBuilder {
        self.limits.max_idle = connections;
        self
    }

    /// Bounds the connections in use per address; 256 by default.
    pub fn max_in_use(mut self, connections: usize) -> TargetClientBuilder {
        self.limits.max_in_use = connections;
        self
    }

    /// The header that an answer must echo; `x-request-id` by default.
    ///
    /// `None` is for services whose answers carry no id: their connections must then
    /// be given up after any answer that came late.
    pub fn echo(mut self, header: Option<HeaderName>) -> TargetClientBuilder {
        self.echo = header;
        self
    }

    /// Whether an answer may end with its connection; not by default.
    ///
    /// A body that is cut by a reset still counts as cut. One that is cut by an
    /// orderly close looks whole, so this is only for targets that never do that.
    pub fn accept_unframed(mut self, accept: bool) -> TargetClientBuilder {
        self.accept_unframed = accept;
        self
    }

    /// Where connections are opened that can't be opened directly; nowhere by default.
    pub fn relay(mut self, relay: Option<Relay>) -> TargetClientBuilder {
        self.relay = relay;
        self
    }

    /// Links that fail; none by default.
    pub fn blocked_targets(mut self, blocked: Option<BlockedTargets>) -> TargetClientBuilder {
        self.blocked_targets = blocked;
        self
    }

    /// The client as set up.
    pub fn build(self) -> TargetClient {
        TargetClient {
            shared: Arc::new(Shared {
                pool: Pool::new(self.limits),
                idle_body_timeout: self.idle_body_timeout,
                connect_timeout: self.connect_timeout,
                head_timeout: self.head_timeout,
                echo: self.echo,
                accept_unframed: self.accept_unframed,
                relay: self.relay,
                blocked_targets: self.blocked_targets,
            }),
        }
    }
}

impl Default for TargetClient {
    fn default() -> TargetClient {
        TargetClient::builder().build()
    }
}

impl TargetClient {
    /// Sets up a client.
    pub fn builder() -> TargetClientBuilder {
        TargetClientBuilder {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(60),
            idle_body_timeout: Duration::from_secs(30),
            limits: PoolLimits {
                idle_time: Duration::from_secs(15),
                max_idle: 32,
                max_in_use: 256,
            },
            echo: Some(REQUEST_ID),
            accept_unframed: false,
            relay: None,
            blocked_targets: None,
        }
    }

    /// Sends `req` to the target at `address` (`IP:PORT`) and waits for the
    /// head of the answer. Dropping this future closes the connection, so that
    /// the target can stop.
    ///
    /// # Errors
    /// [`SendError::NotSent`] or [`SendError::Refused`] only when no byte of the request left.
    pub async fn send(
        &self,
        address: &str,
        req: TargetRequest,
    ) -> Result<TargetResponse, SendError> {
        self.send_within(address, req, self.shared.head_timeout)
            .await
    }

    /// Like [`TargetClient::send`], with a bound of its own on the wait for the head.
    ///
    /// # Errors
    /// [`SendError::NotSent`] or [`SendError::Refused`] only when no byte of the request left.
    pub async fn send_within(
        &self,
        address: &str,
        req: TargetRequest,
        head_timeout: Duration,
    ) -> Result<TargetResponse, SendError> {
        self.send_over(address, req, head_timeout, false).await
    }

    /// Like [`TargetClient::send_within`], for a request that may be repeated: where no answer comes
    /// soon, or its connection breaks, it is sent through a relay as well.
    ///
    /// # Errors
    /// Those of [`TargetClient::send_within`].
    pub async fn send_hedged(
        &self,
        address: &str,
        req: TargetRequest,
        head_timeout: Duration,
    ) -> Result<TargetResponse, SendError> {
        if self.shared.relay.is_none() {
            return self.send_within(address, req, head_timeout).await;
        }
        let first = self.send_over(address, req.clone(), head_timeout, false);
        let broken = Notify::new();
        let second = async {
            tokio::select! {
                () = tokio::time::sleep(HEDGE_DELAY) => {}
                () = broken.notified() => {}
            }
            self.send_over(address, req, head_timeout, true).await
        };
        tokio::pin!(first, second);
        tokio::select! {
            sent = &mut first => match sent {
                // A kept connection may break although the target is well.
                Err(SendError::Unknown(why)) => {
                    broken.notify_one();
                    second.await.map_err(|_| SendError::Unknown(why))
                }
                sent => sent,
            },
            sent = &mut second => match sent {
                Ok(response) => Ok(response),
                Err(_) => first.await,
            },
        }
    }

    async fn send_over(
        &self,
        address: &str,
        req: TargetRequest,
        head_timeout: Duration,
        relayed_only: bool,
    ) -> Result<TargetResponse, SendError> {
        let address = SmolStr::from(address);
        let echo = self.shared.echo.as_ref();
        let expected = echo
            .map(|name| request_id(&req.headers, name))
            .transpose()?;
        let req = http_request(&address, req)?;
        let mut lease = Lease::enter(Arc::clone(&self.shared), address)?;
        let response = if relayed_only {
            lease.conn = Some(self.connect_relayed(lease.address()).await?);
            self.attempt_once(&mut lease, req, head_timeout).await?
        } else {
            self.exchange(&mut lease, req, head_timeout).await?
        };
        check_status(response.status())?;
        if let (Some(name), Some(expected)) = (echo, expected) {
            check_echo(&response, name, expected)?;
        }
        if !self.shared.accept_unframed {
            check_framing(&response)?;
        }
        Ok(TargetResponse::new(response, lease))
    }

    /// Closes the unused connections to `address`: they may be lost if one of them is.
    pub fn close_idle(&self, address: &str) {
        self.shared.pool.clear(&SmolStr::from(address));
    }

    /// Opens a connection to the target at `address` and closes it.
    ///
    /// # Errors
    /// [`SendError::Refused`] if nothing listens there, [`SendError::NotSent`] if it can't be
    /// reached in time.
    pub async fn check_listening(&self, address: &str) -> Result<(), SendError> {
        self.open(&SmolStr::from(address)).await.map(drop)
    }

    /// Whether the target at `address` is reached through a relay and not directly.
    pub async fn needs_relay(&self, address: &str) -> bool {
        let opened = self.open(&SmolStr::from(address)).await;
        matches!(opened, Ok(Established::Relayed(_)))
    }

    /// Opens a direct connection to the target at `address` for another node.
    ///
    /// # Errors
    /// [`SendError::Refused`] or [`SendError::NotSent`].
    pub async fn open_for_peer(&self, address: &str) -> Result<TcpStream, SendError> {
        self.open_direct(address).await
    }

    /// The client's relay, if it has one.
    pub fn relay(&self) -> Option<&Relay> {
        self.shared.relay.as_ref()
    }

    async fn exchange(
        &self,
        lease: &mut Lease,
        mut req: TargetHttpRequest,
        head_timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        if self.is_relayed(lease.address()) {
            // Connections from before the link was lost would swallow the request.
            self.shared.pool.clear(lease.address());
        }
        while let Some(conn) = self.shared.pool.take(lease.address()) {
            lease.conn = Some(conn);
            match self.attempt(lease, req, head_timeout).await? {
                Attempt::Answered(response) => return Ok(response),
                // The target closed this kept connection before anything was
                // written to it; the next one may serve.
                Attempt::Unwritten(back) => req = *back,
            }
        }
        lease.conn = Some(self.connect(lease.address()).await?);
        self.attempt_once(lease, req, head_timeout).await
    }

    async fn attempt_once(
        &self,
        lease: &mut Lease,
        req: TargetHttpRequest,
        head_timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        match self.attempt(lease, req, head_timeout).await? {
            Attempt::Answered(response) => Ok(response),
            Attempt::Unwritten(_) => Err(SendError::NotSent("connection closed".to_owned())),
        }
    }

    fn is_relayed(&self, address: &str) -> bool {
        let relay = self.shared.relay.as_ref();
        relay.is_some_and(|relay| relay.is_relayed(address))
    }

    async fn attempt(
        &self,
        lease: &mut Lease,
        req: TargetHttpRequest,
        head_timeout: Duration,
    ) -> Result<Attempt, SendError> {
        let Some(conn) = &mut lease.conn else {
            return Ok(Attempt::Unwritten(Box::new(req)));
        };
        if !matches!(timeout(READY_TIME, conn.sender.ready()).await, Ok(Ok(()))) {
            return Ok(Attempt::Unwritten(Box::new(req)));
        }
        conn.unused.reset();
        let answer = timeout(head_timeout, conn.sender.try_send_request(req)).await;
        match answer {
            Ok(Ok(response)) => {
                conn.unused.reset();
                if let Some(relay) = self.shared.relay.as_ref().filter(|_| conn.reusable) {
                    relay.paths().on_received(Instant::now());
                }
                Ok(Attempt::Answered(response))
            }
            Ok(Err(mut failed)) => match failed.take_message() {
                // hyper gives the message back only when it wrote none of it.
                Some(req) => Ok(Attempt::Unwritten(Box::new(req))),
                None => Err(SendError::Unknown(failed.into_error().to_string())),
            },
            Err(_) => {
                // Other kept connections to a target that can't be reached are lost, too.
                self.shared.pool.clear(lease.address());
                Err(SendError::Unknown("no answer in time".to_owned()))
            }
        }
    }

    /// Opens a connection, through a relay where the direct one fails or takes long.
    async fn open(&self, address: &SmolStr) -> Result<Established, SendError> {
        let Some(relay) = &self.shared.relay else {
            return self.open_direct(address).await.map(Established::Direct);
        };
        let delay = relay.paths().relay_delay(address, Instant::now());
        let failed = Notify::new();
        let relayed = async {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = failed.notified() => {}
            }
            relay.connect(address).await
        };
        let direct = self.open_direct(address);
        tokio::pin!(direct, relayed);
        let (direct_err, relayed) = tokio::select! {
            biased;
            opened = &mut direct => match opened {
                Ok(stream) => return Ok(Established::Direct(stream)),
                Err(err) => {
                    failed.notify_one();
                    (err, relayed.await)
                }
            },
            opened = &mut relayed => match opened {
                Ok(stream) => return Ok(self.relayed(address, stream)),
                Err(relay_err) => match direct.await {
                    Ok(stream) => return Ok(Established::Direct(stream)),
                    Err(err) => (err, Err(relay_err)),
                },
            },
        };
        match relayed {
            Ok(stream) => Ok(self.relayed(address, stream)),
            Err(RelayError::Refused) => Err(SendError::Refused(format!("{address}: refused"))),
            Err(RelayError::Unreachable | RelayError::Unavailable) => Err(direct_err),
        }
    }

    fn relayed(&self, address: &SmolStr, stream: RelayStream) -> Established {
        if let Some(relay) = &self.shared.relay {
            relay.paths().on_relayed(address, Instant::now());
        }
        self.shared.pool.clear(address);
        Established::Relayed(stream)
    }

    async fn open_direct(&self, address: &str) -> Result<TcpStream, SendError> {
        let failed = |why: &dyn std::fmt::Display| format!("{address}: {why}");
        let blocked = self.shared.blocked_targets.as_ref();
        match blocked.map(BlockedTargets::fault) {
            None | Some(LinkFault::None) => {}
            Some(LinkFault::Hang) => {
                tokio::time::sleep(self.shared.connect_timeout).await;
                return Err(SendError::NotSent(failed(&"connect took too long")));
            }
            Some(LinkFault::Reset | LinkFault::RefuseNew) => {
                return Err(SendError::Refused(failed(&"connection refused")));
            }
        }
        match timeout(self.shared.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                if let Some(relay) = &self.shared.relay {
                    relay.paths().on_direct(address, Instant::now());
                }
                Ok(stream)
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                Err(SendError::Refused(failed(&e)))
            }
            Ok(Err(e)) => Err(SendError::NotSent(failed(&e))),
            Err(_) => Err(SendError::NotSent(failed(&"connect took too long"))),
        }
    }

    async fn connect(&self, address: &SmolStr) -> Result<Conn, SendError> {
        match self.open(address).await? {
            Established::Direct(stream) => {
                let nodelay = stream.set_nodelay(true);
                nodelay.map_err(|e| SendError::NotSent(format!("{address}: {e}")))?;
                let blocked = self.shared.blocked_targets.clone();
                handshake(address, stream, true, blocked).await
            }
            Established::Relayed(stream) => handshake(address, stream, false, None).await,
        }
    }

    async fn connect_relayed(&self, address: &SmolStr) -> Result<Conn, SendError> {
        let not_sent = |e: RelayError| SendError::NotSent(format!("{address}: {e}"));
        let unavailable = || not_sent(RelayError::Unavailable);
        let relay = self.shared.relay.as_ref().ok_or_else(unavailable)?;
        let stream = relay.connect(address).await.map_err(not_sent)?;
        handshake(address, stream, false, None).await
    }
}

async fn handshake(
    address: &SmolStr,
    io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    reusable: bool,
    blocked: Option<BlockedTargets>,
) -> Result<Conn, SendError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEADER_BYTES);
    let unused = UnusedBytes::default();
    let io = ReadLimited::new(io, unused.clone());
    let handshake = builder.handshake(TokioIo::new(io)).await;
    let (sender, connection) =
        handshake.map_err(|e| SendError::NotSent(format!("{address}: {e}")))?;
    // Its errors reach whoever waits for the answer.
    let task = tokio::spawn(async move {
        let Some(blocked) = blocked else {
            return drop(connection.await);
        };
        tokio::pin!(connection);
        tokio::select! {
            _ = &mut connection => {}
            fault = blocked.wait_broken() => if fault == LinkFault::Hang {
                std::future::pending().await
            }
        }
    });
    Ok(Conn::new(sender, task.abort_handle(), unused, reusable))
}

fn request_id(headers: &HeaderMap, name: &HeaderName) -> Result<RequestId, SendError> {
    let id = headers.get(name).and_then(|value| value.to_str().ok());
    let id = id.filter(|id| !id.is_empty()).map(RequestId::from);
    id.ok_or_else(|| SendError::NotSent("request has no id".to_owned()))
}

fn http_request(address: &str, req: TargetRequest) -> Result<TargetHttpRequest, SendError> {
    let not_sent = |e: String| SendError::NotSent(e);
    let mut out = Request::new(Full::new(req.body));
    *out.method_mut() = req.method;
    *out.uri_mut() = req
        .path
        .parse()
        .map_err(|e: http::uri::InvalidUri| not_sent(e.to_string()))?;
    *out.headers_mut() = req.headers;
    if !out.headers().contains_key(header::HOST) {
        let host = HeaderValue::from_str(address).map_err(|e| not_sent(e.to_string()))?;
        out.headers_mut().insert(header::HOST, host);
    }
    Ok(out)
}

/// Rejects statuses that no request of ours can get. The HTTP library hands out 101, which agrees to
/// an upgrade that was never asked for, and those over 599, which HTTP doesn't define (RFC 9110,
/// section 15).
fn check_status(status: StatusCode) -> Result<(), SendError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        invalid => Err(SendError::InvalidStatus(invalid)),
    }
}

/// A late answer to an earlier request on a kept connection, or one that the
/// target mixed up, would otherwise reach the wrong caller.
fn check_echo(
    response: &Response<Incoming>,
    name: &HeaderName,
    expected: RequestId,
) -> Result<(), SendError> {
    let got = response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    if got == Some(expected.as_str()) {
        return Ok(());
    }
    Err(SendError::WrongId {
        expected,
        got: got.map(RequestId::from),
    })
}

/// Whether the end of a response's body is marked, by its length or by chunks.
pub(crate) fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || status == StatusCode::NO_CONTENT
}

/// A body that ends with the connection looks whole also when it was cut; only
/// an event stream has an end marker of its own.
fn check_framing(response: &Response<Incoming>) -> Result<(), SendError> {
    let headers = response.headers();
    let framed = is_framed(response.status(), headers);
    let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    let stream = kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"));
    if framed || stream {
        Ok(())
    } else {
        Err(SendError::Unframed)
    }
}
