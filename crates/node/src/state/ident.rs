//! Who this node is.

use std::net::SocketAddr;

use eelgrassmill_base::{FailureDomain, HostEntry, Incarnation, NodeId, Region, TxnId};
use eelgrassmill_claim::Owner;
use eelgrassmill_group::{NodeRow, NodeState};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use std::sync::atomic::{AtomicU64, Ordering};

/// Who this node is, from its settings and its start.
pub(crate) struct Ident {
    pub(crate) node: NodeId,
    /// This start of the node. Invariant: higher than that of every start before.
    pub(crate) incarnation: Incarnation,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
    /// Counts ids made by this start.
    made: AtomicU64,
}

impl Ident {
    pub(crate) fn new(
        settings: &crate::Settings,
        incarnation: Incarnation,
        caller: SocketAddr,
        peer: SocketAddr,
        admin: SocketAddr,
    ) -> Ident {
        Ident {
            node: settings.node.clone(),
            incarnation,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            caller,
            peer,
            admin,
            made: AtomicU64::new(0),
        }
    }

    /// An id that no node and no start makes a second time.
    pub(crate) fn unique(&self) -> TxnId {
        let n = self.made.fetch_add(1, Ordering::Relaxed);
        format_smolstr!("{}-{:x}-{n:x}", self.node, self.incarnation)
    }

    /// A number for random generators, which two nodes and two starts don't share.
    pub(crate) fn seed(&self, what: &str) -> u64 {
        let incarnation = self.incarnation.to_smolstr();
        eelgrassmill_base::stable_hash([&self.node, incarnation.as_str(), what])
    }

    pub(crate) fn owner(&self) -> Owner {
        Owner {
            node: self.node.clone(),
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn row(&self, state: NodeState, renewals: u64) -> NodeRow {
        NodeRow {
            node: self.node.clone(),
            incarnation: self.incarnation,
            renewals,
            caller: address(self.caller),
            peer: address(self.peer),
            admin: address(self.admin),
            failure_domain: self.failure_domain.clone(),
            region: self.region.clone(),
            state,
        }
    }

    /// How far a host is: 0 in this failure domain, 1 in this region, 2 beyond.
    pub(crate) fn hops(&self, host: Option<&HostEntry>) -> u8 {
        match host {
            Some(h) if h.failure_domain == self.failure_domain => 0,
            Some(h) if h.region == self.region => 1,
            _ => 2,
        }
    }
}

fn address(at: SocketAddr) -> SmolStr {
    at.to_smolstr()
}
