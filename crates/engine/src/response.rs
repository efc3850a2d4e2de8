//! Answers of targets, read piece by piece.

use std::error::Error;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eelgrassmill_account::{ByteAccount, ResponseBuffer};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::client::{Shared, is_framed};
use crate::pool::Conn;
use crate::{BodyError, SendError};

/// A connection in use, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    shared: Arc<Shared>,
    address: SmolStr,
    pub(crate) conn: Option<Conn>,
}

impl Lease {
    pub(crate) fn enter(shared: Arc<Shared>, address: SmolStr) -> Result<Lease, SendError> {
        if !shared.pool.enter(&address) {
            return Err(SendError::NotSent(format!(
                "too many connections to {address}"
            )));
        }
        Ok(Lease {
            shared,
            address,
            conn: None,
        })
    }

    pub(crate) fn address(&self) -> &SmolStr {
        &self.address
    }

    fn keep(&mut self, lifetime: Option<Duration>) {
        if let Some(conn) = self.conn.take_if(|conn| conn.reusable) {
            self.shared.pool.keep(&self.address, conn, lifetime);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.shared.pool.leave(&self.address);
    }
}

/// What a target may be early with when it closes an idle connection: a request that is
/// sent just then is lost, and one that must not repeat is lost for good.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// How long the connection may be kept by what the target said of it.
fn lifetime(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut said = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: u64 = said.next()?.parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(CLOSE_MARGIN))
}

/// The answer of a target, its id checked. Dropping it before its end closes
/// the connection, so that the target can stop.
#[derive(Debug)]
pub struct TargetResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    body: Incoming,
    /// The connection goes back to the pool when the body has ended.
    lease: Lease,
}

impl TargetResponse {
    pub(crate) fn new(response: Response<Incoming>, lease: Lease) -> TargetResponse {
        let (head, body) = response.into_parts();
        TargetResponse {
            status: head.status,
            headers: head.headers,
            body,
            lease,
        }
    }

    /// Whether the end of its body is marked. Otherwise the body ends with the connection, which may
    /// also be the target's crash.
    pub fn is_framed(&self) -> bool {
        is_framed(self.status, &self.headers)
    }

    /// Whether it comes through a relay.
    pub fn is_relayed(&self) -> bool {
        self.lease.conn.as_ref().is_some_and(|conn| !conn.reusable)
    }

    /// Whether the target says that it refused the request and ran nothing.
    pub fn is_refusal(&self) -> bool {
        let refused = matches!(self.status.as_u16(), 409 | 503);
        refused
            && self
                .headers
                .get("x-outcome")
                .is_some_and(|value| value == "not-run")
    }

    /// The next piece of the body; `None` at its checked end.
    ///
    /// # Errors
    /// When the body is cut off or nothing comes for the idle timeout.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let idle = self.lease.shared.idle_body_timeout;
            let frame = match timeout(idle, self.body.frame()).await {
                Err(_) => return Err(BodyError::Idle),
                Ok(Some(Err(e))) => return Err(body_error(&e)),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    self.lease.keep(lifetime(&self.headers));
                    return Ok(None);
                }
            };
            if let Some(conn) = &self.lease.conn {
                conn.unused.reset();
            }
            // Trailers carry nothing for us.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// The whole body, when it is no longer than `limit` bytes.
    ///
    /// # Errors
    /// When it is cut off, too long, or the target goes silent within it.
    pub async fn read_whole(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.chunk().await? {
            if body.len() + piece.len() > limit {
                return Err(BodyError::TooLong(limit));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// The same within an account: while that is full, this doesn't read from the target.
    ///
    /// # Errors
    /// Those of [`TargetResponse::read_whole`].
    pub async fn read_whole_within(
        mut self,
        account: &ByteAccount,
        limit: usize,
    ) -> Result<Bytes, BodyError> {
        let announced = self.body.size_hint().exact();
        let too_long = |_| BodyError::TooLong(limit);
        let buffer = ResponseBuffer::new(account, announced, limit).await;
        let mut buffer = buffer.map_err(too_long)?;
        while let Some(piece) = self.chunk().await? {
            buffer.push(&piece).await.map_err(too_long)?;
        }
        Ok(buffer.finish())
    }
}

/// Bytes that are no answer are the target's fault; a connection that breaks may be the link's.
fn body_error(error: &hyper::Error) -> BodyError {
    let mut source = error.source();
    while let Some(cause) = source {
        let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
        if let Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) = kind {
            return BodyError::Malformed(cause.to_string());
        }
        source = cause.source();
    }
    BodyError::Cut(error.to_string())
}
