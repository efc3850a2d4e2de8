//! Refusing at-most-once requests at once while the table service is down.

use std::time::{Duration, Instant};

/// Failures in a row after which the store counts as down.
const FAILURE_THRESHOLD: u32 = 3;
/// While it is down, one request in this time tries it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Callers come back no earlier than this.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The store is down: the request is refused as `not-run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the table service is down; come back in {} ms", retry_after.as_millis())]
pub struct StoreUnavailable {
    /// When to come back.
    pub retry_after: Duration,
}

/// Whether claims can be made.
///
/// Without it each request would wait for a time-out of the store before it
/// is refused, and an hour's outage would hold thousands of connections.
#[derive(Debug)]
pub struct StoreCircuitBreaker {
    failures: u32,
    last_probe: Option<Instant>,
    rng: fastrand::Rng,
}

impl StoreCircuitBreaker {
    /// An open gate; give each node its own `seed`.
    pub fn new(seed: u64) -> StoreCircuitBreaker {
        StoreCircuitBreaker {
            failures: 0,
            last_probe: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Lets a request try the store, or refuses it.
    ///
    /// # Errors
    /// [`StoreUnavailable`] with a spread time to come back.
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

    /// The store answered, whatever it said.
    pub fn on_response(&mut self) {
        self.failures = 0;
        self.last_probe = None;
    }

    /// The store gave no answer or can't be reached.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            self.last_probe.get_or_insert(now);
        }
    }
}
