//! The state held of one origin.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Incarnation, NodeId};
use smallvec::SmallVec;

use crate::item::{Change, Item, ItemKey, Priority};
use crate::wire::convert::{Received, from_kind, to_kind, to_removed};
use crate::wire::messages::{self as wire, OriginUpdate};

/// Identifies a version of an origin's state: a hash of name, incarnation and last sequence number.
///
/// Two versions collide with a probability of 1 in 2^32. A collision would make a state
/// count as confirmed for one tick too long.
pub(crate) type Fingerprint = u32;

/// Maximum number of items per origin.
pub(crate) const MAX_ITEMS: usize = 256;
/// How long the key of a removed item is kept, so that deltas can report the removal.
const TOMBSTONE_TTL: Duration = Duration::from_secs(30);
/// Number of previous fingerprints kept to distinguish an origin's older versions from unknown ones.
pub(crate) const MAX_PREVIOUS_FINGERPRINTS: usize = 8;

/// An item or the tombstone of a removed one.
#[derive(Clone, Debug)]
struct Entry {
    sequence: u64,
    as_of: Instant,
    ttl: Option<Duration>,
    /// `None` for a tombstone.
    item: Option<Item>,
}

/// The state held of one origin.
///
/// Invariant: the incarnation never decreases, and within one incarnation the sequence
/// numbers of the state and of each key never decrease.
#[derive(Clone, Debug)]
pub(crate) struct OriginState {
    name_hash: u64,
    incarnation: Incarnation,
    /// `entries` has all changes up to this sequence number.
    sequence: u64,
    /// Deltas from this sequence number or a later one are complete.
    min_delta_base: u64,
    entries: BTreeMap<ItemKey, Entry>,
    confirmed: Instant,
    previous_fingerprints: SmallVec<[Fingerprint; MAX_PREVIOUS_FINGERPRINTS]>,
    /// Highest priority of the changes that have yet to be forwarded.
    pub(crate) unsent: Option<Priority>,
}

/// The result of applying an update.
pub(crate) struct Applied {
    pub(crate) changes: Vec<Change>,
    /// Whether the state now includes all of the update.
    pub(crate) complete: bool,
}

impl OriginState {
    pub(crate) fn new(
        origin: &NodeId,
        incarnation: Incarnation,
        confirmed: Instant,
    ) -> OriginState {
        OriginState {
            name_hash: eelgrassmill_base::stable_hash([origin.as_str()]),
            incarnation,
            sequence: 0,
            min_delta_base: 0,
            entries: BTreeMap::new(),
            confirmed,
            previous_fingerprints: SmallVec::new(),
            unsent: None,
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn confirmed(&self) -> Instant {
        self.confirmed
    }

    pub(crate) fn previous_fingerprints(&self) -> &[Fingerprint] {
        &self.previous_fingerprints
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        // A 64-bit mixing finalizer over the three parts.
        let mut x = self.name_hash ^ self.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= self.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) as Fingerprint
    }

    /// The items held, with their sequence numbers and times of observation.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&Item, u64, Instant)> {
        self.entries.values().filter_map(|entry| {
            let item = entry.item.as_ref()?;
            Some((item, entry.sequence, entry.as_of))
        })
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &ItemKey> {
        self.entries.keys()
    }

    pub(crate) fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.entries.get(key).and_then(|entry| entry.item.as_ref())
    }

    /// Records that a change of at least this priority has to be forwarded.
    pub(crate) fn mark_unsent(&mut self, priority: Priority) {
        self.unsent = self.unsent.max(Some(priority));
    }

    /// Sets an item of this node. Returns whether the state changed.
    pub(crate) fn put(&mut self, item: Item, ttl: Option<Duration>, now: Instant) -> bool {
        let key = item.key();
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.item.as_ref() == Some(&item)
        {
            entry.as_of = now;
            entry.ttl = ttl;
            return false;
        }
        if self.entries.len() >= MAX_ITEMS && !self.entries.contains_key(&key) {
            return false;
        }
        let priority = item.priority();
        let sequence = self.advance(self.sequence + 1);
        self.entries.insert(
            key,
            Entry {
                sequence,
                as_of: now,
                ttl,
                item: Some(item),
            },
        );
        self.mark_unsent(priority.max(Priority::Normal));
        true
    }

