//! The newest answer of each probed host.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use eelgrassmill_base::{HostId, HostReport};

use super::lock::lock;

/// Shards of the map. Probe threads write while the watcher reads.
const SHARDS: usize = 8;

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

    /// Keeps an answer unless a later probe's is there already.
    pub(crate) fn put(&self, report: HostReport, sent: Instant) {
        let mut shard = lock(self.shard(&report.host));
        if shard.get(&report.host).is_some_and(|a| a.sent >= sent) {
            return;
        }
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
