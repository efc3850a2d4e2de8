//! Requests, and parts of their prompts, that completed recently at this node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassmill_route::{CrashCandidate, Fingerprint};

/// Requests per generation; up to two generations are kept.
const MAX_REQUESTS: usize = 1024;
/// The same for parts. Some requests have many.
const MAX_PARTS: usize = 4096;
/// How long a completion is remembered: longer than it takes to quarantine a candidate.
const COMPLETION_TTL: Duration = Duration::from_secs(30);

/// When each candidate last completed here on a host that stayed up.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    requests: Generations,
    /// Kept apart, so that neither displaces the other.
    parts: Generations,
}

#[derive(Debug, Default)]
struct Generations {
    current: HashMap<Fingerprint, Instant>,
    previous: HashMap<Fingerprint, Instant>,
}

impl Generations {
    fn insert(&mut self, fingerprint: Fingerprint, max: usize, now: Instant) {
        if self.current.len() >= max && !self.current.contains_key(&fingerprint) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, now);
    }

    fn get(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let current = self.current.get(&fingerprint);
        current.or_else(|| self.previous.get(&fingerprint)).copied()
    }
}

impl RecentCompletions {
    pub(crate) fn on_completed(&mut self, candidate: CrashCandidate, now: Instant) {
        let fingerprint = candidate.fingerprint;
        match candidate.breadth {
            0 => self.requests.insert(fingerprint, MAX_REQUESTS, now),
            _ => self.parts.insert(fingerprint, MAX_PARTS, now),
        }
    }

    /// When the candidate last completed here.
    pub(crate) fn last(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let last = self
            .requests
            .get(fingerprint)
            .max(self.parts.get(fingerprint))?;
        (now.saturating_duration_since(last) < COMPLETION_TTL).then_some(last)
    }
}
