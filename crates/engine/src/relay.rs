//! Connections to targets through a node that reaches them.
//!
//! A node may lose its links to targets while it still reaches other nodes. [`TargetClient`] opens
//! each connection directly and, where that takes long or fails, through a relay at the same time;
//! the first one that is established is used.
//!
//! [`TargetClient`]: crate::TargetClient

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use smol_str::SmolStr;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::{mpsc, oneshot};

/// Time after which a connection that isn't established is also opened through a relay: connecting
/// takes 1 to 5 ms.
const RELAY_DELAY: Duration = Duration::from_millis(150);
/// How long the path through a relay is tried at once after it was needed.
const RELAYED_TTL: Duration = Duration::from_secs(2);
/// Targets that are reached through relays alone by a node that has lost its links.
const MIN_CUT_OFF_TARGETS: usize = 2;
/// Relay requests that wait to be handled.
const MAX_QUEUED_REQUESTS: usize = 512;
/// Bytes that are buffered on the way to a target.
const WRITE_BUFFER_BYTES: usize = 16 << 10;
/// Chunks that are buffered on the way back.
const READ_BUFFER_CHUNKS: usize = 4;

/// Why no relay opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// No relay could be asked.
    #[error("no relay is available")]
    Unavailable,
    /// The target refused the connection: nothing listens at the address.
    #[error("the target refused the relay's connection")]
    Refused,
    /// The relay didn't reach the target in time.
    #[error("the relay doesn't reach the target")]
    Unreachable,
}

/// A request to open a connection through a relay. Its reply is dropped if it is no longer needed.
#[derive(Debug)]
pub struct RelayRequest {
    /// `IP:PORT` of the target.
    pub address: SmolStr,
    /// Receives the connection.
    pub reply: oneshot::Sender<Result<RelayStream, RelayError>>,
}

/// Requests relays, and knows which targets need them. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay {
    requests: mpsc::Sender<RelayRequest>,
    paths: Arc<Mutex<PathTable>>,
}

impl Relay {
    /// Creates a relay client and the queue of its requests.
    pub fn new() -> (Relay, mpsc::Receiver<RelayRequest>) {
        let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let paths = Arc::default();
        (Relay { requests, paths }, queue)
    }

    /// Whether the target was recently reached through a relay and not directly.
    pub fn is_relayed(&self, address: &str) -> bool {
        self.paths().is_relayed(address, Instant::now())
    }

    /// Whether any target was recently reached through a relay and not directly.
    pub fn is_in_use(&self) -> bool {
        let now = Instant::now();
        self.paths().relayed.values().any(|at| is_recent(*at, now))
    }

    /// Whether this node has lost its links to targets, as far as it has tried them.
    pub fn is_cut_off(&self) -> bool {
        self.paths().is_cut_off(Instant::now())
    }

    /// When any target was last heard on a direct connection.
    pub fn last_direct(&self) -> Option<Instant> {
        self.paths().last_direct
    }

    pub(crate) fn paths(&self) -> MutexGuard<'_, PathTable> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn connect(&self, address: &SmolStr) -> Result<RelayStream, RelayError> {
        let (reply, connected) = oneshot::channel();
        let req = RelayRequest {
            address: address.clone(),
            reply,
        };
        let unavailable = RelayError::Unavailable;
        self.requests.try_send(req).map_err(|_| unavailable)?;
        connected.await.unwrap_or(Err(unavailable))
    }
}

/// How targets were reached lately.
#[derive(Debug, Default)]
pub(crate) struct PathTable {
    /// When targets were last reached through a relay, of those not reached directly since.
    relayed: BTreeMap<SmolStr, Instant>,
    /// When any target was last heard on a direct connection.
    last_direct: Option<Instant>,
}

impl PathTable {
    /// Records that a target was reached directly.
    pub(crate) fn on_direct(&mut self, address: &str, now: Instant) {
        self.last_direct = Some(now);
        if !self.relayed.is_empty() {
            self.relayed.remove(address);
        }
    }

    /// Records that a target was heard on a direct connection that may be older than the loss of
    /// its link.
    pub(crate) fn on_received(&mut self, now: Instant) {
        self.last_direct = Some(now);
    }

    /// Records that a target was reached through a relay and not directly.
    pub(crate) fn on_relayed(&mut self, address: &SmolStr, now: Instant) {
        self.relayed.retain(|_, at| is_recent(*at, now));
        self.relayed.insert(address.clone(), now);
    }

    /// How long to wait for a direct connection before a relay is tried as well.
    pub(crate) fn relay_delay(&self, address: &str, now: Instant) -> Duration {
        if self.is_relayed(address, now) || self.is_cut_off(now) {
            Duration::ZERO
        } else {
            RELAY_DELAY
        }
    }

    pub(crate) fn is_relayed(&self, address: &str, now: Instant) -> bool {
        self.relayed
            .get(address)
            .is_some_and(|at| is_recent(*at, now))
    }

    /// Whether several targets were reached through relays, and none directly since.
    pub(crate) fn is_cut_off(&self, now: Instant) -> bool {
        let is_later = |at: &&Instant| self.last_direct.is_none_or(|direct| direct < **at);
        let relayed = self.relayed.values().filter(|at| is_recent(**at, now));
        relayed.filter(is_later).count() >= MIN_CUT_OFF_TARGETS
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < RELAYED_TTL
}

/// A connection to a target through a relay.
#[derive(Debug)]
pub struct RelayStream {
    /// Closed without an error at the target's end of the connection.
    received: mpsc::Receiver<io::Result<Bytes>>,
    chunk: Bytes,
    sent: DuplexStream,
}

/// The relay's side of a [`RelayStream`].
#[derive(Debug)]
pub struct RelayEnd {
    /// Takes what the target sends.
    pub received: mpsc::Sender<io::Result<Bytes>>,
    /// Has what is sent to the target.
    pub sent: DuplexStream,
}

impl RelayStream {
    /// Creates both sides of a connection.
    pub fn new() -> (RelayStream, RelayEnd) {
        let (tx, rx) = mpsc::channel(READ_BUFFER_CHUNKS);
        let (near, far) = tokio::io::duplex(WRITE_BUFFER_BYTES);
        let stream = RelayStream {
            received: rx,
            chunk: Bytes::new(),
            sent: near,
        };
        let end = RelayEnd {
            received: tx,
            sent: far,
        };
        (stream, end)
    }
}

impl AsyncRead for RelayStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.chunk.is_empty() {
            match self.received.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Ready(Some(chunk)) => self.chunk = chunk?,
            }
        }
        let length = self.chunk.len().min(buf.remaining());
        buf.put_slice(&self.chunk[..length]);
        self.chunk.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.sent).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sent).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sent).poll_shutdown(cx)
    }
}
