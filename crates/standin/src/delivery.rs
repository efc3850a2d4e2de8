//! How an answer leaves a target, faults included.

use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_base::Tokens;
use http::{HeaderValue, Response, StatusCode, header};
use tokio::sync::mpsc;

use crate::faults::Fault;
use crate::host::{Host, LastAnswer};
use crate::http::{Answer, AnswerBody, CutOff, text};
use crate::meta::Meta;

/// Time for what was written to leave before the connection breaks.
const FLUSH_TIME: Duration = Duration::from_millis(5);
const DEFAULT_LATE_MS: u64 = 1_000;
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");
/// Pieces of a stream that may wait for a slow reader.
const PIECES: usize = 16;

/// Decides how one answer leaves.
pub(crate) struct Delivery {
    echo: String,
    epoch: u64,
    /// Offset at which the answer goes on, echoed where the request named one.
    resume_from: Option<Tokens>,
    cut_after: Option<usize>,
    headers_only: bool,
    late: Duration,
}

/// The sending end of a stream, which may be cut.
pub(crate) struct PieceSender {
    tx: mpsc::Sender<Result<Bytes, CutOff>>,
    left: Option<usize>,
}

impl Delivery {
    pub(crate) fn new(host: &Host, meta: &Meta) -> Delivery {
        let other = host.swap_last_request(&meta.request);
        let wrong = host.faults.is_on(Fault::WrongId);
        let echo = match (wrong, other.is_empty() || other == meta.request) {
            (false, _) => meta.request.to_string(),
            (true, true) => "another-request".to_owned(),
            (true, false) => other.to_string(),
        };
        let cut_after = host.faults.argument(Fault::CutAfter, 0);
        let late = host
            .faults
            .argument(Fault::Late, DEFAULT_LATE_MS)
            .unwrap_or(0);
        Delivery {
            echo,
            epoch: meta
                .epoch
                .saturating_sub(u64::from(host.faults.is_on(Fault::WrongEpoch))),
            resume_from: meta.names_offset.then_some(meta.resume_from),
            cut_after: cut_after.map(|n| usize::try_from(n).unwrap_or(usize::MAX)),
            headers_only: host.faults.is_on(Fault::CloseAfterHeaders),
            late: Duration::from_millis(late),
        }
    }

    /// Waits as long as the answer is to be late.
    pub(crate) async fn wait(&self) {
        if !self.late.is_zero() {
            tokio::time::sleep(self.late).await;
        }
    }

    /// A whole answer, or what the faults leave of it.
    pub(crate) fn whole(&self, kind: &'static str, body: String) -> Answer {
        let length = body.len();
        let cut = self.cut_after.filter(|n| *n < length);
        let keep = if self.headers_only { Some(0) } else { cut };
        let mut answer = match keep {
            None => self.head(kind, AnswerBody::Whole(Bytes::from(body).into())),
            Some(keep) => self.head(kind, broken_body(body, keep)),
        };
        answer
            .headers_mut()
            .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        answer
    }

    /// A stream, and what sends its pieces.
    pub(crate) fn stream(&self, kind: &'static str) -> (Answer, PieceSender) {
        let (tx, rx) = mpsc::channel(PIECES);
        let left = if self.headers_only {
            Some(0)
        } else {
            self.cut_after
        };
        (
            self.head(kind, AnswerBody::Pieces(rx)),
            PieceSender { tx, left },
        )
    }

    fn head(&self, kind: &'static str, body: AnswerBody) -> Answer {
        let mut answer = Response::new(body);
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Ok(echo) = HeaderValue::from_str(&self.echo) {
            headers.insert("x-request-id", echo);
        }
        headers.insert("x-group-epoch", HeaderValue::from(self.epoch));
        if let Some(offset) = self.resume_from {
            headers.insert("x-resume-from", HeaderValue::from(offset));
        }
        answer
    }
}

impl PieceSender {
    /// Sends one piece; whether the stream goes on.
    pub(crate) async fn send(&mut self, piece: String) -> bool {
        let mut piece = Bytes::from(piece);
        let cut = self.left.is_some_and(|left| left < piece.len());
        if let Some(left) = &mut self.left {
            piece.truncate(*left);
            *left -= piece.len();
        }
        let sent = self.tx.send(Ok(piece)).await.is_ok();
        if cut {
            self.cut().await;
        }
        sent && !cut
    }

    /// Breaks the stream off.
    pub(crate) async fn cut(&self) {
        tokio::time::sleep(FLUSH_TIME).await;
        // A reader that has gone needs no end.
        let _ = self.tx.send(Err(CutOff)).await;
    }

    /// Waits until the reader has gone.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }
}

fn broken_body(body: String, keep: usize) -> AnswerBody {
    let (tx, rx) = mpsc::channel(PIECES);
    let mut sender = PieceSender {
        tx,
        left: Some(keep),
    };
    tokio::spawn(async move { sender.send(body).await });
    AnswerBody::Pieces(rx)
}

/// The refusal of a request that did not run.
pub(crate) fn refuse(status: StatusCode, meta: &Meta, why: &str) -> Answer {
    let mut answer = text(status, why);
    let headers = answer.headers_mut();
    headers.insert("x-outcome", HeaderValue::from_static("not-run"));
    headers.insert(header::RETRY_AFTER, RETRY_AFTER);
    headers.insert("x-group-epoch", HeaderValue::from(meta.epoch));
    if let Ok(echo) = HeaderValue::from_str(&meta.request) {
        headers.insert("x-request-id", echo);
    }
    answer
}

/// The answer to an earlier request once more, in place of the one to `meta`.
pub(crate) fn again(host: &Host, meta: &Meta) -> Option<Answer> {
    if !host.faults.is_on(Fault::Twice) {
        return None;
    }
    let last = host.take_last_answer()?;
    let meta = Meta {
        request: last.request,
        ..meta.clone()
    };
    Some(Delivery::new(host, &meta).whole("application/json", last.body))
}

/// Keeps an answer that is to be given twice.
pub(crate) fn keep(host: &Host, meta: &Meta, body: &str) {
    if host.faults.is_on(Fault::Twice) {
        host.keep_last_answer(LastAnswer {
            request: meta.request.clone(),
            body: body.to_owned(),
        });
    }
}
