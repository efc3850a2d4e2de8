//! Requests that completed recently at this node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassmill_route::RequestFingerprint;

/// Requests per generation; up to two generations are kept.
const MAX_PER_GENERATION: usize = 1024;
/// How long a completion is remembered: longer than it takes to quarantine a request.
const COMPLETION_TTL: Duration = Duration::from_secs(30);

/// When each request last completed here on a host that stayed up.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    current: HashMap<RequestFingerprint, Instant>,
    previous: HashMap<RequestFingerprint, Instant>,
}

impl RecentCompletions {
    pub(crate) fn on_completed(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.current.len() >= MAX_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, now);
    }

    /// When the request last completed here.
    pub(crate) fn last(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<Instant> {
        let current = self.current.get(&fingerprint);
        let last = current.or_else(|| self.previous.get(&fingerprint))?;
        (now.saturating_duration_since(*last) < COMPLETION_TTL).then_some(*last)
    }
}
