//! Pace of a host: how many requests it may hold, judged by its own answers.
//!
//! Designed for hosts that have just started and are slow at first, and for hosts that become 3 to
//! 12 times as slow for some seconds while they accept requests and pass health checks. A host that
//! has just opened, or was rejecting or slow, gets a concurrency window that its answers open. A
//! host that is much slower than the others gets trial requests alone while others have room.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::value;
use smallvec::SmallVec;

/// Initial window as 1 / this of the slots. From there a window that doubles in each round reaches
/// the slots in three rounds.
const INITIAL_WINDOW_DIVISOR: usize = 8;
/// Weight of a new sample in a service time, as an exponent of a geometric mean: one delayed answer
/// doesn't make a host slow, two do.
const SAMPLE_WEIGHT: f64 = 1.0 / 3.0;
/// Weight of a sample after [`SPARSE_INTERVAL`] without one, and of one that is faster than the
/// mean: hosts with few answers are judged by single ones, and trials are few.
const HEAVY_SAMPLE_WEIGHT: f64 = 0.5;
const SPARSE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered requests whose age counts as evidence.
const MAX_OVERDUE: usize = 4;
/// Range of a sample relative to the predicted time, so that a single one can't dominate the mean.
const MAX_SAMPLE: f64 = 32.0;
/// Shorter times than 1 / this of those that are late count as equal: callers don't notice, and
/// times of a few milliseconds vary by more than [`SLOW_RATIO`] on a busy machine.
const NOISE_DIVISOR: u32 = 5;
/// A host is slow if it is this many times slower than the median of the others.
const SLOW_RATIO: f64 = 3.0;
/// A slow host is no longer slow below this ratio. The gap to [`SLOW_RATIO`] prevents flapping.
const RECOVERED_RATIO: f64 = 2.0;
/// A smaller ratio is noise, and doesn't affect the choice of host.
const MIN_RATIO: f64 = 1.5;
/// How long the ratio of a host that isn't slow counts after its last answer, decreasing evenly: a
/// host that gets no requests because of it is tried again.
const RATIO_TTL: Duration = Duration::from_secs(4);
/// Shortest time between two trial requests to a slow host.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Requests to all hosts between two trials, unless [`MAX_TRIAL_INTERVAL`] has passed: trials are
/// mostly late, and at most 5% of all requests may be.
const REQUESTS_PER_TRIAL: u64 = 25;
/// Longer than hosts usually are slow.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(10);

value! { copy
    /// How the load of hosts is limited after a start or a fault.
    #[derive(Default)]
    pub enum Pacing {
        /// By the limits that hosts name alone.
        #[default]
        Fixed,
        /// Also by what their answers show that they can handle.
        Adaptive,
    }

    /// Identifies a request at a host.
    pub struct SentRequest {
        sent: Instant,
        number: u64,
    }

    /// Hosts whose load is limited by their pace.
    #[derive(Default)]
    pub struct PaceSummary {
        /// Hosts with a concurrency window.
        pub paced: usize,
        /// Slow hosts.
        pub slow: usize,
    }

    /// Order in which hosts are chosen.
    pub enum Preference {
        /// It is slow, and its next trial request is due.
        Trial,
        /// Its window admits a request.
        Normal,
        /// It is slow: only if no other host has room.
        Slow,
        /// Its window is full.
        Closed,
    }

    /// Change of a host's pace.
    pub enum PaceChange {
        /// Its requests are limited by a window.
        WindowBegan,
        /// Its window has reached its slots.
        WindowEnded,
        /// It gets trial requests alone while others have room.
        SlowBegan,
        /// It is no longer slow.
        SlowEnded,
    }
}

impl Pacing {
    /// The value of the setting.
    pub fn from_setting(is_adaptive: bool) -> Pacing {
        if is_adaptive {
            Pacing::Adaptive
        } else {
            Pacing::Fixed
        }
    }
}

impl PaceSummary {
    /// Summary of the paces of hosts.
    pub(crate) fn of<'p>(paces: impl Iterator<Item = &'p HostPace>) -> PaceSummary {
        paces.fold(PaceSummary::default(), |sum, pace| PaceSummary {
            paced: sum.paced + usize::from(pace.is_paced()),
            slow: sum.slow + usize::from(pace.is_slow()),
        })
    }
}

