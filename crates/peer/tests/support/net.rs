//! Simulates dissemination between many nodes in one thread and in virtual time.
//!
//! Calls fail on cut links, and packets are dropped, delayed, duplicated and reordered
//! by a seeded generator.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    Batch, Change, Dissemination, DisseminationConfig, Item, ItemKey, Member, NodeStatus, Timing,
    Update, WireKind,
};
use prost::Message;

/// Step of the virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// A packet: an encoded batch, or the failure of a call.
#[derive(Clone)]
enum Packet {
    Request(Vec<u8>),
    Reply(Vec<u8>),
    Failure,
}

/// Calls, bytes of batches and busy time of a node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeStats {
    pub(crate) calls: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// Time spent in the node's code and in encoding and decoding.
    pub(crate) busy: Duration,
}

/// Conditions of the simulated network.
#[derive(Clone, Debug)]
pub(crate) struct NetworkConditions {
    /// One-way latency; up to the same again is added at random.
    pub(crate) latency: Duration,
    /// Fraction of requests and replies that are dropped.
    pub(crate) loss: f64,
    /// Fraction of requests and replies that are duplicated.
    pub(crate) duplication: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions {
            latency: Duration::from_millis(1),
            loss: 0.0,
            duplication: 0.0,
        }
    }
}

pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) nodes: BTreeMap<NodeId, Dissemination>,
    pub(crate) updates: BTreeMap<NodeId, Vec<(Instant, Update)>>,
    pub(crate) stats: BTreeMap<NodeId, NodeStats>,
    pub(crate) conditions: NetworkConditions,
    /// Timing of the nodes to start.
    pub(crate) timing: Timing,
    /// Whether received updates are kept in `updates`.
    pub(crate) record_updates: bool,
    /// Nodes of a build that doesn't know the demand for models.
    pub(crate) old_nodes: BTreeSet<NodeId>,
    cut: BTreeSet<(NodeId, NodeId)>,
    queue: BTreeMap<(Instant, u64), (NodeId, NodeId, Packet)>,
    next_flush: BTreeMap<NodeId, Instant>,
    last_seq: u64,
    rng: fastrand::Rng,
}

pub(crate) fn member(name: &str, domain: &str) -> Member {
    Member {
        id: name.into(),
        address: format!("127.0.0.1:{}", name.len()).into(),
        failure_domain: domain.into(),
        region: "r".into(),
    }
}

/// `count` nodes distributed evenly over `domains` failure domains.
pub(crate) fn members(count: usize, domains: usize) -> Vec<Member> {
    (0..count)
        .map(|i| member(&format!("node-{i}"), &format!("domain-{}", i % domains)))
        .collect()
}

pub(crate) fn status(member: &Member) -> Item {
    Item::Status(NodeStatus {
        peer_address: member.address.clone(),
        entry_address: member.address.clone(),
        admin_address: member.address.clone(),
        failure_domain: member.failure_domain.clone(),
        region: member.region.clone(),
        leaving: false,
        cpu_millicores: 0,
    })
}

fn decode(bytes: &[u8]) -> Batch {
    Batch::decode(bytes).expect("a batch as it was sent")
}

/// Decodes a batch like an old node: the kind of an item with an unknown tag is absent.
fn decode_at_old_node(bytes: &[u8]) -> Batch {
    let mut batch = decode(bytes);
    for item in batch.updates.iter_mut().flat_map(|u| &mut u.items) {
        item.kind.take_if(|kind| match kind {
            WireKind::ModelDemand(_) => true,
            WireKind::Removed(removed) => removed.kind == 15,
            _ => false,
        });
    }
    batch
}

impl Net {
    /// Starts nodes that have the same list of members and have published their status.
    pub(crate) fn new(members: &[Member], seed: u64) -> Net {
        let mut net = Net::empty(seed);
        for member in members {
            net.start(member, 1, members);
        }
        net
    }

