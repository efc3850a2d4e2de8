//! Group health: which nodes watch a group, their verdicts, and whether a node may serve it.

mod age;
mod dependency;
mod store;
mod verdict;
mod watch;

pub use crate::evidence::age::AgeEstimator;
pub use crate::evidence::dependency::{ServiceUnavailable, can_serve};
pub use crate::evidence::store::{
    EVIDENCE_MAX_AGE, Evidence, EvidenceStore, GroupEndpoint, NotServing, RESTART_RETENTION,
    SILENCE_GRACE,
};
pub use crate::evidence::verdict::{MissingReason, REPORT_MAX_AGE, Verdict, evaluate};
pub use crate::evidence::watch::{GroupWatch, MAX_WATCHERS, WatcherList, watchers};
