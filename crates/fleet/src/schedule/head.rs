//! Load of one head, and admission of further requests to it.

use std::time::{Duration, Instant};

use crate::catalog::{EngineSpeed, Millionths};
use crate::cold::GrantWindow;
use crate::ejection::Ejection;
use crate::pace::{HostPace, Preference};
use crate::rate_limit::TokenBucket;
use crate::success::SuccessRate;

/// Requests sent to a head beyond its slots, to keep its batch full until the end of a stream is
/// reported.
const PIPELINE_DEPTH: usize = 1;
/// Maximum duration of a pass, as a fraction of the permitted event gap. The rest is a margin for
/// network latency and estimation errors.
pub(super) const MAX_PASS_RATIO: f64 = 0.8;
/// How long a head's own first-event latency is used after its last first event. Then it is treated
/// like the other heads again.
const SLOWDOWN_TTL: Duration = Duration::from_secs(2);
/// Weight of the newest first-event latency in a head's own moving average, as 1 / this.
const HEAD_LATENCY_MEMORY: u32 = 4;
/// Bounds of a head's slowdown.
const MIN_SLOWDOWN: f64 = 1.0;
const MAX_SLOWDOWN: f64 = 20.0;
/// A head with a smaller slowdown counts as no slower than the others.
const SLOWDOWN_THRESHOLD: f64 = 1.5;

/// Load and recent performance of one head.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadState {
    pub(super) requests: usize,
    /// Requests that it may still reject.
    pub(super) unaccepted: usize,
    /// Prompt tokens not prefilled yet.
    pub(super) unprefilled_tokens: u64,
    /// The smallest permitted event gap of its requests.
    pub(super) max_event_gap: Option<Duration>,
    pub(super) ejection: Ejection,
    pub(super) success: SuccessRate,
    pub(super) recent_grants: GrantWindow,
    /// Set while the head names a limit.
    pub(super) limit: Option<LimitState>,
    /// Moving average of the time from a grant to its first event, and when it was last updated.
    first_event_latency: Option<(Duration, Instant)>,
    /// Set if its load follows its own answers.
    pub(super) pace: Option<HostPace>,
}

/// Limit that a head named, and what is left of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitState {
    pub(super) limit: Millionths,
    pub(super) bucket: TokenBucket,
}

impl LimitState {
    pub(super) fn tokens(&self, now: Instant) -> f64 {
        self.bucket.tokens(self.limit, now)
    }
}

/// Load of a head and requirements of a request to be admitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// All requests at the head, including unscheduled ones.
    pub(super) requests: usize,
    /// Maximum number of concurrent requests.
    pub(super) slots: usize,
    /// Prompt tokens of the request.
    pub(super) prompt_tokens: u64,
    /// Permitted event gap of the request's stream.
    pub(super) max_event_gap: Duration,
    /// Maximum number of grants within a second; set while the head is cold.
    pub(super) max_grants: Option<usize>,
}

impl HeadState {
    pub(super) fn with_pace(pace: Option<HostPace>) -> HeadState {
        HeadState {
            pace,
            ..HeadState::default()
        }
    }

    /// Updates the limit that the head names.
    pub(super) fn set_limit(&mut self, limit: Option<Millionths>, now: Instant) {
        self.limit = limit.map(|limit| LimitState {
            limit,
            bucket: self
                .limit
                .map_or_else(|| TokenBucket::new(now), |known| known.bucket),
        });
    }

    /// Records that a request is sent to the head.
    pub(super) fn on_grant(&mut self, now: Instant) {
        self.recent_grants.on_grant(now);
        if let Some(limit) = &mut self.limit {
            // Only heads with a token get grants.
            limit.bucket.take(limit.limit, now);
        }
    }

    /// Adds the time from a grant to its first event to the moving average.
    pub(super) fn on_first_event(&mut self, first_event_latency: Duration, now: Instant) {
        self.success.on_served(now);
        let before = self.recent_latency(now).unwrap_or(first_event_latency);
        let mean = (before * (HEAD_LATENCY_MEMORY - 1) + first_event_latency) / HEAD_LATENCY_MEMORY;
        self.first_event_latency = Some((mean, now));
    }

    /// Its mean first-event latency; `None` once that is older than [`SLOWDOWN_TTL`].
    fn recent_latency(&self, now: Instant) -> Option<Duration> {
        let recent = |at: Instant| now.saturating_duration_since(at) < SLOWDOWN_TTL;
        self.first_event_latency
            .filter(|(_, at)| recent(*at))
            .map(|(first_event_latency, _)| first_event_latency)
    }

    /// Its first-event latency relative to the mean of all heads. A replica is as slow as its
    /// slowest member.
    pub(super) fn slowdown(&self, mean_latency: Duration, now: Instant) -> f64 {
        if let Some(pace) = &self.pace {
            return pace.slowdown(now).min(MAX_SLOWDOWN);
        }
        let Some(first_event_latency) = self.recent_latency(now) else {
            return MIN_SLOWDOWN;
        };
        let slowdown =
            first_event_latency.as_secs_f64() / mean_latency.as_secs_f64().max(f64::EPSILON);
        if slowdown < SLOWDOWN_THRESHOLD {
            return MIN_SLOWDOWN;
        }
        slowdown.min(MAX_SLOWDOWN)
    }

    /// How much it is wanted for a request, after `grants` grants to all heads.
    pub(super) fn preference(&self, is_resumed: bool, grants: u64, now: Instant) -> Preference {
        // The caller of a resumed stream disconnects soon, so it is not for trials.
        let pace = self.pace.as_ref();
        pace.map_or(Preference::Normal, |p| {
            p.preference(!is_resumed, grants, now)
        })
    }

    /// Whether it takes one more request, whatever its prompt.
    pub(super) fn has_slot(&self, demand: &Demand, now: Instant) -> bool {
        let is_full = demand.requests >= demand.slots + PIPELINE_DEPTH;
        let is_cold = demand
            .max_grants
            .is_some_and(|most| self.recent_grants.count(now) >= most);
        let is_limited = self.limit.is_some_and(|limit| limit.tokens(now) < 1.0);
        let is_paced = self.pace.as_ref().is_some_and(|pace| !pace.has_room());
        let is_held_back = is_full || is_cold || is_limited || is_paced;
        !is_held_back && self.ejection.admits(self.unaccepted, now)
    }

    /// Whether it has room for one more request. `mean_latency` is the mean first-event latency of
    /// all heads.
    pub(super) fn has_room(
        &self,
        speed: &EngineSpeed,
        demand: Demand,
        mean_latency: Duration,
        now: Instant,
    ) -> bool {
        if !self.has_slot(&demand, now) {
            return false;
        }
        // Even the longest prompt must run somewhere, and does the least harm on its own.
        if self.unprefilled_tokens == 0 {
            return true;
        }
        let max_event_gap = self
            .max_event_gap
            .map_or(demand.max_event_gap, |p| p.min(demand.max_event_gap));
        let pass = speed.pass_time(
            demand.requests,
            self.unprefilled_tokens + demand.prompt_tokens,
        );
        pass.mul_f64(self.slowdown(mean_latency, now)) <= max_event_gap.mul_f64(MAX_PASS_RATIO)
    }
}
