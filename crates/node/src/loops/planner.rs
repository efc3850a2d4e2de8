//! Planning a region: becoming its planner, and carrying out what the plan says.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{GroupId, HostEntry, HostState, NodeId, RowVersion};
use eelgrassmill_config::ServiceKind;
use eelgrassmill_group::{
    Action, FleetView, FreeReason, GROUP_PREFIX, GroupPhase, GroupRow, GroupStatus, HOST_PREFIX,
    HostRow, HostStatus, NodeState, ObservedPlanner, PlannerRow, RepairPolicy, RowValue, Takeover,
    Transaction, node_key, plan, planner_key, takeover, weights_name,
};
use eelgrassmill_peer::PeerNode;
use eelgrassmill_stores::{
    CommitStatus, RetryLimits, Table, TableError, WeightStore, commit_with_retry,
};
use eelgrassmill_timeline::EventKind;
use smol_str::{SmolStr, format_smolstr};

use super::contender::is_contender;
use super::orders::OrderPool;
use super::probe::ProbePool;
use super::reader::Seen;
use super::rows::{decode, scan, txn};
use crate::group_rows::{self, Teller};
use crate::peers::Peers;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Rounds between two readings of the weight store.
const WEIGHTS_EVERY: u32 = 40;
/// Rounds between two scans of the rows while nothing is in change.
///
/// The planner writes these rows itself, and each of its transactions is conditional
/// on the versions that it read: an old view costs a transaction that fails.
const SCAN_EVERY: u32 = 4;
/// Rounds between two probes of hosts that no change concerns.
const CALM_EVERY: u32 = 2;

/// Steps in one full round. In the steps between, a planner with something under
/// way plans again from the rows and the reports that have come: mending a group
/// takes five steps one after the other, and each full round is down time.
const STEPS_PER_ROUND: u32 = 5;

/// What a planner keeps while it plans.
struct Planning {
    view: FleetView,
    policy: RepairPolicy,
    /// Version of the planner row that names this start of this node.
    version: RowVersion,
    round: u32,
    /// Whether the next round scans the rows though it isn't its turn.
    unsettled: bool,
}

/// Plans the region while this node is its planner.
pub(crate) struct Planner {
    core: Arc<Core>,
    seen: Arc<Mutex<Seen>>,
    pool: Arc<ProbePool>,
    peer: Arc<PeerNode<Peers>>,
    teller: Teller,
    steps: u32,
    orders: OrderPool,
    planning: Option<Planning>,
}

impl Planner {
    pub(crate) fn new(
        core: Arc<Core>,
        seen: Arc<Mutex<Seen>>,
        pool: Arc<ProbePool>,
        peer: Arc<PeerNode<Peers>>,
    ) -> Planner {
        Planner {
            orders: OrderPool::start(&core),
            core,
            seen,
            pool,
            peer,
            teller: Teller::default(),
            steps: 0,
            planning: None,
        }
    }

    /// One step; every fifth is a full round.
    pub(crate) fn step(&mut self) {
        let full = self.steps.is_multiple_of(STEPS_PER_ROUND);
        self.steps = self.steps.wrapping_add(1);
        let hurries = self.planning.as_ref().is_some_and(|p| p.unsettled);
        if !full && !hurries {
            return;
        }
        self.note_planner();
        if !self.core.holds_lease() {
            return self.lost();
        }
        if self.core.is_leaving() {
            return self.give_up();
        }
        if self.planning.is_none() {
            self.try_takeover();
        }
        if let Some(mut planning) = self.planning.take() {
            match self.round(&mut planning, full) {
                Ok(true) => self.planning = Some(planning),
                Ok(false) => self.note_lost(),
                Err(err) => {
                    tracing::debug!(%err, "no round of planning");
                    self.planning = Some(planning);
                }
            }
        }
    }

    fn note_planner(&self) {
        let named = lock(&self.seen)
            .planner
            .as_ref()
            .map(|(row, _)| row.node.clone());
        *lock(&self.core.planner) = named;
    }

    fn lost(&mut self) {
        if self.planning.take().is_some() {
            self.note_lost();
        }
    }

    fn note_lost(&mut self) {
        self.teller.end(&self.peer);
        let region = self.core.ident.region.clone();
        self.core.journal.note(EventKind::PlannerLost { region });
    }

