//! Everything that the ports and loops of one node share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::Instant;

use eelgrassmill_account::{ByteAccount, ConnectionTable};
use eelgrassmill_base::{Epoch, HostId, NodeId, ServiceName, Shutdown, TargetKind, TenantId};
use eelgrassmill_claim::EraClock;
use eelgrassmill_config::{Config, Service, ServiceKind};
use eelgrassmill_engine::{HostControl, TargetClient};
use eelgrassmill_group::{HeldLease, LeaseTiming, NodeState};
use eelgrassmill_route::{RetryBudget, Slots};
use eelgrassmill_stores::{HttpHostList, HttpObjectStore, HttpTable, HttpWeightStore};

use smol_str::SmolStr;
use tokio::sync::watch;

use super::config::ConfigCell;
use super::directory::Directory;
use super::fleet::Fleet;
use super::guard::Guard;
use super::ident::Ident;
use super::journal::Journal;
use super::lock::lock;
use super::quotas::{Quotas, without_quota};
use super::reports::Reports;
use super::running::Running;
use super::shard::Shard;
use super::table::CountedTable;
use super::usage::UsageBook;
use super::wholeness::Wholeness;
use crate::Settings;
use crate::client_limits::{SILENT_TIME, caller_connections, memory_limit};
use crate::metrics::Metrics;

/// Clients of the platform's services.
pub(crate) struct Platform {
    pub(crate) table: CountedTable<HttpTable>,
    pub(crate) objects: HttpObjectStore,
    pub(crate) weights: HttpWeightStore,
    pub(crate) hosts: HttpHostList,
}

/// What a tenant's requests did at this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantCount {
    pub(crate) running: u64,
    pub(crate) queued: u64,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

/// What one node knows and uses.
///
/// Each field has its own lock. Where two are held together, it is in the
/// order in which they stand here; none is held over an await or a call.
pub(crate) struct Core {
    pub(crate) ident: Ident,
    pub(crate) settings: Settings,
    pub(crate) timing: LeaseTiming,
    pub(crate) journal: Journal,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) platform: Platform,
    pub(crate) control: Arc<HostControl>,
    pub(crate) targets: TargetClient,
    /// What this node holds for callers.
    pub(crate) account: ByteAccount,
    pub(crate) connections: ConnectionTable,
    pub(crate) reports: Arc<Reports>,
    pub(crate) config: ConfigCell,
    pub(crate) lease: Mutex<HeldLease>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) whole: Mutex<Wholeness>,
    pub(crate) quotas: Mutex<Quotas>,
    pub(crate) directory: Mutex<Directory>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) usage: Mutex<UsageBook>,
    pub(crate) guard: Mutex<Guard>,
    pub(crate) era: Mutex<EraClock>,
    /// The node that the planner row of this region names.
    pub(crate) planner: Mutex<Option<NodeId>>,
    pub(crate) tenant_counts: Mutex<BTreeMap<TenantId, TenantCount>>,
    /// Why services can't serve though groups of them are whole, as last worked out.
    pub(crate) held_up: Mutex<BTreeMap<ServiceName, SmolStr>>,
    shards: RwLock<BTreeMap<ServiceName, Arc<Shard>>>,
    pub(crate) running: Running,
    /// Set once this node was told to stop.
    shutdown: OnceLock<Shutdown>,
    /// Whether the time of those that still run is over: the process is about to exit.
    ending: watch::Sender<bool>,
    stopped: AtomicBool,
}

impl Core {
    pub(crate) fn new(
        ident: Ident,
        settings: Settings,
        platform: Platform,
        metrics: Arc<Metrics>,
    ) -> Core {
        let timing = LeaseTiming {
            term: settings.timing.lease_term,
            clock_margin: settings.timing.clock_margin,
            order_transit: settings.timing.order_time,
            max_observation_gap: settings.timing.lease_term / 2,
        };
        let control = HostControl::builder()
            .step_timeout(settings.timing.probe_interval)
            .total_timeout(settings.timing.probe_interval * 2)
            .build();
        Core {
            timing,
            journal: Journal::new(ident.node.clone(), ident.incarnation),
            metrics,
            platform,
            control: Arc::new(control),
            targets: TargetClient::builder().build(),
            account: ByteAccount::new(memory_limit(&settings.limits).client_bytes()),
            connections: ConnectionTable::new(caller_connections(&settings.limits))
                .evict_after(SILENT_TIME),
            reports: Arc::new(Reports::new()),
            config: ConfigCell::new(),
            lease: Mutex::new(HeldLease::new(timing, ident.incarnation)),
            fleet: Mutex::new(Fleet::default()),
            whole: Mutex::new(Wholeness::default()),
            quotas: Mutex::new(Quotas::new(ident.node.clone(), ident.incarnation)),
            directory: Mutex::new(Directory::default()),
            retries: Mutex::new(RetryBudget::default()),
            usage: Mutex::new(UsageBook::default()),
            guard: Mutex::new(Guard::default()),
            era: Mutex::new(EraClock::default()),
            planner: Mutex::new(None),
            tenant_counts: Mutex::new(BTreeMap::new()),
            held_up: Mutex::new(BTreeMap::new()),
            shards: RwLock::new(BTreeMap::new()),
            running: Running::default(),
            shutdown: OnceLock::new(),
            ending: watch::Sender::new(false),
            stopped: AtomicBool::new(false),
            ident,
            settings,
        }
    }

