//! Which prompt prefixes are likely in which group's cache.
//!
//! The record starts from what this entry sent and is corrected by the
//! engines' cache events, which come late and with gaps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassmill_base::{stable_hash, value};
use smallvec::SmallVec;

/// Hash of a prompt's beginning.
pub type PrefixHash = u64;
/// Hashes of one prompt's beginnings, the shortest first.
pub type PrefixHashes = SmallVec<[PrefixHash; 8]>;

/// Length of the shortest prefix that is worth a match, in bytes.
const FIRST_PREFIX: usize = 256;

/// Hashes the beginnings of `prompt` at 256 bytes, 512, 1024 and so on.
///
/// Doubling lengths keep the number of hashes small for long prompts; the
/// remainder beyond the last doubling is rarely shared.
pub fn prefix_hashes(prompt: &str) -> PrefixHashes {
    let mut hashes = PrefixHashes::new();
    let mut chain = String::new();
    let (mut from, mut to) = (0, FIRST_PREFIX);
    while to <= prompt.len() {
        let end = prompt.floor_char_boundary(to);
        let hash = stable_hash([chain.as_str(), &prompt[from..end]]);
        hashes.push(hash);
        chain = hash.to_string();
        (from, to) = (end, to * 2);
    }
    hashes
}

value! { copy
    /// What an engine says of one prefix.
    pub enum CacheEvent {
        /// It is in the cache.
        Stored(PrefixHash),
        /// It has left the cache.
        Evicted(PrefixHash),
    }
}

/// Stands for one epoch of one group; a new epoch starts with an empty cache.
pub(crate) type Holder = u32;

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    used: u64,
}

/// Bounded record of (prefix, group), the least recently used dropped first.
#[derive(Debug)]
pub(crate) struct PrefixRecord {
    marks: BTreeMap<(PrefixHash, Holder), Mark>,
    /// Invariant: the keys of `marks` by their `used`.
    by_use: BTreeSet<(u64, PrefixHash, Holder)>,
    max: usize,
    uses: u64,
}

impl PrefixRecord {
    pub(crate) fn new(max: usize) -> PrefixRecord {
        PrefixRecord {
            marks: BTreeMap::new(),
            by_use: BTreeSet::new(),
            max,
            uses: 0,
        }
    }

    /// Notes that the prefix was sent to the holder, or confirmed by it.
    pub(crate) fn note(&mut self, hash: PrefixHash, holder: Holder, at: Instant) {
        self.uses += 1;
        let mark = Mark {
            at,
            used: self.uses,
        };
        if let Some(old) = self.marks.insert((hash, holder), mark) {
            self.by_use.remove(&(old.used, hash, holder));
        }
        self.by_use.insert((mark.used, hash, holder));
        if self.marks.len() > self.max
            && let Some((_, hash, holder)) = self.by_use.pop_first()
        {
            self.marks.remove(&(hash, holder));
        }
    }

    /// Drops a prefix, unless it was sent again after the event was taken.
    ///
    /// Events are late: an eviction from before our last request would
    /// otherwise send the next one to a group whose cache is cold.
    pub(crate) fn evict(&mut self, hash: PrefixHash, holder: Holder, taken_at: Instant) {
        let Some(mark) = self.marks.get(&(hash, holder)).copied() else {
            return;
        };
        if mark.at < taken_at {
            self.marks.remove(&(hash, holder));
            self.by_use.remove(&(mark.used, hash, holder));
        }
    }

    /// Who holds the prefix, and since when that is known.
    pub(crate) fn holders(&self, hash: PrefixHash) -> impl Iterator<Item = (Holder, Instant)> {
        self.marks
            .range((hash, Holder::MIN)..=(hash, Holder::MAX))
            .map(|((_, holder), mark)| (*holder, mark.at))
    }
}
