//! How long claims are kept, without trusting any wall clock.
//!
//! One row of the table holds the era, a counter. Any node advances it by
//! one when it has itself seen the row unchanged for [`ERA_LENGTH`] on its
//! monotonic clock. An era is thus never shorter than that, whatever the
//! clocks, pauses and deaths; it is longer when no node lives long enough.

use std::time::{Duration, Instant};

use eelgrassmill_base::{RowVersion, value};

use crate::decide::OwnerState;
use crate::key::ClaimKey;
use crate::row::{ClaimState, RowChange, VersionedRow};

/// Counts periods of at least [`ERA_LENGTH`].
pub type Era = u64;

/// Key of the row that holds the era.
pub const ERA_KEY: &str = "claim-era";
/// Shortest length of an era.
pub const ERA_LENGTH: Duration = Duration::from_secs(600);

/// One era for the one already begun, one for an era read from the table a while ago.
const STARTED_ERAS: Era = 2;

/// The first era in which a claim written in `era` may be deleted.
pub(crate) fn expiry(era: Era, retention: Duration) -> Era {
    let whole_eras = retention.as_secs().div_ceil(ERA_LENGTH.as_secs());
    era + whole_eras + STARTED_ERAS
}

value! { copy
    /// A conditional write of the era row.
    pub struct EraChange {
        /// The version the row must have; 0 for absent.
        pub version: RowVersion,
        /// The new era.
        pub era: Era,
    }
}

/// One node's view of the era.
#[derive(Debug, Default)]
pub struct EraClock {
    era: Era,
    version: RowVersion,
    seen_since: Option<Instant>,
}

impl EraClock {
    /// The era as last read.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Takes the era row as read; `read_at` is when the read began.
    ///
    /// An absent row is era 0 at version 0.
    pub fn observe(&mut self, era: Era, version: RowVersion, read_at: Instant) {
        if self.seen_since.is_none() || self.version != version {
            self.era = era;
            self.version = version;
            self.seen_since = Some(read_at);
        }
    }

    /// The change that begins the next era, once this one has lasted.
    pub fn advance(&self, now: Instant) -> Option<EraChange> {
        let since = self.seen_since?;
        let lasted = now.saturating_duration_since(since) >= ERA_LENGTH;
        lasted.then_some(EraChange {
            version: self.version,
            era: self.era + 1,
        })
    }

    /// The deletion of a row whose time is over.
    ///
    /// A claim of a live owner stays: its request may still be running, and
    /// a repeat would run it a second time.
    pub fn sweep(
        &self,
        key: &ClaimKey,
        current: &VersionedRow,
        owner: OwnerState,
    ) -> Option<RowChange> {
        let running = current.row.state == ClaimState::Claimed && owner == OwnerState::Alive;
        let over = current.row.expires <= self.era && !running;
        over.then(|| RowChange {
            key: key.clone(),
            version: current.version,
            row: None,
        })
    }
}
