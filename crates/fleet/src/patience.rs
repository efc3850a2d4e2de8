//! How long callers have been waiting when their requests come.
//!
//! Sized for bursts and restarts: callers that were rejected or cut off come back, and name as
//! their timeout what is left of the first one. Taken for new ones, they get the slots of
//! requests that can still be on time, which are then late in turn.

use std::time::Duration;

/// Classes of the histogram, of equal width.
const CLASSES: usize = 64;
/// Requests that are remembered; once there are twice as many, each counts half.
const MEMORY: f32 = 256.0;
/// Requests below which [`FIRST_FENCE`] holds.
const MIN_REQUESTS: f32 = 32.0;
/// Part of the route's timeout below which a timeout is a remainder, while little is known.
const FIRST_FENCE: f64 = 0.8;
/// Interquartile ranges below the first quartile from which on a timeout is a remainder.
const FENCE_RANGES: f64 = 1.0;

/// The timeouts that callers name, as parts of their routes' timeouts.
///
/// Callers choose their own. Those that name clearly less than most have named more before.
#[derive(Clone, Debug)]
pub struct CallerTimeouts {
    /// Requests by the part that they name.
    counts: [f32; CLASSES],
    /// Invariant: the sum of `counts`.
    total: f32,
}

impl Default for CallerTimeouts {
    fn default() -> CallerTimeouts {
        CallerTimeouts {
            counts: [0.0; CLASSES],
            total: 0.0,
        }
    }
}

impl CallerTimeouts {
    /// Takes the timeout of a request on a route with the timeout `usual`.
    pub fn on_request(&mut self, named: Duration, usual: Duration) {
        let part = part(named, usual);
        let class = (part * CLASSES as f64) as usize;
        self.counts[class.min(CLASSES - 1)] += 1.0;
        self.total += 1.0;
        if self.total >= 2.0 * MEMORY {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// How long ago the caller of a request that names `named` is likely to have sent its first
    /// attempt; zero for one that may be the first.
    pub fn since_first_attempt(&self, named: Duration, usual: Duration) -> Duration {
        let part = part(named, usual);
        if part >= self.fence() {
            return Duration::ZERO;
        }
        usual.mul_f64((self.quantile(0.5) - part).max(0.0))
    }

    /// The part of the route's timeout below which a timeout is what is left of a longer one.
    fn fence(&self) -> f64 {
        if self.total < MIN_REQUESTS {
            return FIRST_FENCE;
        }
        let (first, third) = (self.quantile(0.25), self.quantile(0.75));
        first - FENCE_RANGES * (third - first)
    }

    fn quantile(&self, of: f64) -> f64 {
        if self.total < MIN_REQUESTS {
            return 1.0;
        }
        let wanted = f64::from(self.total) * of;
        let mut below = 0.0;
        for (class, count) in self.counts.iter().enumerate() {
            let count = f64::from(*count);
            if count > 0.0 && below + count >= wanted {
                let within = (wanted - below) / count;
                return (class as f64 + within) / CLASSES as f64;
            }
            below += count;
        }
        1.0
    }
}

fn part(named: Duration, usual: Duration) -> f64 {
    named.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON)
}
