//! What this node does with what other nodes tell it.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::{
    Change, ConfigText, DisseminationConfig, GroupLoad, GroupRecord, Item, ItemKey, ListReply,
    ListRequest, Member, NodeLoad, NodeStatus, PeerError, PeerHandler, PeerNode, PeerNodeConfig,
    Refusals, ScheduleReply, ScheduleRequest, Timing, Update,
};
use smol_str::ToSmolStr;
use tokio::runtime::Handle;
use tracing::info;

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Platform, SeatRecord};
use crate::{relay, scheduler, watch};

/// Under this name the holder of the planner's seat tells its term.
const SEAT: &str = "planner";
/// Loads are told this often: heads hold some 25 requests and turn over that many in a
/// second, so that older figures would send bursts to heads that are already full.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// The same where updates take several hops, each of which adds up to a tick: news that
/// are older on their way anyway gain little by coming more often.
const LARGE_LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Nodes confirm that they are up this often, whatever their number: callers are given the
/// addresses of nodes that were heard lately, and a confirmation is five bytes.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Ticks of a larger system. Three hops and a confirmation's interval stay well under
/// [`crate::nodes::DEAD_AFTER`].
const LARGE_TICK: Duration = Duration::from_millis(250);

/// Takes the updates of other nodes.
pub(crate) struct Peers<P: Platform> {
    core: Arc<Core<P>>,
}

impl<P: Platform> Peers<P> {
    fn take(&self, update: Update) {
        let Update { origin, change, .. } = update;
        if origin == self.core.cfg.node {
            return;
        }
        match change {
            Change::Put { item, as_of, .. } => {
                locked(&self.core.nodes).heard(&origin, as_of);
                self.put(&origin, item, as_of);
            }
            Change::Confirmed(as_of) => locked(&self.core.nodes).heard(&origin, as_of),
            Change::Removed(ItemKey::GroupLoad(replica)) => self.load(&origin, &replica, None, 0),
            Change::Removed(ItemKey::Group(name)) if name == SEAT => {
                locked(&self.core.seats).remove(&origin);
            }
            Change::Removed(_) => {}
            Change::Forgotten => self.forget(&origin),
        }
    }

    fn put(&self, origin: &NodeId, item: Item, as_of: Instant) {
        match item {
            Item::Status(status) => self.status(origin, status, as_of),
            Item::GroupLoad(load) => {
                let running = (load.running + load.waiting) as usize;
                self.core.load_heard(as_of.elapsed());
                self.load(origin, &load.group, Some(load.epoch), running);
            }
            Item::Group(record) if record.group == SEAT => {
                locked(&self.core.seats).insert(origin.clone(), record.version);
            }
            Item::Group(news) => watch::heard(&self.core, origin, &news),
            Item::Load(load) => self.node_load(origin, &load),
            _ => {}
        }
    }

    fn node_load(&self, origin: &NodeId, load: &NodeLoad) {
        self.core.configuration.heard(origin, load.config_version);
        // A load says that callers' requests have come: loads of weights are slow now.
        if load.load_permille > 0 {
            self.core.set_served();
        }
    }

    fn status(&self, origin: &NodeId, status: NodeStatus, as_of: Instant) {
        let mut nodes = locked(&self.core.nodes);
        let domain = status.failure_domain;
        nodes.on_status(origin, status.entry_address, domain, status.leaving, as_of);
        drop(nodes);
        info!(event = "node", node = %origin, leaving = status.leaving);
    }

    fn load(&self, origin: &NodeId, replica: &str, epoch: Option<u64>, running: usize) {
        let heads = locked(&self.core.heads);
        let same = |e: u64| epoch.is_none_or(|epoch| epoch == e);
        for head in heads
            .all()
            .filter(|h| h.replica == replica && same(h.epoch))
        {
            head.heard(origin, running);
        }
    }

    fn forget(&self, origin: &NodeId) {
        locked(&self.core.nodes).forget(origin);
        locked(&self.core.seats).remove(origin);
        self.core.configuration.forget(origin);
        self.core.schedulers.forget(origin);
        for head in locked(&self.core.heads).all() {
            head.forget(origin);
        }
        info!(event = "node", node = %origin, state = "not heard from");
    }
}

impl<P: Platform> PeerHandler for Peers<P> {
    fn updated(&self, updates: Vec<Update>) {
        for update in updates {
            self.take(update);
        }
    }

