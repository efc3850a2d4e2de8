//! Finds what crashes every target that runs it: a request, or a part of its prompt.
//!
//! Every request running on a group when it crashes is a candidate, and so is each part of its
//! prompt that other requests may share. All compete for the crashes:
//!
//! - A request is quarantined after two crashes without another common cause, if in one of them no
//!   other request had been in two crashes; or after any three crashes, four if all were in one
//!   failure domain, unless another request was in all of them.
//! - A part is quarantined after three crashes, or four in one domain, unless one request or a
//!   likelier part was in all of them. A part that has completed before needs more, and so does one
//!   that many requests have.
//! - Completions clear candidates. A part is cleared as soon as a request with it has been writing
//!   for some time.
//!
//! Suspect requests are retried in isolation: one per group at a time. The state is a set of crashes
//! merged by union, so nodes converge whatever order updates arrive in.

mod candidate;
mod cause;
mod record;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, ServiceName, stable_hash, value};
use smallvec::SmallVec;

pub use crate::suspects::candidate::{
    BrokenRun, CrashCandidate, CrashCandidates, Fingerprint, MAX_REPORTED_CANDIDATES, PartId,
    crash_candidates, crashed_runs, request_fingerprint,
};
pub use crate::suspects::record::{
    ClearedRecord, CrashRecord, CrashedRun, SuspectUpdate, TrialRecord,
};
use crate::suspects::record::{Crash, Run};
use crate::suspects::traffic::PartTraffic;

/// Identifies one crash of one group, the same at every node that saw it.
pub type CrashId = u64;

/// A request is quarantined for this long after the last crash it was in. Then it is
/// retried in isolation: a request quarantined by mistake must not be refused forever.
pub const QUARANTINE_TERM: Duration = Duration::from_secs(20 * 60);
/// Crashes older than this are dropped.
pub const CRASH_TTL: Duration = Duration::from_secs(60 * 60);
/// Crashes in one failure domain within this time, without a request in common,
/// are attributed to the domain and not to a request.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(5);

/// Longest time from a run's first output to the crash that a part of its prompt causes. Hosts
/// process the prompt before they write.
pub const MAX_TIME_TO_CRASH: Duration = Duration::from_millis(500);

/// Maximum number of crashes kept unless set otherwise; the oldest is dropped first.
const MAX_CRASHES: usize = 64;
/// Maximum number of candidates in all crashes that are kept; the oldest crash is dropped first.
const MAX_CANDIDATES: usize = 32 << 10;
/// Maximum number of crashes kept for one candidate, the newest ones.
const MAX_CRASHES_OF_CANDIDATE: usize = 32;
/// How long a trial reported by another node counts without being reported again.
const TRIAL_TTL: Duration = Duration::from_secs(60);

/// Returns the id of a crash: of one epoch of a group, or of a host that started at a certain time.
pub fn crash_id(name: &str, epoch_or_start: u64) -> CrashId {
    stable_hash([name, &epoch_or_start.to_string()])
}

value! { copy
    /// How a request is allowed to run.
    pub enum SuspectStatus {
        /// Without restriction.
        Clear,
        /// Only at a group where no other suspect runs.
        Suspect,
        /// Not at all: it is refused as `not-run`.
        Quarantined {
            /// Time until it may be tried again.
            retry_after: Duration,
        },
    }
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    fingerprint: Fingerprint,
    until: Instant,
    local: bool,
}

/// The crashes in which a candidate was running.
#[derive(Clone, Debug, Default)]
struct Appearances {
    /// In the order in which they became known.
    crashes: SmallVec<[CrashId; 2]>,
    /// The largest of its breadths.
    breadth: u8,
}

