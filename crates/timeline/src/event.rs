//! Event types: every state change that is relevant to one of the system's guarantees.

use eelgrassmill_base::{
    ConfigVersion, Epoch, Fence, GroupId, HostId, Incarnation, ModelVersion, NodeId, OrderKind,
    Region, RequestId, ServiceName, SubmitId, TenantId, Urgency, value,
};
use smol_str::SmolStr;

use crate::hlc::Hlc;

value! { wire
    /// A recorded event.
    pub struct Event {
        /// Timestamp; orders events causally.
        pub hlc: Hlc,
        /// The node that recorded it.
        pub node: NodeId,
        /// Incarnation of that node, one per start of its process.
        pub incarnation: Incarnation,
        /// Type and fields.
        #[serde(flatten)]
        pub kind: EventKind,
    }

    /// Type and fields of an event.
    #[serde(tag = "event", rename_all = "kebab-case")]
    pub enum EventKind {
        /// This node committed a submitted configuration as the next version.
        ConfigAccepted {
            /// The version assigned to it.
            version: ConfigVersion,
            /// Who submitted it.
            author: SmolStr,
            /// ID of the submission.
            submit: SubmitId,
        },
        /// This node applied a configuration version.
        ConfigApplied {
            /// The previous version.
            from: ConfigVersion,
            /// The version now in effect.
            to: ConfigVersion,
        },
        /// A configuration version was rejected by this node.
        ConfigRefused {
            /// The rejected version.
            version: ConfigVersion,
            /// The reason.
            reason: SmolStr,
        },
        /// This node acquired its lease.
        LeaseTaken {},
        /// This node lost its lease and sends no more orders.
        LeaseLost {
            /// The reason.
            reason: SmolStr,
        },
        /// This node became the planner of its region, which decides group formations.
        PlannerTaken {
            /// The region.
            region: Region,
            /// The previous planner, if any.
            from: Option<NodeId>,
        },
        /// This node is no longer the planner of its region.
        PlannerLost {
            /// The region.
            region: Region,
        },
        /// A peer was discovered and is reachable.
        NodeJoined {
            /// The peer.
            peer: NodeId,
        },
        /// A peer left or stopped responding.
        NodeLeft {
            /// The peer.
            peer: NodeId,
            /// The reason.
            reason: SmolStr,
        },
        /// This node began a graceful shutdown: callers are sent to other nodes,
        /// running requests may finish.
        NodeStopping {},
        /// A group formation was committed; its members have not been sent orders yet.
        GroupForming {
            /// The group.
            group: GroupId,
            /// Its new epoch.
            epoch: Epoch,
            /// The model version to serve.
            version: ModelVersion,
            /// Its members, with the lead first.
            members: Vec<HostId>,
        },
        /// Recent reports confirm every member; the group serves requests.
        GroupWhole {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
        },
        /// The group does not serve requests.
        GroupBroken {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
            /// The member that caused it, if any.
            host: Option<HostId>,
            /// The reason.
            reason: SmolStr,
        },
        /// A group is being dissolved; its hosts are ordered to leave it.
        GroupEnding {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
            /// The reason.
            reason: SmolStr,
        },
        /// A host was assigned to a group.
        HostTaken {
            /// The host.
            host: HostId,
            /// The group.
            group: GroupId,
            /// The group's epoch.
            epoch: Epoch,
        },
        /// A host was released from its group.
        HostFreed {
            /// The host.
            host: HostId,
            /// The group it was in.
            group: GroupId,
            /// Why it is known to be free: its own report, or
            /// `outlived` when its orders have expired.
            reason: SmolStr,
        },
        /// An order is about to be sent to a host.
        OrderSent {
            /// The host.
            host: HostId,
            /// The group that the order is about.
            group: GroupId,
            /// The group's epoch.
            epoch: Epoch,
            /// The fencing token.
            fence: Fence,
            /// The kind of order.
            order: OrderKind,
        },
        /// The host executed an order.
        OrderConfirmed {
            /// The host.
            host: HostId,
            /// The group that the order is about.
            group: GroupId,
            /// The fencing token.
            fence: Fence,
        },
        /// The host rejected an order, or its sender lost its lease in the meantime.
        OrderRefused {
            /// The host.
            host: HostId,
            /// The group that the order is about.
            group: GroupId,
            /// The fencing token.
            fence: Fence,
            /// The reason.
            reason: SmolStr,
        },
        /// A target is draining and gets no new requests.
        TargetLeaving {
            /// The target's host.
            host: HostId,
            /// What caused it: the host list, the target or the configuration.
            reason: SmolStr,
        },
        /// A target became available, again or for the first time.
        TargetBack {
            /// The target's host.
            host: HostId,
        },
        /// A request was running on a target that crashed.
        SuspectNoted {
            /// The request.
            request: RequestId,
            /// The target's host.
            host: HostId,
            /// Number of crashes so far.
            crashes: u32,
        },
        /// Requests like this one crash targets and are rejected from now on.
        SuspectNamed {
            /// The request that confirmed the suspicion.
            request: RequestId,
            /// Number of crashes during which it was running.
            crashes: u32,
        },
        /// An at-most-once request was claimed.
        ClaimMade {
            /// The request.
            request: RequestId,
            /// The service.
            service: ServiceName,
        },
        /// A claim was settled.
        ClaimSettled {
            /// The request.
            request: RequestId,
            /// The outcome: answered, not run or unknown.
            outcome: SmolStr,
        },
        /// A request was admitted.
        RequestAdmitted {
            /// The request.
            request: RequestId,
            /// Its tenant.
            tenant: TenantId,
            /// Its service.
            service: ServiceName,
            /// Its urgency.
            urgency: Urgency,
        },
        /// A request was sent to a target.
        RequestDispatched {
            /// The request.
            request: RequestId,
            /// The target's host.
            host: HostId,
            /// The group, for model services.
            group: Option<GroupId>,
            /// Number of the attempt, starting at 1.
            attempt: u32,
        },
        /// An attempt failed and will be retried.
        RequestRetried {
            /// The request.
            request: RequestId,
            /// The attempt that failed.
            attempt: u32,
            /// The reason.
            reason: SmolStr,
        },
        /// The complete response was sent to the caller.
        RequestAnswered {
            /// The request.
            request: RequestId,
            /// HTTP status of the response.
            status: u16,
            /// Time since admission, in milliseconds.
            took_ms: u64,
        },
        /// The request was rejected or failed, and the caller got an error response.
        RequestRefused {
            /// The request.
            request: RequestId,
            /// HTTP status of the response.
            status: u16,
            /// `not-run` or `unknown`.
            outcome: SmolStr,
            /// The reason.
            reason: SmolStr,
        },
    }
}

