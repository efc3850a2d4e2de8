//! Working state of one planning round.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FabricDomain, GroupId, HostId};
use eelgrassmill_config::ServiceKind;
use smallvec::SmallVec;

use crate::plan::action::Action;
use crate::plan::group::{Group, GroupHealth, MemberFault, ServiceState};
use crate::plan::policy::RepairPolicy;
use crate::plan::recovery::FailureScope;
use crate::plan::view::{CORRELATED_HOSTS, FleetView, GroupStatus, HostStatus};
use crate::rows::{EndReason, GroupPhase, GroupRow, parse_group_id, weights_name};

type Members<'a> = SmallVec<[&'a HostStatus; 8]>;

/// Looks up groups by name and caches the last one, since hosts with adjacent names are mostly in
/// the same group.
pub(crate) struct GroupLookup<'a> {
    view: &'a FleetView,
    last: Option<&'a GroupStatus>,
}

impl<'a> GroupLookup<'a> {
    pub(crate) fn new(view: &'a FleetView) -> GroupLookup<'a> {
        GroupLookup { view, last: None }
    }

    /// The group named in the host's row.
    pub(crate) fn find(&mut self, host: &HostStatus) -> Option<&'a GroupStatus> {
        let name = host.row.group.as_ref()?;
        if let Some(last) = self.last.filter(|last| last.row.group == *name) {
            return Some(last);
        }
        self.last = self.view.groups.get(name);
        self.last
    }
}

/// Working state of one round.
pub(crate) struct Round<'a> {
    pub(crate) view: &'a FleetView,
    pub(crate) policy: &'a RepairPolicy,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    pub(crate) services: Vec<ServiceState<'a>>,
    /// Available hosts by fabric domain. Invariant: sorted by name.
    pub(crate) free: BTreeMap<&'a FabricDomain, Vec<&'a HostStatus>>,
    /// Hosts by the group named in their rows, so that most groups are indexed without a lookup
    /// for each member.
    by_group: BTreeMap<&'a GroupId, Members<'a>>,
    /// Number of hosts that don't answer probes, by fabric domain.
    unreachable: BTreeMap<&'a FabricDomain, usize>,
    /// Number of hosts that load now or are ordered to load by this round.
    pub(crate) loading: usize,
    pub(crate) transactions: usize,
    /// Number of spares that load weights or are being released afterwards, by service and fabric
    /// domain.
    pub(crate) warming: BTreeMap<(&'a str, &'a FabricDomain), usize>,
    /// Spares that a broken group needs warm: index into `services`, and the host.
    pub(crate) warmup_requests: Vec<(usize, &'a HostStatus)>,
    /// Groups formed by this round: index into `services`, and the group's index.
    formed: Vec<(usize, u32)>,
    next_epoch: Epoch,
}

