//! The request that kills every target that runs it.
//!
//! What ran on a group when it died is suspect and is tried again alone: one
//! suspect per group at a time. A request is named the culprit when two deaths
//! that have no other common cause hold it, one of them without any other
//! request that was in two; or when any three hold it, four if all are in one
//! failure domain. What is known is a set of deaths, merged by union, so that
//! nodes agree whatever order they hear in.

mod record;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, stable_hash, value};
use smallvec::SmallVec;

use crate::suspects::record::Death;
pub use crate::suspects::record::{ClearedRecord, DeathRecord, SuspectNews, TrialRecord};

/// Fingerprint of a request, the same whenever its caller sends it again.
pub type RequestPrint = u64;
/// Names one death of one group, the same at every node that saw it.
pub type DeathId = u64;

/// A culprit is refused for this long after the last death it was in. Then it is
/// tried again alone: a request named wrongly must not be refused for good.
pub const CULPRIT_TERM: Duration = Duration::from_secs(20 * 60);
/// A death is forgotten after this time.
pub const DEATH_LIFE: Duration = Duration::from_secs(60 * 60);
/// Groups of one failure domain that die within this time, without a request in
/// common, died of something else.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(5);

/// Deaths kept at most, the oldest dropped first.
const MAX_DEATHS: usize = 64;
/// A trial heard of from another node counts for this long.
const TRIAL_LIFE: Duration = Duration::from_secs(60);

/// Deaths that name a culprit.
const NAMING: usize = 2;
/// Deaths that name one whatever else speaks for it. Two killers at work at once look
/// like a common cause, and without this bound they would go on for good.
const NAMING_ANYWAY: usize = 3;
/// The same when all were in one failure domain, which may be failing: more than the
/// attempts of one request.
const NAMING_IN_ONE_DOMAIN: usize = 4;

/// The fingerprint of a request.
pub fn request_print(tenant: &str, service: &str, body: &str) -> RequestPrint {
    stable_hash([tenant, service, body])
}

/// The id of the death of one epoch of a group.
pub fn death_id(group: &str, epoch: Epoch) -> DeathId {
    stable_hash([group, &epoch.to_string()])
}

value! { copy
    /// How a request may run.
    pub enum Judgement {
        /// As any other.
        Clear,
        /// Only at a group where no other suspect runs.
        Suspect,
        /// Not at all: it is refused, `not-run`, with a clear error.
        Culprit {
            /// When it may be tried again.
            retry_after: Duration,
        },
    }
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    print: RequestPrint,
    until: Instant,
    local: bool,
}

/// What one node knows of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    deaths: BTreeMap<DeathId, Death>,
    /// Invariant: for each request, the deaths that hold it.
    by_print: BTreeMap<RequestPrint, SmallVec<[DeathId; 2]>>,
    /// When a request ran to its end on a group that lived; earlier deaths don't count.
    cleared: BTreeMap<RequestPrint, Instant>,
    trials: BTreeMap<GroupId, Trial>,
}

impl Suspects {
    /// Takes note of a group's death with what this node had running on it.
    ///
    /// Also of a group on which nothing ran: it may tell that its failure domain died.
    pub fn on_death(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        failure_domain: &FailureDomain,
        running: impl IntoIterator<Item = RequestPrint>,
        now: Instant,
    ) {
        self.trials.remove(group);
        self.merge_death(death_id(group, epoch), failure_domain, now, running);
        self.forget(now);
    }

    /// A request ran to its end on a group that lives.
    pub fn on_survived(&mut self, print: RequestPrint, now: Instant) {
        if self.by_print.contains_key(&print) {
            self.cleared.insert(print, now);
        }
    }

    /// How the request may run.
    pub fn judge(&self, print: RequestPrint, now: Instant) -> Judgement {
        let all = self.deaths_of(print, now);
        let Some(last) = all.iter().map(|d| d.at).max() else {
            return Judgement::Clear;
        };
        let own = self.without_common_cause(&all);
        if own.is_empty() && all.len() == 1 {
            return Judgement::Clear;
        }
        let age = now.saturating_duration_since(last);
        let named = all.len() >= naming_anyway(&all) || self.is_named(print, &own, now);
        match named && age < CULPRIT_TERM {
            true => Judgement::Culprit {
                retry_after: CULPRIT_TERM - age,
            },
            false => Judgement::Suspect,
        }
    }