    /// Deletes the planner row, so that another node may take over at once.
    pub(crate) fn give_up(&mut self) {
        let Some(planning) = self.planning.take() else {
            return;
        };
        self.orders.finish();
        let key = planner_key(&self.core.ident.region);
        let transaction = Transaction::new()
            .expect(key.clone(), planning.version)
            .put(key, RowValue::Absent);
        let txn = txn(self.core.ident.unique(), &transaction);
        if let Err(err) = self.core.platform.table.commit(&txn) {
            tracing::warn!(%err, "planner row not given back");
        }
        self.note_lost();
    }

    fn try_takeover(&mut self) {
        if self.is_named() {
            // The lease lapsed and came back, and nobody took the region meanwhile.
            // Without this the row would name a planner that doesn't plan, and
            // that no other node may unseat, since its lease is held.
            return self.begin(self.core.timing.order_transit, None);
        }
        if !is_contender(&self.core, &lock(&self.seen)) {
            return;
        }
        let Some(own_version) = lock(&self.core.lease).row_version() else {
            return;
        };
        let own = self.core.ident.row(NodeState::Serving, 0);
        let (seen, wanted) = {
            let seen = lock(&self.seen);
            let planner = seen.planner.clone();
            let holder = planner
                .as_ref()
                .and_then(|(row, _)| lock(&self.core.fleet).nodes.get(&row.node).cloned());
            let known = ObservedPlanner { planner, holder };
            let wanted = takeover(&own, own_version, &known, &seen.observer);
            (known, wanted)
        };
        let Ok(Takeover {
            transaction,
            quiet_period,
        }) = wanted
        else {
            return;
        };
        let from: Option<NodeId> = seen.planner.map(|(row, _)| row.node);
        let txn = txn(self.core.ident.unique(), &transaction);
        match commit_with_retry(&self.core.platform.table, &txn, &RetryLimits::default()) {
            Ok(CommitStatus::Committed) => self.begin(quiet_period, from),
            Ok(_) => {}
            Err(err) => tracing::error!(%err, "takeover is not a settled transaction"),
        }
    }

    /// Whether the planner row names this start of this node.
    fn is_named(&self) -> bool {
        let seen = lock(&self.seen);
        let ident = &self.core.ident;
        seen.planner
            .as_ref()
            .is_some_and(|(row, _)| row.node == ident.node && row.incarnation == ident.incarnation)
    }

    fn begin(&mut self, quiet_period: Duration, from: Option<NodeId>) {
        let ident = &self.core.ident;
        let row = match self.core.platform.table.get(&planner_key(&ident.region)) {
            Ok(row) => row.as_ref().and_then(decode::<PlannerRow>),
            // The next round finds that the row names this node.
            Err(_) => None,
        };
        let Some((row, version)) = row else {
            return;
        };
        if row.node != ident.node || row.incarnation != ident.incarnation {
            return;
        }
        let cfg = self.core.config.config();
        let quiet_until = Instant::now() + quiet_period;
        let policy = RepairPolicy {
            timing: self.core.timing,
            ..RepairPolicy::new(cfg.repair)
        };
        self.planning = Some(Planning {
            view: FleetView::new(ident.node.clone(), ident.region.clone(), cfg, quiet_until),
            policy,
            version,
            round: 0,
            unsettled: true,
        });
        let region = ident.region.clone();
        self.core
            .journal
            .note(EventKind::PlannerTaken { region, from });
    }

    /// One round of planning; false when the region is another's.
    fn round(&mut self, planning: &mut Planning, full: bool) -> Result<bool, TableError> {
        let table = &self.core.platform.table;
        let key = planner_key(&self.core.ident.region);
        let row = table.get(&key)?;
        if row.map(|r| r.version) != Some(planning.version) {
            return Ok(false);
        }
        if planning.unsettled || planning.round.is_multiple_of(SCAN_EVERY) {
            self.scan_rows(&mut planning.view)?;
        }
        self.refresh(planning, full);
        let actions = plan(&planning.view, &planning.policy, Instant::now());
        planning.unsettled = !actions.is_empty() || !is_settled(&planning.view);
        for action in actions {
            self.carry_out(planning, action);
        }
        if full {
            self.delete_lapsed_nodes(planning);
            planning.round = planning.round.wrapping_add(1);
        }
        Ok(true)
    }

