//! Index of the prompt prefixes that each group is expected to have cached.
//!
//! Entries are added for the requests sent by this entry and corrected by the
//! engines' cache events, which arrive late and with gaps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{stable_hash, value};
use smallvec::SmallVec;

/// Hash of a prompt prefix.
pub type PrefixHash = u64;
/// Hashes of the prefixes of one prompt, the shortest first.
pub type PrefixHashes = SmallVec<[PrefixHash; 8]>;

/// Length of the shortest indexed prefix, in bytes.
const MIN_PREFIX_BYTES: usize = 256;

/// Hashes the prefixes of `prompt` of 256 bytes, 512, 1024 and so on.
///
/// Doubling the length keeps the number of hashes small for long prompts; the
/// rest of a prompt beyond the last doubling is rarely shared.
pub fn prefix_hashes(prompt: &str) -> PrefixHashes {
    let mut hashes = PrefixHashes::new();
    let mut previous = String::new();
    let (mut from, mut to) = (0, MIN_PREFIX_BYTES);
    while to <= prompt.len() {
        let end = prompt.floor_char_boundary(to);
        let hash = stable_hash([previous.as_str(), &prompt[from..end]]);
        hashes.push(hash);
        previous = hash.to_string();
        (from, to) = (end, to * 2);
    }
    hashes
}

value! { copy
    /// A change of an engine's prefix cache.
    pub enum CacheEvent {
        /// The prefix was stored.
        Stored(PrefixHash),
        /// The prefix was evicted.
        Evicted(PrefixHash),
    }
}

/// Identifies the cache of one group epoch; a new epoch starts with an empty cache.
pub(crate) type CacheId = u32;

#[derive(Clone, Copy, Debug)]
struct IndexEntry {
    at: Instant,
    used: u64,
}

/// Bounded LRU index of (prefix, cache) pairs.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    entries: BTreeMap<(PrefixHash, CacheId), IndexEntry>,
    /// Invariant: the keys of `entries` by their `used`.
    by_last_use: BTreeSet<(u64, PrefixHash, CacheId)>,
    max_entries: usize,
    use_count: u64,
}

impl PrefixIndex {
    pub(crate) fn new(max_entries: usize) -> PrefixIndex {
        PrefixIndex {
            entries: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
            max_entries,
            use_count: 0,
        }
    }

    /// Records that the prefix was sent to the group, or stored according to an event.
    pub(crate) fn insert(&mut self, hash: PrefixHash, cache_id: CacheId, at: Instant) {
        self.use_count += 1;
        let entry = IndexEntry {
            at,
            used: self.use_count,
        };
        if let Some(old) = self.entries.insert((hash, cache_id), entry) {
            self.by_last_use.remove(&(old.used, hash, cache_id));
        }
        self.by_last_use.insert((entry.used, hash, cache_id));
        if self.entries.len() > self.max_entries
            && let Some((_, hash, cache_id)) = self.by_last_use.pop_first()
        {
            self.entries.remove(&(hash, cache_id));
        }
    }

    /// Removes a prefix, unless it was sent again after the event was taken.
    ///
    /// Events are late: without this check, an eviction from before the last request
    /// would send the next one to a group whose cache is cold.
    pub(crate) fn evict(&mut self, hash: PrefixHash, cache_id: CacheId, taken_at: Instant) {
        let Some(entry) = self.entries.get(&(hash, cache_id)).copied() else {
            return;
        };
        if entry.at < taken_at {
            self.entries.remove(&(hash, cache_id));
            self.by_last_use.remove(&(entry.used, hash, cache_id));
        }
    }

    /// Returns the caches that have the prefix, with the time of the last confirmation.
    pub(crate) fn cache_ids(&self, hash: PrefixHash) -> impl Iterator<Item = (CacheId, Instant)> {
        self.entries
            .range((hash, CacheId::MIN)..=(hash, CacheId::MAX))
            .map(|((_, cache_id), entry)| (*cache_id, entry.at))
    }
}
