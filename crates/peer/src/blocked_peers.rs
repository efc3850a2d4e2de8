//! Peers whose calls are blocked both ways, for tests that cut the network.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError, RwLock};

use eelgrassmill_base::NodeId;

/// The nodes that a node neither calls nor answers; can be changed at run time.
///
/// Only tests set it.
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

    /// Whether `node` is blocked.
    pub fn contains(&self, node: &str) -> bool {
        let blocked = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
        blocked.contains(node)
    }
}
