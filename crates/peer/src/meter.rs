//! Counts connections, calls and bytes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use eelgrassmill_account::ClientStream;
use eelgrassmill_base::value;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::codegen::Service;
use tonic::transport::server::{Connected, TcpConnectInfo};

value! { copy
    /// Traffic over a node's connections to other nodes, without TCP overhead.
    pub struct Traffic {
        /// Bytes sent.
        pub sent_bytes: u64,
        /// Bytes received.
        pub received_bytes: u64,
        /// Calls made.
        pub calls: u64,
        /// Calls made that failed.
        pub failed_calls: u64,
        /// Connections opened to other nodes.
        pub connections: u64,
    }
}

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
    failed_calls: AtomicU64,
    connections: AtomicU64,
}

/// Traffic counters of one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    counters: Arc<Counters>,
}

impl Meter {
    pub(crate) fn traffic(&self) -> Traffic {
        Traffic {
            sent_bytes: self.counters.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.counters.received_bytes.load(Ordering::Relaxed),
            calls: self.counters.calls.load(Ordering::Relaxed),
            failed_calls: self.counters.failed_calls.load(Ordering::Relaxed),
            connections: self.counters.connections.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_call(&self, succeeded: bool) {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        if !succeeded {
            self.counters.failed_calls.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A connection that counts its bytes.
pub(crate) struct MeteredStream<T> {
    io: T,
    meter: Meter,
}

impl<T> MeteredStream<T> {
    pub(crate) fn new(io: T, meter: Meter) -> MeteredStream<T> {
        MeteredStream { io, meter }
    }
}

impl Connected for MeteredStream<ClientStream<TcpStream>> {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.io.get_ref().connect_info()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        let received = &self.meter.counters.received_bytes;
        received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            let sent = &self.meter.counters.sent_bytes;
            sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Connects to `IP:PORT` with a metered stream.
#[derive(Clone)]
pub(crate) struct Connector {
    meter: Meter,
}

impl Connector {
    pub(crate) fn new(meter: Meter) -> Connector {
        Connector { meter }
    }
}

impl Service<http::Uri> for Connector {
    type Response = TokioIo<MeteredStream<TcpStream>>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: http::Uri) -> Self::Future {
        let meter = self.meter.clone();
        meter.counters.connections.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let stream = TcpStream::connect(parse_authority(&uri)?).await?;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(MeteredStream::new(stream, meter)))
        })
    }
}

/// The address in `uri`, which must be numeric: nodes don't use DNS.
fn parse_authority(uri: &http::Uri) -> io::Result<SocketAddr> {
    uri.authority()
        .and_then(|authority| authority.as_str().parse().ok())
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "not a numeric IP:PORT"))
}
