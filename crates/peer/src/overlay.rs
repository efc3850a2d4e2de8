//! The overlay along which nodes forward state.
//!
//! It is a pure function of the list of nodes and needs no agreement. A small
//! system is a full mesh. In a larger one, the nodes of each failure domain form
//! a ring. An origin sends its state to its own domain and to one partner in each
//! other domain; within a domain it is forwarded along a tree rooted at the origin
//! or its partner. Each origin has its own trees, so the load is spread evenly,
//! every node receives each change once, and no node is special. If a child is
//! unreachable, its parent sends to the child's children directly.
//!
//! In a ring of more than [`MAX_FLAT_RING`] nodes every [`FAN_OUT`]-th one is the relay of itself
//! and of the nodes up to the next relay, its leaves. The trees consist of relays only, so that a
//! leaf exchanges with one node and only relays have links to other domains. A leaf that can't
//! reach its relay forwards its own state in the relay's place.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassmill_base::{FailureDomain, NodeId, stable_hash, value};
use smallvec::SmallVec;

/// Up to this many nodes form a full mesh.
pub const MAX_MESH_NODES: usize = 12;
/// Base of the trees: `k` hops reach `FAN_OUT.pow(k)` relays of a domain.
pub const FAN_OUT: usize = 8;
/// In a ring of up to this many nodes all of them are relays.
pub(crate) const MAX_FLAT_RING: usize = FAN_OUT * FAN_OUT;

/// Nodes to forward to.
pub(crate) type Targets = SmallVec<[NodeId; 16]>;

value! { copy
    /// A node's position in the rings.
    struct RingPosition {
        domain: usize,
        index: usize,
    }
}

value! {
    /// The nodes of a failure domain.
    struct Ring {
        /// Empty in a mesh, whose nodes form one ring.
        domain: FailureDomain,
        /// Invariant: not empty.
        nodes: Vec<NodeId>,
        /// Distance from one relay to the next; 1 if all nodes are relays.
        relay_stride: usize,
    }

    /// The rings of all failure domains.
    pub struct Overlay {
        /// Invariant: a node is in one ring only.
        rings: Vec<Ring>,
        positions: BTreeMap<NodeId, RingPosition>,
        fan_out: usize,
    }
}

impl Ring {
    fn new(domain: &str, mut nodes: Vec<NodeId>) -> Ring {
        nodes.sort_by_cached_key(|node| (stable_hash([node.as_str()]), node.clone()));
        let is_flat = nodes.len() <= MAX_FLAT_RING;
        Ring {
            domain: domain.into(),
            nodes,
            relay_stride: if is_flat { 1 } else { FAN_OUT },
        }
    }

    fn relay_count(&self) -> usize {
        self.nodes.len().div_ceil(self.relay_stride)
    }

    /// The index among relays of the relay of the node at `index`.
    fn relay_index(&self, index: usize) -> usize {
        index / self.relay_stride
    }

    fn relay(&self, index: usize) -> &NodeId {
        &self.nodes[index * self.relay_stride]
    }

    /// The nodes that a relay forwards to within its stride.
    fn leaves(&self, relay: usize) -> &[NodeId] {
        let from = relay * self.relay_stride;
        let to = (from + self.relay_stride).min(self.nodes.len());
        &self.nodes[from + 1..to]
    }
}

impl Overlay {
    /// Builds the rings of `nodes`, whose order does not matter.
    pub fn new<'a>(nodes: impl IntoIterator<Item = (&'a NodeId, &'a FailureDomain)>) -> Overlay {
        let nodes: BTreeMap<&NodeId, &FailureDomain> = nodes.into_iter().collect();
        let is_mesh = nodes.len() <= MAX_MESH_NODES;
        let mut by_domain: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        for (&node, &domain) in &nodes {
            let domain = if is_mesh { "" } else { domain.as_str() };
            by_domain.entry(domain).or_default().push(node.clone());
        }
        let rings = by_domain.into_iter();
        let rings: Vec<Ring> = rings
            .map(|(domain, nodes)| Ring::new(domain, nodes))
            .collect();
        let positions = ring_positions(&rings);
        let fan_out = if is_mesh { MAX_MESH_NODES } else { FAN_OUT };
        Overlay {
            rings,
            positions,
            fan_out,
        }
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether there is no node.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether all nodes exchange directly with each other.
    pub fn is_mesh(&self) -> bool {
        self.len() <= MAX_MESH_NODES
    }

