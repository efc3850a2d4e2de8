//! Ids, shared value types and the derive macro used by every eelgrassmill crate.
//!
//! This crate is the vocabulary of the system and nothing else: no I/O, no clock, and of
//! policy only the rule of [`Shutdown`], which all programs share. Two crates that must agree on what a host report or an
//! order is find it here, so that neither has to depend on the other.

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
