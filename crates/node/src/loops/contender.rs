//! Who may take a region over.

use eelgrassmill_base::{NodeId, rendezvous};
use eelgrassmill_group::NodeRow;

use super::reader::Seen;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Nodes that try to take a region over, the first by rendezvous hashing. All
/// of a region at once would be one write each for one that succeeds.
const CONTENDERS: usize = 3;

/// Whether this node is among the first living readers of its region.
pub(crate) fn is_contender(core: &Core, seen: &Seen) -> bool {
    let region = &core.ident.region;
    let fleet = lock(&core.fleet);
    if !fleet.is_reader(&core.ident.node) {
        return false;
    }
    let lapsed = |row: &NodeRow| {
        let version = fleet.nodes.get(&row.node).map_or(0, |(_, v)| *v);
        seen.observer.has_expired(&row.node, version)
    };
    let alive: Vec<&NodeId> = fleet
        .serving_nodes()
        .filter(|row| row.region == *region && !lapsed(row) && fleet.is_reader(&row.node))
        .map(|row| &row.node)
        .collect();
    let ranked = rendezvous(region, alive);
    let first = ranked.iter().take(CONTENDERS);
    first.into_iter().any(|node| **node == core.ident.node)
}
