//! Kept connections to targets.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassmill_base::stable_hash;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use smol_str::SmolStr;
use tokio::task::AbortHandle;

use crate::read_limit::UnusedBytes;

const SHARDS: usize = 16;

/// Bounds of the pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolLimits {
    pub(crate) idle_time: Duration,
    pub(crate) max_idle: usize,
    pub(crate) max_in_use: usize,
}

/// One connection. Dropping it closes the socket, unless it went back to the pool.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    pub(crate) unused: UnusedBytes,
    /// Whether it may carry another request. One through a relay would keep the relay from
    /// stopping.
    pub(crate) reusable: bool,
}

impl Conn {
    pub(crate) fn new(
        sender: SendRequest<Full<Bytes>>,
        task: AbortHandle,
        unused: UnusedBytes,
        reusable: bool,
    ) -> Conn {
        Conn {
            sender,
            task,
            unused,
            reusable,
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // Leaving it to end by itself would let the target go on with a
        // request whose caller has left; closing at once is what cancels it.
        self.task.abort();
    }
}

/// Connections by address, in shards that each have a lock.
#[derive(Debug)]
pub(crate) struct Pool {
    shards: [Mutex<BTreeMap<SmolStr, Entry>>; SHARDS],
    limits: PoolLimits,
}

/// Connections to one address. Invariant: an entry without any is removed.
#[derive(Debug, Default)]
struct Entry {
    /// Newest last, with the instant from which each is no longer used.
    idle: Vec<(Instant, Conn)>,
    in_use: usize,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Pool {
        Pool {
            shards: std::array::from_fn(|_| Mutex::default()),
            limits,
        }
    }

    /// Counts one more connection in use to `address`; false when that is too many.
    pub(crate) fn enter(&self, address: &SmolStr) -> bool {
        let mut shard = self.lock(address);
        let entry = shard.entry(address.clone()).or_default();
        let room = entry.in_use < self.limits.max_in_use;
        entry.in_use += usize::from(room);
        room
    }

    /// Counts one less in use.
    pub(crate) fn leave(&self, address: &SmolStr) {
        let mut shard = self.lock(address);
        let Some(entry) = shard.get_mut(address) else {
            return;
        };
        entry.in_use = entry.in_use.saturating_sub(1);
        if entry.in_use == 0 && entry.idle.is_empty() {
            shard.remove(address);
        }
    }

    /// The connection to `address` that was used last, when one is idle.
    pub(crate) fn take(&self, address: &SmolStr) -> Option<Conn> {
        let mut shard = self.lock(address);
        let entry = shard.get_mut(address)?;
        entry.forget_lapsed();
        entry.idle.pop().map(|(_, conn)| conn)
    }

    /// Closes the idle connections to `address`.
    pub(crate) fn clear(&self, address: &SmolStr) {
        let mut shard = self.lock(address);
        if let Some(entry) = shard.get_mut(address) {
            entry.idle.clear();
        }
    }

    /// Keeps `conn` for later, for at most `lifetime` where its target said one.
    pub(crate) fn keep(&self, address: &SmolStr, conn: Conn, lifetime: Option<Duration>) {
        let mut shard = self.lock(address);
        // All addresses of the shard, since a target that has gone is never taken again.
        shard.retain(|_, entry| {
            entry.forget_lapsed();
            entry.in_use > 0 || !entry.idle.is_empty()
        });
        let entry = shard.entry(address.clone()).or_default();
        if entry.idle.len() < self.limits.max_idle {
            let idle_time = self.limits.idle_time;
            let lifetime = lifetime.map_or(idle_time, |l| l.min(idle_time));
            entry.idle.push((Instant::now() + lifetime, conn));
        }
    }

    fn lock(&self, address: &str) -> MutexGuard<'_, BTreeMap<SmolStr, Entry>> {
        let shard = (stable_hash([address]) % SHARDS as u64) as usize;
        self.shards[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn forget_lapsed(&mut self) {
        let now = Instant::now();
        self.idle
            .retain(|(until, conn)| now < *until && !conn.sender.is_closed());
    }
}
