//! Forming groups from free hosts.

use std::time::Instant;

use eelgrassmill_base::{FabricDomain, GroupId, HostId, RowVersion};

use crate::plan::action::Action;
use crate::plan::end::is_reformed;
use crate::plan::group::{Group, Standing, Wanted};
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

/// Forms groups again that were ended to be mended, from their own hosts and spares.
///
/// Those that need the fewest other hosts go first: they return the most
/// capacity for each load.
pub(crate) fn reform_ended(round: &mut Round<'_>) {
    let mut ended: Vec<(usize, usize, usize)> = Vec::new();
    for (service, wanted) in round.wanted.iter().enumerate() {
        for (index, group) in wanted.groups.iter().enumerate() {
            let row = &group.facts.row;
            let age = round.now.saturating_duration_since(group.facts.since);
            let again = group.standing == Standing::Ending && is_reformed(row.reason);
            if again && age < round.policy.reform_timeout {
                ended.push((group.lost.len(), service, index));
            }
        }
    }
    ended.sort_unstable();
    for (_, service, index) in ended {
        reform(round, service, index);
    }
}

fn reform(round: &mut Round<'_>, service: usize, index: usize) {
    let wanted = &round.wanted[service];
    if wanted.expected() >= wanted.count {
        return;
    }
    let Some(members) = reform_members(round, wanted, index) else {
        return;
    };
    let group = &wanted.groups[index];
    let new = NewGroup {
        group: group.id().clone(),
        row_version: group.facts.row_version,
        phase: GroupPhase::Formed,
        members,
    };
    // Its hosts are kept for it also while some have yet to confirm that they left.
    round.wanted[service].groups[index].mending = true;
    keep(round, &new.members);
    let all_free = new.members.iter().all(|h| h.row.group.is_none());
    if all_free && is_empty(&new.members) {
        form(round, service, new);
    }
}

fn is_empty(members: &[&HostStatus]) -> bool {
    let empty = |h: &&HostStatus| h.report.as_ref().is_some_and(|r| r.placement.is_none());
    members.iter().all(empty)
}

/// The hosts to form an ended group of: those of its own that are fit and the best spares.
fn reform_members<'a>(
    round: &Round<'a>,
    wanted: &Wanted<'a>,
    index: usize,
) -> Option<Vec<&'a HostStatus>> {
    let group = &wanted.groups[index];
    let size = wanted.cfg.hosts_per_group as usize;
    let row = &group.facts.row;
    let own = |h: &HostStatus| {
        let bound_here = h.is_bound_to(row);
        let free = h.row.group.is_none() && is_free(round, h);
        round.is_healthy(h) && (bound_here || free)
    };
    let members = row.members.iter().filter_map(|id| round.view.hosts.get(id));
    let mut picked: Vec<&HostStatus> = members.filter(|h| own(h)).collect();
    let missing = size.saturating_sub(picked.len());
    picked.extend(spares_for(round, wanted, group, missing));
    // A warm spare goes before a member that restarted and has to load anew.
    if round.policy.strategy == RepairStrategy::CostBased {
        picked.sort_by_key(|h| !h.is_warm(&wanted.weights));
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

/// Free hosts that may complete the group: those of its fabric domain, or where they don't
/// suffice, those of others too, since a slow group is better than none.
fn spares_for<'a>(
    round: &Round<'a>,
    wanted: &Wanted<'a>,
    group: &Group<'a>,
    missing: usize,
) -> Vec<&'a HostStatus> {
    let foreign = |h: &&HostStatus| !group.facts.row.members.contains(&h.row.host);
    let near = group.domain.and_then(|d| round.free.get(d));
    let near = near.into_iter().flatten().copied();
    let mut spares: Vec<&HostStatus> = near.filter(foreign).collect();
    if spares.len() < missing {
        let far = round.free.iter().filter(|(d, _)| Some(**d) != group.domain);
        let far = far.flat_map(|(_, free)| free.iter().copied());
        let mut far: Vec<&HostStatus> = far.filter(foreign).collect();
        if round.policy.strategy == RepairStrategy::CostBased {
            sort_by_use(&mut far, wanted);
        }
        spares.extend(far.into_iter().take(missing - spares.len()));
    }
    spares
}

/// Takes the hosts out of the free ones.
pub(crate) fn keep(round: &mut Round<'_>, hosts: &[&HostStatus]) {
    for host in hosts {
        if let Some(entry) = &host.entry {
            round.reserve(&entry.fabric_domain, &[host]);
        }
    }
}

/// Forms groups until each service has as many as it is to have, or nothing fits.
///
/// Groups that are broken and not expected back, have a member leaving or serve
/// an old version don't count, so a replacement is made before they are ended.
pub(crate) fn form_missing(round: &mut Round<'_>) {
    for service in by_need(round) {
        while round.may_commit() {
            let wanted = &round.wanted[service];
            if wanted.expected() >= wanted.count || !form_one(round, service) {
                break;
            }
        }
    }
}

/// Services, those first whose demand is least met.
fn by_need(round: &Round<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..round.wanted.len()).collect();
    order.sort_by_key(|i| {
        let wanted = &round.wanted[*i];
        let lacking = wanted.need.saturating_sub(wanted.serving());
        std::cmp::Reverse(lacking * 1000 / wanted.need.max(1))
    });
    order
}

