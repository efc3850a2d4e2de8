//! Policy for hosts that obey orders and report what they hold.
//!
//! Everything here is pure: it takes events and an instant and returns what to
//! do. [`Catalog`] is the accepted configuration, [`Fleet`] what is known of
//! hosts, [`Planner`] decides which hosts form a replica, [`place`] chooses the
//! host of a request, [`RetryWindow`] bounds what is sent a second time, and [`Lease`]
//! says for how long a planner may act.

mod catalog;
mod cold;
mod ejection;
mod fleet;
mod host;
mod lease;
mod patience;
mod place;
mod planner;
mod rank;
mod rate;
mod relay;
mod retry;
mod roles;
mod schedule;
mod spill;
mod stall;
mod strain;
mod success;
mod targets;

pub use crate::catalog::{
    Caller, CallerLimits, Catalog, Engine, EngineSpeed, Millionths, ModelSpec, Repeat, Route,
    RouteRefusal, Service, StreamRules,
};
pub use crate::cold::{ColdShares, ColdStart};
pub use crate::ejection::{Ejection, EjectionBackoff};
pub use crate::fleet::{EvacuationChange, Fleet, FleetChange, Replica};
pub use crate::host::{Host, HostState, Membership, MembershipPhase};
pub use crate::lease::{LEASE_TERM, Lease, SinceBoot, Standing, are_most, hears_enough};
pub use crate::patience::CallerPatience;
pub use crate::place::{Candidate, place};
pub use crate::planner::{
    Command, Formation, Loss, Order, OrderReply, Planner, PlannerTiming, Purpose, Step,
};
pub use crate::rank::{LateRejection, Rank};
pub use crate::rate::Rate;
pub use crate::relay::{CatchUp, ListLog, ListParent, copy_source, first_read_delay, list_parent};
pub use crate::retry::{RetryBudget, RetryWindow};
pub use crate::roles::{RoleCandidate, ranked_for_role, strongest};
pub use crate::schedule::{
    Ask, HeadKey, HeadLoad, OpenHead, Outcome, RequestKey, Scheduler, SchedulerState,
};
pub use crate::spill::{DomainLoad, choose_domain};
pub use crate::stall::{Progress, StallRule};
pub use crate::strain::Strain;
pub use crate::success::SuccessRate;
pub use crate::targets::{TargetOutcome, TargetStats};
