//! Simulated cluster for the failure and fuzz tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostEntry, Order, RowVersion};
use eelgrassmill_config::Config;
use eelgrassmill_group::{
    Evidence, EvidenceStore, FleetView, GroupRow, GroupWatch, HeldLease, LeaseObserver, LeaseProof,
    LeaseTiming, NodeRow, NodeState, ObservedPlanner, PlannerRow, RepairPolicy, RowValue,
    Transaction, node_key, plan, planner_key, takeover,
};
use smol_str::{SmolStr, format_smolstr};

use crate::sim::FakeHost;
use crate::support::oracle::Oracle;

const REGION: &str = "region-1";

/// Fault that affects the next transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableFault {
    NoFault,
    /// The table applies the write, but the response is lost.
    ResponseLost,
    /// The response is lost, and the table applies the write this much later if its preconditions
    /// still hold.
    Delayed(Duration),
    /// The table is unreachable.
    Unavailable,
}

enum Answer {
    Committed,
    Conflict,
    Unknown,
}

/// Version and value of each row by key. Versions increase across deletions.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) rows: BTreeMap<SmolStr, (RowVersion, RowValue)>,
    delayed: Vec<(Instant, Transaction, SmolStr)>,
    pub(crate) fault: Option<TableFault>,
}

impl Table {
    pub(crate) fn version(&self, key: &str) -> RowVersion {
        match self.rows.get(key) {
            None | Some((_, RowValue::Absent)) => 0,
            Some((version, _)) => *version,
        }
    }

    fn is_down(&self) -> bool {
        self.fault == Some(TableFault::Unavailable)
    }

    fn apply(&mut self, transaction: &Transaction) -> bool {
        if transaction
            .expect
            .iter()
            .any(|e| self.version(&e.key) != e.version)
        {
            return false;
        }
        for put in &transaction.puts {
            let row = self
                .rows
                .entry(put.key.clone())
                .or_insert((0, RowValue::Absent));
            *row = (row.0 + 1, put.value.clone());
        }
        true
    }

    fn planner(&self) -> Option<(PlannerRow, RowVersion)> {
        match self.rows.get(&planner_key(REGION)) {
            Some((version, RowValue::Planner(row))) => Some((row.clone(), *version)),
            _ => None,
        }
    }

    fn node(&self, node: &str) -> Option<(NodeRow, RowVersion)> {
        match self.rows.get(&node_key(node)) {
            Some((version, RowValue::Node(row))) => Some((row.clone(), *version)),
            _ => None,
        }
    }

    pub(crate) fn groups(&self) -> impl Iterator<Item = &GroupRow> {
        self.rows.values().filter_map(|(_, value)| match value {
            RowValue::Group(row) => Some(row),
            _ => None,
        })
    }
}

pub(crate) struct Node {
    pub(crate) row: NodeRow,
    pub(crate) lease: HeldLease,
    observer: LeaseObserver,
    pub(crate) view: Option<FleetView>,
    pub(crate) paused: bool,
    /// An order whose lease check was done before the node was paused.
    pending_order: Option<(Order, LeaseProof)>,
    watches: BTreeMap<SmolStr, GroupWatch>,
    sequence: u64,
}

pub(crate) struct Cluster {
    pub(crate) now: Instant,
    pub(crate) table: Table,
    pub(crate) nodes: Vec<Node>,
    pub(crate) hosts: BTreeMap<SmolStr, FakeHost>,
    pub(crate) entry: EvidenceStore,
    pub(crate) evidence_delay: Duration,
    /// Node and host that can't reach each other.
    pub(crate) partition: Option<(usize, SmolStr)>,
    in_flight: Vec<(Instant, Evidence)>,
    pub(crate) oracle: Oracle,
    /// Orders that the check after sending found to be sent without a valid lease.
    pub(crate) late_orders: Vec<Order>,
    config: Arc<Config>,
    policy: RepairPolicy,
    timing: LeaseTiming,
}

