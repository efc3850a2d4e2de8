//! Connections to hosts through another node.
//!
//! A call carries the bytes of one connection both ways. It uses connections of its own, so that a
//! slow stream doesn't hold up the calls between nodes.

use std::io;
use std::time::Duration;

use eelgrassmill_account::Charge;
use prost::bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use crate::error::PeerError;
use crate::wire::host_messages::TunnelFrame;

/// Bytes that are read from a host at once.
const READ_BYTES: usize = 8 << 10;
/// Frames that are buffered on the way back from a host.
const BUFFERED_FRAMES: usize = 4;

/// Why a node opened no connection to a host for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TunnelError {
    /// It takes no more tunnels, or doesn't reach hosts itself.
    #[error("the node can't relay now")]
    Unavailable,
    /// The host refused the connection.
    #[error("the host refused the connection")]
    Refused,
    /// The host wasn't reached in time.
    #[error("the host can't be reached")]
    Unreachable,
}

impl From<TunnelError> for Status {
    fn from(err: TunnelError) -> Status {
        match err {
            TunnelError::Unavailable => Status::resource_exhausted(err.to_string()),
            TunnelError::Refused => Status::failed_precondition(err.to_string()),
            TunnelError::Unreachable => Status::not_found(err.to_string()),
        }
    }
}

impl From<Status> for TunnelError {
    fn from(status: Status) -> TunnelError {
        match status.code() {
            tonic::Code::FailedPrecondition => TunnelError::Refused,
            tonic::Code::NotFound => TunnelError::Unreachable,
            _ => TunnelError::Unavailable,
        }
    }
}

impl From<PeerError> for TunnelError {
    fn from(_: PeerError) -> TunnelError {
        TunnelError::Unavailable
    }
}

/// A connection to a host that was opened for another node.
#[derive(Debug)]
pub struct HostConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Held while the tunnel is open.
    pub permit: OwnedSemaphorePermit,
    /// What the tunnel is charged, held as long.
    pub charge: Charge,
    /// Closes the tunnel once it is set.
    pub closing: watch::Receiver<bool>,
}

/// The receiving side of a tunnel.
#[derive(Debug)]
pub struct TunnelReader(Streaming<TunnelFrame>);

impl TunnelReader {
    /// The next bytes from the host; `None` at the end of its connection.
    ///
    /// # Errors
    /// When the connection broke at the host or on the way.
    pub async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let frame = self.0.next().await?;
        let reset =
            |status: Status| io::Error::new(io::ErrorKind::ConnectionReset, status.message());
        Some(frame.map(|f| f.data).map_err(reset))
    }
}

impl From<Streaming<TunnelFrame>> for TunnelReader {
    fn from(frames: Streaming<TunnelFrame>) -> TunnelReader {
        TunnelReader(frames)
    }
}

/// The frames that a node sends: the request for the connection, then the bytes for the host.
pub(crate) fn outgoing(
    from: &str,
    address: &str,
    timeout: Duration,
    sent: mpsc::Receiver<Bytes>,
) -> impl tokio_stream::Stream<Item = TunnelFrame> + Send + 'static {
    let first = TunnelFrame {
        from: from.to_owned(),
        address: address.to_owned(),
        timeout_ms: timeout.as_millis() as u64,
        data: Bytes::new(),
    };
    let rest = ReceiverStream::new(sent).map(|data| TunnelFrame {
        data,
        ..TunnelFrame::default()
    });
    tokio_stream::once(first).chain(rest)
}

/// Carries bytes between a host and the calling node until either closes its connection. Returns
/// the frames for the node.
pub(crate) fn carry(
    host: HostConnection,
    incoming: Streaming<TunnelFrame>,
) -> ReceiverStream<Result<TunnelFrame, Status>> {
    let (tx, rx) = mpsc::channel(BUFFERED_FRAMES);
    tokio::spawn(async move {
        let mut closing = host.closing;
        let (read, write) = host.stream.into_split();
        tokio::select! {
            () = to_host(incoming, write) => {}
            () = from_host(read, &tx) => {}
            _ = closing.wait_for(|closing| *closing) => {
                // It fails only if the calling node has closed the tunnel.
                let _ = tx.try_send(Err(Status::unavailable("the relay is stopping")));
            }
        }
        drop((host.permit, host.charge));
    });
    ReceiverStream::new(rx)
}

/// Returns once the node has closed its connection. A host that reads no more may still answer.
async fn to_host(mut incoming: Streaming<TunnelFrame>, mut write: OwnedWriteHalf) {
    let mut is_open = true;
    while let Some(Ok(frame)) = incoming.next().await {
        is_open = is_open && write.write_all(&frame.data).await.is_ok();
    }
}

async fn from_host(mut read: OwnedReadHalf, tx: &mpsc::Sender<Result<TunnelFrame, Status>>) {
    loop {
        let mut data = BytesMut::with_capacity(READ_BYTES);
        let frame = match read.read_buf(&mut data).await {
            Ok(0) => return,
            Ok(_) => Ok(TunnelFrame {
                data: data.freeze(),
                ..TunnelFrame::default()
            }),
            Err(err) => Err(Status::unavailable(err.to_string())),
        };
        let is_last = frame.is_err();
        if tx.send(frame).await.is_err() || is_last {
            return;
        }
    }
}