    /// Begins a suspect's run at the group; false when another suspect runs there.
    pub fn begin_trial(&mut self, print: RequestPrint, group: &GroupId, now: Instant) -> bool {
        if !self.may_try(group, now) {
            return false;
        }
        let trial = Trial {
            print,
            until: now + TRIAL_LIFE,
            local: true,
        };
        self.trials.insert(group.clone(), trial);
        true
    }

    /// Whether a suspect may run at the group now.
    pub fn may_try(&self, group: &GroupId, now: Instant) -> bool {
        self.trials
            .get(group)
            .is_none_or(|t| !t.local && t.until <= now)
    }

    /// Groups where a suspect runs: another suspect has to avoid them.
    pub fn on_trial(&self, now: Instant) -> impl Iterator<Item = &GroupId> {
        let runs = move |t: &Trial| t.local || now < t.until;
        self.trials
            .iter()
            .filter(move |(_, t)| runs(t))
            .map(|(group, _)| group)
    }

    /// Ends a suspect's run at the group, however it ended.
    pub fn end_trial(&mut self, print: RequestPrint, group: &GroupId) {
        if self.trials.get(group).is_some_and(|t| t.print == print) {
            self.trials.remove(group);
        }
    }

    /// The deaths that speak against the request.
    fn deaths_of(&self, print: RequestPrint, now: Instant) -> SmallVec<[&Death; 4]> {
        let cleared = self.cleared.get(&print);
        let ids = self.by_print.get(&print).into_iter().flatten();
        ids.filter_map(|id| self.deaths.get(id))
            .filter(|d| now.saturating_duration_since(d.at) < DEATH_LIFE)
            .filter(|d| cleared.is_none_or(|at| d.at > *at))
            .collect()
    }

    fn is_named(&self, print: RequestPrint, deaths: &[&Death], now: Instant) -> bool {
        let other = |p: &&RequestPrint| **p != print;
        let twice = |p: &RequestPrint| self.deaths_of(*p, now).len() >= NAMING;
        let sole = |d: &&Death| !d.running.iter().filter(other).any(twice);
        deaths.len() >= NAMING && deaths.iter().any(sole)
    }

    fn without_common_cause<'a>(&self, deaths: &[&'a Death]) -> SmallVec<[&'a Death; 4]> {
        let all = deaths.iter().copied();
        all.filter(|d| !self.has_common_cause(d)).collect()
    }

    /// A rack or switch that fails takes groups down that have no request in common.
    /// Without this, whatever was retried within the domain would be named.
    fn has_common_cause(&self, death: &Death) -> bool {
        self.deaths.values().any(|other| {
            other.failure_domain == death.failure_domain
                && gap(other.at, death.at) < COMMON_CAUSE_WINDOW
                && other.running.is_disjoint(&death.running)
        })
    }

    fn merge_death(
        &mut self,
        id: DeathId,
        failure_domain: &FailureDomain,
        at: Instant,
        running: impl IntoIterator<Item = RequestPrint>,
    ) {
        let death = self
            .deaths
            .entry(id)
            .or_insert_with(|| Death::new(failure_domain.clone(), at));
        for print in running {
            if death.running.insert(print) {
                self.by_print.entry(print).or_default().push(id);
            }
        }
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= DEATH_LIFE;
        self.deaths.retain(|_, d| !old(d.at));
        while self.deaths.len() > MAX_DEATHS {
            let oldest = self.deaths.iter().min_by_key(|(id, d)| (d.at, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.deaths.remove(&id);
        }
        let deaths = &self.deaths;
        self.by_print.retain(|_, ids| {
            ids.retain(|id| deaths.contains_key(id));
            !ids.is_empty()
        });
        let by_print = &self.by_print;
        self.cleared.retain(|p, _| by_print.contains_key(p));
        self.trials.retain(|_, t| t.local || now < t.until);
    }
}

fn naming_anyway(deaths: &[&Death]) -> usize {
    let domain = |d: &[&Death]| d[0].failure_domain == d[1].failure_domain;
    match deaths.windows(2).all(domain) {
        true => NAMING_IN_ONE_DOMAIN,
        false => NAMING_ANYWAY,
    }
}

fn gap(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b)
        .max(b.saturating_duration_since(a))
}
