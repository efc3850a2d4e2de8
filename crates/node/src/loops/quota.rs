//! Asking the groups' watchers for quotas, and answering as one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, NodeId};
use eelgrassmill_config::{Config, ServiceKind};
use eelgrassmill_group::GroupPhase;
use eelgrassmill_peer::{PeerNode, QuotaReply, QuotaRequest, SlotDemand, SlotGrant};
use eelgrassmill_route::{QUOTA_TERM, QuotaDemand, QuotaGrant, Slots};
use tokio::runtime::Handle;

use crate::peers::Peers;
use crate::state::core::Core;
use crate::state::fleet::Fleet;
use crate::state::lock::lock;
use crate::state::quotas::Shared;

/// Demands in one term; one that is lost doesn't cost the quota.
pub(crate) const ASK_PERIOD: Duration = Duration::from_millis(250);
/// A grant that takes longer than this to come is of little use.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);

/// Keeps this entry's quotas.
pub(crate) struct QuotaKeeper {
    core: Arc<Core>,
    peer: Arc<PeerNode<Peers>>,
    runtime: Handle,
}

impl QuotaKeeper {
    pub(crate) fn new(core: Arc<Core>, peer: Arc<PeerNode<Peers>>, runtime: Handle) -> QuotaKeeper {
        QuotaKeeper {
            core,
            peer,
            runtime,
        }
    }

    /// One round of demands.
    pub(crate) fn step(&mut self) {
        let mut by_issuer: BTreeMap<NodeId, Vec<QuotaDemand>> = BTreeMap::new();
        for (shared, running, waiting) in self.wanted() {
            let now = Instant::now();
            let mut quotas = lock(&self.core.quotas);
            if !quotas.is_due(&shared, running, waiting, now) {
                continue;
            }
            let demand = quotas.ask(&shared, running, waiting, now);
            if !self.core.is_me(&shared.issuer) {
                drop(quotas);
                by_issuer.entry(shared.issuer).or_default().push(demand);
                continue;
            }
            if let Some(grant) = quotas.issue(&shared, &demand, now) {
                quotas.on_grant(&grant);
            }
        }
        for (issuer, demands) in by_issuer {
            self.ask(issuer, demands);
        }
    }

    /// All groups that this entry may send to, with what it runs and would run there.
    fn wanted(&self) -> Vec<(Shared, Slots, Slots)> {
        let cfg = self.core.config.config();
        let mut fleet = lock(&self.core.fleet);
        lock(&self.core.quotas).retain(|group| fleet.groups.contains_key(group));
        let entries = entries(&fleet);
        let groups: Vec<GroupId> = fleet.groups.keys().cloned().collect();
        let shared: Vec<Shared> = groups
            .iter()
            .filter_map(|group| shared(&cfg, &mut fleet, &entries, group))
            .collect();
        drop(fleet);
        let mut wanted = Vec::new();
        for shard in self.core.all_shards() {
            let of_shard = |s: &&Shared| {
                let service = eelgrassmill_group::parse_group_id(&s.group);
                service.is_some_and(|(service, _)| service == shard.service().as_str())
            };
            let groups: Vec<&Shared> = shared.iter().filter(of_shard).collect();
            let (waiting, _) = shard.demand();
            let part = |n: u32| n.div_ceil(groups.len().max(1) as u32);
            for group in &groups {
                let waiting = Slots {
                    normal: part(waiting.normal),
                    urgent: part(waiting.urgent),
                };
                wanted.push(((*group).clone(), shard.in_flight(&group.group), waiting));
            }
        }
        wanted
    }

