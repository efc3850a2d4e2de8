//! Finds requests that crash every target that runs them.
//!
//! Every request running on a group when it crashes becomes a suspect and is
//! retried in isolation: one suspect per group at a time. A request is quarantined
//! after two crashes without another common cause, if in one of them no other
//! request had been in two crashes; or after any three crashes, four if all were
//! in one failure domain, unless another request was in all of them. The state is
//! a set of crashes merged by union, so nodes converge whatever order updates
//! arrive in.

mod record;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, stable_hash, value};
use smallvec::SmallVec;

pub use crate::suspects::record::{
    ClearedRecord, CrashRecord, CrashedRun, SuspectUpdate, TrialRecord,
};
use crate::suspects::record::{Crash, Run};

/// Fingerprint of a request, the same whenever its caller sends it again.
pub type RequestFingerprint = u64;
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

/// Error of the times that nodes report: their messages' time on the way.
const TIME_ERROR: Duration = Duration::from_millis(25);

/// Maximum number of crashes kept unless set otherwise; the oldest is dropped first.
const MAX_CRASHES: usize = 64;
/// How long a trial reported by another node counts without being reported again.
const TRIAL_TTL: Duration = Duration::from_secs(60);

/// Crashes without a common cause that quarantine a request.
const MIN_CRASHES: usize = 2;
/// Crashes that quarantine a request regardless of other explanations. Two crashing
/// requests at the same time look like a common cause, and without this bound neither
/// would ever be quarantined.
const CRASH_LIMIT: usize = 3;
/// The same if all were in one failure domain, which may itself be failing. Must exceed
/// the attempts of one request.
const ONE_DOMAIN_CRASH_LIMIT: usize = 4;
/// Further crashes that quarantine a request although another one was in all of its crashes.
const SHARED_CRASHES: usize = 2;

/// Hashes a request so that identical requests of a tenant share a fingerprint.
pub fn request_fingerprint(
    tenant: &str,
    service: &str,
    body: impl AsRef<[u8]>,
) -> RequestFingerprint {
    stable_hash([tenant.as_bytes(), service.as_bytes(), body.as_ref()])
}

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
    fingerprint: RequestFingerprint,
    until: Instant,
    local: bool,
}

