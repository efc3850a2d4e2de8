//! Ids, shared value types and the derive macro used by every eelgrassmill crate.
//!
//! This crate is the vocabulary of the system: no I/O and no clock. Two crates that must
//! agree on what a host report, an order or a shutdown is find it here, so that neither has
//! to depend on the other.

mod hash;
mod host;
mod ids;
mod macros;
mod outcome;
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
pub use crate::shutdown::Shutdown;
