//! Collects errors in a text with their line numbers.

use std::fmt;

use smol_str::SmolStr;

/// One error in a text, displayed as `file:line: message`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct ConfigError {
    /// The file name, or another name for the source of the text.
    pub file: SmolStr,
    /// Line number, counted from 1.
    pub line: usize,
    /// What is wrong and what is expected.
    pub message: String,
}

/// All errors in a text, ordered by line and displayed one per line.
///
/// Invariant: never empty, and no longer than [`ConfigErrors::MOST`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Maximum number of errors kept; a text that isn't INI can have one in every line.
    pub const MAX_ERRORS: usize = 100;

    /// The errors.
    pub fn as_slice(&self) -> &[ConfigError] {
        &self.0
    }

    /// Iterates over the errors.
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

/// Collects errors while a text is parsed.
#[derive(Debug)]
pub struct Diagnostics {
    file: SmolStr,
    errors: Vec<ConfigError>,
}

impl Diagnostics {
    /// Creates an empty collection for `file`.
    pub fn new(file: &str) -> Diagnostics {
        Diagnostics {
            file: file.into(),
            errors: Vec::new(),
        }
    }

    /// Adds an error.
    pub fn add(&mut self, line: usize, message: impl Into<String>) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    /// Returns `value` if there were no errors.
    ///
    /// # Errors
    /// All errors, at most [`ConfigErrors::MAX_ERRORS`].
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
