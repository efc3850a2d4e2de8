//! Responses that hold what their request does until they are sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use crate::connection::ActiveRequest;

/// The body of a response with its request, which ends once the body was handed on.
#[derive(Debug)]
pub struct Held<B> {
    body: B,
    _request: ActiveRequest,
}

impl<B> Held<B> {
    /// Holds `request` until `body` was handed on.
    pub fn new(body: B, request: ActiveRequest) -> Held<B> {
        Held {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for Held<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
