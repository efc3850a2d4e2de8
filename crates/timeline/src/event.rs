//! Events: every change of state that a promise of the system is about.

use eelgrassmill_base::{
    ConfigVersion, Epoch, Fence, GroupId, HostId, Incarnation, ModelVersion, NodeId, OrderKind,
    Region, RequestId, ServiceName, SubmitId, TenantId, Urgency, value,
};
use smol_str::SmolStr;

use crate::hlc::Hlc;

value! { wire
    /// One event.
    pub struct Event {
        /// When, in causal order.
        pub hlc: Hlc,
        /// The node that saw it.
        pub node: NodeId,
        /// Which start of that node.
        pub incarnation: Incarnation,
        /// What happened.
        #[serde(flatten)]
        pub kind: EventKind,
    }

    /// What happened.
    #[serde(tag = "event", rename_all = "kebab-case")]
    pub enum EventKind {
        /// This node committed a text as the next version.
        ConfigAccepted {
            /// The version it became.
            version: ConfigVersion,
            /// Who submitted it.
            author: SmolStr,
            /// The submission.
            submit: SubmitId,
        },
        /// This node has a version in force.
        ConfigApplied {
            /// The version before.
            from: ConfigVersion,
            /// The version now.
            to: ConfigVersion,
        },
        /// An offered version was not applied.
        ConfigRefused {
            /// The version offered.
            version: ConfigVersion,
            /// Why.
            reason: SmolStr,
        },
        /// This node holds its lease.
        LeaseTaken {},
        /// This node no longer holds its lease and gives no orders.
        LeaseLost {
            /// Why.
            reason: SmolStr,
        },
        /// This node decides formations of its region now.
        PlannerTaken {
            /// The region.
            region: Region,
            /// The node that did before, if any.
            from: Option<NodeId>,
        },
        /// This node no longer decides formations of its region.
        PlannerLost {
            /// The region.
            region: Region,
        },
        /// A node is known and reachable.
        NodeJoined {
            /// The node.
            peer: NodeId,
        },
        /// A node left or is no longer heard from.
        NodeLeft {
            /// The node.
            peer: NodeId,
            /// Why.
            reason: SmolStr,
        },
        /// This node stops: callers are sent elsewhere, what runs may end.
        NodeStopping {},
        /// A formation was committed; its members are about to be told.
        GroupForming {
            /// The group.
            group: GroupId,
            /// Its new epoch.
            epoch: Epoch,
            /// The version to serve.
            version: ModelVersion,
            /// Its members, the lead first.
            members: Vec<HostId>,
        },
        /// Fresh evidence says that every member is there: it serves.
        GroupWhole {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
        },
        /// It does not serve.
        GroupBroken {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
            /// The member at fault, if one is.
            host: Option<HostId>,
            /// Why.
            reason: SmolStr,
        },
        /// A group is to end; its hosts are told to leave it.
        GroupEnding {
            /// The group.
            group: GroupId,
            /// Its epoch.
            epoch: Epoch,
            /// Why.
            reason: SmolStr,
        },
        /// A host was taken for a group.
        HostTaken {
            /// The host.
            host: HostId,
            /// The group.
            group: GroupId,
            /// The group's epoch.
            epoch: Epoch,
        },
        /// A host belongs to no group any more.
        HostFreed {
            /// The host.
            host: HostId,
            /// The group it was in.
            group: GroupId,
            /// How it is known to be free: its own report, or outlived.
            reason: SmolStr,
        },
        /// An order is about to leave for a host.
        OrderSent {
            /// The host.
            host: HostId,
            /// The group meant.
            group: GroupId,
            /// The group's epoch.
            epoch: Epoch,
            /// The fencing number.
            fence: Fence,
            /// What is asked.
            order: OrderKind,
        },
        /// The host obeyed.
        OrderConfirmed {
            /// The host.
            host: HostId,
            /// The group meant.
            group: GroupId,
            /// The fencing number.
            fence: Fence,
        },
        /// The host refused, or the order's sender had lost its lease meanwhile.
        OrderRefused {
            /// The host.
            host: HostId,
            /// The group meant.
            group: GroupId,
            /// The fencing number.
            fence: Fence,
            /// Why.
            reason: SmolStr,
        },
        /// A target gets no new work.
        TargetLeaving {
            /// The host it is on.
            host: HostId,
            /// Who says so: host list, target or text.
            reason: SmolStr,
        },
        /// A target came back or was seen for the first time.
        TargetBack {
            /// The host it is on.
            host: HostId,
        },
        /// A request was running on a target that crashed.
        SuspectNoted {
            /// The request.
            request: RequestId,
            /// The target's host.
            host: HostId,
            /// Crashes so far.
            crashes: u32,
        },
        /// Requests alike are refused from now on, since they crash targets.
        SuspectNamed {
            /// The request that gave the proof.
            request: RequestId,
            /// Crashes that it was running in.
            crashes: u32,
        },
        /// A request that runs at most once was claimed.
        ClaimMade {
            /// The request.
            request: RequestId,
            /// The service.
            service: ServiceName,
        },
        /// A claim ended.
        ClaimSettled {
            /// The request.
            request: RequestId,
            /// How: answered, not run or unknown.
            outcome: SmolStr,
        },
        /// A request was taken in.
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
            /// Counted from 1.
            attempt: u32,
        },
        /// An attempt failed and another follows.
        RequestRetried {
            /// The request.
            request: RequestId,
            /// The attempt that failed.
            attempt: u32,
            /// Why.
            reason: SmolStr,
        },
        /// The whole answer went to the caller.
        RequestAnswered {
            /// The request.
            request: RequestId,
            /// The status of the answer.
            status: u16,
            /// Time from admission, in milliseconds.
            took_ms: u64,
        },
        /// The caller was told that there is no answer.
        RequestRefused {
            /// The request.
            request: RequestId,
            /// The status of the answer.
            status: u16,
            /// `not-run` or `unknown`.
            outcome: SmolStr,
            /// Why.
            reason: SmolStr,
        },
    }
}

/// Which ring of the log an event goes to.
///
/// Each has a bound of its own, so that a flood of one sort, requests above
/// all, doesn't push out the few events that explain it.
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
    /// Single requests.
    Request,
}

impl EventClass {
    /// All of them.
    pub const ALL: [EventClass; 5] = [
        EventClass::Control,
        EventClass::Group,
        EventClass::Order,
        EventClass::Target,
        EventClass::Request,
    ];
}

impl EventKind {
    /// The ring it goes to.
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

    /// Its name, the same in JSON, in text and in logs.
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
