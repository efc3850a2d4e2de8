//! The prefix cache of an engine and the events it publishes.
//!
//! A prompt is cut into blocks of [`BLOCK_BYTES`] bytes (rounded down to whole
//! characters; a shorter rest is no block). The name of a block is the stable
//! hash of the name of the block before it, as 16 hexadecimal digits or empty,
//! and its text.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::{stable_hash, value};
use smol_str::{SmolStr, format_smolstr};

/// Bytes of prompt text in a block.
pub const BLOCK_BYTES: usize = 64;
/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Every event with a number divisible by this one is never published.
const GAP_EVERY: u64 = 50;
const MAX_EVENTS: usize = 4_096;

value! { wire copy
    /// What happened to a block.
    pub enum CacheChange {
        /// It is in the cache now.
        Stored,
        /// It was thrown out.
        Evicted,
    }
}

value! { wire
    /// One event of a prefix cache.
    pub struct CacheEvent {
        /// Rises by one with every event, published or not.
        pub seq: u64,
        /// What happened.
        pub change: CacheChange,
        /// The block's name.
        pub block: SmolStr,
    }

    /// Answer to `GET /cache-events?since=N`.
    pub struct CacheEvents {
        /// The start of the host that counts these events; a new one starts over.
        pub incarnation: u64,
        /// What to ask for next.
        pub next: u64,
        /// Events from `since` on, as far as they are published.
        pub events: Vec<CacheEvent>,
    }
}

/// Names of the blocks of `prompt`, in order.
pub fn prefix_blocks(prompt: &str) -> Vec<SmolStr> {
    let mut names = Vec::new();
    let mut before = SmolStr::default();
    let mut rest = prompt;
    while rest.len() >= BLOCK_BYTES {
        let (block, tail) = rest.split_at(rest.floor_char_boundary(BLOCK_BYTES));
        before = format_smolstr!("{:016x}", stable_hash([before.as_str(), block]));
        names.push(before.clone());
        rest = tail;
    }
    names
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    inner: Mutex<Inner>,
    max_blocks: usize,
    event_lag: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    /// Last use of each block held.
    blocks: BTreeMap<SmolStr, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(max_blocks: usize, event_lag: Duration) -> PrefixCache {
        PrefixCache {
            inner: Mutex::new(Inner {
                next_seq: 1,
                ..Inner::default()
            }),
            max_blocks,
            event_lag,
        }
    }

    /// Takes the prompt into the cache; gives the tokens that were not there.
    pub(crate) fn admit(&self, prompt: &str) -> u64 {
        let names = prefix_blocks(prompt);
        let mut inner = self.lock();
        let held = names
            .iter()
            .take_while(|name| inner.blocks.contains_key(*name))
            .count();
        for name in names.into_iter().take(self.max_blocks) {
            inner.touch(name);
        }
        while inner.blocks.len() > self.max_blocks {
            inner.evict();
        }
        let missing = prompt.len().saturating_sub(held * BLOCK_BYTES);
        u64::try_from(missing.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
    }

    /// Published events from `since` on.
    pub(crate) fn events(&self, since: u64, incarnation: u64) -> CacheEvents {
        let inner = self.lock();
        let now = Instant::now();
        let due = |(at, _): &&(Instant, CacheEvent)| now.duration_since(*at) >= self.event_lag;
        let published: Vec<CacheEvent> = inner
            .events
            .iter()
            .take_while(due)
            .map(|(_, event)| event.clone())
            .filter(|event| event.seq >= since)
            .collect();
        let next = published.last().map_or(since, |event| event.seq + 1);
        let events = published
            .into_iter()
            .filter(|e| !e.seq.is_multiple_of(GAP_EVERY))
            .collect();
        CacheEvents {
            incarnation,
            next,
            events,
        }
    }

    pub(crate) fn clear(&self) {
        *self.lock() = Inner {
            next_seq: 1,
            ..Inner::default()
        };
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn touch(&mut self, name: SmolStr) {
        self.uses += 1;
        if self.blocks.insert(name.clone(), self.uses).is_none() {
            self.publish(CacheChange::Stored, name);
        }
    }

    fn evict(&mut self) {
        let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        self.blocks.remove(&name);
        self.publish(CacheChange::Evicted, name);
    }

    fn publish(&mut self, change: CacheChange, block: SmolStr) {
        let event = CacheEvent {
            seq: self.next_seq,
            change,
            block,
        };
        self.next_seq += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
