//! Orders and commands of the planner, and the hosts' replies.

use eelgrassmill_base::{Epoch, GroupId, HostId, ModelName, value};

use smol_str::SmolStr;

use crate::planner::MessageKind;

value! {
    /// An order to one host.
    pub enum Order {
        /// Become a member of a replica.
        Join {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
            /// Its model.
            model: ModelName,
            /// All members; the first is the head.
            members: Vec<HostId>,
        },
        /// To a head: start serving.
        Open {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
        /// To a head: finish running requests and accept no new ones.
        Close {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
        /// Load a model's weights into the host's memory in the background.
        Stage {
            /// The model.
            model: ModelName,
        },
        /// Stop being a member immediately.
        Leave {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
    }

    /// An action that the planner requests from its caller.
    pub enum Command {
        /// Send an order and report the reply to the planner.
        Order {
            /// The receiving host.
            host: HostId,
            /// Its address, known even if the host is no longer listed.
            address: SmolStr,
            /// The order.
            order: Order,
        },
        /// Ask a host for its state.
        Query {
            /// The host.
            host: HostId,
        },
    }
}

value! { copy
    /// A host's reply to an order.
    pub enum OrderReply {
        /// Execution has started.
        Begun,
        /// Completed, now or earlier.
        Done,
        /// The order conflicts with the host's current membership.
        Conflict,
        /// The order's epoch is older than one that the host has seen.
        Fenced,
        /// Another host has this address now.
        WrongHost,
        /// Rejected for another reason, with this HTTP status.
        Refused(u16),
    }
}

impl Order {
    /// The formation that it refers to; `None` for [`Order::Stage`].
    pub fn formation(&self) -> Option<(&GroupId, Epoch)> {
        match self {
            Order::Join { replica, epoch, .. }
            | Order::Open { replica, epoch }
            | Order::Close { replica, epoch }
            | Order::Leave { replica, epoch } => Some((replica, *epoch)),
            Order::Stage { .. } => None,
        }
    }

    pub(crate) fn kind(&self) -> MessageKind {
        match self {
            Order::Join { .. } => MessageKind::Join,
            Order::Open { .. } => MessageKind::Open,
            Order::Close { .. } => MessageKind::Close,
            Order::Leave { .. } => MessageKind::Leave,
            Order::Stage { .. } => MessageKind::Stage,
        }
    }
}
