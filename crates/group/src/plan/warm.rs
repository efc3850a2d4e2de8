//! Loads weights on spares, so that a lost member can be replaced without a load.

use eelgrassmill_base::FabricDomain;

use crate::plan::form::{NewGroup, form_group};
use crate::plan::policy::RepairStrategy;
use crate::plan::round::Round;
use crate::plan::view::HostStatus;
use crate::rows::{GroupPhase, warming_group_id};

/// Loads the spares that broken groups wait for and, while every group serves, idle spares where
/// coverage is lowest.
pub(crate) fn warm_spares(round: &mut Round<'_>) {
    if round.policy.strategy != RepairStrategy::CostBased {
        return;
    }
    for (service_index, host) in std::mem::take(&mut round.warmup_requests) {
        start_warmup(round, service_index, host);
    }
    if round.services.iter().any(|s| s.serving() < s.desired) {
        return;
    }
    let domains: Vec<&FabricDomain> = round.free.keys().copied().collect();
    for domain in domains {
        warm_idle_spare(round, domain);
    }
}

/// Loads one idle spare of a fabric domain that holds no configured model.
///
/// Idle loads use at most half of the limit, which leaves bandwidth for a repair.
fn warm_idle_spare(round: &mut Round<'_>, domain: &FabricDomain) {
    if round.loading >= round.max_loads().div_ceil(2) {
        return;
    }
    let free: Vec<&HostStatus> = round.free.get(domain).cloned().unwrap_or_default();
    let is_useful = |h: &HostStatus| round.services.iter().any(|s| h.is_warm(&s.weights));
    let Some(host) = free.iter().copied().find(|h| !is_useful(h)) else {
        return;
    };
    if let Some(service_index) = least_covered(round, domain, &free) {
        start_warmup(round, service_index, host);
    }
}

/// The service with the most groups in the domain per warm or loading spare.
fn least_covered(round: &Round<'_>, domain: &FabricDomain, free: &[&HostStatus]) -> Option<usize> {
    let groups_per_spare = |service: &crate::plan::group::ServiceState<'_>| {
        let groups = service.groups.iter().filter(|g| g.is_formed());
        let here = groups.filter(|g| g.domain == Some(domain)).count();
        let warm = free.iter().filter(|h| h.is_warm(&service.weights)).count();
        let loading = round.warming.get(&(service.name.as_str(), domain));
        let spares = warm + loading.copied().unwrap_or(0);
        here * 1000 / (spares + 1)
    };
    let scored = round
        .services
        .iter()
        .enumerate()
        .map(|(i, s)| (groups_per_spare(s), i));
    let best = scored.filter(|(score, _)| *score > 0);
    best.max_by_key(|(score, i)| (*score, std::cmp::Reverse(*i)))
        .map(|(_, i)| i)
}

fn start_warmup(round: &mut Round<'_>, service_index: usize, host: &HostStatus) {
    let group = warming_group_id(round.services[service_index].name, &host.row.host);
    // The row of an earlier load is removed first.
    if round.view.groups.contains_key(&group) {
        return;
    }
    let new = NewGroup {
        group,
        row_version: 0,
        phase: GroupPhase::Warming,
        members: vec![host],
    };
    form_group(round, service_index, new);
}
