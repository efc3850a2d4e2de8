//! Ends groups that are surplus, replaced or outdated.

use std::cmp::Reverse;

use crate::plan::end::end_group;
use crate::plan::form::has_capacity;
use crate::plan::group::{Group, GroupHealth, ServiceState};
use crate::plan::round::Round;
use crate::rows::{EndReason, GroupPhase, parse_group_id};

/// Ends groups of services no longer configured, and groups beyond the desired number.
pub(crate) fn end_surplus(round: &mut Round<'_>) {
    end_unconfigured(round);
    for service_index in 0..round.services.len() {
        end_excess(round, service_index);
    }
}

fn end_unconfigured(round: &mut Round<'_>) {
    let view = round.view;
    for group in view.groups.values() {
        let configured = round.services.iter().any(|s| *s.name == group.row.service);
        let formed = group.row.phase == GroupPhase::Formed;
        if formed && !configured && round.is_owned(group) {
            end_group(round, group, EndReason::Unwanted);
        }
    }
}

/// Ends the lowest ranked groups of a service while enough others serve.
///
/// A serving group is ended only if the desired number still serves without it and every node
/// knows of these, so that a replacement receives requests before its predecessor ends.
fn end_excess(round: &mut Round<'_>, service_index: usize) {
    let service = &round.services[service_index];
    let mut counts = Counts::of(service);
    if counts.formed <= service.desired {
        return;
    }
    let mut order: Vec<usize> = (0..service.groups.len()).collect();
    order.retain(|i| service.groups[*i].is_formed());
    order.sort_by_cached_key(|i| retention_rank(service, &service.groups[*i]));
    for index in order {
        let service = &round.services[service_index];
        if counts.formed <= service.desired {
            return;
        }
        if !counts.may_end(service, &service.groups[index]) {
            continue;
        }
        let group = &service.groups[index];
        let reason = if group.is_durable(service) {
            EndReason::Unwanted
        } else {
            EndReason::Replaced
        };
        let status = group.status;
        if end_group(round, status, reason) {
            round.services[service_index].groups[index].ended_this_round = true;
            counts = Counts::of(&round.services[service_index]);
        }
    }
}

/// Group counts of one service, computed once rather than for each group.
#[derive(Clone, Copy, Debug)]
struct Counts {
    formed: usize,
    serving: usize,
    /// Serving groups that every node knows of.
    propagated: usize,
    /// Serving groups that need no replacement.
    serving_durable: usize,
}

impl Counts {
    fn of(service: &ServiceState<'_>) -> Counts {
        Counts {
            formed: service.groups.iter().filter(|g| g.is_formed()).count(),
            serving: service.serving(),
            propagated: service.propagated(),
            serving_durable: service.serving_durable(),
        }
    }

    fn may_end(self, service: &ServiceState<'_>, group: &Group<'_>) -> bool {
        if group.is_serving() {
            // A group that not every node knows of may be the replacement of another.
            return group.is_propagated() && self.propagated > service.desired;
        }
        // Keep a replacement in progress until enough groups serve that need none.
        let enough = if group.is_durable(service) {
            self.serving_durable
        } else {
            self.serving
        };
        // Two groups that don't serve yet may compete for each missing one.
        let others = self.formed - self.serving - 1;
        let missing = service.desired.saturating_sub(self.serving).max(1);
        enough >= service.desired || others >= 2 * missing
    }
}

/// Sort key: groups that rank lower are ended first.
fn retention_rank(
    service: &ServiceState<'_>,
    group: &Group<'_>,
) -> (bool, bool, bool, Reverse<u32>) {
    let index = parse_group_id(group.id()).map_or(u32::MAX, |(_, index)| index);
    let serving = group.is_serving();
    (
        serving,
        group.is_durable(service),
        group.domain.is_some(),
        Reverse(index),
    )
}

/// Ends outdated groups where there is no capacity to replace them first.
pub(crate) fn roll_out(round: &mut Round<'_>) {
    for service_index in 0..round.services.len() {
        let mut budget = rollout_budget(round, service_index);
        let mut propagated = round.services[service_index].propagated();
        for index in 0..round.services[service_index].groups.len() {
            let service = &round.services[service_index];
            let group = &service.groups[index];
            if budget == 0 || !group.is_formed() || !is_outdated(service, group) {
                continue;
            }
            // Ending a group that can't recover costs no capacity, so the floor doesn't apply.
            let propagated_loss = usize::from(group.is_propagated());
            let expected_to_serve = group.is_serving() || may_resume(round, group);
            if expected_to_serve && propagated - propagated_loss < service.cfg.floor as usize {
                continue;
            }
            let status = group.status;
            if end_group(round, status, EndReason::Rollout) {
                round.services[service_index].groups[index].ended_this_round = true;
                budget -= 1;
                propagated -= propagated_loss;
            }
        }
    }
}

/// Whether a group that has stopped serving is expected to resume: none of its members is known
/// to be faulty.
///
/// A brief loss of responses ends much sooner than a load would.
fn may_resume(round: &Round<'_>, group: &Group<'_>) -> bool {
    let down = round.now.saturating_duration_since(group.status.down_since);
    let members_healthy = group.health == GroupHealth::Starting;
    members_healthy && group.status.served && down <= round.policy.reform_timeout
}

/// How many more groups may be ended for the rollout now.
fn rollout_budget(round: &Round<'_>, service_index: usize) -> usize {
    let service = &round.services[service_index];
    if has_capacity(round, service) || is_replacing(round, service) {
        return 0;
    }
    let size = service.cfg.hosts_per_group.max(1) as usize;
    let at_once = (round.policy.max_loads / size).max(1);
    let under_way = service
        .groups
        .iter()
        .filter(|g| is_transitioning(g))
        .count();
    at_once.saturating_sub(under_way + round.formed_this_round(service.name).count())
}

/// Whether a replacement is in progress, or a replaced group is about to free its hosts for the
/// next one.
fn is_replacing(round: &Round<'_>, service: &ServiceState<'_>) -> bool {
    let formed = service.groups.iter().filter(|g| g.is_formed()).count();
    let releasing = |g: &Group<'_>| {
        let reformable = g.status.row.reason == Some(EndReason::Rollout);
        let ending = g.health == GroupHealth::Ending && !reformable;
        ending || (g.ended_this_round && !reformable)
    };
    let added = round.formed_this_round(service.name).count();
    formed + added > service.desired || service.groups.iter().any(releasing)
}

fn is_transitioning(group: &Group<'_>) -> bool {
    group.ended_this_round || matches!(group.health, GroupHealth::Ending | GroupHealth::Starting)
}

fn is_outdated(service: &ServiceState<'_>, group: &Group<'_>) -> bool {
    let row = &group.status.row;
    let resized = row.members.len() != service.cfg.hosts_per_group as usize;
    row.model != service.cfg.model || row.version != service.cfg.version || resized
}
