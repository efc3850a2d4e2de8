//! Settings of the repair policy.

use std::time::Duration;

use eelgrassmill_config::RepairWeight;

use crate::lease::LeaseTiming;

/// How a broken group is mended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStrategy {
    /// Weighs waiting, spares, joining, yielding and moving; what the product uses.
    CostBased,
    /// Waits for the missing host until the host list drops it; for comparison.
    WaitForReturn,
    /// Takes the first spare as soon as a host is missing; for comparison.
    FirstSpare,
}

/// Settings of the planner; see [`RepairPolicy::new`] for the defaults.
#[derive(Clone, Debug)]
pub struct RepairPolicy {
    /// How a broken group is mended.
    pub strategy: RepairStrategy,
    /// What is saved first.
    pub weight: RepairWeight,
    /// Silence after which a host counts as missing.
    pub detection_timeout: Duration,
    /// Assumed time from ending a group until it is whole again when all weights are warm.
    pub reform_time: Duration,
    /// Most hosts that load weights at once.
    pub max_loads: usize,
    /// Most transactions in one round.
    pub max_transactions: usize,
    /// Time between two sendings of an order that hasn't shown effect.
    pub resend_interval: Duration,
    /// Time in which every node learns that a group serves. Until then another one that
    /// keeps the floor is not ended for it.
    pub propagation_delay: Duration,
    /// Least time that a group which served keeps its members after it began to end, so
    /// that every node has stopped routing to it.
    pub min_drain: Duration,
    /// Longest time that requests in progress may keep an ending group.
    pub max_drain: Duration,
    /// How long a group that ended is expected to be formed again from the same hosts.
    pub reform_timeout: Duration,
    /// How long a group has been down before one is formed over several fabric domains.
    pub span_after: Duration,
    /// How long a service is short of its need before another gives up a group that serves.
    pub preempt_after: Duration,
    /// Loading that takes longer than this is counted as failed.
    pub load_timeout: Duration,
    /// Durations of leases and orders.
    pub timing: LeaseTiming,
}

impl RepairPolicy {
    /// The defaults for a weight.
    pub fn new(weight: RepairWeight) -> RepairPolicy {
        RepairPolicy {
            strategy: RepairStrategy::CostBased,
            weight,
            detection_timeout: Duration::from_secs(2),
            reform_time: Duration::from_millis(1500),
            max_loads: 16,
            max_transactions: 32,
            resend_interval: Duration::from_secs(1),
            propagation_delay: Duration::from_secs(1),
            min_drain: Duration::from_secs(3),
            max_drain: Duration::from_secs(60),
            reform_timeout: Duration::from_secs(20),
            span_after: Duration::ZERO,
            preempt_after: Duration::from_secs(30),
            load_timeout: Duration::from_secs(900),
            timing: LeaseTiming::default(),
        }
    }

    /// The same with another way to mend, for comparison.
    pub fn with_strategy(mut self, strategy: RepairStrategy) -> RepairPolicy {
        self.strategy = strategy;
        self
    }
}