    /// Whether this node takes no new work, by order to stop or by the text.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.get().is_some() || self.config.config().is_node_draining(&self.ident.node)
    }

    /// Says that this node was told to stop.
    pub(crate) fn begin_leaving(&self, shutdown: Shutdown) {
        // It is told once: a stop consumes the node.
        let _ = self.shutdown.set(shutdown);
    }

    /// Whether this node may begin what can last until `deadline`.
    pub(crate) fn may_begin(&self, deadline: Instant) -> bool {
        self.shutdown.get().is_none_or(|s| s.may_begin(deadline))
    }

    /// Says to all that still runs that the process is about to exit.
    pub(crate) fn end(&self) {
        self.ending.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn until_end(&self) {
        let mut rx = self.ending.subscribe();
        // The sender lives as long as `self`, so this ends only by the value.
        let _ = rx.wait_for(|ending| *ending).await;
    }

    /// Whether the loops are to end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub(crate) fn node_state(&self) -> NodeState {
        if self.is_leaving() {
            NodeState::Leaving
        } else {
            NodeState::Serving
        }
    }

    /// Whether `node` is another node's name.
    pub(crate) fn is_me(&self, node: &NodeId) -> bool {
        *node == self.ident.node
    }

    /// The shard of a service of groups or targets of its own.
    pub(crate) fn shard(&self, service: &str) -> Option<Arc<Shard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.get(service).cloned()
    }

    pub(crate) fn all_shards(&self) -> Vec<Arc<Shard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.values().cloned().collect()
    }

    /// Makes shards for new services and drops those of services that are gone.
    ///
    /// Those that stay get the queue length of the text, and keep their requests.
    pub(crate) fn set_services(&self, cfg: &Config) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        shards.retain(|name, _| cfg.services.get(name).is_some_and(has_own_targets));
        for service in cfg.services.values().filter(|s| has_own_targets(s)) {
            if let Some(shard) = shards.get(&service.name) {
                shard.set_max_queue(service.max_queue);
                continue;
            }
            let seed = self.ident.seed(&service.name);
            let shard = Shard::new(service.name.clone(), service.max_queue, seed);
            shards.insert(service.name.clone(), Arc::new(shard));
        }
        drop(shards);
        lock(&self.retries).retain(|tenant| cfg.tenants.contains_key(tenant));
        lock(&self.usage).retain(|tenant| cfg.tenants.contains_key(tenant));
        lock(&self.tenant_counts).retain(|tenant, _| cfg.tenants.contains_key(tenant));
    }

    /// Plain targets of the configuration that the host list knows.
    pub(crate) fn plain_targets(&self, cfg: &Config) -> Vec<HostId> {
        let fleet = lock(&self.fleet);
        let mut targets: Vec<HostId> = Vec::new();
        for service in cfg.services.values() {
            if let ServiceKind::Plain { targets: named, .. } = &service.kind {
                targets.extend(named.iter().cloned());
            }
        }
        targets.retain(|t| {
            let kind = fleet.hosts.get(t).map(|h| h.kind);
            kind == Some(TargetKind::Plain)
        });
        targets.sort();
        targets.dedup();
        targets
    }

    /// What this entry may have running at a group.
    pub(crate) fn quota(
        &self,
        group: &str,
        epoch: Epoch,
        slots: Slots,
        fleet: &Fleet,
        now: Instant,
    ) -> Slots {
        let held = lock(&self.quotas).current(group, epoch, now);
        held.unwrap_or_else(|| without_quota(slots, fleet.serving_nodes().count()))
    }

    /// Changes the counts of a tenant.
    pub(crate) fn count(&self, tenant: &TenantId, change: impl FnOnce(&mut TenantCount)) {
        change(lock(&self.tenant_counts).entry(tenant.clone()).or_default());
    }

    /// Why a service can't serve though groups of it are whole.
    pub(crate) fn why_not_serving(&self, service: &str) -> Option<SmolStr> {
        lock(&self.held_up).get(service).cloned()
    }

    /// Whether the node's lease is valid now.
    pub(crate) fn holds_lease(&self) -> bool {
        lock(&self.lease).valid_at(Instant::now())
    }
}

/// Adapters are served by the groups of their base and have no shard.
fn has_own_targets(service: &Service) -> bool {
    !matches!(service.kind, ServiceKind::Adapter { .. })
}

/// The service whose groups or targets serve `service`.
///
/// The checked configuration has no cycles, so this ends.
pub(crate) fn serving_service<'a>(cfg: &'a Config, service: &'a Service) -> &'a Service {
    match &service.kind {
        ServiceKind::Adapter { base, .. } => match cfg.services.get(base) {
            Some(base) => serving_service(cfg, base),
            None => service,
        },
        _ => service,
    }
}
