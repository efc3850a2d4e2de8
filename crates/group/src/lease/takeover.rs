//! Takeover of a region's planner role.

use std::time::Duration;

use eelgrassmill_base::{RowVersion, value};

use crate::lease::LeaseObserver;
use crate::rows::{NodeRow, NodeState, PlannerRow, RowValue, Transaction, node_key, planner_key};

value! {
    /// The planner of a region as read from the table.
    pub struct ObservedPlanner {
        /// The planner row and its version; `None` if there is none.
        pub planner: Option<(PlannerRow, RowVersion)>,
        /// The lease row of the node named in the planner row, and its version.
        pub holder: Option<(NodeRow, RowVersion)>,
    }
}

value! {
    /// A transaction that makes this node the planner, and the quiet period that follows it.
    pub struct Takeover {
        /// The transaction.
        pub transaction: Transaction,
        /// How long after it an order of the previous planner may still be in flight.
        ///
        /// Until then the new planner orders only hosts that check fencing tokens: any
        /// other host would obey whichever order arrives last.
        pub quiet_period: Duration,
    }
}

/// Why a node can't become planner now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// It is already the planner.
    #[error("this node is already the planner")]
    AlreadyPlanner,
    /// The planner's lease has not been observed to expire.
    #[error("the planner's lease may still be valid")]
    HolderMayBeActive,
    /// This node is leaving.
    #[error("this node is leaving")]
    Leaving,
}

/// Builds the transaction that makes the node of `own` the planner of its region.
///
/// It deletes the previous holder's lease row. That row's version is a precondition of every
/// transaction of the previous holder, so these fail however long the holder was paused.
///
/// # Errors
/// Returns why the node can't become planner now.
pub fn takeover(
    own: &NodeRow,
    own_version: RowVersion,
    observed: &ObservedPlanner,
    observer: &LeaseObserver,
) -> Result<Takeover, TakeoverError> {
    if own.state == NodeState::Leaving {
        return Err(TakeoverError::Leaving);
    }
    let planner = planner_key(&own.region);
    let base = Transaction::new().expect(node_key(&own.node), own_version);
    let timing = observer.timing();
    let (transaction, quiet_period) = match &observed.planner {
        // A planner that resigns does so after its last order was acknowledged or failed.
        None => (base.expect(planner.clone(), 0), timing.order_transit),
        Some((row, _)) if row.node == own.node && row.incarnation == own.incarnation => {
            return Err(TakeoverError::AlreadyPlanner);
        }
        Some((row, version)) => {
            let base = base.expect(planner.clone(), *version);
            replace_holder(base, own, row, observed.holder.as_ref(), observer)?
        }
    };
    let value = RowValue::Planner(PlannerRow {
        node: own.node.clone(),
        incarnation: own.incarnation,
    });
    Ok(Takeover {
        transaction: transaction.put(planner, value),
        quiet_period,
    })
}

fn replace_holder(
    base: Transaction,
    own: &NodeRow,
    planner: &PlannerRow,
    holder: Option<&(NodeRow, RowVersion)>,
    observer: &LeaseObserver,
) -> Result<(Transaction, Duration), TakeoverError> {
    // Without an observed expiry, the holder may consider its lease valid for the whole term.
    let full_wait = observer.timing().orders_expire_after();
    let key = node_key(&planner.node);
    // An earlier incarnation of this node: the lease row now belongs to this one.
    if planner.node == own.node {
        return Ok((base, full_wait));
    }
    let Some((row, version)) = holder else {
        return Ok((base.expect(key, 0), full_wait));
    };
    // The named incarnation has ended if a later one wrote the row.
    if row.incarnation != planner.incarnation {
        return Ok((base.expect(key, *version), full_wait));
    }
    // A leaving holder resigns itself; until then its lease is valid.
    if !observer.has_expired(&planner.node, *version) {
        return Err(TakeoverError::HolderMayBeActive);
    }
    let transaction = base
        .expect(key.clone(), *version)
        .put(key, RowValue::Absent);
    Ok((transaction, observer.timing().order_transit))
}