/// Class of an event, which selects the ring buffer that stores it.
///
/// Each class has its own capacity, so that a burst of one class, typically
/// requests, does not evict the few events that explain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventClass {
    /// Configuration, leases, planners and nodes.
    Control,
    /// Groups and hosts.
    Group,
    /// Orders to hosts.
    Order,
    /// Targets, suspects and claims.
    Target,
    /// Individual requests.
    Request,
}

impl EventClass {
    /// All classes, in declaration order.
    pub const ALL: [EventClass; 5] = [
        EventClass::Control,
        EventClass::Group,
        EventClass::Order,
        EventClass::Target,
        EventClass::Request,
    ];
}

impl EventKind {
    /// The class of the event.
    pub fn class(&self) -> EventClass {
        match self {
            EventKind::ConfigAccepted { .. }
            | EventKind::ConfigApplied { .. }
            | EventKind::ConfigRefused { .. }
            | EventKind::LeaseTaken {}
            | EventKind::LeaseLost { .. }
            | EventKind::PlannerTaken { .. }
            | EventKind::PlannerLost { .. }
            | EventKind::NodeJoined { .. }
            | EventKind::NodeLeft { .. }
            | EventKind::NodeStopping {} => EventClass::Control,
            EventKind::GroupForming { .. }
            | EventKind::GroupWhole { .. }
            | EventKind::GroupBroken { .. }
            | EventKind::GroupEnding { .. }
            | EventKind::HostTaken { .. }
            | EventKind::HostFreed { .. } => EventClass::Group,
            EventKind::OrderSent { .. }
            | EventKind::OrderConfirmed { .. }
            | EventKind::OrderRefused { .. } => EventClass::Order,
            EventKind::TargetLeaving { .. }
            | EventKind::TargetBack { .. }
            | EventKind::SuspectNoted { .. }
            | EventKind::SuspectNamed { .. }
            | EventKind::ClaimMade { .. }
            | EventKind::ClaimSettled { .. } => EventClass::Target,
            EventKind::RequestAdmitted { .. }
            | EventKind::RequestDispatched { .. }
            | EventKind::RequestRetried { .. }
            | EventKind::RequestAnswered { .. }
            | EventKind::RequestRefused { .. } => EventClass::Request,
        }
    }

    /// Name of the event, identical in JSON, text output and logs.
    pub fn name(&self) -> &'static str {
        match self {
            EventKind::ConfigAccepted { .. } => "config-accepted",
            EventKind::ConfigApplied { .. } => "config-applied",
            EventKind::ConfigRefused { .. } => "config-refused",
            EventKind::LeaseTaken {} => "lease-taken",
            EventKind::LeaseLost { .. } => "lease-lost",
            EventKind::PlannerTaken { .. } => "planner-taken",
            EventKind::PlannerLost { .. } => "planner-lost",
            EventKind::NodeJoined { .. } => "node-joined",
            EventKind::NodeLeft { .. } => "node-left",
            EventKind::NodeStopping {} => "node-stopping",
            EventKind::GroupForming { .. } => "group-forming",
            EventKind::GroupWhole { .. } => "group-whole",
            EventKind::GroupBroken { .. } => "group-broken",
            EventKind::GroupEnding { .. } => "group-ending",
            EventKind::HostTaken { .. } => "host-taken",
            EventKind::HostFreed { .. } => "host-freed",
            EventKind::OrderSent { .. } => "order-sent",
            EventKind::OrderConfirmed { .. } => "order-confirmed",
            EventKind::OrderRefused { .. } => "order-refused",
            EventKind::TargetLeaving { .. } => "target-leaving",
            EventKind::TargetBack { .. } => "target-back",
            EventKind::SuspectNoted { .. } => "suspect-noted",
            EventKind::SuspectNamed { .. } => "suspect-named",
            EventKind::ClaimMade { .. } => "claim-made",
            EventKind::ClaimSettled { .. } => "claim-settled",
            EventKind::RequestAdmitted { .. } => "request-admitted",
            EventKind::RequestDispatched { .. } => "request-dispatched",
            EventKind::RequestRetried { .. } => "request-retried",
            EventKind::RequestAnswered { .. } => "request-answered",
            EventKind::RequestRefused { .. } => "request-refused",
        }
    }
}
