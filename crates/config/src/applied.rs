//! The configuration that a node has applied; its version never decreases.

use std::sync::Arc;

use eelgrassmill_base::{ConfigVersion, value};
use smol_str::SmolStr;

use crate::accept::CurrentRow;
use crate::canonical::checksum;
use crate::diagnostics::ConfigErrors;
use crate::model::Config;

/// The configuration that a node has applied.
///
/// Invariants: `version` never decreases; `checksum` is the checksum of `text`,
/// and `config` is `text` parsed.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    version: ConfigVersion,
    text: Arc<str>,
    checksum: SmolStr,
    config: Arc<Config>,
}

value! { copy
    /// Result of applying a valid version.
    pub enum ApplyOutcome {
        /// It was applied and replaces version `from`.
        Applied {
            /// The previous version.
            from: ConfigVersion,
        },
        /// It was already applied.
        Unchanged,
    }
}

/// Why a version was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It is older than the applied one; the sender is behind.
    #[error("version {received} is older than the applied version {current}")]
    Stale {
        /// The received version.
        received: ConfigVersion,
        /// The applied version.
        current: ConfigVersion,
    },
    /// The text isn't the one that was accepted: it was damaged or reassembled wrongly in transit.
    #[error("checksum mismatch in the text of version {0}")]
    ChecksumMismatch(ConfigVersion),
    /// The version is applied with a different text, which a single table row rules out.
    #[error("version {0} is already applied with a different text")]
    VersionConflict(ConfigVersion),
    /// The accepted text doesn't parse here: the accepting node knows keys that this node doesn't.
    #[error("version {version} is invalid: {errors}")]
    Invalid {
        /// The received version.
        version: ConfigVersion,
        /// The parse errors at this node.
        errors: ConfigErrors,
    },
}

impl Default for AppliedConfig {
    fn default() -> AppliedConfig {
        AppliedConfig::empty()
    }
}

impl AppliedConfig {
    /// Version 0: nothing was accepted yet, or no version was received.
    pub fn empty() -> AppliedConfig {
        AppliedConfig {
            version: 0,
            text: "".into(),
            checksum: checksum(""),
            config: Arc::new(Config::default()),
        }
    }

    /// The applied version; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The applied text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Checksum of the applied text.
    pub fn checksum(&self) -> &SmolStr {
        &self.checksum
    }

    /// The applied configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Applies the current row of the table.
    ///
    /// # Errors
    /// As [`AppliedConfig::apply`].
    pub fn apply_row(&mut self, row: &CurrentRow) -> Result<ApplyOutcome, ApplyError> {
        self.apply(row.version, &row.text, &row.checksum)
    }

    /// Applies `text` as `version`, from the table or a peer, if it is newer.
    ///
    /// # Errors
    /// If it is older, damaged, invalid or a different text of the same version;
    /// the applied configuration is kept.
    pub fn apply(
        &mut self,
        version: ConfigVersion,
        text: &str,
        expected_checksum: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        if version < self.version {
            return Err(ApplyError::Stale {
                received: version,
                current: self.version,
            });
        }
        if checksum(text) != expected_checksum {
            return Err(ApplyError::ChecksumMismatch(version));
        }
        if version == self.version {
            return if expected_checksum == self.checksum {
                Ok(ApplyOutcome::Unchanged)
            } else {
                Err(ApplyError::VersionConflict(version))
            };
        }
        let config = Config::parse(text, "text")
            .map_err(|errors| ApplyError::Invalid { version, errors })?;
        let from = self.version;
        *self = AppliedConfig {
            version,
            text: text.into(),
            checksum: expected_checksum.into(),
            config: Arc::new(config),
        };
        Ok(ApplyOutcome::Applied { from })
    }
}
