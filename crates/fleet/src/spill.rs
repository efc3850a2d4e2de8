//! Which failure domain's heads take a request.
//!
//! Sized for fleets whose models have many replicas in each failure domain. Bytes between
//! failure domains are dear and each head that a node uses costs it a connection, so that a
//! node stays with the heads of its own domain until they are fuller than the others.

use eelgrassmill_base::{FailureDomain, value};

/// A home domain that is this much fuller than the others, in requests for each slot, begins
/// to send requests to them.
const SPILL_FROM: f64 = 0.05;
/// Beyond that, the difference in fill at which all requests go to other domains. Loads are
/// reported late: a smaller range makes requests swing from one domain to the other.
const SPILL_RANGE: f64 = 0.6;

value! { copy
    /// The heads of a model in one failure domain.
    pub struct DomainLoad<'d> {
        /// The failure domain.
        pub failure_domain: &'d FailureDomain,
        /// Requests that they have, as far as this node knows.
        pub load: usize,
        /// Requests that they run at once.
        pub slots: usize,
    }
}

fn fill(domains: &[DomainLoad<'_>]) -> f64 {
    let load: usize = domains.iter().map(|d| d.load).sum();
    let slots: usize = domains.iter().map(|d| d.slots).sum();
    load as f64 / slots.max(1) as f64
}

/// The failure domain for a request that came in at `home`; `None` where there is none.
///
/// `spill` and `pick` are any numbers from 0 up to 1; nodes that see the same must not draw
/// the same.
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
    // By slots, not by free ones: a domain that is fuller than the others sends on in turn, while
    // all nodes that send to the emptiest one by the same late report overfill it.
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
