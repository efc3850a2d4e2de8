//! Becoming the planner of a region.

use std::time::Duration;

use eelgrassmill_base::{RowVersion, value};

use crate::lease::LeaseObserver;
use crate::rows::{NodeRow, NodeState, PlannerRow, RowValue, Transaction, node_key, planner_key};

value! {
    /// What a node has read of its region's planner.
    pub struct ObservedPlanner {
        /// The planner row and its version; `None` when it is absent.
        pub planner: Option<(PlannerRow, RowVersion)>,
        /// The lease row of the node that the planner row names, and its version.
        pub holder: Option<(NodeRow, RowVersion)>,
    }
}

value! {
    /// A transaction that makes this node the planner, and what it must do after it.
    pub struct Takeover {
        /// The transaction.
        pub transaction: Transaction,
        /// How long after it an order of the planner before may still be under way.
        ///
        /// Until then the new planner orders only hosts that check fencing
        /// numbers: any other host would obey whichever order comes last.
        pub quiet_period: Duration,
    }
}

/// Why a node doesn't become planner now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TakeoverError {
    /// It is the planner already.
    #[error("this node is the planner")]
    AlreadyPlanner,
    /// The planner's lease has not been seen to lapse.
    #[error("the planner's lease may be valid")]
    HolderMayBeActive,
    /// This node is leaving.
    #[error("this node is leaving")]
    Leaving,
}

/// The transaction by which the node of `own` becomes planner of its region.
///
/// It deletes the old holder's lease row. Every later transaction of the old
/// holder expects that row's version and fails, however long it was paused.
///
/// # Errors
/// Says why it may not become planner now.
pub fn takeover(
    own: &NodeRow,
    own_version: RowVersion,
    seen: &ObservedPlanner,
    observer: &LeaseObserver,
) -> Result<Takeover, TakeoverError> {
    if own.state == NodeState::Leaving {
        return Err(TakeoverError::Leaving);
    }
    let planner = planner_key(&own.region);
    let base = Transaction::new().expect(node_key(&own.node), own_version);
    let timing = observer.timing();
    let (transaction, quiet_period) = match &seen.planner {
        // Whoever gives the region up does so after its last order was answered or failed.
        None => (base.expect(planner.clone(), 0), timing.order_transit),
        Some((row, _)) if row.node == own.node && row.incarnation == own.incarnation => {
            return Err(TakeoverError::AlreadyPlanner);
        }
        Some((row, version)) => {
            let base = base.expect(planner.clone(), *version);
            unseat(base, own, row, seen.holder.as_ref(), observer)?
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

fn unseat(
    base: Transaction,
    own: &NodeRow,
    planner: &PlannerRow,
    holder: Option<&(NodeRow, RowVersion)>,
    observer: &LeaseObserver,
) -> Result<(Transaction, Duration), TakeoverError> {
    // Without a lapse that was seen, the holder may believe in its lease for the whole term.
    let unseen = observer.timing().orders_expire_after();
    let key = node_key(&planner.node);
    // An earlier start of this node: its row is this node's row by now.
    if planner.node == own.node {
        return Ok((base, unseen));
    }
    let Some((row, version)) = holder else {
        return Ok((base.expect(key, 0), unseen));
    };
    // The named start is over when a later one wrote the row.
    if row.incarnation != planner.incarnation {
        return Ok((base.expect(key, *version), unseen));
    }
    // A leaving holder gives the region up itself; until then its lease counts.
    if !observer.has_expired(&planner.node, *version) {
        return Err(TakeoverError::HolderMayBeActive);
    }
    let transaction = base
        .expect(key.clone(), *version)
        .put(key, RowValue::Absent);
    Ok((transaction, observer.timing().order_transit))
}
