//! The HTTP server for callers' requests.

use std::convert::Infallible;
use std::future::Future;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use eelgrassmill_account::{
    ByteAccount, ClientStream, Connection, ConnectionTable, DrainLimits, Held, HeldKind,
    REQUEST_BYTES, ReadError, drain_body, read_body,
};
use eelgrassmill_fleet::{Caller, CallerLimits, Route, RouteError};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::body::ResponseBody;
use crate::call::Call;
use crate::connection_timer::{ConnectionTimer, header_read_timeout};
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Dialect, Platform};
use crate::refusal::{Refusal, RefusalCause};
use crate::{dispatch, quarantine, stream};

/// Limits before any configuration is known; typical values of a configuration.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Timeout of a request whose caller sends none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry-After of a node that has no configuration or hosts yet. Nodes load them within a second of
/// their start.
const RETRY_AFTER_NOT_LOADED: Duration = Duration::from_millis(300);
/// Retry-After when the memory for callers is used up, times a random factor from 1 to 2 so that callers
/// don't return together. Bodies that stall are evicted within this.
const RETRY_AFTER_OUT_OF_MEMORY: Duration = Duration::from_millis(500);
/// Pause after a failure to accept a connection, such as no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a connection may bring its next request after the port was closed.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of established connections that are accepted as the port is closed: the usual
/// backlog of a listener.
const MAX_LAST_ACCEPTED: usize = 1024;
/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts and serves connections until `stopping` is set. Each open connection then closes after
/// its current request, or after [`LAST_REQUEST_WAIT`] without one.
pub(crate) async fn listen<S, F>(
    listener: TcpListener,
    port: Port,
    limits: impl Fn() -> CallerLimits + Clone + Send + Sync + Unpin + 'static,
    mut stopping: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>> + Send + 'static,
{
    let serve = |stream, stopping: &watch::Receiver<bool>| {
        tokio::spawn(serve_connection(
            stream,
            limits.clone(),
            port.header_bytes.clone(),
            stopping.clone(),
            service.clone(),
        ));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stopping) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = port.admit(stream, limits().idle_timeout);
                tokio::pin!(admitted);
                tokio::select! {
                    biased;
                    stream = &mut admitted => serve(stream, &stopping),
                    () = wait_for_stop(&mut stopping) => {
                        let admitted = tokio::time::timeout(LAST_REQUEST_WAIT, admitted).await;
                        if let Ok(stream) = admitted {
                            serve(stream, &stopping);
                        }
                        break;
                    }
                }
            }
            Err(err) => {
                warn!(event = "accept", %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections that wait to be accepted.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    for _ in 0..MAX_LAST_ACCEPTED {
        let Ok((stream, _)) = listener.accept() else {
            break;
        };
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        let Ok(stream) = stream else { continue };
        let admitted = port.admit(stream, limits().idle_timeout);
        let Ok(stream) = tokio::time::timeout(LAST_REQUEST_WAIT, admitted).await else {
            break;
        };
        serve(stream, &stopping);
    }
}

/// What a port's connections are counted in.
#[derive(Clone, Debug)]
pub(crate) struct Port {
    pub(crate) connections: ConnectionTable,
    pub(crate) account: ByteAccount,
    /// Largest request head that the configuration in force permits.
    pub(crate) header_bytes: watch::Receiver<usize>,
}

impl Port {
    async fn admit(&self, stream: TcpStream, write_timeout: Duration) -> ClientStream<TcpStream> {
        let admitted = self.connections.admit(stream, &self.account, write_timeout);
        admitted.await
    }
}

/// Waits until `stopping` is set or its sender is dropped.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stop| *stop).await;
}

/// Waits until request heads may be larger than `bytes`.
async fn wait_for_more(header_bytes: &mut watch::Receiver<usize>, bytes: usize) {
    let _ = header_bytes.wait_for(|permitted| *permitted > bytes).await;
}

async fn serve_connection<S, F>(
    stream: ClientStream<TcpStream>,
    limits: impl Fn() -> CallerLimits + Clone + Send + Sync + Unpin + 'static,
    mut header_bytes: watch::Receiver<usize>,
    mut stopping: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>> + Send + 'static,
{
    if let Err(err) = stream.get_ref().set_nodelay(true) {
        // The caller has already disconnected.
        tracing::debug!(%err, "connection closed before its first request");
        return;
    }
    let initial = limits();
    let mut builder = http1::Builder::new();
    builder
        .timer(ConnectionTimer(limits))
        .header_read_timeout(header_read_timeout(&initial))
        .max_buf_size(initial.header_bytes.max(MIN_BUFFER_BYTES));
    let connection = stream.connection().clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let active = connection.begin_request();
        req.extensions_mut().insert(connection.clone());
        let served = service(req);
        // On the heap only while there is a request: hyper keeps room for it in each connection.
        Box::pin(async move {
            let response = served.await?;
            Ok::<_, Infallible>(response.map(|body| Held::new(body, active)))
        })
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        // The buffer of a connection can't grow with the limit.
        () = wait_for_more(&mut header_bytes, initial.header_bytes) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
        () = wait_for_stop(&mut stopping) => {
            // The request of a connection that was opened just before may be on its way.
            match tokio::time::timeout(LAST_REQUEST_WAIT, conn.as_mut()).await {
                Ok(ended) => ended,
                Err(_) => {
                    conn.as_mut().graceful_shutdown();
                    conn.await
                }
            }
        }
    };
    // Callers that disconnect, and truncated responses, end connections with an error.
    if let Err(err) = ended {
        tracing::debug!(%err, "connection ended");
    }
}

/// Limits of callers' requests in the configuration in force.
pub(crate) fn limits<P: Platform>(core: &Core<P>) -> CallerLimits {
    core.catalog().limits().cloned().unwrap_or(DEFAULT_LIMITS)
}

/// Handles one request.
pub(crate) async fn handle<P: Platform>(
    core: Arc<Core<P>>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    core.mark_served();
    let arrived = Instant::now();
    let mut response = match serve(&core, req, arrived).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(),
    };
    if core.is_leaving() {
        // Makes the caller open its next connection to another node.
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn serve<P: Platform>(
    core: &Arc<Core<P>>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<ResponseBody>, Refusal> {
    let read = tokio::select! {
        read = read_call(core, req, arrived) => read,
        // A request that isn't read completely was not sent to any host.
        () = core.wait_for_exit() => Err(Refusal::node_leaving()),
    };
    let call = match read {
        Ok(call) => Arc::new(call),
        Err(refusal) => {
            let outcome = refusal.cause.name();
            core.metrics.count_request("none", "none", outcome);
            info!(event = "request", request = "", outcome);
            return Err(refusal);
        }
    };
    let kind = if call.route.stream.is_some() {
        "stream"
    } else {
        "whole"
    };
    let result = tokio::select! {
        result = run(core, &call) => result,
        // Tells the caller not to wait for a response.
        () = core.wait_for_exit() => Err(Refusal::new(RefusalCause::NodeExiting)),
    };
    record_result(core, &call, kind, &result);
    result
}

async fn run<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    // Only after the body is read: closing a connection with unread bytes resets it, and the
    // caller may never see this response.
    if !core.may_start(call.last_reply_at()) {
        return Err(Refusal::node_leaving());
    }
    let service = dispatch::pick_service(core, call)?;
    quarantine::on_request(core, call, &service);
    let admission = quarantine::admit(core, call, &service).await?;
    if call.route.stream.is_some() {
        return stream::run(core, call, service, admission).await;
    }
    let dispatched = tokio::time::timeout(
        call.last_reply_at()
            .saturating_duration_since(Instant::now()),
        dispatch::run(core, call, service, admission),
    );
    // The attempt in progress may have run.
    dispatched
        .await
        .unwrap_or_else(|_| Err(Refusal::new(RefusalCause::ResponseTimeout)))
}

fn record_result<P: Platform>(
    core: &Core<P>,
    call: &Call,
    kind: &str,
    result: &Result<Response<ResponseBody>, Refusal>,
) {
    let service = call
        .route
        .services
        .first()
        .map_or("none", |(s, _)| s.as_str());
    let elapsed = call.arrived.elapsed();
    let waited = call.arrived.saturating_duration_since(call.first_sent);
    let waited_ms = waited.as_millis() as u64;
    let (prompt_tokens, body_bytes) = (call.metadata.prompt_tokens, call.body.len());
    if prompt_tokens > 0 {
        let is_served = result.as_ref().is_ok_and(|r| r.status().is_success());
        core.metrics.count_prompt(service, prompt_tokens, is_served);
    }
    match result {
        Ok(response) => {
            core.metrics.observe_first_byte(service, kind, elapsed);
            core.metrics
                .count_request(service, kind, response.status().as_str());
            if elapsed > call.route.latency_objective {
                info!(
                    event = "request", request = %call.metadata.id, route = %call.route.name,
                    outcome = "late", ms = elapsed.as_millis() as u64, waited_ms,
                    prompt_tokens, body_bytes,
                );
            }
        }
        Err(refusal) => {
            let outcome = refusal.cause.name();
            core.metrics.count_request(service, kind, outcome);
            info!(
                event = "request", request = %call.metadata.id, route = %call.route.name, outcome,
                ms = elapsed.as_millis() as u64, waited_ms, prompt_tokens, body_bytes,
                config = core.catalog().version(),
            );
        }
    }
}

async fn read_call<P: Platform>(
    core: &Arc<Core<P>>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Call, Refusal> {
    let (mut parts, mut body) = req.into_parts();
    let metadata = core.platform.dialect().request_metadata(&parts.headers);
    let max_bytes = limits(core).body_bytes;
    let (route, caller) = match authorize(core, &parts) {
        Ok(authorized) => authorized,
        Err(refusal) => {
            let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
            let deadline = arrived + timeout.min(DEFAULT_TIMEOUT);
            drain(&parts.headers, body, max_bytes, deadline);
            return Err(refusal);
        }
    };
    let timeout = metadata
        .timeout
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    let deadline = arrived + timeout;
    let first_sent = first_sent(core, metadata.timeout, route.timeout, arrived);
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .into();
    let connection = parts.extensions.remove::<Connection>();
    let read = async {
        let charge = core.account.charge(HeldKind::InProgress, REQUEST_BYTES);
        let charge = charge.await?;
        if let Some(connection) = &connection {
            connection.hold(charge);
        }
        read_body(&mut body, &core.account, max_bytes, deadline).await
    };
    let body = match read.await {
        Ok(body) => body,
        Err(err) => {
            if matches!(err, ReadError::TooLong | ReadError::OutOfMemory) {
                drain(&parts.headers, body, max_bytes, deadline);
            }
            return Err(body_refusal(err));
        }
    };
    if let Some(connection) = connection {
        connection.mark_received();
    }
    Ok(Call {
        metadata,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        route,
        caller,
        arrived,
        first_sent,
        deadline,
        demand_counted: OnceLock::new(),
        fingerprint: OnceLock::new(),
    })
}

/// Reads the rest of a refused request's body while the refusal is sent.
fn drain(headers: &HeaderMap, body: Incoming, bytes: usize, deadline: Instant) {
    // A caller that waits for 100 Continue must not be asked for the body.
    if !headers.contains_key(header::EXPECT) {
        tokio::spawn(drain_body(body, DrainLimits { bytes, deadline }));
    }
}

/// The route of a request and its caller, if the route needs one.
fn authorize<P: Platform>(
    core: &Core<P>,
    parts: &Parts,
) -> Result<(Arc<Route>, Option<Arc<Caller>>), Refusal> {
    if !core.is_loaded() {
        return Err(Refusal::with_retry_after(
            RefusalCause::NotLoaded,
            RETRY_AFTER_NOT_LOADED,
        ));
    }
    let catalog = core.catalog();
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = catalog
        .route(host, parts.uri.path())
        .map_err(route_refusal)?;
    let key = core.platform.dialect().api_key(&parts.headers);
    let caller = catalog.caller(route, key).map_err(route_refusal)?;
    Ok((Arc::clone(route), caller))
}

/// Estimates when the caller of a request that just arrived sent its first attempt.
fn first_sent<P: Platform>(
    core: &Core<P>,
    client_timeout: Option<Duration>,
    route_timeout: Duration,
    arrived: Instant,
) -> Instant {
    let Some(client_timeout) = client_timeout else {
        return arrived;
    };
    let mut caller_timeouts = locked(&core.caller_timeouts);
    let waited = caller_timeouts.since_first_attempt(client_timeout, route_timeout);
    caller_timeouts.on_request(client_timeout, route_timeout);
    arrived.checked_sub(waited).unwrap_or(arrived)
}

fn route_refusal(refusal: RouteError) -> Refusal {
    Refusal::new(match refusal {
        RouteError::NoRoute => RefusalCause::NoRoute,
        RouteError::UnknownKey => RefusalCause::UnknownKey,
    })
}

/// The refusal of a request whose body was not read. It was not sent to any host.
fn body_refusal(err: ReadError) -> Refusal {
    match err {
        ReadError::TooLong => Refusal::new(RefusalCause::BodyTooLarge),
        ReadError::Broken | ReadError::TimedOut => Refusal::new(RefusalCause::BodyIncomplete),
        ReadError::OutOfMemory => Refusal::with_retry_after(
            RefusalCause::OutOfMemory,
            RETRY_AFTER_OUT_OF_MEMORY.mul_f64(1.0 + fastrand::f64()),
        ),
    }
}
