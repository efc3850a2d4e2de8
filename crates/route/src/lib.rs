//! Request routing policy: admission, fair queueing, quotas, load balancing, retries and addresses.
//!
//! The crate does no I/O and reads no clock: it takes events with the current
//! instant and returns actions. Callers own the clocks, locks and sockets.

mod addresses;
mod pick;
mod quarantine;
mod queue;
mod quota;
mod retry;
mod suspects;

pub use crate::addresses::{AddressList, EntryView, LoadLevel, choose_addresses};
pub use crate::pick::{
    CacheEvent, Candidate, GroupPicker, INTER_TOKEN_LATENCY_SLO, LatencySample, Pick, PrefixHash,
    PrefixHashes, TIME_TO_FIRST_TOKEN_SLO, prefix_hashes,
};
pub use crate::quarantine::{
    QuarantineCoordinator, QuarantineRecord, QuarantineStatus, QuarantineTable, SavedCrash,
    SavedDecision, SavedEvidence, SuspectNotice, TrialDenied, are_same_decisions,
};
pub use crate::queue::{
    AdmissionRequest, Dequeued, QueueOptions, Refusal, RefusalReason, ServiceQueue, SlotKind,
    Slots, TenantUsage, Ticket,
};
pub use crate::quota::{
    QUOTA_CLOCK_MARGIN, QUOTA_TERM, QuotaDemand, QuotaGrant, QuotaHolder, QuotaIssuer,
    fallback_share,
};
pub use crate::retry::{MAX_ATTEMPTS, RetryBudget, RetryDenied, backoff, may_retry};
pub use crate::suspects::{
    BrokenRun, COMMON_CAUSE_WINDOW, CRASH_TTL, ClearedRecord, CrashCandidate, CrashCandidates,
    CrashId, CrashRecord, CrashedRun, Fingerprint, MAX_REPORTED_CANDIDATES, MAX_TIME_TO_CRASH,
    PartId, QUARANTINE_TERM, SuspectStatus, SuspectTracker, SuspectUpdate, TrialRecord,
    crash_candidates, crash_id, crashed_runs, request_fingerprint,
};
