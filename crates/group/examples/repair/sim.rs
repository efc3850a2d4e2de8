//! In-memory simulation of hosts and a table around the pure policy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{
    GroupId, HostEntry, HostId, HostReport, HostState, Order, OrderKind, Placement, TargetKind,
};
use eelgrassmill_config::Config;
use eelgrassmill_group::{
    Action, FleetView, GroupPhase, GroupRow, GroupWatch, MissingReason, RepairPolicy, RowValue,
    Transaction, Verdict, plan, weights_name,
};
use smol_str::{SmolStr, format_smolstr};

/// Duration of one step; hosts are probed and rows read once in each.
pub(crate) const STEP: Duration = Duration::from_millis(500);
/// Response time of a transaction or an order.
const RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Maximum number of planning rounds in one step.
const MAX_ROUNDS: u32 = 8;
/// Number of models whose weights a host can hold.
const WARM_LIMIT: usize = 2;
/// Delay until the host list shows a change.
const LIST_LAG: Duration = Duration::from_secs(5);

/// What happens to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It stops for this many seconds and resumes with its state.
    Pause(u64),
    /// It is down for this many seconds and returns without its state.
    Restart(u64),
    /// It never returns; the host list drops it after two minutes.
    Die,
    /// It is listed as leaving, leaves after this many seconds, and is replaced by a new host
    /// five minutes later.
    Leave(u64),
}

/// One host.
#[derive(Clone, Debug)]
pub(crate) struct FakeHost {
    pub(crate) entry: HostEntry,
    pub(crate) incarnation: u64,
    pub(crate) placement: Option<Placement>,
    pub(crate) fence: u64,
    pub(crate) checks_orders: bool,
    pub(crate) warm: Vec<SmolStr>,
    /// Bytes left to load for its placement.
    pub(crate) bytes_to_load: u64,
    /// Until when it is down; `None` while it is up.
    pub(crate) down_until: Option<Instant>,
    /// Whether it returns without its state.
    loses_state: bool,
    /// When its host list entry changes, and to which state; `None` if no change is due.
    list_change: Option<(Instant, Option<HostState>)>,
    listed: bool,
    /// When it leaves after being listed as leaving.
    departs_at: Option<Instant>,
    report: Arc<HostReport>,
    running: u32,
    /// Whether it ignores orders.
    pub(crate) ignores_orders: bool,
}

