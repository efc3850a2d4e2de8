//! Estimates how long a batch was delayed in transit.
//!
//! Ages are sent as durations and not as timestamps, since nodes have no common
//! clock. A sender that is paused between building a batch and sending it, or a
//! stalled connection, would make old evidence look fresh: a group that has lost a
//! host would continue to receive requests for the length of the pause. Each batch
//! therefore carries its build time on the sender's monotonic clock. The receiver
//! treats all time beyond the shortest transit that it has seen from that sender as
//! delay, which is added to every age.

use std::time::{Duration, Instant};

use eelgrassmill_base::Incarnation;

/// The minimum offset is taken over the last one to two windows, which follows slow
/// drift between two clocks.
const WINDOW: Duration = Duration::from_secs(60);

/// A receiver's estimate of its offset to a sender's clock.
#[derive(Clone, Debug)]
pub(crate) struct SenderClock {
    incarnation: Incarnation,
    /// Smallest offset between the two clocks in this window, in milliseconds.
    min_offset_ms: i64,
    /// The same for the previous window.
    previous_min_offset_ms: i64,
    window_start: Instant,
}

impl SenderClock {
    /// Starts with the first batch of a sender's incarnation.
    pub(crate) fn new(incarnation: Incarnation, offset_ms: i64, now: Instant) -> SenderClock {
        SenderClock {
            incarnation,
            min_offset_ms: offset_ms,
            previous_min_offset_ms: offset_ms,
            window_start: now,
        }
    }

    /// The sender's incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The delay of a batch at whose receipt this clock was `offset_ms` ahead of its send time.
    pub(crate) fn delay(&mut self, offset_ms: i64, now: Instant) -> Duration {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.previous_min_offset_ms = self.min_offset_ms;
            self.min_offset_ms = offset_ms;
            self.window_start = now;
        }
        self.min_offset_ms = self.min_offset_ms.min(offset_ms);
        let min_offset_ms = self.min_offset_ms.min(self.previous_min_offset_ms);
        Duration::from_millis(offset_ms.saturating_sub(min_offset_ms).unsigned_abs())
    }
}
