//! Choosing where a request runs.

use eelgrassmill_base::{HostId, value};

/// What a host in another failure domain counts more, in requests for each slot.
/// A stream moves some 6 KB, and the wires between failure domains are dear, so that a
/// request crosses only where its own domain's hosts are this much fuller.
const DISTANCE: f64 = 0.25;

value! {
    /// A host that could run a request.
    pub struct Candidate {
        /// The host.
        pub host: HostId,
        /// Requests that run or wait there, as far as this node knows.
        pub load: usize,
        /// Requests that it runs at once.
        pub slots: usize,
        /// Whether it is in this node's failure domain.
        pub near: bool,
        /// Recent failures: 0 for none, 1000 for nothing but failures.
        pub failing_permille: u32,
    }
}

impl Candidate {
    fn cost(&self) -> f64 {
        let fill = (self.load + 1) as f64 / self.slots.max(1) as f64;
        let distance = if self.near { 0.0 } else { DISTANCE };
        let failing = f64::from(self.failing_permille) / 250.0;
        fill + distance + failing
    }
}

/// The candidate that should run the request: the emptiest, a near one before a far one.
///
/// `pick` is any number; it decides between equals, so that nodes that see the same
/// don't all choose the same host.
pub fn place<'c>(
    candidates: impl IntoIterator<Item = &'c Candidate>,
    pick: usize,
) -> Option<&'c Candidate> {
    let mut best: Vec<&Candidate> = Vec::new();
    let mut least = f64::INFINITY;
    for candidate in candidates {
        let cost = candidate.cost();
        if cost < least - 1e-9 {
            least = cost;
            best.clear();
        }
        if cost <= least + 1e-9 {
            best.push(candidate);
        }
    }
    let count = best.len();
    if count == 0 {
        None
    } else {
        best.get(pick % count).copied()
    }
}