fn form_one(round: &mut Round<'_>, service: usize) -> bool {
    let wanted = &round.wanted[service];
    let size = wanted.cfg.hosts_per_group as usize;
    let members = match best_domain(round, wanted, size) {
        Some(domain) => pick(round, wanted, domain, size),
        None => match span(round, wanted, size) {
            Some(members) => members,
            None => return false,
        },
    };
    let group = next_group(round, wanted);
    let new = NewGroup {
        group,
        row_version: 0,
        phase: GroupPhase::Formed,
        members,
    };
    let members = new.members.clone();
    let formed = form(round, service, new);
    if formed {
        keep(round, &members);
    }
    formed
}

/// Whether some fabric domain has the free hosts for a whole group.
pub(crate) fn has_room(round: &Round<'_>, wanted: &Wanted<'_>) -> bool {
    let size = wanted.cfg.hosts_per_group as usize;
    round.free.values().any(|free| free.len() >= size)
}

/// The fabric domain to form a group in: where its failure domain has the fewest groups of
/// the service, then where least has to be loaded, then where most spares are left.
///
/// When the service lacks groups for its demand, the least loading goes first.
fn best_domain<'a>(
    round: &Round<'a>,
    wanted: &Wanted<'a>,
    size: usize,
) -> Option<&'a FabricDomain> {
    let urgent = wanted.serving() < wanted.need;
    let fits = round.free.iter().filter(|(_, free)| free.len() >= size);
    let best = fits.min_by_key(|(_, free)| {
        let warm = free.iter().filter(|h| h.is_warm(&wanted.weights)).count();
        let cold = size - warm.min(size);
        let crowd = crowd(round, wanted, free[0]);
        let spread = if urgent { (cold, crowd) } else { (crowd, cold) };
        (spread, std::cmp::Reverse(free.len()))
    });
    best.map(|(domain, _)| *domain)
}

/// Groups of the service that share the host's failure domain.
fn crowd(round: &Round<'_>, wanted: &Wanted<'_>, host: &HostStatus) -> usize {
    let place = host.entry.as_ref().map(|e| &e.failure_domain);
    let here = |id: &HostId| {
        let member = round.view.hosts.get(id).and_then(|h| h.entry.as_ref());
        member.is_some_and(|e| Some(&e.failure_domain) == place)
    };
    let formed = wanted.groups.iter().filter(|g| g.is_formed());
    formed
        .filter(|g| g.facts.row.lead().is_some_and(here))
        .count()
}

/// `size` free hosts of a domain: warm ones first, then those warm for nothing.
fn pick<'a>(
    round: &Round<'a>,
    wanted: &Wanted<'a>,
    domain: &FabricDomain,
    size: usize,
) -> Vec<&'a HostStatus> {
    let mut hosts: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    sort_by_use(&mut hosts, wanted);
    hosts.truncate(size);
    hosts
}

/// Warm hosts first; of the cold ones those first that are of no use to another service.
pub(crate) fn sort_by_use(hosts: &mut [&HostStatus], wanted: &Wanted<'_>) {
    hosts.sort_by_key(|h| {
        let warm = h.report.as_ref().map_or(0, |r| r.warm.len());
        (!h.is_warm(&wanted.weights), warm)
    });
}

/// Hosts of several fabric domains, where a group can't be had in any other way.
///
/// Such a group is slow. It is the last resort after the service has been short
/// for a while, since hosts that come back may make a better one.
fn span<'a>(round: &Round<'a>, wanted: &Wanted<'a>, size: usize) -> Option<Vec<&'a HostStatus>> {
    let short = wanted.standing() < wanted.count;
    let since = |at: Instant| round.now.saturating_duration_since(at) >= round.policy.span_after;
    let waited = wanted
        .groups
        .iter()
        .all(|g| g.is_serving() || since(g.facts.down_since));
    if !short || !waited || round.policy.strategy != RepairStrategy::CostBased {
        return None;
    }
    let mut domains: Vec<&Vec<&HostStatus>> = round.free.values().collect();
    domains.sort_by_key(|free| std::cmp::Reverse(free.len()));
    let mut hosts: Vec<&HostStatus> = domains.into_iter().flatten().copied().collect();
    sort_by_use(&mut hosts, wanted);
    hosts.truncate(size);
    let settled = hosts.iter().all(|h| since(h.first_seen));
    (hosts.len() == size && settled).then_some(hosts)
}

/// The lowest free index of those that belong to this region.
fn next_group(round: &Round<'_>, wanted: &Wanted<'_>) -> GroupId {
    let regions = round.view.regions.len().max(1) as u32;
    let first = round.region_number() as u32;
    let taken: std::collections::BTreeSet<u32> = wanted
        .groups
        .iter()
        .filter_map(|g| parse_group_id(g.id()))
        .map(|(_, index)| index)
        .chain(round.formed_now(wanted.name))
        .collect();
    let mut index = first;
    while taken.contains(&index) {
        index += regions;
    }
    group_id(wanted.name, index)
}

/// Adds the transaction that binds free hosts to a group; whether the bounds allowed it.
pub(crate) fn form(round: &mut Round<'_>, service: usize, new: NewGroup<'_>) -> bool {
    let weights = round.wanted[service].weights.clone();
    let cold = new.members.iter().filter(|h| !h.is_warm(&weights)).count();
    if !round.may_commit() || !round.may_load(cold) {
        return false;
    }
    let epoch = round.take_epoch();
    let wanted = &round.wanted[service];
    let row = GroupRow {
        group: new.group,
        service: wanted.name.clone(),
        model: wanted.cfg.model.clone(),
        version: wanted.cfg.version.clone(),
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
    round.note_formed(service, &row);
    round.push_transaction(Action::FormGroup { row, transaction });
    true
}
