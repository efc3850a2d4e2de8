//! Exchange of crash records between nodes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, GroupId, value};

use crate::suspects::{CrashId, RequestFingerprint, SuspectTracker, TRIAL_TTL, Trial};

#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) at: Instant,
    pub(crate) running: BTreeMap<RequestFingerprint, Run>,
}

/// A request's run on a group that crashed. Of several runs of one request, the one that began last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) began: Instant,
    /// Whether any of its runs there had produced output.
    pub(crate) started: bool,
}

impl Crash {
    pub(crate) fn new(failure_domain: FailureDomain, at: Instant) -> Crash {
        Crash {
            failure_domain,
            at,
            running: BTreeMap::new(),
        }
    }

    fn runs(&self) -> impl Iterator<Item = CrashedRun> {
        self.running.iter().map(|(fingerprint, run)| CrashedRun {
            fingerprint: *fingerprint,
            ran_for: self.at.saturating_duration_since(run.began),
            started: run.started,
        })
    }

    pub(crate) fn is_disjoint(&self, other: &Crash) -> bool {
        !self.running.keys().any(|p| other.running.contains_key(p))
    }
}

value! {
    /// A request that was running in a crash.
    pub struct CrashedRun {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Time from the start of its run to the crash; zero if unknown.
        pub ran_for: Duration,
        /// Whether it had produced output there.
        pub started: bool,
    }

    /// A crash and the requests running in it, as known to the sender.
    pub struct CrashRecord {
        /// Identifies the crash at every node.
        pub id: CrashId,
        /// Failure domain of the group.
        pub failure_domain: FailureDomain,
        /// Time since the sender saw it.
        pub age: Duration,
        /// The requests running on the group.
        pub running: Vec<CrashedRun>,
    }

    /// A request that completed after a crash.
    pub struct ClearedRecord {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Time since it completed.
        pub age: Duration,
    }

    /// A suspect running on a group now.
    pub struct TrialRecord {
        /// The suspect.
        pub fingerprint: RequestFingerprint,
        /// The group.
        pub group: GroupId,
    }

    /// The suspect state that a node sends to others; empty unless a group has crashed recently.
    #[derive(Default)]
    pub struct SuspectUpdate {
        /// Crashes.
        pub crashes: Vec<CrashRecord>,
        /// Requests cleared since they were in a crash.
        pub cleared: Vec<ClearedRecord>,
        /// The sender's own trials.
        pub trials: Vec<TrialRecord>,
    }
}

impl From<RequestFingerprint> for CrashedRun {
    /// A run of which nothing else is known.
    fn from(fingerprint: RequestFingerprint) -> CrashedRun {
        CrashedRun {
            fingerprint,
            ran_for: Duration::ZERO,
            started: false,
        }
    }
}

impl SuspectTracker {
    /// Returns the state to send to other nodes.
    pub fn export(&self, now: Instant) -> SuspectUpdate {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.crashes.iter().map(|(id, c)| CrashRecord {
            id: *id,
            failure_domain: c.failure_domain.clone(),
            age: age(c.at),
            running: c.runs().collect(),
        });
        let cleared = self.cleared.iter().map(|(fingerprint, at)| ClearedRecord {
            fingerprint: *fingerprint,
            age: age(*at),
        });
        let local = self.trials.iter().filter(|(_, t)| t.local);
        let trials = local.map(|(group, t)| TrialRecord {
            fingerprint: t.fingerprint,
            group: group.clone(),
        });
        SuspectUpdate {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
            trials: trials.collect(),
        }
    }

    /// Merges another node's update; duplicates and reordering have no effect.
    pub fn merge(&mut self, update: SuspectUpdate, now: Instant) {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for crash in update.crashes {
            self.merge_crash(
                crash.id,
                &crash.failure_domain,
                at(crash.age),
                crash.running,
            );
        }
        for cleared in update.cleared {
            let known = self
                .cleared
                .entry(cleared.fingerprint)
                .or_insert(at(cleared.age));
            *known = (*known).max(at(cleared.age));
        }
        for trial in update.trials {
            let remote = Trial {
                fingerprint: trial.fingerprint,
                until: now + TRIAL_TTL,
                local: false,
            };
            let local = self.trials.get(&trial.group).is_some_and(|t| t.local);
            if !local {
                self.trials.insert(trial.group, remote);
            }
        }
        self.prune(now);
    }
}
