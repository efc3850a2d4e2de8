//! Request rates that hosts in need name in their answers.

use std::sync::Mutex;
use std::time::Instant;

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{HostLimits, Millionths};
use http::HeaderMap;
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Dialect, Platform};

/// What this node knows of limits.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    limits: Mutex<HostLimits>,
}

/// Handles the headers of a host's answer.
pub(crate) fn observe<P: Platform>(core: &Core<P>, host: &HostId, headers: &HeaderMap) {
    let limit = core.platform.dialect().host_limit(headers);
    let limit = limit.map(Millionths::of);
    let is_news = locked(&core.host_limits.limits).observe(host, limit, Instant::now());
    if is_news {
        log_change(core, host, limit, "answer");
    }
}

fn log_change<P: Platform>(core: &Core<P>, host: &HostId, limit: Option<Millionths>, source: &str) {
    let limited = locked(&core.host_limits.limits).limited();
    let shown = i64::try_from(limited).unwrap_or(i64::MAX);
    core.metrics.limited_hosts.set(shown);
    let outcome = if limit.is_some() { "named" } else { "lifted" };
    let per_second = limit.map_or(0.0, Millionths::get);
    info!(event = "host-limit", %host, outcome, per_second, source);
}
