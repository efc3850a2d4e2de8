//! Distribution of the platform's lists between nodes.
//!
//! Designed for many nodes that follow the same lists. If each read every change from the
//! platform's store, the store's calls would grow with nodes times changes: 17,737 calls in 48 s
//! with 74 nodes and 225 hosts, against 1,419 if nodes get the lists from each other.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, StorePosition, rendezvous, value};

use crate::roles::{RoleCandidate, ranked_for_role};

/// How long changes are kept for nodes that lag behind. Nodes poll twice a second; one that was
/// stalled for longer gets the full list.
const CHANGE_TTL: Duration = Duration::from_secs(5);
/// Bytes of changes that are kept: a quarter of the longest reply to another node, which would not
/// take more however often it is asked for.
const MAX_CHANGE_BYTES: usize = 1 << 20;
/// Maximum number of nodes of a failure domain that poll one node directly.
const MAX_CHILDREN: usize = 128;
/// Delay between the first store reads of nodes of a failure domain that start together: a third
/// of the time that a read of the full list takes.
const READ_SPACING: Duration = Duration::from_millis(30);
/// A node that has no copy by then reads the store regardless of other nodes.
const MAX_READ_DELAY: Duration = Duration::from_millis(1000);

value! { copy
    /// The node from which another node gets the lists.
    pub struct ListParent<'n> {
        /// The node to poll.
        pub node: &'n NodeId,
        /// Whether the polling node is itself polled by others. Such nodes poll more often, since
        /// each hop adds a polling interval to the age of the list.
        pub is_inner: bool,
    }
}

/// The node from which `me` gets the lists; `None` if it reads the store.
///
/// The `holder` of the planner's lease reads the store, since it acts on the lists. One node of
/// each failure domain polls the holder, and the other nodes of the domain poll that node, so that
/// store calls don't grow with the number of nodes and little traffic crosses domains. In a domain
/// of more than [`MAX_CHILDREN`] nodes, the square root of their number poll that node, and each
/// remaining node polls one of those. `others` are the nodes that may have a copy.
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

/// The node from which a node without lists requests its first copy: one of its own failure
/// domain, or any if it knows none there. `pick` is a random number in [0, 1), drawn independently
/// by each node.
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

/// Additional delay before a node without lists reads the store.
///
/// Nodes that start together know each other before they have lists. One node of each failure
/// domain reads the store first, the next one [`READ_SPACING`] later, and so on until a copy is
/// available.
pub fn initial_read_delay<'n>(
    me: RoleCandidate<'n>,
    others: impl IntoIterator<Item = RoleCandidate<'n>>,
) -> Duration {
    let near = others.into_iter();
    let near = near.filter(|other| other.failure_domain == me.failure_domain);
    let ranked = ranked_for_role(me.failure_domain, None, near.chain([me]));
    // Nodes with too little processor for a role read last.
    let rank = ranked.iter().position(|id| *id == me.id);
    let rank = u32::try_from(rank.unwrap_or(ranked.len())).unwrap_or(u32::MAX);
    READ_SPACING.saturating_mul(rank).min(MAX_READ_DELAY)
}

value! {
    /// Update for a node that has a list up to some version.
    pub enum SyncUpdate {
        /// The missing changes, in order.
        Delta(Vec<Vec<u8>>),
        /// The changes are no longer kept; the full list must be sent.
        Snapshot,
    }
}

#[derive(Clone, Debug)]
struct Batch {
    /// The list's position with these changes.
    position: StorePosition,
    at: Instant,
    changes: Vec<Vec<u8>>,
}

impl Batch {
    fn bytes(&self) -> usize {
        self.changes.iter().map(Vec::len).sum()
    }
}

/// Recent changes of a list, in the order in which this node received them.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// The position before the oldest change in `batches`.
    base: StorePosition,
    /// Invariant: sorted by position, all of the era of `base`.
    batches: VecDeque<Batch>,
    /// Bytes of all changes in `batches`.
    bytes: usize,
    position: StorePosition,
    /// The last time at which this position is known to have been current.
    as_of: Option<Instant>,
}

impl ChangeLog {
    /// The list's position at this node; its version is 0 if there is none.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Age of the list's content; `None` if the list was never read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }

    /// Appends the changes up to `position`, which was current at `as_of`.
    pub fn append(
        &mut self,
        changes: Vec<Vec<u8>>,
        position: StorePosition,
        as_of: Instant,
        now: Instant,
    ) {
        self.advance(position, as_of);
        if !changes.is_empty() {
            let batch = Batch {
                position,
                at: now,
                changes,
            };
            self.bytes += batch.bytes();
            self.batches.push_back(batch);
        }
        let old = |b: &Batch| now.saturating_duration_since(b.at) > CHANGE_TTL;
        let is_long = |bytes| bytes > MAX_CHANGE_BYTES;
        while let Some(batch) = self.batches.pop_front_if(|b| is_long(self.bytes) || old(b)) {
            self.bytes -= batch.bytes();
            self.base = batch.position;
        }
    }

    /// Records that the full list was read; changes before `position` are unknown.
    pub fn reset(&mut self, position: StorePosition, as_of: Instant) {
        self.batches.clear();
        self.bytes = 0;
        self.base = position;
        self.advance(position, as_of);
    }

    fn advance(&mut self, position: StorePosition, as_of: Instant) {
        self.position = self.position.max(position);
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// The update for a node that has the list up to `since`.
    ///
    /// A batch that the node has partly received is sent in full: reapplying its changes in order
    /// gives the same result.
    pub fn changes_since(&self, since: StorePosition) -> SyncUpdate {
        if since < self.base || since.version == 0 || self.as_of.is_none() {
            return SyncUpdate::Snapshot;
        }
        let newer = self.batches.iter().filter(|b| b.position > since);
        SyncUpdate::Delta(newer.flat_map(|b| b.changes.iter().cloned()).collect())
    }
}
