//! Bodies of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use eelgrassmill_account::{ByteAccount, ResponseWindow};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The response was cut off. hyper then closes the connection without the final chunk, so that the
/// caller detects the incomplete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response was cut off")]
pub(crate) struct Truncated;

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Truncated {
        match never {}
    }
}

/// Chunks of a stream that its caller hasn't read.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// A part of a forwarded stream.
#[derive(Debug)]
pub(crate) enum StreamChunk {
    Events(Bytes),
    /// All events were sent.
    End,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

/// The sending side of a stream.
#[derive(Debug)]
pub(crate) struct StreamSender {
    tx: mpsc::Sender<StreamChunk>,
    window: ResponseWindow,
}

impl StreamSender {
    /// Sends events once the caller has read those before them.
    pub(crate) async fn send_events(&self, events: Bytes) -> Result<(), CallerDisconnected> {
        let events = self.window.hold(events).await;
        let sent = self.tx.send(StreamChunk::Events(events)).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Sends the end of a complete stream.
    pub(crate) async fn send_end(&self) -> Result<(), CallerDisconnected> {
        let sent = self.tx.send(StreamChunk::End).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The body of a response.
///
/// A stream is complete only after [`StreamChunk::End`]: a channel that closes without it is a
/// truncated response. A chunk for errors might not fit in the channel of a slow caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<StreamChunk>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> ResponseBody {
        ResponseBody::Full(Some(bytes))
    }

    /// A stream whose unread bytes are held within the account.
    pub(crate) fn stream(account: &ByteAccount) -> (StreamSender, ResponseBody) {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let sender = StreamSender {
            tx,
            window: ResponseWindow::new(account),
        };
        (sender, ResponseBody::Stream(rx))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            ResponseBody::Stream(rx) => rx.poll_recv(cx).map(|chunk| match chunk {
                Some(StreamChunk::Events(events)) => Some(Ok(Frame::data(events))),
                Some(StreamChunk::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
