//! Which candidates are the likely causes of crashes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::suspects::record::Crash;
use crate::suspects::{
    COMMON_CAUSE_WINDOW, CRASH_TTL, CrashId, Fingerprint, MAX_TIME_TO_CRASH, SuspectTracker,
};

/// Error of the times that nodes report: their messages' time on the way.
const TIME_ERROR: Duration = Duration::from_millis(25);

/// Crashes without a common cause that quarantine a request.
const MIN_CRASHES: usize = 2;
/// Crashes that quarantine a candidate regardless of other explanations. Two crashing
/// requests at the same time look like a common cause, and without this bound neither
/// would ever be quarantined.
const CRASH_LIMIT: usize = 3;
/// The same if all were in one failure domain, which may itself be failing. Must exceed
/// the attempts of one request.
const ONE_DOMAIN_CRASH_LIMIT: usize = 4;
/// Further crashes that quarantine a candidate although another one was in all of its crashes.
const SHARED_CRASHES: usize = 2;
/// The limit for a part that has completed before.
const PROVEN_PART_CRASH_LIMIT: usize = 6;
/// Crashes since its last completion that quarantine a part that many requests have, unless a few
/// narrower parts were in all but one of them.
const COMMON_PART_CRASH_LIMIT: usize = 12;
/// How many of them must come one after the other.
const COMMON_PART_SUCCESSIVE_CRASHES: usize = 3;
/// One in this many of its crashes must be without those few narrower parts if it has completed
/// before: most sound parts beside it have completed as well, and explain none.
const PROVEN_COMMON_PART_DIVISOR: usize = 3;
/// Maximum number of narrower parts that explain the crashes of a common one between them.
const MAX_EXPLAINING_PARTS: usize = 2;

impl SuspectTracker {
    /// Updates which crashes the known causes explain.
    pub(crate) fn update_causes(&mut self, known: impl IntoIterator<Item = Fingerprint>) {
        self.known_causes = known.into_iter().collect();
        for crash in self.crashes.values_mut() {
            crash.known_causes.clear();
        }
        for cause in &self.known_causes {
            let ids = self.appearances.get(cause).map(|a| &a.crashes);
            for id in ids.into_iter().flatten() {
                if let Some(crash) = self.crashes.get_mut(id) {
                    crash.known_causes.push(*cause);
                }
            }
        }
    }

    /// Whether the candidate is the likely cause of its crashes.
    pub(crate) fn is_cause(&self, candidate: Fingerprint, now: Instant) -> bool {
        if self.is_common_part(candidate) {
            return self.is_cause_as_common_part(candidate, now);
        }
        let crashes = self.crashes_of(candidate, now);
        if crashes.is_empty() {
            return false;
        }
        if self.breadth(candidate) > 0 {
            return self.is_cause_as_part(candidate, &crashes, now);
        }
        let independent = self.without_common_cause(&crashes);
        self.is_over_limit(candidate, &crashes, now)
            || self.is_only_cause(candidate, &independent, now)
    }

    /// 0 for a request; a broader part has a larger one.
    pub(crate) fn breadth(&self, candidate: Fingerprint) -> u8 {
        self.appearances.get(&candidate).map_or(0, |a| a.breadth)
    }

    /// Whether a request with this candidate has completed, as far as the crashes that are kept go.
    pub(crate) fn has_completed(&self, candidate: Fingerprint) -> bool {
        self.last_completion(candidate).is_some()
    }

    /// When a request with this candidate last completed, as far as is known.
    pub(crate) fn last_completion(&self, candidate: Fingerprint) -> Option<Instant> {
        self.cleared.get(&candidate).copied()
    }

    /// Whether a part needs more evidence than others.
    pub(crate) fn is_proven_part(&self, part: Fingerprint) -> bool {
        self.has_completed(part) || self.is_common_part(part)
    }

