//! Load balancing over hosts.

use eelgrassmill_base::{HostId, value};

/// Cost of a host in another failure domain, in requests per slot.
const CROSS_DOMAIN_COST: f64 = 0.25;

value! {
    /// A host that could run a request.
    pub struct HostCandidate {
        /// The host.
        pub host: HostId,
        /// Requests that run or wait there, as far as this node knows.
        pub load: usize,
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Whether it is in this node's failure domain.
        pub same_domain: bool,
        /// Recent failure rate in thousandths: 0 for no failures, 1000 if all requests failed.
        pub failure_permille: u32,
    }
}

impl HostCandidate {
    fn cost(&self) -> f64 {
        let fill = (self.load + 1) as f64 / self.slots.max(1) as f64;
        let distance = if self.same_domain {
            0.0
        } else {
            CROSS_DOMAIN_COST
        };
        let failing = f64::from(self.failure_permille) / 250.0;
        fill + distance + failing
    }
}

/// Weight of an unseen request. While they were sent about as many requests ended, which the
/// reported loads still include.
const UNSEEN_WEIGHT: f64 = 2.0;
/// Costs that differ by less than this count as equal.
const COST_EPSILON: f64 = 1e-9;

/// Chooses the host for a request: the least loaded, preferring this node's failure domain.
///
/// `unseen` is the estimated number of requests that other nodes have sent since the loads were
/// reported. If all nodes sent to the least loaded host of the same outdated report, they would
/// overload it. So the unseen requests are assumed to be spread as evenly as the loads permit, and
/// each host is chosen with a probability proportional to its share of them: with fresh loads the
/// least loaded host, with old ones almost any.
///
/// `pick` is a random number in [0, 1), drawn independently by each node.
pub fn choose_host<'c>(
    candidates: impl IntoIterator<Item = &'c HostCandidate>,
    unseen: f64,
    pick: f64,
) -> Option<&'c HostCandidate> {
    let mut open: Vec<(f64, &HostCandidate)> =
        candidates.into_iter().map(|c| (c.cost(), c)).collect();
    open.sort_by(|a, b| a.0.total_cmp(&b.0));
    let level = level(&open, unseen * UNSEEN_WEIGHT);
    let weight = |(cost, c): &(f64, &HostCandidate)| {
        if *cost > level + COST_EPSILON {
            return 0.0;
        }
        // If nothing is unseen, hosts with equal cost are equally likely.
        (level - cost).max(COST_EPSILON) * c.slots.max(1) as f64
    };
    let total: f64 = open.iter().map(weight).sum();
    let mut remaining = pick * total;
    for entry in &open {
        remaining -= weight(entry);
        if remaining < 0.0 {
            return Some(entry.1);
        }
    }
    open.first().map(|(_, c)| *c)
}

/// The cost that all cheaper candidates reach once `unseen` requests are spread over them.
/// `open` is sorted by cost.
fn level(open: &[(f64, &HostCandidate)], unseen: f64) -> f64 {
    let mut level = open.first().map_or(0.0, |(cost, _)| *cost);
    let mut slots = 0.0;
    let mut left = unseen;
    for (index, (cost, candidate)) in open.iter().enumerate() {
        let rise = (cost - level).max(0.0) * slots;
        if index > 0 && rise > left {
            break;
        }
        left -= rise;
        level = level.max(*cost);
        slots += candidate.slots.max(1) as f64;
    }
    if slots > 0.0 {
        level += left.max(0.0) / slots;
    }
    level
}
