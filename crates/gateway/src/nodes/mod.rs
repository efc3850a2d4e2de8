//! The nodes that are up, as they tell each other.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId, value};
use eelgrassmill_fleet::{RoleCandidate, is_majority};
use smol_str::SmolStr;

/// A node that was not heard of for this long is taken for dead. Nodes confirm every
/// 500 ms, which takes three hops of 250 ms in a larger system, and a lost packet takes a
/// second to come again.
const DEAD_AFTER: Duration = Duration::from_millis(2200);

/// Most addresses in one answer, the most that callers take.
const MAX_ADDRESSES: usize = 64;

/// In a failure domain with fewer nodes than this, callers get all nodes: with one
/// address, its death leaves them none until they ask again.
const MIN_LOCAL_NODES: usize = 2;

value! {
    /// What a node says of itself.
    pub(crate) struct NodeInfo {
        /// For callers.
        pub(crate) address: SmolStr,
        pub(crate) failure_domain: FailureDomain,
        /// In thousandths of a core; 0 where it doesn't say.
        pub(crate) processor: u32,
        pub(crate) leaving: bool,
    }
}

#[derive(Clone, Debug)]
struct Known {
    info: NodeInfo,
    /// It has too little processor for what it does.
    strained: bool,
    heard: Instant,
}

/// How long a node that is gone counts when it is asked whether most are heard: longer than
/// nodes are usually cut off. Forgotten sooner, a
/// node that is cut off from all would soon be most of those that it knows.
const LOST_NODE_MEMORY: Duration = Duration::from_secs(20);

/// A node that gave no usable copy of a list is asked for none for this long: until a node
/// that died counts as dead, and longer than most connections are silent.
const COPY_RETRY_AFTER: Duration = Duration::from_secs(3);

/// A strained node counts as one with its processor divided by this, so that it takes a role only
/// where nearly all others are strained, too.
const STRAIN_DIVISOR: u32 = 4;

/// The other nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes {
    known: BTreeMap<NodeId, Known>,
    /// Nodes that were given up without having said that they leave, and when they were
    /// last heard.
    lost: BTreeMap<NodeId, Instant>,
    /// Nodes that gave no usable copy of the platform's lists, and when.
    unavailable: BTreeMap<NodeId, Instant>,
}

impl Nodes {
    /// Takes what a node says of itself. Whether the node was unknown or says something new.
    ///
    /// `heard` is the latest instant at which it is certain to have said so.
    pub(crate) fn on_status(&mut self, node: &NodeId, info: NodeInfo, heard: Instant) -> bool {
        self.lost.remove(node);
        let known = self.known.get(node);
        let changed = known.is_none_or(|k| k.info != info);
        let strained = known.is_some_and(|k| k.strained);
        // Word that came by way of another node may be dated earlier than what was heard before.
        let heard = known.map_or(heard, |k| k.heard.max(heard));
        let known = Known {
            info,
            strained,
            heard,
        };
        self.known.insert(node.clone(), known);
        changed
    }

    /// Takes a node's word whether it is strained.
    pub(crate) fn set_strained(&mut self, node: &str, strained: bool) {
        if let Some(known) = self.known.get_mut(node) {
            known.strained = strained;
        }
    }

    /// Notes a sign of life.
    pub(crate) fn heard(&mut self, node: &str, at: Instant) {
        if let Some(known) = self.known.get_mut(node) {
            known.heard = known.heard.max(at);
        }
    }

    pub(crate) fn forget(&mut self, node: &str) {
        let gone = self.known.remove_entry(node);
        if let Some((node, known)) = gone.filter(|(_, k)| !k.info.leaving) {
            let lately =
                |at: &Instant| known.heard.saturating_duration_since(*at) < LOST_NODE_MEMORY;
            self.lost.retain(|_, at| lately(at));
            self.lost.insert(node, known.heard);
        }
    }

    /// Whether a node is up.
    pub(crate) fn is_alive(&self, node: &str, now: Instant) -> bool {
        self.known.get(node).is_some_and(|k| k.is_alive(now))
    }

    /// For how long each node that stays, or was lost lately, was not heard.
    pub(crate) fn silences(&self, now: Instant) -> impl Iterator<Item = Duration> + Clone {
        let staying = self.known.values().filter(|k| !k.info.leaving);
        let heard = staying.map(|k| k.heard).chain(self.lost.values().copied());
        let silences = heard.map(move |at| now.saturating_duration_since(at));
        silences.filter(|silence| *silence < LOST_NODE_MEMORY)
    }

    /// How many nodes, this one among them, may be sending requests or have sent some
    /// lately: all that are known, whether heard just now or not, and those that were lost.
    pub(crate) fn sharing(&self, now: Instant) -> usize {
        let lately = |at: &&Instant| now.saturating_duration_since(**at) < LOST_NODE_MEMORY;
        let lost = self.lost.values().filter(lately).count();
        1 + self.known.len() + lost
    }

    /// Whether most nodes are up, as far as this one hears.
    pub(crate) fn hears_most(&self, now: Instant) -> bool {
        is_majority(self.silences(now), DEAD_AFTER)
    }

    /// The nodes that are up and stay, in the order of their names.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = RoleCandidate<'_>> {
        self.staying(now).map(candidate)
    }

    fn staying(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &Known)> {
        let stays = move |k: &Known| k.is_alive(now) && !k.info.leaving;
        self.known.iter().filter(move |(_, k)| stays(k))
    }

    /// Notes that a node gave no usable copy of a list.
    pub(crate) fn mark_unavailable(&mut self, node: &NodeId, now: Instant) {
        let lately = |at: &Instant| now.saturating_duration_since(*at) < COPY_RETRY_AFTER;
        self.unavailable.retain(|_, at| lately(at));
        self.unavailable.insert(node.clone(), now);
    }

    /// The nodes that are up and may have a copy of the platform's lists.
    pub(crate) fn with_copies(&self, now: Instant) -> impl Iterator<Item = RoleCandidate<'_>> {
        let lately = move |at: &Instant| now.saturating_duration_since(*at) < COPY_RETRY_AFTER;
        let has_copy = move |id: &NodeId| !self.unavailable.get(id).is_some_and(lately);
        let usable = self.staying(now).filter(move |(id, _)| has_copy(id));
        usable.map(candidate)
    }

    /// The addresses for callers in `near`, `own` among them unless it is `None`.
    pub(crate) fn addresses(
        &self,
        own: Option<(&SmolStr, &FailureDomain)>,
        near: &str,
        now: Instant,
    ) -> Vec<SmolStr> {
        let others = self.staying(now);
        let others = others.map(|(_, k)| (&k.info.address, &k.info.failure_domain));
        let all: Vec<_> = own.into_iter().chain(others).collect();
        let close: Vec<_> = all
            .iter()
            .filter(|(_, d)| d.as_str() == near)
            .copied()
            .collect();
        let chosen = if close.len() >= MIN_LOCAL_NODES {
            close
        } else {
            all
        };
        chosen
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|(a, _)| a.clone())
            .collect()
    }
}

/// Processor that a node has for a role, in thousandths of a core.
pub(crate) fn usable_processor(processor: u32, strained: bool) -> u32 {
    if strained {
        processor / STRAIN_DIVISOR
    } else {
        processor
    }
}

fn candidate<'n>((id, known): (&'n NodeId, &'n Known)) -> RoleCandidate<'n> {
    RoleCandidate {
        id,
        failure_domain: &known.info.failure_domain,
        processor: usable_processor(known.info.processor, known.strained),
    }
}

impl Known {
    fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < DEAD_AFTER
    }
}
