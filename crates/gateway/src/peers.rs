//! This node's part in the peer protocol: applies other nodes' updates and publishes its own.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, NodeId};
use eelgrassmill_peer::{
    BlockedPeers, Change, ConfigText, DisseminationConfig, GroupLoad, GroupRecord, HostConnection,
    Item, ItemKey, LimitReply, LimitRequest, ListReply, ListRequest, Member, NodeLoad, NodeStatus,
    PeerError, PeerHandler, PeerNode, PeerNodeConfig, ScheduleReply, ScheduleRequest, SuspectReply,
    SuspectRequest, Timing, TunnelError, Update,
};
use smol_str::ToSmolStr;
use tokio::runtime::Handle;
use tracing::info;

use crate::core::Core;
use crate::demand::ReportedScopes;
use crate::heads::locked;
use crate::leader::LeaderRecord;
use crate::nodes::NodeInfo;
use crate::ports::Platform;
use crate::scheduler::ScheduledLoad;
use crate::{
    client_limits, demand, host_relay, host_signals, loss_detection, quarantine, scheduler,
    snapshot_relay,
};

/// The group name under which the leader publishes its term.
const LEADER_GROUP: &str = "planner";
/// How often loads are reported. Heads turn over their batches in about a second; older reports
/// would direct bursts to heads that are already full.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// The same in a larger system, where updates take several hops and each adds up to a tick.
const LARGE_LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How often nodes confirm that they are up: callers get the addresses of nodes that were heard
/// recently.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Tick of a larger system. Three hops plus the confirmation interval stay well under
/// [`crate::nodes::DEAD_AFTER`].
const LARGE_TICK: Duration = Duration::from_millis(250);

/// Handles the updates and requests of other nodes.
pub(crate) struct UpdateHandler<P: Platform> {
    core: Arc<Core<P>>,
}

impl<P: Platform> UpdateHandler<P> {
    fn apply(&self, update: Update) {
        let Update { origin, change, .. } = update;
        if origin == self.core.cfg.node {
            return;
        }
        match change {
            Change::Put { item, as_of, .. } => {
                locked(&self.core.nodes).mark_heard(&origin, as_of);
                self.apply_item(&origin, item, as_of);
            }
            Change::Confirmed(as_of) => locked(&self.core.nodes).mark_heard(&origin, as_of),
            Change::Removed(ItemKey::GroupLoad(replica)) => self.clear_load(&origin, &replica),
            Change::Removed(ItemKey::ModelDemand(scope)) => {
                locked(&self.core.demand).remove(&origin, &scope);
            }
            Change::Removed(ItemKey::Group(name)) if name == LEADER_GROUP => {
                locked(&self.core.leaders).remove(&origin);
            }
            Change::Removed(_) => {}
            Change::Forgotten => self.forget_node(&origin),
        }
    }

    fn apply_item(&self, origin: &NodeId, item: Item, as_of: Instant) {
        match item {
            Item::Status(status) => self.apply_status(origin, status, as_of),
            Item::GroupLoad(load) => {
                self.core.record_load_delay(as_of.elapsed());
                self.apply_load(origin, &load, as_of);
            }
            Item::Group(record) if record.group == LEADER_GROUP => {
                locked(&self.core.leaders).insert(origin.clone(), record.version);
            }
            Item::Group(update) => loss_detection::on_loss_report(&self.core, origin, &update),
            Item::TargetLimit(limit) => host_signals::on_item(&self.core, origin, &limit, as_of),
            Item::Suspect(suspect) => quarantine::on_record(&self.core, &suspect, as_of),
            Item::Load(load) => self.apply_node_load(origin, &load),
            Item::ModelDemand(item) => demand::on_item(&self.core, origin, &item, as_of),
            _ => {}
        }
    }

    fn apply_node_load(&self, origin: &NodeId, load: &NodeLoad) {
        self.core
            .configuration
            .on_peer_version(origin, load.config_version);
        locked(&self.core.nodes).set_overloaded(origin, load.overloaded);
        // A node with load has served requests, so the fast model loads of a first start are over.
        if load.load_permille > 0 {
            self.core.mark_served();
        }
    }

    fn apply_status(&self, origin: &NodeId, status: NodeStatus, as_of: Instant) {
        let leaving = status.leaving;
        let info = NodeInfo {
            address: status.entry_address,
            failure_domain: status.failure_domain,
            processor: status.cpu_millicores,
            leaving,
        };
        let changed = locked(&self.core.nodes).on_status(origin, info, as_of);
        // Logged by the planner only: logged by each node, the lines would grow with the square of
        // the number of nodes.
        if changed && self.core.is_planner() {
            info!(event = "node", node = %origin, leaving);
        }
    }

    fn apply_load(&self, origin: &NodeId, load: &GroupLoad, as_of: Instant) {
        let heads = locked(&self.core.heads);
        if let Some(head) = heads.get(&load.group, load.epoch) {
            head.report_unscheduled(origin, load.running as usize);
            let scheduled = ScheduledLoad {
                assigned: load.assigned as usize,
                queued: load.waiting as usize,
                is_ejected: load.ejected,
            };
            head.report_assigned(origin, scheduled, as_of);
        }
    }

    /// Clears a node's load report for a replica.
    fn clear_load(&self, origin: &NodeId, replica: &str) {
        let heads = locked(&self.core.heads);
        for head in heads.all().filter(|h| h.replica == replica) {
            head.forget_node(origin);
        }
    }

