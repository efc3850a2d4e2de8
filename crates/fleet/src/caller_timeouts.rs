//! Estimates how long callers have already been waiting, from their timeouts.
//!
//! After a burst or restart, callers that were rejected or disconnected retry, with the rest of
//! their first timeout as the timeout. Treated as new requests, they would take the slots of
//! requests that can still be on time and make those late as well.

use std::time::Duration;

/// Buckets of the histogram, of equal width.
const BUCKETS: usize = 64;
/// Once the histogram counts twice this many requests, all counts are halved.
const MEMORY: f32 = 256.0;
/// Number of requests below which [`FIRST_FENCE`] applies.
const MIN_REQUESTS: f32 = 32.0;
/// Fraction of the route's timeout below which a timeout is a remainder, until enough requests
/// were seen.
const FIRST_FENCE: f64 = 0.8;
/// Distance of the outlier fence below the first quartile, in interquartile ranges. A timeout
/// below the fence is a remainder.
const FENCE_RANGES: f64 = 1.0;

/// Histogram of the timeouts that callers send, as fractions of their routes' timeouts.
///
/// Callers choose their own timeouts. One that is clearly shorter than most is the remainder of a
/// longer one.
#[derive(Clone, Debug)]
pub struct CallerTimeouts {
    /// Requests by fraction.
    counts: [f32; BUCKETS],
    /// Invariant: the sum of `counts`.
    total: f32,
}

impl Default for CallerTimeouts {
    fn default() -> CallerTimeouts {
        CallerTimeouts {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl CallerTimeouts {
    /// Records the timeout of a request on a route with the timeout `route_timeout`.
    pub fn on_request(&mut self, timeout: Duration, route_timeout: Duration) {
        let fraction = fraction(timeout, route_timeout);
        let bucket = (fraction * BUCKETS as f64) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        if self.total >= 2.0 * MEMORY {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Estimated time since the first attempt of a caller whose request has the timeout `timeout`;
    /// zero if this may be the first attempt.
    pub fn since_first_attempt(&self, timeout: Duration, route_timeout: Duration) -> Duration {
        let fraction = fraction(timeout, route_timeout);
        if fraction >= self.fence() {
            return Duration::ZERO;
        }
        route_timeout.mul_f64((self.quantile(0.5) - fraction).max(0.0))
    }

    /// Fraction of the route's timeout below which a timeout is the remainder of a longer one.
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
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = f64::from(*count);
            if count > 0.0 && below + count >= wanted {
                let within = (wanted - below) / count;
                return (bucket as f64 + within) / BUCKETS as f64;
            }
            below += count;
        }
        1.0
    }
}

fn fraction(timeout: Duration, route_timeout: Duration) -> f64 {
    timeout.as_secs_f64() / route_timeout.as_secs_f64().max(f64::EPSILON)
}
