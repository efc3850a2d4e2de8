//! Stand-ins for engines, plain services and the platform, with faults that are switched over HTTP.
//!
//! They exist for tests and the demonstration. Everything runs on a runtime of
//! its own within the process that starts it; each host listens by itself.

mod address;
mod answer;
mod builder;
mod control;
mod delivery;
mod engine;
mod faults;
mod host;
mod http;
mod meta;
mod plain;
mod platform;
mod platform_http;
mod prefix;
mod prompt;
mod runs;
mod server;
mod slots;
mod spec;
mod target;
mod world;

pub use crate::address::free_address;
pub use crate::answer::{expected_answer, expected_plain_answer, expected_token};
pub use crate::builder::{Standins, StandinsBuilder, StartError};
pub use crate::engine::KILLER_MARK;
pub use crate::faults::{Fault, PlatformFault};
pub use crate::prefix::{CacheChange, CacheEvent, CacheEvents, prefix_names};
pub use crate::runs::{OrderSeen, Run, RunEnd, RunReport};
pub use crate::spec::{HostSpec, Pace, engine_specs, plain_specs};
