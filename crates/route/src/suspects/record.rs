//! Exchange of crash records between nodes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, GroupId, value};
use smallvec::SmallVec;

use crate::suspects::{CrashId, Fingerprint, MAX_TIME_TO_CRASH, SuspectTracker, TRIAL_TTL, Trial};

#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) at: Instant,
    pub(crate) running: BTreeMap<Fingerprint, Run>,
    /// Those that are known to crash what runs them.
    pub(crate) known_causes: SmallVec<[Fingerprint; 2]>,
}

/// A candidate's runs on a group that crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) breadth: u8,
    /// When the last of them began.
    pub(crate) began: Instant,
    /// Whether any of them had produced output.
    pub(crate) started: bool,
}

impl Run {
    pub(crate) fn new(run: &CrashedRun, crashed_at: Instant) -> Run {
        Run {
            breadth: run.breadth,
            began: crashed_at.checked_sub(run.ran_for).unwrap_or(crashed_at),
            started: run.started,
        }
    }

    pub(crate) fn merge(&mut self, other: &Run) {
        self.breadth = self.breadth.max(other.breadth);
        self.began = self.began.max(other.began);
        self.started |= other.started;
    }
}

impl Crash {
    pub(crate) fn new(failure_domain: FailureDomain, at: Instant) -> Crash {
        Crash {
            failure_domain,
            at,
            running: BTreeMap::new(),
            known_causes: SmallVec::new(),
        }
    }

    /// The requests that were running.
    pub(crate) fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        let requests = self.running.iter().filter(|(_, run)| run.breadth == 0);
        requests.map(|(fingerprint, _)| *fingerprint)
    }

    fn runs(&self) -> impl Iterator<Item = CrashedRun> {
        self.running.iter().map(|(fingerprint, run)| CrashedRun {
            fingerprint: *fingerprint,
            breadth: run.breadth,
            ran_for: self.at.saturating_duration_since(run.began),
            started: run.started,
            // What it clears is exported by itself.
            wrote_for: Duration::ZERO,
        })
    }

    /// Whether no request was running in both crashes.
    pub(crate) fn has_no_request_of(&self, other: &Crash) -> bool {
        !self.requests().any(|p| other.running.contains_key(&p))
    }
}

value! {
    /// A request, or a part of prompts, that was running in a crash.
    pub struct CrashedRun {
        /// Identifies it.
        pub fingerprint: Fingerprint,
        /// 0 for a request; see [`CrashCandidate`](crate::CrashCandidate).
        pub breadth: u8,
        /// Time from the start of its last run to the crash; zero if unknown.
        pub ran_for: Duration,
        /// Whether a run had produced output there.
        pub started: bool,
        /// The longest time from the first output of a run to its last one. A part with
        /// [`MAX_TIME_TO_CRASH`] or more counts as completed.
        pub wrote_for: Duration,
    }

    /// A crash and the requests running in it, as known to the sender.
    pub struct CrashRecord {
        /// Identifies the crash at every node.
        pub id: CrashId,
        /// Failure domain of the group.
        pub failure_domain: FailureDomain,
        /// Time since the sender saw it.
        pub age: Duration,
        /// What was running on the group.
        pub running: Vec<CrashedRun>,
    }

    /// A request, or a part of prompts, that completed after a crash.
    pub struct ClearedRecord {
        /// Identifies it.
        pub fingerprint: Fingerprint,
        /// Time since it completed.
        pub age: Duration,
    }

    /// A suspect running on a group now.
    pub struct TrialRecord {
        /// The suspect.
        pub fingerprint: Fingerprint,
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

impl From<Fingerprint> for CrashedRun {
    /// A run of which nothing else is known.
    fn from(fingerprint: Fingerprint) -> CrashedRun {
        CrashedRun {
            fingerprint,
            breadth: 0,
            ran_for: Duration::ZERO,
            started: false,
            wrote_for: Duration::ZERO,
        }
    }
}

impl CrashedRun {
    /// Adds another run of the same candidate in the same crash.
    pub(crate) fn merge(&mut self, other: &CrashedRun) {
        self.breadth = self.breadth.max(other.breadth);
        self.ran_for = self.ran_for.min(other.ran_for);
        self.started |= other.started;
        self.wrote_for = self.wrote_for.max(other.wrote_for);
    }

    /// Whether it had been writing for so long that the crash has another cause.
    pub(crate) fn has_survived(&self) -> bool {
        self.breadth > 0 && self.wrote_for >= MAX_TIME_TO_CRASH
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
