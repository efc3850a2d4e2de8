//! Load balancing: picks the group that a request is sent to.

mod group;
mod limit;
mod prefix;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, value};
use smallvec::SmallVec;

use crate::pick::group::GroupState;
pub use crate::pick::limit::{INTER_TOKEN_LATENCY_SLO, TIME_TO_FIRST_TOKEN_SLO};
pub use crate::pick::prefix::{CacheEvent, PrefixHash, PrefixHashes, prefix_hashes};
use crate::pick::prefix::{CacheId, PrefixIndex};
use crate::queue::{SlotKind, Slots};

/// Utilization by which a group one step of distance further away must be lower.
const DISTANCE_COST: f64 = 0.4;
/// Utilization by which a group that has the whole prefix cached may be higher.
const AFFINITY_GAIN: f64 = 0.5;
/// Weight of a prefix match that may have been evicted unseen.
const UNCONFIRMED_WEIGHT: f64 = 0.5;
/// Random part of the score, so that entries with the same load reports don't all
/// pick the same group.
const NOISE: f64 = 0.05;
/// Minimum time between comparisons with the median of the groups.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// A group that was absent for longer than this goes through slow start when it returns.
const RETURN_GRACE: Duration = Duration::from_secs(10);
/// Groups seen within this time of the first update skip slow start: the entry is new,
/// not the groups.
const STARTUP_WINDOW: Duration = Duration::from_secs(10);
/// How long requests in flight on an absent group are tracked.
const ABSENT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of (prefix, group) entries in the index.
const MAX_PREFIXES: usize = 16_384;

value! {
    /// A group that can serve requests.
    pub struct Candidate {
        /// The group.
        pub group: GroupId,
        /// Its epoch.
        pub epoch: Epoch,
        /// 0 in this entry's failure domain, 1 in its region, 2 in another region.
        pub distance: u8,
        /// Concurrent requests the group runs for all entries together.
        pub slots: u32,
        /// Concurrent requests this entry may have on the group.
        pub quota: Slots,
        /// Whether one of its targets is leaving; the group then gets no new requests.
        pub leaving: bool,
    }

    /// The picked group. Pass it to [`GroupPicker::release`] when the request has ended.
    pub struct Pick {
        /// The group.
        pub group: GroupId,
        /// Its epoch, to be checked again just before the request is sent.
        pub epoch: Epoch,
        /// The kind of slot occupied.
        pub slot: SlotKind,
    }
}

value! { copy
    /// A latency measurement of a group.
    pub enum LatencySample {
        /// Time from dispatch to the first token.
        TimeToFirstToken(Duration),
        /// Time between two tokens. For a stalled stream, report the time since the last
        /// token once a second: a frozen group produces no samples itself.
        InterTokenLatency(Duration),
    }
}

/// Picks among the groups of one service at one entry.
#[derive(Debug)]
pub struct GroupPicker {
    groups: BTreeMap<GroupId, GroupState>,
    /// Groups that were candidates recently. Their requests keep running and occupy
    /// slots if the group returns; without them it would be given twice its quota.
    absent: BTreeMap<GroupId, AbsentGroup>,
    prefixes: PrefixIndex,
    last_cache_id: CacheId,
    first_update: Option<Instant>,
    last_comparison: Option<Instant>,
    rng: fastrand::Rng,
}

