//! Forms groups from free hosts.

use std::time::Instant;

use eelgrassmill_base::{FabricDomain, GroupId, HostId, RowVersion};

use crate::plan::action::Action;
use crate::plan::end::is_reformable;
use crate::plan::group::{Group, GroupHealth, ServiceState};
use crate::plan::policy::RepairStrategy;
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::{
    GroupPhase, GroupRow, HostRow, RowValue, Transaction, group_id, group_key, host_key,
    parse_group_id,
};

/// A group to be formed.
pub(crate) struct NewGroup<'a> {
    pub(crate) group: GroupId,
    pub(crate) row_version: RowVersion,
    pub(crate) phase: GroupPhase,
    pub(crate) members: Vec<&'a HostStatus>,
}

/// Re-forms groups that were ended for repair, from their own hosts and spares.
///
/// Groups that need the fewest other hosts come first, since they restore the most capacity per
/// load.
pub(crate) fn reform_ended(round: &mut Round<'_>) {
    let mut ended: Vec<(usize, usize, usize)> = Vec::new();
    for (service_index, service) in round.services.iter().enumerate() {
        for (index, group) in service.groups.iter().enumerate() {
            let row = &group.status.row;
            let age = round.now.saturating_duration_since(group.status.since);
            let reformable = group.health == GroupHealth::Ending && is_reformable(row.reason);
            if reformable && age < round.policy.reform_timeout {
                ended.push((group.faults.len(), service_index, index));
            }
        }
    }
    ended.sort_unstable();
    for (_, service_index, index) in ended {
        reform(round, service_index, index);
    }
}

fn reform(round: &mut Round<'_>, service_index: usize, index: usize) {
    let service = &round.services[service_index];
    if service.expected() >= service.desired {
        return;
    }
    let Some(members) = reform_members(round, service, index) else {
        return;
    };
    let group = &service.groups[index];
    let new = NewGroup {
        group: group.id().clone(),
        row_version: group.status.row_version,
        phase: GroupPhase::Formed,
        members,
    };
    // Its hosts stay reserved while some have yet to confirm that they left.
    round.services[service_index].groups[index].recovering = true;
    reserve_hosts(round, &new.members);
    let all_free = new.members.iter().all(|h| h.row.group.is_none());
    if all_free && all_unplaced(&new.members) {
        form_group(round, service_index, new);
    }
}

fn all_unplaced(members: &[&HostStatus]) -> bool {
    let empty = |h: &&HostStatus| h.report.as_ref().is_some_and(|r| r.placement.is_none());
    members.iter().all(empty)
}

/// The members for re-forming an ended group: its own healthy hosts and the best spares.
fn reform_members<'a>(
    round: &Round<'a>,
    service: &ServiceState<'a>,
    index: usize,
) -> Option<Vec<&'a HostStatus>> {
    let group = &service.groups[index];
    let size = service.cfg.hosts_per_group as usize;
    let row = &group.status.row;
    let own = |h: &HostStatus| {
        let bound_here = h.is_bound_to(row);
        let free = h.row.group.is_none() && is_free(round, h);
        round.is_healthy(h) && (bound_here || free)
    };
    let members = row.members.iter().filter_map(|id| round.view.hosts.get(id));
    let mut picked: Vec<&HostStatus> = members.filter(|h| own(h)).collect();
    let missing = size.saturating_sub(picked.len());
    picked.extend(spares_for(round, service, group, missing));
    // A warm spare is preferred to a restarted member, which has to load again.
    if round.policy.strategy == RepairStrategy::CostBased {
        picked.sort_by_key(|h| !h.is_warm(&service.weights));
    }
    picked.truncate(size);
    (picked.len() == size).then_some(picked)
}

fn is_free(round: &Round<'_>, host: &HostStatus) -> bool {
    let domain = host.entry.as_ref().map(|e| &e.fabric_domain);
    let free = domain.and_then(|d| round.free.get(d));
    free.is_some_and(|f| {
        f.binary_search_by(|h| h.row.host.cmp(&host.row.host))
            .is_ok()
    })
}

