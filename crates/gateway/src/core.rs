//! What the parts of a node share, each part under its own lock.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, ServiceName, Shutdown};
use eelgrassmill_engine::TargetClient;
use eelgrassmill_fleet::{
    CallerTimeouts, Catalog, ColdRateLimiter, Fleet, RetryWindow, RoleCandidate, TargetStats,
};
use eelgrassmill_peer::PeerNode;
use tokio::sync::watch;
use tracing::info;

use crate::admission::AdmissionQueues;
use crate::config::GatewayConfig;
use crate::configuration::Configuration;
use crate::heads::{HeadTable, locked};
use crate::inbox::Inbox;
use crate::logs::LogRateLimit;
use crate::metrics::{Metrics, RetryReason};
use crate::nodes::{Nodes, usable_processor};
use crate::peers::{LOAD_INTERVAL, Peers};
use crate::planning::PlanningEvent;
use crate::ports::Platform;
use crate::scheduler::Schedulers;
use crate::scheduler_client::SchedulerClient;
use crate::snapshot_relay::SnapshotRelay;

/// A node's state.
pub(crate) struct Core<P: Platform> {
    pub(crate) cfg: GatewayConfig,
    pub(crate) platform: P,
    pub(crate) http: TargetClient,
    pub(crate) configuration: Configuration,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) heads: Mutex<HeadTable>,
    pub(crate) targets: Mutex<TargetStats>,
    /// This node's part of the requests to plain hosts that are cold.
    pub(crate) cold_shares: Mutex<ColdRateLimiter>,
    pub(crate) nodes: Mutex<Nodes>,
    /// Nodes that say that they are the planner's leader, this one too, and their terms.
    pub(crate) leaders: Mutex<BTreeMap<NodeId, u64>>,
    /// What this node tells others of the platform's lists.
    pub(crate) lists: SnapshotRelay,
    pub(crate) retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    /// Bounds the lines on exhausted retry budgets.
    budget_log_limit: Mutex<LogRateLimit>,
    pub(crate) metrics: Metrics,
    pub(crate) admission: AdmissionQueues,
    /// Schedulers that run at this node.
    pub(crate) schedulers: Schedulers,
    pub(crate) patience: Mutex<CallerTimeouts>,
    pub(crate) scheduler_client: SchedulerClient,
    pub(crate) planning: Inbox<PlanningEvent>,
    /// Set once this node was told to stop. It then closes its port (`stopping`), and cuts off
    /// what still runs (`exiting`).
    shutdown: OnceLock<Shutdown>,
    pub(crate) stopping: watch::Sender<bool>,
    /// Whether the time of those that still run is over: the process is about to exit.
    exiting: watch::Sender<bool>,
    served: AtomicBool,
    strained: AtomicBool,
    store_failures: AtomicU64,
    peer: OnceLock<Arc<PeerNode<Peers<P>>>>,
    /// How old other nodes' loads are when they are heard.
    load_report_delay: Mutex<Duration>,
    pub(crate) started_at: Instant,
}

/// Weight of the newest time in the average of [`Core::load_age`], as 1 / this: some
/// hundred are heard in a second.
const LOAD_DELAY_WINDOW: u32 = 64;

impl<P: Platform> Core<P> {
    pub(crate) fn new(cfg: GatewayConfig, platform: P, http: TargetClient) -> Core<P> {
        Core {
            cfg,
            platform,
            http,
            configuration: Configuration::default(),
            fleet: Mutex::default(),
            heads: Mutex::default(),
            targets: Mutex::default(),
            cold_shares: Mutex::default(),
            nodes: Mutex::default(),
            leaders: Mutex::default(),
            lists: SnapshotRelay::default(),
            retries: Mutex::default(),
            budget_log_limit: Mutex::default(),
            metrics: Metrics::default(),
            admission: AdmissionQueues::default(),
            schedulers: Schedulers::default(),
            patience: Mutex::default(),
            scheduler_client: SchedulerClient::default(),
            planning: Inbox::default(),
            shutdown: OnceLock::new(),
            stopping: watch::Sender::new(false),
            exiting: watch::Sender::new(false),
            served: AtomicBool::new(false),
            strained: AtomicBool::new(false),
            store_failures: AtomicU64::new(0),
            peer: OnceLock::new(),
            load_report_delay: Mutex::new(LOAD_INTERVAL),
            started_at: Instant::now(),
        }
    }