impl GroupPicker {
    /// Creates a picker without groups; use a different `seed` on each node.
    pub fn new(seed: u64) -> GroupPicker {
        GroupPicker {
            groups: BTreeMap::new(),
            absent: BTreeMap::new(),
            prefixes: PrefixIndex::new(MAX_PREFIXES),
            last_cache_id: 0,
            first_update: None,
            last_comparison: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the candidates. Groups not in the list get no new requests.
    pub fn set_candidates(
        &mut self,
        candidates: impl IntoIterator<Item = Candidate>,
        now: Instant,
    ) {
        self.first_update.get_or_insert(now);
        let mut known = std::mem::take(&mut self.groups);
        for candidate in candidates {
            let group = candidate.group.clone();
            let state = match known.remove(&group) {
                Some(mut state) if state.epoch() == candidate.epoch => {
                    if state.candidate.leaving && !candidate.leaving {
                        state.restart_slow_start(now);
                    }
                    state.candidate = candidate;
                    state
                }
                _ => self.restore_or_add(candidate, now),
            };
            self.groups.insert(group, state);
        }
        let removed = known.into_iter();
        let removed = removed.map(|(group, state)| (group, AbsentGroup { state, since: now }));
        self.absent.extend(removed);
        self.absent.retain(|_, a| !a.is_expired(now));
    }

    /// Returns the state of a candidate that was not in the previous list: restored if the
    /// group was absent, otherwise new.
    fn restore_or_add(&mut self, candidate: Candidate, now: Instant) -> GroupState {
        match self.absent.remove(&candidate.group) {
            Some(AbsentGroup { mut state, since }) if state.epoch() == candidate.epoch => {
                if now.saturating_duration_since(since) >= RETURN_GRACE {
                    state.restart_slow_start(now);
                }
                state.candidate = candidate;
                state
            }
            _ => self.add(candidate, now),
        }
    }

    fn add(&mut self, candidate: Candidate, now: Instant) -> GroupState {
        self.last_cache_id += 1;
        let mut state = GroupState::new(candidate, self.last_cache_id, now);
        let first = self.first_update.unwrap_or(now);
        if now.saturating_duration_since(first) >= STARTUP_WINDOW {
            state.restart_slow_start(now);
        }
        state
    }

    /// Sets the concurrent requests this entry may have on a group.
    pub fn set_quota(&mut self, group: &str, epoch: Epoch, quota: Slots) {
        if let Some(state) = self.current(group, epoch) {
            state.candidate.quota = quota;
        }
    }

    /// Returns the free slots of all groups, to be passed to the queue. Each of them can be picked at
    /// the same `now`.
    pub fn free_slots(&mut self, now: Instant) -> Slots {
        self.compare_groups(now);
        let mut sum = Slots::NONE;
        for state in self.groups.values() {
            let free = state.free(now);
            sum.normal += free.normal;
            sum.urgent += free.urgent;
        }
        sum
    }

    /// Picks a group with a free slot of the kind and occupies the slot.
    ///
    /// `avoid` lists groups on which earlier attempts of the request failed.
    pub fn pick(
        &mut self,
        slot: SlotKind,
        prefixes: &[PrefixHash],
        avoid: &[GroupId],
        now: Instant,
    ) -> Option<Pick> {
        self.compare_groups(now);
        let group = self.best_group(slot, prefixes, avoid, now)?;
        let state = self.groups.get_mut(&group)?;
        state.acquire(slot, now);
        let cache_id = state.cache_id;
        let epoch = state.epoch();
        for hash in prefixes {
            self.prefixes.insert(*hash, cache_id, now);
        }
        Some(Pick { group, epoch, slot })
    }

    fn best_group(
        &mut self,
        slot: SlotKind,
        prefixes: &[PrefixHash],
        avoid: &[GroupId],
        now: Instant,
    ) -> Option<GroupId> {
        let matches = self.matches(prefixes);
        let mut best: Option<(f64, &GroupId)> = None;
        for (group, state) in &self.groups {
            let free = state.free(now);
            let free_of_kind = match slot {
                SlotKind::Normal => free.normal,
                SlotKind::Urgent => free.urgent,
            };
            if free_of_kind == 0 || avoid.contains(group) {
                continue;
            }
            let found = matches.binary_search_by_key(&state.cache_id, |m| m.cache_id);
            let affinity =
                found.map_or(0.0, |at| matches[at].weight(state) / prefixes.len() as f64);
            let score = state.utilization(now)
                + DISTANCE_COST * f64::from(state.candidate.distance)
                - AFFINITY_GAIN * affinity
                + NOISE * self.rng.f64();
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, group));
            }
        }
        best.map(|(_, group)| group.clone())
    }

    /// Returns the longest match of each group that has one, sorted by cache id.
    ///
    /// Sorted, because every group may have a popular prefix cached: a linear search
    /// for each group would make the cost of a pick quadratic in the groups.
    fn matches(&self, prefixes: &[PrefixHash]) -> SmallVec<[PrefixMatch; 8]> {
        let mut matches: SmallVec<[PrefixMatch; 8]> = SmallVec::new();
        for (i, hash) in prefixes.iter().enumerate().rev() {
            for (cache_id, at) in self.prefixes.cache_ids(*hash) {
                let length = i + 1;
                if let Err(index) = matches.binary_search_by_key(&cache_id, |m| m.cache_id) {
                    matches.insert(
                        index,
                        PrefixMatch {
                            cache_id,
                            length,
                            at,
                        },
                    );
                }
            }
        }
        matches
    }

    /// Releases the slot of a pick, even if its group is no longer a candidate.
    pub fn release(&mut self, pick: &Pick) {
        let absent = self.absent.get_mut(&pick.group).map(|a| &mut a.state);
        let state = self.groups.get_mut(&pick.group).or(absent);
        if let Some(state) = state.filter(|s| s.epoch() == pick.epoch) {
            state.release(pick.slot);
        }
    }

    /// Records a latency sample.
    pub fn observe(&mut self, group: &str, epoch: Epoch, sample: LatencySample, now: Instant) {
        if let Some(state) = self.current(group, epoch) {
            state.observe(sample, now);
        }
    }

    /// Records a load report: `running` requests at `taken_at`.
    pub fn on_load_report(&mut self, group: &str, epoch: Epoch, running: u32, taken_at: Instant) {
        if let Some(state) = self.current(group, epoch) {
            state.on_load_report(running, taken_at);
        }
    }

    /// Applies cache events numbered from `first`; duplicates are skipped.
    ///
    /// After a gap, all earlier matches of the group are unconfirmed, since any of
    /// them may have been evicted unseen.
    pub fn on_cache_events(
        &mut self,
        group: &str,
        epoch: Epoch,
        first: u64,
        events: &[CacheEvent],
        taken_at: Instant,
    ) {
        let Some(state) = self.current(group, epoch) else {
            return;
        };
        if first > state.next_event_seq {
            state.unconfirmed_before = Some(taken_at);
        }
        let duplicates = state.next_event_seq.saturating_sub(first) as usize;
        state.next_event_seq = state.next_event_seq.max(first + events.len() as u64);
        let cache_id = state.cache_id;
        for event in events.iter().skip(duplicates) {
            match *event {
                CacheEvent::Stored(hash) => self.prefixes.insert(hash, cache_id, taken_at),
                CacheEvent::Evicted(hash) => self.prefixes.evict(hash, cache_id, taken_at),
            }
        }
    }

    fn current(&mut self, group: &str, epoch: Epoch) -> Option<&mut GroupState> {
        let state = self.groups.get_mut(group)?;
        (state.epoch() == epoch).then_some(state)
    }

    fn compare_groups(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < COMPARE_INTERVAL;
        if self.last_comparison.is_some_and(fresh) {
            return;
        }
        self.last_comparison = Some(now);
        let mut latencies: Vec<f64> = self
            .groups
            .values()
            .filter_map(|g| g.inter_token_latency())
            .collect();
        latencies.sort_by(f64::total_cmp);
        // The lower median: with two groups, the slow one is compared with the other.
        let median = latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied();
        for state in self.groups.values_mut() {
            state.compare(median);
        }
    }
}

/// A group that is not a candidate at present.
#[derive(Debug)]
struct AbsentGroup {
    state: GroupState,
    since: Instant,
}

impl AbsentGroup {
    fn is_expired(&self, now: Instant) -> bool {
        let absent_for = now.saturating_duration_since(self.since);
        absent_for >= ABSENT_TTL || absent_for >= RETURN_GRACE && self.state.is_idle()
    }
}

/// The longest prefix of a prompt that a group is expected to have cached.
struct PrefixMatch {
    cache_id: CacheId,
    /// Number of prefixes.
    length: usize,
    at: Instant,
}

impl PrefixMatch {
    fn weight(&self, state: &GroupState) -> f64 {
        let unconfirmed = state
            .unconfirmed_before
            .is_some_and(|before| self.at < before);
        self.length as f64 * if unconfirmed { UNCONFIRMED_WEIGHT } else { 1.0 }
    }
}
