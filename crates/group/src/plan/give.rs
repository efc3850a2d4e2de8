//! Giving the hosts of one service's group to another service that needs them more.

use eelgrassmill_config::RepairWeight;

use crate::plan::end::end_group;
use crate::plan::form::has_room;
use crate::plan::group::{Group, Standing};
use crate::plan::recovery::Recovery;
use crate::plan::repair::{is_stuck, is_time};
use crate::plan::round::Round;
use crate::rows::EndReason;

/// Ends a group whose hosts are needed more by another service.
///
/// A service below its need, which is the demand and its floor at least, takes
/// the hosts of a group that another service has above its own need. With
/// [`RepairWeight::Stranded`] it also takes the hosts of a broken group that
/// isn't expected back, rather than leave them idle.
pub(crate) fn yield_to_need(round: &mut Round<'_>) {
    for service in 0..round.wanted.len() {
        let wanted = &round.wanted[service];
        if wanted.standing() >= wanted.need || has_room(round, wanted) {
            continue;
        }
        let waiting = wanted
            .groups
            .iter()
            .any(|g| is_releasing(g) || g.mending || is_recent(round, g));
        if waiting || someone_yields(round) {
            continue;
        }
        if let Some((giver, index)) = find_giver(round, service) {
            let facts = round.wanted[giver].groups[index].facts;
            if end_group(round, facts, EndReason::Yield) {
                round.wanted[giver].groups[index].ended_now = true;
            }
        }
    }
}

/// Whether the group may be back before another one, ended for its sake, would have paid.
fn is_recent(round: &Round<'_>, group: &Group<'_>) -> bool {
    let down = round.now.saturating_duration_since(group.facts.down_since);
    !group.is_serving() && down < round.policy.preempt_after
}

fn is_releasing(group: &Group<'_>) -> bool {
    group.ended_now || group.standing == Standing::Ending
}

fn someone_yields(round: &Round<'_>) -> bool {
    let mut groups = round.wanted.iter().flat_map(|w| &w.groups);
    groups.any(|g| is_releasing(g) && g.facts.row.reason == Some(EndReason::Yield))
}

fn find_giver(round: &Round<'_>, service: usize) -> Option<(usize, usize)> {
    let size = round.wanted[service].cfg.hosts_per_group as usize;
    let mut found: Option<(usize, usize, usize)> = None;
    for (giver, wanted) in round
        .wanted
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != service)
    {
        for (index, group) in wanted.groups.iter().enumerate() {
            let fit = group.facts.row.members.len() - group.lost.len();
            let free = group
                .domain
                .and_then(|d| round.free.get(d))
                .map_or(0, Vec::len);
            if fit + free < size || !may_give(round, giver, group) {
                continue;
            }
            let above = wanted.serving().saturating_sub(wanted.need);
            if found.is_none_or(|(best, _, _)| above > best) {
                found = Some((above, giver, index));
            }
        }
    }
    found.map(|(_, giver, index)| (giver, index))
}

fn may_give(round: &Round<'_>, giver: usize, group: &Group<'_>) -> bool {
    let wanted = &round.wanted[giver];
    let above = group.is_serving() && wanted.serving() > wanted.need;
    let load = round.load_time(wanted.load_bytes, 1);
    let stranded = round.policy.weight == RepairWeight::Stranded
        && is_stuck(group)
        && is_time(
            round,
            group,
            Recovery::Reusable,
            round.policy.reform_time + load,
        );
    above || stranded
}
