//! Decisions on crashing requests as known to one node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{ServiceName, value};

use crate::suspects::{CrashCandidate, Fingerprint};

/// Maximum number of requests kept; the one that was decided first is dropped first.
const MAX_REQUESTS: usize = 256;
/// How long a request's offences are remembered after it may be retried.
const OFFENCE_TTL: Duration = Duration::from_secs(60 * 60);
/// How long a cleared request is remembered, so that an older decision that arrives late has no
/// effect.
const CLEARED_TTL: Duration = Duration::from_secs(60);

value! {
    /// A decision on a request, as nodes send it to each other.
    pub struct QuarantineRecord {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The service whose hosts it crashed.
        pub service: ServiceName,
        /// How often it was quarantined since it last completed; 0 if it is cleared.
        pub offences: u32,
        /// Time since the decision.
        pub age: Duration,
        /// Time until it may be retried.
        pub retry_after: Duration,
    }
}

value! { copy
    /// Whether a request may run, the least strict first.
    pub enum QuarantineStatus {
        /// Without restriction.
        Clear,
        /// Only as the trial that the coordinator permits.
        TrialDue,
        /// Not at all.
        Quarantined {
            /// Time until it may be retried.
            retry_after: Duration,
        },
    }
}

#[derive(Clone, Debug)]
struct Entry {
    service: ServiceName,
    offences: u32,
    decided_at: Instant,
    retry_at: Instant,
}

impl Entry {
    fn expires_at(&self) -> Instant {
        if self.offences == 0 {
            self.decided_at + CLEARED_TTL
        } else {
            self.retry_at + OFFENCE_TTL
        }
    }
}

/// Quarantined and recently cleared requests.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    requests: BTreeMap<Fingerprint, Entry>,
    /// Number of decisions that were merged.
    revision: u64,
}

impl QuarantineTable {
    /// Whether no request is quarantined or recently cleared.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Changes with each decision; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.requests.values().filter(|e| e.offences > 0).count()
    }

    /// Fingerprints of the quarantined requests.
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let quarantined = self.requests.iter().filter(|(_, e)| e.offences > 0);
        quarantined.map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns whether the request may run.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let entry = self.requests.get(&fingerprint);
        let Some(entry) = entry.filter(|e| e.offences > 0 && now < e.expires_at()) else {
            return QuarantineStatus::Clear;
        };
        let retry_after = entry.retry_at.saturating_duration_since(now);
        if retry_after.is_zero() {
            QuarantineStatus::TrialDue
        } else {
            QuarantineStatus::Quarantined { retry_after }
        }
    }

    /// The strictest status of a request and the parts of its prompt.
    pub fn status_of_all(&self, candidates: &[CrashCandidate], now: Instant) -> QuarantineStatus {
        let statuses = candidates.iter().map(|c| self.status(c.fingerprint, now));
        statuses.max().unwrap_or(QuarantineStatus::Clear)
    }

    /// The broadest candidate whose trial is due.
    pub fn trial_due(&self, candidates: &[CrashCandidate], now: Instant) -> Option<Fingerprint> {
        let is_due =
            |c: &&CrashCandidate| self.status(c.fingerprint, now) == QuarantineStatus::TrialDue;
        let broadest = candidates.iter().filter(is_due).max_by_key(|c| c.breadth);
        broadest.map(|c| c.fingerprint)
    }

    /// The service whose hosts the request crashed, if it is known.
    pub fn service(&self, fingerprint: Fingerprint) -> Option<&ServiceName> {
        self.requests.get(&fingerprint).map(|e| &e.service)
    }

    /// How often the request was quarantined since it last completed.
    pub fn offences(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        let entry = self.requests.get(&fingerprint);
        let entry = entry.filter(|e| now < e.expires_at());
        entry.map_or(0, |e| e.offences)
    }

    /// Merges a decision; returns whether it is newer than the known one.
    pub fn merge(&mut self, record: &QuarantineRecord, now: Instant) -> bool {
        let decided_at = now.checked_sub(record.age).unwrap_or(now);
        let known = self.requests.get(&record.fingerprint);
        if known.is_some_and(|e| e.decided_at >= decided_at) {
            return false;
        }
        let entry = Entry {
            service: record.service.clone(),
            offences: record.offences,
            decided_at,
            retry_at: now + record.retry_after,
        };
        self.requests.insert(record.fingerprint, entry);
        self.revision += 1;
        self.prune(now);
        true
    }

    /// All decisions that are still remembered.
    pub fn export(&self, now: Instant) -> impl Iterator<Item = QuarantineRecord> {
        let live = self
            .requests
            .iter()
            .filter(move |(_, e)| now < e.expires_at());
        live.map(move |(fingerprint, e)| QuarantineRecord {
            fingerprint: *fingerprint,
            service: e.service.clone(),
            offences: e.offences,
            age: now.saturating_duration_since(e.decided_at),
            retry_after: e.retry_at.saturating_duration_since(now),
        })
    }

    fn prune(&mut self, now: Instant) {
        self.requests.retain(|_, e| now < e.expires_at());
        while self.requests.len() > MAX_REQUESTS {
            let oldest = self
                .requests
                .iter()
                .min_by_key(|(p, e)| (e.decided_at, **p));
            let Some(fingerprint) = oldest.map(|(p, _)| *p) else {
                break;
            };
            self.requests.remove(&fingerprint);
        }
    }
}
