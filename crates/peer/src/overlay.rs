//! Who hands what on to whom.
//!
//! A pure function of the list of nodes, so that nothing has to be agreed. A
//! small system is a full mesh. In a larger one, the nodes of each failure
//! domain stand in a ring. What an origin says goes to its domain, and to one
//! partner in each other domain; inside a domain it goes down a tree that is
//! rooted at the origin or its partner. Each origin has its own trees, hence the
//! work is spread evenly, every node receives each change once, and no node is
//! set apart. Where a child can't be reached, its parent serves the child's
//! children in its stead.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassmill_base::{FailureDomain, NodeId, stable_hash, value};
use smallvec::SmallVec;

/// Up to this many nodes, all exchange directly with each other.
pub const MESH_LIMIT: usize = 12;
/// Base of the trees: a domain of `FAN_OUT.pow(k)` nodes is reached in `k` hops.
pub const FAN_OUT: usize = 8;

/// Nodes to hand something to.
pub(crate) type Targets = SmallVec<[NodeId; 16]>;

value! { copy
    /// A node's place.
    struct Place {
        domain: usize,
        position: usize,
    }
}

value! {
    /// The rings of all failure domains.
    pub struct Overlay {
        /// Invariant: no ring is empty, and a node stands in one ring only.
        rings: Vec<Vec<NodeId>>,
        places: BTreeMap<NodeId, Place>,
        fan_out: usize,
    }
}

impl Overlay {
    /// Lays out the rings for `nodes`; the order of `nodes` does not matter.
    pub fn new<'a>(nodes: impl IntoIterator<Item = (&'a NodeId, &'a FailureDomain)>) -> Overlay {
        let nodes: BTreeMap<&NodeId, &FailureDomain> = nodes.into_iter().collect();
        let mesh = nodes.len() <= MESH_LIMIT;
        let mut by_domain: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        for (&node, &domain) in &nodes {
            let domain = if mesh { "" } else { domain.as_str() };
            by_domain.entry(domain).or_default().push(node.clone());
        }
        let mut rings: Vec<Vec<NodeId>> = by_domain.into_values().collect();
        for ring in &mut rings {
            ring.sort_by_cached_key(|node| (stable_hash([node.as_str()]), node.clone()));
        }
        let places = places(&rings);
        let fan_out = if mesh { MESH_LIMIT } else { FAN_OUT };
        Overlay {
            rings,
            places,
            fan_out,
        }
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is no node.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether all nodes exchange directly with each other.
    pub fn is_mesh(&self) -> bool {
        self.len() <= MESH_LIMIT
    }

    /// All nodes, by domain and place in the ring.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.rings.iter().flatten()
    }

    /// Whether `node` is part of it.
    pub fn contains(&self, node: &str) -> bool {
        self.places.contains_key(node)
    }

    /// Whom `me` hands the state of `origin` on to, leaving out `unreachable` ones.
    pub fn children(
        &self,
        me: &NodeId,
        origin: &NodeId,
        unreachable: &BTreeSet<NodeId>,
    ) -> Targets {
        let mut targets = Targets::new();
        let Some(&mine) = self.places.get(me) else {
            return targets;
        };
        let root = self.root(origin, mine.domain);
        let size = self.rings[mine.domain].len();
        let offset = (mine.position + size - root) % size;
        self.descend(mine.domain, root, offset, unreachable, &mut targets);
        if me == origin {
            self.partners(me, mine.domain, unreachable, &mut targets);
        }
        targets
    }

    /// Where the tree of `origin` is rooted in `domain`.
    fn root(&self, origin: &NodeId, domain: usize) -> usize {
        let size = self.rings[domain].len();
        match self.places.get(origin) {
            Some(place) => place.position % size,
            None => (stable_hash([origin.as_str()]) % size as u64) as usize,
        }
    }

    /// Adds the children of the node at `offset` from `root`, and for each one that
    /// can't be reached its children.
    fn descend(
        &self,
        domain: usize,
        root: usize,
        offset: usize,
        unreachable: &BTreeSet<NodeId>,
        targets: &mut Targets,
    ) {
        let ring = &self.rings[domain];
        let mut step = 1;
        while step < ring.len() && offset.is_multiple_of(step * self.fan_out) {
            for child in (1..self.fan_out).map(|j| offset + j * step) {
                if child >= ring.len() {
                    break;
                }
                let node = &ring[(root + child) % ring.len()];
                if unreachable.contains(node) {
                    self.descend(domain, root, child, unreachable, targets);
                } else {
                    targets.push(node.clone());
                }
            }
            step *= self.fan_out;
        }
    }

    /// Adds the partner of `origin` in each domain but its own.
    fn partners(
        &self,
        origin: &NodeId,
        own: usize,
        unreachable: &BTreeSet<NodeId>,
        targets: &mut Targets,
    ) {
        for domain in (0..self.rings.len()).filter(|&domain| domain != own) {
            let root = self.root(origin, domain);
            let partner = &self.rings[domain][root];
            if unreachable.contains(partner) {
                self.descend(domain, root, 0, unreachable, targets);
            } else {
                targets.push(partner.clone());
            }
        }
    }
}

fn places(rings: &[Vec<NodeId>]) -> BTreeMap<NodeId, Place> {
    let mut places = BTreeMap::new();
    for (domain, ring) in rings.iter().enumerate() {
        for (position, node) in ring.iter().enumerate() {
            places.insert(node.clone(), Place { domain, position });
        }
    }
    places
}
