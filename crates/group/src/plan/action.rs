//! What the planner wants done.

use eelgrassmill_base::{GroupId, HostId, Order, RowVersion, value};

use crate::rows::{EndReason, GroupRow, Transaction, node_key, planner_key};

value! { copy
    /// Why a host's row may be made free.
    pub enum FreeReason {
        /// The host itself reports that it holds nothing and has obeyed the fence.
        Confirmed,
        /// No order that was allowed by the row can still be under way.
        OrdersExpired,
    }
}

value! {
    /// One thing that the planner wants done.
    ///
    /// Changes are committed only after [`Transaction::under_lease`]; orders are sent
    /// only between [`crate::HeldLease::check`] and [`crate::HeldLease::confirm`].
    pub enum Action {
        /// Bind free hosts to a group under a new epoch.
        FormGroup {
            /// The group's new row.
            row: GroupRow,
            /// The transaction.
            transaction: Transaction,
        },
        /// Stop routing to a group and start to release its members.
        EndGroup {
            /// The group.
            group: GroupId,
            /// Why.
            reason: EndReason,
            /// The transaction.
            transaction: Transaction,
        },
        /// Make a host's row free.
        FreeHost {
            /// The host.
            host: HostId,
            /// What allows it.
            reason: FreeReason,
            /// The transaction.
            transaction: Transaction,
        },
        /// Delete the row of a group that has ended and holds no host.
        RemoveGroup {
            /// The group.
            group: GroupId,
            /// The transaction.
            transaction: Transaction,
        },
        /// Tell a host to join its group; repeated until its report shows it.
        SendJoin {
            /// The order.
            order: Order,
        },
        /// Tell a host to leave a group; repeated until its report shows it.
        SendLeave {
            /// The order.
            order: Order,
        },
    }
}

impl Action {
    /// The transaction, for actions that are one.
    pub fn transaction(&self) -> Option<&Transaction> {
        match self {
            Action::FormGroup { transaction, .. }
            | Action::EndGroup { transaction, .. }
            | Action::FreeHost { transaction, .. }
            | Action::RemoveGroup { transaction, .. } => Some(transaction),
            Action::SendJoin { .. } | Action::SendLeave { .. } => None,
        }
    }

    /// The order, for actions that are one.
    pub fn order(&self) -> Option<&Order> {
        match self {
            Action::SendJoin { order } | Action::SendLeave { order } => Some(order),
            _ => None,
        }
    }
}

impl Transaction {
    /// Makes the change conditional on the planner's lease row and planner row.
    ///
    /// Added at the last moment and not by the plan, since the lease row's
    /// version rises with every renewal. Without it a planner that was paused
    /// past its lease would still write.
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