/// Free hosts that may complete the group: those of its fabric domain and, if there are too few,
/// those of other domains, since a slow group is better than none.
fn spares_for<'a>(
    round: &Round<'a>,
    service: &ServiceState<'a>,
    group: &Group<'a>,
    missing: usize,
) -> Vec<&'a HostStatus> {
    let outside = |h: &&HostStatus| !group.status.row.members.contains(&h.row.host);
    let local = group.domain.and_then(|d| round.free.get(d));
    let local = local.into_iter().flatten().copied();
    let mut spares: Vec<&HostStatus> = local.filter(outside).collect();
    if spares.len() < missing {
        let remote = round.free.iter().filter(|(d, _)| Some(**d) != group.domain);
        let remote = remote.flat_map(|(_, free)| free.iter().copied());
        let mut remote: Vec<&HostStatus> = remote.filter(outside).collect();
        if round.policy.strategy == RepairStrategy::CostBased {
            sort_by_warmth(&mut remote, service);
        }
        spares.extend(remote.into_iter().take(missing - spares.len()));
    }
    spares
}

/// Removes the hosts from the free ones.
pub(crate) fn reserve_hosts(round: &mut Round<'_>, hosts: &[&HostStatus]) {
    for host in hosts {
        if let Some(entry) = &host.entry {
            round.reserve(&entry.fabric_domain, &[host]);
        }
    }
}

/// Forms groups until each service has the desired number, or none fits.
///
/// Groups that are broken and not expected to recover, have a leaving member or serve an old
/// version don't count, so that replacements are formed before they are ended.
pub(crate) fn form_missing(round: &mut Round<'_>) {
    for service_index in by_shortfall(round) {
        while round.may_commit() {
            let service = &round.services[service_index];
            if service.expected() >= service.desired || !form_one(round, service_index) {
                break;
            }
        }
    }
}

/// Services ordered by relative shortfall, the largest first.
fn by_shortfall(round: &Round<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..round.services.len()).collect();
    order.sort_by_key(|i| {
        let service = &round.services[*i];
        let shortfall = service.required.saturating_sub(service.serving());
        std::cmp::Reverse(shortfall * 1000 / service.required.max(1))
    });
    order
}

fn form_one(round: &mut Round<'_>, service_index: usize) -> bool {
    let service = &round.services[service_index];
    let size = service.cfg.hosts_per_group as usize;
    let members = match best_domain(round, service, size) {
        Some(domain) => pick_members(round, service, domain, size),
        None => match pick_across_domains(round, service, size) {
            Some(members) => members,
            None => return false,
        },
    };
    let group = next_group_id(round, service);
    let new = NewGroup {
        group,
        row_version: 0,
        phase: GroupPhase::Formed,
        members,
    };
    let members = new.members.clone();
    let formed = form_group(round, service_index, new);
    if formed {
        reserve_hosts(round, &members);
    }
    formed
}

/// Whether some fabric domain has enough free hosts for a whole group.
pub(crate) fn has_capacity(round: &Round<'_>, service: &ServiceState<'_>) -> bool {
    let size = service.cfg.hosts_per_group as usize;
    round.free.values().any(|free| free.len() >= size)
}

/// The fabric domain to form a group in: the one whose failure domain has the fewest groups of
/// the service, then the one with the fewest hosts to load, then the one with the most free hosts.
///
/// If the service is short of groups for its demand, the number of hosts to load comes first.
fn best_domain<'a>(
    round: &Round<'a>,
    service: &ServiceState<'a>,
    size: usize,
) -> Option<&'a FabricDomain> {
    let urgent = service.serving() < service.required;
    let fits = round.free.iter().filter(|(_, free)| free.len() >= size);
    let best = fits.min_by_key(|(_, free)| {
        let warm = free.iter().filter(|h| h.is_warm(&service.weights)).count();
        let cold = size - warm.min(size);
        let colocated = colocated(round, service, free[0]);
        let spread = if urgent {
            (cold, colocated)
        } else {
            (colocated, cold)
        };
        (spread, std::cmp::Reverse(free.len()))
    });
    best.map(|(domain, _)| *domain)
}

/// Number of groups of the service in the host's failure domain.
fn colocated(round: &Round<'_>, service: &ServiceState<'_>, host: &HostStatus) -> usize {
    let failure_domain = host.entry.as_ref().map(|e| &e.failure_domain);
    let here = |id: &HostId| {
        let member = round.view.hosts.get(id).and_then(|h| h.entry.as_ref());
        member.is_some_and(|e| Some(&e.failure_domain) == failure_domain)
    };
    let formed = service.groups.iter().filter(|g| g.is_formed());
    formed
        .filter(|g| g.status.row.lead().is_some_and(here))
        .count()
}

