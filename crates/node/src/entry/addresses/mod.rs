//! Which entries a caller is told to use.

use std::net::SocketAddr;
use std::time::Instant;

use eelgrassmill_base::{FailureDomain, ServiceName};
use eelgrassmill_config::{Config, Tenant};
use eelgrassmill_route::{AddressList, EntryView, LoadLevel, choose_addresses};
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::body::AnswerBody;
use super::problem::Problem;
use crate::state::core::Core;
use crate::state::lock::lock;

#[derive(Serialize)]
struct Document<'a> {
    addresses: &'a [SmolStr],
    /// Seconds for which the answer may be kept.
    keep_seconds: u64,
}

/// What a caller says of itself in the query.
#[derive(Debug, PartialEq, Eq)]
struct Asker {
    service: ServiceName,
    /// Its failure domain; empty if it names none.
    domain: FailureDomain,
    /// Its own name, which keeps the order the same over its connections.
    name: Option<SmolStr>,
}

/// Answers `GET /v1/addresses?service=NAME[&domain=DOMAIN][&caller=NAME]`.
pub(crate) fn answer(
    core: &Core,
    cfg: &Config,
    parts: &Parts,
    tenant: Option<&Tenant>,
) -> Result<Response<AnswerBody>, Problem> {
    let asker = asker(parts.uri.query().unwrap_or_default())?;
    if !cfg.services.contains_key(&asker.service) {
        let detail = format!("no such service: {}", asker.service);
        return Err(Problem::not_run(StatusCode::NOT_FOUND, detail));
    }
    let told = choose(core, cfg, &key(&asker, parts, tenant), &asker.domain, None);
    let keep = told.ttl.min(core.settings.timing.address_keep);
    let doc = Document {
        addresses: &told.addresses,
        keep_seconds: keep.as_secs().max(1),
    };
    let body = serde_json::to_vec(&doc).unwrap_or_default();
    let mut resp = Response::new(AnswerBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(resp)
}

/// Other entries, for a caller that found this one full.
pub(crate) fn others(core: &Core, cfg: &Config, caller: &str) -> Vec<String> {
    let told = choose(core, cfg, caller, "", Some(&core.ident.node));
    told.addresses.iter().map(ToString::to_string).collect()
}

/// By what callers are told apart: by tenant alone, a large tenant's callers
/// would all be told the same entry.
fn key(asker: &Asker, parts: &Parts, tenant: Option<&Tenant>) -> SmolStr {
    let tenant = tenant.map_or("", |t| t.name.as_str());
    let remote = parts.extensions.get::<SocketAddr>();
    let caller = match &asker.name {
        Some(name) => name.clone(),
        None => remote.map(ToSmolStr::to_smolstr).unwrap_or_default(),
    };
    format_smolstr!("{tenant}/{}/{caller}", asker.service)
}

fn asker(query: &str) -> Result<Asker, Problem> {
    let named = |key: &str| {
        let mut pairs = form_urlencoded::parse(query.as_bytes());
        let found = pairs.find(|(name, value)| name == key && !value.is_empty());
        found.map(|(_, value)| SmolStr::new(value))
    };
    let service = named("service")
        .ok_or_else(|| Problem::not_run(StatusCode::BAD_REQUEST, "the query names no service"))?;
    Ok(Asker {
        service,
        domain: named("domain").unwrap_or_default(),
        name: named("caller"),
    })
}

fn choose(
    core: &Core,
    cfg: &Config,
    caller: &str,
    domain: &str,
    except: Option<&str>,
) -> AddressList {
    let entries = entries(core, cfg);
    choose_addresses(caller, domain, &entries, except, &mut fastrand::Rng::new())
}

fn entries(core: &Core, cfg: &Config) -> Vec<EntryView> {
    let ident = &core.ident;
    let mut entries = vec![EntryView {
        node: ident.node.clone(),
        address: ident.caller.to_smolstr(),
        failure_domain: ident.failure_domain.clone(),
        same_region: true,
        load: LoadLevel::default(),
        leaving: takes_no_callers(core),
        alive: true,
    }];
    let now = Instant::now();
    let directory = lock(&core.directory);
    entries.extend(directory.entries().map(|(node, entry)| EntryView {
        node: node.clone(),
        address: entry.caller.to_smolstr(),
        failure_domain: entry.failure_domain.clone(),
        same_region: entry.region == ident.region,
        load: entry.band,
        leaving: entry.leaving || cfg.is_node_draining(node),
        alive: entry.is_alive(now),
    }));
    entries
}

/// Whether callers are to be sent elsewhere.
///
/// A node that has just started and knows no groups yet would refuse callers
/// that were told its address, although the groups serve.
pub(crate) fn takes_no_callers(core: &Core) -> bool {
    core.is_leaving() || !lock(&core.fleet).knows_groups()
}

#[cfg(test)]
mod tests;