    /// All nodes, by domain and position in its ring.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.rings.iter().flat_map(|ring| &ring.nodes)
    }

    /// The nodes of the failure domain of `node`.
    pub(crate) fn ring_of(&self, node: &str) -> impl Iterator<Item = &NodeId> {
        let position = self.positions.get(node);
        position
            .into_iter()
            .flat_map(|p| &self.rings[p.domain].nodes)
    }

    /// Whether `node` is part of the overlay.
    pub fn contains(&self, node: &str) -> bool {
        self.positions.contains_key(node)
    }

    /// Whether `node` already has a position that fits failure domain `domain`.
    pub(crate) fn has_position(&self, node: &str, domain: &str) -> bool {
        let position = self.positions.get(node);
        position
            .is_some_and(|position| self.is_mesh() || self.rings[position.domain].domain == domain)
    }

    /// Whether `node` forwards the state of others.
    pub fn is_relay(&self, node: &str) -> bool {
        let position = self.positions.get(node);
        position.is_some_and(|position| {
            position
                .index
                .is_multiple_of(self.rings[position.domain].relay_stride)
        })
    }

    /// The nodes to which `me` forwards the state of `origin`, with `unreachable` ones bypassed.
    pub fn children(
        &self,
        me: &NodeId,
        origin: &NodeId,
        unreachable: &BTreeSet<NodeId>,
    ) -> Targets {
        let mut targets = Targets::new();
        let Some(&own) = self.positions.get(me) else {
            return targets;
        };
        let ring = &self.rings[own.domain];
        let my_relay = ring.relay_index(own.index);
        if !own.index.is_multiple_of(ring.relay_stride) {
            if me != origin {
                return targets;
            }
            let relay = ring.relay(my_relay);
            if !unreachable.contains(relay) {
                targets.push(relay.clone());
                return targets;
            }
        }
        let root = self.root(origin, own.domain);
        let offset = (my_relay + ring.relay_count() - root) % ring.relay_count();
        self.add_children(own.domain, root, offset, unreachable, &mut targets);
        let position = self.positions.get(origin);
        let is_relay_of_origin =
            |o: &RingPosition| o.domain == own.domain && ring.relay_index(o.index) == my_relay;
        if position.is_some_and(is_relay_of_origin) {
            self.add_partners(origin, own.domain, unreachable, &mut targets);
        }
        targets.retain(|node| node != origin && node != me);
        targets
    }

    /// The index of the relay that is the root of the tree of `origin` in `domain`.
    fn root(&self, origin: &NodeId, domain: usize) -> usize {
        let ring = &self.rings[domain];
        let size = ring.nodes.len();
        let index = match self.positions.get(origin) {
            Some(position) => position.index % size,
            None => (stable_hash([origin.as_str()]) % size as u64) as usize,
        };
        ring.relay_index(index)
    }

    /// Adds the nodes to which the relay at `offset` from `root` forwards: its leaves and its
    /// children in the tree, and in place of each unreachable child that child's own ones.
    fn add_children(
        &self,
        domain: usize,
        root: usize,
        offset: usize,
        unreachable: &BTreeSet<NodeId>,
        targets: &mut Targets,
    ) {
        let ring = &self.rings[domain];
        let relays = ring.relay_count();
        let leaves = ring.leaves((root + offset) % relays).iter();
        targets.extend(leaves.filter(|leaf| !unreachable.contains(*leaf)).cloned());
        let mut step = 1;
        while step < relays && offset.is_multiple_of(step * self.fan_out) {
            for child in (1..self.fan_out).map(|j| offset + j * step) {
                if child >= relays {
                    break;
                }
                let node = ring.relay((root + child) % relays);
                if unreachable.contains(node) {
                    self.add_children(domain, root, child, unreachable, targets);
                } else {
                    targets.push(node.clone());
                }
            }
            step *= self.fan_out;
        }
    }

    /// Adds the partner of `origin` in each domain other than `own`.
    fn add_partners(
        &self,
        origin: &NodeId,
        own: usize,
        unreachable: &BTreeSet<NodeId>,
        targets: &mut Targets,
    ) {
        for domain in (0..self.rings.len()).filter(|&domain| domain != own) {
            let root = self.root(origin, domain);
            let partner = self.rings[domain].relay(root);
            if unreachable.contains(partner) {
                self.add_children(domain, root, 0, unreachable, targets);
            } else {
                targets.push(partner.clone());
            }
        }
    }
}

fn ring_positions(rings: &[Ring]) -> BTreeMap<NodeId, RingPosition> {
    let mut positions = BTreeMap::new();
    for (domain, ring) in rings.iter().enumerate() {
        for (index, node) in ring.nodes.iter().enumerate() {
            positions.insert(node.clone(), RingPosition { domain, index });
        }
    }
    positions
}
