//! The demonstration: stand-ins and nodes in one process, a mixed load, and a host that dies.

mod cluster;
mod outcome;

use std::time::Duration;

use eelgrassmill_load::{Scenario, Targets, run};
use serde_json::json;
use smol_str::ToSmolStr;

use crate::demo::cluster::Cluster;
use crate::demo::outcome::Outcome;
use crate::error::CliError;

/// Nodes when no number is given.
pub(crate) const DEFAULT_NODES: usize = 3;
/// Most nodes in one process.
pub(crate) const MAX_NODES: usize = 16;

const SCENARIO: &str = include_str!("scenario.ini");
/// Groups that the demonstration's text asks for.
const GROUPS: usize = 2;

/// Runs the demonstration; an error when a promise was broken.
pub(crate) fn demo(nodes: usize, hold: Duration) -> Result<(), CliError> {
    let cluster = Cluster::start(nodes)?;
    crate::commands::print(&format!("{}\n", describe(&cluster)))?;
    cluster.accept_config()?;
    let groups = cluster.wait_whole(GROUPS)?;
    let victim = groups
        .first()
        .and_then(|group| group.members.get(1))
        .ok_or_else(|| CliError::Failed("no group to break".to_owned()))?;
    let scenario = Scenario::parse(&SCENARIO.replace("@HOST@", victim))
        .map_err(|e| CliError::Failed(e.to_string()))?;
    let targets = Targets {
        entries: cluster.caller_addresses(),
        control: Some(cluster.standins.control_address().to_smolstr()),
        entry_faults: None,
        progress: true,
    };
    let report = run(&scenario, &targets).map_err(|e| CliError::Failed(e.to_string()))?;
    let repaired = cluster.wait_whole(GROUPS)?;
    let outcome = Outcome {
        report,
        victim: victim.clone(),
        events: cluster.group_events()?,
        downtime: cluster.metric("group_downtime_seconds_total")?,
        stranded: cluster.metric("stranded_accelerator_seconds_total")?,
        repaired,
    };
    crate::commands::print(&outcome.to_string())?;
    std::thread::sleep(hold);
    outcome.verdict()
}

/// Every address that a person's own client may use.
fn describe(cluster: &Cluster) -> serde_json::Value {
    let nodes: Vec<serde_json::Value> = cluster
        .nodes
        .iter()
        .map(|node| json!({ "entry": node.caller_address(), "admin": node.admin_address() }))
        .collect();
    json!({
        "nodes": nodes,
        "admin_token": cluster::ADMIN_TOKEN,
        "tenant_tokens": cluster::TENANT_TOKENS,
        "standins": cluster.standins.serve_description(),
    })
}
