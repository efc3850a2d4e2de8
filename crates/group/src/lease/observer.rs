//! Detects expired leases by observing other nodes' lease rows.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{NodeId, RowVersion};

use crate::lease::LeaseTiming;

#[derive(Clone, Copy, Debug)]
struct Observation {
    row: RowVersion,
    /// When the first read that returned this version completed.
    first: Instant,
    /// When the newest read that returned this version completed.
    last: Instant,
}

/// One node's observations of the other nodes' lease rows.
///
/// Rows carry no wall-clock time. A lease has expired only when this observer has seen the same
/// row version for the term plus the clock margin. A gap between reads restarts the observation:
/// after an outage of the table service every row looks old although its holder could not renew
/// it, and without this rule the first reader would take over at once.
#[derive(Clone, Debug)]
pub struct LeaseObserver {
    timing: LeaseTiming,
    seen: BTreeMap<NodeId, Observation>,
}

impl LeaseObserver {
    /// Creates an observer without observations.
    pub fn new(timing: LeaseTiming) -> LeaseObserver {
        LeaseObserver {
            timing,
            seen: BTreeMap::new(),
        }
    }

    /// The lease durations in use.
    pub fn timing(&self) -> LeaseTiming {
        self.timing
    }

    /// Records a row version returned by a read that completed at `now`.
    pub fn observe(&mut self, node: &NodeId, row: RowVersion, now: Instant) {
        let fresh = Observation {
            row,
            first: now,
            last: now,
        };
        let observation = self.seen.entry(node.clone()).or_insert(fresh);
        // Reads may complete out of order; an older version carries no information.
        if row < observation.row {
            return;
        }
        let gap = now.saturating_duration_since(observation.last);
        if row > observation.row || gap > self.timing.max_observation_gap {
            *observation = fresh;
        } else {
            observation.last = observation.last.max(now);
        }
    }

    /// Removes a node whose row was deleted.
    pub fn forget(&mut self, node: &str) {
        self.seen.remove(node);
    }

    /// Whether the lease with this row version has expired.
    pub fn has_expired(&self, node: &str, row: RowVersion) -> bool {
        let Some(observation) = self.seen.get(node) else {
            return false;
        };
        let expiry = self.timing.term + self.timing.clock_margin;
        observation.row == row && observation.last.duration_since(observation.first) >= expiry
    }
}
