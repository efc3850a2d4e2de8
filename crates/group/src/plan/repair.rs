//! What to do about groups that have lost a member or are about to.
//!
//! The ways are tried in the order of what they cost: swap the lost members
//! for warm spares of the same fabric domain, load a spare there while the
//! missing host may still come back, join the hosts of two broken groups,
//! and, in [`crate::plan::form`], replace the group elsewhere.

use std::time::Duration;

use eelgrassmill_base::FabricDomain;

use crate::plan::baseline::{first_spare, wait_for_return};
use crate::plan::end::end_group;
use crate::plan::form::{has_room, keep, sort_by_use};
use crate::plan::give::yield_to_need;
use crate::plan::group::{Group, Lost, Standing, Wanted};
use crate::plan::join::join_broken;
use crate::plan::policy::RepairStrategy;
use crate::plan::recovery::{FailureScope, Recovery};
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::EndReason;

/// Looks at every group that has lost a member.
pub(crate) fn repair(round: &mut Round<'_>) {
    for (service, index) in damaged(round) {
        match round.policy.strategy {
            RepairStrategy::CostBased => weigh(round, service, index),
            RepairStrategy::WaitForReturn => wait_for_return(round, service, index),
            RepairStrategy::FirstSpare => first_spare(round, service, index),
        }
    }
    if round.policy.strategy == RepairStrategy::CostBased {
        join_broken(round);
        borrow(round);
        yield_to_need(round);
    }
}

/// Damaged groups, those first that need the fewest other hosts.
fn damaged(round: &Round<'_>) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    for (service, wanted) in round.wanted.iter().enumerate() {
        for (index, group) in wanted.groups.iter().enumerate() {
            if group.is_formed() && !group.lost.is_empty() {
                let served = group.standing == Standing::Serving;
                found.push((served, group.lost.len(), service, index));
            }
        }
    }
    found.sort_unstable();
    found
        .into_iter()
        .map(|(_, _, service, index)| (service, index))
        .collect()
}

fn weigh(round: &mut Round<'_>, service: usize, index: usize) {
    let group = &round.wanted[service].groups[index];
    let Some(domain) = group.domain else {
        // Spares of other fabric domains are considered later; a restart needs none.
        if group.standing == Standing::Broken && missing(group) == 0 {
            end(round, service, index, EndReason::MemberRestarted);
        }
        return;
    };
    match group.standing {
        Standing::Serving => weigh_leaving(round, service, index, domain),
        Standing::Coming | Standing::Broken => weigh_broken(round, service, index, domain),
        Standing::Ending => {}
    }
}

/// A group that serves and has a member leaving: replaced whole where that fits, else its
/// leaving members are swapped for spares that are warm already.
fn weigh_leaving(round: &mut Round<'_>, service: usize, index: usize, domain: &FabricDomain) {
    let wanted = &round.wanted[service];
    let group = &wanted.groups[index];
    let leaving = group
        .lost
        .iter()
        .filter(|(_, why)| *why == Lost::Leaving)
        .count();
    // A replacement that is on its way is waited for: ending the group now would take
    // away capacity that it still gives.
    let replaced = wanted.expected() >= wanted.count;
    let room = has_room(round, wanted) || room_is_coming(round, wanted, domain);
    if leaving == 0 || replaced || room {
        return;
    }
    let spared = wanted.serving() > wanted.cfg.floor as usize;
    match spares(round, service, domain, leaving) {
        Spares::Warm(hosts) if spared => {
            end(round, service, index, EndReason::MemberLeaving);
            round.reserve(domain, &hosts);
        }
        Spares::Warm(hosts) => round.reserve(domain, &hosts),
        Spares::Cold(hosts) => wish(round, service, hosts),
        Spares::Loading | Spares::TooFew => {}
    }
}

/// Whether spares that have just loaded are about to make room for a whole group.
///
/// Their rows are freed within a few rounds. Swapping a member meanwhile would stop a
/// group that serves, for the whole of its draining, where a replacement costs nothing.
fn room_is_coming(round: &Round<'_>, wanted: &Wanted<'_>, domain: &FabricDomain) -> bool {
    let released = |h: &&HostStatus| {
        let group = h.row.group.as_ref().and_then(|g| round.view.groups.get(g));
        let warmed = group.is_some_and(|g| g.row.reason == Some(EndReason::Warmed));
        let near = h.entry.as_ref().is_some_and(|e| e.fabric_domain == *domain);
        warmed && near && round.is_healthy(h)
    };
    let coming = round.view.hosts.values().filter(released).count();
    let free = round.free.get(domain).map_or(0, Vec::len);
    free + coming >= wanted.cfg.hosts_per_group as usize
}

