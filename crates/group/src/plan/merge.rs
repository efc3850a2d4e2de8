//! Merges the hosts of broken groups into fewer whole groups.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plan::group::Group;
use crate::plan::recovery::Recovery;
use crate::plan::repair::{end_damaged, is_stuck, may_recover, wait_is_over};
use crate::plan::round::Round;
use crate::rows::EndReason;

/// How far apart two merged groups may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    /// Same service and fabric domain: no load, and the result is as fast as before.
    FabricDomain,
    /// Same service: no load, but the result is slow.
    Service,
    /// Any: the donor's hosts have to load.
    Any,
}

/// A broken group that isn't expected to recover in time.
#[derive(Clone, Copy, Debug)]
struct Stuck {
    lost: usize,
    service_index: usize,
    index: usize,
    /// Number of healthy members.
    healthy: usize,
}

/// Merges the hosts of broken groups into fewer whole groups.
///
/// The receiver serves again, while its donor would have stayed broken anyway. The nearest
/// donors are tried first.
pub(crate) fn merge_broken(round: &mut Round<'_>) {
    for distance in [Distance::FabricDomain, Distance::Service, Distance::Any] {
        let mut stuck = stuck_groups(round, distance);
        stuck.sort_unstable_by_key(|s| (s.lost, s.service_index, s.index));
        merge(round, &stuck, distance);
    }
}

fn stuck_groups(round: &Round<'_>, distance: Distance) -> Vec<Stuck> {
    let mut found = Vec::new();
    for (service_index, service) in round.services.iter().enumerate() {
        let load = match distance {
            Distance::Any => round.load_time(service.load_bytes, 1),
            Distance::FabricDomain | Distance::Service => Duration::ZERO,
        };
        let cost = round.policy.reform_time * 2 + load;
        for (index, group) in service.groups.iter().enumerate() {
            if is_stuck(group)
                && (!may_recover(group) || wait_is_over(round, group, Recovery::Reusable, cost))
            {
                let lost = group.faults.len();
                let healthy = group.status.row.members.len() - lost;
                found.push(Stuck {
                    lost,
                    service_index,
                    index,
                    healthy,
                });
            }
        }
    }
    found
}

/// Completes the least damaged groups with hosts of the most damaged ones.
fn merge(round: &mut Round<'_>, stuck: &[Stuck], distance: Distance) {
    let mut donated: BTreeMap<usize, usize> = BTreeMap::new();
    for (position, receiver) in stuck.iter().enumerate() {
        if donated.contains_key(&position) || !is_stuck(group_of(round, receiver)) {
            continue;
        }
        let donor = (position + 1..stuck.len()).rev().find(|other| {
            let donor = &stuck[*other];
            let left = donor.healthy - donated.get(other).copied().unwrap_or(0);
            let usable = donated.contains_key(other) || is_stuck(group_of(round, donor));
            usable && left >= receiver.lost && is_within(round, receiver, donor, distance)
        });
        let Some(donor) = donor else {
            continue;
        };
        *donated.entry(donor).or_default() += receiver.lost;
        let donor = stuck[donor];
        end_damaged(
            round,
            receiver.service_index,
            receiver.index,
            EndReason::MemberLost,
        );
        if !group_of(round, &donor).ended_this_round {
            end_damaged(
                round,
                donor.service_index,
                donor.index,
                EndReason::MemberLost,
            );
        }
        // The donor is not expected to recover, so its hosts are available to any group.
        round.services[donor.service_index].groups[donor.index].recovering = false;
    }
}

fn group_of<'r, 'a>(round: &'r Round<'a>, stuck: &Stuck) -> &'r Group<'a> {
    &round.services[stuck.service_index].groups[stuck.index]
}

fn is_within(round: &Round<'_>, receiver: &Stuck, donor: &Stuck, distance: Distance) -> bool {
    let (to, from) = (group_of(round, receiver), group_of(round, donor));
    let same_service = receiver.service_index == donor.service_index;
    match distance {
        Distance::FabricDomain => same_service && to.domain.is_some() && to.domain == from.domain,
        Distance::Service => same_service,
        Distance::Any => true,
    }
}
