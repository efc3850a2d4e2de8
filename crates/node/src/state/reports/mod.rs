//! The newest answer of each probed host.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Fence, HostId, HostReport, Incarnation};

use super::lock::lock;

/// Shards of the map. Probe threads write while the watcher reads.
const SHARDS: usize = 8;

/// Keeps answers of the same instant apart.
const TICK: Duration = Duration::from_nanos(1);

/// Start and fencing number of a host, which rise with its states.
fn state_of(report: &HostReport) -> (Incarnation, Fence) {
    (report.incarnation, report.fence)
}

/// A report and when the probe was sent that it answers.
#[derive(Clone, Debug)]
pub(crate) struct Answered {
    pub(crate) report: HostReport,
    pub(crate) sent: Instant,
}

/// The newest answer of each probed host.
pub(crate) struct Reports {
    shards: [Mutex<BTreeMap<HostId, Answered>>; SHARDS],
}

impl Reports {
    pub(crate) fn new() -> Reports {
        Reports {
            shards: std::array::from_fn(|_| Mutex::new(BTreeMap::new())),
        }
    }

    fn shard(&self, host: &str) -> &Mutex<BTreeMap<HostId, Answered>> {
        let hash = eelgrassmill_base::stable_hash([host]);
        &self.shards[(hash % SHARDS as u64) as usize]
    }

    /// Keeps an answer unless a later one is there already.
    ///
    /// Two calls that overlap may be answered in either order, whichever was sent
    /// first: a probe that is sent after an order, and served before it, tells of
    /// the placement before. Taken for the newer word, it would stop a group that
    /// has just become whole until the next probe. The host's own start and
    /// fencing number, which only rise, tell which of two states is the later.
    pub(crate) fn put(&self, report: HostReport, sent: Instant) {
        let mut shard = lock(self.shard(&report.host));
        let Some(known) = shard.get(&report.host) else {
            shard.insert(report.host.clone(), Answered { report, sent });
            return;
        };
        let sent = match state_of(&report).cmp(&state_of(&known.report)) {
            Ordering::Less => return,
            Ordering::Equal if sent <= known.sent => return,
            Ordering::Equal => sent,
            // From after the known answer, whose probe was served before: it
            // holds as of that probe at least.
            Ordering::Greater => sent.max(known.sent + TICK),
        };
        shard.insert(report.host.clone(), Answered { report, sent });
    }

    pub(crate) fn get(&self, host: &str) -> Option<Answered> {
        lock(self.shard(host)).get(host).cloned()
    }

    /// Drops the answers of hosts that are no longer listed.
    pub(crate) fn retain(&self, listed: impl Fn(&HostId) -> bool) {
        for shard in &self.shards {
            lock(shard).retain(|host, _| listed(host));
        }
    }
}

#[cfg(test)]
mod tests;