impl Cluster {
    pub(crate) fn new(hosts: Vec<FakeHost>, config: Config, policy: RepairPolicy) -> Cluster {
        let now = Instant::now() + Duration::from_secs(1000);
        let timing = policy.timing;
        let mut cluster = Cluster {
            now,
            table: Table::default(),
            nodes: Vec::new(),
            hosts: hosts.into_iter().map(|h| (h.entry.id.clone(), h)).collect(),
            entry: EvidenceStore::new(),
            evidence_delay: Duration::from_millis(20),
            partition: None,
            in_flight: Vec::new(),
            oracle: Oracle::default(),
            late_orders: Vec::new(),
            config: Arc::new(config),
            policy,
            timing,
        };
        for n in 0..2 {
            cluster.nodes.push(node(n, 1, timing));
        }
        cluster
    }

    /// Runs one step: time advances, nodes renew, plan and watch, evidence is delivered.
    pub(crate) fn step(&mut self, time: Duration) {
        self.now += time;
        for host in self.hosts.values_mut() {
            host.advance(self.now);
            if host.is_up() && host.bytes_to_load > 0 {
                host.load(u64::MAX / 2);
            }
        }
        self.apply_delayed();
        for n in 0..self.nodes.len() {
            if !self.nodes[n].paused {
                self.node_step(n);
            }
        }
        self.oracle.record_hosts(&self.hosts, self.now);
        self.deliver_evidence();
        self.oracle
            .check(&self.table, &self.hosts, &self.entry, self.now);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(Duration::from_millis(250));
        }
    }

    /// Steps until `done` holds or the timeout has passed; returns whether it holds.
    pub(crate) fn run_until(&mut self, timeout: Duration, done: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end && !done(self) {
            self.step(Duration::from_millis(250));
        }
        done(self)
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    /// Applies another configuration at both nodes.
    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = (*self.config).clone();
        change(&mut config);
        self.config = Arc::new(config);
        for view in self.nodes.iter_mut().filter_map(|n| n.view.as_mut()) {
            view.config = self.config.clone();
        }
    }

    /// Names of the groups that the entry host would serve now.
    pub(crate) fn served(&self) -> Vec<SmolStr> {
        let groups = self.entry.groups();
        groups
            .filter(|g| self.entry.serving(g, self.now).is_ok())
            .cloned()
            .collect()
    }

    /// Index of the node named as planner in the table.
    pub(crate) fn planner(&self) -> Option<usize> {
        let (row, _) = self.table.planner()?;
        self.nodes.iter().position(|n| n.row.node == row.node)
    }

    /// Pauses a node just after it has checked its lease for an order, if one is given.
    pub(crate) fn pause_with_order(&mut self, n: usize, order: Option<Order>) {
        let node = &mut self.nodes[n];
        node.paused = true;
        let proof = node.lease.check(self.now).ok();
        node.pending_order = order.zip(proof);
    }

    /// Resumes a node, which first sends its pending order.
    pub(crate) fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        if let Some((order, proof)) = self.nodes[n].pending_order.take() {
            self.deliver(n, &order, proof);
        }
    }

    fn apply_delayed(&mut self) {
        if self.table.is_down() {
            return;
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.table.delayed)
            .into_iter()
            .partition(|l| l.0 <= now);
        self.table.delayed = later;
        let due: Vec<(Instant, Transaction, SmolStr)> = due;
        for (_, transaction, by) in due {
            self.apply(&transaction, &by);
        }
    }

    fn apply(&mut self, transaction: &Transaction, by: &str) -> bool {
        let planner = self.table.planner().map(|(row, _)| row.node);
        let applied = self.table.apply(transaction);
        if applied {
            self.oracle
                .record_commit(transaction, by, planner.as_deref());
        }
        applied
    }

    fn commit(&mut self, n: usize, transaction: Transaction) -> Answer {
        let by = self.nodes[n].row.node.clone();
        match self.table.fault.unwrap_or(TableFault::NoFault) {
            TableFault::Unavailable => Answer::Unknown,
            TableFault::Delayed(time) => {
                self.table.fault = None;
                self.table.delayed.push((self.now + time, transaction, by));
                Answer::Unknown
            }
            TableFault::ResponseLost => {
                self.table.fault = None;
                self.apply(&transaction, &by);
                Answer::Unknown
            }
            TableFault::NoFault if self.apply(&transaction, &by) => Answer::Committed,
            TableFault::NoFault => Answer::Conflict,
        }
    }

    fn node_step(&mut self, n: usize) {
        if !self.table.is_down() {
            self.renew(n);
            self.observe_leases(n);
            self.try_takeover(n);
        }
        self.watch(n);
        if self.is_planner(n) {
            self.plan(n);
        }
    }

    /// Writes the node's lease row; if the row was deleted, another node has taken over.
    fn renew(&mut self, n: usize) {
        let key = node_key(&self.nodes[n].row.node);
        let known = self.table.node(&self.nodes[n].row.node);
        let own_row = known
            .as_ref()
            .filter(|(row, _)| row.incarnation == self.nodes[n].row.incarnation);
        let held = self.nodes[n].lease.row_version().is_some();
        if held && own_row.is_none() {
            let incarnation = self.nodes[n].row.incarnation + 1;
            self.nodes[n] = node(n, incarnation, self.timing);
        }
        let version = known.map_or(0, |(_, version)| version);
        let mut row = self.nodes[n].row.clone();
        row.renewals += 1;
        let transaction = Transaction::new()
            .expect(key.clone(), version)
            .put(key.clone(), RowValue::Node(row.clone()));
        let sent = self.now;
        if matches!(self.commit(n, transaction), Answer::Committed) {
            self.nodes[n].row = row;
            let version = self.table.version(&key);
            self.nodes[n].lease.record_renewal(sent, version);
        } else {
            // After a lost response the next read shows the result. It was written at `sent` or
            // before, so keeping the term of the earlier renewal is safe.
            self.nodes[n].row.renewals += 1;
        }
    }

    fn observe_leases(&mut self, n: usize) {
        for other in 0..self.nodes.len() {
            let name = self.nodes[other].row.node.clone();
            if let Some((_, version)) = self.table.node(&name).filter(|_| other != n) {
                let now = self.now;
                self.nodes[n].observer.observe(&name, version, now);
            }
        }
    }

    fn try_takeover(&mut self, n: usize) {
        let Some(own_version) = self.nodes[n].lease.row_version() else {
            return;
        };
        let planner = self.table.planner();
        let holder = planner
            .as_ref()
            .and_then(|(row, _)| self.table.node(&row.node));
        let seen = ObservedPlanner { planner, holder };
        let node = &self.nodes[n];
        let Ok(step) = takeover(&node.row, own_version, &seen, &node.observer) else {
            return;
        };
        if matches!(self.commit(n, step.transaction), Answer::Committed) {
            let quiet = self.now + step.quiet_period;
            let name = self.nodes[n].row.node.clone();
            let view = FleetView::new(name, REGION, self.config.clone(), quiet);
            self.nodes[n].view = Some(view);
        }
    }

    fn is_planner(&mut self, n: usize) -> bool {
        self.nodes[n].view.is_some() && self.nodes[n].lease.valid_at(self.now)
    }

    fn can_reach(&self, n: usize, host: &str) -> bool {
        let partition = self.partition.as_ref();
        self.hosts[host].is_up() && !partition.is_some_and(|(node, h)| *node == n && h == host)
    }

    fn watch(&mut self, n: usize) {
        let now = self.now;
        if !self.table.is_down() {
            let rows: Vec<GroupRow> = self.table.groups().cloned().collect();
            for row in &rows {
                let watch = self.nodes[n].watches.entry(row.group.clone());
                watch
                    .or_insert_with(|| GroupWatch::new(row.clone()))
                    .set_row(row.clone());
                self.entry.on_row(row);
            }
        }
        let mut watches = std::mem::take(&mut self.nodes[n].watches);
        for watch in watches.values_mut() {
            let members = watch.row().members.clone();
            for host in members.iter().filter(|h| self.can_reach(n, h)) {
                watch.on_report(&self.hosts[host].report(), now);
            }
            self.push_evidence(n, watch);
        }
        self.nodes[n].watches = watches;
    }

    fn push_evidence(&mut self, n: usize, watch: &mut GroupWatch) {
        let (verdict, oldest) = watch.verdict(self.now);
        let node = &mut self.nodes[n];
        node.sequence += 1;
        let row = watch.row();
        let evidence = Evidence {
            watcher: node.row.node.clone(),
            incarnation: node.row.incarnation,
            sequence: node.sequence,
            group: row.group.clone(),
            epoch: row.epoch,
            lead: row.members[0].clone(),
            verdict,
            age: self.now - oldest,
        };
        self.in_flight.push((self.now, evidence));
    }

    fn deliver_evidence(&mut self) {
        let now = self.now;
        let delay = self.evidence_delay;
        let ready = |(sent, _): &(Instant, Evidence)| *sent + delay <= now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(ready);
        self.in_flight = later;
        let due: Vec<(Instant, Evidence)> = due;
        // Newest first: overtaken messages must have no effect.
        for (sent, mut evidence) in due.into_iter().rev() {
            evidence.age += now - sent;
            self.entry.on_evidence(&evidence, now);
        }
    }

    fn plan(&mut self, n: usize) {
        let Some(mut view) = self.nodes[n].view.take() else {
            return;
        };
        self.update_view(n, &mut view);
        for action in plan(&view, &self.policy, self.now) {
            if let Some(transaction) = action.transaction() {
                self.commit_planned(n, transaction.clone());
            }
            if let Some(order) = action.order() {
                let Ok(proof) = self.nodes[n].lease.check(self.now) else {
                    break;
                };
                view.on_order_sent(order, self.now);
                self.deliver(n, order, proof);
            }
        }
        self.nodes[n].view = Some(view);
    }

    fn commit_planned(&mut self, n: usize, transaction: Transaction) {
        let node = &self.nodes[n];
        let Some(own) = node.lease.row_version() else {
            return;
        };
        let planner = self.table.planner();
        let own_row = planner.filter(|(row, _)| row.node == node.row.node);
        let version = own_row.map_or(0, |(_, version)| version);
        let name = node.row.node.clone();
        let guarded = transaction.under_lease(&name, own, REGION, version);
        self.commit(n, guarded);
    }

    fn update_view(&mut self, n: usize, view: &mut FleetView) {
        let now = self.now;
        let entries: Vec<HostEntry> = self.hosts.values().map(|h| h.entry.clone()).collect();
        view.on_host_list(&entries, now);
        if !self.table.is_down() {
            let names: Vec<SmolStr> = self.table.groups().map(|g| g.group.clone()).collect();
            for (version, value) in self.table.rows.values() {
                match value {
                    RowValue::Host(row) => view.on_host_row(row, *version, now),
                    RowValue::Group(row) => view.on_group_row(row, *version, now),
                    _ => {}
                }
            }
            let known: Vec<SmolStr> = view.groups.keys().cloned().collect();
            for group in known.iter().filter(|g| !names.contains(g)) {
                view.on_group_removed(group);
            }
        }
        for host in self.hosts.keys().filter(|h| self.can_reach(n, h)) {
            view.on_report(&self.hosts[host].report(), now);
        }
        // The planner uses the findings of all watchers: another one may have seen a group whole,
        // and then a member restart, between two of the planner's own probes.
        let epochs: Vec<(SmolStr, u64)> = view
            .groups
            .values()
            .map(|g| (g.row.group.clone(), g.row.epoch))
            .collect();
        for (group, epoch) in epochs {
            let serving = self.entry.serving(&group, now);
            let serving = serving.is_ok_and(|s| s.epoch == epoch);
            let restarted = self.entry.restarted(&group, epoch).cloned();
            view.on_serving(&group, epoch, serving, restarted.as_ref(), now);
        }
    }

    /// Sends an order and records it if the check after sending fails.
    fn deliver(&mut self, n: usize, order: &Order, proof: LeaseProof) {
        let is_late = self.nodes[n].lease.confirm(proof, self.now).is_err();
        if is_late {
            self.late_orders.push(order.clone());
        }
        if !self.can_reach(n, &order.host) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(&order.host) {
            let before = host.placement.as_ref().map(|p| p.epoch);
            host.obey(order, 1);
            let after = host.placement.as_ref().map(|p| p.epoch);
            self.oracle
                .check_order(order, host.checks_orders, before, after);
        }
    }
}

fn node(n: usize, incarnation: u64, timing: LeaseTiming) -> Node {
    Node {
        row: NodeRow {
            node: format_smolstr!("n{n}"),
            incarnation,
            renewals: 0,
            caller: "127.0.0.1:1".into(),
            peer: "127.0.0.1:2".into(),
            admin: "127.0.0.1:3".into(),
            failure_domain: format_smolstr!("d{n}"),
            region: REGION.into(),
            state: NodeState::Serving,
        },
        lease: HeldLease::new(timing, incarnation),
        observer: LeaseObserver::new(timing),
        view: None,
        paused: false,
        pending_order: None,
        watches: BTreeMap::new(),
        sequence: 0,
    }
}
