//! The HTTP surface of a target host.

use std::sync::Arc;

use eelgrassmill_base::{Order, OrderReply, TargetKind};
use eelgrassmill_stores::percent_decode;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use crate::control::{switch_target, unswitch_target};
use crate::host::Host;
use crate::http::{Answer, CutOff, json as json_answer, query_number, read_body, text, unhurried};
use crate::world::World;
use crate::{engine, plain};

const CANCEL: &str = "/v1/cancel/";

/// Answers one request to `host`.
///
/// # Errors
/// When the connection is to break with no answer.
pub(crate) async fn answer(
    world: Arc<World>,
    host: Arc<Host>,
    req: Request<Incoming>,
) -> Result<Answer, CutOff> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/fault") => Ok(switch_target(&host, req.uri())),
        (&Method::DELETE, "/fault") => Ok(unswitch_target(&host, req.uri())),
        (&Method::GET, "/runs") => Ok(json_answer(StatusCode::OK, &host.runs.report())),
        (&Method::GET, "/health") => {
            host.unpaused().await;
            Ok(json_answer(StatusCode::OK, &host.report()))
        }
        (&Method::POST, "/order") => unhurried(order(world, host, req)).await,
        (&Method::GET, "/cache-events") => {
            let since = query_number(req.uri(), "since").unwrap_or(0);
            host.unpaused().await;
            Ok(json_answer(
                StatusCode::OK,
                &host.cache.events(since, host.incarnation()),
            ))
        }
        (&Method::POST, cancel) if cancel.starts_with(CANCEL) => {
            host.unpaused().await;
            let request = percent_decode(&cancel[CANCEL.len()..]);
            let cancelled = request.is_some_and(|request| host.cancel(&request));
            Ok(json_answer(
                StatusCode::OK,
                &json!({ "cancelled": cancelled }),
            ))
        }
        _ if host.spec.kind == TargetKind::Plain => unhurried(plain::call(host, req)).await,
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            engine::complete(&world, &host, req).await
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
    }
}

async fn order(
    world: Arc<World>,
    host: Arc<Host>,
    req: Request<Incoming>,
) -> Result<Answer, CutOff> {
    let incarnation = host.incarnation();
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(e) => return Ok(text(StatusCode::BAD_REQUEST, &format!("order: {e}"))),
    };
    if order.host != host.spec.id {
        return Ok(text(
            StatusCode::BAD_REQUEST,
            "this order is for another host",
        ));
    }
    host.unpaused().await;
    if !host.is_still(incarnation) {
        return Err(CutOff);
    }
    let (reply, loading) = host.take(&order);
    if let Some(loading) = loading {
        let host = Arc::clone(&host);
        tokio::spawn(async move { world.load(&host, loading).await });
    }
    let status = match reply {
        OrderReply::Obeyed(_) => StatusCode::OK,
        OrderReply::Fenced(_) => StatusCode::CONFLICT,
    };
    host.unpaused().await;
    Ok(json_answer(status, &reply))
}