/// Picks `size` free hosts of a domain: warm ones first, then those that hold the fewest models.
fn pick_members<'a>(
    round: &Round<'a>,
    service: &ServiceState<'a>,
    domain: &FabricDomain,
    size: usize,
) -> Vec<&'a HostStatus> {
    let mut hosts: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    sort_by_warmth(&mut hosts, service);
    hosts.truncate(size);
    hosts
}

/// Sorts warm hosts first, then cold ones by the number of models they hold, so that those
/// useful to other services come last.
pub(crate) fn sort_by_warmth(hosts: &mut [&HostStatus], service: &ServiceState<'_>) {
    hosts.sort_by_key(|h| {
        let warm = h.report.as_ref().map_or(0, |r| r.warm.len());
        (!h.is_warm(&service.weights), warm)
    });
}

/// Picks hosts of several fabric domains if no single domain has enough.
///
/// Such a group is slow. It is formed only after the service has been short of groups for
/// `span_after`, since returning hosts may allow a better one.
fn pick_across_domains<'a>(
    round: &Round<'a>,
    service: &ServiceState<'a>,
    size: usize,
) -> Option<Vec<&'a HostStatus>> {
    let short = service.serving_or_expected() < service.desired;
    let since = |at: Instant| round.now.saturating_duration_since(at) >= round.policy.span_after;
    let waited = service
        .groups
        .iter()
        .all(|g| g.is_serving() || since(g.status.down_since));
    if !short || !waited || round.policy.strategy != RepairStrategy::CostBased {
        return None;
    }
    let mut domains: Vec<&Vec<&HostStatus>> = round.free.values().collect();
    domains.sort_by_key(|free| std::cmp::Reverse(free.len()));
    let mut hosts: Vec<&HostStatus> = domains.into_iter().flatten().copied().collect();
    sort_by_warmth(&mut hosts, service);
    hosts.truncate(size);
    let stable = hosts.iter().all(|h| since(h.first_seen));
    (hosts.len() == size && stable).then_some(hosts)
}

/// The group name with the lowest free index that belongs to this region.
fn next_group_id(round: &Round<'_>, service: &ServiceState<'_>) -> GroupId {
    let regions = round.view.regions.len().max(1) as u32;
    let first = round.region_index() as u32;
    let taken: std::collections::BTreeSet<u32> = service
        .groups
        .iter()
        .filter_map(|g| parse_group_id(g.id()))
        .map(|(_, index)| index)
        .chain(round.formed_this_round(service.name))
        .collect();
    let mut index = first;
    while taken.contains(&index) {
        index += regions;
    }
    group_id(service.name, index)
}

/// Adds the transaction that binds free hosts to a group; returns false if the round's limits
/// don't allow it.
pub(crate) fn form_group(round: &mut Round<'_>, service_index: usize, new: NewGroup<'_>) -> bool {
    let weights = round.services[service_index].weights.clone();
    let cold = new.members.iter().filter(|h| !h.is_warm(&weights)).count();
    if !round.may_commit() || !round.may_load(cold) {
        return false;
    }
    let epoch = round.take_epoch();
    let service = &round.services[service_index];
    let row = GroupRow {
        group: new.group,
        service: service.name.clone(),
        model: service.cfg.model.clone(),
        version: service.cfg.version.clone(),
        epoch,
        members: new.members.iter().map(|h| h.row.host.clone()).collect(),
        phase: new.phase,
        reason: None,
    };
    let key = group_key(&row.group);
    let mut transaction = Transaction::new()
        .expect(key.clone(), new.row_version)
        .put(key, RowValue::Group(row.clone()));
    for host in &new.members {
        let key = host_key(&host.row.host);
        let bound = HostRow {
            host: host.row.host.clone(),
            group: Some(row.group.clone()),
            epoch,
            fence: host.row.fence + 1,
        };
        transaction = transaction
            .expect(key.clone(), host.row_version)
            .put(key, RowValue::Host(bound));
    }
    round.loading += cold;
    round.record_formed(service_index, &row);
    round.push_transaction(Action::FormGroup { row, transaction });
    true
}
