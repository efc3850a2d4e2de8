//! The protocol between nodes: membership, dissemination, quotas and events, over gRPC.
//!
//! [`Dissemination`] is the pure state machine: the state held of each node, and what
//! to send next. [`PeerNode`] adds the clock, the server and the connections.

mod blocked_peers;
pub mod capacity;
mod config_text;
mod delay;
mod dissemination;
mod error;
mod item;
mod meter;
mod node;
mod overlay;
mod service;
mod tunnel;
mod wire;

pub use crate::blocked_peers::BlockedPeers;
pub use crate::config_text::{ConfigText, checksum};
pub use crate::dissemination::{
    Dissemination, DisseminationConfig, MAX_ORIGINS, Member, Output, Timing,
};
pub use crate::error::PeerError;
pub use crate::item::{
    Change, ConfigAnnouncement, GroupLoad, GroupRecord, HealthReport, Item, ItemKey, LeavingTarget,
    MAX_GROUP_RECORD_BYTES, MAX_SUSPECT_RECORD_BYTES, MAX_TEXT_BYTES, ModelDemand, NodeLoad,
    NodeStatus, Suspect, TargetLimit, Update, UsageReport,
};
pub use crate::meter::Traffic;
pub use crate::node::{HlcTimestamp, PeerHandler, PeerNode, PeerNodeConfig};
pub use crate::overlay::{FAN_OUT, MAX_MESH_NODES, Overlay};
pub use crate::tunnel::{HostConnection, TunnelError, TunnelReader};
pub use crate::wire::host_messages::{
    CompletedReport, CrashReport, CrashedRun, LimitReply, LimitRequest, SuspectReply,
    SuspectRequest, TrialRequest,
};
pub use crate::wire::messages::{
    Batch, Item as WireItem, Kind as WireKind, ListReply, ListRequest,
    ModelDemand as WireModelDemand, OriginUpdate, QuotaReply, QuotaRequest, ScheduleReply,
    ScheduleRequest, SlotDecision, SlotDemand, SlotEvent, SlotEventKind, SlotGrant, SlotRequest,
    TargetLimit as WireTargetLimit,
};
