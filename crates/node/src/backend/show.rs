//! What the admin API shows of this node's knowledge.

use std::time::Instant;

use eelgrassmill_config::Config;
use eelgrassmill_group::{GroupRow, NodeState};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::admin::{
    ConfigStatus, GroupInfo, HostInfo, NodeConfig, NodeInfo, SuspectInfo, TenantInfo,
};
use crate::state::core::Core;
use crate::state::lock::lock;

pub(super) fn config_status(core: &Core) -> ConfigStatus {
    let accepted = core.config.version();
    let checksum = core.config.text().map(|t| t.checksum).unwrap_or_default();
    let mut nodes = vec![NodeConfig {
        node: core.ident.node.clone(),
        version: Some(accepted),
        checksum,
        behind: None,
    }];
    let directory = lock(&core.directory);
    let fleet = lock(&core.fleet);
    for (node, entry) in directory.entries() {
        nodes.push(NodeConfig {
            node: node.clone(),
            version: Some(entry.config_version),
            checksum: SmolStr::default(),
            behind: (entry.config_version < accepted)
                .then(|| "has not yet said that it is in force".into()),
        });
    }
    for node in fleet.nodes.keys() {
        if !core.is_me(node) && directory.get(node).is_none() {
            nodes.push(NodeConfig {
                node: node.clone(),
                version: None,
                checksum: SmolStr::default(),
                behind: Some("not heard from".into()),
            });
        }
    }
    ConfigStatus { accepted, nodes }
}

pub(super) fn groups(core: &Core) -> Vec<GroupInfo> {
    let cfg = core.config.config();
    let fleet = lock(&core.fleet);
    let rows = fleet.groups.values().map(|(row, _)| row);
    rows.map(|row| group(core, &cfg, row)).collect()
}

fn group(core: &Core, cfg: &Config, row: &GroupRow) -> GroupInfo {
    let serving = lock(&core.whole).serving(&row.group, Instant::now());
    let reason = match &serving {
        Err(why) => Some(format_smolstr!("{why}")),
        Ok(_) if !cfg.services.contains_key(&row.service) => Some("not configured".into()),
        Ok(_) => core.why_not_serving(&row.service),
    };
    GroupInfo {
        group: row.group.clone(),
        service: row.service.clone(),
        epoch: row.epoch,
        version: row.version.clone(),
        members: row.members.clone(),
        whole: serving.is_ok(),
        serving: serving.is_ok() && reason.is_none(),
        reason,
    }
}

pub(super) fn hosts(core: &Core) -> Vec<HostInfo> {
    let cfg = core.config.config();
    let fleet = lock(&core.fleet);
    let member = |host: &str| -> Option<&GroupRow> {
        let mut rows = fleet.groups.values().map(|(row, _)| row);
        rows.find(|row| row.members.iter().any(|m| m == host))
    };
    let hosts = fleet.hosts.values().map(|entry| {
        let group = member(&entry.id);
        let answered = core.reports.get(&entry.id);
        HostInfo {
            host: entry.id.clone(),
            address: entry.address.clone(),
            kind: entry.kind,
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            fabric_domain: entry.fabric_domain.clone(),
            accelerators: entry.accelerators,
            state: entry.state,
            group: group.map(|row| row.group.clone()),
            epoch: group.map_or(0, |row| row.epoch),
            fence: answered.map_or(0, |a| a.report.fence),
            drain: cfg.is_target_draining(&entry.id),
        }
    });
    hosts.collect()
}

pub(super) fn nodes(core: &Core) -> Vec<NodeInfo> {
    let cfg = core.config.config();
    let planner = lock(&core.planner).clone();
    let directory = lock(&core.directory);
    let fleet = lock(&core.fleet);
    let mut nodes: Vec<NodeInfo> = vec![myself(core, &cfg, planner.as_ref())];
    for (node, entry) in directory.entries() {
        nodes.push(NodeInfo {
            node: node.clone(),
            incarnation: entry.incarnation,
            region: entry.region.clone(),
            failure_domain: entry.failure_domain.clone(),
            callers: entry.caller.to_smolstr(),
            alive: entry.is_alive(Instant::now()),
            draining: entry.leaving || cfg.is_node_draining(node),
            lease: fleet.nodes.contains_key(node),
            planner: planner.as_ref() == Some(node),
        });
    }
    let unheard = fleet
        .nodes
        .values()
        .filter(|(row, _)| !core.is_me(&row.node) && directory.get(&row.node).is_none());
    nodes.extend(unheard.map(|(row, _)| NodeInfo {
        node: row.node.clone(),
        incarnation: row.incarnation,
        region: row.region.clone(),
        failure_domain: row.failure_domain.clone(),
        callers: row.caller.clone(),
        alive: false,
        draining: row.state == NodeState::Leaving,
        lease: true,
        planner: planner.as_ref() == Some(&row.node),
    }));
    nodes
}

fn myself(core: &Core, cfg: &Config, planner: Option<&SmolStr>) -> NodeInfo {
    let ident = &core.ident;
    NodeInfo {
        node: ident.node.clone(),
        incarnation: ident.incarnation,
        region: ident.region.clone(),
        failure_domain: ident.failure_domain.clone(),
        callers: ident.caller.to_smolstr(),
        alive: true,
        draining: core.is_leaving() || cfg.is_node_draining(&ident.node),
        lease: core.holds_lease(),
        planner: planner == Some(&ident.node),
    }
}

pub(super) fn tenants(core: &Core) -> Vec<TenantInfo> {
    let cfg = core.config.config();
    let weights: u64 = cfg.tenants.values().map(|t| u64::from(t.weight)).sum();
    let counts = lock(&core.tenant_counts);
    let tenants = cfg.tenants.values().map(|tenant| {
        let count = counts.get(&tenant.name).copied().unwrap_or_default();
        TenantInfo {
            tenant: tenant.name.clone(),
            weight: tenant.weight,
            share_permille: (u64::from(tenant.weight) * 1000 / weights.max(1)) as u32,
            running: count.running,
            queued: count.queued,
            admitted: count.admitted,
            refused: count.refused,
        }
    });
    tenants.collect()
}

pub(super) fn suspects(core: &Core) -> Vec<SuspectInfo> {
    let listed = lock(&core.guard).listed(Instant::now());
    let infos = listed
        .into_iter()
        .map(|(print, crashes, named)| SuspectInfo {
            fingerprint: format_smolstr!("{print:016x}"),
            request: SmolStr::default(),
            crashes,
            named,
        });
    infos.collect()
}
