//! Peers whose calls are refused both ways, for tests that cut the network.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError, RwLock};

use eelgrassmill_base::NodeId;

/// A list of nodes that a node neither calls nor answers; changed at run time.
///
/// Nothing in the product fills it: it is for tests.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    nodes: Arc<RwLock<BTreeSet<NodeId>>>,
}

impl Refusals {
    /// Replaces the list.
    pub fn set(&self, nodes: impl IntoIterator<Item = NodeId>) {
        let mut refused = self.nodes.write().unwrap_or_else(PoisonError::into_inner);
        *refused = nodes.into_iter().collect();
    }

    /// Whether `node` is on the list.
    pub fn refuses(&self, node: &str) -> bool {
        let refused = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
        refused.contains(node)
    }
}
