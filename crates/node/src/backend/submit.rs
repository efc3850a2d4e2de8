//! Accepting a configuration: decided by policy, committed by one transaction.

use eelgrassmill_base::RowVersion;
use eelgrassmill_config::{
    Acceptance, CURRENT_KEY, CurrentRow, Decision, LogRow, Submit, decide_submit, log_key,
};
use eelgrassmill_peer::ConfigText;
use eelgrassmill_stores::{
    CommitStatus, Condition, RetryLimits, Table, TableError, Txn, Write, commit_with_retry,
};
use eelgrassmill_timeline::EventKind;

use super::Backend;
use crate::admin::{BackendError, SubmitReply};
use crate::apply::apply_config;
use crate::loops::rows::decode;

/// Decisions on one submission. Each further one follows a lost race, after
/// which the next decision is almost always a conflict that the operator is told of.
const ROUNDS: usize = 3;

pub(super) fn submit(backend: &Backend, submit: &Submit) -> Result<SubmitReply, BackendError> {
    for _ in 0..ROUNDS {
        let (current, base) = read(backend, submit).map_err(|e| super::unavailable(&e))?;
        let current = current.as_ref().map(|(row, version)| (*version, row));
        match decide_submit(current, base.as_ref(), submit) {
            Decision::Accept(acceptance) => {
                if let Some(reply) = commit(backend, submit, &acceptance)? {
                    return Ok(reply);
                }
            }
            Decision::AlreadyAccepted(version) => {
                return Ok(SubmitReply::AlreadyAccepted { version });
            }
            Decision::Conflict(conflict) => return Ok(SubmitReply::Conflict { conflict }),
            Decision::Invalid(errors) => {
                let errors = errors.as_slice().iter().map(ToString::to_string).collect();
                return Ok(SubmitReply::Invalid { errors });
            }
        }
    }
    let detail = "others are changing the configuration; nothing was accepted, try again";
    Err(BackendError::Unavailable(detail.to_owned()))
}

type Read = (Option<(CurrentRow, RowVersion)>, Option<LogRow>);

fn read(backend: &Backend, submit: &Submit) -> Result<Read, TableError> {
    let table = &backend.core.platform.table;
    let current = table.get(CURRENT_KEY)?.as_ref().and_then(decode);
    let base = table.get(&log_key(submit.base))?;
    let base = base.as_ref().and_then(decode).map(|(row, _)| row);
    Ok((current, base))
}

/// Commits an acceptance; `None` when another submission won.
fn commit(
    backend: &Backend,
    submit: &Submit,
    acceptance: &Acceptance,
) -> Result<Option<SubmitReply>, BackendError> {
    let core = &backend.core;
    let txn = transaction(core.ident.unique(), acceptance);
    let settled = commit_with_retry(&core.platform.table, &txn, &RetryLimits::default())
        .map_err(|e| BackendError::Unavailable(e.to_string()))?;
    match settled {
        CommitStatus::Committed => {}
        CommitStatus::NotCommitted(_) => return Ok(None),
        CommitStatus::Unknown => {
            let detail = "the table service gave no answer; ask again with the same id";
            return Err(BackendError::Unknown(detail.to_owned()));
        }
    }
    let version = acceptance.version;
    core.journal.note(EventKind::ConfigAccepted {
        version,
        author: submit.author.clone(),
        submit: submit.id.clone(),
    });
    apply_config(core, &backend.peer, &text(&acceptance.current));
    Ok(Some(SubmitReply::Accepted { version }))
}

/// The writes, each under its condition, so that a lost answer can be settled
/// by sending the same transaction again.
fn transaction(id: smol_str::SmolStr, acceptance: &Acceptance) -> Txn {
    let conditions = acceptance.writes.iter().filter_map(|w| {
        Some(Condition {
            key: w.key.clone(),
            version: w.expected_version?,
        })
    });
    let writes = acceptance.writes.iter().map(|w| Write {
        key: w.key.clone(),
        value: w.value.clone(),
    });
    Txn {
        id,
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

fn text(row: &CurrentRow) -> ConfigText {
    ConfigText {
        version: row.version,
        checksum: row.checksum.clone(),
        author: row.author.clone(),
        submit_id: row.submit_id.clone(),
        text: row.text.clone(),
    }
}
