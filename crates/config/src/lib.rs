//! The fleet configuration: parsing, validation, diffs, canonical form and versions.
//!
//! The crate does no I/O and reads no clock: [`decide_submit`] returns the table
//! rows that a submission writes, [`AppliedConfig`] holds what a node has applied.

mod accept;
mod applied;
mod canonical;
mod config_schema;
mod diagnostics;
mod document;
mod model;
mod parse;
mod references;
mod schema;
mod section_reader;
mod sections;
mod units;

pub use crate::accept::{
    Acceptance, AcceptedSubmission, CURRENT_KEY, Conflict, CurrentRow, Decision, HEAD_KEY, HeadRow,
    LOG_PREFIX, LogRow, MAX_LOG_VERSIONS, MAX_RECENT_SUBMISSIONS, RowWrite, Submit, decide_submit,
    log_key,
};
pub use crate::applied::{AppliedConfig, ApplyError, ApplyOutcome};
pub use crate::canonical::{Change, SectionName, canonical, checksum, diff};
pub use crate::config_schema::CONFIG_SECTIONS;
pub use crate::diagnostics::{ConfigError, ConfigErrors, Diagnostics};
pub use crate::document::{Entry, MAX_TEXT_BYTES, Section, read_sections};
pub use crate::model::{
    Config, ModelService, NodeOptions, RepairObjective, Service, ServiceKind, TargetOptions, Tenant,
};
pub use crate::schema::{
    Key, Presence, Reload, SectionKeys, ValueType, defaulted, optional, required,
};
pub use crate::section_reader::SectionReader;
pub use crate::sections::Sections;
pub use crate::units::{MAX_NAME_BYTES, format_duration, is_valid_name, parse_duration};
