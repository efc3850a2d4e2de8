//! Choice of the group that a request goes to.

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
use crate::pick::prefix::{Holder, PrefixRecord};
use crate::queue::{SlotKind, Slots};

/// A group one failure domain further away has to be this much emptier.
const HOP_COST: f64 = 0.4;
/// A group that holds the whole prefix may be this much fuller.
const AFFINITY_GAIN: f64 = 0.5;
/// What a match is worth that cache events have cast doubt on.
const DOUBTED: f64 = 0.5;
/// Random part of the score, so that entries with the same reports don't
/// all send to the same group.
const NOISE: f64 = 0.05;
/// The peers' median is worked out at most this often.
const COMPARE_EVERY: Duration = Duration::from_millis(250);
/// A group that was gone for less than this goes on as before; after it, it starts gradually.
const RETURN_GRACE: Duration = Duration::from_secs(10);
/// Groups that an entry finds within this time of its first look have been there before it.
const FIRST_LOOK: Duration = Duration::from_secs(10);
/// What runs at a group that is gone is counted for this long.
const ABSENT_LIFE: Duration = Duration::from_secs(600);
/// Records of (prefix, group) kept by default.
const MAX_PREFIXES: usize = 16_384;

value! {
    /// A whole group that may serve.
    pub struct Candidate {
        /// The group.
        pub group: GroupId,
        /// Its epoch.
        pub epoch: Epoch,
        /// How far it is: 0 in this entry's failure domain, 1 in its region, 2 beyond.
        pub distance: u8,
        /// Requests that the group runs at a time, over all entries.
        pub slots: u32,
        /// What this entry may have running there.
        pub quota: Slots,
        /// One of its targets is leaving: it gets nothing new.
        pub leaving: bool,
    }

    /// The chosen group. Give it back to [`GroupPicker::release`].
    pub struct Pick {
        /// The group.
        pub group: GroupId,
        /// Its epoch, to be checked again just before the bytes leave.
        pub epoch: Epoch,
        /// The kind of slot taken.
        pub slot: SlotKind,
    }
}

value! { copy
    /// One measurement of a group.
    pub enum LatencySample {
        /// Time from dispatch to the first token.
        TimeToFirstToken(Duration),
        /// Time between two tokens. For a stream that stalls, report the time
        /// stalled so far once a second: a frozen group sends no samples of its own.
        InterTokenLatency(Duration),
    }
}

/// Chooses among the whole groups of one service at one entry.
#[derive(Debug)]
pub struct GroupPicker {
    groups: BTreeMap<GroupId, GroupState>,
    /// Groups that were candidates lately. What runs there goes on and counts when
    /// they come back; forgotten, it would be sent a second time over.
    absent: BTreeMap<GroupId, Absent>,
    prefixes: PrefixRecord,
    last_holder: Holder,
    first_look: Option<Instant>,
    compared: Option<Instant>,
    rng: fastrand::Rng,
}

