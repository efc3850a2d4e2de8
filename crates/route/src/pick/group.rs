//! What one entry knows of one group.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::Epoch;

use crate::pick::limit::AdaptiveLimit;
use crate::pick::prefix::Holder;
use crate::pick::{Candidate, INTER_TOKEN_LATENCY_SLO, LatencySample, TIME_TO_FIRST_TOKEN_SLO};
use crate::queue::{SlotKind, Slots};

/// A group that is new or returning gets this part of its slots at first.
const RAMP_START: f64 = 0.1;
/// It gets all of them after this time.
const RAMP: Duration = Duration::from_secs(20);
/// A group whose time per token is this many times its peers' median is slow.
const SLOW_RATIO: f64 = 1.5;
/// A slow group keeps at least this part, so that its recovery is seen.
const SLOW_FLOOR: f64 = 0.1;
/// Share of a new sample in the moving mean.
const NEW_SAMPLE: f64 = 0.1;
/// A mean without samples for this long is forgotten.
const SAMPLE_LIFE: Duration = Duration::from_secs(30);
/// Longest record of requests sent since the last report.
const MAX_SENT: usize = 1024;

#[derive(Debug)]
pub(crate) struct GroupState {
    pub(crate) candidate: Candidate,
    pub(crate) holder: Holder,
    /// Since when it starts gradually; `None` when it doesn't.
    ramp_since: Option<Instant>,
    in_flight: Slots,
    reported: u32,
    /// When each request was sent that the last load report can't have seen.
    sent: VecDeque<Instant>,
    limit: AdaptiveLimit,
    token_gap: Option<f64>,
    sampled: Instant,
    /// Part of the slots left by being slower than the peers.
    slow_part: f64,
    pub(crate) next_event: u64,
    pub(crate) doubt_before: Option<Instant>,
}

impl GroupState {
    pub(crate) fn new(candidate: Candidate, holder: Holder, now: Instant) -> GroupState {
        GroupState {
            candidate,
            holder,
            ramp_since: None,
            in_flight: Slots::NONE,
            reported: 0,
            sent: VecDeque::new(),
            limit: AdaptiveLimit::new(now),
            token_gap: None,
            sampled: now,
            slow_part: 1.0,
            next_event: 0,
            doubt_before: None,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.candidate.epoch
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == Slots::NONE
    }

    pub(crate) fn token_gap(&self) -> Option<f64> {
        self.token_gap
    }

    /// The part of its slots that the group is given now.
    pub(crate) fn part(&self, now: Instant) -> f64 {
        let ramp = self.ramp_since.map_or(1.0, |since| {
            let age = now.saturating_duration_since(since).as_secs_f64();
            (RAMP_START + age / RAMP.as_secs_f64()).min(1.0)
        });
        ramp.min(self.limit.part()).min(self.slow_part)
    }

    /// Slots that this entry may still occupy there.
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

    /// Normal slots that the entry may occupy of its quota.
    fn allowed(&self, now: Instant) -> u32 {
        let quota = self.candidate.quota.normal;
        let allowed = f64::from(quota) * self.part(now);
        (allowed as u32).max(quota.min(1))
    }

    /// Work there over what it is given; 1 is full.
    pub(crate) fn utilisation(&self, now: Instant) -> f64 {
        let own = self.in_flight.total();
        let load = own.max(self.reported + self.sent.len() as u32) + 1;
        let room = f64::from(self.candidate.slots.max(1)) * self.part(now);
        f64::from(load) / room.max(1.0)
    }

    pub(crate) fn begin(&mut self, slot: SlotKind, now: Instant) {
        *self.counter(slot) += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        if self.free(now).normal == 0 {
            self.limit.note_full();
        }
    }

    pub(crate) fn end(&mut self, slot: SlotKind) {
        let counter = self.counter(slot);
        *counter = counter.saturating_sub(1);
    }

    fn counter(&mut self, slot: SlotKind) -> &mut u32 {
        match slot {
            SlotKind::Normal => &mut self.in_flight.normal,
            SlotKind::Urgent => &mut self.in_flight.urgent,
        }
    }

    /// Takes a report; what was sent before it was taken is in it.
    pub(crate) fn report(&mut self, running: u32, taken_at: Instant) {
        self.reported = running;
        while self.sent.front().is_some_and(|at| *at <= taken_at) {
            self.sent.pop_front();
        }
    }

    pub(crate) fn observe(&mut self, sample: LatencySample, now: Instant) {
        let over_aim = match sample {
            LatencySample::TimeToFirstToken(took) => {
                took.as_secs_f64() / TIME_TO_FIRST_TOKEN_SLO.as_secs_f64()
            }
            LatencySample::InterTokenLatency(gap) => {
                self.observe_gap(gap.as_secs_f64(), now);
                gap.as_secs_f64() / INTER_TOKEN_LATENCY_SLO.as_secs_f64()
            }
        };
        let above = self.in_flight.normal > self.allowed(now);
        self.limit.observe(over_aim, above, now);
    }

    fn observe_gap(&mut self, gap: f64, now: Instant) {
        if now.saturating_duration_since(self.sampled) > SAMPLE_LIFE {
            self.forget_pace(now);
        }
        self.sampled = now;
        self.token_gap = Some(match self.token_gap {
            Some(mean) => mean + NEW_SAMPLE * (gap - mean),
            None => gap,
        });
    }

    /// Only a group that was slow starts gradually again. Were every idle group to, the
    /// first burst after a quiet hour would find a tenth of the slots.
    fn forget_pace(&mut self, now: Instant) {
        self.token_gap = None;
        if self.slow_part < 1.0 {
            self.restart_ramp(now);
        }
    }

    /// Compares the group with its peers' median time between tokens.
    pub(crate) fn compare(&mut self, median: Option<f64>) {
        self.slow_part = match (self.token_gap, median) {
            (Some(own), Some(median)) if own > SLOW_RATIO * median => {
                (median / own).max(SLOW_FLOOR)
            }
            _ => 1.0,
        };
    }

    /// Starts gradually again, for a group that served nothing for a while.
    pub(crate) fn restart_ramp(&mut self, now: Instant) {
        self.ramp_since = Some(now);
    }
}