/// Concurrency limit with additive increase and multiplicative decrease.
#[derive(Clone, Copy, Debug)]
struct Window {
    size: usize,
    slots: usize,
    /// Requests with a smaller number were sent before it began or was last halved.
    first: u64,
    /// Requests that were sent since it began and have not ended. Earlier ones don't count: they
    /// hold their slots already.
    held: usize,
    /// Number of the first request that was sent since it began.
    began: u64,
}

/// Geometric mean of the times that a host took, relative to the predicted ones.
#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    /// Natural logarithm of the mean.
    log: f64,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    /// Predicted time of its first event.
    expected: Duration,
    /// Time after which its first event is late.
    objective: Duration,
}

/// Pace of one host in one incarnation.
#[derive(Clone, Debug, Default)]
pub struct HostPace {
    next: u64,
    window: Option<Window>,
    service_time: Option<ServiceTime>,
    /// Requests without a first event, oldest first.
    unanswered: BTreeMap<SentRequest, Unanswered>,
    is_slow: bool,
    /// The last trial request, or the start of the slow phase, with the number of requests that had
    /// been sent to all hosts by then.
    last_trial: Option<(Instant, u64)>,
    /// Service time relative to the median of the others, as of the last [`judge`].
    ratio: f64,
    changes: SmallVec<[PaceChange; 2]>,
}

impl HostPace {
    /// Begins with a window, for a host of `slots` slots that has just opened. `cold_limit` is the
    /// number of requests that it takes while it is cold.
    pub fn opened(slots: usize, cold_limit: Option<usize>) -> HostPace {
        let mut pace = HostPace::default();
        pace.begin_window(slots, cold_limit);
        pace
    }

    /// Begins a new incarnation of the host without its history. Requests to the former one don't
    /// count for it.
    pub(crate) fn restart(&mut self, slots: usize, cold_limit: Option<usize>) {
        *self = HostPace {
            next: self.next,
            ..HostPace::default()
        };
        self.begin_window(slots, cold_limit);
    }

    fn begin_window(&mut self, slots: usize, cold_limit: Option<usize>) {
        let size = (slots / INITIAL_WINDOW_DIVISOR).max(1);
        let size = cold_limit.map_or(size, |limit| size.min(limit.max(1)));
        if self.window.is_none() {
            self.changes.push(PaceChange::WindowBegan);
        }
        self.window = Some(Window {
            size,
            slots,
            first: self.next,
            held: 0,
            began: self.next,
        });
    }

    /// Whether its window admits one more request.
    pub fn has_room(&self) -> bool {
        self.window.is_none_or(|window| window.held < window.size)
    }

    /// Requests that it may hold, of `slots`.
    pub fn limit(&self, slots: usize) -> usize {
        self.window.map_or(slots, |window| window.size.min(slots))
    }

    /// Whether it gets trial requests alone while others have room.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Whether it has a window.
    pub fn is_paced(&self) -> bool {
        self.window.is_some()
    }

    /// How much it is wanted for a request, which may be a trial if `may_try`, after `total` requests
    /// to all hosts.
    pub fn preference(&self, may_try: bool, total: u64, now: Instant) -> Preference {
        if !self.has_room() {
            Preference::Closed
        } else if !self.is_slow {
            Preference::Normal
        } else if may_try && self.is_trial_due(total, now) {
            Preference::Trial
        } else {
            Preference::Slow
        }
    }

    /// Whether a slow host may get a trial request, after `total` requests to all hosts. An
    /// unanswered request is a trial, too.
    fn is_trial_due(&self, total: u64, now: Instant) -> bool {
        let is_due = self.last_trial.is_none_or(|(at, total_then)| {
            let age = now.saturating_duration_since(at);
            let others = total.saturating_sub(total_then);
            age >= MAX_TRIAL_INTERVAL || age >= TRIAL_INTERVAL && others >= REQUESTS_PER_TRIAL
        });
        self.is_slow && self.unanswered.is_empty() && is_due
    }

