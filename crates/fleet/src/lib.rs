//! Planning, scheduling and load-balancing policy for a fleet of hosts.
//!
//! Nothing here does I/O or reads the clock: functions take events and an instant, and return what
//! to do. [`Catalog`] is the accepted configuration, [`Fleet`] the known state of all hosts,
//! [`Planner`] decides which hosts form a replica, [`Scheduler`] assigns a model's requests to
//! replicas, [`choose_host`] balances load over hosts, [`RetryWindow`] limits retries, and
//! [`Lease`] tells whether a planner may act.

mod balance;
mod caller_timeouts;
mod catalog;
mod cold;
mod cpu_overload;
mod crash_detector;
mod demand;
mod ejection;
mod fair_share;
mod fleet;
mod host;
mod host_signals;
mod lease;
mod pace;
mod paced_hosts;
mod planner;
mod presence;
mod priority;
mod rate;
mod rate_limit;
mod relay;
mod relay_choice;
mod retry;
mod roles;
mod schedule;
mod spill;
mod stall;
mod success;
mod suspicion;
mod targets;
mod wait_estimate;

pub use crate::balance::{HostCandidate, choose_host};
pub use crate::caller_timeouts::CallerTimeouts;
pub use crate::catalog::{
    Caller, CallerAccess, CallerLimits, Catalog, Engine, EngineSpeed, Millionths, ModelSpec,
    RetryPolicy, Route, RouteError, Service, StreamRules,
};
pub use crate::cold::{ColdRateLimiter, ColdStart};
pub use crate::cpu_overload::CpuOverload;
pub use crate::crash_detector::{
    BrokenResponse, CheckStep, CrashDetector, HostCrash, HostStart, ProbeResult,
};
pub use crate::demand::{DemandMeter, DemandReport, DemandSnapshot, DemandTable, ModelDemand};
pub use crate::ejection::{Ejection, EjectionBackoff};
pub use crate::fair_share::{Candidates, Excess, FairQueue, QueueId, WaitClass, WaitingRequest};
pub use crate::fleet::{EvacuationChange, Fleet, FleetChange, MAX_HOSTS, Replica};
pub use crate::host::{Host, HostState, Membership, MembershipPhase};
pub use crate::host_signals::{HostObservation, HostSignals, RequestedRest, ReturnTimes};
pub use crate::lease::{LEASE_TERM, Lease, LeaseStatus, SinceBoot, hears_majority, is_majority};
pub use crate::pace::{HostPace, PaceChange, PaceSummary, Pacing, Preference, SentRequest, judge};
pub use crate::paced_hosts::{PacedHost, PacedHosts};
pub use crate::planner::{
    CapacityStep, CapacityStepKind, CapacityTarget, Command, Formation, FormationPhase, LossReason,
    Order, OrderReply, Planner, PlannerTiming, Purpose,
};
pub use crate::presence::HostPresence;
pub use crate::priority::{LateRejection, Priority};
pub use crate::rate::Rate;
pub use crate::rate_limit::{LimitReached, RequestPermits};
pub use crate::relay::{
    ChangeLog, ListParent, SyncUpdate, initial_read_delay, initial_sync_source, list_parent,
};
pub use crate::relay_choice::RelayChoice;
pub use crate::retry::{RetryBudget, RetryWindow};
pub use crate::roles::{RoleCandidate, ranked_for_role, strongest};
pub use crate::schedule::{
    AdmissionDecision, Decision, HeadKey, HeadLoad, OpenHead, PendingRequest, RequestKey,
    RequestOrigin, Scheduler, SchedulerState, SchedulingPolicy, SlotOutcome,
};
pub use crate::spill::{DomainLoad, choose_domain};
pub use crate::stall::{StallThreshold, StreamActivity};
pub use crate::success::SuccessRate;
pub use crate::suspicion::{
    MAX_SILENCE, MAX_UNREACHABLE_SILENCE, MemberCheck, Suspicion, SuspicionStep,
};
pub use crate::targets::{TargetOutcome, TargetStats};
pub use crate::wait_estimate::{MAX_REJECTION_WAIT, RETURNING_RATIO, ReturnTicket, WaitEstimate};