    fn ask(&self, issuer: NodeId, demands: Vec<QuotaDemand>) {
        let req = QuotaRequest {
            from: self.core.ident.node.to_string(),
            incarnation: self.core.ident.incarnation,
            demands: demands.iter().map(slot_demand).collect(),
        };
        let core = self.core.clone();
        let peer = self.peer.clone();
        self.runtime.spawn(async move {
            // Without an answer the fallback part holds; the next round asks again.
            let Ok(reply) = peer.request_quota(&issuer, req, ASK_TIMEOUT).await else {
                return;
            };
            let mut quotas = lock(&core.quotas);
            for item in &reply.grants {
                quotas.on_grant(&grant(&core, &issuer, item));
            }
        });
    }
}

/// Answers the demands of another entry.
pub(crate) fn answer(core: &Core, req: &QuotaRequest) -> QuotaReply {
    let now = Instant::now();
    let cfg = core.config.config();
    let mut fleet = lock(&core.fleet);
    let mut quotas = lock(&core.quotas);
    let entries = entries(&fleet);
    let grants = req.demands.iter().filter_map(|item| {
        let shared = shared(&cfg, &mut fleet, &entries, &item.group)?;
        let grant = quotas.issue(&shared, &demand(req, item), now)?;
        Some(slot_grant(&grant))
    });
    QuotaReply {
        grants: grants.collect(),
    }
}

/// What a group has to share, and among whom, as this node knows it.
fn shared(cfg: &Config, fleet: &mut Fleet, entries: &Arc<[NodeId]>, group: &str) -> Option<Shared> {
    let (row, _) = fleet.groups.get(group)?;
    let ServiceKind::Model(model) = &cfg.services.get(&row.service)?.kind else {
        return None;
    };
    if row.phase != GroupPhase::Formed {
        return None;
    }
    let (group, epoch) = (row.group.clone(), row.epoch);
    let issuer = fleet.watchers(&group).into_iter().next()?;
    Some(Shared {
        group,
        epoch,
        slots: Slots {
            normal: model.slots.saturating_sub(model.urgent_slots),
            urgent: model.urgent_slots,
        },
        entries: entries.clone(),
        issuer,
    })
}

/// The nodes that share the slots of every group.
fn entries(fleet: &Fleet) -> Arc<[NodeId]> {
    fleet.serving_nodes().map(|row| row.node.clone()).collect()
}

fn slot_demand(demand: &QuotaDemand) -> SlotDemand {
    SlotDemand {
        group: demand.group.to_string(),
        epoch: demand.epoch,
        seq: demand.seq,
        held_seq: demand.held_seq,
        running: demand.running.normal,
        urgent_running: demand.running.urgent,
        waiting: demand.waiting.normal,
        urgent_waiting: demand.waiting.urgent,
    }
}

fn demand(req: &QuotaRequest, item: &SlotDemand) -> QuotaDemand {
    QuotaDemand {
        entry: req.from.as_str().into(),
        incarnation: req.incarnation,
        group: GroupId::from(item.group.as_str()),
        epoch: item.epoch,
        seq: item.seq,
        held_seq: item.held_seq,
        running: Slots {
            normal: item.running,
            urgent: item.urgent_running,
        },
        waiting: Slots {
            normal: item.waiting,
            urgent: item.urgent_waiting,
        },
    }
}

fn slot_grant(grant: &QuotaGrant) -> SlotGrant {
    SlotGrant {
        group: grant.group.to_string(),
        epoch: grant.epoch,
        seq: grant.seq,
        slots: grant.slots.normal,
        urgent_slots: grant.slots.urgent,
        ttl_ms: grant.term.as_millis() as u64,
    }
}

fn grant(core: &Core, issuer: &NodeId, item: &SlotGrant) -> QuotaGrant {
    QuotaGrant {
        issuer: issuer.clone(),
        entry: core.ident.node.clone(),
        incarnation: core.ident.incarnation,
        group: item.group.as_str().into(),
        epoch: item.epoch,
        seq: item.seq,
        slots: Slots {
            normal: item.slots,
            urgent: item.urgent_slots,
        },
        // A longer term than the protocol's would outlive the issuer's own count.
        term: Duration::from_millis(item.ttl_ms).min(QUOTA_TERM),
    }
}
