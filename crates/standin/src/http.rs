//! What all stand-in servers share: bodies, small answers and queries.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_stores::percent_decode;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;
use tokio::sync::mpsc;

/// Bytes of a request's body at most.
const MAX_BODY: usize = 4 << 20;
/// How long a whole request body may take.
const BODY_TIME: Duration = Duration::from_secs(10);

/// An answer of a stand-in.
pub(crate) type Answer = Response<AnswerBody>;

/// Why an answer stops before its end; the connection closes then.
#[derive(Debug, thiserror::Error)]
#[error("answer cut off")]
pub(crate) struct CutOff;

/// Whole at once, or piece by piece.
pub(crate) enum AnswerBody {
    Whole(Full<Bytes>),
    Pieces(mpsc::Receiver<Result<Bytes, CutOff>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(never),
            AnswerBody::Pieces(rx) => rx.poll_recv(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}

fn never(error: Infallible) -> CutOff {
    match error {}
}

/// An answer of `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => whole(status, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// An answer of one line of text.
pub(crate) fn text(status: StatusCode, line: &str) -> Answer {
    whole(status, "text/plain", format!("{line}\n"))
}

/// A whole answer.
pub(crate) fn whole(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Full::new(body.into())));
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Reads a request's body within its bounds.
pub(crate) async fn read_body(req: Request<Incoming>) -> Result<Bytes, Answer> {
    let body = Limited::new(req.into_body(), MAX_BODY).collect();
    match tokio::time::timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) => Err(text(StatusCode::BAD_REQUEST, &format!("body: {e}"))),
        Err(_) => Err(text(StatusCode::REQUEST_TIMEOUT, "body took too long")),
    }
}

/// The value of `name` in the query of `uri`.
pub(crate) fn query(uri: &http::Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs
        .filter_map(|pair| pair.split_once('='))
        .filter(|(n, _)| *n == name);
    percent_decode(values.next()?.1)
}

/// The number `name` in the query of `uri`.
pub(crate) fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    query(uri, name)?.parse().ok()
}

/// The text of header `name`; empty when it is absent.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// The number in header `name`.
pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}

/// Goes on with `work` also when its caller leaves.
///
/// A process that was frozen reads, once it goes on, what lay in its socket,
/// and acts on it with nobody waiting. Were the work dropped with the
/// connection, no order, call or write would ever take effect late.
pub(crate) async fn unhurried(
    work: impl Future<Output = Result<Answer, CutOff>> + Send + 'static,
) -> Result<Answer, CutOff> {
    tokio::spawn(work).await.unwrap_or(Err(CutOff))
}
