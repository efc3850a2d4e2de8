//! Ids, shared value types and the derive macro used by every eelgrassmill crate.
//!
//! Types that several crates share, such as host reports, orders and shutdown deadlines, are
//! defined here so that those crates need not depend on each other. The crate does no I/O and
//! reads no clock.

mod hash;
mod host;
mod ids;
mod macros;
mod outcome;
mod position;
mod scope;
mod shutdown;

pub use crate::hash::{rendezvous, stable_hash};
pub use crate::host::{
    HostEntry, HostReport, HostState, Order, OrderKind, OrderReply, Placement, TargetKind,
};
pub use crate::ids::{
    ConfigVersion, Epoch, FabricDomain, FailureDomain, Fence, GroupId, HostId, IdempotencyKey,
    Incarnation, ModelName, ModelVersion, NodeId, Region, RequestId, RowVersion, ServiceName,
    SubmitId, TenantId, Tokens, TxnId,
};
pub use crate::outcome::{Outcome, Urgency};
pub use crate::position::{StoreEra, StorePosition};
pub use crate::scope::SchedulerScope;
pub use crate::shutdown::Shutdown;
