//! The nodes that callers can be sent to, as peers and the table tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_base::{ConfigVersion, FailureDomain, Incarnation, NodeId, Region};
use eelgrassmill_peer::{NodeLoad, NodeStatus};
use eelgrassmill_route::LoadLevel;

/// Load at which a node is full, in thousandths.
const FULL_PERMILLE: f64 = 1000.0;

/// Callers are not sent to a node that was silent for this long. In a large system
/// a node that watches nothing is confirmed every two seconds.
const ALIVE_FOR: Duration = Duration::from_secs(6);

/// One other node as it describes itself.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) caller: SocketAddr,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) region: Region,
    pub(crate) leaving: bool,
    /// How loaded it calls itself.
    pub(crate) band: LoadLevel,
    pub(crate) config_version: ConfigVersion,
    /// When it was last known to live.
    pub(crate) heard: Instant,
}

/// What other nodes say of themselves. An entry goes when its node falls silent.
#[derive(Default)]
pub(crate) struct Directory {
    entries: BTreeMap<NodeId, Entry>,
}

impl Entry {
    /// Whether it was heard from so lately that callers may be sent to it.
    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < ALIVE_FOR
    }
}

impl Directory {
    /// Takes a node's status; one whose address can't be used is left out.
    pub(crate) fn on_status(
        &mut self,
        node: &NodeId,
        incarnation: Incarnation,
        s: &NodeStatus,
        as_of: Instant,
    ) {
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
            band: before.map_or(LoadLevel::default(), |e| e.band),
            config_version: before.map_or(0, |e| e.config_version),
            heard: before.map_or(as_of, |e| e.heard.max(as_of)),
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

    /// Notes that a node lived at `as_of`.
    pub(crate) fn heard(&mut self, node: &NodeId, as_of: Instant) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.heard = entry.heard.max(as_of);
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
