//! Estimates when a request would get a slot, and when a rejected one may come back.
//!
//! Responds to more requests than slots become free. The rate at which slots become free follows
//! from the number of slots and the mean time that one is held (Little's law), so that it is right
//! from the first full moment of a burst on, and falls at once when a replica is lost.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use eelgrassmill_base::value;
use smol_str::SmolStr;

use crate::rate::Rate;

/// Longest wait of a request before it is rejected. Callers must know within 0.7 s; the rest is a
/// margin for the way back.
pub const MAX_REJECTION_WAIT: Duration = Duration::from_millis(600);
/// Fraction of the grants that is reserved for requests that come back when told.
pub const RETURNING_RATIO: f64 = 0.1;

/// Weight of the newest time that a slot was held in the moving average, as 1 / this.
const HOLD_MEMORY: u32 = 64;
/// Number of ended requests below which the mean time is not used: the first to end are the
/// shortest.
const MIN_HOLDS: u32 = 32;
/// Standard deviations by which more slots may become free than estimated.
const DEVIATIONS: f64 = 1.0;
/// Fraction of the capacity for returning requests that is given as places. The rest is a margin for
/// errors of the estimate, and for small customers' late requests: with 0.5, the worst-served of them
/// got 0.71 to 0.94 in `platform/tests/contention.rs`, with this 0.92 to 0.94.
const RETURN_UTILIZATION: f64 = 0.35;
/// Age below which the arrival rate is not extrapolated.
const MIN_RATE_AGE: Duration = Duration::from_millis(250);
/// Minimum Retry-After: a slot takes this long to become free at the shortest streams.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Times up to this far ahead are given as places. Callers wait up to a third of the time that they
/// have left, and most have 6 s in total.
const RETURN_HORIZON: Duration = Duration::from_millis(1800);
/// Longest Retry-After.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// A place is kept this long after its time.
const PLACE_TTL: Duration = Duration::from_secs(1);
/// How much earlier than told a request may come: `Retry-After` is rounded to 10 ms.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// Maximum number of pending return reservations; beyond it Retry-After carries no reservation.
const MAX_PLACES: usize = 4096;

/// Rate at which slots become free, and the arrivals that want them.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimate {
    /// Moving average of the time that a slot is held.
    mean_hold: Duration,
    /// Number of ended requests, up to [`HOLD_MEMORY`].
    holds: u32,
    /// Arrivals that can be on time.
    arrivals: Rate,
    first_arrival: Option<Instant>,
    /// Requests that were told a time beyond [`RETURN_HORIZON`].
    told_later: Rate,
    places: Places,
}

impl WaitEstimate {
    /// Records the arrival of a request that can be on time.
    pub fn on_arrival(&mut self, now: Instant) {
        self.arrivals.on_event(now);
        self.first_arrival.get_or_insert(now);
    }

    /// Arrivals per second that can be on time. The average begins at zero; without the correction
    /// for its age, a scheduler that has just started would promise slots that arrivals take.
    fn arrival_rate(&self, now: Instant) -> f64 {
        let since = |first: Instant| now.saturating_duration_since(first);
        let age = self.first_arrival.map_or(Duration::ZERO, since);
        self.arrivals.per_second(now) / Rate::settled(age.max(MIN_RATE_AGE))
    }

    /// Records that a request ended that held a slot for `held`.
    pub fn on_released(&mut self, held: Duration) {
        self.holds = (self.holds + 1).min(HOLD_MEMORY);
        self.mean_hold = (self.mean_hold * (self.holds - 1) + held) / self.holds;
    }

    /// Slots that become free per second while all of `slots` are in use; `None` if too few requests
    /// have ended.
    pub fn free_rate(&self, slots: usize) -> Option<f64> {
        let hold = self.mean_hold.as_secs_f64().max(1e-3);
        (self.holds >= MIN_HOLDS && slots > 0).then(|| slots as f64 / hold)
    }

    /// Number of queued requests that can begin within `time` if they are served oldest first.
    pub fn servable_in_order(&self, rate: f64, time: Duration) -> f64 {
        let expected = rate * time.as_secs_f64();
        expected + DEVIATIONS * expected.sqrt()
    }

