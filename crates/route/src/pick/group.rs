//! One entry's state of one group: slots in flight, load and latency.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::Epoch;

use crate::pick::limit::AdaptiveLimit;
use crate::pick::prefix::CacheId;
use crate::pick::{Candidate, INTER_TOKEN_LATENCY_SLO, LatencySample, TIME_TO_FIRST_TOKEN_SLO};
use crate::queue::{SlotKind, Slots};

/// Fraction of its slots that a group gets at the beginning of slow start.
const SLOW_START_FRACTION: f64 = 0.1;
/// During slow start the fraction grows linearly, by 1 in this time.
const SLOW_START: Duration = Duration::from_secs(20);
/// A group is an outlier if its inter-token latency exceeds the median by this factor.
const OUTLIER_RATIO: f64 = 1.5;
/// Minimum fraction of its slots that an outlier keeps, so that its recovery is measured.
const MIN_OUTLIER_FRACTION: f64 = 0.1;
/// Weight of a new sample in the exponential moving average.
const EWMA_ALPHA: f64 = 0.1;
/// The average is discarded when its last sample is older than this.
const SAMPLE_TTL: Duration = Duration::from_secs(30);
/// Maximum number of requests tracked since the last load report.
const MAX_SENT: usize = 1024;

#[derive(Debug)]
pub(crate) struct GroupState {
    pub(crate) candidate: Candidate,
    pub(crate) cache_id: CacheId,
    /// When slow start began; `None` if the group didn't need it.
    slow_start_since: Option<Instant>,
    in_flight: Slots,
    reported: u32,
    /// Send times of the requests that the last load report doesn't include.
    sent: VecDeque<Instant>,
    limit: AdaptiveLimit,
    inter_token_latency: Option<f64>,
    last_sample: Instant,
    /// Fraction of the slots given to the group as an outlier; 1 if it isn't one.
    outlier_fraction: f64,
    pub(crate) next_event_seq: u64,
    pub(crate) unconfirmed_before: Option<Instant>,
}

impl GroupState {
    pub(crate) fn new(candidate: Candidate, cache_id: CacheId, now: Instant) -> GroupState {
        GroupState {
            candidate,
            cache_id,
            slow_start_since: None,
            in_flight: Slots::NONE,
            reported: 0,
            sent: VecDeque::new(),
            limit: AdaptiveLimit::new(now),
            inter_token_latency: None,
            last_sample: now,
            outlier_fraction: 1.0,
            next_event_seq: 0,
            unconfirmed_before: None,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.candidate.epoch
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == Slots::NONE
    }

    pub(crate) fn inter_token_latency(&self) -> Option<f64> {
        self.inter_token_latency
    }

    /// Returns the fraction of its slots that the group is given now.
    pub(crate) fn fraction(&self, now: Instant) -> f64 {
        let slow_start = self.slow_start_since.map_or(1.0, |since| {
            let age = now.saturating_duration_since(since).as_secs_f64();
            (SLOW_START_FRACTION + age / SLOW_START.as_secs_f64()).min(1.0)
        });
        slow_start
            .min(self.limit.fraction())
            .min(self.outlier_fraction)
    }

    /// Returns the slots that this entry may still occupy on the group.
    pub(crate) fn free(&self, now: Instant) -> Slots {
        let quota = self.candidate.quota;
        if self.candidate.leaving {
            return Slots::NONE;
        }
        Slots {
            normal: self.allowed(now).saturating_sub(self.in_flight.normal),
            urgent: quota.urgent.saturating_sub(self.in_flight.urgent),
        }
    }

    /// Returns the normal slots of its quota that the entry may occupy.
    fn allowed(&self, now: Instant) -> u32 {
        let quota = self.candidate.quota.normal;
        let allowed = f64::from(quota) * self.fraction(now);
        (allowed as u32).max(quota.min(1))
    }

    /// Returns the load including one more request, relative to the slots given; 1 is full.
    pub(crate) fn utilization(&self, now: Instant) -> f64 {
        let own = self.in_flight.total();
        let load = own.max(self.reported + self.sent.len() as u32) + 1;
        let capacity = f64::from(self.candidate.slots.max(1)) * self.fraction(now);
        f64::from(load) / capacity.max(1.0)
    }

    pub(crate) fn acquire(&mut self, slot: SlotKind, now: Instant) {
        *self.counter(slot) += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        if self.free(now).normal == 0 {
            self.limit.mark_saturated();
        }
    }

    pub(crate) fn release(&mut self, slot: SlotKind) {
        let counter = self.counter(slot);
        *counter = counter.saturating_sub(1);
    }

    fn counter(&mut self, slot: SlotKind) -> &mut u32 {
        match slot {
            SlotKind::Normal => &mut self.in_flight.normal,
            SlotKind::Urgent => &mut self.in_flight.urgent,
        }
    }

    /// Records a load report, which includes the requests sent before it was taken.
    pub(crate) fn on_load_report(&mut self, running: u32, taken_at: Instant) {
        self.reported = running;
        while self.sent.front().is_some_and(|at| *at <= taken_at) {
            self.sent.pop_front();
        }
    }

    pub(crate) fn observe(&mut self, sample: LatencySample, now: Instant) {
        let slo_ratio = match sample {
            LatencySample::TimeToFirstToken(took) => {
                took.as_secs_f64() / TIME_TO_FIRST_TOKEN_SLO.as_secs_f64()
            }
            LatencySample::InterTokenLatency(latency) => {
                self.observe_inter_token_latency(latency.as_secs_f64(), now);
                latency.as_secs_f64() / INTER_TOKEN_LATENCY_SLO.as_secs_f64()
            }
        };
        let over_limit = self.in_flight.normal > self.allowed(now);
        self.limit.observe(slo_ratio, over_limit, now);
    }

    fn observe_inter_token_latency(&mut self, latency: f64, now: Instant) {
        if now.saturating_duration_since(self.last_sample) > SAMPLE_TTL {
            self.discard_latency(now);
        }
        self.last_sample = now;
        self.inter_token_latency = Some(match self.inter_token_latency {
            Some(mean) => mean + EWMA_ALPHA * (latency - mean),
            None => latency,
        });
    }

    /// Discards the average. Only an outlier goes through slow start again: if every idle
    /// group did, the first burst after an idle period would get a tenth of the slots.
    fn discard_latency(&mut self, now: Instant) {
        self.inter_token_latency = None;
        if self.outlier_fraction < 1.0 {
            self.restart_slow_start(now);
        }
    }

    /// Compares the group with the median inter-token latency of all groups.
    pub(crate) fn compare(&mut self, median: Option<f64>) {
        self.outlier_fraction = match (self.inter_token_latency, median) {
            (Some(own), Some(median)) if own > OUTLIER_RATIO * median => {
                (median / own).max(MIN_OUTLIER_FRACTION)
            }
            _ => 1.0,
        };
    }

    /// Starts or restarts slow start, for a new group or one that was idle.
    pub(crate) fn restart_slow_start(&mut self, now: Instant) {
        self.slow_start_since = Some(now);
    }
}
