//! Which prompt parts a large share of the requests hold.

use std::collections::{BTreeMap, VecDeque};

use eelgrassmill_base::ServiceName;
use smallvec::SmallVec;

use crate::suspects::{CrashCandidate, Fingerprint};

/// Requests of a service that are remembered.
const WINDOW: usize = 256;
/// Requests without which no share is known.
const MIN_REQUESTS: usize = 16;
/// Parts that are counted of one request, the first ones.
const MAX_PARTS: usize = 16;
/// Services whose requests are remembered.
const MAX_SERVICES: usize = 16;
/// A part is common if one request in this many has it.
const COMMON_DIVISOR: usize = 4;

/// Parts of the last requests at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartTraffic {
    services: BTreeMap<ServiceName, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<SmallVec<[Fingerprint; 4]>>,
    /// Invariant: the number of `requests` with each part.
    counts: BTreeMap<Fingerprint, usize>,
}

impl PartTraffic {
    pub(crate) fn on_request(&mut self, service: &ServiceName, candidates: &[CrashCandidate]) {
        let is_known = self.services.contains_key(service);
        if !is_known && self.services.len() >= MAX_SERVICES {
            return;
        }
        let window = self.services.entry(service.clone()).or_default();
        let parts = candidates.iter().filter(|c| c.breadth > 0);
        window.push(parts.take(MAX_PARTS).map(|c| c.fingerprint).collect());
    }

    /// Whether many requests have the part; `None` while too few requests came to know.
    pub(crate) fn is_common(&self, part: Fingerprint) -> Option<bool> {
        let mut known = self
            .services
            .values()
            .filter(|w| w.requests.len() >= MIN_REQUESTS);
        let has_known = known.clone().next().is_some();
        has_known.then(|| known.any(|w| w.is_common(part)))
    }
}

impl Window {
    fn push(&mut self, parts: SmallVec<[Fingerprint; 4]>) {
        for part in &parts {
            *self.counts.entry(*part).or_default() += 1;
        }
        self.requests.push_back(parts);
        if self.requests.len() <= WINDOW {
            return;
        }
        for part in self.requests.pop_front().unwrap_or_default() {
            let count = self.counts.entry(part).or_default();
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.counts.remove(&part);
            }
        }
    }

    fn is_common(&self, part: Fingerprint) -> bool {
        let count = self.counts.get(&part).copied().unwrap_or_default();
        count * COMMON_DIVISOR >= self.requests.len()
    }
}