impl FakeHost {
    pub(crate) fn new(entry: HostEntry, checks_orders: bool) -> FakeHost {
        let report = Arc::new(HostReport {
            host: entry.id.clone(),
            incarnation: 1,
            placement: None,
            ready: false,
            fence: 0,
            leaving: false,
            running: 0,
            warm: Vec::new(),
        });
        FakeHost {
            report,
            running: 0,
            ignores_orders: false,
            entry,
            incarnation: 1,
            placement: None,
            fence: 0,
            checks_orders,
            warm: Vec::new(),
            bytes_to_load: 0,
            down_until: None,
            loses_state: false,
            list_change: None,
            listed: true,
            departs_at: None,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.down_until.is_none()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.placement.is_some() && self.bytes_to_load == 0
    }

    /// Its newest report; rebuilt only after a change.
    pub(crate) fn report(&self) -> Arc<HostReport> {
        self.report.clone()
    }

    /// Sets the number of running requests in its report.
    #[allow(dead_code)] // For the tests, which share this file.
    pub(crate) fn set_running(&mut self, running: u32) {
        self.running = running;
        self.update_report();
    }

    fn update_report(&mut self) {
        self.report = Arc::new(self.build_report());
    }

    fn build_report(&self) -> HostReport {
        HostReport {
            host: self.entry.id.clone(),
            incarnation: self.incarnation,
            placement: self.placement.clone(),
            ready: self.is_ready(),
            fence: self.fence,
            leaving: false,
            running: self.running,
            warm: self.warm.clone(),
        }
    }

    /// Obeys an order, or refuses it if the host checks orders and has seen a higher fence.
    pub(crate) fn obey(&mut self, order: &Order, load_bytes: u64) {
        if self.ignores_orders || (self.checks_orders && order.fence < self.fence) {
            return;
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            OrderKind::Join => self.join(&order.placement, load_bytes),
            OrderKind::Leave => {
                let same = |p: &Placement| {
                    (&p.group, p.epoch) == (&order.placement.group, order.placement.epoch)
                };
                if self.placement.as_ref().is_some_and(same) {
                    self.placement = None;
                    self.bytes_to_load = 0;
                }
            }
        }
        self.update_report();
    }

    fn join(&mut self, placement: &Placement, load_bytes: u64) {
        if self.placement.as_ref() == Some(placement) {
            return;
        }
        let weights = weights_name(&placement.model, &placement.version);
        self.bytes_to_load = if self.warm.contains(&weights) {
            0
        } else {
            load_bytes
        };
        self.placement = Some(placement.clone());
    }

    pub(crate) fn load(&mut self, bytes: u64) {
        let Some(placement) = &self.placement else {
            return;
        };
        self.bytes_to_load = self.bytes_to_load.saturating_sub(bytes);
        let weights = weights_name(&placement.model, &placement.version);
        if self.bytes_to_load == 0 && !self.warm.contains(&weights) {
            self.warm.push(weights);
            let excess = self.warm.len().saturating_sub(WARM_LIMIT);
            self.warm.drain(..excess);
        }
        self.update_report();
    }

    /// Whether no change to it is pending.
    fn is_idle(&self) -> bool {
        self.is_up()
            && self.bytes_to_load == 0
            && self.list_change.is_none()
            && self.departs_at.is_none()
    }

    pub(crate) fn go_down(&mut self, until: Instant, empty: bool) {
        self.down_until = Some(until);
        self.loses_state = empty;
    }

    pub(crate) fn inject(&mut self, fault: Fault, now: Instant) {
        let after = |s| now + Duration::from_secs(s);
        let never = after(1_000_000);
        match fault {
            Fault::Pause(s) => self.go_down(after(s), false),
            Fault::Restart(s) => self.go_down(after(s), true),
            Fault::Die => {
                self.go_down(never, true);
                self.list_change = Some((after(120), None));
            }
            Fault::Leave(s) => {
                self.list_change = Some((now + LIST_LAG, Some(HostState::Leaving)));
                self.departs_at = Some(after(s));
            }
        }
    }

    /// Advances to `now`; returns whether its host list entry changed.
    pub(crate) fn advance(&mut self, now: Instant) -> bool {
        if self.departs_at.is_some_and(|at| now >= at) {
            self.departs_at = None;
            self.go_down(now + Duration::from_secs(300), true);
            self.list_change = Some((now + LIST_LAG, None));
        }
        if self.down_until.is_some_and(|at| now >= at) {
            self.come_up(now);
        }
        if let Some((at, state)) = self.list_change
            && now >= at
        {
            self.list_change = None;
            self.listed = state.is_some();
            self.entry.state = state.unwrap_or(HostState::Live);
            return true;
        }
        false
    }

    fn come_up(&mut self, now: Instant) {
        self.down_until = None;
        if self.loses_state {
            self.incarnation += 1;
            self.placement = None;
            self.bytes_to_load = 0;
            self.warm.clear();
            self.fence = 0;
            self.update_report();
        }
        if !self.listed {
            self.list_change = Some((now + LIST_LAG, Some(HostState::Live)));
        }
    }
}

/// Throughput of the weight store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Store {
    /// For all loads together, in bytes per second.
    pub(crate) rate: u64,
    /// For one host, in bytes per second.
    pub(crate) host_rate: u64,
}

/// Totals of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Totals {
    /// Group downtime in seconds, summed over all configured groups.
    pub(crate) downtime: f64,
    /// Accelerator-seconds in which healthy accelerators were idle while groups lacked hosts.
    pub(crate) stranded: f64,
    /// Transactions committed.
    pub(crate) transactions: u64,
    /// Maximum number of transactions in one round.
    pub(crate) max_transactions: u64,
    /// Maximum number of concurrent loads.
    pub(crate) max_loads: u64,
}

impl Totals {
    /// Adds another run.
    pub(crate) fn add(&mut self, run: &Totals) {
        self.downtime += run.downtime;
        self.stranded += run.stranded;
        self.transactions += run.transactions;
        self.max_transactions = self.max_transactions.max(run.max_transactions);
        self.max_loads = self.max_loads.max(run.max_loads);
    }
}

/// Hosts, a table and one planner.
#[derive(Clone)]
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) hosts: BTreeMap<HostId, FakeHost>,
    pub(crate) rows: BTreeMap<SmolStr, (u64, RowValue)>,
    pub(crate) view: FleetView,
    pub(crate) policy: RepairPolicy,
    pub(crate) watches: BTreeMap<GroupId, GroupWatch>,
    pub(crate) totals: Totals,
    pub(crate) store: Store,
    list_changed: bool,
    /// Steps since the planner last acted.
    idle_steps: u32,
}

