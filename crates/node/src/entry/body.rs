//! The body of an answer to a caller: whole, or a stream that may break.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream that can't be brought to its end.
///
/// hyper closes the connection without the terminating chunk when a body
/// fails with it, so that any HTTP client reports an error and never takes
/// the part it has for the whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off before its end")]
pub(crate) struct Broken;

/// What is sent back to a caller.
pub(crate) enum AnswerBody {
    /// Known from start to end.
    Whole(Option<Bytes>),
    /// Chunks as they come from a target.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl AnswerBody {
    pub(crate) fn whole(buf: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(buf.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            AnswerBody::Whole(buf) => Poll::Ready(buf.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Stream(rx) => rx
                .poll_recv(cx)
                .map(|next| next.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(buf) => {
                SizeHint::with_exact(buf.as_ref().map_or(0, |b| b.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
