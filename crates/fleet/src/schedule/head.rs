//! What was sent to one head, and whether it has room for more.

use std::time::{Duration, Instant};

use crate::catalog::EngineSpeed;
use crate::cold::GrantWindow;
use crate::ejection::Ejection;
use crate::success::SuccessRate;

/// Requests beyond a head's slots that are sent to it, to keep its batch full until the end of a
/// stream is reported.
const PIPELINE_DEPTH: usize = 1;
/// Part of the pause that a stream may have which one pass of its head may take. The rest covers
/// the network and errors of the estimate.
const MAX_PASS_RATIO: f64 = 0.8;
/// A head's own time to a first event counts for this long after the last one. Then it is tried
/// again like the others.
const PACE_TTL: Duration = Duration::from_secs(2);
/// Weight of the newest time to a first event in a head's own average, as 1 / this.
const PACE_MEMORY: u32 = 4;
/// Bounds of a head's pace, in the usual times to a first event.
const MIN_PACE: f64 = 1.0;
const MAX_PACE: f64 = 20.0;
/// A head that takes less than this many usual times counts as no slower than the others.
const SLOW_PACE: f64 = 1.5;

/// What was sent to one head.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadWork {
    pub(super) requests: usize,
    /// Requests that it may yet reject.
    pub(super) unaccepted: usize,
    /// Prompt tokens of requests that have not begun.
    pub(super) unread: u64,
    /// The shortest pause that one of its requests may have.
    pub(super) pause: Option<Duration>,
    pub(super) ejection: Ejection,
    pub(super) success: SuccessRate,
    pub(super) window: GrantWindow,
    /// Moving average of the time from a grant to its first event, and when it was last updated.
    lead: Option<(Duration, Instant)>,
}

/// What a head must have room for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Requests that the head has, whoever sent them.
    pub(super) requests: usize,
    /// Requests that it runs at once.
    pub(super) slots: usize,
    /// Prompt tokens of the request.
    pub(super) prompt: u64,
    /// The longest pause that the request's stream may have.
    pub(super) pause: Duration,
    /// Requests that it may get within a second; set while it is cold.
    pub(super) grants: Option<usize>,
}

impl HeadWork {
    /// Takes the time from a grant to its first event into the average.
    pub(super) fn started(&mut self, lead: Duration, now: Instant) {
        self.success.on_served(now);
        let before = self.recent_lead(now).unwrap_or(lead);
        let mean = (before * (PACE_MEMORY - 1) + lead) / PACE_MEMORY;
        self.lead = Some((mean, now));
    }

    /// Its average time to a first event; `None` once that is older than [`PACE_TTL`].
    fn recent_lead(&self, now: Instant) -> Option<Duration> {
        let recent = |at: Instant| now.saturating_duration_since(at) < PACE_TTL;
        self.lead
            .filter(|(_, at)| recent(*at))
            .map(|(lead, _)| lead)
    }

    /// How many times the usual time it takes to a first event: a replica is as slow as its
    /// slowest member.
    pub(super) fn pace(&self, usual: Duration, now: Instant) -> f64 {
        let Some(lead) = self.recent_lead(now) else {
            return MIN_PACE;
        };
        let pace = lead.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        if pace < SLOW_PACE {
            return MIN_PACE;
        }
        pace.min(MAX_PACE)
    }

    /// Whether it has room for one more request. `usual` is the time to a first event of all heads.
    pub(super) fn has_room(
        &self,
        speed: &EngineSpeed,
        demand: Demand,
        usual: Duration,
        now: Instant,
    ) -> bool {
        let is_full = demand.requests >= demand.slots + PIPELINE_DEPTH;
        let is_cold = demand
            .grants
            .is_some_and(|most| self.window.count(now) >= most);
        if is_full || is_cold || !self.ejection.admits(self.unaccepted, now) {
            return false;
        }
        // The longest prompt must run somewhere, and alone it harms least.
        if self.unread == 0 {
            return true;
        }
        let pause = self.pause.map_or(demand.pause, |p| p.min(demand.pause));
        let pass = speed.pass_time(demand.requests, self.unread + demand.prompt);
        pass.mul_f64(self.pace(usual, now)) <= pause.mul_f64(MAX_PASS_RATIO)
    }
}