fn weigh_broken(round: &mut Round<'_>, service: usize, index: usize, domain: &FabricDomain) {
    let group = &round.wanted[service].groups[index];
    let missing = missing(group);
    let fit_again = group.lost.len() - missing;
    let reason = if fit_again > 0 {
        EndReason::MemberRestarted
    } else {
        EndReason::MemberLost
    };
    // Nothing is gained by waiting when a member has restarted: the group can't come back.
    let beyond_return = fit_again > 0 || !may_return(group);
    if missing == 0 {
        end(round, service, index, reason);
        return;
    }
    let acts = beyond_return || is_time(round, group, Recovery::Intact, round.policy.reform_time);
    match spares(round, service, domain, missing) {
        Spares::Warm(hosts) => {
            round.reserve(domain, &hosts);
            round.wanted[service].groups[index].mending = true;
            if acts {
                end(round, service, index, reason);
            }
        }
        Spares::Cold(hosts) => {
            round.wanted[service].groups[index].mending = true;
            wish(round, service, hosts);
        }
        Spares::Loading => round.wanted[service].groups[index].mending = true,
        Spares::TooFew => {}
    }
}

/// Members that have to be replaced; one that restarted is fit to be a member again.
pub(crate) fn missing(group: &Group<'_>) -> usize {
    let gone = group.lost.iter().filter(|(_, why)| *why != Lost::Restarted);
    gone.count()
}

/// Whether the group becomes whole if its silent members answer again.
pub(crate) fn may_return(group: &Group<'_>) -> bool {
    group.lost.iter().all(|(_, why)| *why == Lost::Silent)
}

/// Whether acting at `cost` now is expected to cost less downtime than waiting on for a
/// return of this worth.
pub(crate) fn is_time(
    round: &Round<'_>,
    group: &Group<'_>,
    recovery: Recovery,
    cost: Duration,
) -> bool {
    let Some(scope) = scope(round, group) else {
        return true;
    };
    silence(round, group)
        >= round
            .view
            .recovery_model
            .optimal_wait(scope, recovery, cost)
}

fn scope(round: &Round<'_>, group: &Group<'_>) -> Option<FailureScope> {
    let (host, _) = group.lost.first()?;
    let entry = round.view.hosts.get(*host)?.entry.as_ref()?;
    Some(round.failure_scope_in(&entry.fabric_domain))
}

/// How long the member has been silent that was lost last.
fn silence(round: &Round<'_>, group: &Group<'_>) -> Duration {
    let hosts = group
        .lost
        .iter()
        .filter_map(|(id, _)| round.view.hosts.get(*id));
    let silences = hosts.map(|h| h.silent_for(round.now));
    silences.min().unwrap_or_default()
}

/// Spares of a fabric domain for one group.
enum Spares<'a> {
    /// Enough that hold the weights.
    Warm(Vec<&'a HostStatus>),
    /// Enough, and these have to load first.
    Cold(Vec<&'a HostStatus>),
    /// Enough, of which the rest are loading already.
    Loading,
    TooFew,
}

fn spares<'a>(
    round: &mut Round<'a>,
    service: usize,
    domain: &FabricDomain,
    missing: usize,
) -> Spares<'a> {
    let wanted = &round.wanted[service];
    let mut free: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    sort_by_use(&mut free, wanted);
    let warm = free.iter().filter(|h| h.is_warm(&wanted.weights)).count();
    if warm >= missing {
        free.truncate(missing);
        return Spares::Warm(free);
    }
    let name = wanted.name.as_str();
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

/// Keeps the hosts for the service and asks for those that are cold to be loaded.
fn wish<'a>(round: &mut Round<'a>, service: usize, hosts: Vec<&'a HostStatus>) {
    keep(round, &hosts);
    let weights = round.wanted[service].weights.clone();
    let cold = hosts.into_iter().filter(|h| !h.is_warm(&weights));
    round.wishes.extend(cold.map(|h| (service, h)));
}

pub(crate) fn end(round: &mut Round<'_>, service: usize, index: usize, reason: EndReason) {
    let facts = round.wanted[service].groups[index].facts;
    if end_group(round, facts, reason) {
        let group = &mut round.wanted[service].groups[index];
        group.ended_now = true;
        group.mending = true;
    }
}

/// Completes stuck groups with spares of other fabric domains.
///
/// Such a group is slow, which is better than none; where a whole group fits
/// into one fabric domain, that is made instead.
fn borrow(round: &mut Round<'_>) {
    for (service, index) in damaged(round) {
        let wanted = &round.wanted[service];
        let group = &wanted.groups[index];
        let size = group.facts.row.members.len();
        let ripe = !may_return(group)
            || is_time(round, group, Recovery::Intact, round.policy.reform_time * 2);
        let lost = missing(group);
        if !is_stuck(group) || has_room(round, wanted) || lost == size || !ripe {
            continue;
        }
        let mut far: Vec<&HostStatus> = round.free.values().flatten().copied().collect();
        sort_by_use(&mut far, wanted);
        far.truncate(lost);
        if far.len() < lost {
            continue;
        }
        let warm = far.iter().all(|h| h.is_warm(&wanted.weights));
        let hopeless = !may_return(group);
        round.wanted[service].groups[index].mending = true;
        if warm || hopeless {
            keep(round, &far);
            end(round, service, index, EndReason::MemberLost);
        } else {
            wish(round, service, far);
        }
    }
}

pub(crate) fn is_stuck(group: &Group<'_>) -> bool {
    group.standing == Standing::Broken && group.is_formed() && !group.mending
}
