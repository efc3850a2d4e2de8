//! The observer's side of leases.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{NodeId, RowVersion};

use crate::lease::LeaseTiming;

#[derive(Clone, Copy, Debug)]
struct Stretch {
    row: RowVersion,
    /// When the answer of the first read with this version arrived.
    first: Instant,
    /// When the answer of the newest read with this version arrived.
    last: Instant,
}

/// What one node has itself seen of the other nodes' lease rows.
///
/// There is no wall clock in a row. A lease counts as lapsed only when this
/// observer has seen the same row version over a stretch of term plus margin.
/// A gap between sightings starts the stretch anew: after an outage of the
/// table service every row looks old, though its holder had no chance to renew
/// it, and without this rule the first reader would take over at once.
#[derive(Clone, Debug)]
pub struct LeaseObserver {
    timing: LeaseTiming,
    seen: BTreeMap<NodeId, Stretch>,
}

impl LeaseObserver {
    /// An observer that has seen nothing.
    pub fn new(timing: LeaseTiming) -> LeaseObserver {
        LeaseObserver {
            timing,
            seen: BTreeMap::new(),
        }
    }

    /// The durations it counts with.
    pub fn timing(&self) -> LeaseTiming {
        self.timing
    }

    /// Notes a row version whose reading was answered at `now`.
    pub fn observe(&mut self, node: &NodeId, row: RowVersion, now: Instant) {
        let fresh = Stretch {
            row,
            first: now,
            last: now,
        };
        let stretch = self.seen.entry(node.clone()).or_insert(fresh);
        // Two reads may be answered out of order; an old answer says nothing new.
        if row < stretch.row {
            return;
        }
        let gap = now.saturating_duration_since(stretch.last);
        if row > stretch.row || gap > self.timing.max_observation_gap {
            *stretch = fresh;
        } else {
            stretch.last = stretch.last.max(now);
        }
    }

    /// Forgets a node whose row is gone.
    pub fn forget(&mut self, node: &str) {
        self.seen.remove(node);
    }

    /// Whether the lease with this row version has lapsed.
    pub fn has_expired(&self, node: &str, row: RowVersion) -> bool {
        let Some(stretch) = self.seen.get(node) else {
            return false;
        };
        let needed = self.timing.term + self.timing.clock_margin;
        stretch.row == row && stretch.last.duration_since(stretch.first) >= needed
    }
}
