//! A head that is held free for a request with a long prompt.
//!
//! A long prompt fits only at a head that has little to prefill. While requests wait, each token of
//! room goes to the first one that fits, so that short prompts keep all heads busy and the long one
//! is passed over until its time is up. So one head gets nothing new until the long prompt fits.

use std::time::{Duration, Instant};

use crate::schedule::head::MAX_PASS_RATIO;
use crate::schedule::queue::Position;
use crate::schedule::{
    Decision, HeadKey, OpenHead, PendingRequest, RequestKey, Scheduler, SlotOutcome,
};

/// Fraction of the longest permitted pass beyond which a prompt may hold a head: decoding takes most of
/// the rest, so that it fits beside hardly any other prompt. Shorter ones would hold heads all the time
/// in an overload.
const MIN_RESERVED_RATIO: f64 = 2.0 / 3.0;

/// Holds a head for a queued request.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    request: RequestKey,
    head: HeadKey,
}

impl Scheduler {
    /// Whether a prompt is so long that it fits at few heads while others wait. A shorter one finds
    /// room as soon as a head has prefilled some of its prompts.
    fn needs_most_of_a_pass(&self, request: &PendingRequest) -> bool {
        let pass = self.speed.pass_time(0, request.prompt_tokens);
        pass > request
            .max_event_gap
            .mul_f64(MAX_PASS_RATIO * MIN_RESERVED_RATIO)
    }

    /// Whether a head gets nothing but the request with a reservation.
    pub(super) fn is_held(&self, head: &HeadKey) -> bool {
        self.reservation.as_ref().is_some_and(|r| r.head == *head)
    }

    /// Whether a head is held for this request.
    pub(super) fn has_reservation(&self, key: &RequestKey) -> bool {
        self.reservation.as_ref().is_some_and(|r| r.request == *key)
    }

    /// Ends the reservation of a request that no longer waits.
    pub(super) fn end_reservation(&mut self, key: &RequestKey) {
        self.reservation.take_if(|r| r.request == *key);
    }

    /// The request for which a head is held. Ends the reservation if the head takes nothing.
    pub(super) fn reserved_request(
        &mut self,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<RequestKey> {
        let reservation = self.reservation.as_ref()?;
        let head = heads.iter().find(|h| h.key == reservation.head);
        if head.is_some_and(|h| self.has_free_slot(h, now)) {
            return Some(reservation.request.clone());
        }
        self.reservation = None;
        None
    }

    /// The order in which queued requests are decided on while customers share no slots.
    pub(super) fn positions_with_reserved_first(
        &mut self,
        heads: &[OpenHead],
        now: Instant,
    ) -> Vec<Position> {
        let reserved = self.reserved_request(heads, now);
        let reserved = reserved.and_then(|key| self.queue.position(&key));
        let mut positions = self.queue.positions(now);
        if let Some(index) = positions.iter().position(|p| Some(*p) == reserved) {
            positions[..=index].rotate_right(1);
        }
        positions
    }

    /// The reservation for the first of `waiting`, which found no room, that a grant in `decided` to a
    /// shorter prompt has passed over. Of the heads with a free slot it holds the one that is expected
    /// to have prefilled its prompts soonest.
    pub(super) fn reservation_for_passed_over<'r>(
        &self,
        decided: &[Decision],
        waiting: impl IntoIterator<Item = &'r PendingRequest>,
        heads: &[OpenHead],
        now: Instant,
    ) -> Option<Reservation> {
        let granted = decided
            .iter()
            .filter(|d| matches!(d.outcome, SlotOutcome::Granted(_)));
        let shortest = granted.map(|d| d.prompt_tokens).min()?;
        let request = waiting
            .into_iter()
            .find(|r| r.prompt_tokens > shortest && self.needs_most_of_a_pass(r))?;
        let is_usable = |h: &&OpenHead| {
            let is_unwanted = request.excluded.contains(&h.host) || request.avoid.contains(&h.host);
            !is_unwanted && self.has_free_slot(h, now)
        };
        let usable = heads.iter().filter(is_usable);
        let head = usable.min_by_key(|h| self.time_to_prefill(h, now))?;
        Some(Reservation {
            request: request.key.clone(),
            head: head.key.clone(),
        })
    }

    /// Whether a head takes a further request, whatever its prompt.
    fn has_free_slot(&self, head: &OpenHead, now: Instant) -> bool {
        let demand = self.demand(head, 0, Duration::MAX, now);
        let state = self.head_states.get(&head.key);
        state.is_some_and(|state| state.has_slot(&demand, now))
    }

    /// Expected time until a head has prefilled all its prompts.
    fn time_to_prefill(&self, head: &OpenHead, now: Instant) -> Duration {
        let Some(state) = self.head_states.get(&head.key) else {
            return Duration::MAX;
        };
        let pass = self
            .speed
            .pass_time(self.requests_of(head, now), state.unprefilled_tokens);
        pass.mul_f64(state.slowdown(self.first_event_latency, now))
    }
}
