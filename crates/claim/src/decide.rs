//! Decides how to handle an at-most-once request, given its claim row.

use std::time::Duration;

use eelgrassmill_base::{stable_hash, value};

use crate::era::{Era, expiry};
use crate::key::{ClaimKey, Fingerprint};
use crate::row::{AttemptId, ClaimRow, ClaimState, Owner, RowChange, StoredResponse, VersionedRow};

/// Shortest retry delay for a repeat of a request that is in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_millis(1000);
/// Jitter added to that delay, in milliseconds.
const IN_PROGRESS_JITTER_MS: u64 = 500;

value! {
    /// An at-most-once request, at the entry that received it.
    pub struct ClaimRequest {
        /// Key of its claim row.
        pub key: ClaimKey,
        /// Fingerprint of its method, path and body.
        pub fingerprint: Fingerprint,
        /// This entry, which would own the claim.
        pub owner: Owner,
        /// Unique name of this attempt.
        pub attempt: AttemptId,
        /// The era as last read by this entry.
        pub era: Era,
        /// How long the row is retained, counted from the claim: the service's
        /// `keep_answers` plus its `timeout` for the run itself.
        pub retention: Duration,
    }

    /// What the entry does with a request.
    pub enum Decision {
        /// Write this claim; dispatch only once the write is known to be committed.
        MakeClaim(RowChange),
        /// Return the stored response, after verifying that it is complete.
        ReplayResponse(StoredResponse),
        /// The request is running or may be about to run.
        InProgress {
            /// Delay before the caller may retry.
            retry_after: Duration,
        },
        /// The request may have run; it never runs again under this key.
        ReportUnknown {
            /// Stores the `Unknown` state, so that later entries need not check the owner.
            update: Option<RowChange>,
        },
        /// The key was used with a different request (422).
        FingerprintMismatch,
    }
}

value! { copy
    /// What the entry knows about the owner named in the row.
    pub enum OwnerState {
        /// The owner's lease is valid: it may be running the request.
        Alive,
        /// This entry observed that the owner's lease expired or that the owner restarted.
        LeaseExpired,
        /// The owner is this entry, which abandoned the attempt before any dispatch.
        Abandoned,
    }
}

/// Decides how to handle a request, given the current claim row (`None`: absent).
///
/// Whether the owner is alive only changes what is reported to the caller. An owner with an
/// expired lease may be paused just before its dispatch, so its key is never claimed again.
pub fn decide(current: Option<&VersionedRow>, req: &ClaimRequest, owner: OwnerState) -> Decision {
    let Some(VersionedRow { row, version }) = current else {
        return make_claim(req, 0);
    };
    if row.fingerprint != req.fingerprint {
        return Decision::FingerprintMismatch;
    }
    match &row.state {
        ClaimState::Answered(response) => Decision::ReplayResponse(response.clone()),
        ClaimState::Unknown => Decision::ReportUnknown { update: None },
        ClaimState::Released => make_claim(req, *version),
        ClaimState::Claimed => match owner {
            OwnerState::Abandoned => make_claim(req, *version),
            OwnerState::Alive => in_progress(req),
            OwnerState::LeaseExpired => Decision::ReportUnknown {
                update: Some(RowChange {
                    key: req.key.clone(),
                    version: *version,
                    row: Some(row.with_state(ClaimState::Unknown)),
                }),
            },
        },
    }
}

fn make_claim(req: &ClaimRequest, version: u64) -> Decision {
    let row = ClaimRow {
        fingerprint: req.fingerprint.clone(),
        owner: req.owner.clone(),
        attempt: req.attempt.clone(),
        expires: expiry(req.era, req.retention),
        state: ClaimState::Claimed,
    };
    Decision::MakeClaim(RowChange {
        key: req.key.clone(),
        version,
        row: Some(row),
    })
}

fn in_progress(req: &ClaimRequest) -> Decision {
    let jitter = stable_hash([req.attempt.as_str()]) % IN_PROGRESS_JITTER_MS;
    Decision::InProgress {
        retry_after: IN_PROGRESS_RETRY + Duration::from_millis(jitter),
    }
}
