//! Choice of the node through which a node connects to hosts that it doesn't reach.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use smallvec::SmallVec;

use crate::roles::{RoleCandidate, ranked_for_role};

/// How long a node that could not relay is asked only after all others.
const UNAVAILABLE_TTL: Duration = Duration::from_secs(2);
/// Nodes that are tried for one connection, so that it doesn't take long where most nodes are cut
/// off.
const MAX_CANDIDATES: usize = 4;

/// Nodes that could not relay.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    unavailable: BTreeMap<NodeId, Instant>,
}

impl RelayChoice {
    /// Records that a node could not relay.
    pub fn mark_unavailable(&mut self, node: &NodeId, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNAVAILABLE_TTL;
        self.unavailable.retain(|_, at| is_recent(at));
        self.unavailable.insert(node.clone(), now);
    }

    /// The nodes to ask, in this order, which `draw` decides among the stronger ones.
    pub fn candidates<'n>(
        &self,
        nodes: impl IntoIterator<Item = RoleCandidate<'n>>,
        draw: u64,
        now: Instant,
    ) -> SmallVec<[NodeId; MAX_CANDIDATES]> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNAVAILABLE_TTL;
        let is_unavailable =
            |n: &RoleCandidate<'_>| self.unavailable.get(n.id).is_some_and(is_recent);
        let (unavailable, available): (Vec<_>, Vec<_>) =
            nodes.into_iter().partition(is_unavailable);
        let key = format!("relay/{draw}");
        let ranked = ranked_for_role(&key, None, available)
            .into_iter()
            .chain(ranked_for_role(&key, None, unavailable));
        ranked.take(MAX_CANDIDATES).cloned().collect()
    }
}
