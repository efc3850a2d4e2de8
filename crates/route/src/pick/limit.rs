//! How much of its slots a group is given: what it measures decides.

use std::time::{Duration, Instant};

/// Aim for the time to the first token, for 95 in 100.
pub const FIRST_TOKEN_AIM: Duration = Duration::from_millis(1300);
/// Aim for the time between tokens, for 95 in 100.
pub const TOKEN_GAP_AIM: Duration = Duration::from_millis(76);

/// Samples that a decision needs.
const WINDOW_SAMPLES: u32 = 20;
/// Shortest time between decisions: one round of effects has to show first.
const WINDOW: Duration = Duration::from_millis(500);
/// Part of late samples above which the limit falls.
const LATE_PART: f64 = 0.05;
/// The limit falls to this part of itself.
const FALL: f64 = 0.85;
/// The limit rises by this part of the slots.
const RISE: f64 = 0.05;
/// The limit never falls below this part of the slots.
const FLOOR: f64 = 0.05;

/// Additive increase, multiplicative decrease on the part of late samples.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    /// Part of the slots that may be used. Invariant: within `FLOOR..=1`.
    part: f64,
    samples: u32,
    late: u32,
    decided: Instant,
    /// Whether the limit held work back since the last decision. An unused
    /// limit must not rise: good figures without load say nothing about more.
    was_full: bool,
}

impl AdaptiveLimit {
    pub(crate) fn new(now: Instant) -> AdaptiveLimit {
        AdaptiveLimit {
            part: 1.0,
            samples: 0,
            late: 0,
            decided: now,
            was_full: false,
        }
    }

    pub(crate) fn part(&self) -> f64 {
        self.part
    }

    pub(crate) fn note_full(&mut self) {
        self.was_full = true;
    }

    pub(crate) fn observe(&mut self, late: bool, now: Instant) {
        self.samples += 1;
        self.late += u32::from(late);
        let waited = now.saturating_duration_since(self.decided) >= WINDOW;
        if waited && self.samples >= WINDOW_SAMPLES {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let late = f64::from(self.late) / f64::from(self.samples);
        if late > LATE_PART {
            self.part = (self.part * FALL).max(FLOOR);
        } else if self.was_full {
            self.part = (self.part + RISE).min(1.0);
        }
        self.samples = 0;
        self.late = 0;
        self.was_full = false;
        self.decided = now;
    }
}