/// Crashes, suspects and their trials as known to one node.
#[derive(Clone, Debug)]
pub struct SuspectTracker {
    max_crashes: usize,
    crashes: BTreeMap<CrashId, Crash>,
    /// Invariant: for each request, the crashes in which it was running.
    by_fingerprint: BTreeMap<RequestFingerprint, SmallVec<[CrashId; 2]>>,
    /// When a request last completed on a group that stayed up; earlier crashes don't count.
    cleared: BTreeMap<RequestFingerprint, Instant>,
    trials: BTreeMap<GroupId, Trial>,
    /// Requests that are known to crash what runs them. Crashes with one of them don't count
    /// against others.
    known_causes: BTreeSet<RequestFingerprint>,
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
            by_fingerprint: BTreeMap::new(),
            cleared: BTreeMap::new(),
            trials: BTreeMap::new(),
            known_causes: BTreeSet::new(),
        }
    }

    /// Sets the requests that are known to crash what runs them.
    pub fn set_known_causes(&mut self, causes: impl IntoIterator<Item = RequestFingerprint>) {
        self.known_causes = causes.into_iter().collect();
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
        running: impl IntoIterator<Item = RequestFingerprint>,
        now: Instant,
    ) {
        self.trials.remove(group);
        let running = running.into_iter().map(CrashedRun::from);
        self.merge_crash(crash_id(group, epoch), failure_domain, now, running);
        self.prune(now);
    }

    /// Clears a request that completed on a group that stayed up.
    pub fn on_completed(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.by_fingerprint.contains_key(&fingerprint) {
            self.cleared.insert(fingerprint, now);
        }
    }

    /// Returns how the request is allowed to run.
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> SuspectStatus {
        let all = self.crashes_of(fingerprint, now);
        let Some(last_crash) = all.iter().map(|c| c.at).max() else {
            return SuspectStatus::Clear;
        };
        let independent = self.without_common_cause(&all);
        if independent.is_empty() && all.len() == 1 {
            return SuspectStatus::Clear;
        }
        let age = now.saturating_duration_since(last_crash);
        let quarantined = self.is_over_limit(fingerprint, &all, now)
            || self.is_crash_cause(fingerprint, &independent, now);
        match quarantined && age < QUARANTINE_TERM {
            true => SuspectStatus::Quarantined {
                retry_after: QUARANTINE_TERM - age,
            },
            false => SuspectStatus::Suspect,
        }
    }

    /// Number of crashes that count against the request.
    pub fn crash_count(&self, fingerprint: RequestFingerprint, now: Instant) -> usize {
        self.crashes_of(fingerprint, now).len()
    }

    /// Starts a suspect's trial at the group; returns false if another suspect runs there.
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
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint, group: &GroupId) {
        if self
            .trials
            .get(group)
            .is_some_and(|t| t.fingerprint == fingerprint)
        {
            self.trials.remove(group);
        }
    }

    /// Returns the crashes that count against the request, in the order of time.
    ///
    /// A crash counts if the request began to run there after the last one that counts: hosts that
    /// fail at the same time crash under the same requests, and a crashing request crashes the next
    /// host only once it is sent there.
    fn crashes_of(&self, fingerprint: RequestFingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let mut crashes = self.unexplained_crashes(fingerprint, now);
        let mut last: Option<Instant> = None;
        crashes.retain(|c| {
            let began = c.running.get(&fingerprint).map_or(c.at, |run| run.began);
            let is_later = |last| began + TIME_ERROR > last && c.at > last + TIME_ERROR;
            let counts = last.is_none_or(is_later);
            if counts {
                last = Some(c.at);
            }
            counts
        });
        crashes
    }

    /// Returns the crashes in which the request was running, in the order of time.
    fn crashes_with(&self, fingerprint: RequestFingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let ids = self.by_fingerprint.get(&fingerprint).into_iter().flatten();
        let mut crashes: SmallVec<[&Crash; 4]> = ids
            .filter_map(|id| self.crashes.get(id))
            .filter(|c| now.saturating_duration_since(c.at) < CRASH_TTL)
            .filter(|c| self.was_running(fingerprint, c))
            .collect();
        crashes.sort_by_key(|c| c.at);
        crashes
    }

    /// The same, without those of which another request is known to be the cause.
    fn unexplained_crashes(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> SmallVec<[&Crash; 4]> {
        let mut crashes = self.crashes_with(fingerprint, now);
        let others = self.known_causes.iter().filter(|p| **p != fingerprint);
        for cause in others {
            let explains = crashes.iter().any(|c| self.was_running(*cause, c));
            if explains && !self.outweighs(fingerprint, *cause, now) {
                crashes.retain(|c| !c.running.contains_key(cause));
            }
        }
        crashes
    }

    /// Whether the request was running in the crash and has not completed since.
    fn was_running(&self, fingerprint: RequestFingerprint, crash: &Crash) -> bool {
        let cleared = self.cleared.get(&fingerprint);
        crash.running.contains_key(&fingerprint) && cleared.is_none_or(|at| crash.at > *at)
    }

    /// Whether the request was running in all crashes in which `other` was, and in more.
    ///
    /// A request that is sent again after each crash gets into several crashes of another one, but
    /// not into all of them.
    pub(crate) fn outweighs(
        &self,
        fingerprint: RequestFingerprint,
        other: RequestFingerprint,
        now: Instant,
    ) -> bool {
        let theirs = self.crashes_with(other, now);
        let has_all = theirs.iter().all(|c| self.was_running(fingerprint, c));
        has_all && !theirs.is_empty() && self.crashes_with(fingerprint, now).len() > theirs.len()
    }

    fn is_crash_cause(
        &self,
        fingerprint: RequestFingerprint,
        crashes: &[&Crash],
        now: Instant,
    ) -> bool {
        let other = |p: &&RequestFingerprint| **p != fingerprint;
        let may_be_cause = |p: &RequestFingerprint| {
            self.crashes_of(*p, now).len() >= MIN_CRASHES && !self.outweighs(fingerprint, *p, now)
        };
        let no_other_cause = |c: &&Crash| !c.running.keys().filter(other).any(may_be_cause);
        crashes.len() >= MIN_CRASHES && crashes.iter().any(no_other_cause)
    }

    /// Whether the request was in too many crashes.
    fn is_over_limit(
        &self,
        fingerprint: RequestFingerprint,
        crashes: &[&Crash],
        now: Instant,
    ) -> bool {
        let Some((first, rest)) = crashes.split_first() else {
            return false;
        };
        let limit = quarantine_threshold(crashes);
        let is_in_all = |p: &RequestFingerprint| rest.iter().all(|c| c.running.contains_key(p));
        let others = first.running.keys().filter(|p| **p != fingerprint);
        let likelihood = self.likelihood(fingerprint, now);
        let likelier = others
            .filter(|p| is_in_all(p))
            .map(|p| self.likelihood(*p, now))
            .filter(|other| *other >= likelihood)
            .max();
        match likelier {
            None => crashes.len() >= limit,
            Some(other) => other == likelihood && crashes.len() >= limit + SHARED_CRASHES,
        }
    }

    /// Orders requests that were in the same crashes by how likely each is the cause.
    ///
    /// Requests that are retried beside a crashing one get into several crashes too, but not into
    /// all of them. A crashing one rarely produces output first.
    fn likelihood(&self, fingerprint: RequestFingerprint, now: Instant) -> (usize, Reverse<usize>) {
        let crashes = self.unexplained_crashes(fingerprint, now);
        let has_started = |c: &&&Crash| c.running.get(&fingerprint).is_some_and(|run| run.started);
        let started = crashes.iter().filter(has_started);
        (crashes.len(), Reverse(started.count()))
    }

    fn without_common_cause<'a>(&self, crashes: &[&'a Crash]) -> SmallVec<[&'a Crash; 4]> {
        let all = crashes.iter().copied();
        all.filter(|c| !self.has_common_cause(c)).collect()
    }

    /// Returns whether the failure domain is the likelier cause of the crash.
    ///
    /// A failing rack or switch takes down groups that have no request in common.
    /// Without this check, any request retried within the domain would be quarantined.
    fn has_common_cause(&self, crash: &Crash) -> bool {
        self.crashes.values().any(|other| {
            other.failure_domain == crash.failure_domain
                && abs_diff(other.at, crash.at) < COMMON_CAUSE_WINDOW
                && other.is_disjoint(crash)
        })
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
            let began = at.checked_sub(run.ran_for).unwrap_or(at);
            let known = crash.running.entry(run.fingerprint).or_insert_with(|| {
                let crashes = self.by_fingerprint.entry(run.fingerprint).or_default();
                crashes.push(id);
                Run {
                    began,
                    started: run.started,
                }
            });
            known.began = known.began.max(began);
            known.started |= run.started;
        }
    }

    fn prune(&mut self, now: Instant) {
        let expired = |at: Instant| now.saturating_duration_since(at) >= CRASH_TTL;
        self.crashes.retain(|_, c| !expired(c.at));
        while self.crashes.len() > self.max_crashes {
            let oldest = self.crashes.iter().min_by_key(|(id, c)| (c.at, **id));
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
    let same_domain = |c: &[&Crash]| c[0].failure_domain == c[1].failure_domain;
    match crashes.windows(2).all(same_domain) {
        true => ONE_DOMAIN_CRASH_LIMIT,
        false => CRASH_LIMIT,
    }
}

fn abs_diff(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b)
        .max(b.saturating_duration_since(a))
}
