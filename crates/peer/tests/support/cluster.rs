//! Real nodes on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    BlockedPeers, ConfigText, DisseminationConfig, Item, Member, PeerHandler, PeerNode,
    PeerNodeConfig, QuotaReply, QuotaRequest, ScheduleReply, ScheduleRequest, SlotGrant, Timing,
    Update, checksum,
};

use super::net::status;

/// Records updates, and serves the configurations that the test sets.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) updates: Mutex<Vec<(Instant, Update)>>,
    pub(crate) texts: Mutex<BTreeMap<u64, ConfigText>>,
}

impl Recorder {
    pub(crate) fn set_text(&self, version: u64, text: &str) {
        let config = ConfigText {
            version,
            checksum: checksum(text),
            author: "ada".into(),
            submit_id: "submit-1".into(),
            text: text.into(),
        };
        let mut texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        texts.insert(version, config);
    }
}

impl PeerHandler for Recorder {
    fn on_updates(&self, updates: Vec<Update>) {
        let now = Instant::now();
        let mut kept = self.updates.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend(updates.into_iter().map(|update| (now, update)));
    }

    fn config(&self) -> Option<ConfigText> {
        let texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        texts.values().next_back().cloned()
    }

    fn config_at_version(&self, version: u64) -> Option<ConfigText> {
        let texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        texts.get(&version).cloned()
    }

    fn timeline(&self, query: &[u8]) -> Vec<u8> {
        [b"events for ", query].concat()
    }

    /// Replies after the request's wait time.
    async fn schedule(&self, req: ScheduleRequest) -> ScheduleReply {
        let wait_ms = req.slot_request.map_or(0, |slot| slot.wait_ms);
        tokio::time::sleep(Duration::from_millis(wait_ms.into())).await;
        ScheduleReply::default()
    }

    fn quota(&self, req: QuotaRequest) -> QuotaReply {
        let grant = |demand: &eelgrassmill_peer::SlotDemand| SlotGrant {
            group: demand.group.clone(),
            epoch: 1,
            slots: demand.waiting,
            urgent_slots: demand.urgent_waiting,
            ttl_ms: 1000,
            seq: demand.seq,
        };
        QuotaReply {
            grants: req.demands.iter().map(grant).collect(),
        }
    }
}

/// A running node with its handler and blocked peers.
pub(crate) struct RunningNode {
    pub(crate) member: Member,
    pub(crate) handler: Arc<Recorder>,
    pub(crate) blocked_peers: BlockedPeers,
    pub(crate) node: PeerNode<Recorder>,
}

pub(crate) struct Cluster {
    pub(crate) runtime: tokio::runtime::Runtime,
    pub(crate) nodes: BTreeMap<NodeId, RunningNode>,
}

impl Cluster {
    /// Starts `count` nodes that know each other.
    pub(crate) fn start(count: usize) -> Cluster {
        let mut cluster = Cluster {
            runtime: tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()
                .expect("a runtime starts"),
            nodes: BTreeMap::new(),
        };
        for i in 0..count {
            cluster.add(&format!("node-{i}"), 1, &[]);
        }
        cluster.set_members();
        cluster
    }

    /// Starts one node that knows only the seeds.
    pub(crate) fn add(&mut self, name: &str, incarnation: u64, seeds: &[&str]) {
        let seeds = seeds
            .iter()
            .map(|seed| self.nodes[*seed].node.local_address())
            .collect();
        let any = "127.0.0.1:0".parse().expect("an address");
        self.add_at(name, incarnation, any, seeds);
    }

    /// Starts one node that listens at `listen`.
    pub(crate) fn add_at(
        &mut self,
        name: &str,
        incarnation: u64,
        listen: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) {
        let mut member = super::net::member(name, "domain-0");
        let cfg = PeerNodeConfig {
            dissemination: DisseminationConfig {
                me: member.clone(),
                incarnation,
                timing: Timing::default(),
            },
            listen,
            seeds,
            max_connections: 512,
        };
        let handler = Arc::new(Recorder::default());
        let blocked_peers = BlockedPeers::default();
        let node = PeerNode::start(
            cfg,
            Arc::clone(&handler),
            blocked_peers.clone(),
            self.runtime.handle(),
        )
        .expect("the node starts");
        member.address = node.local_address().to_string().into();
        node.publish(status(&member));
        let running = RunningNode {
            member,
            handler,
            blocked_peers,
            node,
        };
        self.nodes.insert(name.into(), running);
    }

    /// Sets the list of all nodes at each node.
    pub(crate) fn set_members(&self) {
        let list: Vec<Member> = self.nodes.values().map(|n| n.member.clone()).collect();
        for running in self.nodes.values() {
            running.node.set_members(list.iter().cloned());
        }
    }

    pub(crate) fn node(&self, name: &str) -> &PeerNode<Recorder> {
        &self.nodes[name].node
    }

    /// Whether `node` holds `item` as published by `origin`.
    pub(crate) fn holds(&self, node: &str, origin: &str, item: &Item) -> bool {
        self.node(node)
            .with_state(|state| state.items_of(origin).any(|(held, _, _)| held == item))
    }

    pub(crate) fn all_hold(&self, origin: &str, item: &Item) -> bool {
        self.nodes.keys().all(|node| self.holds(node, origin, item))
    }

    /// Blocks calls between `a` and `b` in both directions.
    pub(crate) fn block(&self, a: &str, b: &str) {
        self.nodes[a].blocked_peers.set([b.into()]);
        self.nodes[b].blocked_peers.set([a.into()]);
    }
}

/// Waits until `done` returns true. Returns the elapsed time, or `None` after `limit`.
pub(crate) fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let began = Instant::now();
    while !done() {
        if began.elapsed() >= limit {
            return None;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Some(began.elapsed())
}
