//! The nodes that callers can be sent to, as peers and the table tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassmill_base::{ConfigVersion, FailureDomain, Incarnation, NodeId, Region};
use eelgrassmill_peer::{NodeLoad, NodeStatus};
use eelgrassmill_route::LoadBand;

/// Load at which a node is full, in thousandths.
const FULL_PERMILLE: f64 = 1000.0;

/// One other node as it describes itself.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) caller: SocketAddr,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) region: Region,
    pub(crate) leaving: bool,
    /// How loaded it calls itself.
    pub(crate) band: LoadBand,
    pub(crate) config_version: ConfigVersion,
}

/// What other nodes say of themselves. An entry goes when its node falls silent.
#[derive(Default)]
pub(crate) struct Directory {
    entries: BTreeMap<NodeId, Entry>,
}

impl Directory {
    /// Takes a node's status; one whose address can't be used is left out.
    pub(crate) fn on_status(&mut self, node: &NodeId, incarnation: Incarnation, s: &NodeStatus) {
        let Ok(caller) = s.entry_address.parse() else {
            return;
        };
        let before = self.entries.get(node);
        let entry = Entry {
            incarnation,
            caller,
            failure_domain: s.failure_domain.clone(),
            region: s.region.clone(),
            leaving: s.leaving,
            band: before.map_or(LoadBand::default(), |e| e.band),
            config_version: before.map_or(0, |e| e.config_version),
        };
        self.entries.insert(node.clone(), entry);
    }

    pub(crate) fn on_load(&mut self, node: &NodeId, load: &NodeLoad) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.band = entry
                .band
                .next(f64::from(load.load_permille) / FULL_PERMILLE);
            entry.config_version = load.config_version;
        }
    }

    pub(crate) fn forget(&mut self, node: &NodeId) -> bool {
        self.entries.remove(node).is_some()
    }

    pub(crate) fn get(&self, node: &str) -> Option<&Entry> {
        self.entries.get(node)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&NodeId, &Entry)> {
        self.entries.iter()
    }
}