    fn config(&self) -> Option<ConfigText> {
        self.core.configuration.text()
    }

    fn list(&self, req: ListRequest) -> impl Future<Output = ListReply> + Send {
        relay::answer(Arc::clone(&self.core), req)
    }

    fn schedule(&self, req: ScheduleRequest) -> impl Future<Output = ScheduleReply> + Send {
        scheduler::answer(Arc::clone(&self.core), req)
    }
}

/// Starts this node's part in the protocol between nodes.
pub(crate) fn start<P: Platform>(
    core: &Arc<Core<P>>,
    incarnation: u64,
    runtime: &Handle,
) -> Result<Arc<PeerNode<Peers<P>>>, PeerError> {
    let cfg = &core.cfg;
    let timing = Timing {
        alive: ALIVE_INTERVAL,
        large_alive: ALIVE_INTERVAL,
        large_tick: LARGE_TICK,
        slow: LOAD_INTERVAL,
        large_slow: LARGE_LOAD_INTERVAL,
        expire: Duration::from_secs(8),
        ..Timing::default()
    };
    let me = Member {
        id: cfg.node.clone(),
        address: cfg.addresses.peers.to_smolstr(),
        failure_domain: cfg.failure_domain.clone(),
        region: cfg.region.clone(),
    };
    let cfg = PeerNodeConfig {
        dissemination: DisseminationConfig {
            me,
            incarnation,
            timing,
        },
        listen: cfg.addresses.peers,
        seeds: cfg
            .addresses
            .seeds
            .iter()
            .copied()
            .filter(|s| *s != cfg.addresses.peers)
            .collect(),
    };
    let handler = Arc::new(Peers {
        core: Arc::clone(core),
    });
    let peer = Arc::new(PeerNode::start(cfg, handler, Refusals::default(), runtime)?);
    core.set_peer(Arc::clone(&peer));
    publish_status(core);
    Ok(peer)
}

/// Tells the other nodes what this one is.
pub(crate) fn publish_status<P: Platform>(core: &Core<P>) {
    let Some(peer) = core.peer() else { return };
    let cfg = &core.cfg;
    peer.publish(Item::Status(NodeStatus {
        peer_address: cfg.addresses.peers.to_smolstr(),
        entry_address: cfg.addresses.callers.to_smolstr(),
        admin_address: cfg.addresses.ready.to_smolstr(),
        failure_domain: cfg.failure_domain.clone(),
        region: cfg.region.clone(),
        leaving: core.is_leaving(),
    }));
}

/// Tells the other nodes that this one holds the seat, or no longer does.
pub(crate) fn publish_seat<P: Platform>(core: &Core<P>, seat: Option<&SeatRecord>) {
    let me = &core.cfg.node;
    match seat {
        Some(seat) => locked(&core.seats).insert(me.clone(), seat.term),
        None => locked(&core.seats).remove(me),
    };
    let Some(peer) = core.peer() else { return };
    match seat {
        Some(seat) => peer.publish(Item::Group(GroupRecord {
            group: SEAT.into(),
            version: seat.term,
            record: Vec::new(),
        })),
        None => peer.withdraw(&ItemKey::Group(SEAT.into())),
    }
}

/// Tells the other nodes how many requests this one has at each head, for ever.
pub(crate) async fn publish_loads<P: Platform>(core: Arc<Core<P>>) {
    let mut told = std::collections::BTreeSet::new();
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        let Some(peer) = core.peer() else { continue };
        let loads: Vec<_> = locked(&core.heads)
            .all()
            .map(|h| (h.replica.clone(), h.epoch, h.running_here()))
            .filter(|(_, _, running)| *running > 0)
            .collect();
        let now: std::collections::BTreeSet<_> = loads.iter().map(|l| l.0.clone()).collect();
        for gone in told.difference(&now) {
            peer.withdraw(&ItemKey::GroupLoad(gone.clone()));
        }
        for (group, epoch, running) in loads {
            let running = u32::try_from(running).unwrap_or(u32::MAX);
            peer.publish(Item::GroupLoad(GroupLoad {
                group,
                epoch,
                running,
                waiting: 0,
            }));
        }
        let load_permille = if core.has_served() { 1000 } else { 0 };
        let config_version = core.catalog().version();
        peer.publish(Item::Load(NodeLoad {
            config_version,
            load_permille,
        }));
        told = now;
    }
}
