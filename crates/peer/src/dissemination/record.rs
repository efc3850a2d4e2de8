//! What is held of one origin.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Incarnation, NodeId};
use smallvec::SmallVec;

use crate::item::{Change, Item, ItemKey, Pace};
use crate::wire::convert::{Received, from_kind, to_kind, to_removed};
use crate::wire::messages::{self as wire, OriginUpdate};

/// Identifies one state of one origin: its name, start and last sequence number.
///
/// Two different states are alike with odds of 1 to 2^32. The harm would be that
/// a state counts as confirmed for one tick more than it was.
pub(crate) type Fingerprint = u32;

/// Most items of one origin.
pub(crate) const MAX_ITEMS: usize = 256;
/// How long the key of an item that is gone is kept, so that differences can tell of it.
const KEEP_REMOVED: Duration = Duration::from_secs(30);
/// Former fingerprints by which an origin's older states are told from unknown ones.
pub(crate) const PAST: usize = 8;

/// One item, or the key of one that is gone.
#[derive(Clone, Debug)]
struct Held {
    sequence: u64,
    as_of: Instant,
    ttl: Option<Duration>,
    /// `None` when it is gone.
    item: Option<Item>,
}

/// Everything held of one origin.
///
/// Invariant: the incarnation never falls, and within one the sequence number of
/// the record and of each key never falls.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    name_hash: u64,
    incarnation: Incarnation,
    /// All changes up to this one are in `held`.
    sequence: u64,
    /// Differences from this sequence number or a later one are exact.
    exact_from: u64,
    held: BTreeMap<ItemKey, Held>,
    confirmed: Instant,
    past: SmallVec<[Fingerprint; PAST]>,
    /// What has yet to be handed on, if anything.
    pub(crate) news: Option<Pace>,
}

/// What taking in an update came to.
pub(crate) struct Applied {
    pub(crate) changes: Vec<Change>,
    /// Whether all of the update's state is held now.
    pub(crate) complete: bool,
}

impl Record {
    pub(crate) fn new(origin: &NodeId, incarnation: Incarnation, confirmed: Instant) -> Record {
        Record {
            name_hash: eelgrassmill_base::stable_hash([origin.as_str()]),
            incarnation,
            sequence: 0,
            exact_from: 0,
            held: BTreeMap::new(),
            confirmed,
            past: SmallVec::new(),
            news: None,
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

    pub(crate) fn past(&self) -> &[Fingerprint] {
        &self.past
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        // The finisher of a well-mixed 64-bit hash over the three parts.
        let mut x = self.name_hash ^ self.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= self.sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) as Fingerprint
    }

    /// The items held, with their sequence numbers and times.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&Item, u64, Instant)> {
        self.held.values().filter_map(|held| {
            let item = held.item.as_ref()?;
            Some((item, held.sequence, held.as_of))
        })
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &ItemKey> {
        self.held.keys()
    }

    pub(crate) fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.held.get(key).and_then(|held| held.item.as_ref())
    }

    /// Marks that something of at least this pace has to be handed on.
    pub(crate) fn note(&mut self, pace: Pace) {
        self.news = self.news.max(Some(pace));
    }

    /// Sets an item of our own; whether that changed anything.
    pub(crate) fn put(&mut self, item: Item, ttl: Option<Duration>, now: Instant) -> bool {
        let key = item.key();
        if let Some(held) = self.held.get_mut(&key)
            && held.item.as_ref() == Some(&item)
        {
            held.as_of = now;
            held.ttl = ttl;
            return false;
        }
        if self.held.len() >= MAX_ITEMS && !self.held.contains_key(&key) {
            return false;
        }
        let pace = item.pace();
        let sequence = self.advance(self.sequence + 1);
        self.held.insert(
            key,
            Held {
                sequence,
                as_of: now,
                ttl,
                item: Some(item),
            },
        );
        self.note(pace.max(Pace::Normal));
        true
    }

    /// Takes away an item of our own; whether it was there.
    pub(crate) fn remove(&mut self, key: &ItemKey, now: Instant) -> bool {
        if self.get(key).is_none() {
            return false;
        }
        let sequence = self.advance(self.sequence + 1);
        if let Some(held) = self.held.get_mut(key) {
            held.sequence = sequence;
            held.as_of = now;
            held.item = None;
        }
        self.note(Pace::Normal);
        true
    }

    /// Takes a confirmation; whether it is newer than what was known.
    pub(crate) fn confirm(&mut self, as_of: Instant) -> bool {
        let newer = as_of > self.confirmed;
        if newer {
            self.confirmed = as_of;
            self.note(Pace::Normal);
        }
        newer
    }

    fn advance(&mut self, sequence: u64) -> u64 {
        if self.sequence > 0 {
            if self.past.len() == PAST {
                self.past.remove(0);
            }
            self.past.push(self.fingerprint());
        }
        self.sequence = sequence;
        sequence
    }

