//! `groups`, `hosts`, `nodes`, `tenants` and `suspects`.

use eelgrassmill_base::{HostState, TargetKind};
use eelgrassmill_node::{GroupInfo, HostInfo, NodeInfo, SuspectInfo, TenantInfo};
use pico_args::Arguments;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{print, print_json};
use crate::args::{Common, finish};
use crate::error::CliError;
use crate::table::table;

pub(crate) fn run(list: &str, mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    finish(args)?;
    match list {
        "groups" => show(&common, list, &GROUPS, group),
        "hosts" => show(&common, list, &HOSTS, host),
        "nodes" => show(&common, list, &NODES, node),
        "tenants" => show(&common, list, &TENANTS, tenant),
        _ => show(&common, list, &SUSPECTS, suspect),
    }
}

fn show<T: DeserializeOwned + Serialize>(
    common: &Common,
    list: &str,
    head: &[&str],
    row: impl Fn(&T) -> Vec<String>,
) -> Result<(), CliError> {
    let items: Vec<T> = common.client.get(&format!("/admin/v1/{list}"))?;
    if common.json {
        return print_json(&items);
    }
    let rows: Vec<Vec<String>> = items.iter().map(row).collect();
    print(&table(head, &rows))
}

const GROUPS: [&str; 6] = ["GROUP", "EPOCH", "VERSION", "SERVES", "MEMBERS", "REASON"];

fn group(g: &GroupInfo) -> Vec<String> {
    vec![
        g.group.to_string(),
        g.epoch.to_string(),
        g.version.to_string(),
        yes_no(g.serving),
        g.members.join(","),
        or_dash(g.reason.as_deref()),
    ]
}

const HOSTS: [&str; 9] = [
    "HOST",
    "KIND",
    "STATE",
    "GROUP",
    "EPOCH",
    "FENCE",
    "FABRIC",
    "FAILURE DOMAIN",
    "ACCELERATORS",
];

fn host(h: &HostInfo) -> Vec<String> {
    let kind = match h.kind {
        TargetKind::Engine => "engine",
        TargetKind::Plain => "plain",
    };
    let state = match (h.state, h.drain) {
        (HostState::Leaving, _) => "leaving",
        (HostState::Live, true) => "drained",
        (HostState::Live, false) => "live",
    };
    vec![
        h.host.to_string(),
        kind.to_owned(),
        state.to_owned(),
        or_dash(h.group.as_deref()),
        h.epoch.to_string(),
        h.fence.to_string(),
        h.fabric_domain.to_string(),
        h.failure_domain.to_string(),
        h.accelerators.to_string(),
    ]
}

const NODES: [&str; 8] = [
    "NODE",
    "START",
    "ALIVE",
    "DRAINING",
    "LEASE",
    "PLANNER",
    "CALLERS",
    "FAILURE DOMAIN",
];

fn node(n: &NodeInfo) -> Vec<String> {
    vec![
        n.node.to_string(),
        n.incarnation.to_string(),
        yes_no(n.alive),
        yes_no(n.draining),
        yes_no(n.lease),
        yes_no(n.planner),
        n.callers.to_string(),
        n.failure_domain.to_string(),
    ]
}

const TENANTS: [&str; 7] = [
    "TENANT", "WEIGHT", "SHARE", "RUNNING", "QUEUED", "ADMITTED", "REFUSED",
];

fn tenant(t: &TenantInfo) -> Vec<String> {
    vec![
        t.tenant.to_string(),
        t.weight.to_string(),
        format!("{}.{}%", t.share_permille / 10, t.share_permille % 10),
        t.running.to_string(),
        t.queued.to_string(),
        t.admitted.to_string(),
        t.refused.to_string(),
    ]
}

const SUSPECTS: [&str; 4] = ["FINGERPRINT", "CRASHES", "REFUSED", "LAST REQUEST"];

fn suspect(s: &SuspectInfo) -> Vec<String> {
    vec![
        s.fingerprint.to_string(),
        s.crashes.to_string(),
        yes_no(s.named),
        s.request.to_string(),
    ]
}

fn yes_no(value: bool) -> String {
    (if value { "yes" } else { "no" }).to_owned()
}

fn or_dash(value: Option<&str>) -> String {
    value.unwrap_or("-").to_owned()
}
