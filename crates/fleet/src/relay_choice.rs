//! Choice of the node through which a node connects to hosts that it doesn't reach.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use smallvec::SmallVec;

use crate::roles::{RoleCandidate, ranked_for_role};

/// How long a node isn't asked that could not relay.
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
    /// Records that a node could not relay, or needs a relay itself.
    pub fn mark_unavailable(&mut self, node: &NodeId, now: Instant) {
        self.unavailable
            .retain(|_, at| now.saturating_duration_since(*at) < UNAVAILABLE_TTL);
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
        let is_available =
            |n: &RoleCandidate<'_>| !self.unavailable.get(n.id).is_some_and(is_recent);
        let available = nodes.into_iter().filter(is_available);
        let key = format!("relay/{draw}");
        let ranked = ranked_for_role(&key, None, available);
        ranked.into_iter().take(MAX_CANDIDATES).cloned().collect()
    }
}