    /// Returns the crashes that count against the candidate, in the order of time.
    pub(crate) fn crashes_of(&self, candidate: Fingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let unexplained = self.unexplained_crashes(candidate, now);
        successive(candidate, unexplained)
    }

    /// Returns the crashes in which the candidate was running, in the order of time.
    fn crashes_with(&self, candidate: Fingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let ids = self.appearances.get(&candidate).map(|a| &a.crashes);
        let mut crashes: SmallVec<[&Crash; 4]> = ids
            .into_iter()
            .flatten()
            .filter_map(|id: &CrashId| self.crashes.get(id))
            .filter(|c| now.saturating_duration_since(c.at) < CRASH_TTL)
            .filter(|c| self.may_have_caused(candidate, c))
            .collect();
        crashes.sort_by_key(|c| c.at);
        crashes
    }

    /// The same, without those of which another candidate is known to be the cause.
    fn unexplained_crashes(&self, candidate: Fingerprint, now: Instant) -> SmallVec<[&Crash; 4]> {
        let mut crashes = self.crashes_with(candidate, now);
        let mut causes: SmallVec<[Fingerprint; 4]> = SmallVec::new();
        for crash in &crashes {
            let known = crash.known_causes.iter().copied();
            let others = known.filter(|p| *p != candidate && self.may_have_caused(*p, crash));
            causes.extend(others);
        }
        causes.sort_unstable();
        causes.dedup();
        for cause in &causes {
            if self.explains(*cause, candidate, now) {
                crashes.retain(|c| !c.running.contains_key(cause));
            }
        }
        crashes
    }

    /// Whether crashes with a known cause don't count against the candidate.
    ///
    /// A request that was sent again after each crash, or a part of it, may have been quarantined
    /// although a part of others is the cause. It was in no more crashes than that one.
    fn explains(&self, cause: Fingerprint, candidate: Fingerprint, now: Instant) -> bool {
        if self.breadth(candidate) > 0 && !self.is_common_part(candidate) {
            let theirs = self.crashes_with(cause, now).len();
            return theirs > self.crashes_with(candidate, now).len();
        }
        !self.outweighs(candidate, cause, now)
    }

    /// Whether the candidate was running in the crash and has not completed since.
    fn may_have_caused(&self, candidate: Fingerprint, crash: &Crash) -> bool {
        crash.running.contains_key(&candidate) && !self.is_cleared_of(candidate, crash)
    }

    /// Whether a completion shows that the candidate didn't cause the crash. Runs that a host had
    /// processed before a common part began to crash hosts complete after the first crashes.
    fn is_cleared_of(&self, candidate: Fingerprint, crash: &Crash) -> bool {
        let Some(completed_at) = self.cleared.get(&candidate).copied() else {
            return false;
        };
        let is_recent = crash.at + MAX_TIME_TO_CRASH > completed_at;
        crash.at <= completed_at && !(is_recent && self.is_common_part(candidate))
    }

    /// Whether the candidate was running in all crashes in which `other` was, and in more. A common
    /// part doesn't outweigh others, which are in fewer crashes whatever their cause.
    ///
    /// A request that is sent again after each crash gets into several crashes of another one, but
    /// not into all of them.
    pub(crate) fn outweighs(
        &self,
        candidate: Fingerprint,
        other: Fingerprint,
        now: Instant,
    ) -> bool {
        if self.is_common_part(candidate) && self.breadth(other) > 0 {
            return false;
        }
        let theirs = self.crashes_with(other, now);
        let has_all = theirs.iter().all(|c| self.may_have_caused(candidate, c));
        has_all && !theirs.is_empty() && self.crashes_with(candidate, now).len() > theirs.len()
    }

