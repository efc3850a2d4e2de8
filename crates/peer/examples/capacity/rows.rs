//! Measures table rows as they are read; builds rows and host reports.

use eelgrassmill_base::{HostEntry, HostReport, HostState, Placement, TargetKind};
use eelgrassmill_claim::{ClaimRow, ClaimState, Owner, claim_key, fingerprint};
use eelgrassmill_config::{HEAD_KEY, HeadRow};
use eelgrassmill_group::{
    GroupPhase, GroupRow, HostRow, NodeRow, NodeState, PlannerRow, group_key, host_key, node_key,
    planner_key,
};
use eelgrassmill_peer::capacity::{Inputs, LinearCost};
use eelgrassmill_peer::{QuotaReply, QuotaRequest, SlotDemand, SlotGrant};
use eelgrassmill_stores::Row;
use prost::Message;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::line;

/// An incarnation of a node or host: milliseconds since an epoch.
const INCARNATION: u64 = 1_800_000_000_000;

pub(crate) fn measure(inputs: &mut Inputs) {
    println!("\nrows as read, in bytes of JSON");
    let node = node_row(123);
    inputs.node_row = fixed("node_row", row_bytes(&node_key(&node.node), &node));
    let host = HostRow {
        host: "engine-123".into(),
        group: Some("drafting/17".into()),
        epoch: 12,
        fence: 40,
    };
    inputs.host_row = fixed("host_row", row_bytes(&host_key(&host.host), &host));
    inputs.host_entry = fixed("host_entry", json_bytes(&host_entry(123)));
    let groups = [2, 4, 8].map(|hosts| {
        let row = group_row(17, hosts);
        (f64::from(hosts), row_bytes(&group_key(&row.group), &row))
    });
    inputs.group_row = line("group_row", &groups);
    let head = HeadRow {
        version: 12_345,
        checksum: "0".repeat(64).into(),
    };
    inputs.head_row = fixed("head_row", row_bytes(HEAD_KEY, &head));
    let planner = PlannerRow {
        node: "node-123".into(),
        incarnation: INCARNATION,
    };
    inputs.planner_row = fixed("planner_row", row_bytes(&planner_key("region-0"), &planner));
    let published = [2, 4, 8].map(|hosts| {
        let row = group_row(17, hosts);
        let entries: Vec<HostEntry> = (0..hosts as usize).map(host_entry).collect();
        (f64::from(hosts), json_bytes(&(row, entries)))
    });
    inputs.group_item = line("group_item", &published);
    inputs.quota_demand = fixed("quota_demand", demand_bytes());
    let claim = ClaimRow {
        fingerprint: fingerprint("POST", "/services/booking/refund", b"{}"),
        owner: Owner {
            node: "node-123".into(),
            incarnation: INCARNATION,
        },
        attempt: "node-123-1800000000000-4567".into(),
        expires: 20_000,
        state: ClaimState::Claimed,
    };
    let key = claim_key("tenant-1", "booking", "refund-2026-000123");
    inputs.claim_row = fixed("claim_row", row_bytes(&key, &claim));
}

/// Encoded bytes of an idle entry host's demand and its grant.
fn demand_bytes() -> f64 {
    let demand = SlotDemand {
        group: "drafting/17".into(),
        epoch: 12,
        seq: 4_567,
        held_seq: 4_566,
        ..SlotDemand::default()
    };
    let grant = SlotGrant {
        group: "drafting/17".into(),
        epoch: 12,
        seq: 4_567,
        slots: 1,
        urgent_slots: 0,
        ttl_ms: 2_000,
    };
    let req = QuotaRequest {
        demands: vec![demand],
        ..QuotaRequest::default()
    };
    let reply = QuotaReply {
        grants: vec![grant],
    };
    (req.encoded_len() + reply.encoded_len()) as f64
}

fn fixed(name: &str, bytes: f64) -> LinearCost {
    println!("{name:<16}  {bytes}");
    LinearCost {
        fixed: bytes,
        per_unit: 0.0,
    }
}

fn json_bytes(value: &impl Serialize) -> f64 {
    serde_json::to_vec(value).expect("a row is JSON").len() as f64
}

pub(crate) fn row_bytes(key: &str, value: &impl Serialize) -> f64 {
    json_bytes(&Row {
        key: key.into(),
        version: 1234,
        txn: "node-123-1800000000000-4567".into(),
        value: serde_json::to_string(value).expect("a row is JSON"),
    })
}

pub(crate) fn node_row(i: usize) -> NodeRow {
    let address = |port: u32| format_smolstr!("10.20.30.{}:{port}", i % 250);
    NodeRow {
        node: format_smolstr!("node-{i}"),
        incarnation: INCARNATION,
        renewals: 12_345,
        caller: address(8080),
        peer: address(8081),
        admin: address(8082),
        failure_domain: format_smolstr!("domain-{}", i % 6),
        region: format_smolstr!("region-{}", i % 3),
        state: NodeState::Serving,
    }
}

pub(crate) fn host_entry(i: usize) -> HostEntry {
    HostEntry {
        id: format_smolstr!("engine-{i}"),
        address: format_smolstr!("10.40.{}.{}:9000", i / 250, i % 250),
        kind: TargetKind::Engine,
        region: "region-0".into(),
        failure_domain: format_smolstr!("domain-{}", i / 8 % 6),
        fabric_domain: format_smolstr!("fabric-{}", i / 40),
        accelerators: 4,
        state: HostState::Live,
    }
}

fn group_members(index: usize, hosts: u32) -> Vec<SmolStr> {
    let first = index * hosts as usize;
    (first..first + hosts as usize)
        .map(|i| format_smolstr!("engine-{i}"))
        .collect()
}

pub(crate) fn group_row(index: usize, hosts: u32) -> GroupRow {
    GroupRow {
        group: format_smolstr!("drafting/{index}"),
        service: "drafting".into(),
        model: "model".into(),
        version: "v1".into(),
        epoch: 12,
        members: group_members(index, hosts),
        phase: GroupPhase::Formed,
        reason: None,
    }
}

pub(crate) fn report(hosts: u32) -> HostReport {
    report_of(&group_row(0, hosts), 0)
}

/// The reply of a member of `row` to a probe.
pub(crate) fn report_of(row: &GroupRow, member: usize) -> HostReport {
    HostReport {
        host: row.members[member].clone(),
        incarnation: INCARNATION,
        placement: Some(Placement {
            group: row.group.clone(),
            epoch: row.epoch,
            model: row.model.clone(),
            version: row.version.clone(),
            members: row.members.clone(),
        }),
        ready: true,
        fence: 40,
        leaving: false,
        running: 6,
        warm: vec!["model@v1".into()],
    }
}
