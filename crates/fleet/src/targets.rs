//! Per-host request counts and failure rates of plain services, as seen by one node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::HostId;

/// Weight of the newest outcome in a host's failure rate, as 1 / this.
const FAILURE_MEMORY: u32 = 8;
/// A failure rate decays linearly to zero over this time, so that a host that gets no requests
/// because of its failures is tried again.
const FAILURE_TTL: Duration = Duration::from_secs(4);

/// Outcome of a request at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The host responded successfully.
    Served,
    /// The request was rejected, failed or was abandoned.
    ///
    /// A host that rejects immediately has no running requests: unless rejections count as
    /// failures, it looks like the least loaded host and receives all requests.
    Failed,
    /// The host asked for rest, which says nothing of how it serves.
    Resting,
}

/// Running requests and failure rate of each host, as seen by this node.
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
    /// Records that a request is sent to a host.
    pub fn on_request_start(&mut self, host: &HostId) {
        self.hosts.entry(host.clone()).or_default().running += 1;
    }

    /// Records the end of a request.
    pub fn on_request_end(&mut self, host: &HostId, outcome: TargetOutcome, now: Instant) {
        let Some(stat) = self.hosts.get_mut(host) else {
            return;
        };
        stat.running = stat.running.saturating_sub(1);
        if outcome == TargetOutcome::Resting {
            return;
        }
        let newest = if outcome == TargetOutcome::Failed {
            1000
        } else {
            0
        };
        let before = stat.failure_permille_at(now);
        stat.failure_permille = (before * (FAILURE_MEMORY - 1) + newest) / FAILURE_MEMORY;
        stat.ended = Some(now);
    }

    /// Number of this node's requests running at a host, and the host's failure rate in
    /// thousandths.
    pub fn load_and_failures(&self, host: &str, now: Instant) -> (usize, u32) {
        let stat = self.hosts.get(host);
        stat.map_or((0, 0), |s| (s.running, s.failure_permille_at(now)))
    }
}

impl TargetStat {
    fn failure_permille_at(&self, now: Instant) -> u32 {
        let age = self.ended.map(|at| now.saturating_duration_since(at));
        let left = age.map_or(0.0, |age| 1.0 - age.div_duration_f64(FAILURE_TTL));
        (f64::from(self.failure_permille) * left.max(0.0)) as u32
    }
}
