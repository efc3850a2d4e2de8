//! Repair policy settings.

use std::time::Duration;

use eelgrassmill_config::RepairObjective;

use crate::lease::LeaseTiming;

/// How a broken group is repaired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStrategy {
    /// Compares the expected downtime of waiting, spares, merging and preemption; the default.
    CostBased,
    /// Waits for the missing host until it leaves the host list; a baseline.
    WaitForReturn,
    /// Takes the first spare as soon as a host is missing; a baseline.
    FirstSpare,
}

/// Settings of the planner; see [`RepairPolicy::new`] for the defaults.
#[derive(Clone, Debug)]
pub struct RepairPolicy {
    /// How a broken group is repaired.
    pub strategy: RepairStrategy,
    /// Whether downtime or stranded accelerators are minimized first.
    pub weight: RepairObjective,
    /// Time without a probe response after which a host counts as missing.
    pub detection_timeout: Duration,
    /// Assumed time from ending a group until it is whole again if all its hosts are warm.
    pub reform_time: Duration,
    /// Maximum number of hosts that load weights concurrently.
    pub max_loads: usize,
    /// Maximum number of transactions in one round.
    pub max_transactions: usize,
    /// Interval at which an order without visible effect is sent again.
    pub resend_interval: Duration,
    /// Time until every node knows that a group serves. Until then no other group that is
    /// needed for the floor is ended in its favor.
    pub propagation_delay: Duration,
    /// Minimum time that an ending group which served keeps its members, so that every node
    /// has stopped routing to it.
    pub min_drain: Duration,
    /// Maximum time that an ending group waits for requests in progress.
    pub max_drain: Duration,
    /// How long an ended group may be re-formed from the same hosts.
    pub reform_timeout: Duration,
    /// How long a group must be down before one is formed across several fabric domains.
    pub span_after: Duration,
    /// How long a service must be short of required groups before it preempts another's group.
    pub preempt_after: Duration,
    /// Loading that takes longer counts as failed.
    pub load_timeout: Duration,
    /// Durations of leases and orders.
    pub timing: LeaseTiming,
}

impl RepairPolicy {
    /// The defaults for a repair weight.
    pub fn new(weight: RepairObjective) -> RepairPolicy {
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

    /// Sets another repair strategy, for comparison.
    pub fn with_strategy(mut self, strategy: RepairStrategy) -> RepairPolicy {
        self.strategy = strategy;
        self
    }
}
