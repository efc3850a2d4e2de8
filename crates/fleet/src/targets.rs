//! What a node sees of the hosts of plain services.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;

/// Weight of the newest outcome in a host's failure rate, as 1 / this.
const FAILURE_MEMORY: u32 = 8;
/// A failure rate counts less with its age, and for this long at most: a host that is left out
/// for its failures must be tried again.
const FAILURE_TTL: Duration = Duration::from_secs(4);

/// How a request at a host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// With an answer of use.
    Served,
    /// It was rejected, failed or given up.
    ///
    /// A host that rejects at once has no requests: unless rejections count, it looks like the
    /// emptiest one and is sent all of them.
    Failed,
}

/// Requests and failures of each host, as this node sees them.
#[derive(Clone, Debug, Default)]
pub struct TargetStats {
    hosts: HashMap<HostId, TargetStat>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetStat {
    running: usize,
    failure_permille: u32,
    /// When a request last ended.
    ended: Option<Instant>,
}

impl TargetStats {
    /// Counts a request that is sent to a host.
    pub fn on_request_start(&mut self, host: &HostId) {
        self.hosts.entry(host.clone()).or_default().running += 1;
    }

    /// Counts the end of a request.
    pub fn on_request_end(&mut self, host: &HostId, outcome: TargetOutcome, now: Instant) {
        let Some(stat) = self.hosts.get_mut(host) else {
            return;
        };
        stat.running = stat.running.saturating_sub(1);
        let newest = if outcome == TargetOutcome::Failed {
            1000
        } else {
            0
        };
        let before = stat.failing_at(now);
        stat.failure_permille = (before * (FAILURE_MEMORY - 1) + newest) / FAILURE_MEMORY;
        stat.ended = Some(now);
    }

    /// Requests that a host has of this node, and its failure rate in thousandths.
    pub fn load_and_failures(&self, host: &str, now: Instant) -> (usize, u32) {
        let stat = self.hosts.get(host);
        stat.map_or((0, 0), |s| (s.running, s.failing_at(now)))
    }
}

impl TargetStat {
    fn failing_at(&self, now: Instant) -> u32 {
        let age = self.ended.map(|at| now.saturating_duration_since(at));
        let left = age.map_or(0.0, |age| 1.0 - age.div_duration_f64(FAILURE_TTL));
        (f64::from(self.failure_permille) * left.max(0.0)) as u32
    }
}
