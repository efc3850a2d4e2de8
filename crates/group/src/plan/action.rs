//! Actions that the planner requests.

use eelgrassmill_base::{GroupId, HostId, Order, RowVersion, value};

use crate::rows::{EndReason, GroupRow, Transaction, node_key, planner_key};

value! { copy
    /// Why a host's row may be freed.
    pub enum FreeReason {
        /// The host reports no placement and has seen the current fencing token.
        Confirmed,
        /// No order that the row allowed can still be in flight.
        OrdersExpired,
    }
}

value! {
    /// One action requested by the planner.
    ///
    /// Transactions are committed only after [`Transaction::under_lease`]; orders are sent
    /// only between [`crate::HeldLease::check`] and [`crate::HeldLease::confirm`].
    pub enum Action {
        /// Binds free hosts to a group in a new epoch.
        FormGroup {
            /// The group's new row.
            row: GroupRow,
            /// The transaction.
            transaction: Transaction,
        },
        /// Stops routing to a group and starts releasing its members.
        EndGroup {
            /// The group.
            group: GroupId,
            /// Why.
            reason: EndReason,
            /// The transaction.
            transaction: Transaction,
        },
        /// Frees a host's row.
        FreeHost {
            /// The host.
            host: HostId,
            /// Why it may be freed.
            reason: FreeReason,
            /// The transaction.
            transaction: Transaction,
        },
        /// Deletes the row of a group that has ended and binds no host.
        RemoveGroup {
            /// The group.
            group: GroupId,
            /// The transaction.
            transaction: Transaction,
        },
        /// Orders a host to join its group; repeated until its report confirms it.
        SendJoin {
            /// The order.
            order: Order,
        },
        /// Orders a host to leave a group; repeated until its report confirms it.
        SendLeave {
            /// The order.
            order: Order,
        },
    }
}

impl Action {
    /// The transaction, if the action is one.
    pub fn transaction(&self) -> Option<&Transaction> {
        match self {
            Action::FormGroup { transaction, .. }
            | Action::EndGroup { transaction, .. }
            | Action::FreeHost { transaction, .. }
            | Action::RemoveGroup { transaction, .. } => Some(transaction),
            Action::SendJoin { .. } | Action::SendLeave { .. } => None,
        }
    }

    /// The order, if the action is one.
    pub fn order(&self) -> Option<&Order> {
        match self {
            Action::SendJoin { order } | Action::SendLeave { order } => Some(order),
            _ => None,
        }
    }
}

impl Transaction {
    /// Adds the planner's lease row and planner row as preconditions.
    ///
    /// Called just before the commit and not while planning, since the lease row's version
    /// increases with every renewal. Without these preconditions a planner that was paused until
    /// after its lease expired could still write.
    pub fn under_lease(
        self,
        node: &str,
        node_version: RowVersion,
        region: &str,
        planner_version: RowVersion,
    ) -> Transaction {
        self.expect(node_key(node), node_version)
            .expect(planner_key(region), planner_version)
    }
}
