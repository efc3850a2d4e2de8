//! Who takes part: listed members, nodes learned of, and nodes that are cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, stable_hash};
use smol_str::SmolStr;

use crate::dissemination::{Dissemination, Listed, MAX_ORIGINS, Member};
use crate::item::{Change, Item, ItemKey, NodeStatus, Update};
use crate::overlay::Overlay;

/// First pause after a failed call; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Shortest interval between two layouts of the overlay, for each node in it: a layout costs time
/// that grows with the number of nodes.
const LAYOUT_PAUSE: Duration = Duration::from_micros(250);
/// Most nodes that are remembered after they fell silent.
const MAX_ABSENT: usize = MAX_ORIGINS;
/// Every so many turns a node compares with one of any failure domain.
const FAR_TURNS: usize = 8;
/// How long a node that fell silent is remembered unless it is on the list.
const KEEP_ABSENT: Duration = Duration::from_secs(2 * 3600);

/// Failed calls to one node.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    failures: u32,
    until: Instant,
}

/// Nodes that fell silent, with their addresses and since when.
///
/// They are tried one at a time, so that two parts of a system that were parted
/// for longer than either remembers the other's state find each other again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absent {
    nodes: BTreeMap<NodeId, (SmolStr, Instant)>,
}

impl Absent {
    fn add(&mut self, node: NodeId, address: SmolStr, now: Instant) {
        if self.nodes.len() < MAX_ABSENT {
            self.nodes.insert(node, (address, now));
        }
    }

    pub(super) fn remove(&mut self, node: &NodeId) -> bool {
        self.nodes.remove(node).is_some()
    }

    fn forget_old(&mut self, now: Instant) {
        self.nodes
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < KEEP_ABSENT);
    }
}