    /// Whether a prompt part is the likely cause. Requests that hold it hold others too.
    fn is_cause_as_part(&self, part: Fingerprint, crashes: &[&Crash], now: Instant) -> bool {
        let limit = if self.has_completed(part) {
            PROVEN_PART_CRASH_LIMIT
        } else if self.traffic.is_common(part).is_none() {
            quarantine_threshold(crashes) + SHARED_CRASHES
        } else {
            quarantine_threshold(crashes)
        };
        if crashes.len() < limit {
            return false;
        }
        // Crashes that overlap tell candidates apart as well.
        let all = self.unexplained_crashes(part, now);
        let is_shared = is_one_request(&all) || self.has_likelier_part(part, &all, now);
        crashes.len() >= limit + SHARED_CRASHES || !is_shared
    }

    /// Whether completions with a common part are to be awaited.
    pub(crate) fn is_suspected_common_part(&self, part: Fingerprint, now: Instant) -> bool {
        self.is_common_part(part) && self.crashes_with(part, now).len() >= COMMON_PART_CRASH_LIMIT
    }

    /// Whether a common part is the likely cause: it is in the crashes of narrower ones as well.
    fn is_cause_as_common_part(&self, part: Fingerprint, now: Instant) -> bool {
        let crashes = self.crashes_with(part, now);
        let least_unexplained = match self.has_completed(part) {
            true => crashes.len().div_ceil(PROVEN_COMMON_PART_DIVISOR),
            false => 2,
        };
        self.is_suspected_common_part(part, now)
            && successive(part, crashes.clone()).len() >= COMMON_PART_SUCCESSIVE_CRASHES
            && self.crashes_without_few(part, crashes) >= least_unexplained
    }

    /// Whether a few narrower parts were in all of the crashes of a common one: each may have caused
    /// some of them.
    pub(crate) fn is_explained_by_few(&self, part: Fingerprint, now: Instant) -> bool {
        if !self.is_common_part(part) {
            return false;
        }
        let crashes = self.crashes_with(part, now);
        !crashes.is_empty() && self.crashes_without_few(part, crashes) == 0
    }

    /// Number of crashes without any of the few narrower parts that were in most of them.
    fn crashes_without_few(&self, part: Fingerprint, mut crashes: SmallVec<[&Crash; 4]>) -> usize {
        for _ in 0..MAX_EXPLAINING_PARTS {
            let Some(likeliest) = self.likeliest_narrower_part(part, &crashes) else {
                break;
            };
            crashes.retain(|c| !self.may_have_caused(likeliest, c));
        }
        crashes.len()
    }

    /// The narrower part that was in most of the crashes.
    fn likeliest_narrower_part(
        &self,
        part: Fingerprint,
        crashes: &[&Crash],
    ) -> Option<Fingerprint> {
        let narrower = 1..self.breadth(part);
        let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        let running = crashes.iter().flat_map(|c| &c.running);
        let may_explain = running
            .filter(|(_, run)| narrower.contains(&run.breadth))
            .map(|(other, _)| *other)
            .filter(|other| self.repeated.contains(other) && !self.is_proven_part(*other));
        for other in may_explain {
            *counts.entry(other).or_default() += 1;
        }
        let likeliest = counts.into_iter().max_by_key(|(_, count)| *count);
        likeliest.map(|(other, _)| other)
    }

    /// Whether another part was in all of the crashes and is likelier the cause: a narrower one, or
    /// one that was in more crashes.
    fn has_likelier_part(&self, part: Fingerprint, crashes: &[&Crash], now: Instant) -> bool {
        let Some((first, rest)) = crashes.split_first() else {
            return false;
        };
        let breadth = self.breadth(part);
        let in_all = |p: &Fingerprint| rest.iter().all(|c| c.running.contains_key(p));
        let others = first.running.iter().filter(|(_, run)| run.breadth > 0);
        let mut others = others
            .map(|(p, _)| *p)
            .filter(|p| *p != part && self.repeated.contains(p) && in_all(p))
            .filter(|p| !self.is_proven_part(*p));
        others.any(|p| {
            let theirs = self.unexplained_crashes(p, now).len();
            theirs > crashes.len() || (theirs == crashes.len() && self.breadth(p) < breadth)
        })
    }

