//! A head that is held free for a request with a long prompt.
//!
//! A long prompt fits only at a head that has little to prefill. While requests wait, each token of
//! room goes to the first one that fits, so that short prompts keep all heads busy and the long one
//! is passed over until its time is up. So one head gets nothing new until the long prompt fits.

use std::time::Instant;

use crate::schedule::head::MAX_PASS_RATIO;
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

impl Reservation {
    pub(super) fn is_of(&self, key: &RequestKey) -> bool {
        self.request == *key
    }
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

    /// Whether a head is held for another request than `key`.
    pub(super) fn is_reserved(&self, head: &HeadKey, key: Option<&RequestKey>) -> bool {
        let reservation = self.reservation.as_ref().filter(|r| r.head == *head);
        reservation.is_some_and(|r| key.is_none_or(|key| !r.is_of(key)))
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

    /// Holds a head for the first of `waiting` that was passed over by a grant in `decided`: its prompt
    /// is longer and found no room, although a head has a free slot.
    pub(super) fn reserve_for_passed_over<'r>(
        &mut self,
        decided: &[Decision],
        waiting: impl IntoIterator<Item = &'r PendingRequest>,
        heads: &[OpenHead],
        now: Instant,
    ) {
        if self.reservation.is_some() {
            return;
        }
        let granted = decided
            .iter()
            .filter(|d| matches!(d.outcome, SlotOutcome::Granted(_)));
        let Some(shortest) = granted.map(|d| d.prompt_tokens).min() else {
            return;
        };
        let mut passed_over = waiting
            .into_iter()
            .filter(|r| r.prompt_tokens > shortest && self.needs_most_of_a_pass(r));
        let Some(request) = passed_over.next() else {
            return;
        };
        let usable = |h: &&OpenHead| {
            let is_unwanted = request.excluded.contains(&h.host) || request.avoid.contains(&h.host);
            !is_unwanted && self.has_free_slot(h, now)
        };
        let free = heads.iter().filter(usable);
        let soonest = free.min_by_key(|h| self.time_to_prefill(h, now));
        self.reservation = soonest.map(|head| Reservation {
            request: request.key.clone(),
            head: head.key.clone(),
        });
    }
}
