//! State that the tasks of a node share, with one lock for each part.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use eelgrassmill_account::{ByteAccount, ConnectionTable};
use eelgrassmill_base::{NodeId, ServiceName, Shutdown, StoreEra};
use eelgrassmill_engine::TargetClient;
use eelgrassmill_fleet::{
    CallerTimeouts, Catalog, ColdRateLimiter, DemandTable, Fleet, RetryWindow, RoleCandidate,
    TargetStats, WaitEstimate,
};
use eelgrassmill_peer::PeerNode;
use tokio::sync::watch;
use tracing::info;

use crate::admission::AdmissionQueues;
use crate::client_limits::{ClientPressure, PORTS};
use crate::config::{GatewayConfig, LiveConfig};
use crate::configuration::Configuration;
use crate::crash_detection::CrashDetection;
use crate::fair_admission::FairQueues;
use crate::heads::{HeadTable, locked};
use crate::host_relay::HostRelay;
use crate::host_signals::SignalState;
use crate::inbox::Inbox;
use crate::logs::LogRateLimit;
use crate::metrics::{Metrics, RetryReason};
use crate::nodes::{NodeTable, usable_processor};
use crate::pacing::Paces;
use crate::peers::{LOAD_INTERVAL, UpdateHandler};
use crate::planning::PlanningEvent;
use crate::ports::Platform;
use crate::quarantine::Quarantine;
use crate::scheduler::Schedulers;
use crate::scheduler_client::SchedulerClient;
use crate::slot_events::SlotEvents;
use crate::snapshot_relay::SnapshotRelay;

/// The state of one node.
pub(crate) struct Core<P: Platform> {
    pub(crate) cfg: GatewayConfig,
    pub(crate) platform: P,
    pub(crate) http: TargetClient,
    /// What this node holds for callers.
    pub(crate) account: ByteAccount,
    /// Connections of each of the [`PORTS`].
    pub(crate) ports: [ConnectionTable; PORTS.len()],
    pub(crate) client_pressure: ClientPressure,
    pub(crate) configuration: Configuration,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) heads: Mutex<HeadTable>,
    pub(crate) targets: Mutex<TargetStats>,
    /// Limits this node's share of the requests to cold plain hosts.
    pub(crate) cold_rate_limiter: Mutex<ColdRateLimiter>,
    pub(crate) nodes: Mutex<NodeTable>,
    /// Terms of the nodes that announced themselves as the planner's leader, this one included.
    pub(crate) leaders: Mutex<BTreeMap<NodeId, u64>>,
    /// Copies of the platform's lists for other nodes.
    pub(crate) lists: SnapshotRelay,
    /// Retry budgets by service.
    pub(crate) retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    /// Rate limit for log lines on exhausted retry budgets.
    budget_log_limit: Mutex<LogRateLimit>,
    pub(crate) metrics: Metrics,
    pub(crate) admission: AdmissionQueues,
    pub(crate) fair_queues: FairQueues,
    /// Capacity of plain services for this node, if customers share fairly.
    pub(crate) plain_estimates: Mutex<HashMap<ServiceName, WaitEstimate>>,
    /// Schedulers that run at this node.
    pub(crate) schedulers: Schedulers,
    /// The demand at the schedulers of all nodes, this one included.
    pub(crate) demand: Mutex<DemandTable>,
    pub(crate) caller_timeouts: Mutex<CallerTimeouts>,
    pub(crate) scheduler_client: SchedulerClient,
    pub(crate) slot_events: SlotEvents,
    pub(crate) crash_detection: CrashDetection,
    pub(crate) quarantine: Quarantine,
    pub(crate) host_signals: SignalState,
    pub(crate) host_relay: HostRelay,
    pub(crate) paces: Paces,
    pub(crate) planning: Inbox<PlanningEvent>,
    live: Mutex<LiveConfig>,
    /// Set when the node receives the signal to stop. It then closes its port (`stopping`) and
    /// aborts the remaining requests (`exiting`). Invariant: its deadlines never get later.
    shutdown: watch::Sender<Option<Shutdown>>,
    pub(crate) stopping: watch::Sender<bool>,
    /// True once the grace period of running requests is over and the process is about to exit.
    exiting: watch::Sender<bool>,
    /// Whether a request was served at any node.
    served: AtomicBool,
    overloaded: AtomicBool,
    /// Consecutive failed calls to the store.
    store_failures: AtomicU64,
    /// The latest era that the store named; `None` before its first answer.
    store_era: Mutex<Option<StoreEra>>,
    peer: OnceLock<Arc<PeerNode<UpdateHandler<P>>>>,
    /// Moving average of the age of other nodes' load reports on arrival.
    load_report_delay: Mutex<Duration>,
    pub(crate) started_at: Instant,
}

