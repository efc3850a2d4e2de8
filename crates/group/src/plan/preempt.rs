//! Preempts a group of one service for another service that needs its hosts more.

use eelgrassmill_config::RepairObjective;

use crate::plan::end::end_group;
use crate::plan::form::has_capacity;
use crate::plan::group::{Group, GroupHealth};
use crate::plan::recovery::Recovery;
use crate::plan::repair::{is_stuck, wait_is_over};
use crate::plan::round::Round;
use crate::rows::EndReason;

/// Ends a group whose hosts are needed more by another service.
///
/// A service below its required number of groups, which is its demand but at least its floor,
/// preempts a group of another service that has more than it requires. With
/// [`RepairObjective::Stranded`] it also preempts a broken group that isn't expected to recover,
/// rather than leave its hosts idle.
pub(crate) fn preempt_for_demand(round: &mut Round<'_>) {
    for service_index in 0..round.services.len() {
        let service = &round.services[service_index];
        if service.serving_or_expected() >= service.required || has_capacity(round, service) {
            continue;
        }
        let waiting = service
            .groups
            .iter()
            .any(|g| is_releasing(g) || g.recovering || may_recover_soon(round, g));
        if waiting || preemption_in_progress(round) {
            continue;
        }
        if let Some((victim, index)) = find_victim(round, service_index) {
            let status = round.services[victim].groups[index].status;
            if end_group(round, status, EndReason::Yield) {
                round.services[victim].groups[index].ended_this_round = true;
            }
        }
    }
}

/// Whether the group may recover before preempting another one would pay off.
fn may_recover_soon(round: &Round<'_>, group: &Group<'_>) -> bool {
    let down = round.now.saturating_duration_since(group.status.down_since);
    !group.is_serving() && down < round.policy.preempt_after
}

fn is_releasing(group: &Group<'_>) -> bool {
    group.ended_this_round || group.health == GroupHealth::Ending
}

fn preemption_in_progress(round: &Round<'_>) -> bool {
    let mut groups = round.services.iter().flat_map(|s| &s.groups);
    groups.any(|g| is_releasing(g) && g.status.row.reason == Some(EndReason::Yield))
}

fn find_victim(round: &Round<'_>, service_index: usize) -> Option<(usize, usize)> {
    let size = round.services[service_index].cfg.hosts_per_group as usize;
    let mut found: Option<(usize, usize, usize)> = None;
    for (victim, service) in round
        .services
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != service_index)
    {
        for (index, group) in service.groups.iter().enumerate() {
            let usable = group.status.row.members.len() - group.faults.len();
            let free = group
                .domain
                .and_then(|d| round.free.get(d))
                .map_or(0, Vec::len);
            if usable + free < size || !may_preempt(round, victim, group) {
                continue;
            }
            let surplus = service.serving().saturating_sub(service.required);
            if found.is_none_or(|(best, _, _)| surplus > best) {
                found = Some((surplus, victim, index));
            }
        }
    }
    found.map(|(_, victim, index)| (victim, index))
}

fn may_preempt(round: &Round<'_>, victim: usize, group: &Group<'_>) -> bool {
    let service = &round.services[victim];
    let surplus = group.is_serving() && service.serving() > service.required;
    let load = round.load_time(service.load_bytes, 1);
    let stranded = round.policy.weight == RepairObjective::Stranded
        && is_stuck(group)
        && wait_is_over(
            round,
            group,
            Recovery::Reusable,
            round.policy.reform_time + load,
        );
    surplus || stranded
}
