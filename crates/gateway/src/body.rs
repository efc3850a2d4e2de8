//! Bodies of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
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

/// A part of a forwarded stream.
#[derive(Debug)]
pub(crate) enum StreamChunk {
    Events(Bytes),
    /// All events were sent.
    End,
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
