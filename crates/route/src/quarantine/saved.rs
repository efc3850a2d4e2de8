//! Decisions in a form that outlives all nodes.

use std::time::{Duration, Instant};

use eelgrassmill_base::{ServiceName, value};

use crate::quarantine::table::{QuarantineRecord, QuarantineTable};
use crate::suspects::Fingerprint;

/// Maximum number of decisions that are saved, the newest ones.
const MAX_SAVED: usize = 64;
/// Times of the same decision at two nodes differ by less.
const TIME_ERROR: Duration = Duration::from_secs(2);

value! {
    /// A decision with its times on a clock that all nodes share.
    pub struct SavedDecision {
        /// The request, or the part of prompts.
        pub fingerprint: Fingerprint,
        /// The service whose hosts it crashed.
        pub service: ServiceName,
        /// How often it was quarantined since it last completed; at least 1.
        pub offences: u32,
        /// When it was decided.
        pub decided_at: Duration,
        /// When it may be retried.
        pub retry_at: Duration,
    }
}

impl SavedDecision {
    /// The decision as other nodes would send it; `clock` is the time of the shared clock now.
    pub fn to_record(&self, clock: Duration) -> QuarantineRecord {
        QuarantineRecord {
            fingerprint: self.fingerprint,
            service: self.service.clone(),
            offences: self.offences,
            age: clock.saturating_sub(self.decided_at),
            retry_after: self.retry_at.saturating_sub(clock),
        }
    }

    fn is_same(&self, other: &SavedDecision) -> bool {
        self.fingerprint == other.fingerprint
            && self.offences == other.offences
            && self.retry_at.abs_diff(other.retry_at) < TIME_ERROR
    }
}

impl QuarantineTable {
    /// Whether a restored decision, or a later one on the same candidate, is known.
    pub fn knows(&self, record: &QuarantineRecord, now: Instant) -> bool {
        let known = self
            .export(now)
            .find(|k| k.fingerprint == record.fingerprint);
        known.is_some_and(|known| known.age <= record.age + TIME_ERROR)
    }

    /// The decisions to save, in the order of fingerprints; `clock` is the time of the shared clock
    /// now.
    pub fn to_saved(&self, now: Instant, clock: Duration) -> Vec<SavedDecision> {
        let records = self.export(now).filter(|record| record.offences > 0);
        let mut newest: Vec<QuarantineRecord> = records.collect();
        newest.sort_by_key(|record| (record.age, record.fingerprint));
        newest.truncate(MAX_SAVED);
        newest.sort_by_key(|record| record.fingerprint);
        let saved = newest.into_iter().map(|record| SavedDecision {
            fingerprint: record.fingerprint,
            service: record.service,
            offences: record.offences,
            decided_at: clock.saturating_sub(record.age),
            retry_at: clock + record.retry_after,
        });
        saved.collect()
    }
}

/// Whether both lists have the same decisions, apart from small differences of times.
pub fn are_same_decisions(one: &[SavedDecision], other: &[SavedDecision]) -> bool {
    one.len() == other.len() && one.iter().zip(other).all(|(a, b)| a.is_same(b))
}