/// Weight of the newest sample in the average of [`Core::load_age`], as 1 / this: some hundred
/// reports arrive in a second.
const LOAD_DELAY_WINDOW: u32 = 64;

impl<P: Platform> Core<P> {
    pub(crate) fn new(cfg: GatewayConfig, platform: P, http: TargetClient) -> Core<P> {
        Core {
            account: ByteAccount::new(cfg.limits.client_bytes()),
            live: Mutex::new(LiveConfig::from(&cfg)),
            ports: cfg.limits.port_connections().map(ConnectionTable::new),
            client_pressure: ClientPressure::default(),
            cfg,
            platform,
            http,
            configuration: Configuration::default(),
            fleet: Mutex::default(),
            heads: Mutex::default(),
            targets: Mutex::default(),
            cold_rate_limiter: Mutex::default(),
            nodes: Mutex::default(),
            leaders: Mutex::default(),
            lists: SnapshotRelay::default(),
            retries: Mutex::default(),
            budget_log_limit: Mutex::default(),
            metrics: Metrics::default(),
            admission: AdmissionQueues::default(),
            fair_queues: FairQueues::default(),
            plain_estimates: Mutex::default(),
            schedulers: Schedulers::default(),
            demand: Mutex::default(),
            caller_timeouts: Mutex::default(),
            scheduler_client: SchedulerClient::default(),
            slot_events: SlotEvents::default(),
            crash_detection: CrashDetection::default(),
            quarantine: Quarantine::default(),
            host_signals: SignalState::default(),
            host_relay: HostRelay::default(),
            paces: Paces::default(),
            planning: Inbox::default(),
            shutdown: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            exiting: watch::Sender::new(false),
            served: AtomicBool::new(false),
            overloaded: AtomicBool::new(false),
            store_failures: AtomicU64::new(0),
            store_era: Mutex::default(),
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

    /// The settings in force that may change while the node runs.
    pub(crate) fn live(&self) -> LiveConfig {
        *locked(&self.live)
    }

    /// Puts settings into force; of the grace period only a shorter one.
    pub(crate) fn set_live(&self, newer: LiveConfig) {
        let mut live = locked(&self.live);
        let grace = newer.grace.min(live.grace);
        *live = LiveConfig { grace, ..newer };
        self.account.set_limit(live.memory.client_bytes());
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// The deadlines of the shutdown; `None` before the signal to stop.
    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Records that this node received the signal to stop, or that it has to stop earlier than it was
    /// told before.
    pub(crate) fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.send_modify(|current| match current {
            Some(current) => current.shorten(shutdown),
            None => *current = Some(shutdown),
        });
    }

    /// Whether this node may start a request that can run until `deadline`.
    pub(crate) fn may_start(&self, deadline: Instant) -> bool {
        self.shutdown().is_none_or(|s| s.may_begin(deadline))
    }

    /// Waits until this node may no longer start a request that can run until `deadline`.
    pub(crate) async fn wait_until_stops_before(&self, deadline: Instant) {
        let mut rx = self.shutdown.subscribe();
        // The sender lives as long as `self`, so the channel can't close before.
        let _ = rx
            .wait_for(|shutdown| shutdown.is_some_and(|s| !s.may_begin(deadline)))
            .await;
    }

    /// Signals all running requests that the process is about to exit.
    pub(crate) fn signal_exit(&self) {
        self.exiting.send_replace(true);
    }

    /// True once the process is about to exit.
    pub(crate) fn exiting(&self) -> watch::Receiver<bool> {
        self.exiting.subscribe()
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn wait_for_exit(&self) {
        let mut rx = self.exiting.subscribe();
        // The sender lives as long as `self`, so the channel can't close before the value is set.
        let _ = rx.wait_for(|exiting| *exiting).await;
    }

    /// Records that a request was served at any node.
    pub(crate) fn mark_served(&self) {
        self.served.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_served(&self) -> bool {
        self.served.load(Ordering::Relaxed)
    }

    pub(crate) fn set_peer(&self, peer: Arc<PeerNode<UpdateHandler<P>>>) {
        // Called once, when the node starts; a second call has no effect.
        let _ = self.peer.set(peer);
    }

    pub(crate) fn peer(&self) -> Option<&Arc<PeerNode<UpdateHandler<P>>>> {
        self.peer.get()
    }

    /// Consecutive failed calls to the store; 0 while it answers.
    pub(crate) fn store_failures(&self) -> u64 {
        self.store_failures.load(Ordering::Relaxed)
    }

    pub(crate) fn record_store_failure(&self) {
        self.store_failures.fetch_add(1, Ordering::Relaxed);
        locked(&self.fleet).on_store_failure(Instant::now());
    }

    /// Records the era that the store named. Hosts that are missing in its first lists after it came
    /// back from a copy may have been listed in the part that it lost.
    pub(crate) fn record_store_era(&self, era: StoreEra) {
        let previous = {
            let mut known = locked(&self.store_era);
            if known.is_some_and(|known| era <= known) {
                return;
            }
            known.replace(era)
        };
        info!(event = "store", era, previous);
        self.metrics
            .store_era
            .set(i64::try_from(era).unwrap_or(i64::MAX));
        if previous.is_some() {
            locked(&self.fleet).on_store_failure(Instant::now());
        }
    }

    /// The latest era that the store named; 0 if it named none.
    pub(crate) fn store_era(&self) -> StoreEra {
        locked(&self.store_era).unwrap_or_default()
    }

    /// Records that entries may have lapsed since the last read, because the store was away.
    pub(crate) fn record_store_gap(&self) {
        locked(&self.fleet).on_store_failure(Instant::now());
    }

    pub(crate) fn record_store_success(&self) {
        self.store_failures.store(0, Ordering::Relaxed);
    }

    /// This node as a candidate for roles.
    pub(crate) fn as_candidate(&self) -> RoleCandidate<'_> {
        RoleCandidate {
            id: &self.cfg.node,
            failure_domain: &self.cfg.failure_domain,
            processor: usable_processor(self.live().processor, self.is_overloaded()),
        }
    }

    /// Whether this node has too little CPU for its load.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    pub(crate) fn set_overloaded(&self, overloaded: bool) {
        self.overloaded.store(overloaded, Ordering::Relaxed);
    }

    /// Whether at least one other node is known to be up.
    pub(crate) fn knows_peers(&self) -> bool {
        locked(&self.nodes).alive(Instant::now()).next().is_some()
    }

    /// Whether this node announces itself as the planner's leader.
    pub(crate) fn is_planner(&self) -> bool {
        locked(&self.leaders).contains_key(&self.cfg.node)
    }

    /// Number of nodes that take requests, including this one, as far as it knows.
    pub(crate) fn active_node_count(&self) -> usize {
        locked(&self.nodes).retry_budget_shares(Instant::now())
    }

    /// Records how old another node's load report was on arrival.
    pub(crate) fn record_load_delay(&self, delay: Duration) {
        let mut mean = locked(&self.load_report_delay);
        *mean = (*mean * (LOAD_DELAY_WINDOW - 1) + delay) / LOAD_DELAY_WINDOW;
    }

    /// Average age of other nodes' load reports at the time they are used.
    pub(crate) fn load_age(&self) -> Duration {
        *locked(&self.load_report_delay) + LOAD_INTERVAL / 2
    }

    /// Wakes the admission queues after a slot may have become free.
    pub(crate) fn wake_waiting_requests(&self) {
        self.admission.wake();
        self.fair_queues.wake();
    }

    /// Updates the table of heads from the host list.
    pub(crate) fn refresh_heads(&self) {
        {
            let fleet = locked(&self.fleet);
            locked(&self.heads).update(&fleet, &self.catalog());
        }
        self.wake_waiting_requests();
        self.planning.wake();
    }

    /// Counts a caller's request for the retry budget.
    pub(crate) fn count_for_retry_budget(&self, service: &ServiceName) {
        let mut retries = locked(&self.retries);
        self.retry_window(&mut retries, service)
            .on_request(Instant::now());
    }

    /// Takes one retry of this service from the retry budget; `false` if it is exhausted.
    pub(crate) fn try_retry(&self, service: &ServiceName, reason: RetryReason) -> bool {
        let (nodes, now) = (self.active_node_count(), Instant::now());
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
        let rules = self.live().retries;
        let restarted = (!self.cfg.first_start).then_some(self.started_at);
        let fresh = || RetryWindow::new(rules.window, rules.ratio, rules.slack, restarted);
        let window = windows.entry(service.clone()).or_insert_with(fresh);
        window.set_rules(rules.window, rules.ratio, rules.slack);
        window
    }
}
