//! Model groups: membership, health evidence, node leases, fencing and the repair policy.
//!
//! Everything here is a pure function of states, events and an instant. The node crate does the
//! I/O: it reads the table service, probes the hosts and executes the returned actions.

mod evidence;
mod lease;
mod plan;
mod rows;

pub use crate::evidence::{
    AgeEstimator, EVIDENCE_MAX_AGE, Evidence, EvidenceStore, GroupEndpoint, GroupWatch,
    MAX_WATCHERS, MissingReason, NotServing, REPORT_MAX_AGE, RESTART_RETENTION, SILENCE_GRACE,
    ServiceUnavailable, Verdict, WatcherList, can_serve, evaluate, watchers,
};
pub use crate::lease::{
    HeldLease, LeaseError, LeaseObserver, LeaseProof, LeaseTiming, ObservedPlanner, Takeover,
    TakeoverError, takeover,
};
pub use crate::plan::{
    Action, FailureScope, FleetView, FreeReason, GroupStatus, HostStatus, Recovery, RecoveryModel,
    RepairPolicy, RepairStrategy, plan,
};
pub use crate::rows::{
    EndReason, GROUP_PREFIX, GroupPhase, GroupRow, HOST_PREFIX, HostRow, NODE_PREFIX, NodeRow,
    NodeState, PLANNER_PREFIX, PlannerRow, Precondition, Put, RowValue, Transaction, group_id,
    group_key, host_key, node_key, parse_group_id, planner_key, warming_group_id, weights_name,
};
