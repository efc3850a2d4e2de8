//! How long missing hosts stay away, learned from those that came back.

use std::time::Duration;

use eelgrassmill_base::value;

/// Upper bounds of the classes by which absences are counted, in milliseconds.
const BOUNDS_MS: [u64; 18] = [
    1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000, 48_000, 64_000,
    96_000, 128_000, 256_000, 512_000, 1_024_000, 4_096_000,
];
/// What is believed before anything was seen, as (class, count): pauses, restarts, long repairs.
const PRIOR: [(usize, u32); 5] = [(2, 1), (3, 1), (5, 1), (11, 2), (14, 1)];
/// Absences believed never to end, before anything was seen.
const PRIOR_NEVER: u32 = 1;
/// Counts are halved at this sum, so that the newest thousand or so absences decide.
const FORGET_AT: u32 = 2_000;

value! { copy
    /// What went missing.
    pub enum FailureScope {
        /// One host, or a few.
        Isolated,
        /// A large part of a fabric domain at once.
        Correlated,
    }
}

value! { copy
    /// What a return is worth.
    pub enum Recovery {
        /// The host still holds what it held, so its group is whole at once.
        Intact,
        /// The host is fit to be a member again, whether or not it holds anything.
        Reusable,
    }
}

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BOUNDS_MS.len()],
    never: u32,
}

/// How long absences last.
///
/// A fixed wait is wrong on one side or the other: hosts that are paused come
/// back within seconds, those that restart within minutes, broken ones never,
/// and which is usual differs from fleet to fleet.
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
    /// Believes the prior only.
    pub fn new() -> RecoveryModel {
        RecoveryModel {
            isolated: Recoveries::prior(),
            correlated: Recoveries::prior(),
        }
    }

    /// Notes that an absence ended after `lasted`, in a return of this worth.
    pub fn record(&mut self, scope: FailureScope, recovery: Recovery, lasted: Duration) {
        let recoveries = self.recoveries_mut(scope);
        recoveries.reusable.add(lasted);
        match recovery {
            Recovery::Intact => recoveries.intact.add(lasted),
            // A host that comes back empty does not make its group whole again.
            Recovery::Reusable => recoveries.intact.add_never(),
        }
    }

    /// Notes that a host that was missing has left the host list.
    pub fn record_permanent(&mut self, scope: FailureScope) {
        let recoveries = self.recoveries_mut(scope);
        recoveries.reusable.add_never();
        recoveries.intact.add_never();
    }

    /// How long after the start of an absence to act, if acting takes `cost` until the group
    /// is whole and a return of this worth would make it whole at once.
    ///
    /// The answer has the least expected downtime over all absences seen: those
    /// shorter than it cost themselves, the rest it plus `cost`.
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
    fn add(&mut self, lasted: Duration) {
        self.counts[class_of(lasted)] += 1;
        self.forget();
    }

    fn add_never(&mut self) {
        self.never += 1;
        self.forget();
    }

    fn prior() -> Histogram {
        let mut counts = [0; BOUNDS_MS.len()];
        for (class, count) in PRIOR {
            counts[class] = count;
        }
        Histogram {
            counts,
            never: PRIOR_NEVER,
        }
    }

    fn forget(&mut self) {
        let sum: u32 = self.counts.iter().sum::<u32>() + self.never;
        if sum < FORGET_AT {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.never = (self.never / 2).max(1);
    }

    /// Sum over all absences of the downtime in milliseconds, if acting after `wait`.
    fn expected_downtime(&self, wait: u64, cost: u64) -> u64 {
        let mut sum = u64::from(self.never) * (wait + cost);
        let mut lower = 0;
        for (count, upper) in self.counts.iter().zip(BOUNDS_MS) {
            let lasted = if upper <= wait {
                (lower + upper) / 2
            } else {
                wait + cost
            };
            sum += u64::from(*count) * lasted;
            lower = upper;
        }
        sum
    }
}

fn class_of(lasted: Duration) -> usize {
    let ms = millis(lasted);
    let class = BOUNDS_MS.partition_point(|upper| *upper < ms);
    class.min(BOUNDS_MS.len() - 1)
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
