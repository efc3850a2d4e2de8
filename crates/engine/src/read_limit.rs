//! Bounds what a connection reads without any part of a response.
//!
//! The parser of responses skips interim responses and leading zeros of chunk sizes however many
//! come. A target that sends such bytes without end would hold its connection and a core.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may be read between two parts of a response: several times the read buffer, which is
/// filled ahead of the parts that are handed out.
const MAX_UNUSED_BYTES: usize = 256 << 10;

/// Bytes that a connection has read since the last part of a response. Cheap to clone; all clones
/// share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnusedBytes(Arc<AtomicUsize>);

impl UnusedBytes {
    /// Records that a request was sent or a part of its response was handed out.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let unused = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if unused > MAX_UNUSED_BYTES {
            let why = format!("{MAX_UNUSED_BYTES} bytes without a part of a response");
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        }
        Ok(())
    }
}

/// A connection that fails once it has read too many unused bytes.
#[derive(Debug)]
pub(crate) struct ReadLimited<T> {
    io: T,
    unused: UnusedBytes,
}

impl<T> ReadLimited<T> {
    pub(crate) fn new(io: T, unused: UnusedBytes) -> ReadLimited<T> {
        ReadLimited { io, unused }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ReadLimited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(self.unused.add(buf.filled().len() - before)),
            other => other,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ReadLimited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
