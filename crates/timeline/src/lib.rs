//! The timeline: bounded per-node event logs, ordered by a hybrid logical clock and merged.
//!
//! Does no I/O and reads no clock: callers pass in wall times. Only [`EventLog`] takes locks.

mod event;
mod fields;
mod hlc;
mod log;
mod query;
mod text;

pub use crate::event::{Event, EventClass, EventKind};
pub use crate::hlc::{DriftError, Hlc, HlcClock, MAX_DRIFT};
pub use crate::log::{EventLog, LogCapacity, RingCapacity};
pub use crate::query::{DEFAULT_LIMIT, MAX_LIMIT, NodeEvents, Query, Timeline, merge};
