//! Membership: listed members, nodes learned of from peers, and lost nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, stable_hash};
use smol_str::SmolStr;

use crate::dissemination::{Dissemination, ListedMember, MAX_ORIGINS, Member};
use crate::item::{Change, Item, ItemKey, NodeStatus, Update};
use crate::overlay::Overlay;

/// Backoff after a first failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Shortest interval between two rebuilds of the overlay, per node in it: the cost of a rebuild
/// grows with the number of nodes.
const REBUILD_INTERVAL_PER_NODE: Duration = Duration::from_micros(250);
/// Maximum number of lost nodes.
const MAX_LOST_NODES: usize = MAX_ORIGINS;
/// One in this many syncs is with a node of any failure domain.
const CROSS_DOMAIN_SYNC_EVERY: usize = 8;
/// How long a lost node is kept unless it is a listed member.
const LOST_NODE_TTL: Duration = Duration::from_secs(2 * 3600);

/// Backoff of calls to one node.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    failures: u32,
    until: Instant,
}

/// Nodes that are no longer heard from, with their addresses and since when.
///
/// They are tried again one at a time, so that the two sides of a partition that
/// outlasted the expiry of each other's state reconnect.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostNodes {
    nodes: BTreeMap<NodeId, (SmolStr, Instant)>,
}

impl LostNodes {
    fn add(&mut self, node: NodeId, address: SmolStr, now: Instant) {
        if self.nodes.len() < MAX_LOST_NODES {
            self.nodes.insert(node, (address, now));
        }
    }

    pub(super) fn remove(&mut self, node: &NodeId) -> bool {
        self.nodes.remove(node).is_some()
    }

    fn expire(&mut self, now: Instant) {
        self.nodes
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < LOST_NODE_TTL);
    }
}

