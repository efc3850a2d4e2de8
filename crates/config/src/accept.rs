//! Acceptance: which submitted text becomes the next version, as a pure decision.
//!
//! A submission becomes version V+1 by one transaction whose condition is the
//! row of version V that the operator saw. Of two operators at once one
//! transaction fails; its caller reads the row again and gets [`Decision::Conflict`].
//!
//! Every row that an acceptance writes is written by acceptances alone, so each
//! write has a condition. A transaction whose answer was lost can then be sent
//! again as it stands: it commits once, or finds that it did.

use eelgrassmill_base::{ConfigVersion, RowVersion, SubmitId, value};
use smol_str::SmolStr;

use crate::canonical::{Change, checksum, diff};
use crate::diagnostics::ConfigErrors;
use crate::model::Config;

/// Key of the row that holds the accepted text.
pub const CURRENT_KEY: &str = "config/current";
/// Key of the row that says which version is accepted, without its text.
///
/// Nodes look for new versions all the time, and the text of a large fleet
/// has tens of kilobytes: they read this row, and the text when it changed.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows that hold earlier and current versions.
pub const LOG_PREFIX: &str = "config/log/";
/// Versions kept in the log. Each takes the row of the one that is this many older.
pub const MAX_LOG_VERSIONS: u64 = 500;
/// Earlier submissions that the current row remembers, the latest last.
pub const MAX_RECENT_SUBMISSIONS: usize = 128;

/// Key of the row that holds version `v`, as long as it is kept: see [`LogRow::version`].
pub fn log_key(v: ConfigVersion) -> SmolStr {
    format!("{LOG_PREFIX}{:03}", v % MAX_LOG_VERSIONS).into()
}

/// Version that the log row for `v` has before `v` is written to it.
fn log_row_version(v: ConfigVersion) -> RowVersion {
    (v - 1) / MAX_LOG_VERSIONS
}

value! { wire
    /// What row `config/current` holds.
    pub struct CurrentRow {
        /// Rises by one with each acceptance; the first is 1.
        pub version: ConfigVersion,
        /// The text as it was submitted.
        pub text: String,
        /// [`checksum`] of the text.
        pub checksum: SmolStr,
        /// Who submitted it.
        pub author: SmolStr,
        /// The submission that it came from.
        pub submit_id: SubmitId,
        /// The last submissions, this one included; at most [`MAX_RECENT_SUBMISSIONS`].
        pub recent: Vec<AcceptedSubmission>,
    }

    /// What row `config/head` holds.
    pub struct HeadRow {
        /// The accepted version.
        pub version: ConfigVersion,
        /// [`checksum`] of its text.
        pub checksum: SmolStr,
    }

    /// What a row under `config/log/` holds.
    pub struct LogRow {
        /// The version. A reader that asked for an older one finds that it isn't kept any more.
        pub version: ConfigVersion,
        /// The text as it was submitted.
        pub text: String,
        /// [`checksum`] of the text.
        pub checksum: SmolStr,
        /// Who submitted it.
        pub author: SmolStr,
        /// The submission that it came from.
        pub submit_id: SubmitId,
    }

    /// One accepted submission, without its text.
    pub struct AcceptedSubmission {
        /// The version it became.
        pub version: ConfigVersion,
        /// Who submitted it.
        pub author: SmolStr,
        /// Its id.
        pub submit_id: SubmitId,
    }

    /// A text that an operator asks to accept.
    pub struct Submit {
        /// Chosen by the submitter; the same for each repeat of one submission.
        pub id: SubmitId,
        /// The version that the operator saw and changed; 0 for none yet.
        pub base: ConfigVersion,
        /// Who submits.
        pub author: SmolStr,
        /// The whole text.
        pub text: String,
    }

    /// Why a submission lost against others.
    pub struct Conflict {
        /// The version accepted now.
        pub version: ConfigVersion,
        /// The submissions accepted since the base, as far as they are remembered.
        pub by: Vec<AcceptedSubmission>,
        /// What they changed; `None` when the base version isn't at hand.
        pub changes: Option<Vec<Change>>,
    }
}

value! {
    /// A row to write under a condition.
    pub struct RowWrite {
        /// Its key.
        pub key: SmolStr,
        /// The version it must have (0 for absent); `None` for any.
        pub expected_version: Option<RowVersion>,
        /// Its value as JSON; `None` deletes it.
        pub value: Option<String>,
    }

    /// The rows that make a submission the next version, for one transaction.
    pub struct Acceptance {
        /// The version it becomes when the transaction commits.
        pub version: ConfigVersion,
        /// The new `config/current`.
        pub current: CurrentRow,
        /// All writes with their conditions.
        pub writes: Vec<RowWrite>,
    }

    /// What is to be done with a submission.
    pub enum Decision {
        /// Commit this; when its condition fails, read again and decide again.
        Accept(Box<Acceptance>),
        /// A repeat of a submission that is already this version.
        AlreadyAccepted(ConfigVersion),
        /// Others were accepted since the version the operator saw; nothing is merged.
        Conflict(Conflict),
        /// The text is wrong.
        Invalid(ConfigErrors),
    }
}

/// Decides on `submit` against the current row, given with its row version.
///
/// `base` is the log row of the version the operator saw, if at hand; it only
/// serves to say what changed since.
pub fn decide_submit(
    current: Option<(RowVersion, &CurrentRow)>,
    base: Option<&LogRow>,
    submit: &Submit,
) -> Decision {
    let recent = current.map_or(&[][..], |(_, row)| &row.recent);
    // The answer to an accepted submission can get lost. Its repeat must say
    // so; judged by its base it would look like a conflict with itself.
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
    let surplus = recent.len().saturating_sub(MAX_RECENT_SUBMISSIONS);
    recent.drain(..surplus);
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
    let write = |key: SmolStr, expect, value| RowWrite {
        key,
        expected_version: Some(expect),
        value: Some(value),
    };
    let writes = vec![
        write(CURRENT_KEY.into(), row_version, to_json(&row)),
        // Written together with the current row from the first one on.
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
    serde_json::to_string(row).expect("rows hold only numbers, strings and lists")
}
