//! Noticing that a replica stands still.

use std::time::{Duration, Instant};

use eelgrassmill_base::value;

value! { copy
    /// When a replica counts as standing still.
    pub struct StallThreshold {
        /// Silence of all streams of a replica that is never suspicious. A pass takes
        /// some 50 ms; a prompt's piece, a lost packet and its repetition about 250 ms.
        pub min_silence: Duration,
        /// Silence as a multiple of the usual pause, so that a slow replica isn't taken
        /// for one that stands still.
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

/// When a replica last gave an event of any stream to this node.
///
/// A replica that lost a member gives nothing at all from that moment, on all of its
/// streams, while its head still accepts requests. That silence is the earliest sign,
/// seconds before the platform's host list says anything.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamActivity {
    /// Where its silence counts from: an event, or work after it had none.
    last: Option<Instant>,
    event: Option<Instant>,
    /// Usual pause between two events, a moving average.
    pause: Duration,
}

/// Weight of the newest pause in the average, as 1 / this.
const PAUSE_MEMORY: u32 = 8;

impl StreamActivity {
    /// Notes an event, or that a stream's answer began.
    pub fn on_event(&mut self, now: Instant) {
        if let Some(last) = self.last {
            let pause = now.saturating_duration_since(last);
            self.pause = (self.pause * (PAUSE_MEMORY - 1) + pause) / PAUSE_MEMORY;
        }
        self.last = Some(now);
        self.event = Some(now);
    }

    /// Whether it gave an event so lately that it can't have lost a member, whatever
    /// another node says.
    ///
    /// A node that reaches some hosts no more finds their replicas silent. Believed, it
    /// would have replicas taken apart that serve all other nodes. A loss that is real
    /// stops the streams of all nodes at once, and is told after [`StallThreshold::floor`] and
    /// a question, so that the last event is older then.
    pub fn has_recent_event(&self, rule: &StallThreshold, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) < rule.min_silence;
        self.event.is_some_and(lately)
    }

    /// Notes that the replica got work after it had none: its silence counts from here.
    pub fn on_work_resumed(&mut self, now: Instant) {
        self.last = Some(now);
    }

    /// When it will count as standing still.
    pub fn stalls_at(&self, rule: &StallThreshold) -> Option<Instant> {
        let silence = rule.min_silence.max(self.pause * rule.gap_factor);
        self.last.map(|last| last + silence)
    }
}
