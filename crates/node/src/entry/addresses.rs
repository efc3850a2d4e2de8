//! Which entries a caller is told to use.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassmill_base::{NodeId, stable_hash};
use eelgrassmill_config::{Config, Tenant};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use super::body::AnswerBody;
use super::problem::Problem;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Entries named in one answer.
const NAMED: usize = 3;
/// Largest part by which the time to keep an answer is shortened, so that
/// callers that asked together don't ask again together.
const KEEP_SPREAD: f64 = 0.3;

#[derive(Serialize)]
struct Document {
    addresses: Vec<SocketAddr>,
    /// Seconds for which the answer may be kept.
    keep_seconds: u64,
}

/// Answers `GET /v1/addresses?service=NAME`.
pub(crate) fn answer(
    core: &Core,
    cfg: &Config,
    parts: &Parts,
    tenant: Option<&Tenant>,
) -> Result<Response<AnswerBody>, Problem> {
    let service = service(parts)?;
    if !cfg.services.contains_key(service) {
        let detail = format!("no such service: {service}");
        return Err(Problem::not_run(StatusCode::NOT_FOUND, detail));
    }
    let caller = match tenant {
        Some(tenant) => format!("{}/{service}", tenant.name),
        None => service.to_owned(),
    };
    let doc = Document {
        addresses: entries(core, cfg, &caller),
        keep_seconds: keep(core).as_secs().max(1),
    };
    let body = serde_json::to_vec(&doc).unwrap_or_default();
    let mut resp = Response::new(AnswerBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(resp)
}

fn service(parts: &Parts) -> Result<&str, Problem> {
    let query = parts.uri.query().unwrap_or_default();
    let named = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="));
    named
        .filter(|s| !s.is_empty())
        .ok_or_else(|| Problem::not_run(StatusCode::BAD_REQUEST, "the query names no service"))
}

/// Entries that take work, spread by caller.
pub(crate) fn entries(core: &Core, cfg: &Config, caller: &str) -> Vec<SocketAddr> {
    let mut known: Vec<(NodeId, SocketAddr, bool)> = lock(&core.directory)
        .entries()
        .map(|(node, e)| (node.clone(), e.caller, e.leaving || cfg.drains_node(node)))
        .collect();
    let me = (
        core.ident.node.clone(),
        core.ident.caller,
        takes_no_callers(core),
    );
    known.push(me);
    // When every entry is leaving, a leaving one is better than none.
    if known.iter().any(|(_, _, leaving)| !leaving) {
        known.retain(|(_, _, leaving)| !leaving);
    }
    known.sort_by_key(|(node, _, _)| stable_hash([caller, node]));
    known.into_iter().map(|(_, at, _)| at).take(NAMED).collect()
}

/// Whether callers are to be sent elsewhere.
///
/// A node that started while the table is down knows no groups; callers that
/// were told its address would be refused although the groups serve.
pub(crate) fn takes_no_callers(core: &Core) -> bool {
    core.is_leaving() || lock(&core.fleet).scanned.is_none()
}

fn keep(core: &Core) -> Duration {
    let keep = core.settings.timing.address_keep;
    keep.mul_f64(1.0 - KEEP_SPREAD * fastrand::f64())
}
