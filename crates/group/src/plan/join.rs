//! Joining the hosts of broken groups into fewer whole ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plan::group::Group;
use crate::plan::recovery::Recovery;
use crate::plan::repair::{end, is_stuck, is_time, may_return};
use crate::plan::round::Round;
use crate::rows::EndReason;

/// How far apart two groups may be whose hosts are joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// One service and fabric domain: no load, and the result is as fast as before.
    Fabric,
    /// One service: no load, but the result is slow.
    Service,
    /// Any: the donor's hosts have to load.
    Any,
}

/// A broken group that isn't expected back in time.
#[derive(Clone, Copy, Debug)]
struct Stuck {
    lost: usize,
    service: usize,
    index: usize,
    /// Members that are fit.
    fit: usize,
}

/// Joins the hosts of broken groups into fewer whole ones.
///
/// The one that is completed is back, while its donor would have stayed broken
/// in any case. The nearest donors are tried first.
pub(crate) fn join_broken(round: &mut Round<'_>) {
    for reach in [Reach::Fabric, Reach::Service, Reach::Any] {
        let mut stuck = stuck_groups(round, reach);
        stuck.sort_unstable_by_key(|s| (s.lost, s.service, s.index));
        join(round, &stuck, reach);
    }
}

fn stuck_groups(round: &Round<'_>, reach: Reach) -> Vec<Stuck> {
    let mut found = Vec::new();
    for (service, wanted) in round.wanted.iter().enumerate() {
        let load = match reach {
            Reach::Any => round.load_time(wanted.load_bytes, 1),
            Reach::Fabric | Reach::Service => Duration::ZERO,
        };
        let cost = round.policy.reform_time * 2 + load;
        for (index, group) in wanted.groups.iter().enumerate() {
            if is_stuck(group)
                && (!may_return(group) || is_time(round, group, Recovery::Reusable, cost))
            {
                let lost = group.lost.len();
                let fit = group.facts.row.members.len() - lost;
                found.push(Stuck {
                    lost,
                    service,
                    index,
                    fit,
                });
            }
        }
    }
    found
}

/// Completes the least damaged groups from the most damaged ones.
fn join(round: &mut Round<'_>, stuck: &[Stuck], reach: Reach) {
    let mut given: BTreeMap<usize, usize> = BTreeMap::new();
    for (place, receiver) in stuck.iter().enumerate() {
        if given.contains_key(&place) || !is_stuck(group_of(round, receiver)) {
            continue;
        }
        let donor = (place + 1..stuck.len()).rev().find(|other| {
            let donor = &stuck[*other];
            let left = donor.fit - given.get(other).copied().unwrap_or(0);
            let usable = given.contains_key(other) || is_stuck(group_of(round, donor));
            usable && left >= receiver.lost && reaches(round, receiver, donor, reach)
        });
        let Some(donor) = donor else {
            continue;
        };
        *given.entry(donor).or_default() += receiver.lost;
        let donor = stuck[donor];
        end(
            round,
            receiver.service,
            receiver.index,
            EndReason::MemberLost,
        );
        if !group_of(round, &donor).ended_now {
            end(round, donor.service, donor.index, EndReason::MemberLost);
        }
        // The donor is not expected back by itself; its hosts are free for all.
        round.wanted[donor.service].groups[donor.index].mending = false;
    }
}

fn group_of<'r, 'a>(round: &'r Round<'a>, stuck: &Stuck) -> &'r Group<'a> {
    &round.wanted[stuck.service].groups[stuck.index]
}

fn reaches(round: &Round<'_>, receiver: &Stuck, donor: &Stuck, reach: Reach) -> bool {
    let (to, from) = (group_of(round, receiver), group_of(round, donor));
    let same_service = receiver.service == donor.service;
    match reach {
        Reach::Fabric => same_service && to.domain.is_some() && to.domain == from.domain,
        Reach::Service => same_service,
        Reach::Any => true,
    }
}