impl Simulation {
    pub(crate) fn new(
        hosts: Vec<FakeHost>,
        config: Config,
        sizes: &[(SmolStr, u64)],
        store: Store,
        policy: RepairPolicy,
    ) -> Simulation {
        let now = Instant::now() + Duration::from_secs(1000);
        let mut view = FleetView::new("n1", "region-1", Arc::new(config), now);
        view.weights = sizes.iter().cloned().collect();
        view.store_rate = store.rate;
        view.host_rate = store.host_rate;
        Simulation {
            now,
            hosts: hosts.into_iter().map(|h| (h.entry.id.clone(), h)).collect(),
            rows: BTreeMap::new(),
            view,
            policy,
            watches: BTreeMap::new(),
            totals: Totals::default(),
            store,
            list_changed: true,
            idle_steps: 0,
        }
    }

    /// Runs one step: time advances, hosts are probed, rows are read, and the plan is executed.
    ///
    /// The planner continues as soon as a transaction or order completes, which takes
    /// [`RESPONSE_TIME`], and doesn't wait for the next probe.
    pub(crate) fn step(&mut self) -> Vec<Action> {
        let next = self.now + STEP;
        self.advance();
        self.observe();
        let mut all = Vec::new();
        for _ in 0..MAX_ROUNDS {
            let actions = plan(&self.view, &self.policy, self.now);
            if actions.is_empty() {
                break;
            }
            self.now += RESPONSE_TIME;
            self.execute(&actions);
            self.read_rows();
            all.extend(actions);
        }
        self.now = next;
        self.idle_steps = if all.is_empty() {
            self.idle_steps + 1
        } else {
            0
        };
        self.measure();
        all
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Warms every host for all models.
    pub(crate) fn warm_all(&mut self) {
        let all: Vec<SmolStr> = self.view.weights.keys().cloned().collect();
        for host in self.hosts.values_mut() {
            host.warm.clone_from(&all);
            host.update_report();
        }
        self.now += STEP;
        self.observe();
    }

    /// Whether nothing changes until the next fault.
    pub(crate) fn is_idle(&self) -> bool {
        let settled = self.view.groups.values().all(|g| g.is_live() && g.serving);
        self.idle_steps > 4 && settled && self.hosts.values().all(FakeHost::is_idle)
    }

    pub(crate) fn inject(&mut self, host: &str, fault: Fault) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(host) {
            host.inject(fault, now);
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        let loading = |h: &&mut FakeHost| h.is_up() && h.bytes_to_load > 0;
        let count = self.hosts.values_mut().filter(loading).count() as u64;
        let each = self.store.host_rate.min(self.store.rate / count.max(1));
        let bytes = each * STEP.as_millis() as u64 / 1000;
        for host in self.hosts.values_mut() {
            self.list_changed |= host.advance(now);
            if host.is_up() && host.bytes_to_load > 0 {
                host.load(bytes);
            }
        }
        self.totals.max_loads = self.totals.max_loads.max(count);
    }

    /// Updates the view, as the node crate does from real responses.
    pub(crate) fn observe(&mut self) {
        let now = self.now;
        if std::mem::take(&mut self.list_changed) {
            let listed = self.hosts.values().filter(|h| h.listed);
            let entries: Vec<HostEntry> = listed.map(|h| h.entry.clone()).collect();
            self.view.on_host_list(&entries, now);
        }
        self.read_rows();
        for host in self.hosts.values().filter(|h| h.is_up()) {
            self.view.on_report(&host.report(), now);
        }
        for watch in self.watches.values_mut() {
            let members = watch.row().members.clone();
            let up = members
                .iter()
                .map(|id| &self.hosts[id])
                .filter(|h| h.is_up());
            for host in up {
                watch.on_report(&host.report(), now);
            }
        }
        for (group, watch) in &mut self.watches {
            let (verdict, _) = watch.verdict(now);
            let restarted = match &verdict {
                Verdict::Missing {
                    host,
                    reason: MissingReason::Restarted,
                } => Some(host.clone()),
                _ => None,
            };
            let epoch = watch.row().epoch;
            let whole = verdict == Verdict::Whole;
            self.view
                .on_serving(group, epoch, whole, restarted.as_ref(), now);
        }
    }

    fn read_rows(&mut self) {
        let now = self.now;
        let mut groups = BTreeSet::new();
        for (version, value) in self.rows.values() {
            match value {
                RowValue::Host(row) => self.view.on_host_row(row, *version, now),
                RowValue::Group(row) => {
                    groups.insert(row.group.clone());
                    let known = self.view.groups.get(&row.group).map(|g| g.row_version);
                    if known == Some(*version) {
                        continue;
                    }
                    self.view.on_group_row(row, *version, now);
                    let watch = self.watches.entry(row.group.clone());
                    let watch = watch.or_insert_with(|| GroupWatch::new(row.clone()));
                    watch.set_row(row.clone());
                }
                _ => {}
            }
        }
        let known: Vec<GroupId> = self.view.groups.keys().cloned().collect();
        for gone in known.iter().filter(|g| !groups.contains(*g)) {
            self.view.on_group_removed(gone);
            self.watches.remove(gone);
        }
    }

    pub(crate) fn execute(&mut self, actions: &[Action]) {
        let mut transactions = 0;
        for action in actions {
            if let Some(transaction) = action.transaction() {
                assert!(self.commit(transaction), "conflict in {action:?}");
                transactions += 1;
            }
            if let Some(order) = action.order() {
                self.send(order);
            }
        }
        self.totals.transactions += transactions;
        self.totals.max_transactions = self.totals.max_transactions.max(transactions);
    }

    pub(crate) fn send(&mut self, order: &Order) {
        self.view.on_order_sent(order, self.now);
        let placement = &order.placement;
        let weights = weights_name(&placement.model, &placement.version);
        let bytes = self.view.weights.get(&weights).copied().unwrap_or(0);
        let per_host = bytes / self.hosts_per_group(&placement.model);
        let host = self.hosts.get_mut(&order.host).filter(|h| h.is_up());
        if let Some(host) = host {
            host.obey(order, per_host);
            let report = host.report();
            self.view
                .on_report(&report, self.now + Duration::from_millis(1));
        }
    }

    fn hosts_per_group(&self, model: &str) -> u64 {
        use eelgrassmill_config::ServiceKind::Model;
        let sizes = self
            .view
            .config
            .services
            .values()
            .filter_map(|s| match &s.kind {
                Model(m) if m.model == model => Some(u64::from(m.hosts_per_group)),
                _ => None,
            });
        sizes.max().unwrap_or(1)
    }

    /// Commits a transaction if all its preconditions hold.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> bool {
        let version = |key: &SmolStr| match self.rows.get(key) {
            None | Some((_, RowValue::Absent)) => 0,
            Some((version, _)) => *version,
        };
        if transaction
            .expect
            .iter()
            .any(|e| version(&e.key) != e.version)
        {
            return false;
        }
        for put in &transaction.puts {
            let row = self
                .rows
                .entry(put.key.clone())
                .or_insert((0, RowValue::Absent));
            row.0 += 1;
            row.1 = put.value.clone();
        }
        true
    }