    pub(crate) fn empty(seed: u64) -> Net {
        Net {
            now: Instant::now() + Duration::from_secs(7200),
            nodes: BTreeMap::new(),
            updates: BTreeMap::new(),
            stats: BTreeMap::new(),
            conditions: NetworkConditions::default(),
            timing: Timing::default(),
            record_updates: true,
            old_nodes: BTreeSet::new(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_flush: BTreeMap::new(),
            last_seq: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Starts or restarts a node without any state.
    pub(crate) fn start(&mut self, member: &Member, incarnation: u64, list: &[Member]) {
        let cfg = DisseminationConfig {
            me: member.clone(),
            incarnation,
            timing: self.timing.clone(),
        };
        let mut node = Dissemination::new(cfg, self.now);
        node.set_members(list.iter().cloned(), self.now);
        node.publish(status(member), self.now);
        self.nodes.insert(member.id.clone(), node);
        self.updates.insert(member.id.clone(), Vec::new());
        self.stats.insert(member.id.clone(), NodeStats::default());
        let phase = Duration::from_millis(self.rng.u64(0..5) * 10);
        self.next_flush.insert(member.id.clone(), self.now + phase);
    }

    pub(crate) fn stop(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    /// Fails all calls between the nodes of `side` and all others.
    pub(crate) fn partition(&mut self, side: &[NodeId]) {
        for a in side {
            for b in self.nodes.keys().filter(|node| !side.contains(node)) {
                self.cut.insert((a.clone(), b.clone()));
                self.cut.insert((b.clone(), a.clone()));
            }
        }
    }

    /// Fails all calls between two nodes.
    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cut.insert((a.into(), b.into()));
        self.cut.insert((b.into(), a.into()));
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    pub(crate) fn publish(&mut self, node: &str, item: Item) {
        let now = self.now;
        self.node(node).publish(item, now);
    }

    pub(crate) fn node(&mut self, node: &str) -> &mut Dissemination {
        self.nodes.get_mut(node).expect("the node runs")
    }

    /// Sends a new node's hello to a seed.
    pub(crate) fn send_hello(&mut self, node: &str, seed: &str) {
        let now = self.now;
        let hello = self.node(node).hello(now);
        self.send(
            node.into(),
            seed.into(),
            Packet::Request(hello.encode_to_vec()),
        );
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns true. Returns the elapsed time, or `None` after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Net) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while !done(self) {
            if self.now - began >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now - began)
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver_due();
        let names: Vec<NodeId> = self.nodes.keys().cloned().collect();
        for name in names {
            if self.next_flush[&name] <= self.now {
                self.flush(&name);
            }
        }
    }

    fn flush(&mut self, name: &NodeId) {
        let now = self.now;
        let began = Instant::now();
        let output = self.node(name).tick(now);
        let encoded = |(to, batch): (NodeId, Batch)| (to, batch.encode_to_vec());
        let requests: Vec<(NodeId, Vec<u8>)> = output.batches.into_iter().map(encoded).collect();
        self.add_busy_time(name, began);
        let flush = Timing::default().flush_interval;
        self.next_flush.insert(name.clone(), now + flush);
        self.add_updates(name, output.updates);
        for (to, bytes) in requests {
            self.send(name.clone(), to, Packet::Request(bytes));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, packet) = entry.remove();
            self.deliver(from, to, packet);
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        let now = self.now;
        let decode = if self.old_nodes.contains(&to) {
            decode_at_old_node
        } else {
            decode
        };
        let Some(node) = self.nodes.get_mut(&to) else {
            if matches!(packet, Packet::Request(_)) {
                self.send(to, from, Packet::Failure);
            }
            return;
        };
        match packet {
            Packet::Failure => node.on_call_failed(&from, now),
            Packet::Reply(bytes) => {
                let began = Instant::now();
                let updates = node.receive(&from, decode(&bytes), now);
                self.add_busy_time(&to, began);
                self.add_updates(&to, updates);
            }
            Packet::Request(bytes) => {
                let began = Instant::now();
                let updates = node.receive(&from, decode(&bytes), now);
                let reply = node.reply(&from, now).encode_to_vec();
                self.add_busy_time(&to, began);
                self.add_updates(&to, updates);
                self.send(to, from, Packet::Reply(reply));
            }
        }
    }

    fn add_busy_time(&mut self, node: &NodeId, began: Instant) {
        if let Some(stats) = self.stats.get_mut(node) {
            stats.busy += began.elapsed();
        }
    }

    fn add_updates(&mut self, node: &NodeId, updates: Vec<Update>) {
        if !self.record_updates {
            return;
        }
        let now = self.now;
        if let Some(received) = self.updates.get_mut(node) {
            received.extend(updates.into_iter().map(|update| (now, update)));
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        self.count(&from, &to, &packet);
        let cut = self.cut.contains(&(from.clone(), to.clone()));
        if cut && matches!(packet, Packet::Request(_)) {
            self.enqueue(to, from, Packet::Failure);
            return;
        }
        if cut || self.chance(self.conditions.loss) && !matches!(packet, Packet::Failure) {
            return;
        }
        if self.chance(self.conditions.duplication) {
            self.enqueue(from.clone(), to.clone(), packet.clone());
        }
        self.enqueue(from, to, packet);
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    fn enqueue(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        let latency = self.conditions.latency;
        let at = self.now + latency + latency.mul_f64(self.rng.f64());
        self.last_seq += 1;
        self.queue.insert((at, self.last_seq), (from, to, packet));
    }

    fn count(&mut self, from: &NodeId, to: &NodeId, packet: &Packet) {
        let (calls, bytes) = match packet {
            Packet::Request(bytes) => (1, bytes.len() as u64),
            Packet::Reply(bytes) => (0, bytes.len() as u64),
            Packet::Failure => return,
        };
        if let Some(stats) = self.stats.get_mut(from) {
            stats.calls += calls;
            stats.sent += bytes;
        }
        if let Some(stats) = self.stats.get_mut(to) {
            stats.received += bytes;
        }
    }

    /// Whether every node holds `item` as published by `origin`.
    pub(crate) fn all_hold(&self, origin: &str, item: &Item) -> bool {
        self.nodes
            .values()
            .all(|node| node.items_of(origin).any(|(held, _, _)| held == item))
    }

    /// The items that `node` holds of all origins, without times.
    pub(crate) fn view(&self, node: &str) -> BTreeMap<(NodeId, ItemKey), (u64, Item)> {
        let node = &self.nodes[node];
        let origins: Vec<NodeId> = node.origins().map(|(id, _, _)| id.clone()).collect();
        let mut view = BTreeMap::new();
        for origin in origins {
            for (item, sequence, _) in node.items_of(&origin) {
                view.insert((origin.clone(), item.key()), (sequence, item.clone()));
            }
        }
        view
    }

    /// Whether all nodes hold the same items.
    pub(crate) fn has_converged(&self) -> bool {
        let mut names = self.nodes.keys();
        let Some(first) = names.next().map(|name| self.view(name)) else {
            return true;
        };
        names.all(|name| self.view(name) == first)
    }

    /// When `node` first received `item` from `origin`.
    pub(crate) fn first_received_at(
        &self,
        node: &str,
        origin: &str,
        item: &Item,
    ) -> Option<Instant> {
        let is_it = |update: &Update| {
            update.origin == origin
                && matches!(&update.change, Change::Put { item: put, .. } if put == item)
        };
        let updates = &self.updates[node];
        updates
            .iter()
            .find(|(_, update)| is_it(update))
            .map(|(at, _)| *at)
    }
}