    /// How many times slower than the others it is; 1 unless it is clearly slower.
    pub fn slowdown(&self, now: Instant) -> f64 {
        if self.ratio < MIN_RATIO {
            return 1.0;
        }
        let age = self
            .service_time
            .map(|known| now.saturating_duration_since(known.at));
        if self.is_slow || !self.unanswered.is_empty() {
            return self.ratio;
        }
        let left = age.map_or(0.0, |age| 1.0 - age.div_duration_f64(RATIO_TTL));
        1.0 + (self.ratio - 1.0) * left.max(0.0)
    }

    /// Records that a request is sent whose first event is predicted to take `expected` and is late
    /// after `objective`, after `total` requests to all hosts.
    pub fn on_sent(
        &mut self,
        expected: Duration,
        objective: Duration,
        total: u64,
        now: Instant,
    ) -> SentRequest {
        let request = SentRequest {
            sent: now,
            number: self.next,
        };
        self.next += 1;
        let unanswered = Unanswered {
            expected,
            objective,
        };
        self.unanswered.insert(request, unanswered);
        if let Some(window) = &mut self.window {
            window.held += 1;
        }
        if self.is_slow {
            self.last_trial = Some((now, total));
        }
        request
    }

    /// Records the first event of a request, or its response if that is no stream.
    pub fn on_first_event(&mut self, request: SentRequest, now: Instant) {
        let Some(unanswered) = self.unanswered.remove(&request) else {
            return;
        };
        let latency = now.saturating_duration_since(request.sent);
        self.on_sample(latency, unanswered.expected, unanswered.objective, now);
        if latency <= unanswered.objective {
            self.grow_window(request);
        } else {
            self.halve_window(request);
        }
    }

    /// Records an event `gap` after the previous one of its stream, which was predicted to come
    /// after `expected` and is late after `permitted`.
    pub fn on_event_gap(
        &mut self,
        request: SentRequest,
        gap: Duration,
        expected: Duration,
        permitted: Duration,
        now: Instant,
    ) {
        self.on_sample(gap, expected, permitted, now);
        if gap <= permitted {
            self.grow_window(request);
        }
    }

    /// Records that the host rejected a request, failed it or let it time out.
    ///
    /// `is_suspected` tells whether it gets a window for this if it has none.
    pub fn on_failed(&mut self, request: SentRequest, slots: usize, is_suspected: bool) {
        self.unanswered.remove(&request);
        match self.window {
            Some(_) => self.halve_window(request),
            None if is_suspected => self.begin_window(slots, None),
            None => {}
        }
    }

    /// Records the end of a request, whether it was answered or given up.
    pub fn on_end(&mut self, request: SentRequest, now: Instant) {
        if let Some(unanswered) = self.unanswered.remove(&request) {
            let age = now.saturating_duration_since(request.sent);
            if age > unanswered.objective {
                self.on_sample(age, unanswered.expected, unanswered.objective, now);
                self.halve_window(request);
            }
        }
        if let Some(window) = &mut self.window
            && request.number >= window.began
        {
            window.held = window.held.saturating_sub(1);
        }
    }

    fn on_sample(&mut self, took: Duration, expected: Duration, objective: Duration, now: Instant) {
        let sample = sample(took, expected, objective);
        self.service_time = Some(ServiceTime {
            log: with_sample(self.service_time, sample, now),
            at: now,
        });
    }

    fn grow_window(&mut self, request: SentRequest) {
        let Some(window) = &mut self.window else {
            return;
        };
        if request.number >= window.first {
            window.size = window.slots.min(window.size + 1);
        }
        // A slow host keeps its window, so that it opens from there when it has recovered.
        if window.size >= window.slots && !self.is_slow {
            self.window = None;
            self.changes.push(PaceChange::WindowEnded);
        }
    }

    /// Halves the window unless it was halved since the request was sent.
    fn halve_window(&mut self, request: SentRequest) {
        if let Some(window) = &mut self.window
            && request.number >= window.first
        {
            window.size = (window.size.min(window.held.max(1)) / 2).max(1);
            window.first = self.next;
        }
    }

