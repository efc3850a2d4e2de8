//! Repairs groups that have lost a member or are about to.
//!
//! The options are tried in order of cost: replace the lost members with warm spares of the same
//! fabric domain, load a spare there while the missing host may still return, merge the hosts of
//! broken groups, and, in [`crate::plan::form`], replace the group elsewhere.

use std::time::Duration;

use eelgrassmill_base::FabricDomain;

use crate::plan::baseline::{first_spare, wait_for_return};
use crate::plan::end::end_group;
use crate::plan::form::{has_capacity, reserve_hosts, sort_by_warmth};
use crate::plan::group::{Group, GroupHealth, MemberFault, ServiceState};
use crate::plan::merge::merge_broken;
use crate::plan::policy::RepairStrategy;
use crate::plan::preempt::preempt_for_demand;
use crate::plan::recovery::{FailureScope, Recovery};
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::EndReason;

/// Repairs every group that has a faulty member.
pub(crate) fn repair(round: &mut Round<'_>) {
    for (service_index, index) in damaged(round) {
        match round.policy.strategy {
            RepairStrategy::CostBased => repair_group(round, service_index, index),
            RepairStrategy::WaitForReturn => wait_for_return(round, service_index, index),
            RepairStrategy::FirstSpare => first_spare(round, service_index, index),
        }
    }
    if round.policy.strategy == RepairStrategy::CostBased {
        merge_broken(round);
        complete_across_domains(round);
        preempt_for_demand(round);
    }
}

/// Groups with faulty members; those that don't serve first, then by number of faults.
fn damaged(round: &Round<'_>) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    for (service_index, service) in round.services.iter().enumerate() {
        for (index, group) in service.groups.iter().enumerate() {
            if group.is_formed() && !group.faults.is_empty() {
                let served = group.health == GroupHealth::Serving;
                found.push((served, group.faults.len(), service_index, index));
            }
        }
    }
    found.sort_unstable();
    found
        .into_iter()
        .map(|(_, _, service_index, index)| (service_index, index))
        .collect()
}

fn repair_group(round: &mut Round<'_>, service_index: usize, index: usize) {
    let group = &round.services[service_index].groups[index];
    let Some(domain) = group.domain else {
        // Spares of other fabric domains are considered later; a restarted member needs no spare.
        if group.health == GroupHealth::Broken && replacements_needed(group) == 0 {
            end_damaged(round, service_index, index, EndReason::MemberRestarted);
        }
        return;
    };
    match group.health {
        GroupHealth::Serving => replace_leaving(round, service_index, index, domain),
        GroupHealth::Starting | GroupHealth::Broken => {
            repair_broken(round, service_index, index, domain)
        }
        GroupHealth::Ending => {}
    }
}

/// Handles leaving members of a serving group: the whole group is replaced if there is capacity,
/// otherwise the leaving members are replaced with warm spares.
fn replace_leaving(
    round: &mut Round<'_>,
    service_index: usize,
    index: usize,
    domain: &FabricDomain,
) {
    let service = &round.services[service_index];
    let group = &service.groups[index];
    let leaving = group
        .faults
        .iter()
        .filter(|(_, fault)| *fault == MemberFault::Leaving)
        .count();
    // Wait for a replacement in progress: ending the group now would remove capacity.
    let replacing = service.expected() >= service.desired;
    let has_room = has_capacity(round, service) || capacity_is_pending(round, service, domain);
    if leaving == 0 || replacing || has_room {
        return;
    }
    let above_floor = service.serving() > service.cfg.floor as usize;
    match find_spares(round, service_index, domain, leaving) {
        Spares::Warm(hosts) if above_floor => {
            end_damaged(round, service_index, index, EndReason::MemberLeaving);
            round.reserve(domain, &hosts);
        }
        Spares::Warm(hosts) => round.reserve(domain, &hosts),
        Spares::Cold(hosts) => request_warmup(round, service_index, hosts),
        Spares::Loading | Spares::TooFew => {}
    }
}

/// Whether spares that have just loaded will soon suffice for a whole group.
///
/// Their rows are freed within a few rounds. Replacing a single member meanwhile would stop a
/// serving group while it drains, whereas replacing the whole group costs no downtime.
fn capacity_is_pending(
    round: &Round<'_>,
    service: &ServiceState<'_>,
    domain: &FabricDomain,
) -> bool {
    let released = |h: &&HostStatus| {
        let group = h.row.group.as_ref().and_then(|g| round.view.groups.get(g));
        let warmed = group.is_some_and(|g| g.row.reason == Some(EndReason::Warmed));
        let same_domain = h.entry.as_ref().is_some_and(|e| e.fabric_domain == *domain);
        warmed && same_domain && round.is_healthy(h)
    };
    let pending = round.view.hosts.values().filter(released).count();
    let free = round.free.get(domain).map_or(0, Vec::len);
    free + pending >= service.cfg.hosts_per_group as usize
}

fn repair_broken(round: &mut Round<'_>, service_index: usize, index: usize, domain: &FabricDomain) {
    let group = &round.services[service_index].groups[index];
    let missing = replacements_needed(group);
    let restarted = group.faults.len() - missing;
    let reason = if restarted > 0 {
        EndReason::MemberRestarted
    } else {
        EndReason::MemberLost
    };
    // A group with a restarted member can't recover by itself, so waiting gains nothing.
    let unrecoverable = restarted > 0 || !may_recover(group);
    if missing == 0 {
        end_damaged(round, service_index, index, reason);
        return;
    }
    let should_end =
        unrecoverable || wait_is_over(round, group, Recovery::Intact, round.policy.reform_time);
    match find_spares(round, service_index, domain, missing) {
        Spares::Warm(hosts) => {
            round.reserve(domain, &hosts);
            round.services[service_index].groups[index].recovering = true;
            if should_end {
                end_damaged(round, service_index, index, reason);
            }
        }
        Spares::Cold(hosts) => {
            round.services[service_index].groups[index].recovering = true;
            request_warmup(round, service_index, hosts);
        }
        Spares::Loading => round.services[service_index].groups[index].recovering = true,
        Spares::TooFew => {}
    }
}