    /// The configuration in force here.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.configuration.catalog()
    }

    pub(crate) fn is_loaded(&self) -> bool {
        let fleet = locked(&self.fleet);
        self.catalog().version() > 0 && fleet.is_loaded() && fleet.knows_evacuations()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Says that this node was told to stop. The first word counts.
    pub(crate) fn begin_shutdown(&self, shutdown: Shutdown) -> &Shutdown {
        self.shutdown.get_or_init(|| shutdown)
    }

    /// Whether this node may begin what can last until `deadline`.
    pub(crate) fn may_start(&self, deadline: Instant) -> bool {
        self.shutdown.get().is_none_or(|s| s.may_begin(deadline))
    }

    /// Says to all that still runs that the process is about to exit.
    pub(crate) fn signal_exit(&self) {
        self.exiting.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn wait_for_exit(&self) {
        let mut rx = self.exiting.subscribe();
        // The sender lives as long as `self`, so this ends only by the value.
        let _ = rx.wait_for(|exiting| *exiting).await;
    }

    /// Notes that a request was served, here or elsewhere.
    pub(crate) fn mark_served(&self) {
        self.served.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_served(&self) -> bool {
        self.served.load(Ordering::Relaxed)
    }

    pub(crate) fn set_peer(&self, peer: Arc<PeerNode<Peers<P>>>) {
        // Set by the one start of the node; a second call would change nothing.
        let _ = self.peer.set(peer);
    }

    pub(crate) fn peer(&self) -> Option<&Arc<PeerNode<Peers<P>>>> {
        self.peer.get()
    }

    /// Failures of calls to the store in a row; 0 while it answers.
    pub(crate) fn store_failures(&self) -> u64 {
        self.store_failures.load(Ordering::Relaxed)
    }

    pub(crate) fn record_store_failure(&self) {
        self.store_failures.fetch_add(1, Ordering::Relaxed);
        locked(&self.fleet).on_store_failure(Instant::now());
    }

    pub(crate) fn record_store_success(&self) {
        self.store_failures.store(0, Ordering::Relaxed);
    }

    /// This node as one that could take a role.
    pub(crate) fn as_candidate(&self) -> RoleCandidate<'_> {
        RoleCandidate {
            id: &self.cfg.node,
            failure_domain: &self.cfg.failure_domain,
            processor: usable_processor(self.cfg.processor, self.is_strained()),
        }
    }

    /// Whether this node has too little processor for what it does.
    pub(crate) fn is_strained(&self) -> bool {
        self.strained.load(Ordering::Relaxed)
    }

    pub(crate) fn set_strained(&self, strained: bool) {
        self.strained.store(strained, Ordering::Relaxed);
    }

    /// Whether another node is known to be up.
    pub(crate) fn knows_peers(&self) -> bool {
        locked(&self.nodes).alive(Instant::now()).next().is_some()
    }

    /// Whether this node says that it is the planner's leader.
    pub(crate) fn is_planner(&self) -> bool {
        locked(&self.leaders).contains_key(&self.cfg.node)
    }

    /// Nodes that take requests, this one among them, as far as it knows.
    pub(crate) fn node_count(&self) -> usize {
        locked(&self.nodes).sharing(Instant::now())
    }

    /// Notes how old another node's load was when it was heard.
    pub(crate) fn record_load_delay(&self, transit: Duration) {
        let mut mean = locked(&self.load_report_delay);
        *mean = (*mean * (LOAD_DELAY_WINDOW - 1) + transit) / LOAD_DELAY_WINDOW;
    }

    /// How old other nodes' loads are on average when they are used.
    pub(crate) fn load_age(&self) -> Duration {
        *locked(&self.load_report_delay) + LOAD_INTERVAL / 2
    }

    /// Wakes the admission queues: a slot may have become free.
    pub(crate) fn wake_waiting_requests(&self) {
        self.admission.wake();
    }

    /// Takes the hosts' entries over into the table of heads.
    pub(crate) fn refresh_heads(&self) {
        {
            let fleet = locked(&self.fleet);
            locked(&self.heads).update(&fleet, &self.catalog());
        }
        self.wake_waiting_requests();
        self.planning.wake();
    }

    /// Counts a caller's request for the bound on repeats.
    pub(crate) fn count_request(&self, service: &ServiceName) {
        let mut retries = locked(&self.retries);
        self.retry_window(&mut retries, service)
            .on_request(Instant::now());
    }

    /// Whether one more repeat for this service is permitted; counts it if so.
    pub(crate) fn try_retry(&self, service: &ServiceName, reason: RetryReason) -> bool {
        let (nodes, now) = (self.node_count(), Instant::now());
        let mut retries = locked(&self.retries);
        let window = self.retry_window(&mut retries, service);
        if window.try_retry(nodes, now) {
            self.metrics.count_retry(service, reason);
            return true;
        }
        let budget = window.budget(nodes, now);
        if locked(&self.budget_log_limit).is_due(now) {
            info!(
                event = "retry-budget", %service, outcome = "exhausted", nodes,
                requests = budget.requests, repeats = budget.retries,
                permitted = budget.permitted,
            );
        }
        false
    }

    fn retry_window<'w>(
        &self,
        windows: &'w mut HashMap<ServiceName, RetryWindow>,
        service: &ServiceName,
    ) -> &'w mut RetryWindow {
        let rules = self.cfg.retries;
        let restarted = (!self.cfg.first_start).then_some(self.started_at);
        let fresh = || RetryWindow::new(rules.window, rules.ratio, rules.slack, restarted);
        windows.entry(service.clone()).or_insert_with(fresh)
    }
}
