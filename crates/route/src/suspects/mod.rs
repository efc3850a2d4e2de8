//! The request that kills every target that runs it.
//!
//! What ran on a group when it died is suspect and is tried again alone: one
//! suspect per group at a time. A request is named the culprit when two crashes
//! that have no other common cause hold it, one of them without any other
//! request that was in two; or when any three hold it, four if all are in one
//! failure domain. What is known is a set of crashes, merged by union, so that
//! nodes agree whatever order they hear in.

mod record;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, stable_hash, value};
use smallvec::SmallVec;

use crate::suspects::record::Crash;
pub use crate::suspects::record::{ClearedRecord, CrashRecord, SuspectUpdate, TrialRecord};

/// Fingerprint of a request, the same whenever its caller sends it again.
pub type RequestFingerprint = u64;
/// Names one crash of one group, the same at every node that saw it.
pub type CrashId = u64;

/// A culprit is refused for this long after the last crash it was in. Then it is
/// tried again alone: a request named wrongly must not be refused for good.
pub const QUARANTINE_TERM: Duration = Duration::from_secs(20 * 60);
/// A crash is forgotten after this time.
pub const CRASH_TTL: Duration = Duration::from_secs(60 * 60);
/// Groups of one failure domain that die within this time, without a request in
/// common, died of something else.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(5);

/// Crashes kept at most, the oldest dropped first.
const MAX_CRASHES: usize = 64;
/// A trial heard of from another node counts for this long.
const TRIAL_TTL: Duration = Duration::from_secs(60);

/// Crashes that name a culprit.
const CORRELATED_CRASHES: usize = 2;
/// Crashes that name one whatever else speaks for it. Two killers at work at once look
/// like a common cause, and without this bound they would go on for good.
const QUARANTINE_CRASHES: usize = 3;
/// The same when all were in one failure domain, which may be failing: more than the
/// attempts of one request.
const QUARANTINE_CRASHES_ONE_DOMAIN: usize = 4;

/// The fingerprint of a request.
pub fn request_fingerprint(tenant: &str, service: &str, body: &str) -> RequestFingerprint {
    stable_hash([tenant, service, body])
}

/// The id of the crash of one epoch of a group.
pub fn crash_id(group: &str, epoch: Epoch) -> CrashId {
    stable_hash([group, &epoch.to_string()])
}

value! { copy
    /// How a request may run.
    pub enum SuspectStatus {
        /// As any other.
        Clear,
        /// Only at a group where no other suspect runs.
        Suspect,
        /// Not at all: it is refused, `not-run`, with a clear error.
        Quarantined {
            /// When it may be tried again.
            retry_after: Duration,
        },
    }
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    fingerprint: RequestFingerprint,
    until: Instant,
    local: bool,
}

/// What one node knows of suspects.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    crashes: BTreeMap<CrashId, Crash>,
    /// Invariant: for each request, the crashes that hold it.
    by_fingerprint: BTreeMap<RequestFingerprint, SmallVec<[CrashId; 2]>>,
    /// When a request ran to its end on a group that lived; earlier crashes don't count.
    cleared: BTreeMap<RequestFingerprint, Instant>,
    trials: BTreeMap<GroupId, Trial>,
}

impl SuspectTracker {
    /// Takes note of a group's crash with what this node had running on it.
    ///
    /// Also of a group on which nothing ran: it may tell that its failure domain died.
    pub fn on_crash(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        failure_domain: &FailureDomain,
        running: impl IntoIterator<Item = RequestFingerprint>,
        now: Instant,
    ) {
        self.trials.remove(group);
        self.merge_crash(crash_id(group, epoch), failure_domain, now, running);
        self.forget(now);
    }

