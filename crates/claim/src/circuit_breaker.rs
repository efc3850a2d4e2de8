//! Circuit breaker that rejects at-most-once requests at once while the table service is down.

use std::time::{Duration, Instant};

/// Consecutive failures that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;
/// While the circuit is open, one request per interval is admitted as a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest retry delay given to rejected callers.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The table service is unavailable: the request is rejected as `not-run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the table service is unavailable; retry in {} ms", retry_after.as_millis())]
pub struct StoreUnavailable {
    /// Delay before the caller may retry.
    pub retry_after: Duration,
}

/// Circuit breaker for the table service that stores claims.
///
/// Without it each request would wait for a table timeout before it is rejected,
/// and an hour's outage would hold thousands of connections open.
#[derive(Debug)]
pub struct StoreCircuitBreaker {
    failures: u32,
    last_probe: Option<Instant>,
    rng: fastrand::Rng,
}

impl StoreCircuitBreaker {
    /// Creates a closed circuit. Each node needs its own `seed` for the retry jitter.
    pub fn new(seed: u64) -> StoreCircuitBreaker {
        StoreCircuitBreaker {
            failures: 0,
            last_probe: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Admits a request to the store or rejects it.
    ///
    /// # Errors
    /// [`StoreUnavailable`] with a jittered retry delay.
    pub fn admit(&mut self, now: Instant) -> Result<(), StoreUnavailable> {
        let recently_probed = |at: Instant| now.saturating_duration_since(at) < PROBE_INTERVAL;
        if self.failures >= FAILURE_THRESHOLD && self.last_probe.is_some_and(recently_probed) {
            let retry_after = MIN_RETRY_AFTER.mul_f64(1.0 + self.rng.f64());
            return Err(StoreUnavailable { retry_after });
        }
        if self.failures >= FAILURE_THRESHOLD {
            self.last_probe = Some(now);
        }
        Ok(())
    }

    /// Records any response of the store, including a conflict, and closes the circuit.
    pub fn on_response(&mut self) {
        self.failures = 0;
        self.last_probe = None;
    }

    /// Records that the store did not respond or could not be reached.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            self.last_probe.get_or_insert(now);
        }
    }
}
