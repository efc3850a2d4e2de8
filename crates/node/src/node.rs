//! Starting and stopping one node.

use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eelgrassmill_account::DescriptorLimit;
use eelgrassmill_base::{Incarnation, Shutdown};
use eelgrassmill_group::{LeaseObserver, NodeRow, node_key};
use eelgrassmill_peer::{
    BlockedPeers, DisseminationConfig, Item, Member, NodeLoad, NodeStatus, PeerError, PeerNode,
    PeerNodeConfig, Traffic,
};
use eelgrassmill_stores::{
    HttpCaller, HttpHostList, HttpObjectStore, HttpTable, HttpWeightStore, Table,
};
use eelgrassmill_timeline::EventKind;
use smol_str::ToSmolStr;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::watch;

use crate::admin::{AdminLimits, AdminServer, AdminServerError};
use crate::backend::Backend;
use crate::client_limits::ClientPressure;
use crate::entry::addresses::takes_no_callers;
use crate::entry::handler::Entry;
use crate::entry::listen;
use crate::loops::era::EraKeeper;
use crate::loops::every;
use crate::loops::lease::{LeaseKeeper, RENEWALS_PER_TERM};
use crate::loops::planner::Planner;
use crate::loops::probe::ProbePool;
use crate::loops::pulse::Pulse;
use crate::loops::quota::{ASK_PERIOD, QuotaKeeper};
use crate::loops::reader::{Reader, Seen};
use crate::loops::rows::decode;
use crate::loops::sweep::Sweeper;
use crate::loops::watcher::{JUDGEMENTS_PER_PROBE, Watcher};
use crate::metrics::{Metrics, Promise};
use crate::once::{ClaimStore, Once};
use crate::peers::Peers;
use crate::state::core::{Core, Platform};
use crate::state::ident::Ident;
use crate::state::journal::wall_ms;
use crate::state::lock::lock;
use crate::state::table::CountedTable;
use crate::{Settings, admin};

/// Period of reading the table and the host list.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Period of a planner's steps.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// Period of refreshing candidates; evidence that lapses is noticed this soon.
const PULSE_PERIOD: Duration = Duration::from_millis(50);
/// Period of telling others this node's load.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Period of reading the claims' era.
const ERA_PERIOD: Duration = Duration::from_secs(20);
/// Longest time until the other nodes no longer name a leaving one.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);
/// What closing the callers' port may take. Added to the stop time, so that where it is as long
/// as the longest timeout, nothing is refused that comes before the port closes.
const CLOSE_TIME: Duration = Duration::from_millis(250);
/// How long callers may be told the last word: at the end of the stop time, that theirs ran out
/// of time; after it, that this node's exit cuts them off.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Period of looking for claims whose time is over.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Threads that carry requests.
const WORKERS: usize = 4;

