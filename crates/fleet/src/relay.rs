//! Having the platform's lists from other nodes.
//!
//! The load it answers: many nodes that follow the same lists. Each would ask the platform's
//! store for every change, so that its calls grow with nodes times changes: 17,737 calls in
//! 48 s with 74 nodes and 225 hosts, and 1,419 where they have them from each other.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, rendezvous, value};

use crate::roles::{RoleCandidate, ranked_for_role};

/// How long changes are kept for nodes that lag behind. They ask twice a second; one that
/// stood still for longer gets the whole list.
const HISTORY: Duration = Duration::from_secs(5);
/// Most nodes of a failure domain that one node tells the lists by itself.
const MAX_CHILDREN: usize = 128;
/// Between the first reads of two nodes of a failure domain that start together: a third of the time
/// that a read of the whole list takes.
const READ_SPACING: Duration = Duration::from_millis(30);
/// A node that has no copy by then reads the store, whatever the others do.
const MAX_READ_DELAY: Duration = Duration::from_millis(1000);

value! { copy
    /// From whom a node has the lists.
    pub struct ListParent<'n> {
        /// The node to ask.
        pub node: &'n NodeId,
        /// Whether nodes that others have the lists from ask it in turn. They ask more often, since
        /// a list is older by one question at each hop.
        pub is_inner: bool,
    }
}

/// The node from which `me` has the lists; `None` where it reads them itself.
///
/// The `holder` of the planner's lease reads the store: it acts on what it reads. One node of
/// each failure domain asks the holder, and the others of the domain that one, so that the
/// store's calls don't grow with the number of nodes and few bytes cross between domains. In a
/// domain of more than [`MAX_CHILDREN`] nodes some, the square root of their number, ask that one,
/// and each other node one of those. `others` are the nodes that may have a copy.
pub fn list_parent<'n>(
    me: RoleCandidate<'n>,
    holder: Option<&'n NodeId>,
    others: impl Iterator<Item = RoleCandidate<'n>>,
) -> Option<ListParent<'n>> {
    if holder == Some(me.id) {
        return None;
    }
    let mut holder_is_up = false;
    let mut near_holder = None;
    let mut near = vec![me];
    for other in others {
        let holds = holder == Some(other.id);
        holder_is_up |= holds;
        if other.failure_domain == me.failure_domain {
            near_holder = near_holder.or(holds.then_some(other.id));
            near.push(other);
        }
    }
    let count = near.len();
    let ranked = ranked_for_role(me.failure_domain, None, near);
    let root = near_holder.or(ranked.first().copied())?;
    let is_inner = count > MAX_CHILDREN;
    if root == me.id {
        let node = holder.filter(|_| holder_is_up)?;
        return Some(ListParent { node, is_inner });
    }
    let at_root = ListParent {
        node: root,
        is_inner,
    };
    if !is_inner {
        return Some(at_root);
    }
    let relays = ranked.into_iter().filter(|id| *id != root);
    let relays: Vec<&NodeId> = relays.take(count.isqrt()).collect();
    if relays.contains(&me.id) {
        return Some(at_root);
    }
    let chosen = rendezvous(me.id, relays).into_iter().next();
    let at_relay = |node| ListParent {
        node,
        is_inner: false,
    };
    Some(chosen.map_or(at_root, at_relay))
}

/// The node that a node without lists asks for its first copy: one of its own failure domain, or any
/// where it knows none there. `pick` is any number from 0 up to 1; nodes must not draw the same.
pub fn initial_sync_source<'n>(
    me: RoleCandidate<'n>,
    others: impl IntoIterator<Item = RoleCandidate<'n>>,
    pick: f64,
) -> Option<&'n NodeId> {
    let is_near = |other: &RoleCandidate<'_>| other.failure_domain == me.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(is_near);
    let choices = if near.is_empty() { far } else { near };
    let index = (pick * choices.len() as f64) as usize;
    choices.get(index).map(|other| other.id)
}

/// How long a node without lists leaves the store to others, beyond what any node waits.
///
/// Nodes that start together know each other before they have lists. One of each failure domain
/// reads the store first, the next one [`READ_SPACING`] later, and so on until copies are there.
pub fn initial_read_delay<'n>(
    me: RoleCandidate<'n>,
    others: impl IntoIterator<Item = RoleCandidate<'n>>,
) -> Duration {
    let near = others.into_iter();
    let near = near.filter(|other| other.failure_domain == me.failure_domain);
    let ranked = ranked_for_role(me.failure_domain, None, near.chain([me]));
    // Those that are too weak for a role read last.
    let rank = ranked.iter().position(|id| *id == me.id);
    let rank = u32::try_from(rank.unwrap_or(ranked.len())).unwrap_or(u32::MAX);
    READ_SPACING.saturating_mul(rank).min(MAX_READ_DELAY)
}

value! {
    /// What brings a node that has a list up to some version up to date.
    pub enum SyncUpdate {
        /// These changes, in order.
        Delta(Vec<Vec<u8>>),
        /// More than is kept: the whole list has to be told.
        Snapshot,
    }
}

#[derive(Clone, Debug)]
struct Batch {
    /// The list's version with these changes.
    version: u64,
    at: Instant,
    changes: Vec<Vec<u8>>,
}

/// The latest changes of a list, as this node learned of them.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Who has this version lacks nothing older than `batches`.
    from: u64,
    /// Invariant: in the order of their versions.
    batches: VecDeque<Batch>,
    version: u64,
    /// When the list is known to have been as it is here.
    as_of: Option<Instant>,
}

impl ChangeLog {
    /// The list's version here; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// For how long nothing is known of the list; `None` where nothing ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }

    /// Takes the changes up to `version`, as the list was at `as_of`.
    pub fn append(&mut self, changes: Vec<Vec<u8>>, version: u64, as_of: Instant, now: Instant) {
        self.seen(version, as_of);
        if !changes.is_empty() {
            let at = now;
            self.batches.push_back(Batch {
                version,
                at,
                changes,
            });
        }
        let old = |b: &Batch| now.saturating_duration_since(b.at) > HISTORY;
        while let Some(batch) = self.batches.pop_front_if(|b| old(b)) {
            self.from = batch.version;
        }
    }

    /// Notes that the whole list was read: no change before `version` is known.
    pub fn reset(&mut self, version: u64, as_of: Instant) {
        self.batches.clear();
        self.from = version;
        self.seen(version, as_of);
    }

    fn seen(&mut self, version: u64, as_of: Instant) {
        self.version = self.version.max(version);
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// What a node lacks that has the list up to `since`.
    ///
    /// A batch whose beginning the node has already is told whole: taken in order, its
    /// changes lead to the same end.
    pub fn changes_since(&self, since: u64) -> SyncUpdate {
        if since < self.from || since == 0 || self.as_of.is_none() {
            return SyncUpdate::Snapshot;
        }
        let newer = self.batches.iter().filter(|b| b.version > since);
        SyncUpdate::Delta(newer.flat_map(|b| b.changes.iter().cloned()).collect())
    }
}