    /// Its service time relative to the predicted one, including requests that are overdue; `None`
    /// without evidence.
    fn service_time(&self, now: Instant) -> Option<f64> {
        let mut known = self.service_time;
        for (request, unanswered) in self.unanswered.iter().take(MAX_OVERDUE) {
            let age = now.saturating_duration_since(request.sent);
            let sample = sample(age, unanswered.expected, unanswered.objective);
            if age > unanswered.objective && known.is_none_or(|k| sample > k.log) {
                let log = with_sample(known, sample, now);
                known = Some(ServiceTime { log, at: now });
            }
        }
        known.map(|known| known.log.exp())
    }

    fn update(&mut self, slots: usize, [own, others]: [Option<f64>; 2], total: u64, now: Instant) {
        let oldest = self.unanswered.first_key_value();
        let overdue = oldest.filter(|(request, unanswered)| {
            now.saturating_duration_since(request.sent) > unanswered.objective
        });
        if let Some(request) = overdue.map(|(request, _)| *request) {
            self.halve_window(request);
        }
        self.ratio = match (own, others) {
            (Some(own), Some(others)) => own / others.max(f64::EPSILON),
            // Without others to compare with, nothing shows that it is slow.
            _ => 0.0,
        };
        if !self.is_slow && self.ratio > SLOW_RATIO {
            self.is_slow = true;
            self.last_trial = Some((now, total));
            self.changes.push(PaceChange::SlowBegan);
            self.begin_window(slots, None);
        } else if self.is_slow && self.ratio < RECOVERED_RATIO {
            self.is_slow = false;
            // Few answers came lately, and old ones would keep further requests away.
            self.service_time = None;
            self.ratio = 0.0;
            self.changes.push(PaceChange::SlowEnded);
            self.begin_window(slots, None);
        }
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> SmallVec<[PaceChange; 2]> {
        std::mem::take(&mut self.changes)
    }
}

/// Natural logarithm of a time relative to the predicted one.
fn sample(took: Duration, expected: Duration, objective: Duration) -> f64 {
    let noise = (objective / NOISE_DIVISOR).max(Duration::from_micros(1));
    let ratio = took.max(noise).div_duration_f64(expected.max(noise));
    ratio.clamp(1.0 / MAX_SAMPLE, MAX_SAMPLE).ln()
}

fn with_sample(known: Option<ServiceTime>, sample: f64, now: Instant) -> f64 {
    let Some(known) = known else { return sample };
    let is_sparse = now.saturating_duration_since(known.at) >= SPARSE_INTERVAL;
    let weight = if is_sparse || sample < known.log {
        HEAVY_SAMPLE_WEIGHT
    } else {
        SAMPLE_WEIGHT
    };
    known.log + (sample - known.log) * weight
}

/// Compares each host, given with its slots, with the others, after `total` requests to all hosts.
pub fn judge<'p>(
    paces: impl IntoIterator<Item = (&'p mut HostPace, usize)>,
    total: u64,
    now: Instant,
) {
    let mut paces: SmallVec<[(&mut HostPace, usize, Option<f64>); 32]> = paces
        .into_iter()
        .map(|(pace, slots)| {
            let own = pace.service_time(now);
            (pace, slots, own)
        })
        .collect();
    let mut sorted: SmallVec<[f64; 32]> = paces.iter().filter_map(|(.., own)| *own).collect();
    sorted.sort_by(f64::total_cmp);
    for (pace, slots, own) in &mut paces {
        let others = median_of_others(&sorted, *own);
        pace.update(*slots, [*own, others], total, now);
    }
}

/// The lower median of `sorted` without `own`; `None` if nothing else is in it.
fn median_of_others(sorted: &[f64], own: Option<f64>) -> Option<f64> {
    let Some(own) = own else {
        return sorted.get(sorted.len().saturating_sub(1) / 2).copied();
    };
    let others = sorted.len().checked_sub(1).filter(|n| *n > 0)?;
    let middle = (others - 1) / 2;
    let position = sorted.partition_point(|x| x.total_cmp(&own).is_lt());
    let index = if position <= middle {
        middle + 1
    } else {
        middle
    };
    sorted.get(index).copied()
}
