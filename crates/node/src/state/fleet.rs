//! What this node has read of groups, nodes and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{GroupId, HostEntry, HostId, HostState, NodeId, RowVersion, rendezvous};
use eelgrassmill_group::{GroupRow, NodeRow, NodeState, WatcherList, watchers};
use smol_str::SmolStr;

/// Nodes of each failure domain that read the table and the host list often.
const READERS: usize = 4;

/// Who reads when, among the readers of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Turn {
    place: u32,
    /// Readers of the domain, at least one.
    of: u32,
}

impl Turn {
    /// Whether this reader reads in `round` what the readers read in turn.
    pub(crate) fn is_now(self, round: u32) -> bool {
        round % self.of == self.place
    }
}

/// Rows and lists as last read. Everything here may lag.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) groups: BTreeMap<GroupId, (GroupRow, RowVersion)>,
    pub(crate) nodes: BTreeMap<NodeId, (NodeRow, RowVersion)>,
    pub(crate) hosts: BTreeMap<HostId, HostEntry>,
    /// Hosts that a target, or a watcher that asked it, says are leaving, and by whom.
    said_leaving: BTreeMap<HostId, BTreeSet<NodeId>>,
    /// Watchers of groups and targets. Invariant: as [`watchers`] chooses them of `nodes`.
    chosen: BTreeMap<SmolStr, WatcherList>,
    /// When rows were told by the planner, until a later scan.
    told: BTreeMap<GroupId, Instant>,
    /// When the last scan of the table was answered; `None` before the first.
    pub(crate) scanned: Option<Instant>,
}

impl Fleet {
    /// Takes a scan of all group rows that began at `began`; gives the groups that are gone.
    ///
    /// The planner tells of a row as soon as it has written it. A scan that
    /// began before then must not undo what was told: the node would lose the
    /// evidence of a new group, and serve nothing until it came again.
    pub(crate) fn set_groups(
        &mut self,
        rows: Vec<(GroupRow, RowVersion)>,
        began: Instant,
    ) -> Vec<GroupId> {
        let mut fresh: BTreeMap<GroupId, (GroupRow, RowVersion)> = rows
            .into_iter()
            .map(|(row, version)| (row.group.clone(), (row, version)))
            .collect();
        self.told.retain(|_, at| *at > began);
        for group in self.told.keys() {
            let Some((row, version)) = self.groups.get(group) else {
                continue;
            };
            if fresh.get(group).is_none_or(|(_, read)| read < version) {
                fresh.insert(group.clone(), (row.clone(), *version));
            }
        }
        let gone = self.groups.keys().filter(|g| !fresh.contains_key(*g));
        let gone: Vec<GroupId> = gone.cloned().collect();
        for group in &gone {
            self.chosen.remove(group);
        }
        self.groups = fresh;
        gone
    }

    /// Takes a row that the planner tells of; false when it is no news.
    pub(crate) fn on_told(&mut self, row: &GroupRow, version: RowVersion, now: Instant) -> bool {
        let known = self.groups.get(&row.group);
        if known.is_some_and(|(_, known)| *known >= version) {
            return false;
        }
        self.groups
            .insert(row.group.clone(), (row.clone(), version));
        self.told.insert(row.group.clone(), now);
        true
    }

    /// Takes hosts that the planner tells of, where the list has not been read.
    pub(crate) fn on_told_hosts(&mut self, hosts: Vec<HostEntry>) {
        for entry in hosts {
            self.hosts.entry(entry.id.clone()).or_insert(entry);
        }
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
        let chosen_of = |nodes: &BTreeMap<NodeId, (NodeRow, RowVersion)>| -> Vec<_> {
            let rows = nodes.values().map(|(row, _)| row);
            rows.map(|row| (row.node.clone(), row.failure_domain.clone(), row.state))
                .collect()
        };
        if chosen_of(&self.nodes) != chosen_of(&fresh) {
            self.chosen.clear();
        }
        self.nodes = fresh;
        (came, went)
    }

    /// The watchers of a group or target, chosen anew only when the nodes have changed.
    ///
    /// Every node asks for those of every group many times a second. Among hundreds of
    /// nodes, choosing each time would take several times what a node may spend.
    pub(crate) fn watchers(&mut self, name: &SmolStr) -> WatcherList {
        if let Some(chosen) = self.chosen.get(name) {
            return chosen.clone();
        }
        let chosen = watchers(name, self.nodes.values().map(|(row, _)| row));
        self.chosen.insert(name.clone(), chosen.clone());
        chosen
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

    /// Whether a node reads the table often: the first few of each failure domain.
    ///
    /// A node that is not listed yet reads too, since it knows nothing.
    pub(crate) fn is_reader(&self, node: &str) -> bool {
        self.reading_turn(node).is_some()
    }

    /// A reader's place among the readers of its failure domain.
    pub(crate) fn reading_turn(&self, node: &str) -> Option<Turn> {
        let Some((row, _)) = self.nodes.get(node) else {
            return Some(Turn { place: 0, of: 1 });
        };
        let peers = self.nodes.values().map(|(row, _)| row);
        let domain = peers.filter(|p| p.failure_domain == row.failure_domain);
        let names: Vec<&NodeId> = domain.map(|p| &p.node).collect();
        let ranked = rendezvous(&row.failure_domain, names);
        let of = ranked.len().min(READERS);
        let mut readers = ranked.iter().take(of);
        let place = readers.position(|name| name.as_str() == node)?;
        Some(Turn {
            place: place as u32,
            of: of as u32,
        })
    }

    /// Whether rows have been read or told of.
    pub(crate) fn knows_groups(&self) -> bool {
        self.scanned.is_some() || !self.groups.is_empty()
    }

    /// Hosts that the host list says are leaving.
    pub(crate) fn listed_leaving(&self) -> impl Iterator<Item = &HostId> {
        let leaving = self
            .hosts
            .values()
            .filter(|h| h.state == HostState::Leaving);
        leaving.map(|h| &h.id)
    }

    /// Nodes that take new work.
    pub(crate) fn serving_nodes(&self) -> impl Iterator<Item = &NodeRow> {
        self.nodes
            .values()
            .map(|(row, _)| row)
            .filter(|row| row.state == NodeState::Serving)
    }
}
