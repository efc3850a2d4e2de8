//! What to do with a request that must run at most once, given its claim row.

use std::time::Duration;

use eelgrassmill_base::{stable_hash, value};

use crate::era::{Era, expiry};
use crate::key::{ClaimKey, Fingerprint};
use crate::row::{AttemptId, ClaimRow, ClaimState, Owner, RowChange, StoredResponse, VersionedRow};

/// Shortest time after which a repeat of a running request may ask again.
const ASK_AGAIN: Duration = Duration::from_millis(1000);
/// Spread of that time over callers, in milliseconds.
const ASK_AGAIN_SPREAD: u64 = 500;

value! {
    /// A request that must run at most once, at the entry that got it.
    pub struct ClaimRequest {
        /// Its claim's key.
        pub key: ClaimKey,
        /// Its fingerprint.
        pub fingerprint: Fingerprint,
        /// This entry.
        pub owner: Owner,
        /// Name of this attempt to claim.
        pub attempt: AttemptId,
        /// The era that the entry sees.
        pub era: Era,
        /// How long the row is kept, counted from the claim: the service's
        /// `keep_answers`, and its `timeout` for the run itself.
        pub retention: Duration,
    }

    /// What the entry does.
    pub enum Decision {
        /// Write this row; dispatch only when the write is known to be made.
        MakeClaim(RowChange),
        /// Give the kept answer, after checking that it is whole.
        ReplayResponse(StoredResponse),
        /// It runs, or may be about to.
        InProgress {
            /// When to ask again.
            retry_after: Duration,
        },
        /// It may have run; it is never run again under this key.
        ReportUnknown {
            /// Writes that down, so that the next entry need not judge the owner.
            update: Option<RowChange>,
        },
        /// The key was used with another body (422).
        FingerprintMismatch,
    }
}

value! { copy
    /// What the entry knows of the owner named in the row.
    pub enum OwnerState {
        /// Its lease stands: it may be running the request.
        Alive,
        /// Its lease has lapsed as this entry observed it, or it has started anew.
        LeaseExpired,
        /// It is this entry, which abandoned the attempt before any dispatch.
        Abandoned,
    }
}

/// Decides on a request, given its claim row as read just now.
///
/// Whether the owner is alive changes only what the caller is told. A lapsed
/// owner may be paused just before its dispatch, so its key is never claimed anew.
pub fn decide(current: Option<&VersionedRow>, req: &ClaimRequest, owner: OwnerState) -> Decision {
    let Some(VersionedRow { row, version }) = current else {
        return make_claim(req, 0);
    };
    if row.fingerprint != req.fingerprint {
        return Decision::FingerprintMismatch;
    }
    match &row.state {
        ClaimState::Answered(kept) => Decision::ReplayResponse(kept.clone()),
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
    let spread = stable_hash([req.attempt.as_str()]) % ASK_AGAIN_SPREAD;
    Decision::InProgress {
        retry_after: ASK_AGAIN + Duration::from_millis(spread),
    }
}
