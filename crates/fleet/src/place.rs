//! Choosing where a request runs.

use eelgrassmill_base::{HostId, value};

/// Cost of a host in another failure domain, in requests for each slot.
const DISTANCE: f64 = 0.25;

value! {
    /// A host that could run a request.
    pub struct HostCandidate {
        /// The host.
        pub host: HostId,
        /// Requests that run or wait there, as far as this node knows.
        pub load: usize,
        /// Requests that it runs at once.
        pub slots: usize,
        /// Whether it is in this node's failure domain.
        pub same_domain: bool,
        /// Recent failures: 0 for none, 1000 for nothing but failures.
        pub failure_permille: u32,
    }
}

impl HostCandidate {
    fn cost(&self) -> f64 {
        let fill = (self.load + 1) as f64 / self.slots.max(1) as f64;
        let distance = if self.same_domain { 0.0 } else { DISTANCE };
        let failing = f64::from(self.failure_permille) / 250.0;
        fill + distance + failing
    }
}

/// Unseen requests count this many times: while they came, about as many ended, which the old
/// loads still include.
const TURNOVER: f64 = 2.0;
/// Loads that differ by less than this count as equal.
const SAME: f64 = 1e-9;

/// The candidate that should run the request: the emptiest, a near one before a far one.
///
/// `unseen` is how many requests other nodes are likely to have sent since the loads were
/// reported. Nodes that all send to the emptiest host by the same old report overfill it. So the
/// unseen requests are assumed to be spread as evenly as the loads permit, and each host is
/// chosen with its part of them: with fresh loads the emptiest host, with old ones nearly any.
///
/// `pick` is any number from 0 up to 1; nodes that see the same must not draw the same.
pub fn choose_host<'c>(
    candidates: impl IntoIterator<Item = &'c HostCandidate>,
    unseen: f64,
    pick: f64,
) -> Option<&'c HostCandidate> {
    let mut open: Vec<(f64, &HostCandidate)> =
        candidates.into_iter().map(|c| (c.cost(), c)).collect();
    open.sort_by(|a, b| a.0.total_cmp(&b.0));
    let level = level(&open, unseen * TURNOVER);
    let part = |(cost, c): &(f64, &HostCandidate)| {
        if *cost > level + SAME {
            return 0.0;
        }
        // Equals at the level share what is left where nothing is unseen.
        (level - cost).max(SAME) * c.slots.max(1) as f64
    };
    let total: f64 = open.iter().map(part).sum();
    let mut at = pick * total;
    for entry in &open {
        at -= part(entry);
        if at < 0.0 {
            return Some(entry.1);
        }
    }
    open.first().map(|(_, c)| *c)
}

/// The cost that all candidates below it reach once `unseen` requests were spread over them.
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
