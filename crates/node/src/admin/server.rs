//! The port of the admin API: connections, bounds and the stop.
//!
//! hyper carries it and not oxhttp, whose timeout counts anew with each byte:
//! a client that drips its headers holds a connection for as long as it
//! likes, a few of them the whole port, and what isn't HTTP is never counted.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use eelgrassmill_account::{ByteAccount, ClientStream, Connection, ConnectionTable, Held};
use eelgrassmill_base::value;
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use super::backend::AdminBackend;
use super::call::Call;
use super::handler::{Refused, admit, handle, problem};
use super::problem::Problem;
use crate::admin_token::TokenHash;
use crate::metrics::{AdminRefusal, Metrics};

/// Longest headers of one request, in bytes; hyper takes no less.
const MAX_HEADERS: usize = 8 * 1024;
/// Calls that may wait for the table or for other nodes at a time.
const BLOCKING_CALLS: usize = 16;
/// A connection that has brought no call for this long may be closed for another one.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Wait after a failed accept; without it a lack of descriptors would spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

value! { copy
    /// Bounds of the admin port.
    pub struct AdminLimits {
        /// Connections at a time; more are closed at once.
        pub connections: u32,
        /// Longest body, in bytes.
        pub max_body: usize,
        /// Longest time for all headers to arrive.
        pub header_time: Duration,
        /// Longest time for the whole body to arrive.
        pub body_time: Duration,
        /// Longest time of one connection; each carries one call.
        pub call_time: Duration,
    }
}

impl Default for AdminLimits {
    fn default() -> AdminLimits {
        AdminLimits {
            connections: 32,
            // A text and its JSON escapes.
            max_body: 2 * eelgrassmill_config::MAX_TEXT_BYTES,
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            call_time: Duration::from_secs(30),
        }
    }
}

/// Why the admin port doesn't open.
#[derive(Debug, thiserror::Error)]
pub enum AdminServerError {
    /// The listener or the runtime can't be had.
    #[error("admin port: {0}")]
    Io(#[from] std::io::Error),
}

/// A running admin port. Dropping it stops it without waiting for its end.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl AdminServer {
    /// Serves the admin API on `listener` from a thread of its own.
    ///
    /// # Errors
    /// When the thread or its runtime can't be started.
    pub fn start(
        listener: TcpListener,
        backend: Arc<impl AdminBackend>,
        token: TokenHash,
        metrics: Arc<Metrics>,
        limits: AdminLimits,
    ) -> Result<AdminServer, AdminServerError> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(BLOCKING_CALLS)
            .build()?;
        let (stop, stopped) = watch::channel(false);
        let port = Arc::new(Port {
            backend,
            token,
            metrics,
            limits,
        });
        let thread = std::thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                runtime.block_on(serve(listener, port, stopped));
                // A call that still waits for the table must not hold up the stop.
                runtime.shutdown_background();
            })?;
        Ok(AdminServer {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, ends the calls in progress and returns.
    pub fn stop(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A panic of the port was told on its own; stopping goes on.
            let _ = thread.join();
        }
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

struct Port<B> {
    backend: Arc<B>,
    token: TokenHash,
    metrics: Arc<Metrics>,
    limits: AdminLimits,
}

async fn serve<B: AdminBackend>(
    listener: TcpListener,
    port: Arc<Port<B>>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let connections = ConnectionTable::new(port.limits.connections as usize);
    let connections = connections.evict_after(SILENT_TIME);
    // What operators may send is bounded for each connection.
    let account = ByteAccount::new(usize::MAX);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let admitted = connections.try_admit(stream, &account, port.limits.call_time);
        // Closing at once tells the caller at once; queueing would hide the overload.
        let Some(stream) = admitted.await else {
            port.metrics.admin_refused(AdminRefusal::TooMany);
            continue;
        };
        tokio::spawn(connection(stream, Arc::clone(&port)));
    }
    drop(listener);
    let _ = timeout(port.limits.call_time, connections.wait_empty()).await;
}

/// Serves one call on one connection.
async fn connection<B: AdminBackend>(stream: ClientStream<TcpStream>, port: Arc<Port<B>>) {
    let call_port = Arc::clone(&port);
    let entry = stream.connection().clone();
    let service = service_fn(move |req| {
        let (port, entry) = (Arc::clone(&call_port), entry.clone());
        async move {
            let active = entry.begin_request();
            let resp = call(req, port, &entry).await;
            Ok::<_, Infallible>(resp.map(|body| Held::new(Full::new(body), active)))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(port.limits.header_time)
        .max_buf_size(MAX_HEADERS)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(port.limits.call_time, served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => count_broken(&port.metrics, &e),
        Err(_) => port.metrics.admin_refused(AdminRefusal::TooSlow),
    }
}

/// Counts a connection that ended before it made a call.
fn count_broken(metrics: &Metrics, error: &hyper::Error) {
    if error.is_timeout() {
        metrics.admin_refused(AdminRefusal::TooSlow);
    } else if error.is_parse_too_large() {
        metrics.admin_refused(AdminRefusal::TooLarge);
    } else if error.is_parse() || error.is_incomplete_message() {
        metrics.admin_refused(AdminRefusal::Malformed);
    }
}

async fn call<B: AdminBackend>(
    req: Request<Incoming>,
    port: Arc<Port<B>>,
    connection: &Connection,
) -> Response<Bytes> {
    let (head, body) = req.into_parts();
    let call = match admit(&head, &port.token) {
        Ok(call) => call,
        Err(refused) => return refused.answer(&port.metrics),
    };
    let body = match read_body(&head, body, port.limits).await {
        Ok(body) => body,
        Err(refused) => return refused.answer(&port.metrics),
    };
    connection.mark_received();
    if call == Call::Live {
        return handle(&*port.backend, &port.metrics, call, &body);
    }
    let answered = spawn_blocking(move || handle(&*port.backend, &port.metrics, call, &body)).await;
    answered.unwrap_or_else(|_| {
        let detail = "the call ended without an answer, see the node's log";
        problem(&Problem::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            detail,
        ))
    })
}

async fn read_body(
    head: &request::Parts,
    body: Incoming,
    limits: AdminLimits,
) -> Result<Bytes, Refused> {
    let too_large = || {
        let detail = format!("the body may have at most {} bytes", limits.max_body);
        Refused::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            AdminRefusal::TooLarge,
            detail,
        )
    };
    let announced = head
        .headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if announced.is_some_and(|n| n > limits.max_body as u64) {
        return Err(too_large());
    }
    let collected = timeout(
        limits.body_time,
        Limited::new(body, limits.max_body).collect(),
    )
    .await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => {
            let detail = "the body ended early or is no HTTP";
            Err(Refused::new(
                StatusCode::BAD_REQUEST,
                AdminRefusal::Malformed,
                detail,
            ))
        }
        Err(_) => {
            let detail = format!("the body must arrive within {:?}", limits.body_time);
            Err(Refused::new(
                StatusCode::REQUEST_TIMEOUT,
                AdminRefusal::TooSlow,
                detail,
            ))
        }
    }
}