impl GroupPicker {
    /// Makes a picker without groups; give each node its own `seed`.
    pub fn new(seed: u64) -> GroupPicker {
        GroupPicker {
            groups: BTreeMap::new(),
            absent: BTreeMap::new(),
            prefixes: PrefixRecord::new(MAX_PREFIXES),
            last_holder: 0,
            first_look: None,
            compared: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the candidates. What isn't in the list gets nothing new.
    pub fn set_candidates(
        &mut self,
        candidates: impl IntoIterator<Item = Candidate>,
        now: Instant,
    ) {
        self.first_look.get_or_insert(now);
        let mut known = std::mem::take(&mut self.groups);
        for candidate in candidates {
            let group = candidate.group.clone();
            let state = match known.remove(&group) {
                Some(mut state) if state.epoch() == candidate.epoch => {
                    if state.candidate.leaving && !candidate.leaving {
                        state.restart_ramp(now);
                    }
                    state.candidate = candidate;
                    state
                }
                _ => self.welcome(candidate, now),
            };
            self.groups.insert(group, state);
        }
        let gone = known.into_iter();
        let gone = gone.map(|(group, state)| (group, Absent { state, since: now }));
        self.absent.extend(gone);
        self.absent.retain(|_, a| !a.is_over(now));
    }

    /// A candidate that wasn't one just now: back after a gap, or new.
    fn welcome(&mut self, candidate: Candidate, now: Instant) -> GroupState {
        match self.absent.remove(&candidate.group) {
            Some(Absent { mut state, since }) if state.epoch() == candidate.epoch => {
                if now.saturating_duration_since(since) >= RETURN_GRACE {
                    state.restart_ramp(now);
                }
                state.candidate = candidate;
                state
            }
            _ => self.meet(candidate, now),
        }
    }

    fn meet(&mut self, candidate: Candidate, now: Instant) -> GroupState {
        self.last_holder += 1;
        let mut state = GroupState::new(candidate, self.last_holder, now);
        let first = self.first_look.unwrap_or(now);
        if now.saturating_duration_since(first) >= FIRST_LOOK {
            state.restart_ramp(now);
        }
        state
    }

    /// Changes what this entry may have running at a group.
    pub fn set_quota(&mut self, group: &str, epoch: Epoch, quota: Slots) {
        if let Some(state) = self.current(group, epoch) {
            state.candidate.quota = quota;
        }
    }

    /// Free slots over all groups, to be given to the queue.
    pub fn free_slots(&self, now: Instant) -> Slots {
        let mut sum = Slots::NONE;
        for state in self.groups.values() {
            let free = state.free(now);
            sum.normal += free.normal;
            sum.urgent += free.urgent;
        }
        sum
    }

    /// Chooses a group with a free slot of the kind and takes the slot.
    ///
    /// `avoid` are groups that a former attempt of the request failed at.
    pub fn pick(
        &mut self,
        slot: SlotKind,
        prefixes: &[PrefixHash],
        avoid: &[GroupId],
        now: Instant,
    ) -> Option<Pick> {
        self.compare_peers(now);
        let group = self.best(slot, prefixes, avoid, now)?;
        let state = self.groups.get_mut(&group)?;
        state.begin(slot, now);
        let holder = state.holder;
        let epoch = state.epoch();
        for hash in prefixes {
            self.prefixes.note(*hash, holder, now);
        }
        Some(Pick { group, epoch, slot })
    }

    fn best(
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
            let room = match slot {
                SlotKind::Normal => free.normal,
                SlotKind::Urgent => free.urgent,
            };
            if room == 0 || avoid.contains(group) {
                continue;
            }
            let found = matches.binary_search_by_key(&state.holder, |m| m.holder);
            let affinity = found.map_or(0.0, |at| matches[at].worth(state) / prefixes.len() as f64);
            let score = state.utilisation(now) + HOP_COST * f64::from(state.candidate.distance)
                - AFFINITY_GAIN * affinity
                + NOISE * self.rng.f64();
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, group));
            }
        }
        best.map(|(_, group)| group.clone())
    }

    /// The longest match of each group that has one, by holder.
    ///
    /// The order matters for the cost: a popular beginning is held by every
    /// group, and a search of an unordered list for each of them would make
    /// every pick grow with the square of the groups.
    fn matches(&self, prefixes: &[PrefixHash]) -> SmallVec<[Match; 8]> {
        let mut matches: SmallVec<[Match; 8]> = SmallVec::new();
        for (i, hash) in prefixes.iter().enumerate().rev() {
            for (holder, at) in self.prefixes.holders(*hash) {
                let length = i + 1;
                if let Err(place) = matches.binary_search_by_key(&holder, |m| m.holder) {
                    matches.insert(place, Match { holder, length, at });
                }
            }
        }
        matches
    }

    /// Frees the slot of a pick, also of one whose group has ended since.
    pub fn release(&mut self, pick: &Pick) {
        let absent = self.absent.get_mut(&pick.group).map(|a| &mut a.state);
        let state = self.groups.get_mut(&pick.group).or(absent);
        if let Some(state) = state.filter(|s| s.epoch() == pick.epoch) {
            state.end(pick.slot);
        }
    }

    /// Takes a measurement.
    pub fn observe(&mut self, group: &str, epoch: Epoch, sample: LatencySample, now: Instant) {
        if let Some(state) = self.current(group, epoch) {
            state.observe(sample, now);
        }
    }

    /// Takes a load report: `running` requests when it was taken.
    pub fn on_load_report(&mut self, group: &str, epoch: Epoch, running: u32, taken_at: Instant) {
        if let Some(state) = self.current(group, epoch) {
            state.report(running, taken_at);
        }
    }

    /// Takes cache events numbered from `first`; doubled ones are skipped.
    ///
    /// After a gap every earlier match of the group is doubted, since any of
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
        if first > state.next_event {
            state.doubt_before = Some(taken_at);
        }
        let seen = state.next_event.saturating_sub(first) as usize;
        state.next_event = state.next_event.max(first + events.len() as u64);
        let holder = state.holder;
        for event in events.iter().skip(seen) {
            match *event {
                CacheEvent::Stored(hash) => self.prefixes.note(hash, holder, taken_at),
                CacheEvent::Evicted(hash) => self.prefixes.evict(hash, holder, taken_at),
            }
        }
    }

    fn current(&mut self, group: &str, epoch: Epoch) -> Option<&mut GroupState> {
        let state = self.groups.get_mut(group)?;
        (state.epoch() == epoch).then_some(state)
    }

    fn compare_peers(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < COMPARE_EVERY;
        if self.compared.is_some_and(fresh) {
            return;
        }
        self.compared = Some(now);
        let mut gaps: Vec<f64> = self.groups.values().filter_map(|g| g.token_gap()).collect();
        gaps.sort_by(f64::total_cmp);
        // The lower median: with two groups, the slow one is compared with the other.
        let median = gaps.get(gaps.len().saturating_sub(1) / 2).copied();
        for state in self.groups.values_mut() {
            state.compare(median);
        }
    }
}

/// A group that is no candidate now.
#[derive(Debug)]
struct Absent {
    state: GroupState,
    since: Instant,
}

impl Absent {
    fn is_over(&self, now: Instant) -> bool {
        let gone = now.saturating_duration_since(self.since);
        gone >= ABSENT_LIFE || gone >= RETURN_GRACE && self.state.is_idle()
    }
}

/// A prompt's longest prefix that a group is thought to hold.
struct Match {
    holder: Holder,
    /// In prefixes.
    length: usize,
    at: Instant,
}

impl Match {
    fn worth(&self, state: &GroupState) -> f64 {
        let doubted = state.doubt_before.is_some_and(|doubt| self.at < doubt);
        self.length as f64 * if doubted { DOUBTED } else { 1.0 }
    }
}