    fn scan_rows(&mut self, view: &mut FleetView) -> Result<(), TableError> {
        let table = &self.core.platform.table;
        let hosts: Vec<(HostRow, RowVersion)> = scan(table, HOST_PREFIX)?;
        let began = Instant::now();
        let groups: Vec<(GroupRow, RowVersion)> = scan(table, GROUP_PREFIX)?;
        self.teller.tell(&self.core, &self.peer, &groups);
        let now = Instant::now();
        for (row, version) in &hosts {
            view.on_host_row(row, *version, now);
        }
        for (row, version) in &groups {
            view.on_group_row(row, *version, now);
        }
        let listed: BTreeSet<&SmolStr> = groups.iter().map(|(row, _)| &row.group).collect();
        let known = view.groups.keys();
        let gone: Vec<SmolStr> = known.filter(|g| !listed.contains(*g)).cloned().collect();
        for group in gone {
            view.on_group_removed(&group);
        }
        group_rows::scanned(&self.core, groups, began);
        Ok(())
    }

    fn refresh(&self, planning: &mut Planning, full: bool) {
        let now = Instant::now();
        let cfg = self.core.config.config();
        let view = &mut planning.view;
        planning.policy.weight = cfg.repair;
        view.config = cfg;
        let entries = self.entries(view);
        if !entries.is_empty() {
            view.on_host_list(&entries, now);
        }
        if full && planning.round.is_multiple_of(WEIGHTS_EVERY) {
            self.read_weights(view);
        }
        self.take_evidence(view, now);
        self.take_reports(view);
        if full {
            self.probe(planning.round, view);
        }
    }

    /// The host list, with the hosts that the text asks to empty marked as leaving.
    fn entries(&self, view: &FleetView) -> Vec<HostEntry> {
        let fleet = lock(&self.core.fleet);
        let mut entries: Vec<HostEntry> = fleet.hosts.values().cloned().collect();
        for entry in &mut entries {
            if view.config.is_target_draining(&entry.id) {
                entry.state = HostState::Leaving;
            }
        }
        entries
    }

    fn take_evidence(&self, view: &mut FleetView, now: Instant) {
        let whole = lock(&self.core.whole);
        let rows: Vec<(SmolStr, u64)> = view
            .groups
            .iter()
            .map(|(group, facts)| (group.clone(), facts.row.epoch))
            .collect();
        for (group, epoch) in rows {
            let serving = whole.serving(&group, now);
            let serving = serving.is_ok_and(|s| s.epoch == epoch);
            let restarted = whole.restarted(&group, epoch).cloned();
            view.on_serving(&group, epoch, serving, restarted.as_ref(), now);
        }
    }

    fn take_reports(&self, view: &mut FleetView) {
        let hosts: Vec<SmolStr> = view.hosts.keys().cloned().collect();
        for host in hosts {
            if let Some(answered) = self.core.reports.get(&host) {
                view.on_report(&answered.report, answered.sent);
            }
        }
    }

    /// Asks hosts for newer reports.
    ///
    /// Hosts in the middle of a change are asked each round; those of a serving
    /// group and spares less often, since their watchers see to them.
    fn probe(&self, round: u32, view: &FleetView) {
        let hosts: Vec<SmolStr> = view.hosts.keys().cloned().collect();
        let calm_too = round.is_multiple_of(CALM_EVERY);
        for host in hosts {
            let Some(facts) = view.hosts.get(&host) else {
                continue;
            };
            let group = facts.row.group.as_ref();
            let in_change = group.is_some_and(|g| view.groups.get(g).is_none_or(|f| !f.serving));
            let Some(entry) = &facts.entry else { continue };
            if in_change || calm_too {
                self.pool.ask(&host, entry.address.clone());
            }
        }
    }

    fn read_weights(&self, view: &mut FleetView) {
        let cfg = view.config.clone();
        for service in cfg.services.values() {
            let ServiceKind::Model(model) = &service.kind else {
                continue;
            };
            let info = self
                .core
                .platform
                .weights
                .info(&model.model, &model.version);
            if let Ok(Some(info)) = info {
                let name = weights_name(&model.model, &model.version);
                view.weights.insert(name, info.bytes);
                view.store_rate = info.bytes_per_second;
            }
        }
    }