    /// Removes an item of this node. Returns whether it existed.
    pub(crate) fn remove(&mut self, key: &ItemKey, now: Instant) -> bool {
        if self.get(key).is_none() {
            return false;
        }
        let sequence = self.advance(self.sequence + 1);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.sequence = sequence;
            entry.as_of = now;
            entry.item = None;
        }
        self.mark_unsent(Priority::Normal);
        true
    }

    /// Applies a confirmation. Returns whether it is newer than the last one.
    pub(crate) fn confirm(&mut self, as_of: Instant) -> bool {
        let newer = as_of > self.confirmed;
        if newer {
            self.confirmed = as_of;
            self.mark_unsent(Priority::Normal);
        }
        newer
    }

    fn advance(&mut self, sequence: u64) -> u64 {
        if self.sequence > 0 {
            if self.previous_fingerprints.len() == MAX_PREVIOUS_FINGERPRINTS {
                self.previous_fingerprints.remove(0);
            }
            self.previous_fingerprints.push(self.fingerprint());
        }
        self.sequence = sequence;
        sequence
    }

    /// Applies another node's update of this origin; `delay` is added to every age.
    ///
    /// Ignores older incarnations. Otherwise a node that was partitioned would restore
    /// state that its peers have replaced since.
    pub(crate) fn apply(&mut self, update: OriginUpdate, delay: Duration, now: Instant) -> Applied {
        let mut applied = Applied {
            changes: Vec::new(),
            complete: false,
        };
        if update.incarnation < self.incarnation {
            return applied;
        }
        if update.incarnation > self.incarnation {
            self.restart(update.incarnation, now, &mut applied);
        }
        let is_full = update.base == 0;
        let mut keys = Vec::new();
        for item in update.items {
            if let Some(key) = self.apply_item(item, delay, now, &mut applied) {
                keys.push(key);
            }
        }
        if update.sequence >= self.sequence && is_full {
            self.drop_missing(&keys, update.sequence, &mut applied);
        }
        if update.base <= self.sequence && update.sequence > self.sequence {
            self.advance(update.sequence);
            self.mark_unsent(Priority::Normal);
            if is_full {
                self.min_delta_base = update.sequence;
            }
        }
        applied.complete = self.sequence >= update.sequence;
        if self.sequence == update.sequence {
            self.confirm_with_age(update.age_ms, delay, now, &mut applied);
        }
        applied
    }

    fn restart(&mut self, incarnation: Incarnation, now: Instant, applied: &mut Applied) {
        self.previous_fingerprints.push(self.fingerprint());
        self.previous_fingerprints
            .truncate(MAX_PREVIOUS_FINGERPRINTS);
        self.incarnation = incarnation;
        self.sequence = 0;
        self.min_delta_base = 0;
        self.entries.clear();
        self.confirmed = super::instant_ago(now, super::MAX_AGE).unwrap_or(self.confirmed);
        applied.changes.push(Change::Forgotten);
    }

    fn confirm_with_age(
        &mut self,
        age_ms: u64,
        delay: Duration,
        now: Instant,
        applied: &mut Applied,
    ) {
        let age = Duration::from_millis(age_ms).saturating_add(delay);
        let Some(as_of) = super::instant_ago(now, age) else {
            return;
        };
        if self.confirm(as_of) {
            applied.changes.push(Change::Confirmed(as_of));
        }
    }

    /// Applies one item. Returns its key if it was decoded.
    fn apply_item(
        &mut self,
        item: wire::Item,
        delay: Duration,
        now: Instant,
        applied: &mut Applied,
    ) -> Option<ItemKey> {
        let age = Duration::from_millis(item.age_ms).saturating_add(delay);
        let as_of = super::instant_ago(now, age)?;
        let ttl = (item.ttl_ms > 0).then(|| Duration::from_millis(item.ttl_ms));
        let received = from_kind(item.kind?)?;
        let (key, value) = match received {
            Received::Put(item) => (item.key(), Some(item)),
            Received::Removed(key) => (key, None),
        };
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| entry.sequence >= item.sequence) {
            return Some(key);
        }
        if known.is_none() && self.entries.len() >= MAX_ITEMS {
            return Some(key);
        }
        let was_present = known.is_some_and(|entry| entry.item.is_some());
        let entry = Entry {
            sequence: item.sequence,
            as_of,
            ttl,
            item: value.clone(),
        };
        self.entries.insert(key.clone(), entry);
        match value {
            Some(item_value) => {
                self.mark_unsent(item_value.priority().max(Priority::Normal));
                applied.changes.push(Change::Put {
                    item: item_value,
                    sequence: item.sequence,
                    as_of,
                    ttl,
                });
            }
            None if was_present => applied.changes.push(Change::Removed(key.clone())),
            None => {}
        }
        Some(key)
    }

    /// Removes the entries that a full state up to `sequence` doesn't include.
    fn drop_missing(&mut self, keys: &[ItemKey], sequence: u64, applied: &mut Applied) {
        let keys: std::collections::BTreeSet<&ItemKey> = keys.iter().collect();
        let removed: Vec<ItemKey> = self
            .entries
            .iter()
            .filter(|(key, entry)| entry.sequence <= sequence && !keys.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            if self
                .entries
                .remove(&key)
                .is_some_and(|entry| entry.item.is_some())
            {
                applied.changes.push(Change::Removed(key));
            }
        }
    }

    /// Removes expired items and tombstones. Returns the keys of the items.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<ItemKey> {
        let is_expired = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.as_of);
            match entry.item {
                Some(_) => entry.ttl.is_some_and(|ttl| age >= ttl),
                None => age >= TOMBSTONE_TTL,
            }
        };
        let removed: Vec<ItemKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(key, _)| key.clone())
            .collect();
        let mut items = Vec::new();
        for key in removed {
            let Some(entry) = self.entries.remove(&key) else {
                continue;
            };
            if entry.item.is_some() {
                items.push(key);
            } else {
                // A delta from before the removal would no longer include it.
                self.min_delta_base = self.min_delta_base.max(entry.sequence);
            }
        }
        items
    }

    /// The update for a node that has the changes up to `known`; the full state at 0.
    pub(crate) fn delta_since(&self, origin: &NodeId, known: u64, now: Instant) -> OriginUpdate {
        let base = if known >= self.min_delta_base {
            known
        } else {
            0
        };
        let items = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.sequence > base && (base > 0 || entry.item.is_some()))
            .map(|(key, entry)| entry.to_wire(key, now))
            .collect();
        OriginUpdate {
            origin: origin.to_string(),
            incarnation: self.incarnation,
            base,
            sequence: self.sequence,
            age_ms: super::age_ms(self.confirmed, now),
            items,
        }
    }
}

impl Entry {
    fn to_wire(&self, key: &ItemKey, now: Instant) -> wire::Item {
        let kind = match &self.item {
            Some(item) => to_kind(item),
            None => to_removed(key),
        };
        wire::Item {
            sequence: self.sequence,
            age_ms: super::age_ms(self.as_of, now),
            ttl_ms: self.ttl.map_or(0, |ttl| ttl.as_millis() as u64),
            kind: Some(kind),
        }
    }
}