    /// Number of queued requests that can begin within `time` if later arrivals go first.
    ///
    /// The queue shrinks by the difference of two random counts, whose variances add up. Arrivals
    /// beyond what is served are rejected, so they go ahead of none.
    pub fn servable_newest_first(&self, rate: f64, time: Duration, now: Instant) -> f64 {
        let time = time.as_secs_f64();
        let ahead = self.arrival_rate(now).min(rate);
        let fluctuation = DEVIATIONS * ((rate + ahead) * time).sqrt();
        (rate - ahead) * time + fluctuation
    }

    /// Slots per second that requests which can be on time leave free.
    pub fn leftover_rate(&self, rate: f64, now: Instant) -> f64 {
        (rate - self.arrival_rate(now)).max(0.0)
    }

    /// Slots per second for requests that come back when told.
    pub fn returning_rate(&self, rate: f64, now: Instant) -> f64 {
        self.leftover_rate(rate, now).max(RETURNING_RATIO * rate)
    }

    /// The Retry-After of a rejected request, while `rate` slots per second become free and
    /// `returning` requests that came back wait.
    ///
    /// Gives it the next place if its caller can wait for that. If not, the time says when the
    /// requests rejected before it are served, and no place is used up for it.
    pub fn retry_after(
        &mut self,
        ticket: ReturnTicket,
        rate: f64,
        returning: usize,
        now: Instant,
    ) -> Duration {
        let returns = (self.returning_rate(rate, now) * RETURN_UTILIZATION).max(0.1);
        let gap = Duration::from_secs_f64(1.0 / returns);
        let backlog = Duration::from_secs_f64(returning as f64 / returns);
        let first = now + MIN_RETRY_AFTER + backlog;
        let next = self
            .places
            .last
            .map_or(first, |last| (last + gap).max(first));
        if next <= now + RETURN_HORIZON && self.places.add(ticket, next, now) {
            return next.saturating_duration_since(now);
        }
        self.told_later.on_event(now);
        // The rate is averaged over 2 s, so this many were told to come later.
        let ahead = self.told_later.per_second(now) * 2.0;
        let wait = next.saturating_duration_since(now).max(RETURN_HORIZON);
        (wait + gap.mul_f64(ahead)).min(MAX_RETRY_AFTER)
    }

    /// The time that a request was told which came back now; `None` if it came too early, too late,
    /// or was told by another node.
    pub fn take_place(&mut self, ticket: &ReturnTicket, now: Instant) -> Option<Instant> {
        self.places.take(ticket, now)
    }
}

value! {
    /// Recognizes a request that comes back.
    ///
    /// A message to a scheduler has no identity of the caller's request beyond this. Two requests
    /// of a customer that are alike can take each other's place, and nothing is lost by that.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ReturnTicket {
        /// The customer; empty if it has none.
        pub customer: SmolStr,
        /// Tokens of its prompt.
        pub prompt_tokens: u64,
        /// 0 is the most urgent.
        pub urgency: u8,
    }
}

/// Times that rejected requests were told, in order.
#[derive(Clone, Debug, Default)]
struct Places {
    last: Option<Instant>,
    by_time: BTreeSet<(Instant, ReturnTicket)>,
    /// Invariant: the places of `by_time`.
    by_ticket: HashMap<ReturnTicket, BTreeSet<Instant>>,
}

impl Places {
    /// Adds a place; `false` if there are too many.
    fn add(&mut self, ticket: ReturnTicket, at: Instant, now: Instant) -> bool {
        while let Some((first, _)) = self.by_time.first() {
            if now.saturating_duration_since(*first) < PLACE_TTL {
                break;
            }
            if let Some((first, ticket)) = self.by_time.pop_first() {
                self.remove_ticket(&ticket, first);
            }
        }
        if self.by_time.len() >= MAX_PLACES {
            return false;
        }
        self.last = Some(at);
        self.by_time.insert((at, ticket.clone()));
        self.by_ticket.entry(ticket).or_default().insert(at);
        true
    }

    fn take(&mut self, ticket: &ReturnTicket, now: Instant) -> Option<Instant> {
        let at = *self.by_ticket.get(ticket)?.first()?;
        if at > now + EARLY_TOLERANCE {
            return None;
        }
        self.by_time.remove(&(at, ticket.clone()));
        self.remove_ticket(ticket, at);
        (now.saturating_duration_since(at) < PLACE_TTL).then_some(at)
    }

    fn remove_ticket(&mut self, ticket: &ReturnTicket, at: Instant) {
        if let Some(times) = self.by_ticket.get_mut(ticket) {
            times.remove(&at);
            if times.is_empty() {
                self.by_ticket.remove(ticket);
            }
        }
    }
}
