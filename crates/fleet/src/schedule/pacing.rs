//! Pace of a scheduler's heads: what it learns of them from its own requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::pace::{HostPace, PaceChange, PaceSummary, Pacing, SentRequest, judge};
use crate::schedule::head::HeadState;
use crate::schedule::{
    Assignment, Decision, HeadKey, OpenHead, PendingRequest, RequestKey, Scheduler,
};

/// How often heads are compared with each other: a fraction of a pass.
const JUDGE_INTERVAL: Duration = Duration::from_millis(20);

/// What a scheduler needs for the pace of its heads besides their states.
#[derive(Clone, Debug, Default)]
pub(super) struct PacingState {
    pacing: Pacing,
    /// Time until the first event of a queued request is late, as of its arrival.
    objectives: HashMap<RequestKey, Duration>,
    judged_at: Option<Instant>,
    /// Number of grants so far.
    pub(super) grants: u64,
    /// Time of the last event or decision.
    last_now: Option<Instant>,
}

impl PacingState {
    fn is_adaptive(&self) -> bool {
        self.pacing == Pacing::Adaptive
    }

    pub(super) fn on_enqueued(&mut self, request: &PendingRequest, now: Instant) {
        if self.is_adaptive() {
            let remaining = request.on_time_until.saturating_duration_since(now);
            // A request that is already late says when an event is late, not a first one.
            let objective = if remaining.is_zero() {
                request.max_event_gap
            } else {
                remaining
            };
            self.objectives.insert(request.key.clone(), objective);
        }
    }

    pub(super) fn forget(&mut self, key: &RequestKey) {
        self.objectives.remove(key);
    }

    pub(super) fn on_round_end(&mut self, decided: &[Decision], now: Instant) {
        self.last_now = Some(now);
        for Decision { key, .. } in decided {
            self.objectives.remove(key);
        }
    }
}

impl HeadState {
    pub(super) fn pace_first_event(&mut self, sent: Option<SentRequest>, now: Instant) {
        if let Some((pace, sent)) = self.pace.as_mut().zip(sent) {
            pace.on_first_event(sent, now);
        }
    }

    pub(super) fn pace_failed(&mut self, sent: Option<SentRequest>, slots: usize, now: Instant) {
        let is_suspected = self.ejection.is_suspected(now);
        if let Some((pace, sent)) = self.pace.as_mut().zip(sent) {
            pace.on_failed(sent, slots, is_suspected);
        }
    }
}

impl Scheduler {
    /// Sets how the load of the heads is limited. To be called before the first request.
    #[must_use]
    pub fn with_pacing(mut self, pacing: Pacing) -> Scheduler {
        self.pacing.pacing = pacing;
        self
    }

    /// Records that an event of a stream came `gap` after the one before. `permitted` is the gap
    /// that is on time.
    pub fn on_event_gap(
        &mut self,
        key: &RequestKey,
        gap: Duration,
        permitted: Duration,
        now: Instant,
    ) {
        let Some((assigned, sent)) = self.assigned.get(key).and_then(|a| Some((a, a.sent?))) else {
            return;
        };
        if let Some(state) = self.head_states.get_mut(&assigned.head) {
            let expected = self
                .speed
                .pass_time(state.requests, state.unprefilled_tokens);
            if let Some(pace) = &mut state.pace {
                pace.on_event_gap(sent, gap, expected, permitted, now);
            }
        }
    }

    /// The open heads whose load is limited by their pace.
    pub fn pace_summary(&self, heads: &[OpenHead]) -> PaceSummary {
        let states = heads.iter().filter_map(|h| self.head_states.get(&h.key));
        PaceSummary::of(states.filter_map(|s| s.pace.as_ref()))
    }

    /// Changes of the heads' paces since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<(HeadKey, PaceChange)> {
        let states = self.head_states.iter_mut();
        let changes = states.filter_map(|(key, s)| Some((key, s.pace.as_mut()?)));
        changes
            .flat_map(|(key, pace)| pace.take_changes().into_iter().map(|c| (key.clone(), c)))
            .collect()
    }

    /// The state of a head that this scheduler hasn't seen before.
    ///
    /// Heads of its first decision opened before it started, and those that hold requests of its
    /// predecessor served already: both are taken as warm.
    pub(super) fn new_head_state(&self, head: &OpenHead, now: Instant) -> HeadState {
        let is_known = self.pacing.judged_at.is_none() || head.inherited_requests > 0;
        let pace = self.pacing.is_adaptive().then(|| {
            if is_known {
                return HostPace::default();
            }
            let cold_limit = head.cold.map(|cold| cold.grants(self.started_at, now));
            HostPace::opened(head.slots, cold_limit)
        });
        HeadState::with_pace(pace)
    }

    /// Compares the heads with each other.
    pub(super) fn judge_heads(&mut self, heads: &[OpenHead], now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < JUDGE_INTERVAL;
        if !self.pacing.is_adaptive() || self.pacing.judged_at.is_some_and(is_recent) {
            return;
        }
        self.pacing.judged_at = Some(now);
        let slots: HashMap<&HeadKey, usize> = heads.iter().map(|h| (&h.key, h.slots)).collect();
        let states = self.head_states.iter_mut();
        let open = states.filter_map(|(key, s)| Some((s.pace.as_mut()?, *slots.get(key)?)));
        judge(open, self.pacing.grants, now);
    }

    /// Records in a head's pace that it gets a request.
    pub(super) fn pace_sent(
        &mut self,
        request: &PendingRequest,
        head: &OpenHead,
        now: Instant,
    ) -> Option<SentRequest> {
        let objective = self.pacing.objectives.remove(&request.key);
        let requests = self.requests_of(head, now);
        let state = self.head_states.get_mut(&head.key)?;
        let tokens = state.unprefilled_tokens + request.prompt_tokens;
        let expected = self.speed.pass_time(requests + 1, tokens);
        let objective = objective.unwrap_or(request.max_event_gap);
        self.pacing.grants += 1;
        let (pace, total) = (state.pace.as_mut()?, self.pacing.grants);
        Some(pace.on_sent(expected, objective, total, now))
    }

    /// Records in a head's pace that a request has ended.
    pub(super) fn pace_ended(&mut self, assigned: &Assignment) {
        let state = self.head_states.get_mut(&assigned.head);
        let pace = state.and_then(|s| s.pace.as_mut());
        if let Some((pace, sent)) = pace.zip(assigned.sent) {
            pace.on_end(sent, self.pacing.last_now.unwrap_or(assigned.granted_at));
        }
    }
}
