//! Requests to the node itself: readiness, address resolution and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr};

use crate::body::ResponseBody;
use crate::client_limits;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Dialect, NodeRequest, Platform};

/// Handles one request to the node itself.
pub(crate) async fn handle<P: Platform>(
    core: Arc<Core<P>>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    Ok(
        match core
            .platform
            .dialect()
            .node_request(req.method(), req.uri())
        {
            NodeRequest::Ready => ready(&core),
            NodeRequest::Resolve { failure_domain } => resolve(&core, &failure_domain),
            NodeRequest::Metrics => {
                client_limits::set_metrics(&core);
                text(core.metrics.encode().into(), "text/plain; version=0.0.4")
            }
            NodeRequest::Unknown => status(StatusCode::NOT_FOUND),
        },
    )
}

fn takes_requests<P: Platform>(core: &Core<P>) -> bool {
    core.is_loaded() && !core.is_leaving()
}

fn ready<P: Platform>(core: &Core<P>) -> Response<ResponseBody> {
    if takes_requests(core) {
        status(StatusCode::OK)
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn resolve<P: Platform>(core: &Core<P>, near: &str) -> Response<ResponseBody> {
    let own: SmolStr = core.cfg.addresses.callers.to_smolstr();
    let own = takes_requests(core).then_some((&own, &core.cfg.failure_domain));
    let addresses = locked(&core.nodes).addresses(own, near, Instant::now());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = core
        .platform
        .dialect()
        .addresses(&addresses, core.live().address_ttl);
    text(body, "application/json")
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn text(body: Bytes, content_type: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
