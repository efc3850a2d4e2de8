//! Table of the other nodes, with their liveness.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId, value};
use eelgrassmill_fleet::{RoleCandidate, is_majority};
use smol_str::SmolStr;

/// A node that was not heard for this long counts as dead. Nodes confirm that they are up every 500
/// ms, a confirmation takes three hops of 250 ms in a larger system, and the retransmission of a
/// lost packet takes a second.
const DEAD_AFTER: Duration = Duration::from_millis(2200);

/// Most addresses in one response, the most that callers accept.
const MAX_ADDRESSES: usize = 64;

/// In a failure domain with fewer nodes than this, callers get the addresses of all nodes: with a
/// single address, its node's death would leave them none until they resolve again.
const MIN_LOCAL_NODES: usize = 2;

value! {
    /// A node's status as it announces it.
    pub(crate) struct NodeInfo {
        /// Its address for callers.
        pub(crate) address: SmolStr,
        pub(crate) failure_domain: FailureDomain,
        /// Its CPU in thousandths of a core; 0 if unknown.
        pub(crate) processor: u32,
        pub(crate) leaving: bool,
    }
}

#[derive(Clone, Debug)]
struct NodeEntry {
    info: NodeInfo,
    /// Whether it has too little CPU for its load.
    overloaded: bool,
    last_heard: Instant,
}

/// How long a lost node still counts for the majority: longer than partitions usually last.
/// Otherwise a node that is cut off from all others would soon be a majority by itself.
const LOST_NODE_TTL: Duration = Duration::from_secs(20);

/// How long a node is not asked for copies after it sent no usable one: until a node that died
/// counts as dead, and longer than most connections stall.
const COPY_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The CPU of an overloaded node is divided by this, so that it takes a role only if nearly all
/// others are overloaded, too.
const OVERLOAD_DIVISOR: u32 = 4;

/// The other nodes that this one knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeTable {
    nodes: BTreeMap<NodeId, NodeEntry>,
    /// Nodes that were removed without having announced that they leave, and when they were last
    /// heard.
    lost: BTreeMap<NodeId, Instant>,
    /// Nodes that sent no usable copy of the platform's lists, and when.
    unavailable: BTreeMap<NodeId, Instant>,
}

impl NodeTable {
    /// Records a node's status. Returns whether the node is new or its status changed.
    ///
    /// `heard` is the latest instant at which it certainly was up.
    pub(crate) fn on_status(&mut self, node: &NodeId, info: NodeInfo, heard: Instant) -> bool {
        self.lost.remove(node);
        let entry = self.nodes.get(node);
        let changed = entry.is_none_or(|k| k.info != info);
        let overloaded = entry.is_some_and(|k| k.overloaded);
        // A status relayed by another node may be older than what was heard before.
        let last_heard = entry.map_or(heard, |k| k.last_heard.max(heard));
        let entry = NodeEntry {
            info,
            overloaded,
            last_heard,
        };
        self.nodes.insert(node.clone(), entry);
        changed
    }

    /// Records whether a node is overloaded.
    pub(crate) fn set_overloaded(&mut self, node: &str, overloaded: bool) {
        if let Some(entry) = self.nodes.get_mut(node) {
            entry.overloaded = overloaded;
        }
    }

    /// Records that a node was up at `at`.
    pub(crate) fn mark_heard(&mut self, node: &str, at: Instant) {
        if let Some(entry) = self.nodes.get_mut(node) {
            entry.last_heard = entry.last_heard.max(at);
        }
    }

    pub(crate) fn remove(&mut self, node: &str) {
        let removed = self.nodes.remove_entry(node);
        if let Some((node, entry)) = removed.filter(|(_, k)| !k.info.leaving) {
            let is_recent =
                |at: &Instant| entry.last_heard.saturating_duration_since(*at) < LOST_NODE_TTL;
            self.lost.retain(|_, at| is_recent(at));
            self.lost.insert(node, entry.last_heard);
        }
    }