impl Dissemination {
    /// Sets the list of members as read from the table. Nodes learned of from peers
    /// take part as well.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>, now: Instant) {
        let mut listed = BTreeMap::new();
        for member in members {
            if member.id == self.cfg.me.id {
                continue;
            }
            let since = match self.members.get(&member.id) {
                Some(known) if known.member == member => known.since,
                _ => now,
            };
            listed.insert(member.id.clone(), ListedMember { member, since });
        }
        self.members = listed;
        self.overlay_outdated = true;
    }

    /// Drops all state of a node that is known to be gone.
    pub fn forget(&mut self, node: &NodeId, now: Instant) -> Vec<Update> {
        if *node == self.cfg.me.id {
            return Vec::new();
        }
        self.members.remove(node);
        self.overlay_outdated = true;
        let updates = self.drop_origin(node, now);
        self.lost_nodes.nodes.remove(node);
        updates
    }

    /// Records that a call to `node` failed.
    ///
    /// Its children in the trees are sent to directly until it answers again.
    pub fn on_call_failed(&mut self, node: &NodeId, now: Instant) {
        self.sent_versions.remove(node);
        let failures = self.backoff.get(node).map_or(0, |known| known.failures);
        let pause = INITIAL_BACKOFF
            .saturating_mul(1 << failures.min(8))
            .min(MAX_BACKOFF);
        // Without jitter, all neighbours of a returning node would connect to it at once.
        let salt = failures.to_string();
        let hash = stable_hash([self.cfg.me.id.as_str(), node.as_str(), &salt]);
        let jitter = pause.mul_f64((hash % 500) as f64 / 1000.0);
        let known = Backoff {
            failures: failures + 1,
            until: now + pause + jitter,
        };
        self.backoff.insert(node.clone(), known);
    }

    /// The address at which `node` takes calls: from its status, the list, or the lost nodes.
    pub fn address_of(&self, node: &str) -> Option<SmolStr> {
        let announced = self.status_of(node).map(|s| s.peer_address.clone());
        announced
            .filter(|address| !address.is_empty())
            .or_else(|| self.members.get(node).map(|l| l.member.address.clone()))
            .or_else(|| {
                self.lost_nodes
                    .nodes
                    .get(node)
                    .map(|(address, _)| address.clone())
            })
    }

    /// The status that `node` publishes.
    pub fn status_of(&self, node: &str) -> Option<&NodeStatus> {
        match self.states.get(node)?.get(&ItemKey::Status)? {
            Item::Status(status) => Some(status),
            _ => None,
        }
    }

    pub(super) fn on_contact(&mut self, node: &NodeId) {
        self.backoff.remove(node);
        if self.lost_nodes.nodes.remove(node).is_some() {
            self.overlay_outdated = true;
        }
    }

    pub(super) fn unreachable(&self, now: Instant) -> BTreeSet<NodeId> {
        self.backoff
            .iter()
            .filter(|(_, backoff)| backoff.until > now)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Drops origins that weren't confirmed for too long.
    pub(super) fn expire_origins(&mut self, now: Instant) -> Vec<Update> {
        let silent = |confirmed: Instant| {
            now.saturating_duration_since(confirmed) >= self.cfg.timing.expire_after
        };
        let expired: Vec<NodeId> = self
            .states
            .iter()
            .filter(|(id, state)| **id != self.cfg.me.id && silent(state.confirmed()))
            .map(|(id, _)| id.clone())
            .collect();
        let mut updates = Vec::new();
        for origin in expired {
            updates.extend(self.drop_origin(&origin, now));
        }
        self.lost_nodes.expire(now);
        updates
    }

    fn drop_origin(&mut self, origin: &NodeId, now: Instant) -> Vec<Update> {
        if let Some(address) = self.address_of(origin) {
            self.lost_nodes.add(origin.clone(), address, now);
        }
        let Some(state) = self.states.remove(origin) else {
            return Vec::new();
        };
        self.by_fingerprint.remove(&state.fingerprint());
        for versions in self.sent_versions.values_mut() {
            versions.remove(origin);
        }
        self.sent_versions.remove(origin);
        self.clocks.remove(origin);
        self.overlay_outdated = true;
        vec![Update {
            origin: origin.clone(),
            incarnation: state.incarnation(),
            change: Change::Forgotten,
        }]
    }

    /// Counts listed members as lost if nothing was heard from them for too long.
    pub(super) fn mark_silent_members_lost(&mut self, now: Instant) {
        let overdue = |listed: &ListedMember| {
            now.saturating_duration_since(listed.since) >= self.cfg.timing.expire_after
        };
        let silent: Vec<(NodeId, SmolStr)> = self
            .members
            .iter()
            .filter(|(id, listed)| overdue(listed) && !self.states.contains_key(*id))
            .filter(|(id, _)| !self.lost_nodes.nodes.contains_key(*id))
            .map(|(id, listed)| (id.clone(), listed.member.address.clone()))
            .collect();
        for (node, address) in silent {
            self.lost_nodes.add(node, address, now);
            self.overlay_outdated = true;
        }
    }

    /// Rebuilds the overlay if the set of nodes has changed.
    pub(super) fn refresh_overlay(&mut self, now: Instant) {
        if !self.overlay_outdated || now < self.timers.next_rebuild {
            return;
        }
        self.overlay_outdated = false;
        self.overlay_rebuilds += 1;
        let count = u32::try_from(self.states.len()).unwrap_or(u32::MAX);
        self.timers.next_rebuild = now + REBUILD_INTERVAL_PER_NODE.saturating_mul(count);
        self.overlay = self.build_overlay();
        let overlay = &self.overlay;
        self.sent_versions.retain(|node, _| overlay.contains(node));
    }

    fn build_overlay(&self) -> Overlay {
        let me = &self.cfg.me;
        let listed = self
            .members
            .values()
            .filter(|listed| !self.lost_nodes.nodes.contains_key(&listed.member.id))
            .map(|listed| (&listed.member.id, &listed.member.failure_domain));
        let learned = self
            .states
            .keys()
            .filter_map(|id| Some((id, &self.status_of(id)?.failure_domain)));
        let own = (&me.id, &me.failure_domain);
        Overlay::new(listed.chain(learned).chain([own]))
    }

    /// The next node to query for updates that the trees lost, in round-robin order.
    pub(super) fn next_round_robin(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        let count = self.overlay.len();
        for _ in 0..count {
            self.round_robin = self.round_robin.wrapping_add(1);
            let node = self.overlay.nodes().nth(self.round_robin % count)?;
            if *node != self.cfg.me.id && !unreachable.contains(node) {
                return Some(node.clone());
            }
        }
        None
    }

    /// The next node to sync with: mostly one of the own failure domain, to limit traffic
    /// between domains.
    pub(super) fn next_sync_peer(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        self.round_robin = self.round_robin.wrapping_add(1);
        if self.round_robin.is_multiple_of(CROSS_DOMAIN_SYNC_EVERY) {
            return self.next_round_robin(unreachable);
        }
        let me = &self.cfg.me.id;
        let is_usable = |node: &&NodeId| *node != me && !unreachable.contains(*node);
        let near: Vec<&NodeId> = self.overlay.ring_of(me).filter(is_usable).collect();
        let chosen = near
            .get(self.round_robin % near.len().max(1))
            .copied()
            .cloned();
        chosen.or_else(|| self.next_round_robin(unreachable))
    }

    /// The next lost node to try again.
    pub(super) fn next_lost_node(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        let count = self.lost_nodes.nodes.len();
        for _ in 0..count {
            self.round_robin = self.round_robin.wrapping_add(1);
            let node = self.lost_nodes.nodes.keys().nth(self.round_robin % count)?;
            if !unreachable.contains(node) {
                return Some(node.clone());
            }
        }
        None
    }
}
