//! Two plain ways to repair, which the policy is measured against.

use crate::plan::form::keep;
use crate::plan::group::Standing;
use crate::plan::repair::{end, may_return, missing};
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::EndReason;

/// The baseline that waits: ends a group only when its member can't come back.
pub(crate) fn wait_for_return(round: &mut Round<'_>, service: usize, index: usize) {
    let group = &round.wanted[service].groups[index];
    let hopeless = !may_return(group) && group.standing != Standing::Serving;
    round.wanted[service].groups[index].mending = true;
    if hopeless {
        take_any(round, service, index);
    }
}

/// The baseline that takes the first spare as soon as a member is missing.
pub(crate) fn first_spare(round: &mut Round<'_>, service: usize, index: usize) {
    let served = round.wanted[service].groups[index].standing == Standing::Serving;
    round.wanted[service].groups[index].mending = true;
    if !served {
        take_any(round, service, index);
    }
}

fn take_any(round: &mut Round<'_>, service: usize, index: usize) {
    let group = &round.wanted[service].groups[index];
    let missing = missing(group);
    let near = group.domain.and_then(|d| round.free.get(d));
    let far = round.free.iter().filter(|(d, _)| Some(**d) != group.domain);
    let all = near
        .into_iter()
        .flatten()
        .chain(far.flat_map(|(_, free)| free));
    let hosts: Vec<&HostStatus> = all.copied().take(missing).collect();
    if hosts.len() < missing {
        return;
    }
    keep(round, &hosts);
    end(round, service, index, EndReason::MemberLost);
}
