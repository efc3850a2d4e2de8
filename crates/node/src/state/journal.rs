//! Where a change of state is noted: the time line, and one log line of the same name.

use std::time::{SystemTime, UNIX_EPOCH};

use eelgrassmill_base::{Incarnation, NodeId};
use eelgrassmill_timeline::{EventClass, EventKind, EventLog, Hlc, LogCapacity, NodeEvents, Query};

/// Milliseconds since 1970 by this machine's wall clock.
///
/// It orders events for people and names incarnations; no lease or promise rests on it.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The events of this node.
pub(crate) struct Journal {
    log: EventLog,
}

impl Journal {
    pub(crate) fn new(node: NodeId, incarnation: Incarnation) -> Journal {
        Journal {
            log: EventLog::new(node, incarnation, LogCapacity::default()),
        }
    }

    /// Notes an event; changes of state are logged too, single requests are not.
    pub(crate) fn note(&self, kind: EventKind) {
        let event = self.log.record(kind, wall_ms());
        if event.kind.class() != EventClass::Request {
            tracing::info!(event = event.kind.name(), "{event}");
        }
    }

    /// The stamp to send along with a message.
    pub(crate) fn stamp(&self) -> Hlc {
        self.log.stamp(wall_ms())
    }

    /// Takes notice of a stamp that came with a message.
    ///
    /// A stamp too far ahead is ignored: one node with a wrong clock must not
    /// push the time line of all others into the future.
    pub(crate) fn observe(&self, remote: Hlc) {
        let _ = self.log.observe(remote, wall_ms());
    }

    pub(crate) fn query(&self, query: &Query) -> NodeEvents {
        self.log.query(query)
    }
}
