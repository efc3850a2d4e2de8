//! The port for callers' requests.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_fleet::{CallerLimits, RouteError};
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::body::ResponseBody;
use crate::call::Call;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Dialect, Platform};
use crate::refusal::{Refusal, RefusalCause};
use crate::{dispatch, stream};

/// Limits before any configuration is known, those of a usual one.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// A caller that says no timeout is kept waiting this long at most.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// When a caller should come back to a node that knows nothing yet. Nodes load within a
/// second of their start.
const RETRY_AFTER_START: Duration = Duration::from_millis(300);
/// When a caller should come back that asked a node that leaves: at once, at another one.
const RETRY_AFTER_LEAVING: Duration = Duration::ZERO;
/// Pause after a failure to take a connection, such as no free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What an attempt that ends with its call's time may take to say so.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(40);
/// Smallest buffer that hyper accepts.
const MIN_BUFFER: usize = 8 << 10;

/// Connections that are open.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(AtomicUsize);

impl OpenConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

struct Counted(Arc<OpenConnections>);

impl Counted {
    fn new(open: &Arc<OpenConnections>) -> Counted {
        open.0.fetch_add(1, Ordering::Relaxed);
        Counted(Arc::clone(open))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves connections with `service` until told to stop; then each ends after what it does.
pub(crate) async fn listen<S, F>(
    listener: TcpListener,
    open: Arc<OpenConnections>,
    limits: impl Fn() -> CallerLimits,
    mut stopping: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let counted = Counted::new(&open);
                let stopping = stopping.clone();
                tokio::spawn(connection(
                    stream,
                    limits(),
                    stopping,
                    service.clone(),
                    counted,
                ));
            }
            Err(err) => {
                warn!(event = "accept", %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits for the sign to stop; the node that gives it going away is the same.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stop| *stop).await;
}

async fn connection<S, F>(
    stream: TcpStream,
    limits: CallerLimits,
    mut stopping: watch::Receiver<bool>,
    service: S,
    _counted: Counted,
) where
    S: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>> + Send + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        // The caller has already gone.
        tracing::debug!(%err, "connection lost before its first request");
        return;
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper counts the time between two requests as time for a head too.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER));
    let conn = builder.serve_connection(TokioIo::new(stream), service_fn(service));
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = wait_for_stop(&mut stopping) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    // Callers that leave, and answers that are cut off, end connections with an error.
    if let Err(err) = ended {
        tracing::debug!(%err, "connection ended");
    }
}

/// What callers may send under the configuration in force.
pub(crate) fn limits<P: Platform>(core: &Core<P>) -> CallerLimits {
    core.catalog().limits().cloned().unwrap_or(FIRST_LIMITS)
}

/// Answers one request.
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
        // The caller opens its next connection to a node that stays.
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
        // Nothing was sent of what has not been read yet.
        () = core.wait_for_exit() => Err(Refusal::later(RefusalCause::NodeLeaving, RETRY_AFTER_LEAVING)),
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
        // Signals the caller not to wait for more.
        () = core.wait_for_exit() => Err(Refusal::new(RefusalCause::NodeExiting)),
    };
    note(core, &call, kind, &result);
    result
}

async fn run<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    // Not before the body is read: closing a connection with unread bytes resets it, and the
    // caller may never see this answer.
    if !core.may_start(call.deadline + FINAL_REPLY_MARGIN) {
        return Err(Refusal::later(
            RefusalCause::NodeLeaving,
            RETRY_AFTER_LEAVING,
        ));
    }
    if call.route.stream.is_some() {
        return stream::run(core, call).await;
    }
    let all = tokio::time::timeout(call.left() + FINAL_REPLY_MARGIN, dispatch::run(core, call));
    // The attempt that was under way may have run.
    all.await
        .unwrap_or_else(|_| Err(Refusal::new(RefusalCause::ResponseTimeout)))
}

fn note<P: Platform>(
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
    let took = call.arrived.elapsed();
    let waited = call.arrived.saturating_duration_since(call.first_sent);
    let waited_ms = waited.as_millis() as u64;
    match result {
        Ok(response) => {
            core.metrics.observe_first_byte(service, kind, took);
            core.metrics
                .count_request(service, kind, response.status().as_str());
            if took > call.route.latency_objective {
                info!(
                    event = "request", request = %call.metadata.id, route = %call.route.name,
                    outcome = "late", ms = took.as_millis() as u64, waited_ms,
                );
            }
        }
        Err(refusal) => {
            let outcome = refusal.cause.name();
            core.metrics.count_request(service, kind, outcome);
            info!(
                event = "request", request = %call.metadata.id, route = %call.route.name, outcome,
                ms = took.as_millis() as u64, waited_ms, config = core.catalog().version(),
            );
        }
    }
}

async fn read_call<P: Platform>(
    core: &Arc<Core<P>>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Call, Refusal> {
    if !core.is_loaded() {
        return Err(Refusal::later(RefusalCause::NotLoaded, RETRY_AFTER_START));
    }
    let (parts, body) = req.into_parts();
    let catalog = core.catalog();
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = catalog.route(host, parts.uri.path()).map_err(refused)?;
    let key = core.platform.dialect().api_key(&parts.headers);
    let caller = catalog.caller(route, key).map_err(refused)?;
    let metadata = core.platform.dialect().request_metadata(&parts.headers);
    let patience = metadata
        .timeout
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(route.timeout);
    let deadline = arrived + patience;
    let first_sent = first_sent(core, metadata.timeout, route.timeout, arrived);
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .into();
    let most = limits(core).body_bytes;
    let body = read_body(body, most, deadline).await?;
    Ok(Call {
        metadata,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        route: Arc::clone(route),
        caller,
        arrived,
        first_sent,
        deadline,
    })
}

/// When the caller of a request that arrived just now is likely to have sent its first attempt.
fn first_sent<P: Platform>(
    core: &Core<P>,
    named: Option<Duration>,
    usual: Duration,
    arrived: Instant,
) -> Instant {
    let Some(named) = named else {
        return arrived;
    };
    let mut patience = locked(&core.patience);
    let waited = patience.since_first_attempt(named, usual);
    patience.on_request(named, usual);
    arrived.checked_sub(waited).unwrap_or(arrived)
}

fn refused(refusal: RouteError) -> Refusal {
    Refusal::new(match refusal {
        RouteError::NoRoute => RefusalCause::NoRoute,
        RouteError::UnknownKey => RefusalCause::UnknownKey,
    })
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let read = tokio::time::timeout(left, Limited::new(body, most).collect()).await;
    match read {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            Err(Refusal::new(RefusalCause::BodyTooLarge))
        }
        _ => Err(Refusal::new(RefusalCause::BodyIncomplete)),
    }
}
