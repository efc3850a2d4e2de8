//! Decides, without I/O, whether a submitted text becomes the next version.
//!
//! A submission becomes version V+1 by one transaction conditional on the row of
//! version V that the operator saw. Of two concurrent transactions one fails; its
//! caller reads the row again and gets [`Decision::Conflict`].
//!
//! Only acceptances write these rows, so each write has a condition and a
//! transaction is idempotent: after a lost response it can be resent unchanged
//! and commits at most once.

use eelgrassmill_base::{ConfigVersion, RowVersion, SubmitId, value};
use smol_str::SmolStr;

use crate::canonical::{Change, checksum, diff};
use crate::diagnostics::ConfigErrors;
use crate::model::Config;

/// Key of the row that holds the accepted text.
pub const CURRENT_KEY: &str = "config/current";
/// Key of the row with the accepted version and its checksum, without the text.
///
/// Nodes poll this row and fetch the text only when the version changed, because
/// the text of a large fleet has tens of kilobytes.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows that hold the current and earlier versions.
pub const LOG_PREFIX: &str = "config/log/";
/// Versions kept in the log; a new version overwrites the row of the one this much older.
pub const MAX_LOG_VERSIONS: u64 = 500;
/// Maximum number of accepted submissions that the current row lists, latest last.
pub const MAX_RECENT_SUBMISSIONS: usize = 128;

/// Key of the log row for version `v`, which a later version may have overwritten: see [`LogRow::version`].
pub fn log_key(v: ConfigVersion) -> SmolStr {
    format!("{LOG_PREFIX}{:03}", v % MAX_LOG_VERSIONS).into()
}

/// Row version that the log row for `v` has before `v` is written to it.
fn log_row_version(v: ConfigVersion) -> RowVersion {
    (v - 1) / MAX_LOG_VERSIONS
}

value! { wire
    /// Value of row `config/current`.
    pub struct CurrentRow {
        /// Incremented by one with each acceptance; the first is 1.
        pub version: ConfigVersion,
        /// The text as it was submitted.
        pub text: String,
        /// [`checksum`] of the text.
        pub checksum: SmolStr,
        /// Who submitted it.
        pub author: SmolStr,
        /// Id of the submission.
        pub submit_id: SubmitId,
        /// The latest accepted submissions including this one; at most [`MAX_RECENT_SUBMISSIONS`].
        pub recent: Vec<AcceptedSubmission>,
    }

    /// Value of row `config/head`.
    pub struct HeadRow {
        /// The accepted version.
        pub version: ConfigVersion,
        /// [`checksum`] of its text.
        pub checksum: SmolStr,
    }

    /// Value of a row under `config/log/`.
    pub struct LogRow {
        /// The version; newer than requested if the requested one was overwritten.
        pub version: ConfigVersion,
        /// The text as it was submitted.
        pub text: String,
        /// [`checksum`] of the text.
        pub checksum: SmolStr,
        /// Who submitted it.
        pub author: SmolStr,
        /// Id of the submission.
        pub submit_id: SubmitId,
    }

    /// One accepted submission, without its text.
    pub struct AcceptedSubmission {
        /// The version it became.
        pub version: ConfigVersion,
        /// Who submitted it.
        pub author: SmolStr,
        /// Id of the submission.
        pub submit_id: SubmitId,
    }

    /// A submitted configuration text.
    pub struct Submit {
        /// Idempotency key, chosen by the submitter and kept for retries.
        pub id: SubmitId,
        /// The version that the change is based on; 0 if there was none.
        pub base: ConfigVersion,
        /// Who submitted it.
        pub author: SmolStr,
        /// The whole text.
        pub text: String,
    }

    /// Concurrent changes that a submission conflicts with.
    pub struct Conflict {
        /// The currently accepted version.
        pub version: ConfigVersion,
        /// The submissions accepted since the base, as far as the current row lists them.
        pub by: Vec<AcceptedSubmission>,
        /// What they changed; `None` if the base version isn't available.
        pub changes: Option<Vec<Change>>,
    }
}

