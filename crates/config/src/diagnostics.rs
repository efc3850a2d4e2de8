//! Errors in a text, each with its line and what to write instead.

use std::fmt;

use smol_str::SmolStr;

/// One mistake in a text, shown as `file:line: what is wrong, what to write`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct ConfigError {
    /// The file, or whatever the text came from.
    pub file: SmolStr,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong and what to write.
    pub message: String,
}

/// All mistakes of a text in the order of its lines, one a line when shown.
///
/// Invariant: never empty, and no longer than [`ConfigErrors::MOST`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Mistakes that are kept; a text that is no INI at all can have one in each of its lines.
    pub const MAX_ERRORS: usize = 100;

    /// The mistakes.
    pub fn as_slice(&self) -> &[ConfigError] {
        &self.0
    }

    /// The mistakes, one after the other.
    pub fn iter(&self) -> std::slice::Iter<'_, ConfigError> {
        self.0.iter()
    }
}

impl<'a> IntoIterator for &'a ConfigErrors {
    type Item = &'a ConfigError;
    type IntoIter = std::slice::Iter<'a, ConfigError>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// Gathers mistakes while a text is read.
#[derive(Debug)]
pub struct Diagnostics {
    file: SmolStr,
    errors: Vec<ConfigError>,
}

impl Diagnostics {
    /// None yet, in `file`.
    pub fn new(file: &str) -> Diagnostics {
        Diagnostics {
            file: file.into(),
            errors: Vec::new(),
        }
    }

    /// Adds one.
    pub fn add(&mut self, line: usize, message: impl Into<String>) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    /// `value` when nothing was found wrong.
    ///
    /// # Errors
    /// All that was found.
    pub fn finish<T>(mut self, value: T) -> Result<T, ConfigErrors> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort_by_key(|e| e.line);
        self.errors.dedup();
        self.errors.truncate(ConfigErrors::MAX_ERRORS);
        Err(ConfigErrors(self.errors))
    }
}
