//! What the planner wants done.

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
        /// To a head: begin to serve.
        Open {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
        /// To a head: finish what runs and take nothing new.
        Close {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
        /// Load a model's weights into the host's memory, beside all other work.
        Stage {
            /// The model.
            model: ModelName,
        },
        /// Stop being a member, at once.
        Leave {
            /// The replica.
            replica: GroupId,
            /// Its formation.
            epoch: Epoch,
        },
    }

    /// What the planner wants done.
    pub enum Command {
        /// Send an order and report the reply.
        Order {
            /// To this host.
            host: HostId,
            /// Its address, also where it is no longer listed.
            address: SmolStr,
            /// This order.
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
    /// What a host answers to an order.
    pub enum OrderReply {
        /// It has begun.
        Begun,
        /// It is done, or was already so.
        Done,
        /// It doesn't fit what the host holds.
        Conflict,
        /// Its epoch is older than one that the host has seen.
        Fenced,
        /// Another host has this address now.
        WrongHost,
        /// It was refused otherwise, with this status.
        Refused(u16),
    }
}

impl Order {
    /// The formation that it is about; none for a stage.
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