/// Crashes, suspects and their trials as known to one node.
#[derive(Clone, Debug)]
pub struct SuspectTracker {
    max_crashes: usize,
    crashes: BTreeMap<CrashId, Crash>,
    /// Invariant: only candidates that were in a crash which is kept.
    appearances: BTreeMap<Fingerprint, Appearances>,
    /// Invariant: the candidates with several crashes in `appearances`.
    repeated: BTreeSet<Fingerprint>,
    /// Invariant: the number of candidates in all `crashes`.
    candidate_count: usize,
    /// When a candidate last completed on a group that stayed up; earlier crashes don't count.
    cleared: BTreeMap<Fingerprint, Instant>,
    trials: BTreeMap<GroupId, Trial>,
    /// Candidates that are known to crash what runs them. Crashes with one of them don't count
    /// against others.
    known_causes: BTreeSet<Fingerprint>,
    traffic: PartTraffic,
}

impl Default for SuspectTracker {
    fn default() -> SuspectTracker {
        SuspectTracker::with_capacity(MAX_CRASHES)
    }
}

impl SuspectTracker {
    /// Creates a tracker that keeps up to `max_crashes` crashes.
    pub fn with_capacity(max_crashes: usize) -> SuspectTracker {
        SuspectTracker {
            max_crashes,
            crashes: BTreeMap::new(),
            appearances: BTreeMap::new(),
            repeated: BTreeSet::new(),
            candidate_count: 0,
            cleared: BTreeMap::new(),
            trials: BTreeMap::new(),
            known_causes: BTreeSet::new(),
            traffic: PartTraffic::default(),
        }
    }

    /// Records a request that came to this node.
    pub(crate) fn on_request(&mut self, service: &ServiceName, candidates: &[CrashCandidate]) {
        self.traffic.on_request(service, candidates);
    }

    /// Records a group's crash and the requests that this node had running on it.
    ///
    /// Crashes with no request running count too: they can show that the failure domain
    /// failed.
    pub fn on_crash(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        failure_domain: &FailureDomain,
        running: impl IntoIterator<Item = Fingerprint>,
        now: Instant,
    ) {
        self.trials.remove(group);
        let running = running.into_iter().map(CrashedRun::from);
        self.merge_crash(crash_id(group, epoch), failure_domain, now, running);
        self.prune(now);
    }