    fn carry_out(&self, planning: &mut Planning, action: Action) {
        if let Some(order) = action.order() {
            let address = lock(&self.core.fleet).address(&order.host);
            if let Some(address) = address
                && self.orders.send(order.clone(), address)
            {
                planning.view.on_order_sent(order, Instant::now());
            }
            return;
        }
        let Some(transaction) = action.transaction() else {
            return;
        };
        if self.commit(planning.version, transaction.clone()) {
            self.note(&planning.view, &action);
        }
    }

    /// Commits under the lease as it is now; a lost race is planned anew.
    fn commit(&self, planner_version: RowVersion, transaction: Transaction) -> bool {
        let ident = &self.core.ident;
        let node_version = {
            let lease = lock(&self.core.lease);
            match lease.check(Instant::now()) {
                Ok(_) => lease.row_version(),
                Err(_) => None,
            }
        };
        let Some(node_version) = node_version else {
            return false;
        };
        let transaction =
            transaction.under_lease(&ident.node, node_version, &ident.region, planner_version);
        let txn = txn(ident.unique(), &transaction);
        match commit_with_retry(&self.core.platform.table, &txn, &RetryLimits::default()) {
            Ok(settled) => settled == CommitStatus::Committed,
            Err(err) => {
                tracing::error!(%err, "plan is not a settled transaction");
                false
            }
        }
    }

    fn note(&self, view: &FleetView, action: &Action) {
        let journal = &self.core.journal;
        match action {
            Action::FormGroup { row, .. } => {
                journal.note(EventKind::GroupForming {
                    group: row.group.clone(),
                    epoch: row.epoch,
                    version: row.version.clone(),
                    members: row.members.clone(),
                });
                for host in &row.members {
                    journal.note(EventKind::HostTaken {
                        host: host.clone(),
                        group: row.group.clone(),
                        epoch: row.epoch,
                    });
                }
            }
            Action::EndGroup { group, reason, .. } => {
                let fleet = lock(&self.core.fleet);
                let epoch = fleet.groups.get(group).map_or(0, |(row, _)| row.epoch);
                journal.note(EventKind::GroupEnding {
                    group: group.clone(),
                    epoch,
                    reason: format_smolstr!("{reason:?}"),
                });
            }
            Action::FreeHost { host, reason, .. } => journal.note(EventKind::HostFreed {
                host: host.clone(),
                group: group_of(view, host),
                reason: match reason {
                    FreeReason::Confirmed => "its own report".into(),
                    FreeReason::OrdersExpired => "outlived".into(),
                },
            }),
            Action::RemoveGroup { .. } | Action::SendJoin { .. } | Action::SendLeave { .. } => {}
        }
    }

    /// Deletes the rows of nodes whose lease was seen to lapse.
    ///
    /// A row of a dead node would count as an entry that shares the slots and
    /// as the live owner of its claims. A node that was only paused notices
    /// that its row is gone and joins anew.
    fn delete_lapsed_nodes(&self, planning: &Planning) {
        let lapsed: Vec<(NodeId, RowVersion)> = {
            let seen = lock(&self.seen);
            let fleet = lock(&self.core.fleet);
            let rows = fleet.nodes.values();
            rows.filter(|(row, version)| {
                !self.core.is_me(&row.node) && seen.observer.has_expired(&row.node, *version)
            })
            .map(|(row, version)| (row.node.clone(), *version))
            .collect()
        };
        for (node, version) in lapsed {
            let key = node_key(&node);
            let transaction = Transaction::new()
                .expect(key.clone(), version)
                .put(key, RowValue::Absent);
            if self.commit(planning.version, transaction) {
                let reason = "lease lapsed".into();
                let peer = node;
                self.core.journal.note(EventKind::NodeLeft { peer, reason });
            }
        }
    }
}

/// Whether every group serves, and every host that a row names belongs to one.
fn is_settled(view: &FleetView) -> bool {
    let serves = |g: &GroupStatus| g.serving && g.row.phase == GroupPhase::Formed;
    let belongs = |h: &HostStatus| {
        let group = h.row.group.as_ref();
        group.is_none_or(|g| view.groups.contains_key(g))
    };
    view.groups.values().all(serves) && view.hosts.values().all(belongs)
}

/// The group that a host was bound to; empty for none.
fn group_of(view: &FleetView, host: &str) -> GroupId {
    let group = view.hosts.get(host).and_then(|h| h.row.group.clone());
    group.unwrap_or_default()
}
