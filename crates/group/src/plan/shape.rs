//! Ending groups that are not wanted, are replaced, or serve an old version.

use std::cmp::Reverse;

use crate::plan::end::end_group;
use crate::plan::form::has_room;
use crate::plan::group::{Group, Standing, Wanted};
use crate::plan::round::Round;
use crate::rows::{EndReason, GroupPhase, parse_group_id};

/// Ends groups of services that are gone, and those beyond the number wanted.
pub(crate) fn end_surplus(round: &mut Round<'_>) {
    end_unconfigured(round);
    for service in 0..round.wanted.len() {
        end_beyond_count(round, service);
    }
}

fn end_unconfigured(round: &mut Round<'_>) {
    let view = round.view;
    for group in view.groups.values() {
        let known = round.wanted.iter().any(|w| *w.name == group.row.service);
        let formed = group.row.phase == GroupPhase::Formed;
        if formed && !known && round.is_ours(group) {
            end_group(round, group, EndReason::Unwanted);
        }
    }
}

/// Ends the worst groups of a service while enough others serve.
///
/// A group that serves is ended only when as many as wanted still serve
/// without it, and every node knows of them; so a replacement, whatever it is
/// for, gets work before its predecessor ends.
fn end_beyond_count(round: &mut Round<'_>, service: usize) {
    let wanted = &round.wanted[service];
    let mut counts = Counts::of(wanted);
    if counts.formed <= wanted.count {
        return;
    }
    let mut order: Vec<usize> = (0..wanted.groups.len()).collect();
    order.retain(|i| wanted.groups[*i].is_formed());
    order.sort_by_cached_key(|i| worth(wanted, &wanted.groups[*i]));
    for index in order {
        let wanted = &round.wanted[service];
        if counts.formed <= wanted.count {
            return;
        }
        if !counts.may_end(wanted, &wanted.groups[index]) {
            continue;
        }
        let group = &wanted.groups[index];
        let reason = if group.is_good(wanted) {
            EndReason::Unwanted
        } else {
            EndReason::Replaced
        };
        let facts = group.facts;
        if end_group(round, facts, reason) {
            round.wanted[service].groups[index].ended_now = true;
            counts = Counts::of(&round.wanted[service]);
        }
    }
}

/// Groups of one service, counted once and not for each group that is looked at.
#[derive(Clone, Copy, Debug)]
struct Counts {
    formed: usize,
    serving: usize,
    /// Those of the serving that every node knows of.
    known: usize,
    /// Those of the serving that need no replacement.
    serving_well: usize,
}

impl Counts {
    fn of(wanted: &Wanted<'_>) -> Counts {
        Counts {
            formed: wanted.groups.iter().filter(|g| g.is_formed()).count(),
            serving: wanted.serving(),
            known: wanted.known(),
            serving_well: wanted.serving_well(),
        }
    }

    fn may_end(self, wanted: &Wanted<'_>, group: &Group<'_>) -> bool {
        if group.is_serving() {
            // One that few know of may be the replacement of another.
            return group.is_known() && self.known > wanted.count;
        }
        // A replacement on its way is kept until enough groups serve that need none.
        let enough = if group.is_good(wanted) {
            self.serving_well
        } else {
            self.serving
        };
        // Of those that don't serve yet, two for each that is missing may race.
        let others = self.formed - self.serving - 1;
        let missing = wanted.count.saturating_sub(self.serving).max(1);
        enough >= wanted.count || others >= 2 * missing
    }
}

/// Lower for groups that are ended first.
fn worth(wanted: &Wanted<'_>, group: &Group<'_>) -> (bool, bool, bool, Reverse<u32>) {
    let index = parse_group_id(group.id()).map_or(u32::MAX, |(_, index)| index);
    let serving = group.is_serving();
    (
        serving,
        group.is_good(wanted),
        group.domain.is_some(),
        Reverse(index),
    )
}

/// Ends groups of an old version where there is no room to replace them first.
pub(crate) fn roll_out(round: &mut Round<'_>) {
    for service in 0..round.wanted.len() {
        let mut left = rollouts_allowed(round, service);
        let mut known = round.wanted[service].known();
        for index in 0..round.wanted[service].groups.len() {
            let wanted = &round.wanted[service];
            let group = &wanted.groups[index];
            if left == 0 || !group.is_formed() || !is_old(wanted, group) {
                continue;
            }
            // A group that can't come back costs no capacity; it is ended whatever the floor.
            let costs = usize::from(group.is_known());
            let kept = group.is_serving() || comes_back(round, group);
            if kept && known - costs < wanted.cfg.floor as usize {
                continue;
            }
            let facts = group.facts;
            if end_group(round, facts, EndReason::Rollout) {
                round.wanted[service].groups[index].ended_now = true;
                left -= 1;
                known -= costs;
            }
        }
    }
}

/// Whether a group that has stopped serving is expected back as it is: none of its members
/// is known to be lost.
///
/// A moment in which its hosts don't answer is over much sooner than a load.
fn comes_back(round: &Round<'_>, group: &Group<'_>) -> bool {
    let down = round.now.saturating_duration_since(group.facts.down_since);
    let unharmed = group.standing == Standing::Coming;
    unharmed && group.facts.served && down <= round.policy.reform_timeout
}

/// How many groups may be between versions at once, less those that are.
fn rollouts_allowed(round: &Round<'_>, service: usize) -> usize {
    let wanted = &round.wanted[service];
    if has_room(round, wanted) || is_replacing(round, wanted) {
        return 0;
    }
    let size = wanted.cfg.hosts_per_group.max(1) as usize;
    let at_once = (round.policy.max_loads / size).max(1);
    let under_way = wanted.groups.iter().filter(|g| is_under_way(g)).count();
    at_once.saturating_sub(under_way + round.formed_now(wanted.name).count())
}

/// Whether a replacement is on its way, or the hosts of a group replaced are about to make room
/// for the next.
fn is_replacing(round: &Round<'_>, wanted: &Wanted<'_>) -> bool {
    let formed = wanted.groups.iter().filter(|g| g.is_formed()).count();
    let releasing = |g: &Group<'_>| {
        let again = g.facts.row.reason == Some(EndReason::Rollout);
        let ending = g.standing == Standing::Ending && !again;
        ending || (g.ended_now && !again)
    };
    let added = round.formed_now(wanted.name).count();
    formed + added > wanted.count || wanted.groups.iter().any(releasing)
}

fn is_under_way(group: &Group<'_>) -> bool {
    group.ended_now || matches!(group.standing, Standing::Ending | Standing::Coming)
}

fn is_old(wanted: &Wanted<'_>, group: &Group<'_>) -> bool {
    let row = &group.facts.row;
    let size = row.members.len() != wanted.cfg.hosts_per_group as usize;
    row.model != wanted.cfg.model || row.version != wanted.cfg.version || size
}
