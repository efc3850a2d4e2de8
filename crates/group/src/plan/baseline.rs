//! Two baseline repair strategies for comparison.

use crate::plan::form::reserve_hosts;
use crate::plan::group::GroupHealth;
use crate::plan::repair::{end_damaged, may_recover, replacements_needed};
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::EndReason;

/// Waits for missing members; ends a group only if one can't come back.
pub(crate) fn wait_for_return(round: &mut Round<'_>, service_index: usize, index: usize) {
    let group = &round.services[service_index].groups[index];
    let unrecoverable = !may_recover(group) && group.health != GroupHealth::Serving;
    round.services[service_index].groups[index].recovering = true;
    if unrecoverable {
        replace_from_any_domain(round, service_index, index);
    }
}

/// Takes the first spares as soon as a member is missing.
pub(crate) fn first_spare(round: &mut Round<'_>, service_index: usize, index: usize) {
    let served = round.services[service_index].groups[index].health == GroupHealth::Serving;
    round.services[service_index].groups[index].recovering = true;
    if !served {
        replace_from_any_domain(round, service_index, index);
    }
}

fn replace_from_any_domain(round: &mut Round<'_>, service_index: usize, index: usize) {
    let group = &round.services[service_index].groups[index];
    let missing = replacements_needed(group);
    let local = group.domain.and_then(|d| round.free.get(d));
    let remote = round.free.iter().filter(|(d, _)| Some(**d) != group.domain);
    let all = local
        .into_iter()
        .flatten()
        .chain(remote.flat_map(|(_, free)| free));
    let hosts: Vec<&HostStatus> = all.copied().take(missing).collect();
    if hosts.len() < missing {
        return;
    }
    reserve_hosts(round, &hosts);
    end_damaged(round, service_index, index, EndReason::MemberLost);
}
