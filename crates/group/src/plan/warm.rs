//! Loading weights on spares, so that a lost member can be replaced without a load.

use eelgrassmill_base::FabricDomain;

use crate::plan::form::{NewGroup, form};
use crate::plan::policy::RepairStrategy;
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::{GroupPhase, warming_group_id};

/// Loads the spares that broken groups wait for and, while every group serves, idle ones
/// where they mend most.
pub(crate) fn warm_spares(round: &mut Round<'_>) {
    if round.policy.strategy != RepairStrategy::CostBased {
        return;
    }
    for (service, host) in std::mem::take(&mut round.wishes) {
        warm(round, service, host);
    }
    if round.wanted.iter().any(|w| w.serving() < w.count) {
        return;
    }
    let domains: Vec<&FabricDomain> = round.free.keys().copied().collect();
    for domain in domains {
        warm_idle(round, domain);
    }
}

/// Loads one idle spare of a fabric domain that is warm for nothing.
///
/// Idle loading takes half of the bound at most: a repair that comes meanwhile
/// finds the store free enough.
fn warm_idle(round: &mut Round<'_>, domain: &FabricDomain) {
    if round.loading >= round.most_loads().div_ceil(2) {
        return;
    }
    let free: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    let is_useful = |h: &HostStatus| round.wanted.iter().any(|w| h.is_warm(&w.weights));
    let Some(host) = free.iter().copied().find(|h| !is_useful(h)) else {
        return;
    };
    if let Some(service) = least_covered(round, domain, &free) {
        warm(round, service, host);
    }
}

/// The service with the most members in the domain for each spare that is warm for it.
fn least_covered(round: &Round<'_>, domain: &FabricDomain, free: &[&HostStatus]) -> Option<usize> {
    let cover = |wanted: &crate::plan::group::Wanted<'_>| {
        let groups = wanted.groups.iter().filter(|g| g.is_formed());
        let here = groups.filter(|g| g.domain == Some(domain)).count();
        let warm = free.iter().filter(|h| h.is_warm(&wanted.weights)).count();
        let loading = round.warming.get(&(wanted.name.as_str(), domain));
        let spares = warm + loading.copied().unwrap_or(0);
        here * 1000 / (spares + 1)
    };
    let scored = round.wanted.iter().enumerate().map(|(i, w)| (cover(w), i));
    let best = scored.filter(|(score, _)| *score > 0);
    best.max_by_key(|(score, i)| (*score, std::cmp::Reverse(*i)))
        .map(|(_, i)| i)
}

fn warm(round: &mut Round<'_>, service: usize, host: &HostStatus) {
    let group = warming_group_id(round.wanted[service].name, &host.row.host);
    // A row of an earlier warming is removed first.
    if round.view.groups.contains_key(&group) {
        return;
    }
    let new = NewGroup {
        group,
        row_version: 0,
        phase: GroupPhase::Warming,
        members: vec![host],
    };
    form(round, service, new);
}
