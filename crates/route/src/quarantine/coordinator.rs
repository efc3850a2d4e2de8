//! Decides which requests are quarantined, from the crashes that nodes report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{ServiceName, value};

use crate::quarantine::table::{QuarantineRecord, QuarantineStatus, QuarantineTable};
use crate::suspects::{
    ClearedRecord, CrashRecord, RequestFingerprint, SuspectStatus, SuspectTracker, SuspectUpdate,
};

/// Maximum number of crashes kept: several times the crashes in which a failing domain of hosts
/// and a number of crashing requests are involved at the same time.
const MAX_CRASHES: usize = 512;
/// Maximum number of requests that one node may report as running in a crash.
pub const MAX_REPORTED_REQUESTS: usize = 256;
/// How long the reports of other nodes on a crash are awaited. Without them, a request that ran
/// beside the crashing one would look like the only one in common with another crash.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// The same for crashes that nodes detect late, and so at different times.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Crashes that count as two offences: the request was recognized late.
const MANY_CRASHES: usize = 6;
/// Time until the next trial, by the number of offences. The first is short for requests that
/// merely ran on hosts that crashed for other reasons.
const RETRY_AFTER: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_secs(2 * 60),
    Duration::from_secs(20 * 60),
    Duration::from_secs(24 * 60 * 60),
];

value! { copy
    /// Why a trial is denied.
    pub struct TrialDenied {
        /// Time until the request may be retried.
        pub retry_after: Duration,
    }
}

/// The coordinator of some services at one node.
#[derive(Clone, Debug)]
pub struct QuarantineCoordinator {
    tracker: SuspectTracker,
    /// Requests to decide on, and when the reports on their last crash are complete.
    pending: BTreeMap<RequestFingerprint, (ServiceName, Instant)>,
    /// Requests on trial, and until when.
    trials: BTreeMap<RequestFingerprint, Instant>,
}

impl Default for QuarantineCoordinator {
    fn default() -> QuarantineCoordinator {
        QuarantineCoordinator {
            tracker: SuspectTracker::with_capacity(MAX_CRASHES),
            pending: BTreeMap::new(),
            trials: BTreeMap::new(),
        }
    }
}

impl QuarantineCoordinator {
    /// Handles a node's report of a crash. Returns decisions on requests that were on trial.
    pub fn on_crash(
        &mut self,
        service: &ServiceName,
        crash: CrashRecord,
        table: &QuarantineTable,
        now: Instant,
    ) -> Vec<QuarantineRecord> {
        self.tracker.set_known_causes(table.fingerprints());
        let running = crash.running.clone();
        let settle_time = crash.age.clamp(SETTLE_TIME, MAX_SETTLE_TIME);
        self.tracker.merge(
            SuspectUpdate {
                crashes: vec![crash],
                ..SuspectUpdate::default()
            },
            now,
        );
        self.trials.retain(|_, until| now < *until);
        let mut decided = Vec::new();
        for fingerprint in running.iter().map(|run| run.fingerprint) {
            if self.trials.remove(&fingerprint).is_some() {
                let offences = table.offences(fingerprint, now) + 1;
                decided.push(quarantine(fingerprint, service, offences));
            } else if table.status(fingerprint, now) == QuarantineStatus::Clear
                && self.tracker.crash_count(fingerprint, now) > 1
            {
                let due = (service.clone(), now + settle_time);
                self.pending.entry(fingerprint).or_insert(due);
            }
        }
        decided
    }

    /// Handles a node's report that a request completed `age` ago on a host that stayed up. Returns
    /// the decision if this clears it.
    pub fn on_completed(
        &mut self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        age: Duration,
        table: &QuarantineTable,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        self.tracker.merge(
            SuspectUpdate {
                cleared: vec![ClearedRecord { fingerprint, age }],
                ..SuspectUpdate::default()
            },
            now,
        );
        self.trials.remove(&fingerprint);
        let is_cleared = !self.is_cause(fingerprint, now);
        (is_cleared && table.offences(fingerprint, now) > 0).then(|| clear(fingerprint, service))
    }

    /// Decides on requests whose crash reports are complete. A new cause releases requests that were
    /// quarantined for its crashes.
    pub fn decide(&mut self, table: &QuarantineTable, now: Instant) -> Vec<QuarantineRecord> {
        self.tracker.set_known_causes(table.fingerprints());
        let due = |due_at: Instant| due_at <= now;
        let ready: Vec<_> = self
            .pending
            .extract_if(.., |_, (_, due_at)| due(*due_at))
            .collect();
        let undecided = ready.into_iter().filter(|(fingerprint, _)| {
            table.status(*fingerprint, now) == QuarantineStatus::Clear
                && self.is_cause(*fingerprint, now)
        });
        let mut decided = Vec::new();
        for (fingerprint, (service, _)) in undecided {
            let is_late = self.tracker.crash_count(fingerprint, now) >= MANY_CRASHES;
            decided.push(quarantine(fingerprint, &service, 1 + u32::from(is_late)));
            let released = table.fingerprints().filter(|p| {
                table.offences(*p, now) == 1 && self.tracker.outweighs(fingerprint, *p, now)
            });
            decided.extend(released.map(|p| clear(p, &service)));
        }
        decided
    }

    /// When [`QuarantineCoordinator::decide`] has to be called next.
    pub fn next_decision(&self) -> Option<Instant> {
        self.pending.values().map(|(_, due_at)| *due_at).min()
    }

    /// Permits one attempt of a request whose quarantine is over, which ends within `lease`.
    /// Returns the decision that keeps other nodes from trying it too; `None` if it may run freely.
    ///
    /// # Errors
    /// When it is quarantined or on trial.
    pub fn request_trial(
        &mut self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        lease: Duration,
        table: &QuarantineTable,
        now: Instant,
    ) -> Result<Option<QuarantineRecord>, TrialDenied> {
        match table.status(fingerprint, now) {
            QuarantineStatus::Clear => Ok(None),
            QuarantineStatus::Quarantined { retry_after } => Err(TrialDenied { retry_after }),
            QuarantineStatus::TrialDue => {
                self.trials.insert(fingerprint, now + lease);
                Ok(Some(QuarantineRecord {
                    fingerprint,
                    service: service.clone(),
                    offences: table.offences(fingerprint, now),
                    age: Duration::ZERO,
                    retry_after: lease,
                }))
            }
        }
    }

    fn is_cause(&self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        matches!(
            self.tracker.status(fingerprint, now),
            SuspectStatus::Quarantined { .. }
        )
    }
}

fn clear(fingerprint: RequestFingerprint, service: &ServiceName) -> QuarantineRecord {
    QuarantineRecord {
        fingerprint,
        service: service.clone(),
        offences: 0,
        age: Duration::ZERO,
        retry_after: Duration::ZERO,
    }
}

fn quarantine(
    fingerprint: RequestFingerprint,
    service: &ServiceName,
    offences: u32,
) -> QuarantineRecord {
    let index = (offences.max(1) as usize - 1).min(RETRY_AFTER.len() - 1);
    QuarantineRecord {
        fingerprint,
        service: service.clone(),
        offences,
        age: Duration::ZERO,
        retry_after: RETRY_AFTER[index],
    }
}