    /// Whether a group with this row can actually serve now.
    pub(crate) fn is_serving(&self, row: &GroupRow) -> bool {
        row.phase == GroupPhase::Formed
            && self.view.groups.get(&row.group).is_some_and(|g| g.serving)
            && row.members.iter().all(|id| {
                let host = &self.hosts[id];
                let placed = host.placement.as_ref();
                host.is_up() && host.is_ready() && placed.is_some_and(|p| p.epoch == row.epoch)
            })
    }

    pub(crate) fn serving_groups(&self) -> Vec<&GroupRow> {
        let rows = self.rows.values().filter_map(|(_, value)| match value {
            RowValue::Group(row) => Some(row),
            _ => None,
        });
        rows.filter(|row| self.is_serving(row)).collect()
    }

    fn measure(&mut self) {
        use eelgrassmill_config::ServiceKind::Model;
        let serving = self.serving_groups();
        let busy: BTreeSet<&HostId> = serving.iter().flat_map(|r| &r.members).collect();
        let mut missing_hosts = 0;
        let mut down = 0;
        for service in self.view.config.services.values() {
            if let Model(model) = &service.kind {
                let serving_count = serving.iter().filter(|r| r.service == service.name).count();
                let shortfall = (model.groups as usize).saturating_sub(serving_count);
                down += shortfall;
                missing_hosts += shortfall * model.hosts_per_group as usize;
            }
        }
        let healthy = self.hosts.values().filter(|h| h.is_up());
        let idle = healthy.filter(|h| !busy.contains(&h.entry.id));
        let accelerators = idle
            .take(missing_hosts)
            .map(|h| u64::from(h.entry.accelerators));
        let stranded: u64 = accelerators.sum();
        self.totals.downtime += down as f64 * STEP.as_secs_f64();
        self.totals.stranded += stranded as f64 * STEP.as_secs_f64();
    }
}

/// A host list entry.
pub(crate) fn entry(id: &str, failure: &str, fabric: &str, accelerators: u32) -> HostEntry {
    HostEntry {
        id: id.into(),
        address: format_smolstr!("127.0.0.1:1"),
        kind: TargetKind::Engine,
        region: "region-1".into(),
        failure_domain: failure.into(),
        fabric_domain: fabric.into(),
        accelerators,
        state: HostState::Live,
    }
}