    /// Clears a request that completed on a group that stayed up.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.appearances.contains_key(&fingerprint) {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// Returns how the request is allowed to run.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> SuspectStatus {
        let all = self.crashes_of(fingerprint, now);
        let Some(last_crash) = all.iter().map(|c| c.at).max() else {
            return SuspectStatus::Clear;
        };
        let independent = self.without_common_cause(&all);
        if independent.is_empty() && all.len() == 1 {
            return SuspectStatus::Clear;
        }
        let age = now.saturating_duration_since(last_crash);
        let quarantined = self.is_cause(fingerprint, now);
        match quarantined && age < QUARANTINE_TERM {
            true => SuspectStatus::Quarantined {
                retry_after: QUARANTINE_TERM - age,
            },
            false => SuspectStatus::Suspect,
        }
    }

    /// Number of crashes that count against the request.
    pub fn crash_count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        self.crashes_of(fingerprint, now).len()
    }

    /// Whether the crash is kept.
    pub(crate) fn keeps(&self, crash: CrashId) -> bool {
        self.crashes.contains_key(&crash)
    }

    /// Whether the candidate was in several of the crashes that are kept.
    pub(crate) fn is_repeated(&self, candidate: Fingerprint) -> bool {
        self.repeated.contains(&candidate)
    }

    /// The candidates in several crashes that were in one of this candidate's, without itself.
    pub(crate) fn repeated_beside(&self, candidate: Fingerprint) -> Vec<Fingerprint> {
        let ids = self.appearances.get(&candidate).map(|a| &a.crashes);
        let crashes = ids.into_iter().flatten();
        let running = crashes
            .filter_map(|id| self.crashes.get(id))
            .flat_map(|c| c.running.keys());
        let beside = running.filter(|p| **p != candidate && self.repeated.contains(p));
        let distinct: BTreeSet<Fingerprint> = beside.copied().collect();
        distinct.into_iter().collect()
    }

    /// Whether both candidates were in one of the crashes that are kept.
    pub(crate) fn share_crash(&self, one: Fingerprint, other: Fingerprint) -> bool {
        let ids = self.appearances.get(&one).map(|a| &a.crashes);
        let mut crashes = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.crashes.get(id));
        crashes.any(|c| c.running.contains_key(&other))
    }

    /// Starts a suspect's trial at the group; returns false if another suspect runs there.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, group: &GroupId, now: Instant) -> bool {
        if !self.may_begin_trial(group, now) {
            return false;
        }
        let trial = Trial {
            fingerprint,
            until: now + TRIAL_TTL,
            local: true,
        };
        self.trials.insert(group.clone(), trial);
        true
    }

    /// Returns whether a suspect may run at the group now.
    pub fn may_begin_trial(&self, group: &GroupId, now: Instant) -> bool {
        self.trials
            .get(group)
            .is_none_or(|t| !t.local && t.until <= now)
    }

    /// Returns the groups on which a suspect runs; other suspects must avoid them.
    pub fn groups_on_trial(&self, now: Instant) -> impl Iterator<Item = &GroupId> {
        let running = move |t: &Trial| t.local || now < t.until;
        self.trials
            .iter()
            .filter(move |(_, t)| running(t))
            .map(|(group, _)| group)
    }

    /// Ends a suspect's trial at the group, whatever its outcome.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, group: &GroupId) {
        if self
            .trials
            .get(group)
            .is_some_and(|t| t.fingerprint == fingerprint)
        {
            self.trials.remove(group);
        }
    }

    fn merge_crash(
        &mut self,
        id: CrashId,
        failure_domain: &FailureDomain,
        at: Instant,
        running: impl IntoIterator<Item = CrashedRun>,
    ) {
        let crash = self
            .crashes
            .entry(id)
            .or_insert_with(|| Crash::new(failure_domain.clone(), at));
        for run in running {
            if run.has_survived() {
                let cleared = self.cleared.entry(run.fingerprint).or_insert(at);
                *cleared = (*cleared).max(at);
            }
            let found = Run::new(&run, at);
            if let Some(known) = crash.running.get_mut(&run.fingerprint) {
                known.merge(&found);
                continue;
            }
            crash.running.insert(run.fingerprint, found);
            self.candidate_count += 1;
            let appearances = self.appearances.entry(run.fingerprint).or_default();
            appearances.breadth = appearances.breadth.max(run.breadth);
            if appearances.crashes.len() >= MAX_CRASHES_OF_CANDIDATE {
                appearances.crashes.remove(0);
            }
            appearances.crashes.push(id);
            if appearances.crashes.len() > 1 {
                self.repeated.insert(run.fingerprint);
            }
        }
    }

    fn prune(&mut self, now: Instant) {
        self.trials.retain(|_, t| t.local || now < t.until);
        let expired = |c: &Crash| now.saturating_duration_since(c.at) >= CRASH_TTL;
        let is_over = |s: &SuspectTracker| {
            s.crashes.len() > s.max_crashes || s.candidate_count > MAX_CANDIDATES
        };
        if !is_over(self) && !self.crashes.values().any(expired) {
            let appearances = &self.appearances;
            self.cleared.retain(|p, _| appearances.contains_key(p));
            return;
        }
        self.crashes.retain(|_, c| !expired(c));
        self.count_candidates();
        while is_over(self) {
            let oldest = self.crashes.iter().min_by_key(|(id, c)| (c.at, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            if let Some(dropped) = self.crashes.remove(&id) {
                self.candidate_count -= dropped.running.len();
            }
        }
        let crashes = &self.crashes;
        self.appearances.retain(|_, a| {
            a.crashes.retain(|id| crashes.contains_key(id));
            !a.crashes.is_empty()
        });
        let appearances = &self.appearances;
        self.repeated
            .retain(|p| appearances.get(p).is_some_and(|a| a.crashes.len() > 1));
        self.cleared.retain(|p, _| appearances.contains_key(p));
    }

    fn count_candidates(&mut self) {
        self.candidate_count = self.crashes.values().map(|c| c.running.len()).sum();
    }
}