    /// Whether a node counts as up.
    pub(crate) fn is_alive(&self, node: &str, now: Instant) -> bool {
        self.nodes.get(node).is_some_and(|k| k.is_alive(now))
    }

    /// Time since each node was last heard, of those that aren't leaving or were lost recently.
    pub(crate) fn silences(&self, now: Instant) -> impl Iterator<Item = Duration> + Clone {
        let staying = self.nodes.values().filter(|k| !k.info.leaving);
        let heard = staying
            .map(|k| k.last_heard)
            .chain(self.lost.values().copied());
        let silences = heard.map(move |at| now.saturating_duration_since(at));
        silences.filter(|silence| *silence < LOST_NODE_TTL)
    }

    /// Number of nodes that share the retry budget, including this one: all that are known, up or
    /// not, and those that were lost recently, since each may have sent requests.
    pub(crate) fn retry_budget_shares(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < LOST_NODE_TTL;
        let lost = self.lost.values().filter(is_recent).count();
        1 + self.nodes.len() + lost
    }

    /// Whether this node hears most of the others.
    pub(crate) fn hears_majority(&self, now: Instant) -> bool {
        is_majority(self.silences(now), DEAD_AFTER)
    }

    /// The nodes that are up and not leaving, in the order of their names.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = RoleCandidate<'_>> {
        self.staying(now).map(candidate)
    }

    fn staying(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &NodeEntry)> {
        let stays = move |k: &NodeEntry| k.is_alive(now) && !k.info.leaving;
        self.nodes.iter().filter(move |(_, k)| stays(k))
    }

    /// Records that a node sent no usable copy of a list.
    pub(crate) fn mark_unavailable(&mut self, node: &NodeId, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < COPY_RETRY_AFTER;
        self.unavailable.retain(|_, at| is_recent(at));
        self.unavailable.insert(node.clone(), now);
    }

    /// The nodes that are up and may have copies of the platform's lists.
    pub(crate) fn with_copies(&self, now: Instant) -> impl Iterator<Item = RoleCandidate<'_>> {
        let is_recent = move |at: &Instant| now.saturating_duration_since(*at) < COPY_RETRY_AFTER;
        let has_copy = move |id: &NodeId| !self.unavailable.get(id).is_some_and(is_recent);
        let usable = self.staying(now).filter(move |(id, _)| has_copy(id));
        usable.map(candidate)
    }

    /// The addresses for callers in the failure domain `domain`, including `own` unless it is
    /// `None`.
    pub(crate) fn addresses(
        &self,
        own: Option<(&SmolStr, &FailureDomain)>,
        domain: &str,
        now: Instant,
    ) -> Vec<SmolStr> {
        let others = self.staying(now);
        let others = others.map(|(_, k)| (&k.info.address, &k.info.failure_domain));
        let addresses: Vec<_> = own.into_iter().chain(others).collect();
        let local: Vec<_> = addresses
            .iter()
            .filter(|(_, d)| d.as_str() == domain)
            .copied()
            .collect();
        let chosen = if local.len() >= MIN_LOCAL_NODES {
            local
        } else {
            addresses
        };
        chosen
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|(a, _)| a.clone())
            .collect()
    }
}

/// CPU that a node has for a role, in thousandths of a core.
pub(crate) fn usable_processor(processor: u32, overloaded: bool) -> u32 {
    if overloaded {
        processor / OVERLOAD_DIVISOR
    } else {
        processor
    }
}

fn candidate<'n>((id, entry): (&'n NodeId, &'n NodeEntry)) -> RoleCandidate<'n> {
    RoleCandidate {
        id,
        failure_domain: &entry.info.failure_domain,
        processor: usable_processor(entry.info.processor, entry.overloaded),
    }
}

impl NodeEntry {
    fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < DEAD_AFTER
    }
}
