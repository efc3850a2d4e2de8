//! Targets: the adapter to model engines and to plain services.
//!
//! [`HostControl`] probes hosts and gives them orders, blocking, one connection
//! a call. [`TargetClient`] carries requests and token streams over kept
//! connections, on the caller's tokio runtime.

mod blocked_targets;
mod client;
mod control;
mod error;
mod pool;
mod read_limit;
mod relay;
mod response;
mod stream;

pub use crate::blocked_targets::{BlockedTargets, LinkFault};
pub use crate::client::{TargetClient, TargetClientBuilder, TargetRequest};
pub use crate::control::{CacheChange, CacheEvent, CacheEvents, HostControl, HostControlBuilder};
pub use crate::error::{BodyError, SendError, TargetError};
pub use crate::relay::{Relay, RelayEnd, RelayError, RelayRequest, RelayStream};
pub use crate::response::TargetResponse;
pub use crate::stream::{StreamEvent, TokenEvent, TokenStream};
