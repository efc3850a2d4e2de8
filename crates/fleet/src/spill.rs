//! Spillover of requests to other failure domains.
//!
//! Designed for fleets whose models have many replicas in each failure domain. Traffic between
//! failure domains is expensive and each head that a node uses costs a connection, so a node uses
//! the heads of its own domain until they are more loaded than the others.

use eelgrassmill_base::{FailureDomain, value};

/// Excess load of the home domain over the others, in requests per slot, at which requests start
/// to spill over.
const SPILL_FROM: f64 = 0.05;
/// Further excess load at which all requests go to other domains. Loads are reported late, so a
/// smaller range makes load oscillate between domains.
const SPILL_RANGE: f64 = 0.6;

value! { copy
    /// The heads of a model in one failure domain.
    pub struct DomainLoad<'d> {
        /// The failure domain.
        pub failure_domain: &'d FailureDomain,
        /// Requests that they have, as far as this node knows.
        pub load: usize,
        /// Maximum number of concurrent requests.
        pub slots: usize,
    }
}

fn fill(domains: &[DomainLoad<'_>]) -> f64 {
    let load: usize = domains.iter().map(|d| d.load).sum();
    let slots: usize = domains.iter().map(|d| d.slots).sum();
    load as f64 / slots.max(1) as f64
}

/// Chooses the failure domain for a request that arrived in `home`; `None` without domains.
///
/// `spill` and `pick` are random numbers in [0, 1), drawn independently by each node.
pub fn choose_domain<'d>(
    home: &FailureDomain,
    domains: impl IntoIterator<Item = DomainLoad<'d>>,
    spill: f64,
    pick: f64,
) -> Option<&'d FailureDomain> {
    let (near, far): (Vec<_>, Vec<_>) = domains.into_iter().partition(|d| d.failure_domain == home);
    let excess = fill(&near) - fill(&far) - SPILL_FROM;
    let stays = far.is_empty() || spill >= excess / SPILL_RANGE;
    if let Some(own) = near.first().filter(|_| stays) {
        return Some(own.failure_domain);
    }
    // Weighted by all slots, not by free ones: an overloaded domain spills over in turn, but if all
    // nodes sent to the least loaded domain of the same late report, they would overload it.
    let slots: usize = far.iter().map(|d| d.slots).sum();
    let mut left = pick * slots as f64;
    for domain in &far {
        left -= domain.slots as f64;
        if left < 0.0 {
            return Some(domain.failure_domain);
        }
    }
    far.last().map(|d| d.failure_domain)
}