value! {
    /// A conditional row write.
    pub struct RowWrite {
        /// The row key.
        pub key: SmolStr,
        /// The required row version (0 for absent); `None` for any.
        pub expected_version: Option<RowVersion>,
        /// The new value as JSON; `None` deletes the row.
        pub value: Option<String>,
    }

    /// The row writes that make a submission the next version, in one transaction.
    pub struct Acceptance {
        /// The version that the submission becomes when the transaction commits.
        pub version: ConfigVersion,
        /// The new `config/current`.
        pub current: CurrentRow,
        /// All row writes with their conditions.
        pub writes: Vec<RowWrite>,
    }

    /// The decision on a submission.
    pub enum Decision {
        /// Commit this transaction; if its condition fails, read the rows and decide again.
        Accept(Box<Acceptance>),
        /// A retry of a submission that was already accepted as this version.
        AlreadyAccepted(ConfigVersion),
        /// Other submissions were accepted since the base version; nothing is merged.
        Conflict(Conflict),
        /// The text is invalid.
        Invalid(ConfigErrors),
    }
}

/// Decides on `submit` against the current row and its row version.
///
/// `base` is the log row of the base version, if available; it is only used to
/// report what changed since.
pub fn decide_submit(
    current: Option<(RowVersion, &CurrentRow)>,
    base: Option<&LogRow>,
    submit: &Submit,
) -> Decision {
    let recent = current.map_or(&[][..], |(_, row)| &row.recent);
    // A retry after a lost response must be recognized as accepted; by its base
    // alone it would conflict with itself.
    if let Some(accepted) = recent.iter().find(|a| a.submit_id == submit.id) {
        return Decision::AlreadyAccepted(accepted.version);
    }
    if let Err(errors) = Config::parse(&submit.text, "text") {
        return Decision::Invalid(errors);
    }
    let version = current.map_or(0, |(_, row)| row.version);
    match current {
        Some((_, row)) if version != submit.base => Decision::Conflict(conflict(row, base, submit)),
        None if submit.base != 0 => Decision::Conflict(Conflict {
            version: 0,
            by: Vec::new(),
            changes: None,
        }),
        _ => Decision::Accept(Box::new(acceptance(current, submit))),
    }
}

fn conflict(current: &CurrentRow, base: Option<&LogRow>, submit: &Submit) -> Conflict {
    let by = current
        .recent
        .iter()
        .filter(|a| a.version > submit.base)
        .cloned()
        .collect();
    let base_text = match base.filter(|row| row.version == submit.base) {
        Some(row) => Some(row.text.as_str()),
        None if submit.base == 0 => Some(""),
        None => None,
    };
    let changes = base_text.and_then(|text| {
        let old = Config::parse(text, "base").ok()?;
        let new = Config::parse(&current.text, "current").ok()?;
        Some(diff(&old, &new))
    });
    Conflict {
        version: current.version,
        by,
        changes,
    }
}

fn acceptance(current: Option<(RowVersion, &CurrentRow)>, submit: &Submit) -> Acceptance {
    let version = current.map_or(0, |(_, row)| row.version) + 1;
    let accepted = AcceptedSubmission {
        version,
        author: submit.author.clone(),
        submit_id: submit.id.clone(),
    };
    let mut recent = current.map_or_else(Vec::new, |(_, row)| row.recent.clone());
    recent.push(accepted);
    let excess = recent.len().saturating_sub(MAX_RECENT_SUBMISSIONS);
    recent.drain(..excess);
    let row = CurrentRow {
        version,
        text: submit.text.clone(),
        checksum: checksum(&submit.text),
        author: submit.author.clone(),
        submit_id: submit.id.clone(),
        recent,
    };
    let head = HeadRow {
        version,
        checksum: row.checksum.clone(),
    };
    let row_version = current.map_or(0, |(row_version, _)| row_version);
    let write = |key: SmolStr, expected_version, value| RowWrite {
        key,
        expected_version: Some(expected_version),
        value: Some(value),
    };
    let writes = vec![
        write(CURRENT_KEY.into(), row_version, to_json(&row)),
        // Always written together with the current row, so the row versions are equal.
        write(HEAD_KEY.into(), row_version, to_json(&head)),
        write(
            log_key(version),
            log_row_version(version),
            to_json(&log_row(&row)),
        ),
    ];
    Acceptance {
        version,
        current: row,
        writes,
    }
}

fn log_row(row: &CurrentRow) -> LogRow {
    LogRow {
        version: row.version,
        text: row.text.clone(),
        checksum: row.checksum.clone(),
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
    }
}

fn to_json(row: &impl serde::Serialize) -> String {
    serde_json::to_string(row).expect("rows contain only JSON-serializable types")
}
