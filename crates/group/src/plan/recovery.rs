//! Model of how long hosts stay missing, learned from earlier failures.

use std::time::Duration;

use eelgrassmill_base::value;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [u64; 18] = [
    1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000, 48_000, 64_000,
    96_000, 128_000, 256_000, 512_000, 1_024_000, 4_096_000,
];
/// Initial counts as (bucket, count): pauses, restarts, long repairs.
const PRIOR: [(usize, u32); 5] = [(2, 1), (3, 1), (5, 1), (11, 2), (14, 1)];
/// Initial count of permanent failures.
const PRIOR_PERMANENT: u32 = 1;
/// Sum at which all counts are halved, so that about the last thousand failures decide.
const DECAY_THRESHOLD: u32 = 2_000;

value! { copy
    /// Extent of a failure.
    pub enum FailureScope {
        /// One host or a few.
        Isolated,
        /// Many hosts of a fabric domain at once.
        Correlated,
    }
}

value! { copy
    /// How a host recovers.
    pub enum Recovery {
        /// The host kept its state, so its group is whole at once.
        Intact,
        /// The host can be a member again, with or without its state.
        Reusable,
    }
}

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BOUNDS_MS.len()],
    permanent: u32,
}

/// Distribution of failure durations.
///
/// No fixed wait fits all cases: paused hosts return within seconds, restarted ones within
/// minutes, broken ones never, and the mix differs between fleets.
#[derive(Clone, Debug)]
pub struct RecoveryModel {
    isolated: Recoveries,
    correlated: Recoveries,
}

#[derive(Clone, Debug)]
struct Recoveries {
    intact: Histogram,
    reusable: Histogram,
}

impl RecoveryModel {
    /// Creates a model with the initial counts only.
    pub fn new() -> RecoveryModel {
        RecoveryModel {
            isolated: Recoveries::prior(),
            correlated: Recoveries::prior(),
        }
    }

    /// Records that a host recovered after `outage`.
    pub fn record(&mut self, scope: FailureScope, recovery: Recovery, outage: Duration) {
        let recoveries = self.recoveries_mut(scope);
        recoveries.reusable.add(outage);
        match recovery {
            Recovery::Intact => recoveries.intact.add(outage),
            // A host that lost its state doesn't make its group whole again.
            Recovery::Reusable => recoveries.intact.add_permanent(),
        }
    }

    /// Records that a missing host has left the host list.
    pub fn record_permanent(&mut self, scope: FailureScope) {
        let recoveries = self.recoveries_mut(scope);
        recoveries.reusable.add_permanent();
        recoveries.intact.add_permanent();
    }

    /// How long to wait for a recovery before acting, if acting takes `cost` until the group is
    /// whole and such a recovery would make it whole at once.
    ///
    /// The result minimizes the expected downtime over all recorded failures: one shorter than the
    /// wait costs its own duration, any other the wait plus `cost`.
    pub fn optimal_wait(
        &self,
        scope: FailureScope,
        recovery: Recovery,
        cost: Duration,
    ) -> Duration {
        let recoveries = self.recoveries(scope);
        let histogram = match recovery {
            Recovery::Intact => &recoveries.intact,
            Recovery::Reusable => &recoveries.reusable,
        };
        let cost_ms = millis(cost);
        let waits = std::iter::once(0).chain(BOUNDS_MS);
        let best = waits.min_by_key(|wait| histogram.expected_downtime(*wait, cost_ms));
        Duration::from_millis(best.unwrap_or(0))
    }

    fn recoveries(&self, scope: FailureScope) -> &Recoveries {
        match scope {
            FailureScope::Isolated => &self.isolated,
            FailureScope::Correlated => &self.correlated,
        }
    }

    fn recoveries_mut(&mut self, scope: FailureScope) -> &mut Recoveries {
        match scope {
            FailureScope::Isolated => &mut self.isolated,
            FailureScope::Correlated => &mut self.correlated,
        }
    }
}

impl Default for RecoveryModel {
    fn default() -> RecoveryModel {
        RecoveryModel::new()
    }
}

impl Recoveries {
    fn prior() -> Recoveries {
        Recoveries {
            intact: Histogram::prior(),
            reusable: Histogram::prior(),
        }
    }
}

impl Histogram {
    fn add(&mut self, outage: Duration) {
        self.counts[bucket_of(outage)] += 1;
        self.decay();
    }

    fn add_permanent(&mut self) {
        self.permanent += 1;
        self.decay();
    }

    fn prior() -> Histogram {
        let mut counts = [0; BOUNDS_MS.len()];
        for (bucket, count) in PRIOR {
            counts[bucket] = count;
        }
        Histogram {
            counts,
            permanent: PRIOR_PERMANENT,
        }
    }

    fn decay(&mut self) {
        let sum: u32 = self.counts.iter().sum::<u32>() + self.permanent;
        if sum < DECAY_THRESHOLD {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.permanent = (self.permanent / 2).max(1);
    }

    /// Total downtime over all recorded failures when acting after `wait`, in milliseconds.
    fn expected_downtime(&self, wait: u64, cost: u64) -> u64 {
        let mut sum = u64::from(self.permanent) * (wait + cost);
        let mut lower = 0;
        for (count, upper) in self.counts.iter().zip(BOUNDS_MS) {
            let outage = if upper <= wait {
                (lower + upper) / 2
            } else {
                wait + cost
            };
            sum += u64::from(*count) * outage;
            lower = upper;
        }
        sum
    }
}

fn bucket_of(outage: Duration) -> usize {
    let ms = millis(outage);
    let bucket = BOUNDS_MS.partition_point(|upper| *upper < ms);
    bucket.min(BOUNDS_MS.len() - 1)
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