/// Number of members to replace; a restarted host can be a member again.
pub(crate) fn replacements_needed(group: &Group<'_>) -> usize {
    let gone = group
        .faults
        .iter()
        .filter(|(_, fault)| *fault != MemberFault::Restarted);
    gone.count()
}

/// Whether the group becomes whole if its unreachable members answer again.
pub(crate) fn may_recover(group: &Group<'_>) -> bool {
    group
        .faults
        .iter()
        .all(|(_, fault)| *fault == MemberFault::Unreachable)
}

/// Whether acting now, at `cost`, has less expected downtime than waiting longer for such a
/// recovery.
pub(crate) fn wait_is_over(
    round: &Round<'_>,
    group: &Group<'_>,
    recovery: Recovery,
    cost: Duration,
) -> bool {
    let Some(scope) = failure_scope(round, group) else {
        return true;
    };
    silent_time(round, group)
        >= round
            .view
            .recovery_model
            .optimal_wait(scope, recovery, cost)
}

fn failure_scope(round: &Round<'_>, group: &Group<'_>) -> Option<FailureScope> {
    let (host, _) = group.faults.first()?;
    let entry = round.view.hosts.get(*host)?.entry.as_ref()?;
    Some(round.failure_scope_in(&entry.fabric_domain))
}

/// Time since the most recently lost member answered.
fn silent_time(round: &Round<'_>, group: &Group<'_>) -> Duration {
    let hosts = group
        .faults
        .iter()
        .filter_map(|(id, _)| round.view.hosts.get(*id));
    let silences = hosts.map(|h| h.silent_for(round.now));
    silences.min().unwrap_or_default()
}

/// Spares of a fabric domain available to one group.
enum Spares<'a> {
    /// Enough spares that hold the weights.
    Warm(Vec<&'a HostStatus>),
    /// Enough spares, some of which have to load the weights first.
    Cold(Vec<&'a HostStatus>),
    /// Enough spares, of which the cold ones are already loading.
    Loading,
    TooFew,
}

fn find_spares<'a>(
    round: &mut Round<'a>,
    service_index: usize,
    domain: &FabricDomain,
    missing: usize,
) -> Spares<'a> {
    let service = &round.services[service_index];
    let mut free: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    sort_by_warmth(&mut free, service);
    let warm = free.iter().filter(|h| h.is_warm(&service.weights)).count();
    if warm >= missing {
        free.truncate(missing);
        return Spares::Warm(free);
    }
    let name = service.name.as_str();
    let loading = round
        .warming
        .iter_mut()
        .find(|((s, d), _)| *s == name && *d == domain);
    let mut none = 0;
    let loading = loading.map_or(&mut none, |(_, count)| count);
    let used = (*loading).min(missing - warm);
    if free.len() + used < missing {
        return Spares::TooFew;
    }
    *loading -= used;
    if warm + used >= missing {
        free.truncate(warm);
        round.reserve(domain, &free);
        return Spares::Loading;
    }
    free.truncate(missing - used);
    Spares::Cold(free)
}

/// Reserves the hosts for the service and requests a load on the cold ones.
fn request_warmup<'a>(round: &mut Round<'a>, service_index: usize, hosts: Vec<&'a HostStatus>) {
    reserve_hosts(round, &hosts);
    let weights = round.services[service_index].weights.clone();
    let cold = hosts.into_iter().filter(|h| !h.is_warm(&weights));
    round
        .warmup_requests
        .extend(cold.map(|h| (service_index, h)));
}

pub(crate) fn end_damaged(
    round: &mut Round<'_>,
    service_index: usize,
    index: usize,
    reason: EndReason,
) {
    let status = round.services[service_index].groups[index].status;
    if end_group(round, status, reason) {
        let group = &mut round.services[service_index].groups[index];
        group.ended_this_round = true;
        group.recovering = true;
    }
}

/// Completes stuck groups with spares of other fabric domains.
///
/// Such a group is slow, which is better than none; if a whole group fits into one fabric
/// domain, that is formed instead.
fn complete_across_domains(round: &mut Round<'_>) {
    for (service_index, index) in damaged(round) {
        let service = &round.services[service_index];
        let group = &service.groups[index];
        let size = group.status.row.members.len();
        let ready = !may_recover(group)
            || wait_is_over(round, group, Recovery::Intact, round.policy.reform_time * 2);
        let lost = replacements_needed(group);
        if !is_stuck(group) || has_capacity(round, service) || lost == size || !ready {
            continue;
        }
        let mut remote: Vec<&HostStatus> = round.free.values().flatten().copied().collect();
        sort_by_warmth(&mut remote, service);
        remote.truncate(lost);
        if remote.len() < lost {
            continue;
        }
        let warm = remote.iter().all(|h| h.is_warm(&service.weights));
        let unrecoverable = !may_recover(group);
        round.services[service_index].groups[index].recovering = true;
        if warm || unrecoverable {
            reserve_hosts(round, &remote);
            end_damaged(round, service_index, index, EndReason::MemberLost);
        } else {
            request_warmup(round, service_index, remote);
        }
    }
}

pub(crate) fn is_stuck(group: &Group<'_>) -> bool {
    group.health == GroupHealth::Broken && group.is_formed() && !group.recovering
}
