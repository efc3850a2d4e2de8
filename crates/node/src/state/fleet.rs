//! What this node has read of groups, nodes and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{GroupId, HostEntry, HostId, HostState, NodeId, RowVersion};
use eelgrassmill_group::{GroupRow, NodeRow, NodeState};
use smol_str::SmolStr;

/// Rows and lists as last read. Everything here may lag.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) groups: BTreeMap<GroupId, (GroupRow, RowVersion)>,
    pub(crate) nodes: BTreeMap<NodeId, (NodeRow, RowVersion)>,
    pub(crate) hosts: BTreeMap<HostId, HostEntry>,
    /// Hosts that a target, or a watcher that asked it, says are leaving, and by whom.
    said_leaving: BTreeMap<HostId, BTreeSet<NodeId>>,
    /// When the last scan of the table was answered; `None` before the first.
    pub(crate) scanned: Option<Instant>,
}

impl Fleet {
    /// Takes a scan of all group rows; gives the groups that are gone.
    pub(crate) fn set_groups(&mut self, rows: Vec<(GroupRow, RowVersion)>) -> Vec<GroupId> {
        let fresh: BTreeMap<GroupId, (GroupRow, RowVersion)> = rows
            .into_iter()
            .map(|(row, version)| (row.group.clone(), (row, version)))
            .collect();
        let gone = self.groups.keys().filter(|g| !fresh.contains_key(*g));
        let gone = gone.cloned().collect();
        self.groups = fresh;
        gone
    }

    /// Takes a scan of all node rows; gives the nodes that came and those that went.
    pub(crate) fn set_nodes(
        &mut self,
        rows: Vec<(NodeRow, RowVersion)>,
    ) -> (Vec<NodeId>, Vec<NodeId>) {
        let fresh: BTreeMap<NodeId, (NodeRow, RowVersion)> = rows
            .into_iter()
            .map(|(row, version)| (row.node.clone(), (row, version)))
            .collect();
        let came = fresh.keys().filter(|n| !self.nodes.contains_key(*n));
        let came = came.cloned().collect();
        let went = self.nodes.keys().filter(|n| !fresh.contains_key(*n));
        let went = went.cloned().collect();
        self.nodes = fresh;
        (came, went)
    }

    pub(crate) fn set_hosts(&mut self, entries: Vec<HostEntry>) {
        self.hosts = entries.into_iter().map(|e| (e.id.clone(), e)).collect();
    }

    /// Takes a watcher's word on whether a target says that it is leaving.
    pub(crate) fn set_leaving(&mut self, host: &HostId, by: &NodeId, leaving: bool) {
        if leaving {
            let said = self.said_leaving.entry(host.clone()).or_default();
            said.insert(by.clone());
            return;
        }
        if let Some(said) = self.said_leaving.get_mut(host) {
            said.remove(by);
            if said.is_empty() {
                self.said_leaving.remove(host);
            }
        }
    }

    /// Drops what a node said that is gone.
    pub(crate) fn forget_watcher(&mut self, node: &NodeId) {
        for said in self.said_leaving.values_mut() {
            said.remove(node);
        }
        self.said_leaving.retain(|_, said| !said.is_empty());
    }

    /// Whether the host list or the target itself says that it is leaving.
    pub(crate) fn is_leaving(&self, host: &str) -> bool {
        let listed = self.hosts.get(host).map(|e| e.state);
        listed == Some(HostState::Leaving) || self.said_leaving.contains_key(host)
    }

    pub(crate) fn address(&self, host: &str) -> Option<SmolStr> {
        self.hosts.get(host).map(|e| e.address.clone())
    }

    /// Nodes that take new work.
    pub(crate) fn serving_nodes(&self) -> impl Iterator<Item = &NodeRow> {
        self.nodes
            .values()
            .map(|(row, _)| row)
            .filter(|row| row.state == NodeState::Serving)
    }
}
