//! Peers whose calls are blocked both ways, for tests that cut the network.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError, RwLock};

use eelgrassmill_base::NodeId;

/// A list of nodes that a node neither calls nor answers; changed at run time.
///
/// Nothing in the product fills it: it is for tests.
#[derive(Clone, Debug, Default)]
pub struct BlockedPeers {
    nodes: Arc<RwLock<BTreeSet<NodeId>>>,
}

impl BlockedPeers {
    /// Replaces the list.
    pub fn set(&self, nodes: impl IntoIterator<Item = NodeId>) {
        let mut blocked = self.nodes.write().unwrap_or_else(PoisonError::into_inner);
        *blocked = nodes.into_iter().collect();
    }

    /// Whether `node` is on the list.
    pub fn contains(&self, node: &str) -> bool {
        let blocked = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
        blocked.contains(node)
    }
}