    /// Takes in what another node says of this origin; `late` is added to every age.
    ///
    /// Does nothing with an older incarnation: a node that was cut off would
    /// otherwise bring back what its peers have long seen replaced.
    pub(crate) fn apply(&mut self, update: OriginUpdate, late: Duration, now: Instant) -> Applied {
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
        let whole = update.base == 0;
        let mut keys = Vec::new();
        for item in update.items {
            if let Some(key) = self.apply_item(item, late, now, &mut applied) {
                keys.push(key);
            }
        }
        if update.sequence >= self.sequence && whole {
            self.drop_others(&keys, update.sequence, &mut applied);
        }
        if update.base <= self.sequence && update.sequence > self.sequence {
            self.advance(update.sequence);
            self.note(Pace::Normal);
            if whole {
                self.exact_from = update.sequence;
            }
        }
        applied.complete = self.sequence >= update.sequence;
        if self.sequence == update.sequence {
            self.confirm_after(update.age_ms, late, now, &mut applied);
        }
        applied
    }

    fn restart(&mut self, incarnation: Incarnation, now: Instant, applied: &mut Applied) {
        self.past.push(self.fingerprint());
        self.past.truncate(PAST);
        self.incarnation = incarnation;
        self.sequence = 0;
        self.exact_from = 0;
        self.held.clear();
        self.confirmed = super::before(now, super::LONG_AGO).unwrap_or(self.confirmed);
        applied.changes.push(Change::Forgotten);
    }

    fn confirm_after(&mut self, age_ms: u64, late: Duration, now: Instant, applied: &mut Applied) {
        let age = Duration::from_millis(age_ms).saturating_add(late);
        let Some(as_of) = super::before(now, age) else {
            return;
        };
        if self.confirm(as_of) {
            applied.changes.push(Change::Confirmed(as_of));
        }
    }

    /// Takes in one item; gives its key when it was understood.
    fn apply_item(
        &mut self,
        item: wire::Item,
        late: Duration,
        now: Instant,
        applied: &mut Applied,
    ) -> Option<ItemKey> {
        let age = Duration::from_millis(item.age_ms).saturating_add(late);
        let as_of = super::before(now, age)?;
        let ttl = (item.ttl_ms > 0).then(|| Duration::from_millis(item.ttl_ms));
        let received = from_kind(item.kind?)?;
        let (key, value) = match received {
            Received::Put(item) => (item.key(), Some(item)),
            Received::Removed(key) => (key, None),
        };
        let known = self.held.get(&key);
        if known.is_some_and(|held| held.sequence >= item.sequence) {
            return Some(key);
        }
        if known.is_none() && self.held.len() >= MAX_ITEMS {
            return Some(key);
        }
        let was_present = known.is_some_and(|held| held.item.is_some());
        let held = Held {
            sequence: item.sequence,
            as_of,
            ttl,
            item: value.clone(),
        };
        self.held.insert(key.clone(), held);
        match value {
            Some(item_value) => {
                self.note(item_value.pace().max(Pace::Normal));
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

    /// Drops what a whole state up to `sequence` does not have.
    fn drop_others(&mut self, keys: &[ItemKey], sequence: u64, applied: &mut Applied) {
        let keys: std::collections::BTreeSet<&ItemKey> = keys.iter().collect();
        let gone: Vec<ItemKey> = self
            .held
            .iter()
            .filter(|(key, held)| held.sequence <= sequence && !keys.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            if self
                .held
                .remove(&key)
                .is_some_and(|held| held.item.is_some())
            {
                applied.changes.push(Change::Removed(key));
            }
        }
    }

    /// Drops what has outlived its time; gives the keys of items that went.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<ItemKey> {
        let outlived = |held: &Held| {
            let age = now.saturating_duration_since(held.as_of);
            match held.item {
                Some(_) => held.ttl.is_some_and(|ttl| age >= ttl),
                None => age >= KEEP_REMOVED,
            }
        };
        let gone: Vec<ItemKey> = self
            .held
            .iter()
            .filter(|(_, held)| outlived(held))
            .map(|(key, _)| key.clone())
            .collect();
        let mut items = Vec::new();
        for key in gone {
            let Some(held) = self.held.remove(&key) else {
                continue;
            };
            if held.item.is_some() {
                items.push(key);
            } else {
                // A difference from before the removal would no longer tell of it.
                self.exact_from = self.exact_from.max(held.sequence);
            }
        }
        items
    }

    /// What a node lacks that has everything up to `known`; 0 for nothing.
    pub(crate) fn since(&self, origin: &NodeId, known: u64, now: Instant) -> OriginUpdate {
        let base = if known >= self.exact_from { known } else { 0 };
        let items = self
            .held
            .iter()
            .filter(|(_, held)| held.sequence > base && (base > 0 || held.item.is_some()))
            .map(|(key, held)| held.to_wire(key, now))
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

impl Held {
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
