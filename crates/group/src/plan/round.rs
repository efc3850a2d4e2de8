//! Working state of one round of planning.

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

/// Looks groups up by name, and remembers the last: neighbours in the order of names are
/// mostly in one group.
pub(crate) struct GroupLookup<'a> {
    view: &'a FleetView,
    last: Option<&'a GroupStatus>,
}

impl<'a> GroupLookup<'a> {
    pub(crate) fn new(view: &'a FleetView) -> GroupLookup<'a> {
        GroupLookup { view, last: None }
    }

    /// The group that the host's row names.
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
    /// Hosts that may be taken, by fabric domain. Invariant: in order of their names.
    pub(crate) free: BTreeMap<&'a FabricDomain, Vec<&'a HostStatus>>,
    /// Hosts by the group that their rows name; most groups are indexed from here without a
    /// search for each member.
    by_group: BTreeMap<&'a GroupId, Members<'a>>,
    /// Hosts that don't answer, by fabric domain.
    unreachable: BTreeMap<&'a FabricDomain, usize>,
    /// Hosts loading now or ordered to by this round.
    pub(crate) loading: usize,
    pub(crate) transactions: usize,
    /// Spares that load weights or are being released after it, by service and fabric domain.
    pub(crate) warming: BTreeMap<(&'a str, &'a FabricDomain), usize>,
    /// Spares that a broken group needs warm: the service's place in `services`, and the host.
    pub(crate) warmup_requests: Vec<(usize, &'a HostStatus)>,
    /// Groups formed by this round: the service's place in `services`, and the index.
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

    /// The epoch for the next group formed, above all that any host or group ever had.
    pub(crate) fn take_epoch(&mut self) -> Epoch {
        self.next_epoch += 1;
        self.next_epoch - 1
    }

    /// Remembers a group that this round forms, so that it counts and its index is taken.
    pub(crate) fn record_formed(&mut self, service_index: usize, row: &GroupRow) {
        if row.phase != GroupPhase::Formed {
            return;
        }
        if let Some((_, index)) = parse_group_id(&row.group) {
            self.formed.push((service_index, index));
        }
        let again = |g: &&mut Group<'_>| g.status.row.group == row.group;
        let state = &mut self.services[service_index];
        match state.groups.iter_mut().find(again) {
            Some(group) => group.recovering = true,
            None => state.formed_this_round += 1,
        }
    }

    /// Indexes of the service's groups that this round forms.
    pub(crate) fn formed_this_round(&self, service: &str) -> impl Iterator<Item = u32> + use<'_> {
        let position = self.services.iter().position(|w| w.name == service);
        let formed = self
            .formed
            .iter()
            .filter(move |(s, _)| Some(*s) == position);
        formed.map(|(_, index)| *index)
    }

    /// Whether this round may write another transaction.
    pub(crate) fn may_commit(&self) -> bool {
        self.transactions < self.policy.max_transactions
    }

    /// Adds a transaction.
    pub(crate) fn push_transaction(&mut self, action: Action) {
        self.transactions += 1;
        self.actions.push(action);
    }

    /// Whether `count` more hosts may load. A group larger than the bound may load alone.
    ///
    /// Beyond what the weight store can feed at full speed more loads return
    /// nothing sooner: two groups that share the store are both late, while one
    /// after the other the first is back in half the time.
    pub(crate) fn may_load(&self, count: usize) -> bool {
        count == 0 || self.loading == 0 || self.loading + count <= self.max_loads()
    }

    /// Most hosts that load at once.
    pub(crate) fn max_loads(&self) -> usize {
        let sustainable = self.view.store_rate.checked_div(self.view.host_rate);
        let sustainable = sustainable.map_or(usize::MAX, |sustainable| sustainable.max(1) as usize);
        self.policy.max_loads.min(sustainable)
    }

    /// Whether the host answers, is listed as live and is not leaving.
    pub(crate) fn is_healthy(&self, host: &HostStatus) -> bool {
        host.entry.is_some()
            && !host.is_leaving()
            && host.report.is_some()
            && host.silent_for(self.now) <= self.policy.detection_timeout
    }

    /// What kind of absence the silence of a host of this fabric domain belongs to.
    pub(crate) fn failure_scope_in(&self, domain: &FabricDomain) -> FailureScope {
        let unreachable = self.unreachable.get(domain).copied().unwrap_or(0);
        if unreachable >= CORRELATED_HOSTS {
            FailureScope::Correlated
        } else {
            FailureScope::Isolated
        }
    }

    /// How long one host's load takes with `at_once` loads sharing the store.
    pub(crate) fn load_time(&self, bytes: u64, at_once: usize) -> Duration {
        let rate = self.view.store_rate.max(1);
        let total = bytes.saturating_mul(at_once.max(1) as u64);
        Duration::from_millis(total.saturating_mul(1000) / rate)
    }

    /// Takes hosts out of the free ones.
    pub(crate) fn reserve(&mut self, domain: &FabricDomain, hosts: &[&HostStatus]) {
        if let Some(free) = self.free.get_mut(domain) {
            free.retain(|f| hosts.iter().all(|h| h.row.host != f.row.host));
        }
    }

    /// Whether the group belongs to this region's planner.
    ///
    /// Without this two planners would release each other's groups.
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

    /// The host of a name, from the group's own hosts where possible.
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

    /// Whether the host loads weights, or will as soon as its order arrives.
    fn is_loading(&self, host: &HostStatus, group: Option<&GroupStatus>) -> bool {
        let Some(group) = group.filter(|g| g.is_live() && host.is_bound_to(&g.row)) else {
            return false;
        };
        let answers = host.silent_for(self.now) <= self.policy.detection_timeout;
        answers && !group.served && !host.is_warm(&group.row.weights())
    }

    /// Whether the host may become a member: its row is free and it says itself that it holds
    /// nothing. A host that came back with an old placement has to leave that first.
    fn is_available(&self, host: &HostStatus) -> bool {
        let empty = host.report.as_ref().is_some_and(|r| r.placement.is_none());
        let orderable = self.may_order(&host.row.host);
        host.row.group.is_none() && empty && orderable && self.is_healthy(host)
    }

    /// Whether the host may be ordered: one that doesn't check fencing numbers only when no
    /// order of the planner before can be under way.
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

    /// Groups of a service that this region is to have: index I belongs to the region that
    /// is I-th in order, counted round.
    fn region_share(&self, groups: u32) -> usize {
        let regions = self.view.regions.len().max(1);
        let own = self.region_index();
        (0..groups as usize).filter(|i| i % regions == own).count()
    }

    /// Place of this region among all.
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
            let gone = host.entry.is_none();
            return Some(if gone {
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
