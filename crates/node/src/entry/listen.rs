//! The callers' port: accepting, bounding and draining connections.
//!
//! oxhttp's server can't serve here: it holds a stream back until 16 KiB have
//! gathered and never learns that a caller left (docs/DESIGN.md has the
//! measurement), so this port is hyper's.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassmill_account::{ByteAccount, ClientStream, ConnectionTable, Held};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::body::AnswerBody;

/// A caller that has not sent its headers after this long is cut off.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most headers of one request.
const MAX_HEADERS: usize = 64;
/// Largest head of one request, in bytes; hyper's floor is 8 KiB.
const MAX_HEAD: usize = 32 * 1024;
/// A caller that reads nothing of its answer for this long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long accepting pauses when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers one request of a caller.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Accepts connections until `stop` turns true, then waits for every request in progress.
///
/// When all connections of the table are taken, the one that waits longest for its caller is closed
/// for another one. While all of them run requests, more wait in the kernel's queue, where they
/// cost nothing.
pub(crate) async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    connections: ConnectionTable,
    account: ByteAccount,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let stream = tokio::select! {
            stream = connections.admit(stream, &account, WRITE_TIMEOUT) => stream,
            _ = stop.wait_for(|s| *s) => break,
        };
        tokio::spawn(connection(stream, remote, handler.clone(), stop.clone()));
    }
    drop(listener);
    connections.wait_empty().await;
}

async fn connection<H: Handler>(
    stream: ClientStream<TcpStream>,
    remote: SocketAddr,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Tokens are small writes; waiting to join them would delay each.
    let _ = stream.get_ref().set_nodelay(true);
    let entry = stream.connection().clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let active = entry.begin_request();
        req.extensions_mut().insert(remote);
        req.extensions_mut().insert(entry.clone());
        let handler = handler.clone();
        // On the heap only while there is a request: hyper keeps room for it in each connection.
        Box::pin(async move {
            let resp = handler.handle(req).await;
            Ok::<_, Infallible>(resp.map(|body| Held::new(body, active)))
        })
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.wait_for(|s| *s) => {}
    }
    // The request in progress is answered; then the connection closes.
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}
