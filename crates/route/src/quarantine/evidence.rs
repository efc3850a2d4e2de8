//! Evidence on crashes in a form that outlives all nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, ServiceName, value};

use crate::quarantine::QuarantineCoordinator;
use crate::quarantine::table::{QuarantineStatus, QuarantineTable};
use crate::suspects::{
    CRASH_TTL, ClearedRecord, CrashId, CrashRecord, CrashedRun, Fingerprint, SuspectUpdate,
};

/// Maximum number of crashes that are saved, the newest ones.
const MAX_CRASHES: usize = 16;
/// Maximum number of candidates that are saved: those that were in most of these crashes.
const MAX_CANDIDATES: usize = 20;

value! {
    /// A crash with its time on a clock that all nodes share.
    pub struct SavedCrash {
        /// Identifies the crash at every node.
        pub id: CrashId,
        /// The service whose host crashed.
        pub service: ServiceName,
        /// The host's failure domain.
        pub failure_domain: FailureDomain,
        /// When it crashed.
        pub at: Duration,
        /// What was running there, of the candidates that were in several crashes.
        pub running: Vec<CrashedRun>,
    }

    /// What a coordinator that starts anew has to know of earlier crashes.
    #[derive(Default)]
    pub struct SavedEvidence {
        /// The newest crashes, in the order of their ids.
        pub crashes: Vec<SavedCrash>,
        /// Candidates that have completed, and when last, in the order of fingerprints.
        pub completed: Vec<(Fingerprint, Duration)>,
    }
}

impl SavedEvidence {
    /// Whether both have the same crashes and candidates.
    pub fn is_same(&self, other: &SavedEvidence) -> bool {
        let crashes = |e: &SavedEvidence| -> Vec<(CrashId, usize)> {
            e.crashes.iter().map(|c| (c.id, c.running.len())).collect()
        };
        crashes(self) == crashes(other)
    }
}

impl QuarantineCoordinator {
    /// The evidence to save; empty while no candidate was in several crashes. `clock` is the time of
    /// the shared clock now.
    pub fn to_saved(&self, now: Instant, clock: Duration) -> SavedEvidence {
        let SuspectUpdate {
            mut crashes,
            cleared,
            ..
        } = self.tracker.export(now);
        crashes.retain(|c| c.age < CRASH_TTL && self.services.contains_key(&c.id));
        crashes.sort_by_key(|c| (c.age, c.id));
        crashes.truncate(MAX_CRASHES);
        let candidates = repeated(&crashes);
        let saved = crashes.into_iter().filter_map(|crash| {
            let mut running = crash.running;
            running.retain(|run| candidates.contains(&run.fingerprint));
            let service = self.services.get(&crash.id)?.clone();
            (!running.is_empty()).then(|| SavedCrash {
                id: crash.id,
                service,
                failure_domain: crash.failure_domain,
                at: clock.saturating_sub(crash.age),
                running,
            })
        });
        let mut saved: Vec<SavedCrash> = saved.collect();
        saved.sort_by_key(|crash| crash.id);
        let completed = cleared
            .into_iter()
            .filter(|c| candidates.contains(&c.fingerprint))
            .map(|c| (c.fingerprint, clock.saturating_sub(c.age)));
        SavedEvidence {
            crashes: saved,
            completed: completed.collect(),
        }
    }

    /// Adds saved evidence. What it shows together with newer crashes is decided on like after a
    /// crash. `clock` is the time of the shared clock now.
    pub fn restore(
        &mut self,
        saved: &SavedEvidence,
        clock: Duration,
        table: &QuarantineTable,
        now: Instant,
    ) {
        let age = |at: Duration| clock.saturating_sub(at);
        let unknown = |c: &&SavedCrash| !self.services.contains_key(&c.id) && age(c.at) < CRASH_TTL;
        let new: Vec<&SavedCrash> = saved.crashes.iter().filter(unknown).collect();
        if new.is_empty() {
            return;
        }
        let crashes = new.iter().map(|crash| CrashRecord {
            id: crash.id,
            failure_domain: crash.failure_domain.clone(),
            age: age(crash.at),
            running: crash.running.clone(),
        });
        let cleared = saved
            .completed
            .iter()
            .map(|(fingerprint, at)| ClearedRecord {
                fingerprint: *fingerprint,
                age: age(*at),
            });
        let update = SuspectUpdate {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
            ..SuspectUpdate::default()
        };
        self.tracker.merge(update, now);
        for crash in new {
            self.services.insert(crash.id, crash.service.clone());
            for fingerprint in crash.running.iter().map(|run| run.fingerprint) {
                let is_clear = table.status(fingerprint, now) == QuarantineStatus::Clear;
                if is_clear && self.tracker.is_repeated(fingerprint) {
                    self.decide_at(fingerprint, &crash.service, now);
                }
            }
        }
    }
}

/// The candidates that were in several of the crashes, in most of them first.
fn repeated(crashes: &[CrashRecord]) -> Vec<Fingerprint> {
    let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for run in crashes.iter().flat_map(|c| &c.running) {
        *counts.entry(run.fingerprint).or_default() += 1;
    }
    let mut counts: Vec<(Fingerprint, usize)> =
        counts.into_iter().filter(|(_, n)| *n > 1).collect();
    counts.sort_by_key(|(fingerprint, count)| (Reverse(*count), *fingerprint));
    counts.truncate(MAX_CANDIDATES);
    counts
        .into_iter()
        .map(|(fingerprint, _)| fingerprint)
        .collect()
}
