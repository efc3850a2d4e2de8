//! Which call a request makes, by method, path and query.

use eelgrassmill_base::{ConfigVersion, value};
use eelgrassmill_timeline::Query;
use http::Method;

value! {
    /// One call of the admin API.
    pub(crate) enum Call {
        /// Whether the process answers at all; needs no token.
        Live,
        Metrics,
        Submit,
        Check,
        /// Compares the text in the body with what is accepted.
        Diff,
        Show(Option<ConfigVersion>),
        Log,
        Status,
        Groups,
        Hosts,
        Nodes,
        Tenants,
        Suspects,
        Timeline(Query),
    }
}

/// Why a request makes no call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    #[error("there is no {method} {path}")]
    Unknown { method: Method, path: String },
    #[error("query: {0}")]
    Query(String),
}

impl Call {
    pub(crate) fn read(method: &Method, path: &str, query: &str) -> Result<Call, CallError> {
        let get = method == Method::GET;
        let call = match path.strip_prefix("/admin/v1/").unwrap_or(path) {
            "/live" if get => Call::Live,
            "/metrics" if get => Call::Metrics,
            "config" if get => return show(query),
            "config" if method == Method::POST => Call::Submit,
            "config/check" if method == Method::POST => Call::Check,
            "config/diff" if method == Method::POST => Call::Diff,
            "config/log" if get => Call::Log,
            "config/status" if get => Call::Status,
            "groups" if get => Call::Groups,
            "hosts" if get => Call::Hosts,
            "nodes" if get => Call::Nodes,
            "tenants" if get => Call::Tenants,
            "suspects" if get => Call::Suspects,
            "timeline" if get => return timeline(query),
            _ => {
                return Err(CallError::Unknown {
                    method: method.clone(),
                    path: path.to_owned(),
                });
            }
        };
        match pairs(query)?.first() {
            None => Ok(call),
            Some((key, _)) => Err(CallError::Query(format!("`{key}` means nothing here"))),
        }
    }
}

fn show(query: &str) -> Result<Call, CallError> {
    let mut version = None;
    for (key, value) in pairs(query)? {
        match key {
            "version" => version = Some(number(key, value)?),
            _ => {
                return Err(CallError::Query(format!(
                    "`{key}` is unknown, write version"
                )));
            }
        }
    }
    Ok(Call::Show(version))
}

fn timeline(query: &str) -> Result<Call, CallError> {
    let mut wanted = Query::default();
    for (key, value) in pairs(query)? {
        match key {
            "since" => wanted.since_ms = Some(number(key, value)?),
            "limit" => {
                wanted.limit = Some(usize::try_from(number(key, value)?).unwrap_or(usize::MAX));
            }
            "group" => wanted.group = Some(value.into()),
            "host" => wanted.host = Some(value.into()),
            "request" => wanted.request = Some(value.into()),
            "node" => wanted.node = Some(value.into()),
            _ => {
                let known = "since, limit, group, host, request or node";
                return Err(CallError::Query(format!(
                    "`{key}` is unknown, write {known}"
                )));
            }
        }
    }
    Ok(Call::Timeline(wanted))
}

/// Keys and values as they stand. All names of the system are plain characters
/// of a URL, so there is nothing to decode, and what would need it is refused.
fn pairs(query: &str) -> Result<Vec<(&str, &str)>, CallError> {
    let mut pairs = Vec::new();
    for part in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = part
            .split_once('=')
            .ok_or_else(|| CallError::Query(format!("`{part}` has no value, write key=value")))?;
        if value.contains(['%', '+']) || value.is_empty() {
            return Err(CallError::Query(format!(
                "`{part}` can't be, write a plain name"
            )));
        }
        pairs.push((key, value));
    }
    Ok(pairs)
}

fn number(key: &str, value: &str) -> Result<u64, CallError> {
    let wrong = || CallError::Query(format!("`{key}={value}` can't be, write a whole number"));
    value.parse().map_err(|_| wrong())
}
