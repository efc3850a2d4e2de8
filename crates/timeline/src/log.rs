//! The event log of one node, bounded by event count and bytes.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{Incarnation, NodeId, value};

use crate::event::{Event, EventClass, EventKind};
use crate::fields;
use crate::hlc::{DriftError, Hlc, HlcClock};
use crate::query::{NodeEvents, Query};

value! { copy
    /// Capacity of one ring buffer.
    pub struct RingCapacity {
        /// Maximum number of events.
        pub events: usize,
        /// Maximum size of all events in bytes, including their strings.
        pub bytes: usize,
    }

    /// Capacity of an event log.
    pub struct LogCapacity {
        /// Capacity of each ring of state changes.
        pub state: RingCapacity,
        /// Capacity of the ring of request events.
        pub requests: RingCapacity,
    }
}

impl Default for LogCapacity {
    /// At most 6 MB in total, less than a fifth of the control plane's memory budget.
    fn default() -> LogCapacity {
        LogCapacity {
            state: RingCapacity {
                events: 2_000,
                bytes: 512 * 1024,
            },
            requests: RingCapacity {
                events: 10_000,
                bytes: 4 * 1024 * 1024,
            },
        }
    }
}

/// The most recent events of one node, in one ring buffer per class, each with its own lock.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    incarnation: Incarnation,
    clock: Mutex<HlcClock>,
    /// Indexed in the order of [`EventClass::ALL`].
    rings: [Mutex<Ring>; EventClass::ALL.len()],
}

#[derive(Debug)]
struct Ring {
    capacity: RingCapacity,
    /// Ordered by timestamp.
    events: VecDeque<Event>,
    /// Sum of [`event_bytes`] over `events`.
    bytes: usize,
    /// Number of events evicted so far.
    dropped: u64,
}

impl EventLog {
    /// Creates an empty log for `node`.
    pub fn new(
        node: impl Into<NodeId>,
        incarnation: Incarnation,
        capacity: LogCapacity,
    ) -> EventLog {
        let rings = EventClass::ALL.map(|class| {
            let is_request = class == EventClass::Request;
            Mutex::new(Ring::new(if is_request {
                capacity.requests
            } else {
                capacity.state
            }))
        });
        EventLog {
            node: node.into(),
            incarnation,
            clock: Mutex::new(HlcClock::default()),
            rings,
        }
    }

    /// Records an event that happened at `wall_ms` and returns it with its timestamp.
    pub fn record(&self, kind: EventKind, wall_ms: u64) -> Event {
        let mut ring = self.ring(kind.class());
        // Takes the timestamp under the ring's lock, otherwise a later one could be pushed first.
        let hlc = lock(&self.clock).tick(wall_ms);
        let event = Event {
            hlc,
            node: self.node.clone(),
            incarnation: self.incarnation,
            kind,
        };
        ring.push(event.clone());
        event
    }

    /// Advances the clock past the timestamp of a peer's message and returns the time of receipt.
    ///
    /// # Errors
    /// If the peer's clock is more than [`MAX_DRIFT`](crate::MAX_DRIFT) ahead of `wall_ms`.
    pub fn observe(&self, remote: Hlc, wall_ms: u64) -> Result<Hlc, DriftError> {
        lock(&self.clock).observe(remote, wall_ms)
    }

    /// Returns a new timestamp to send with a message.
    pub fn stamp(&self, wall_ms: u64) -> Hlc {
        lock(&self.clock).tick(wall_ms)
    }

    /// Returns the events that match `query`, ordered by timestamp;
    /// beyond the limit, only the newest.
    pub fn query(&self, query: &Query) -> NodeEvents {
        let limit = query.limit();
        let mut events = Vec::new();
        let mut dropped = 0;
        for class in EventClass::ALL {
            let ring = self.ring(class);
            let matching = ring
                .events
                .iter()
                .rev()
                .filter(|e| query.matches(e))
                .take(limit);
            events.extend(matching.cloned());
            dropped += ring.dropped;
        }
        events.sort_by_key(|e| e.hlc);
        let excess = events.len().saturating_sub(limit);
        events.drain(..excess);
        NodeEvents {
            node: self.node.clone(),
            events,
            dropped,
        }
    }

    /// Total size of the retained events in bytes.
    pub fn bytes(&self) -> usize {
        EventClass::ALL.iter().map(|c| self.ring(*c).bytes).sum()
    }

    /// Number of retained events.
    pub fn len(&self) -> usize {
        EventClass::ALL
            .iter()
            .map(|c| self.ring(*c).events.len())
            .sum()
    }

    /// Whether the log holds no events.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn ring(&self, class: EventClass) -> MutexGuard<'_, Ring> {
        lock(&self.rings[class as usize])
    }
}

impl Ring {
    fn new(capacity: RingCapacity) -> Ring {
        Ring {
            capacity,
            events: VecDeque::new(),
            bytes: 0,
            dropped: 0,
        }
    }

    fn push(&mut self, event: Event) {
        self.bytes += event_bytes(&event);
        self.events.push_back(event);
        while self.events.len() > self.capacity.events || self.bytes > self.capacity.bytes {
            let Some(oldest) = self.events.pop_front() else {
                break;
            };
            self.bytes -= event_bytes(&oldest);
            self.dropped += 1;
        }
    }
}

fn event_bytes(event: &Event) -> usize {
    let mut bytes = size_of::<Event>();
    fields::visit(&event.kind, &mut |_, field| bytes += field.extra_bytes());
    bytes
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Events are never partially written, so the log stays usable after a panic in another thread.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
