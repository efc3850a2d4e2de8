//! What nodes tell each other of suspects.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, GroupId, value};

use crate::suspects::{CrashId, RequestFingerprint, SuspectTracker, TRIAL_TTL, Trial};

#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) at: Instant,
    pub(crate) running: BTreeSet<RequestFingerprint>,
}

impl Crash {
    pub(crate) fn new(failure_domain: FailureDomain, at: Instant) -> Crash {
        Crash {
            failure_domain,
            at,
            running: BTreeSet::new(),
        }
    }
}

value! {
    /// A crash and what ran, as far as the sender knows.
    pub struct CrashRecord {
        /// Which crash.
        pub id: CrashId,
        /// Where the group was.
        pub failure_domain: FailureDomain,
        /// How long ago the sender saw it.
        pub age: Duration,
        /// Fingerprints of what ran there.
        pub running: Vec<RequestFingerprint>,
    }

    /// A request that ran to its end.
    pub struct ClearedRecord {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// How long ago.
        pub age: Duration,
    }

    /// A suspect that runs at a group now.
    pub struct TrialRecord {
        /// The suspect.
        pub fingerprint: RequestFingerprint,
        /// The group.
        pub group: GroupId,
    }

    /// All that a node tells of suspects. Empty at ordinary times.
    #[derive(Default)]
    pub struct SuspectUpdate {
        /// Crashes.
        pub crashes: Vec<CrashRecord>,
        /// Requests cleared since.
        pub cleared: Vec<ClearedRecord>,
        /// The sender's own trials.
        pub trials: Vec<TrialRecord>,
    }
}

impl SuspectTracker {
    /// What this node tells others.
    pub fn export(&self, now: Instant) -> SuspectUpdate {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self.crashes.iter().map(|(id, d)| CrashRecord {
            id: *id,
            failure_domain: d.failure_domain.clone(),
            age: age(d.at),
            running: d.running.iter().copied().collect(),
        });
        let cleared = self.cleared.iter().map(|(fingerprint, at)| ClearedRecord {
            fingerprint: *fingerprint,
            age: age(*at),
        });
        let own = self.trials.iter().filter(|(_, t)| t.local);
        let trials = own.map(|(group, t)| TrialRecord {
            fingerprint: t.fingerprint,
            group: group.clone(),
        });
        SuspectUpdate {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
            trials: trials.collect(),
        }
    }

    /// Takes in what another node tells; doubled and reordered news change nothing.
    pub fn merge(&mut self, news: SuspectUpdate, now: Instant) {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for crash in news.crashes {
            self.merge_crash(
                crash.id,
                &crash.failure_domain,
                at(crash.age),
                crash.running,
            );
        }
        for cleared in news.cleared {
            let known = self
                .cleared
                .entry(cleared.fingerprint)
                .or_insert(at(cleared.age));
            *known = (*known).max(at(cleared.age));
        }
        for trial in news.trials {
            let heard = Trial {
                fingerprint: trial.fingerprint,
                until: now + TRIAL_TTL,
                local: false,
            };
            let own = self.trials.get(&trial.group).is_some_and(|t| t.local);
            if !own {
                self.trials.insert(trial.group, heard);
            }
        }
        self.forget(now);
    }
}
