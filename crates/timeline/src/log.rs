//! The events of one node, bounded by count and bytes.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{Incarnation, NodeId, value};

use crate::event::{Event, EventClass, EventKind};
use crate::fields;
use crate::hlc::{DriftError, Hlc, HlcClock};
use crate::query::{NodeEvents, Query};

value! { copy
    /// How much one ring keeps.
    pub struct RingCapacity {
        /// Events.
        pub events: usize,
        /// Bytes, names and reasons included.
        pub bytes: usize,
    }

    /// How much a log keeps.
    pub struct LogCapacity {
        /// Each ring of changes of state.
        pub state: RingCapacity,
        /// The ring of single requests.
        pub requests: RingCapacity,
    }
}

impl Default for LogCapacity {
    /// Together at most 6 MB: under a fifth of the memory that control may use.
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

/// The last events of one node, in rings by class, each under its own lock.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    incarnation: Incarnation,
    clock: Mutex<HlcClock>,
    /// In the order of [`EventClass::ALL`].
    rings: [Mutex<Ring>; EventClass::ALL.len()],
}

#[derive(Debug)]
struct Ring {
    bound: RingCapacity,
    /// In the order of their stamps.
    events: VecDeque<Event>,
    /// Sum of [`size_of_event`] over `events`.
    bytes: usize,
    /// Events pushed out so far.
    dropped: u64,
}

impl EventLog {
    /// An empty log of `node`.
    pub fn new(node: impl Into<NodeId>, incarnation: Incarnation, bounds: LogCapacity) -> EventLog {
        let rings = EventClass::ALL.map(|class| {
            let requests = class == EventClass::Request;
            Mutex::new(Ring::new(if requests {
                bounds.requests
            } else {
                bounds.state
            }))
        });
        EventLog {
            node: node.into(),
            incarnation,
            clock: Mutex::new(HlcClock::default()),
            rings,
        }
    }

    /// Keeps an event that happened at `wall_ms`, and gives it back with its stamp.
    pub fn record(&self, kind: EventKind, wall_ms: u64) -> Event {
        let mut ring = self.ring(kind.class());
        // Stamped under the ring's lock, or a later stamp could enter first.
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

    /// Takes notice of the stamp that came with a peer's message.
    ///
    /// # Errors
    /// When the peer's clock is too far ahead to be believed.
    pub fn observe(&self, remote: Hlc, wall_ms: u64) -> Result<Hlc, DriftError> {
        lock(&self.clock).observe(remote, wall_ms)
    }

    /// The stamp to send along with a message.
    pub fn stamp(&self, wall_ms: u64) -> Hlc {
        lock(&self.clock).tick(wall_ms)
    }

    /// The events that `query` asks for, in order, the last ones when there are too many.
    pub fn query(&self, query: &Query) -> NodeEvents {
        let limit = query.limit();
        let mut events = Vec::new();
        let mut dropped = 0;
        for class in EventClass::ALL {
            let ring = self.ring(class);
            let wanted = ring
                .events
                .iter()
                .rev()
                .filter(|e| query.matches(e))
                .take(limit);
            events.extend(wanted.cloned());
            dropped += ring.dropped;
        }
        events.sort_by_key(|e| e.hlc);
        let surplus = events.len().saturating_sub(limit);
        events.drain(..surplus);
        NodeEvents {
            node: self.node.clone(),
            events,
            dropped,
        }
    }

    /// Bytes of all events kept.
    pub fn bytes(&self) -> usize {
        EventClass::ALL.iter().map(|c| self.ring(*c).bytes).sum()
    }

    /// Events kept.
    pub fn len(&self) -> usize {
        EventClass::ALL
            .iter()
            .map(|c| self.ring(*c).events.len())
            .sum()
    }

    /// Whether no event is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn ring(&self, class: EventClass) -> MutexGuard<'_, Ring> {
        lock(&self.rings[class as usize])
    }
}

impl Ring {
    fn new(bound: RingCapacity) -> Ring {
        Ring {
            bound,
            events: VecDeque::new(),
            bytes: 0,
            dropped: 0,
        }
    }

    fn push(&mut self, event: Event) {
        self.bytes += size_of_event(&event);
        self.events.push_back(event);
        while self.events.len() > self.bound.events || self.bytes > self.bound.bytes {
            let Some(old) = self.events.pop_front() else {
                break;
            };
            self.bytes -= size_of_event(&old);
            self.dropped += 1;
        }
    }
}

fn size_of_event(event: &Event) -> usize {
    let mut bytes = size_of::<Event>();
    fields::visit(&event.kind, &mut |_, field| bytes += field.bytes());
    bytes
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic elsewhere leaves whole events behind, which are still worth reading.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
