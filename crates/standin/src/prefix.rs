//! The prefix cache of an engine and the events it publishes.
//!
//! The beginnings of a prompt count at 256 bytes, 512, 1,024 and so on, each
//! rounded down to whole characters. A beginning is named by the stable hash of
//! the name of the one before it (in decimal; empty for the first) and of the
//! text since its end.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::{stable_hash, value};

/// Bytes of the shortest beginning that counts.
const FIRST_PREFIX: usize = 256;
/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Every event with a number divisible by this one is never published.
const GAP_EVERY: u64 = 50;
const MAX_EVENTS: usize = 4_096;

value! { wire copy
    /// What happened to a beginning.
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
        /// The beginning's name.
        pub prefix: u64,
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

/// One beginning of a prompt.
struct Prefix {
    name: u64,
    /// Where it ends in the prompt.
    end: usize,
    /// Bytes beyond the beginning before it.
    bytes: usize,
}

/// Names of the beginnings of `prompt`, the shortest first.
pub fn prefix_names(prompt: &str) -> Vec<u64> {
    prefixes(prompt).iter().map(|prefix| prefix.name).collect()
}

fn prefixes(prompt: &str) -> Vec<Prefix> {
    let mut prefixes = Vec::new();
    let mut before = String::new();
    let (mut from, mut to) = (0, FIRST_PREFIX);
    while to <= prompt.len() {
        let end = prompt.floor_char_boundary(to);
        let name = stable_hash([before.as_str(), &prompt[from..end]]);
        prefixes.push(Prefix {
            name,
            end,
            bytes: end - from,
        });
        before = name.to_string();
        (from, to) = (end, to * 2);
    }
    prefixes
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    inner: Mutex<Inner>,
    max_bytes: usize,
    event_lag: Duration,
}

#[derive(Debug)]
struct Inner {
    held: BTreeMap<u64, Held>,
    /// Sum of the bytes of all that is held.
    bytes: usize,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

#[derive(Debug)]
struct Held {
    bytes: usize,
    last_use: u64,
}

impl PrefixCache {
    pub(crate) fn new(max_bytes: usize, event_lag: Duration) -> PrefixCache {
        PrefixCache {
            inner: Mutex::new(Inner::new()),
            max_bytes,
            event_lag,
        }
    }

    /// Takes the prompt into the cache; gives the tokens that were not there.
    pub(crate) fn admit(&self, prompt: &str) -> u64 {
        let prefixes = prefixes(prompt);
        let mut inner = self.lock();
        let held = prefixes
            .iter()
            .take_while(|prefix| inner.held.contains_key(&prefix.name));
        let known = held.last().map_or(0, |prefix| prefix.end);
        // A prompt larger than the cache leaves its beginnings, not its end.
        for prefix in prefixes
            .iter()
            .take_while(|prefix| prefix.end <= self.max_bytes)
        {
            inner.touch(prefix);
        }
        while inner.bytes > self.max_bytes {
            inner.evict();
        }
        let missing = (prompt.len() - known).div_ceil(BYTES_PER_TOKEN);
        u64::try_from(missing).unwrap_or(u64::MAX)
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
        *self.lock() = Inner::new();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn new() -> Inner {
        Inner {
            held: BTreeMap::new(),
            bytes: 0,
            uses: 0,
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    fn touch(&mut self, prefix: &Prefix) {
        self.uses += 1;
        let held = Held {
            bytes: prefix.bytes,
            last_use: self.uses,
        };
        if self.held.insert(prefix.name, held).is_none() {
            self.bytes += prefix.bytes;
            self.publish(CacheChange::Stored, prefix.name);
        }
    }

    fn evict(&mut self) {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.last_use);
        let Some(name) = oldest.map(|(name, _)| *name) else {
            return;
        };
        let freed = self.held.remove(&name).map_or(0, |held| held.bytes);
        self.bytes -= freed;
        self.publish(CacheChange::Evicted, name);
    }

    fn publish(&mut self, change: CacheChange, prefix: u64) {
        let event = CacheEvent {
            seq: self.next_seq,
            change,
            prefix,
        };
        self.next_seq += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