impl Dissemination {
    /// Takes the list of members as read from the table. Nodes that are learned of
    /// from their peers take part as well.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Member>, now: Instant) {
        let mut listed = BTreeMap::new();
        for member in members {
            if member.id == self.cfg.me.id {
                continue;
            }
            let since = match self.members.get(&member.id) {
                Some(known) if known.member == member => known.since,
                _ => now,
            };
            listed.insert(member.id.clone(), Listed { member, since });
        }
        self.members = listed;
        self.overlay_outdated = true;
    }

    /// Drops everything known of a node that is certainly gone.
    pub fn forget(&mut self, node: &NodeId, now: Instant) -> Vec<Update> {
        if *node == self.cfg.me.id {
            return Vec::new();
        }
        self.members.remove(node);
        self.overlay_outdated = true;
        let updates = self.drop_record(node, now);
        self.absent.nodes.remove(node);
        updates
    }

    /// Notes that a batch could not be handed to `node`.
    ///
    /// Its children in the trees are served directly until it answers again.
    pub fn failed(&mut self, node: &NodeId, now: Instant) {
        self.marks.remove(node);
        let failures = self.backoff.get(node).map_or(0, |known| known.failures);
        let pause = FIRST_PAUSE
            .saturating_mul(1 << failures.min(8))
            .min(LONGEST_PAUSE);
        // All neighbours of a node that returns would otherwise dial it at one moment.
        let salt = failures.to_string();
        let hash = stable_hash([self.cfg.me.id.as_str(), node.as_str(), &salt]);
        let jitter = pause.mul_f64((hash % 500) as f64 / 1000.0);
        let known = Backoff {
            failures: failures + 1,
            until: now + pause + jitter,
        };
        self.backoff.insert(node.clone(), known);
    }

    /// Where `node` takes calls, by the list, by its own word, or by former knowledge.
    pub fn address_of(&self, node: &str) -> Option<SmolStr> {
        let own_word = self.status_of(node).map(|s| s.peer_address.clone());
        own_word
            .filter(|address| !address.is_empty())
            .or_else(|| self.members.get(node).map(|l| l.member.address.clone()))
            .or_else(|| {
                self.absent
                    .nodes
                    .get(node)
                    .map(|(address, _)| address.clone())
            })
    }

    /// What `node` says of itself.
    pub fn status_of(&self, node: &str) -> Option<&NodeStatus> {
        match self.records.get(node)?.get(&ItemKey::Status)? {
            Item::Status(status) => Some(status),
            _ => None,
        }
    }

    pub(super) fn answered(&mut self, node: &NodeId) {
        self.backoff.remove(node);
        if self.absent.nodes.remove(node).is_some() {
            self.overlay_outdated = true;
        }
    }

    pub(super) fn unreachable(&self, now: Instant) -> BTreeSet<NodeId> {
        self.backoff
            .iter()
            .filter(|(_, backoff)| backoff.until > now)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Forgets origins that were silent for too long.
    pub(super) fn expire_origins(&mut self, now: Instant) -> Vec<Update> {
        let silent = |confirmed: Instant| {
            now.saturating_duration_since(confirmed) >= self.cfg.timing.expire_after
        };
        let gone: Vec<NodeId> = self
            .records
            .iter()
            .filter(|(id, record)| **id != self.cfg.me.id && silent(record.confirmed()))
            .map(|(id, _)| id.clone())
            .collect();
        let mut updates = Vec::new();
        for origin in gone {
            updates.extend(self.drop_record(&origin, now));
        }
        self.absent.forget_old(now);
        updates
    }

    fn drop_record(&mut self, origin: &NodeId, now: Instant) -> Vec<Update> {
        if let Some(address) = self.address_of(origin) {
            self.absent.add(origin.clone(), address, now);
        }
        let Some(record) = self.records.remove(origin) else {
            return Vec::new();
        };
        self.current.remove(&record.fingerprint());
        for marks in self.marks.values_mut() {
            marks.remove(origin);
        }
        self.marks.remove(origin);
        self.clocks.remove(origin);
        self.overlay_outdated = true;
        vec![Update {
            origin: origin.clone(),
            incarnation: record.incarnation(),
            change: Change::Forgotten,
        }]
    }

    /// Counts listed members as absent that have said nothing for too long.
    pub(super) fn note_silent_members(&mut self, now: Instant) {
        let overdue = |listed: &Listed| {
            now.saturating_duration_since(listed.since) >= self.cfg.timing.expire_after
        };
        let silent: Vec<(NodeId, SmolStr)> = self
            .members
            .iter()
            .filter(|(id, listed)| overdue(listed) && !self.records.contains_key(*id))
            .filter(|(id, _)| !self.absent.nodes.contains_key(*id))
            .map(|(id, listed)| (id.clone(), listed.member.address.clone()))
            .collect();
        for (node, address) in silent {
            self.absent.add(node, address, now);
            self.overlay_outdated = true;
        }
    }

    /// Lays the overlay out anew when who takes part has changed.
    pub(super) fn refresh_overlay(&mut self, now: Instant) {
        if !self.overlay_outdated || now < self.due.overlay {
            return;
        }
        self.overlay_outdated = false;
        self.layouts += 1;
        let count = u32::try_from(self.records.len()).unwrap_or(u32::MAX);
        self.due.overlay = now + LAYOUT_PAUSE.saturating_mul(count);
        self.overlay = self.lay_out();
        let overlay = &self.overlay;
        self.marks.retain(|node, _| overlay.contains(node));
    }

    fn lay_out(&self) -> Overlay {
        let me = &self.cfg.me;
        let listed = self
            .members
            .values()
            .filter(|listed| !self.absent.nodes.contains_key(&listed.member.id))
            .map(|listed| (&listed.member.id, &listed.member.failure_domain));
        let learned = self
            .records
            .keys()
            .filter_map(|id| Some((id, &self.status_of(id)?.failure_domain)));
        let own = (&me.id, &me.failure_domain);
        Overlay::new(listed.chain(learned).chain([own]))
    }

    /// The next node to ask for what the trees have not brought; each in turn.
    pub(super) fn next_in_turn(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        let count = self.overlay.len();
        for _ in 0..count {
            self.turn = self.turn.wrapping_add(1);
            let node = self.overlay.nodes().nth(self.turn % count)?;
            if *node != self.cfg.me.id && !unreachable.contains(node) {
                return Some(node.clone());
            }
        }
        None
    }

    /// The next node to compare with: mostly one of the own failure domain, so that few bytes cross
    /// between domains.
    pub(super) fn next_near(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        self.turn = self.turn.wrapping_add(1);
        if self.turn.is_multiple_of(FAR_TURNS) {
            return self.next_in_turn(unreachable);
        }
        let me = &self.cfg.me.id;
        let is_usable = |node: &&NodeId| *node != me && !unreachable.contains(*node);
        let near: Vec<&NodeId> = self.overlay.ring_of(me).filter(is_usable).collect();
        let chosen = near.get(self.turn % near.len().max(1)).copied().cloned();
        chosen.or_else(|| self.next_in_turn(unreachable))
    }

    /// The next node to try of those that fell silent.
    pub(super) fn next_absent(&mut self, unreachable: &BTreeSet<NodeId>) -> Option<NodeId> {
        let count = self.absent.nodes.len();
        for _ in 0..count {
            self.turn = self.turn.wrapping_add(1);
            let node = self.absent.nodes.keys().nth(self.turn % count)?;
            if !unreachable.contains(node) {
                return Some(node.clone());
            }
        }
        None
    }
}