/// Why a node does not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A port can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The threads for requests can't be had.
    #[error("no runtime: {0}")]
    Runtime(std::io::Error),
    /// The peers' port does not start.
    #[error("peers' port: {0}")]
    Peers(#[from] PeerError),
    /// The admin port does not start.
    #[error("admin port: {0}")]
    Admin(#[from] AdminServerError),
    /// The metrics can't be set up.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running node.
pub struct Node {
    core: Arc<Core>,
    peer: Arc<PeerNode<Peers>>,
    blocked_peers: BlockedPeers,
    admin: Option<AdminServer>,
    lease: Arc<Mutex<LeaseKeeper>>,
    planner: Arc<Mutex<Planner>>,
    threads: Vec<JoinHandle<()>>,
    stop_entry: watch::Sender<bool>,
    entry_done: Option<tokio::task::JoinHandle<()>>,
    runtime: Option<Runtime>,
    claims: Option<ClaimStore>,
    pool: Arc<ProbePool>,
}

impl Node {
    /// Starts a node. Port 0 in the settings takes a free port.
    ///
    /// # Errors
    /// When a port can't be listened on. A platform that is down is no error:
    /// the node starts, learns from its peers, and goes on trying.
    pub fn start(settings: Settings) -> Result<Node, NodeError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name("request")
            .enable_all()
            .build()
            .map_err(NodeError::Runtime)?;
        let callers = bind_callers(&runtime, settings.callers)?;
        let admin = bind(settings.admin)?;
        let metrics = Arc::new(Metrics::new()?);
        let platform = platform(&settings, &metrics);
        let incarnation = incarnation(&platform, &settings);
        let peers = bind(settings.peers)?;
        let ident = Ident::new(
            &settings,
            incarnation,
            local(&callers)?,
            local(&peers)?,
            local(&admin)?,
        );
        let core = Arc::new(Core::new(ident, settings, platform, metrics.clone()));
        let blocked_peers = BlockedPeers::default();
        let peer = start_peer(&core, peers, &blocked_peers, &runtime)?;
        let (claims, mut threads) = ClaimStore::start(&core);
        let (pool, probers) = ProbePool::start(&core.control, &core.reports);
        threads.extend(probers);
        let pool = Arc::new(pool);
        let seen = Arc::new(Mutex::new(Seen {
            observer: LeaseObserver::new(core.timing),
            planner: None,
        }));
        let lease = Arc::new(Mutex::new(LeaseKeeper::new(core.clone())));
        let planner = Planner::new(core.clone(), seen.clone(), pool.clone(), peer.clone());
        let planner = Arc::new(Mutex::new(planner));
        let mut sweeper = Sweeper::new(core.clone(), claims.clone());
        threads.push(every(&core, "sweep", SWEEP_PERIOD, move || sweeper.step()));
        threads.extend(start_loops(
            &core,
            &peer,
            &pool,
            &seen,
            &lease,
            &planner,
            runtime.handle(),
        ));
        let (stop_entry, entry_stopped) = watch::channel(false);
        let once = Once::new(claims.clone());
        let entry_done = start_entry(&core, once, callers, entry_stopped, &runtime);
        let backend = Backend::new(core.clone(), peer.clone(), runtime.handle().clone())?;
        let admin = AdminServer::start(
            admin,
            Arc::new(backend),
            core.settings.admin_token,
            metrics,
            admin_limits(&core.settings),
        )?;
        Ok(Node {
            core,
            peer,
            blocked_peers,
            admin: Some(admin),
            lease,
            planner,
            threads,
            stop_entry,
            entry_done: Some(entry_done),
            runtime: Some(runtime),
            claims: Some(claims),
            pool,
        })
    }

    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.core.ident.caller
    }

    /// Where operators reach it.
    pub fn admin_address(&self) -> SocketAddr {
        self.core.ident.admin
    }

    /// Where other nodes reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.ident.peer
    }

    /// What it counts; outlives the node.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.core.metrics.clone()
    }

    /// Peers whose calls are refused both ways, to cut the network in tests.
    pub fn blocked_peers(&self) -> &BlockedPeers {
        &self.blocked_peers
    }

    /// Stops gracefully: leaves the addresses, waits until the answers that
    /// callers keep have run out, finishes what runs, gives back what it holds.
    ///
    /// Blocks for up to the time that addresses are kept and the stop time of
    /// the settings. Gives whether every request in progress could be finished.
    pub fn stop(mut self) -> bool {
        self.core.journal.note(EventKind::NodeStopping {});
        let shutdown = self.shutdown_from(Instant::now());
        self.core.begin_leaving(shutdown);
        self.warn_of_long_services();
        publish_status(&self.core, &self.peer);
        std::thread::sleep(until(shutdown.accept_until()));
        self.stop_entry.send_replace(true);
        let finished = self.finish_requests(shutdown.drain_until());
        if !finished {
            self.core.metrics.promise_broken(Promise::GracefulStop);
        }
        lock(&self.planner).give_up();
        self.core.stop();
        self.end_threads();
        lock(&self.lease).give_back();
        self.peer.stop();
        if let Some(admin) = self.admin.take() {
            admin.stop();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
        finished
    }

    fn shutdown_from(&self, told: Instant) -> Shutdown {
        let timing = &self.core.settings.timing;
        // Others learn of it with the next flush; callers that asked before
        // then keep their answer for this long and still connect here.
        let open = timing.address_keep + LEAVE_NOTICE;
        Shutdown::new(told, open, open + CLOSE_TIME + timing.stop_time)
    }

    /// Names services of which calls are refused though callers were still sent here.
    fn warn_of_long_services(&self) {
        let stop_time = self.core.settings.timing.stop_time;
        let cfg = self.core.config.config();
        for service in cfg.services.values().filter(|s| s.timeout > stop_time) {
            tracing::warn!(
                service = %service.name,
                timeout = ?service.timeout,
                ?stop_time,
                "calls of this service may outlast this node and are refused"
            );
        }
    }

    /// Waits until `ends` for the requests in progress; whether all could be finished.
    fn finish_requests(&mut self, ends: Instant) -> bool {
        let (Some(done), Some(runtime)) = (self.entry_done.take(), &self.runtime) else {
            return true;
        };
        let running = &self.core.running;
        // One that ends with its deadline says so after it.
        let limit = until(ends) + LAST_WORDS;
        runtime.block_on(async {
            let mut all = pin!(async {
                let _ = done.await;
                running.until_none().await;
            });
            let finished = tokio::time::timeout(limit, &mut all).await.is_ok();
            if !finished {
                self.core.end();
                let _ = tokio::time::timeout(LAST_WORDS, all).await;
            }
            finished
        })
    }

    fn end_threads(&mut self) {
        self.claims = None;
        // Others hold the pool too, so that dropping it here would end no thread.
        self.pool.close();
        let deadline = Instant::now() + Duration::from_secs(5);
        for thread in self.threads.drain(..) {
            // A thread that hangs in a call to a dead platform ends with the process.
            while !thread.is_finished() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl Drop for Node {
    /// Ends the loops at once, as a crash would, without giving anything back.
    fn drop(&mut self) {
        self.core.stop();
        self.peer.stop();
        self.stop_entry.send_replace(true);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn until(moment: Instant) -> Duration {
    moment.saturating_duration_since(Instant::now())
}

/// Binds the callers' port, with bounded socket buffers for each connection.
fn bind_callers(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let _guard = runtime.enter();
    let listener = eelgrassmill_account::listen(address);
    let listener = listener.and_then(tokio::net::TcpListener::into_std);
    listener.map_err(|error| NodeError::Listen { address, error })
}

fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).map_err(|error| NodeError::Listen { address, error })
}

fn local(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    listener
        .local_addr()
        .map_err(|error| NodeError::Listen { address, error })
}

fn platform(settings: &Settings, metrics: &Arc<Metrics>) -> Platform {
    let at = &settings.platform;
    let caller = |address: SocketAddr| HttpCaller::builder(address.to_smolstr()).build();
    Platform {
        table: CountedTable::new(HttpTable::new(caller(at.table)), metrics.clone()),
        objects: HttpObjectStore::new(caller(at.objects)),
        weights: HttpWeightStore::new(caller(at.weights)),
        hosts: HttpHostList::new(caller(at.hosts)),
    }
}

/// A number above that of every earlier start, even if the wall clock went back.
///
/// With the table down, the wall clock alone has to do.
fn incarnation(platform: &Platform, settings: &Settings) -> Incarnation {
    let row = platform.table.get(&node_key(&settings.node)).ok().flatten();
    let before: Option<(NodeRow, _)> = row.as_ref().and_then(decode);
    let after = before.map_or(0, |(row, _)| row.incarnation + 1);
    wall_ms().max(after)
}

fn start_peer(
    core: &Arc<Core>,
    listener: TcpListener,
    blocked_peers: &BlockedPeers,
    runtime: &Runtime,
) -> Result<Arc<PeerNode<Peers>>, NodeError> {
    let ident = &core.ident;
    let cfg = PeerNodeConfig {
        dissemination: DisseminationConfig {
            me: Member {
                id: ident.node.clone(),
                address: ident.peer.to_smolstr(),
                failure_domain: ident.failure_domain.clone(),
                region: ident.region.clone(),
            },
            incarnation: ident.incarnation,
            timing: eelgrassmill_peer::Timing::default(),
        },
        listen: ident.peer,
        seeds: core.settings.seeds.clone(),
        max_connections: DescriptorLimit::of_process().peer_connections(),
    };
    let handler = Arc::new(Peers::new(core.clone(), runtime.handle().clone()));
    let node = PeerNode::start_on(
        listener,
        cfg,
        handler.clone(),
        blocked_peers.clone(),
        runtime.handle(),
    )?;
    let node = Arc::new(node);
    handler.set_node(&node);
    publish_status(core, &node);
    Ok(node)
}

fn publish_status(core: &Core, peer: &PeerNode<Peers>) {
    let ident = &core.ident;
    peer.publish(Item::Status(NodeStatus {
        peer_address: ident.peer.to_smolstr(),
        entry_address: ident.caller.to_smolstr(),
        admin_address: ident.admin.to_smolstr(),
        failure_domain: ident.failure_domain.clone(),
        region: ident.region.clone(),
        leaving: takes_no_callers(core),
        cpu_millicores: 0,
    }));
}

fn publish_load(core: &Core, peer: &PeerNode<Peers>) {
    let (mut waiting, mut running) = (0, 0);
    for shard in core.all_shards() {
        let (demand, runs) = shard.demand();
        waiting += demand.total();
        running += runs as u32;
    }
    // Waiting requests count in full: a node with a queue is full, whatever it runs.
    let load_permille = (waiting * 1000 / (waiting + running + 1)).min(1000);
    peer.publish(Item::Load(NodeLoad {
        config_version: core.config.version(),
        load_permille,
        overloaded: false,
    }));
}

/// Counts what went over the connections to peers since `last`; gives the state now.
fn count_traffic(core: &Core, peer: &PeerNode<Peers>, last: Traffic) -> Traffic {
    let now = peer.traffic();
    let sent = now.sent_bytes.saturating_sub(last.sent_bytes);
    let received = now.received_bytes.saturating_sub(last.received_bytes);
    core.metrics.add_peer_bytes(sent, received);
    now
}

fn publish_usage(core: &Core, peer: &PeerNode<Peers>) {
    for shard in core.all_shards() {
        let used = shard.take_usage();
        for item in lock(&core.usage).used(shard.service(), used) {
            peer.publish(item);
        }
    }
}

fn start_loops(
    core: &Arc<Core>,
    peer: &Arc<PeerNode<Peers>>,
    pool: &Arc<ProbePool>,
    seen: &Arc<Mutex<Seen>>,
    lease: &Arc<Mutex<LeaseKeeper>>,
    planner: &Arc<Mutex<Planner>>,
    runtime: &Handle,
) -> Vec<JoinHandle<()>> {
    let timing = &core.settings.timing;
    let mut watcher = Watcher::new(core.clone(), peer.clone(), pool.clone());
    let mut reader = Reader::new(core.clone(), peer.clone(), seen.clone());
    let mut pulse = Pulse::new(core.clone());
    let mut era = EraKeeper::new(core.clone());
    let mut quota = QuotaKeeper::new(core.clone(), peer.clone(), runtime.clone());
    let lease = lease.clone();
    let planner = planner.clone();
    let (load_core, load_peer) = (core.clone(), peer.clone());
    let (news_core, news_peer) = (core.clone(), peer.clone());
    // What start_peer() published: no row is known then.
    let mut client_pressure = ClientPressure::default();
    let mut was_leaving = true;
    let mut traffic = peer.traffic();
    vec![
        every(
            core,
            "lease",
            timing.lease_term / RENEWALS_PER_TERM,
            move || {
                lock(&lease).step();
            },
        ),
        every(core, "reader", READ_PERIOD, move || reader.step()),
        every(
            core,
            "watcher",
            timing.probe_interval / JUDGEMENTS_PER_PROBE,
            move || {
                watcher.step();
            },
        ),
        every(core, "pulse", PULSE_PERIOD, move || pulse.step()),
        every(core, "planner", PLAN_PERIOD, move || lock(&planner).step()),
        every(core, "era", ERA_PERIOD, move || era.step()),
        every(core, "quota", ASK_PERIOD, move || quota.step()),
        every(core, "suspects", PULSE_PERIOD, move || {
            let news = lock(&news_core.guard).take_news(Instant::now());
            for (item, life) in news {
                news_peer.publish_with_ttl(item, life);
            }
        }),
        every(core, "load", LOAD_PERIOD, move || {
            client_pressure.observe(&load_core, Instant::now());
            publish_load(&load_core, &load_peer);
            publish_usage(&load_core, &load_peer);
            traffic = count_traffic(&load_core, &load_peer, traffic);
            let leaving = takes_no_callers(&load_core);
            if leaving != was_leaving {
                publish_status(&load_core, &load_peer);
                was_leaving = leaving;
            }
        }),
    ]
}

fn start_entry(
    core: &Arc<Core>,
    once: Once,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
    runtime: &Runtime,
) -> tokio::task::JoinHandle<()> {
    let entry = Arc::new(Entry {
        core: core.clone(),
        once,
    });
    let (connections, account) = (core.connections.clone(), core.account.clone());
    runtime.spawn(async move {
        let ready = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener));
        match ready {
            Ok(listener) => listen::serve(listener, entry, connections, account, stopped).await,
            Err(err) => tracing::error!(%err, "callers' port does not start"),
        }
    })
}

fn admin_limits(settings: &Settings) -> AdminLimits {
    admin::AdminLimits {
        connections: settings.admin_connections,
        ..AdminLimits::default()
    }
}
