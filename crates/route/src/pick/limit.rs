//! How much of its slots a group is given: what it measures decides.

use std::time::{Duration, Instant};

/// Aim for the time to the first token, for 95 in 100.
pub const TIME_TO_FIRST_TOKEN_SLO: Duration = Duration::from_millis(1300);
/// Aim for the time between tokens, for 95 in 100.
pub const INTER_TOKEN_LATENCY_SLO: Duration = Duration::from_millis(76);

/// Samples that a decision needs.
const WINDOW_SAMPLES: u32 = 20;
/// Shortest time between decisions.
const WINDOW: Duration = Duration::from_millis(500);
/// Part of late samples above which the limit falls.
const LATE_PART: f64 = 0.05;
/// The limit falls to this part of itself.
const FALL: f64 = 0.9;
/// The limit rises by this part of the slots.
const RISE: f64 = 0.03;
/// The limit never falls below this part of the slots.
const FLOOR: f64 = 0.05;
/// A fall has helped when samples are shorter by this part after it.
const MIN_GAIN: f64 = 0.025;
/// Falls without help after which the limit is given up.
const USELESS_FALLS: u32 = 2;
/// The limit doesn't fall again for this long after that.
const GIVEN_UP: Duration = Duration::from_secs(60);

/// Additive increase, multiplicative decrease on the part of late samples.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    /// Part of the slots that may be used. Invariant: within `FLOOR..=1`.
    part: f64,
    window: Window,
    /// Mean sample over its aim just before the last fall.
    fell_from: Option<f64>,
    useless_falls: u32,
    no_fall_before: Instant,
    /// Whether the limit held work back since the last decision. An unused
    /// limit must not rise: good figures without load say nothing about more.
    was_full: bool,
}

#[derive(Clone, Debug)]
struct Window {
    since: Instant,
    samples: u32,
    late: u32,
    /// Sum of the samples over their aims.
    sum: f64,
}

impl Window {
    fn new(since: Instant) -> Window {
        Window {
            since,
            samples: 0,
            late: 0,
            sum: 0.0,
        }
    }
}

impl AdaptiveLimit {
    pub(crate) fn new(now: Instant) -> AdaptiveLimit {
        AdaptiveLimit {
            part: 1.0,
            window: Window::new(now),
            fell_from: None,
            useless_falls: 0,
            no_fall_before: now,
            was_full: false,
        }
    }

    pub(crate) fn part(&self) -> f64 {
        self.part
    }

    pub(crate) fn note_full(&mut self) {
        self.was_full = true;
    }

    /// Takes a sample over its aim.
    ///
    /// `above` says that more runs than the limit allows, since requests from before
    /// the last fall go on. Those samples say nothing about the new limit;
    /// judged by them, it would fall to the floor before the first draft has ended.
    pub(crate) fn observe(&mut self, over_aim: f64, above: bool, now: Instant) {
        if above {
            self.window = Window::new(now);
            return;
        }
        self.window.samples += 1;
        self.window.late += u32::from(over_aim > 1.0);
        self.window.sum += over_aim;
        let waited = now.saturating_duration_since(self.window.since) >= WINDOW;
        if waited && self.window.samples >= WINDOW_SAMPLES {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let samples = f64::from(self.window.samples);
        let late = f64::from(self.window.late) / samples;
        let mean = self.window.sum / samples;
        if late <= LATE_PART {
            self.rise();
        } else if now >= self.no_fall_before {
            self.fall(mean, now);
        }
        self.window = Window::new(now);
        self.was_full = false;
    }

    fn rise(&mut self) {
        self.fell_from = None;
        self.useless_falls = 0;
        if self.was_full {
            self.part = (self.part + RISE).min(1.0);
        }
    }

    /// Falls, or gives the limit up where falling makes nothing faster.
    ///
    /// A model whose tokens take longer than the aim with a single request would
    /// otherwise be driven to a single request.
    fn fall(&mut self, mean: f64, now: Instant) {
        let helped = self
            .fell_from
            .is_none_or(|from| mean < from * (1.0 - MIN_GAIN));
        self.useless_falls = if helped { 0 } else { self.useless_falls + 1 };
        if self.useless_falls >= USELESS_FALLS {
            self.part = 1.0;
            self.fell_from = None;
            self.useless_falls = 0;
            self.no_fall_before = now + GIVEN_UP;
            return;
        }
        self.fell_from = Some(mean);
        self.part = (self.part * FALL).max(FLOOR);
    }
}
