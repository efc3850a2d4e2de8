//! What a command ends with when it isn't done.

use eelgrassmill_config::ConfigErrors;
use eelgrassmill_node::{Problem, SettingsError};

/// Why a command isn't done.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// The flags are wrong.
    #[error("{0}, see --help")]
    Usage(String),
    /// A file can't be read.
    #[error("{file}:1: can't be read ({error}), write the path of a readable file")]
    File { file: String, error: std::io::Error },
    /// A file's text is wrong.
    #[error(transparent)]
    Text(#[from] ConfigErrors),
    /// A settings file is wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A scenario file is wrong.
    #[error("{0}")]
    Scenario(String),
    /// No node answers.
    #[error("no answer from {address}: {why}")]
    NoAnswer { address: String, why: String },
    /// A node answers with something that isn't the admin API.
    #[error("{address} answers nonsense: {why}")]
    Nonsense { address: String, why: String },
    /// A node refuses.
    #[error("refused: {}", shown(.0))]
    Refused(Box<Problem>),
    /// Something else didn't work.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage(_)
            | CliError::File { .. }
            | CliError::Text(_)
            | CliError::Scenario(_)
            | CliError::Settings(_) => 2,
            CliError::NoAnswer { .. }
            | CliError::Nonsense { .. }
            | CliError::Refused(_)
            | CliError::Failed(_) => 1,
        }
    }
}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> CliError {
        CliError::Usage(error.to_string())
    }
}

fn shown(problem: &Problem) -> String {
    let mut lines = vec![problem.detail.clone()];
    lines.extend(problem.errors.iter().cloned());
    if let Some(conflict) = &problem.conflict {
        let by = conflict.by.iter();
        lines.extend(by.map(|a| format!("version {} was submitted by {}", a.version, a.author)));
        let changes = conflict.changes.iter().flatten();
        lines.extend(changes.map(|c| format!("changed since: {c}")));
        lines.push("look at it with `config show`, change that text and submit it".to_owned());
    }
    lines.join("\n")
}
