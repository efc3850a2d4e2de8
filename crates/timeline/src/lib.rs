//! The time line: bounded event logs ordered by a hybrid logical clock, merged over all nodes.
//!
//! Pure but for the locks of [`EventLog`]: wall times are passed in.

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
