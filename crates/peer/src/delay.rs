//! How late a batch is.
//!
//! Ages travel as durations and not as points in time, since nodes have no
//! common clock. A sender that is paused between putting a batch together and
//! sending it, or a connection that holds it up, would make old evidence look
//! fresh: a group without a host would be served for as long as the pause took.
//! So each batch says when it was put together on the sender's own monotonic
//! clock, and the receiver counts all time beyond the shortest way it has seen
//! from that sender as delay, which is added to every age.

use std::time::{Duration, Instant};

use eelgrassmill_base::Incarnation;

/// The shortest way is sought within the last one to two windows, so that a slow
/// drift between two clocks is followed.
const WINDOW: Duration = Duration::from_secs(60);

/// What one receiver knows of one sender's clock.
#[derive(Clone, Debug)]
pub(crate) struct SenderClock {
    incarnation: Incarnation,
    /// Smallest difference of the two clocks seen in this window, in milliseconds.
    current: i64,
    /// The same for the window before.
    previous: i64,
    window_began: Instant,
}

impl SenderClock {
    /// Starts with the first batch of a sender's start.
    pub(crate) fn new(incarnation: Incarnation, offset_ms: i64, now: Instant) -> SenderClock {
        SenderClock {
            incarnation,
            current: offset_ms,
            previous: offset_ms,
            window_began: now,
        }
    }

    /// The start of the sender that this is about.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How late a batch is whose receiving clock is `offset_ms` ahead of its sending clock.
    pub(crate) fn delay(&mut self, offset_ms: i64, now: Instant) -> Duration {
        if now.saturating_duration_since(self.window_began) >= WINDOW {
            self.previous = self.current;
            self.current = offset_ms;
            self.window_began = now;
        }
        self.current = self.current.min(offset_ms);
        let shortest = self.current.min(self.previous);
        Duration::from_millis(offset_ms.saturating_sub(shortest).unsigned_abs())
    }
}
