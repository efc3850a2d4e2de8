//! The planner's view of its region.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{
    Epoch, GroupId, HostEntry, HostId, HostReport, HostState, NodeId, Order, OrderKind, Region,
    RowVersion, ServiceName, TargetKind,
};
use eelgrassmill_config::Config;
use smol_str::SmolStr;

use crate::plan::recovery::{FailureScope, Recovery, RecoveryModel};
use crate::rows::{GroupPhase, GroupRow, HostRow};

/// Number of missing hosts of one fabric domain from which their failures count as correlated.
pub(crate) const CORRELATED_HOSTS: usize = 4;

/// Observed state of one host.
#[derive(Clone, Debug)]
pub struct HostStatus {
    /// Its entry in the host list; `None` if not listed.
    pub entry: Option<HostEntry>,
    /// Its row; that of a host never bound if it has none.
    pub row: HostRow,
    /// The row's version; 0 if it has none.
    pub row_version: RowVersion,
    /// When this row version was first observed.
    pub row_since: Instant,
    /// Its newest report.
    pub report: Option<HostReport>,
    /// When the probe that returned the report was sent.
    pub probe_sent: Option<Instant>,
    /// When the host was first observed.
    pub first_seen: Instant,
    /// When this planner last sent it a `Join`.
    pub join_sent: Option<Instant>,
    /// The last order that this planner sent to it, and when.
    pub order_sent: Option<(OrderKind, Epoch, Instant)>,
}

/// Observed state of one group.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Its row.
    pub row: GroupRow,
    /// The row's version.
    pub row_version: RowVersion,
    /// When this epoch and phase were first observed.
    pub since: Instant,
    /// Whether it serves, according to the evidence.
    pub serving: bool,
    /// Whether it was observed to serve in this epoch.
    pub served: bool,
    /// Since when it hasn't served; valid while it doesn't.
    pub down_since: Instant,
    /// Since when it has served; valid while it does.
    pub up_since: Instant,
    /// A member that restarted after this epoch was whole.
    pub restarted: Option<HostId>,
}

/// The view of one region's planner, updated by events.
///
/// A view that lags behind the table leads to a failed transaction and never to a wrong one, since
/// the row versions kept here are preconditions of every transaction.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The planner's node.
    pub node: NodeId,
    /// The planned region.
    pub region: Region,
    /// All regions in the host list.
    pub regions: BTreeSet<Region>,
    /// The accepted configuration.
    pub config: Arc<Config>,
    /// Hosts of the region, and others still bound to a group of the region.
    pub hosts: BTreeMap<HostId, HostStatus>,
    /// Groups by name.
    pub groups: BTreeMap<GroupId, GroupStatus>,
    /// Number of groups that each service needs for its current demand.
    pub demand: BTreeMap<ServiceName, u32>,
    /// Size of each model version in the weight store, in bytes.
    pub weights: BTreeMap<SmolStr, u64>,
    /// Throughput of the weight store over all loads, in bytes per second.
    pub store_rate: u64,
    /// Maximum load rate of one host, in bytes per second; 0 if unknown.
    pub host_rate: u64,
    /// Until when an order of the previous planner may be in flight; see [`crate::Takeover`].
    pub quiet_until: Instant,
    /// Distribution of failure durations.
    pub recovery_model: RecoveryModel,
    /// Time without a probe response after which a host counts as missing.
    pub detection_timeout: Duration,
}

impl FleetView {
    /// Creates a view that contains only the configuration.
    pub fn new(
        node: impl Into<NodeId>,
        region: impl Into<Region>,
        config: Arc<Config>,
        quiet_until: Instant,
    ) -> FleetView {
        FleetView {
            node: node.into(),
            region: region.into(),
            regions: BTreeSet::new(),
            config,
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            demand: BTreeMap::new(),
            weights: BTreeMap::new(),
            store_rate: 0,
            host_rate: 0,
            quiet_until,
            recovery_model: RecoveryModel::new(),
            detection_timeout: Duration::from_secs(2),
        }
    }

    /// Updates the view from the complete host list.
    pub fn on_host_list(&mut self, entries: &[HostEntry], now: Instant) {
        self.regions = entries.iter().map(|e| e.region.clone()).collect();
        let mut listed = BTreeSet::new();
        for entry in entries {
            if entry.region != self.region || entry.kind != TargetKind::Engine {
                continue;
            }
            listed.insert(entry.id.clone());
            self.host_mut(&entry.id, now).entry = Some(entry.clone());
        }
        let dropped: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(id, host)| host.entry.is_some() && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in dropped {
            self.drop_from_list(&id, now);
        }
    }

    /// Updates a host from its row.
    pub fn on_host_row(&mut self, row: &HostRow, version: RowVersion, now: Instant) {
        let host = self.host_mut(&row.host, now);
        if version > host.row_version {
            host.row = row.clone();
            host.row_version = version;
            host.row_since = now;
        }
    }

    /// Updates a group from its row.
    pub fn on_group_row(&mut self, row: &GroupRow, version: RowVersion, now: Instant) {
        let fresh = || GroupStatus {
            row: row.clone(),
            row_version: version,
            since: now,
            serving: false,
            served: false,
            down_since: now,
            up_since: now,
            restarted: None,
        };
        let Some(group) = self.groups.get_mut(&row.group) else {
            self.groups.insert(row.group.clone(), fresh());
            return;
        };
        if version <= group.row_version {
            return;
        }
        if row.epoch != group.row.epoch {
            let down_since = group.down_since;
            let serving = group.serving;
            *group = fresh();
            if !serving {
                group.down_since = down_since;
            }
            return;
        }
        if row.phase != group.row.phase {
            group.since = now;
        }
        group.row = row.clone();
        group.row_version = version;
    }