impl<'a> Round<'a> {
    pub(crate) fn new(view: &'a FleetView, policy: &'a RepairPolicy, now: Instant) -> Round<'a> {
        let mut round = Round {
            view,
            policy,
            now,
            actions: Vec::new(),
            services: Vec::new(),
            free: BTreeMap::new(),
            by_group: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            loading: 0,
            transactions: 0,
            warming: BTreeMap::new(),
            warmup_requests: Vec::new(),
            formed: Vec::new(),
            next_epoch: view.groups.values().map(|g| g.row.epoch).max().unwrap_or(0) + 1,
        };
        round.index_hosts();
        round.index_warming();
        round.services = round.index_services();
        round
    }

    /// Allocates an epoch, higher than any that a host or group has had.
    pub(crate) fn take_epoch(&mut self) -> Epoch {
        self.next_epoch += 1;
        self.next_epoch - 1
    }

    /// Records a group formed by this round, so that it is counted and its index is in use.
    pub(crate) fn record_formed(&mut self, service_index: usize, row: &GroupRow) {
        if row.phase != GroupPhase::Formed {
            return;
        }
        if let Some((_, index)) = parse_group_id(&row.group) {
            self.formed.push((service_index, index));
        }
        let reformed = |g: &&mut Group<'_>| g.status.row.group == row.group;
        let state = &mut self.services[service_index];
        match state.groups.iter_mut().find(reformed) {
            Some(group) => group.recovering = true,
            None => state.formed_this_round += 1,
        }
    }

    /// Indexes of the service's groups formed by this round.
    pub(crate) fn formed_this_round(&self, service: &str) -> impl Iterator<Item = u32> + use<'_> {
        let position = self.services.iter().position(|s| s.name == service);
        let formed = self
            .formed
            .iter()
            .filter(move |(s, _)| Some(*s) == position);
        formed.map(|(_, index)| *index)
    }

    /// Whether this round may add another transaction.
    pub(crate) fn may_commit(&self) -> bool {
        self.transactions < self.policy.max_transactions
    }

    /// Adds a transaction.
    pub(crate) fn push_transaction(&mut self, action: Action) {
        self.transactions += 1;
        self.actions.push(action);
    }

    /// Whether `count` more hosts may load. A group larger than the limit may load alone.
    ///
    /// More concurrent loads than the weight store can serve at full speed don't help: two groups
    /// that share the store both finish late, while one after the other the first finishes in half
    /// the time.
    pub(crate) fn may_load(&self, count: usize) -> bool {
        count == 0 || self.loading == 0 || self.loading + count <= self.max_loads()
    }

    /// Maximum number of hosts that load concurrently.
    pub(crate) fn max_loads(&self) -> usize {
        let sustainable = self.view.store_rate.checked_div(self.view.host_rate);
        let sustainable = sustainable.map_or(usize::MAX, |sustainable| sustainable.max(1) as usize);
        self.policy.max_loads.min(sustainable)
    }

    /// Whether the host answers probes, is in the host list and is not leaving.
    pub(crate) fn is_healthy(&self, host: &HostStatus) -> bool {
        host.entry.is_some()
            && !host.is_leaving()
            && host.report.is_some()
            && host.silent_for(self.now) <= self.policy.detection_timeout
    }

    /// Scope of a failure of a host in this fabric domain.
    pub(crate) fn failure_scope_in(&self, domain: &FabricDomain) -> FailureScope {
        let unreachable = self.unreachable.get(domain).copied().unwrap_or(0);
        if unreachable >= CORRELATED_HOSTS {
            FailureScope::Correlated
        } else {
            FailureScope::Isolated
        }
    }

    /// Duration of one host's load while `at_once` loads share the store.
    pub(crate) fn load_time(&self, bytes: u64, at_once: usize) -> Duration {
        let rate = self.view.store_rate.max(1);
        let total = bytes.saturating_mul(at_once.max(1) as u64);
        Duration::from_millis(total.saturating_mul(1000) / rate)
    }

    /// Removes hosts from the free ones.
    pub(crate) fn reserve(&mut self, domain: &FabricDomain, hosts: &[&HostStatus]) {
        if let Some(free) = self.free.get_mut(domain) {
            free.retain(|f| hosts.iter().all(|h| h.row.host != f.row.host));
        }
    }

    /// Whether this region's planner owns the group.
    ///
    /// Without this check, planners of two regions would release each other's groups.
    pub(crate) fn is_owned(&self, group: &GroupStatus) -> bool {
        let listed = |id: &HostId| self.view.hosts.get(id).is_some_and(|h| h.entry.is_some());
        self.view.regions.len() <= 1 || group.row.members.iter().any(listed)
    }

    fn index_hosts(&mut self) {
        let mut groups = GroupLookup::new(self.view);
        let mut run: Option<(&GroupId, Members<'a>)> = None;
        for host in self.view.hosts.values() {
            let group = groups.find(host);
            self.next_epoch = self.next_epoch.max(host.row.epoch + 1);
            self.loading += usize::from(self.is_loading(host, group));
            if let Some(name) = &host.row.group {
                match &mut run {
                    Some((last, members)) if *last == name => members.push(host),
                    _ => {
                        let done = run.replace((name, SmallVec::from_slice(&[host])));
                        self.add_to_group(done);
                    }
                }
            }
            if let Some(entry) = &host.entry
                && host.silent_for(self.now) > self.policy.detection_timeout
            {
                *self.unreachable.entry(&entry.fabric_domain).or_default() += 1;
            }
            if let Some(entry) = host.entry.as_ref().filter(|_| self.is_available(host)) {
                let free = self.free.entry(&entry.fabric_domain).or_default();
                free.push(host);
            }
        }
        self.add_to_group(run);
    }

    fn add_to_group(&mut self, run: Option<(&'a GroupId, Members<'a>)>) {
        if let Some((group, members)) = run {
            self.by_group.entry(group).or_default().extend(members);
        }
    }

    /// Looks up a host, first among those bound to the group.
    fn member(&self, by_group: Option<&Members<'a>>, id: &HostId) -> Option<&'a HostStatus> {
        let own = by_group.and_then(|b| b.iter().copied().find(|h| h.row.host == *id));
        own.or_else(|| self.view.hosts.get(id))
    }

    fn index_warming(&mut self) {
        for group in self.view.groups.values() {
            let row = &group.row;
            let warming = row.phase == GroupPhase::Warming || row.reason == Some(EndReason::Warmed);
            let host = row.members.first().and_then(|m| self.view.hosts.get(m));
            let entry = host.and_then(|h| h.entry.as_ref());
            if let Some(entry) = entry.filter(|_| warming) {
                let key = (row.service.as_str(), &entry.fabric_domain);
                *self.warming.entry(key).or_default() += 1;
            }
        }
    }

    /// Whether the host loads weights, or will once its order arrives.
    fn is_loading(&self, host: &HostStatus, group: Option<&GroupStatus>) -> bool {
        let Some(group) = group.filter(|g| g.is_live() && host.is_bound_to(&g.row)) else {
            return false;
        };
        let answers = host.silent_for(self.now) <= self.policy.detection_timeout;
        answers && !group.served && !host.is_warm(&group.row.weights())
    }

    /// Whether the host may become a member: its row is free and it reports no placement. A host
    /// that returned with an old placement has to leave it first.
    fn is_available(&self, host: &HostStatus) -> bool {
        let empty = host.report.as_ref().is_some_and(|r| r.placement.is_none());
        let orderable = self.may_order(&host.row.host);
        host.row.group.is_none() && empty && orderable && self.is_healthy(host)
    }

    /// Whether orders may be sent to the host. One that doesn't check fencing tokens gets none
    /// while an order of the previous planner may be in flight.
    pub(crate) fn may_order(&self, host: &HostId) -> bool {
        self.now >= self.view.quiet_until || self.view.config.checks_orders(host)
    }

    fn index_services(&self) -> Vec<ServiceState<'a>> {
        let mut groups: BTreeMap<&str, Vec<&'a GroupStatus>> = BTreeMap::new();
        for group in self.view.groups.values() {
            if parse_group_id(&group.row.group).is_some() && self.is_owned(group) {
                groups.entry(&group.row.service).or_default().push(group);
            }
        }
        let mut states = Vec::new();
        for service in self.view.config.services.values() {
            let ServiceKind::Model(cfg) = &service.kind else {
                continue;
            };
            let owned = groups.remove(service.name.as_str()).unwrap_or_default();
            let weights = weights_name(&cfg.model, &cfg.version);
            let bytes = self.view.weights.get(&weights).copied().unwrap_or(0);
            let demand = self.view.demand.get(&service.name).copied().unwrap_or(0);
            states.push(ServiceState {
                name: &service.name,
                cfg,
                desired: self.region_share(cfg.groups),
                required: demand.max(cfg.floor) as usize,
                weights,
                load_bytes: bytes / u64::from(cfg.hosts_per_group.max(1)),
                groups: owned.into_iter().map(|g| self.index_group(g)).collect(),
                formed_this_round: 0,
            });
        }
        states
    }

    /// Number of a service's groups in this region; indexes are assigned to regions round-robin.
    fn region_share(&self, groups: u32) -> usize {
        let regions = self.view.regions.len().max(1);
        let own = self.region_index();
        (0..groups as usize).filter(|i| i % regions == own).count()
    }

    /// Index of this region among all regions.
    pub(crate) fn region_index(&self) -> usize {
        let mut regions = self.view.regions.iter();
        let found = regions.position(|r| *r == self.view.region);
        found.unwrap_or(0)
    }

    fn index_group(&self, status: &'a GroupStatus) -> Group<'a> {
        let mut faults = SmallVec::new();
        let mut domains: SmallVec<[&FabricDomain; 2]> = SmallVec::new();
        let by_group = self.by_group.get(&status.row.group);
        for id in &status.row.members {
            let host = self.member(by_group, id);
            if let Some(fault) = self.member_fault(status, id, host) {
                faults.push((id, fault));
            }
            if let Some(entry) = host.and_then(|h| h.entry.as_ref())
                && !domains.contains(&&entry.fabric_domain)
            {
                domains.push(&entry.fabric_domain);
            }
        }
        let has_fault = faults
            .iter()
            .any(|(_, fault)| *fault != MemberFault::Leaving);
        let health = match status.row.phase {
            GroupPhase::Ending => GroupHealth::Ending,
            _ if status.serving => GroupHealth::Serving,
            _ if has_fault => GroupHealth::Broken,
            _ => GroupHealth::Starting,
        };
        Group {
            status,
            domain: (domains.len() == 1).then(|| domains[0]),
            health,
            propagated: self.now.saturating_duration_since(status.up_since)
                >= self.policy.propagation_delay,
            faults,
            ended_this_round: false,
            recovering: false,
        }
    }

    fn member_fault(
        &self,
        group: &GroupStatus,
        id: &HostId,
        host: Option<&HostStatus>,
    ) -> Option<MemberFault> {
        let Some(host) = host else {
            return Some(MemberFault::Delisted);
        };
        if host.silent_for(self.now) > self.policy.detection_timeout {
            let delisted = host.entry.is_none();
            return Some(if delisted {
                MemberFault::Delisted
            } else {
                MemberFault::Unreachable
            });
        }
        if group.restarted.as_ref() == Some(id) {
            return Some(MemberFault::Restarted);
        }
        (host.is_leaving() || host.entry.is_none()).then_some(MemberFault::Leaving)
    }
}
