//! The HTTP surface of the platform.

use std::sync::Arc;

use eelgrassmill_stores::{ObjectStore, Table, TableError, Txn, percent_decode};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::control::{set_host_state, switch_platform, unswitch_platform};
use crate::faults::PlatformFault;
use crate::http::{Answer, CutOff, json, query, read_body, text, unhurried, whole};
use crate::world::World;

const OBJECTS: &str = "/objects/";
const WEIGHTS: &str = "/weights/";

/// Answers one request to the platform.
///
/// # Errors
/// When the connection is to break with no answer.
pub(crate) async fn answer(world: Arc<World>, req: Request<Incoming>) -> Result<Answer, CutOff> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/fault") => Ok(switch_platform(&world, req.uri())),
        (&Method::DELETE, "/fault") => Ok(unswitch_platform(&world.platform, req.uri())),
        (&Method::POST, "/host-state") => Ok(set_host_state(&world, req.uri())),
        (&Method::GET, "/hosts") => Ok(hosts(&world)),
        (&Method::GET, weights) if weights.starts_with(WEIGHTS) => {
            Ok(weight_info(&world, &weights[WEIGHTS.len()..]))
        }
        _ => unhurried(async move { stored(&world, &path, req).await }).await,
    }
}

fn hosts(world: &World) -> Answer {
    if world.platform.faults.is_on(PlatformFault::ListDown) {
        return unavailable();
    }
    json(StatusCode::OK, &world.platform.listed())
}

fn weight_info(world: &World, key: &str) -> Answer {
    if world.platform.faults.is_on(PlatformFault::WeightsDown) {
        return unavailable();
    }
    match percent_decode(key).and_then(|key| world.platform.weights(&key)) {
        Some(info) => json(StatusCode::OK, &info),
        None => text(StatusCode::NOT_FOUND, "no such model version"),
    }
}

/// Calls to table and objects, which are down and slow together.
async fn stored(world: &World, path: &str, req: Request<Incoming>) -> Result<Answer, CutOff> {
    if let Some(more) = world.platform.slowness() {
        tokio::time::sleep(more).await;
    }
    if world.platform.faults.is_on(PlatformFault::Down) {
        return Ok(unavailable());
    }
    match (req.method(), path) {
        (&Method::GET, "/table/row") => row(world, &req),
        (&Method::GET, "/table/rows") => rows(world, &req),
        (&Method::POST, "/table/txn") => txn(world, req).await,
        (_, objects) if objects.starts_with(OBJECTS) => {
            let Some(key) = percent_decode(&objects[OBJECTS.len()..]) else {
                return Ok(text(StatusCode::BAD_REQUEST, "broken key"));
            };
            Ok(object(world, &key, req).await)
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn row(world: &World, req: &Request<Incoming>) -> Result<Answer, CutOff> {
    let Some(key) = query(req.uri(), "key") else {
        return Ok(text(StatusCode::BAD_REQUEST, "give key"));
    };
    match world.platform.table.get(&key) {
        Ok(Some(row)) => Ok(json(StatusCode::OK, &row)),
        Ok(None) => Ok(text(StatusCode::NOT_FOUND, "no such row")),
        Err(e) => failed(&e),
    }
}

fn rows(world: &World, req: &Request<Incoming>) -> Result<Answer, CutOff> {
    let prefix = query(req.uri(), "prefix").unwrap_or_default();
    match world.platform.table.scan(&prefix) {
        Ok(rows) => Ok(json(StatusCode::OK, &rows)),
        Err(e) => failed(&e),
    }
}

async fn txn(world: &World, req: Request<Incoming>) -> Result<Answer, CutOff> {
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let txn: Txn = match serde_json::from_slice(&body) {
        Ok(txn) => txn,
        Err(e) => return Ok(text(StatusCode::BAD_REQUEST, &format!("transaction: {e}"))),
    };
    match world.platform.table.commit(&txn) {
        Ok(outcome) => Ok(json(StatusCode::OK, &outcome)),
        Err(e) => failed(&e),
    }
}

async fn object(world: &World, key: &str, req: Request<Incoming>) -> Answer {
    let objects = &world.platform.objects;
    match *req.method() {
        Method::GET => match objects.get(key) {
            Ok(Some(bytes)) => whole(StatusCode::OK, "application/octet-stream", bytes),
            _ => text(StatusCode::NOT_FOUND, "no such object"),
        },
        Method::PUT => {
            let body = match read_body(req).await {
                Ok(body) => body,
                Err(answer) => return answer,
            };
            match objects.put(key, body.to_vec()) {
                Ok(()) => text(StatusCode::OK, "stored"),
                Err(e) => text(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
            }
        }
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "get or put"),
    }
}

/// A table that gives no answer breaks the connection.
fn failed(error: &TableError) -> Result<Answer, CutOff> {
    match error {
        TableError::Unavailable(_) => Ok(unavailable()),
        TableError::Unknown(_) | TableError::Protocol(_) => Err(CutOff),
    }
}

fn unavailable() -> Answer {
    text(StatusCode::SERVICE_UNAVAILABLE, "down")
}