    fn forget_node(&self, origin: &NodeId) {
        locked(&self.core.nodes).remove(origin);
        locked(&self.core.leaders).remove(origin);
        self.core.configuration.forget_node(origin);
        self.core.schedulers.forget_node(origin);
        locked(&self.core.demand).forget_node(origin);
        for head in locked(&self.core.heads).all() {
            head.forget_node(origin);
        }
        if self.core.is_planner() {
            info!(event = "node", node = %origin, state = "not heard from");
        }
    }
}

impl<P: Platform> PeerHandler for UpdateHandler<P> {
    fn on_updates(&self, updates: Vec<Update>) {
        for update in updates {
            self.apply(update);
        }
    }

    fn config(&self) -> Option<ConfigText> {
        self.core.configuration.text()
    }

    fn list(&self, req: ListRequest) -> impl Future<Output = ListReply> + Send {
        snapshot_relay::handle(Arc::clone(&self.core), req)
    }

    fn suspects(&self, req: SuspectRequest) -> SuspectReply {
        quarantine::handle(&self.core, req)
    }

    fn limits(&self, req: LimitRequest) -> LimitReply {
        host_signals::handle(&self.core, req)
    }

    fn schedule(&self, req: ScheduleRequest) -> impl Future<Output = ScheduleReply> + Send {
        scheduler::handle(Arc::clone(&self.core), req)
    }

    async fn connect_host(
        &self,
        _from: &NodeId,
        address: &str,
        timeout: Duration,
    ) -> Result<HostConnection, TunnelError> {
        host_relay::connect_host(&self.core, address, timeout).await
    }
}

/// Starts the peer protocol.
pub(crate) fn start<P: Platform>(
    core: &Arc<Core<P>>,
    incarnation: u64,
    runtime: &Handle,
) -> Result<Arc<PeerNode<UpdateHandler<P>>>, PeerError> {
    let cfg = &core.cfg;
    let timing = Timing {
        heartbeat_interval: ALIVE_INTERVAL,
        large_heartbeat_interval: ALIVE_INTERVAL,
        large_tick_interval: LARGE_TICK,
        low_priority_interval: LOAD_INTERVAL,
        large_low_priority_interval: LARGE_LOAD_INTERVAL,
        expire_after: Duration::from_secs(8),
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
        seeds: cfg.addresses.other_seeds(),
        max_connections: cfg.limits.peer_connections(),
    };
    let handler = Arc::new(UpdateHandler {
        core: Arc::clone(core),
    });
    let peer = Arc::new(PeerNode::start(
        cfg,
        handler,
        BlockedPeers::default(),
        runtime,
    )?);
    core.set_peer(Arc::clone(&peer));
    publish_status(core);
    Ok(peer)
}

/// Publishes this node's status to the other nodes.
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
        cpu_millicores: core.live().processor,
    }));
}

/// Publishes to the other nodes that this one is the leader or no longer is.
pub(crate) fn publish_leader<P: Platform>(core: &Core<P>, leader: Option<&LeaderRecord>) {
    let me = &core.cfg.node;
    match leader {
        Some(leader) => locked(&core.leaders).insert(me.clone(), leader.term),
        None => locked(&core.leaders).remove(me),
    };
    let Some(peer) = core.peer() else { return };
    match leader {
        Some(leader) => peer.publish(Item::Group(GroupRecord {
            group: LEADER_GROUP.into(),
            version: leader.term,
            record: Vec::new(),
        })),
        None => peer.withdraw(&ItemKey::Group(LEADER_GROUP.into())),
    }
}

/// Publishes load reports to the other nodes until the process ends: the requests that this node
/// assigned to heads as their scheduler, and those that it placed without one. Where capacity
/// follows demand, also the demand at this node's schedulers.
pub(crate) async fn publish_loads<P: Platform>(core: Arc<Core<P>>) {
    let mut reported = BTreeSet::new();
    let mut reported_demand = ReportedScopes::new();
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        client_limits::observe(&core, Instant::now());
        let Some(peer) = core.peer() else { continue };
        let loads = group_loads(&core, Instant::now());
        let current: BTreeSet<GroupId> = loads.iter().map(|l| l.group.clone()).collect();
        for withdrawn in reported.difference(&current) {
            peer.withdraw(&ItemKey::GroupLoad(withdrawn.clone()));
        }
        for load in loads {
            peer.publish(Item::GroupLoad(load));
        }
        let load_permille = if core.has_served() { 1000 } else { 0 };
        let config_version = core.catalog().version();
        peer.publish(Item::Load(NodeLoad {
            config_version,
            load_permille,
            overloaded: core.is_overloaded(),
        }));
        reported = current;
        if core.cfg.policies.capacity_follows_demand {
            demand::publish(&core, &mut reported_demand, Instant::now());
        }
    }
}

/// This node's load reports on heads.
fn group_loads<P: Platform>(core: &Core<P>, now: Instant) -> Vec<GroupLoad> {
    let scheduled = core.schedulers.loads(now);
    let count = |requests: usize| u32::try_from(requests).unwrap_or(u32::MAX);
    let heads = locked(&core.heads);
    let loads = heads.all().map(|head| {
        let key = (head.replica.clone(), head.epoch);
        let load = scheduled.get(&key).copied().unwrap_or_default();
        head.report_assigned(&core.cfg.node, load, now);
        GroupLoad {
            group: key.0,
            epoch: key.1,
            running: count(head.unscheduled_here()),
            waiting: count(load.queued),
            assigned: count(load.assigned),
            ejected: load.is_ejected,
        }
    });
    loads.filter(GroupLoad::is_reportable).collect()
}