    /// A request ran to its end on a group that lives.
    pub fn on_completed(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.by_fingerprint.contains_key(&fingerprint) {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// How the request may run.
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> SuspectStatus {
        let all = self.crashes_of(fingerprint, now);
        let Some(last) = all.iter().map(|d| d.at).max() else {
            return SuspectStatus::Clear;
        };
        let own = self.without_common_cause(&all);
        if own.is_empty() && all.len() == 1 {
            return SuspectStatus::Clear;
        }
        let age = now.saturating_duration_since(last);
        let named =
            all.len() >= quarantine_threshold(&all) || self.is_culprit(fingerprint, &own, now);
        match named && age < QUARANTINE_TERM {
            true => SuspectStatus::Quarantined {
                retry_after: QUARANTINE_TERM - age,
            },
            false => SuspectStatus::Suspect,
        }
    }

    /// Begins a suspect's run at the group; false when another suspect runs there.
    pub fn begin_trial(
        &mut self,
        fingerprint: RequestFingerprint,
        group: &GroupId,
        now: Instant,
    ) -> bool {
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

    /// Whether a suspect may run at the group now.
    pub fn may_begin_trial(&self, group: &GroupId, now: Instant) -> bool {
        self.trials
            .get(group)
            .is_none_or(|t| !t.local && t.until <= now)
    }

    /// Groups where a suspect runs: another suspect has to avoid them.
    pub fn groups_on_trial(&self, now: Instant) -> impl Iterator<Item = &GroupId> {
        let runs = move |t: &Trial| t.local || now < t.until;
        self.trials
            .iter()
            .filter(move |(_, t)| runs(t))
            .map(|(group, _)| group)
    }

    /// Ends a suspect's run at the group, however it ended.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint, group: &GroupId) {
        if self
            .trials
            .get(group)
            .is_some_and(|t| t.fingerprint == fingerprint)
        {
            self.trials.remove(group);
        }
    }

    /// The crashes that speak against the request.
    fn crashes_of(&self, fingerprint: RequestFingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let cleared = self.cleared.get(&fingerprint);
        let ids = self.by_fingerprint.get(&fingerprint).into_iter().flatten();
        ids.filter_map(|id| self.crashes.get(id))
            .filter(|d| now.saturating_duration_since(d.at) < CRASH_TTL)
            .filter(|d| cleared.is_none_or(|at| d.at > *at))
            .collect()
    }

    fn is_culprit(
        &self,
        fingerprint: RequestFingerprint,
        crashes: &[&Crash],
        now: Instant,
    ) -> bool {
        let other = |p: &&RequestFingerprint| **p != fingerprint;
        let twice = |p: &RequestFingerprint| self.crashes_of(*p, now).len() >= CORRELATED_CRASHES;
        let sole = |d: &&Crash| !d.running.iter().filter(other).any(twice);
        crashes.len() >= CORRELATED_CRASHES && crashes.iter().any(sole)
    }

    fn without_common_cause<'a>(&self, crashes: &[&'a Crash]) -> SmallVec<[&'a Crash; 4]> {
        let all = crashes.iter().copied();
        all.filter(|d| !self.has_common_cause(d)).collect()
    }

    /// A rack or switch that fails takes groups down that have no request in common.
    /// Without this, whatever was retried within the domain would be named.
    fn has_common_cause(&self, crash: &Crash) -> bool {
        self.crashes.values().any(|other| {
            other.failure_domain == crash.failure_domain
                && gap(other.at, crash.at) < COMMON_CAUSE_WINDOW
                && other.running.is_disjoint(&crash.running)
        })
    }

    fn merge_crash(
        &mut self,
        id: CrashId,
        failure_domain: &FailureDomain,
        at: Instant,
        running: impl IntoIterator<Item = RequestFingerprint>,
    ) {
        let crash = self
            .crashes
            .entry(id)
            .or_insert_with(|| Crash::new(failure_domain.clone(), at));
        for fingerprint in running {
            if crash.running.insert(fingerprint) {
                self.by_fingerprint.entry(fingerprint).or_default().push(id);
            }
        }
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        self.crashes.retain(|_, d| !old(d.at));
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(id, d)| (d.at, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.crashes.remove(&id);
        }
        let crashes = &self.crashes;
        self.by_fingerprint.retain(|_, ids| {
            ids.retain(|id| crashes.contains_key(id));
            !ids.is_empty()
        });
        let by_fingerprint = &self.by_fingerprint;
        self.cleared.retain(|p, _| by_fingerprint.contains_key(p));
        self.trials.retain(|_, t| t.local || now < t.until);
    }
}

fn quarantine_threshold(crashes: &[&Crash]) -> usize {
    let domain = |d: &[&Crash]| d[0].failure_domain == d[1].failure_domain;
    match crashes.windows(2).all(domain) {
        true => QUARANTINE_CRASHES_ONE_DOMAIN,
        false => QUARANTINE_CRASHES,
    }
}

fn gap(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b)
        .max(b.saturating_duration_since(a))
}
