//! Model groups: membership, wholeness evidence, node leases, fencing and the repair policy.
//!
//! Everything here is a pure function of states, events and an instant. The
//! node crate reads the table service, probes the hosts and carries out what
//! these functions answer.

mod evidence;
mod lease;
mod plan;
mod rows;

pub use crate::evidence::{
    AgeKeeper, CannotServe, EVIDENCE_MAX_AGE, Evidence, EvidenceStore, GroupWatch, MAX_WATCHERS,
    NotServing, REPORT_MAX_AGE, RESTART_MEMORY, SILENCE_GRACE, ServingAs, Verdict, WatcherList,
    Why, can_serve, judge, watchers,
};
pub use crate::lease::{
    HeldLease, LeaseError, LeaseObserver, LeaseProof, LeaseTiming, ObservedPlanner, Takeover,
    TakeoverError, takeover,
};
pub use crate::plan::{
    Absence, Action, FleetView, FreedBecause, GroupFacts, HostFacts, RepairChoice, RepairPolicy,
    Return, ReturnModel, plan,
};
pub use crate::rows::{
    Change, EndReason, Expect, GROUP_PREFIX, GroupPhase, GroupRow, HOST_PREFIX, HostRow,
    NODE_PREFIX, NodeRow, NodeState, PLANNER_PREFIX, PlannerRow, Put, RowValue, group_id,
    group_key, host_key, node_key, planner_key, split_group_id, warming_id, weights_name,
};
