//! One HTTP call on a new connection.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

const CONNECT_TIME: Duration = Duration::from_secs(1);
const MAX_BODY: usize = 8 << 20;

/// Why a call gave no head of an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection, so nothing was sent.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// An answer; dropping it closes its connection.
pub(crate) struct Answer {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    /// Dropped with the answer.
    _connection: Connection,
}

/// Closes its connection when it is dropped.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Answer {
    /// The whole body; `None` when it was cut or is too long.
    pub(crate) async fn whole(mut self) -> Option<Bytes> {
        let body = Limited::new(&mut self.body, MAX_BODY)
            .collect()
            .await
            .ok()?;
        Some(body.to_bytes())
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers().get(name)?.to_str().ok()
    }
}

/// Sends `req` to `address` and waits for the head of the answer.
pub(crate) async fn call(address: &str, req: Request<Full<Bytes>>) -> Result<Answer, CallError> {
    let not_reached = |e: String| CallError::NotReached(format!("{address}: {e}"));
    let stream = match timeout(CONNECT_TIME, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(not_reached(e.to_string())),
        Err(_) => return Err(not_reached("connect took too long".to_owned())),
    };
    stream
        .set_nodelay(true)
        .map_err(|e| not_reached(e.to_string()))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| not_reached(e.to_string()))?;
    let task = tokio::spawn(async move { drop(connection.await) });
    let connection = Connection(task.abort_handle());
    let sent = sender.send_request(req).await;
    let (head, body) = sent
        .map_err(|e| CallError::NoAnswer(e.to_string()))?
        .into_parts();
    Ok(Answer {
        head: Response::from_parts(head, ()),
        body,
        _connection: connection,
    })
}
