//! Hybrid logical clock: causally ordered timestamps close to wall time.

use std::time::Duration;

use eelgrassmill_base::value;

value! { wire copy
    /// A hybrid logical timestamp.
    ///
    /// Invariant: if one event can have caused another, its timestamp is lower,
    /// regardless of skew between the nodes' wall clocks.
    #[derive(Default)]
    pub struct Hlc {
        /// Milliseconds since the Unix epoch; never lower than in any earlier timestamp.
        #[serde(rename = "wall_ms")]
        pub wall_ms: u64,
        /// Orders timestamps within one millisecond.
        pub counter: u32,
    }
}

/// How far a remote timestamp may be ahead of the local wall clock.
pub const MAX_DRIFT: Duration = Duration::from_secs(60);

/// A remote timestamp is more than [`MAX_DRIFT`] ahead of the local wall clock.
///
/// Accepting it would spread the error of one broken wall clock to every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("remote clock is {ahead_ms} ms ahead of the local clock")]
pub struct DriftError {
    /// The difference, in milliseconds.
    pub ahead_ms: u64,
}

/// The hybrid logical clock of one node.
///
/// Callers pass in wall times, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Returns the timestamp of a local event, higher than all earlier ones.
    pub fn tick(&mut self, wall_ms: u64) -> Hlc {
        self.last = if wall_ms > self.last.wall_ms {
            Hlc {
                wall_ms,
                counter: 0,
            }
        } else {
            next_timestamp(self.last)
        };
        self.last
    }

    /// Advances the clock past the timestamp of a received message and returns the time of receipt.
    ///
    /// # Errors
    /// If `remote` is more than [`MAX_DRIFT`] ahead of `wall_ms`; the clock is then unchanged.
    pub fn observe(&mut self, remote: Hlc, wall_ms: u64) -> Result<Hlc, DriftError> {
        let ahead_ms = remote.wall_ms.saturating_sub(wall_ms);
        if u128::from(ahead_ms) > MAX_DRIFT.as_millis() {
            return Err(DriftError { ahead_ms });
        }
        self.last = self.last.max(remote);
        Ok(self.tick(wall_ms))
    }

    /// The highest timestamp issued or observed so far.
    pub fn last(&self) -> Hlc {
        self.last
    }
}

fn next_timestamp(timestamp: Hlc) -> Hlc {
    match timestamp.counter.checked_add(1) {
        Some(counter) => Hlc {
            counter,
            ..timestamp
        },
        None => Hlc {
            wall_ms: timestamp.wall_ms.saturating_add(1),
            counter: 0,
        },
    }
}
