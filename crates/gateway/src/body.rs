//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer was cut off. hyper then closes the connection without the end marker, so
/// that the caller sees that its answer isn't whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut off")]
pub(crate) struct CutOff;

impl From<Infallible> for CutOff {
    fn from(never: Infallible) -> CutOff {
        match never {}
    }
}

/// What is handed on of a stream.
#[derive(Debug)]
pub(crate) enum Piece {
    Events(Bytes),
    /// All events have come.
    End,
}

/// The body of an answer.
///
/// A stream is whole only if it was said to be: a channel that ends without [`Piece::End`] is an
/// answer that was cut off, also where its caller reads too slowly to be told of anything.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Piece>),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody::Whole(Some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            AnswerBody::Stream(rx) => rx.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Events(events)) => Some(Ok(Frame::data(events))),
                Some(Piece::End) => None,
                None => Some(Err(CutOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