    /// Removes a group whose row a complete scan of the group rows no longer contains.
    pub fn on_group_removed(&mut self, group: &str) {
        self.groups.remove(group);
    }

    /// Records a host's report in response to a probe sent at `sent`.
    pub fn on_report(&mut self, report: &HostReport, sent: Instant) {
        let detection_timeout = self.detection_timeout;
        let Some(host) = self.hosts.get(&report.host) else {
            return;
        };
        if host.probe_sent.is_some_and(|known| known >= sent) {
            return;
        }
        let outage = host.probe_sent.map(|known| sent.duration_since(known));
        let known = host.report.as_ref().map(|r| r.incarnation);
        if let Some(outage) = outage.filter(|outage| *outage > detection_timeout) {
            let scope = self.failure_scope(&report.host, sent);
            let recovery = if known == Some(report.incarnation) {
                Recovery::Intact
            } else {
                Recovery::Reusable
            };
            self.recovery_model.record(scope, recovery, outage);
        }
        if let Some(host) = self.hosts.get_mut(&report.host) {
            host.probe_sent = Some(sent);
            // Most reports equal the previous one.
            if host.report.as_ref() != Some(report) {
                host.report = Some(report.clone());
            }
        }
    }

    /// Records the evidence about a group's epoch: [`crate::EvidenceStore::serving`] and
    /// [`crate::EvidenceStore::restarted`] of a store that receives all watchers' findings.
    ///
    /// The planner's own probes are not enough. Another watcher may have found the group whole just
    /// before a member restarted; it keeps the group out of service from then on, and the planner
    /// would never see the reason.
    pub fn on_serving(
        &mut self,
        group: &str,
        epoch: Epoch,
        serving: bool,
        restarted: Option<&HostId>,
        now: Instant,
    ) {
        let Some(status) = self.groups.get_mut(group) else {
            return;
        };
        if status.row.epoch != epoch {
            return;
        }
        if status.serving && !serving {
            status.down_since = now;
        }
        if !status.serving && serving {
            status.up_since = now;
        }
        status.serving = serving;
        status.served |= serving;
        status.restarted = restarted.cloned();
    }

    /// Records that an order was sent.
    pub fn on_order_sent(&mut self, order: &Order, now: Instant) {
        let Some(host) = self.hosts.get_mut(&order.host) else {
            return;
        };
        host.order_sent = Some((order.kind, order.placement.epoch, now));
        if order.kind == OrderKind::Join {
            host.join_sent = Some(now);
        }
    }

    /// Scope of the failure that a host's silence at `now` belongs to.
    pub fn failure_scope(&self, host: &str, now: Instant) -> FailureScope {
        let domain = |h: &HostStatus| h.entry.as_ref().map(|e| e.fabric_domain.clone());
        let Some(own) = self.hosts.get(host).and_then(domain) else {
            return FailureScope::Isolated;
        };
        let silent = |h: &&HostStatus| {
            h.entry.as_ref().is_some_and(|e| e.fabric_domain == own)
                && h.silent_for(now) > self.detection_timeout
        };
        if self
            .hosts
            .values()
            .filter(silent)
            .take(CORRELATED_HOSTS)
            .count()
            == CORRELATED_HOSTS
        {
            FailureScope::Correlated
        } else {
            FailureScope::Isolated
        }
    }

    fn host_mut(&mut self, id: &HostId, now: Instant) -> &mut HostStatus {
        let fresh = || HostStatus {
            entry: None,
            row: HostRow::new(id.clone()),
            row_version: 0,
            row_since: now,
            report: None,
            probe_sent: None,
            first_seen: now,
            join_sent: None,
            order_sent: None,
        };
        self.hosts.entry(id.clone()).or_insert_with(fresh)
    }

    fn drop_from_list(&mut self, id: &HostId, now: Instant) {
        let scope = self.failure_scope(id, now);
        let detection_timeout = self.detection_timeout;
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let leaving = host.is_leaving();
        host.entry = None;
        if host.silent_for(now) > detection_timeout && !leaving {
            self.recovery_model.record_permanent(scope);
        }
    }
}

impl HostStatus {
    /// Time since the last probe that it answered was sent.
    pub fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.probe_sent.unwrap_or(self.first_seen))
    }

    /// Whether the host list or the host's report marks it as leaving.
    pub fn is_leaving(&self) -> bool {
        let listed = self.entry.as_ref().map(|e| e.state);
        let reported = self.report.as_ref().is_some_and(|r| r.leaving);
        listed == Some(HostState::Leaving) || reported
    }

    /// Whether it holds the weights `MODEL@VERSION`.
    pub fn is_warm(&self, weights: &str) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|r| r.warm.iter().any(|w| w == weights))
    }

    /// Whether its row binds it to this group in this epoch.
    pub fn is_bound_to(&self, row: &GroupRow) -> bool {
        self.row.epoch == row.epoch && self.row.group.as_ref() == Some(&row.group)
    }
}

impl GroupStatus {
    /// Whether its row still binds its hosts, for serving or for loading.
    pub fn is_live(&self) -> bool {
        self.row.phase != GroupPhase::Ending
    }
}
