//! A hybrid logical clock: causal order with readable times.

use std::time::Duration;

use eelgrassmill_base::value;

value! { wire copy
    /// A point on the time line.
    ///
    /// Invariant: of two events of which one can have caused the other, the
    /// cause has the lower stamp, whatever the nodes' wall clocks say.
    #[derive(Default)]
    pub struct Hlc {
        /// Milliseconds since 1970, UTC; never behind any stamp seen before.
        #[serde(rename = "wall_ms")]
        pub wall_ms: u64,
        /// Tells apart stamps of one millisecond.
        pub counter: u32,
    }
}

/// How far a stamp from another node may be ahead of the own wall clock.
pub const MAX_DRIFT: Duration = Duration::from_secs(60);

/// A stamp from another node is too far ahead to be believed.
///
/// Taking it over would carry one broken wall clock to every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a clock is {ahead_ms} ms ahead of this node's")]
pub struct DriftError {
    /// By how much, in milliseconds.
    pub ahead_ms: u64,
}

/// The clock of one node. Wall times are passed in, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, Default)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// The stamp of something that happens here now; higher than all before it.
    pub fn tick(&mut self, wall_ms: u64) -> Hlc {
        self.last = if wall_ms > self.last.wall_ms {
            Hlc {
                wall_ms,
                counter: 0,
            }
        } else {
            successor(self.last)
        };
        self.last
    }

    /// Takes notice of a stamp that came with a message, and stamps its arrival.
    ///
    /// # Errors
    /// When it is more than [`MAX_DRIFT`] ahead of `wall_ms`; the clock stays.
    pub fn observe(&mut self, remote: Hlc, wall_ms: u64) -> Result<Hlc, DriftError> {
        let ahead_ms = remote.wall_ms.saturating_sub(wall_ms);
        if u128::from(ahead_ms) > MAX_DRIFT.as_millis() {
            return Err(DriftError { ahead_ms });
        }
        self.last = self.last.max(remote);
        Ok(self.tick(wall_ms))
    }

    /// The last stamp given or seen, to be sent along with messages.
    pub fn last(&self) -> Hlc {
        self.last
    }
}

fn successor(stamp: Hlc) -> Hlc {
    match stamp.counter.checked_add(1) {
        Some(counter) => Hlc { counter, ..stamp },
        None => Hlc {
            wall_ms: stamp.wall_ms.saturating_add(1),
            counter: 0,
        },
    }
}
