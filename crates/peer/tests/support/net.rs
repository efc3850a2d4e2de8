//! Dissemination between many nodes in one thread and in virtual time.
//!
//! A loop and a queue, to test this protocol only: calls are lost or refused by
//! rule, and batches are delayed, doubled and reordered by a seeded generator.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    Batch, Change, Dissemination, DisseminationConfig, Item, ItemKey, Member, NodeStatus, Timing,
    Update,
};
use prost::Message;

/// The loop moves in steps of this length.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// What travels: batches as bytes, and word of a call that failed.
#[derive(Clone)]
enum Parcel {
    Request(Vec<u8>),
    Answer(Vec<u8>),
    Failure,
}

/// What a node sent and received: batches, bytes of batches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) calls: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// Spent in the node's own code and in encoding and decoding.
    pub(crate) busy: Duration,
}

/// How the network behaves.
#[derive(Clone, Debug)]
pub(crate) struct Behaviour {
    /// One way; a random part of it is added again.
    pub(crate) latency: Duration,
    /// Requests and answers lost without a word, of 1.
    pub(crate) loss: f64,
    /// Requests and answers that come twice, of 1.
    pub(crate) doubled: f64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            latency: Duration::from_millis(1),
            loss: 0.0,
            doubled: 0.0,
        }
    }
}

pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) nodes: BTreeMap<NodeId, Dissemination>,
    pub(crate) learned: BTreeMap<NodeId, Vec<(Instant, Update)>>,
    pub(crate) tally: BTreeMap<NodeId, Tally>,
    pub(crate) behaviour: Behaviour,
    /// Of the nodes that are started.
    pub(crate) timing: Timing,
    /// Whether what nodes learn is kept in `learned`.
    pub(crate) keep_learned: bool,
    cut: BTreeSet<(NodeId, NodeId)>,
    queue: BTreeMap<(Instant, u64), (NodeId, NodeId, Parcel)>,
    next_flush: BTreeMap<NodeId, Instant>,
    posted: u64,
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

/// `count` nodes spread evenly over `domains` failure domains.
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

fn decoded(bytes: &[u8]) -> Batch {
    Batch::decode(bytes).expect("a batch as it was sent")
}

impl Net {
    /// Nodes that all have the same list of members and have published their status.
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
            learned: BTreeMap::new(),
            tally: BTreeMap::new(),
            behaviour: Behaviour::default(),
            timing: Timing::default(),
            keep_learned: true,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_flush: BTreeMap::new(),
            posted: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Starts a node, or starts it again with nothing kept.
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
        self.learned.insert(member.id.clone(), Vec::new());
        self.tally.insert(member.id.clone(), Tally::default());
        let phase = Duration::from_millis(self.rng.u64(0..5) * 10);
        self.next_flush.insert(member.id.clone(), self.now + phase);
    }

    pub(crate) fn stop(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    /// Fails all calls between the nodes of `side` and all others.
    pub(crate) fn part(&mut self, side: &[NodeId]) {
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

    /// Has a new node say hello to a seed.
    pub(crate) fn greet(&mut self, node: &str, seed: &str) {
        let now = self.now;
        let hello = self.node(node).hello(now);
        self.post(
            node.into(),
            seed.into(),
            Parcel::Request(hello.encode_to_vec()),
        );
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds and gives the time it took; `None` after `limit`.
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
        let parcels: Vec<(NodeId, Vec<u8>)> = output.batches.into_iter().map(encoded).collect();
        self.spent(name, began);
        let flush = Timing::default().flush_interval;
        self.next_flush.insert(name.clone(), now + flush);
        self.learn(name, output.updates);
        for (to, bytes) in parcels {
            self.post(name.clone(), to, Parcel::Request(bytes));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, parcel) = entry.remove();
            self.deliver(from, to, parcel);
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else {
            if matches!(parcel, Parcel::Request(_)) {
                self.post(to, from, Parcel::Failure);
            }
            return;
        };
        match parcel {
            Parcel::Failure => node.on_call_failed(&from, now),
            Parcel::Answer(bytes) => {
                let began = Instant::now();
                let updates = node.receive(&from, decoded(&bytes), now);
                self.spent(&to, began);
                self.learn(&to, updates);
            }
            Parcel::Request(bytes) => {
                let began = Instant::now();
                let updates = node.receive(&from, decoded(&bytes), now);
                let answer = node.answer(&from, now).encode_to_vec();
                self.spent(&to, began);
                self.learn(&to, updates);
                self.post(to, from, Parcel::Answer(answer));
            }
        }
    }

    fn spent(&mut self, node: &NodeId, began: Instant) {
        if let Some(tally) = self.tally.get_mut(node) {
            tally.busy += began.elapsed();
        }
    }

    fn learn(&mut self, node: &NodeId, updates: Vec<Update>) {
        if !self.keep_learned {
            return;
        }
        let now = self.now;
        if let Some(learned) = self.learned.get_mut(node) {
            learned.extend(updates.into_iter().map(|update| (now, update)));
        }
    }

    fn post(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        self.count(&from, &to, &parcel);
        let cut = self.cut.contains(&(from.clone(), to.clone()));
        if cut && matches!(parcel, Parcel::Request(_)) {
            self.enqueue(to, from, Parcel::Failure);
            return;
        }
        if cut || self.chance(self.behaviour.loss) && !matches!(parcel, Parcel::Failure) {
            return;
        }
        if self.chance(self.behaviour.doubled) {
            self.enqueue(from.clone(), to.clone(), parcel.clone());
        }
        self.enqueue(from, to, parcel);
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    fn enqueue(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        let latency = self.behaviour.latency;
        let at = self.now + latency + latency.mul_f64(self.rng.f64());
        self.posted += 1;
        self.queue.insert((at, self.posted), (from, to, parcel));
    }

    fn count(&mut self, from: &NodeId, to: &NodeId, parcel: &Parcel) {
        let (calls, bytes) = match parcel {
            Parcel::Request(bytes) => (1, bytes.len() as u64),
            Parcel::Answer(bytes) => (0, bytes.len() as u64),
            Parcel::Failure => return,
        };
        if let Some(tally) = self.tally.get_mut(from) {
            tally.calls += calls;
            tally.sent += bytes;
        }
        if let Some(tally) = self.tally.get_mut(to) {
            tally.received += bytes;
        }
    }

    /// Whether every node holds `item` as published by `origin`.
    pub(crate) fn all_hold(&self, origin: &str, item: &Item) -> bool {
        self.nodes
            .values()
            .all(|node| node.items_of(origin).any(|(held, _, _)| held == item))
    }

    /// What `node` holds of all origins, without times.
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

    /// Whether all nodes hold the same.
    pub(crate) fn agree(&self) -> bool {
        let mut names = self.nodes.keys();
        let Some(first) = names.next().map(|name| self.view(name)) else {
            return true;
        };
        names.all(|name| self.view(name) == first)
    }

    /// When `node` first learned of `item` from `origin`.
    pub(crate) fn learned_at(&self, node: &str, origin: &str, item: &Item) -> Option<Instant> {
        let is_it = |update: &Update| {
            update.origin == origin
                && matches!(&update.change, Change::Put { item: put, .. } if put == item)
        };
        let learned = &self.learned[node];
        learned
            .iter()
            .find(|(_, update)| is_it(update))
            .map(|(at, _)| *at)
    }
}
