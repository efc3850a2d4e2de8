//! Wholeness: who watches a group, what a watcher finds, and what that lets a node serve.

mod age;
mod depend;
mod store;
mod verdict;
mod watch;

pub use crate::evidence::age::AgeKeeper;
pub use crate::evidence::depend::{CannotServe, can_serve};
pub use crate::evidence::store::{
    EVIDENCE_MAX_AGE, Evidence, EvidenceStore, NotServing, RESTART_MEMORY, SILENCE_GRACE, ServingAs,
};
pub use crate::evidence::verdict::{REPORT_MAX_AGE, Verdict, Why, judge};
pub use crate::evidence::watch::{GroupWatch, MAX_WATCHERS, WatcherList, watchers};
