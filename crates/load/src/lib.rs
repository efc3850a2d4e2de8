//! Open-loop load over HTTP from a scenario file, with a result as a table or JSON.
//!
//! Requests arrive by a seeded Poisson process whether or not earlier ones were
//! answered, and every time is counted from the arrival that was due, so that a
//! slow system can't slow its own test down. Every answer is checked against the
//! fixed answer function of the stand-in targets.

mod addresses;
mod answer;
mod attempt;
mod faults;
mod histogram;
mod http;
mod parse;
mod plan;
mod report;
mod run;
mod scenario;
mod section;
mod tally;
mod verify;

pub use crate::faults::EntryFault;
pub use crate::histogram::Quantiles;
pub use crate::report::{Counts, Report, ReportRow, RunChecks};
pub use crate::run::{LoadError, Targets, run};
pub use crate::scenario::{Api, Class, FaultAt, Scenario, Span, TenantToken};
pub use crate::section::ScenarioError;
