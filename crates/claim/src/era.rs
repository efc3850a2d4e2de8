//! Retention of claims in eras, which depend on no wall clock.
//!
//! The era is a counter in one row of the table. A node increments it after it has
//! seen the row unchanged for [`ERA_LENGTH`] on its own monotonic clock. An era is
//! thus never shorter than that, whatever the clock errors, pauses and crashes; it
//! is longer while no node stays up that long.

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

/// Margin of one era for the one already begun and one for a stale read of the era.
const ERA_MARGIN: Era = 2;

/// The first era in which a claim written in `era` may be deleted.
pub(crate) fn expiry(era: Era, retention: Duration) -> Era {
    let whole_eras = retention.as_secs().div_ceil(ERA_LENGTH.as_secs());
    era + whole_eras + ERA_MARGIN
}

value! { copy
    /// A conditional write of the era row.
    pub struct EraChange {
        /// Version the row must have; 0 if absent.
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
    /// When the first read that returned this version began; `None` before any read.
    observed_since: Option<Instant>,
}

impl EraClock {
    /// The era as last read.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records the era row as read; `read_at` is when the read began.
    ///
    /// An absent row is era 0 at version 0.
    pub fn observe(&mut self, era: Era, version: RowVersion, read_at: Instant) {
        if self.observed_since.is_none() || self.version != version {
            self.era = era;
            self.version = version;
            self.observed_since = Some(read_at);
        }
    }

    /// Returns the change that begins the next era, once this one has lasted [`ERA_LENGTH`].
    pub fn advance(&self, now: Instant) -> Option<EraChange> {
        let since = self.observed_since?;
        let elapsed = now.saturating_duration_since(since) >= ERA_LENGTH;
        elapsed.then_some(EraChange {
            version: self.version,
            era: self.era + 1,
        })
    }

    /// Returns the deletion of a row whose retention has expired.
    ///
    /// A claim of a live owner is retained: its request may still be running, and
    /// a repeat would run it a second time.
    pub fn sweep(
        &self,
        key: &ClaimKey,
        current: &VersionedRow,
        owner: OwnerState,
    ) -> Option<RowChange> {
        let running = current.row.state == ClaimState::Claimed && owner == OwnerState::Alive;
        let expired = current.row.expires <= self.era && !running;
        expired.then(|| RowChange {
            key: key.clone(),
            version: current.version,
            row: None,
        })
    }
}
