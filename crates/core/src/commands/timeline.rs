//! `timeline`: events of all nodes in causal order.

use std::time::{SystemTime, UNIX_EPOCH};

use eelgrassmill_config::parse_duration;
use eelgrassmill_timeline::Timeline;
use pico_args::Arguments;

use super::{print, print_json};
use crate::args::{Common, finish};
use crate::error::CliError;

/// Filters that go to the node as they are.
const FILTERS: [&str; 5] = ["group", "host", "request", "node", "limit"];

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    let mut query = Vec::new();
    let since: Option<String> = args.opt_value_from_str("--since")?;
    if let Some(since) = since {
        query.push(format!("since={}", since_ms(&since)?));
    }
    for filter in FILTERS {
        let flag: &'static str = flag(filter);
        let value: Option<String> = args.opt_value_from_str(flag)?;
        if let Some(value) = value {
            check_plain(flag, &value)?;
            query.push(format!("{filter}={value}"));
        }
    }
    finish(args)?;
    let line: Timeline = common
        .client
        .get(&format!("/admin/v1/timeline?{}", query.join("&")))?;
    if common.json {
        print_json(&line)
    } else {
        print(&line.to_string())
    }
}

fn flag(filter: &str) -> &'static str {
    match filter {
        "group" => "--group",
        "host" => "--host",
        "request" => "--request",
        "node" => "--node",
        _ => "--limit",
    }
}

/// Names are plain characters of a URL; anything else would end the query or change it.
fn check_plain(flag: &str, value: &str) -> Result<(), CliError> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'/');
    if !value.is_empty() && value.bytes().all(plain) {
        return Ok(());
    }
    Err(CliError::Usage(format!(
        "`{flag} {value}` can't be, write a plain name"
    )))
}

fn since_ms(text: &str) -> Result<u64, CliError> {
    if let Ok(ms) = text.parse() {
        return Ok(ms);
    }
    let ago = parse_duration(text).ok_or_else(|| {
        CliError::Usage(format!(
            "`--since {text}` can't be, write milliseconds or like 10m"
        ))
    })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(u64::try_from(now.saturating_sub(ago).as_millis()).unwrap_or(u64::MAX))
}