    /// Whether many requests hold the part, so that it is in most crashes whatever their cause. Until
    /// that is known, the first part of a prompt counts as such.
    pub(crate) fn is_common_part(&self, candidate: Fingerprint) -> bool {
        let breadth = self.breadth(candidate);
        let is_common = self.traffic.is_common(candidate);
        breadth > 0 && is_common.unwrap_or_else(|| self.is_broadest(candidate, breadth))
    }

    fn is_broadest(&self, part: Fingerprint, breadth: u8) -> bool {
        let ids = self.appearances.get(&part).map(|a| &a.crashes);
        let mut crashes = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.crashes.get(id));
        crashes.all(|c| c.running.values().all(|run| run.breadth <= breadth))
    }

    /// Whether a request was in enough crashes that no other candidate explains.
    fn is_only_cause(&self, request: Fingerprint, crashes: &[&Crash], now: Instant) -> bool {
        let own = crashes.len();
        let may_be_cause = |p: &Fingerprint| {
            let theirs = match self.repeated.contains(p) {
                true => self.crashes_of(*p, now).len(),
                false => 1,
            };
            // A broader candidate is in as many crashes, whatever their cause.
            let is_likely = theirs >= MIN_CRASHES && (self.breadth(*p) == 0 || theirs > own);
            is_likely && !self.outweighs(request, *p, now)
        };
        let others = |c: &Crash| c.running.keys().any(|p| *p != request && may_be_cause(p));
        own >= MIN_CRASHES && crashes.iter().any(|c| !others(c))
    }

    /// Whether a request was in too many crashes.
    fn is_over_limit(&self, request: Fingerprint, crashes: &[&Crash], now: Instant) -> bool {
        let Some((first, rest)) = crashes.split_first() else {
            return false;
        };
        let limit = quarantine_threshold(crashes);
        let is_in_all = |p: &Fingerprint| rest.iter().all(|c| c.running.contains_key(p));
        let others = first.requests().filter(|p| *p != request);
        let likelihood = self.likelihood(request, now);
        let likelier = others
            .filter(is_in_all)
            .map(|p| self.likelihood(p, now))
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
    fn likelihood(&self, request: Fingerprint, now: Instant) -> (usize, Reverse<usize>) {
        let crashes = self.unexplained_crashes(request, now);
        let has_started = |c: &&&Crash| c.running.get(&request).is_some_and(|run| run.started);
        let started = crashes.iter().filter(has_started);
        (crashes.len(), Reverse(started.count()))
    }

    pub(crate) fn without_common_cause<'a>(
        &self,
        crashes: &[&'a Crash],
    ) -> SmallVec<[&'a Crash; 4]> {
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
                && other.has_no_request_of(crash)
        })
    }
}

/// Keeps the crashes in which a run of the candidate began after the previous one that is kept:
/// hosts that fail at the same time crash under the same requests, and a crashing request crashes
/// the next host only once it is sent there.
fn successive(candidate: Fingerprint, mut crashes: SmallVec<[&Crash; 4]>) -> SmallVec<[&Crash; 4]> {
    let mut last: Option<Instant> = None;
    crashes.retain(|c| {
        let began = c.running.get(&candidate).map_or(c.at, |run| run.began);
        let is_later = |last| began + TIME_ERROR > last && c.at > last + TIME_ERROR;
        let counts = last.is_none_or(is_later);
        if counts {
            last = Some(c.at);
        }
        counts
    });
    crashes
}

/// Whether one request was in all of the crashes, and so may be the cause instead of its parts.
fn is_one_request(crashes: &[&Crash]) -> bool {
    let Some((first, rest)) = crashes.split_first() else {
        return false;
    };
    let mut requests = first.requests();
    requests.any(|p| rest.iter().all(|c| c.running.contains_key(&p)))
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
