//! Detection of stalled replicas.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

value! { copy
    /// When a replica counts as stalled.
    pub struct StallThreshold {
        /// A shorter time without an event on any stream never counts as a stall. A pass takes
        /// about 50 ms; a prompt chunk plus a retransmitted packet about 250 ms.
        pub min_silence: Duration,
        /// Time without an event as a multiple of the average gap between events, so that slow
        /// replicas don't count as stalled.
        pub gap_factor: u32,
    }
}

impl Default for StallThreshold {
    fn default() -> StallThreshold {
        StallThreshold {
            min_silence: Duration::from_millis(320),
            gap_factor: 6,
        }
    }
}

/// When this node last received an event on any stream of a replica.
///
/// A replica that lost a member immediately stops sending events on all streams, while its head
/// still accepts requests. This is the earliest sign of the loss, seconds before the platform's
/// host list shows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamActivity {
    /// Start of the time without events: the last event, or the first request after being idle.
    silent_since: Option<Instant>,
    last_event: Option<Instant>,
    /// Moving average of the gap between events.
    gap: Duration,
}

/// Weight of the newest gap in the moving average, as 1 / this.
const GAP_MEMORY: u32 = 8;

impl StreamActivity {
    /// Records an event, or the start of a stream's response.
    pub fn on_event(&mut self, now: Instant) {
        if let Some(last) = self.silent_since {
            let gap = now.saturating_duration_since(last);
            self.gap = (self.gap * (GAP_MEMORY - 1) + gap) / GAP_MEMORY;
        }
        self.silent_since = Some(now);
        self.last_event = Some(now);
    }

    /// Start of the time without events: the last event, or the first request after being idle.
    pub fn silent_since(&self) -> Option<Instant> {
        self.silent_since
    }

    /// When the last event arrived.
    pub fn last_event(&self) -> Option<Instant> {
        self.last_event
    }

    /// Whether it sent an event so recently that it can't have lost a member, whatever another node
    /// reports.
    ///
    /// A node that can't reach some hosts any more finds their replicas stalled. Without this check
    /// its reports would dissolve replicas that serve all other nodes. A real loss stops the
    /// streams of all nodes at once and is reported only after [`StallThreshold::min_silence`] and
    /// a query, when the last event is older than that.
    pub fn has_recent_event(&self, threshold: &StallThreshold, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < threshold.min_silence;
        self.last_event.is_some_and(is_recent)
    }

    /// Records that the replica got a request after being idle; the time without events starts
    /// here.
    pub fn on_work_resumed(&mut self, now: Instant) {
        self.silent_since = Some(now);
    }

    /// When it will count as stalled unless an event arrives.
    pub fn stalls_at(&self, threshold: &StallThreshold) -> Option<Instant> {
        let silence = threshold.min_silence.max(self.gap * threshold.gap_factor);
        self.silent_since.map(|last| last + silence)
    }
}
