//! A node's view of the accepted configuration: it only ever rises.

use std::sync::Arc;

use eelgrassmill_base::{ConfigVersion, value};
use smol_str::SmolStr;

use crate::accept::CurrentRow;
use crate::canonical::checksum;
use crate::diagnostics::ConfigErrors;
use crate::model::Config;

/// What a node has in force.
///
/// Invariants: `version` never falls; `checksum` is that of `text`, and
/// `config` is what `text` says.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    version: ConfigVersion,
    text: Arc<str>,
    checksum: SmolStr,
    config: Arc<Config>,
}

value! { copy
    /// What became of an offered version.
    pub enum ApplyOutcome {
        /// It is in force now, in place of version `from`.
        Applied {
            /// The version before.
            from: ConfigVersion,
        },
        /// It was in force already.
        Unchanged,
    }
}

/// Why an offered version is not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It is older than what is in force; the sender is behind.
    #[error("version {offered} offered, {current} is in force")]
    Stale {
        /// The version offered.
        offered: ConfigVersion,
        /// The version in force.
        current: ConfigVersion,
    },
    /// The text isn't the one that was accepted: damaged or wrongly put together on the way.
    #[error("the text of version {0} does not have its checksum")]
    ChecksumMismatch(ConfigVersion),
    /// Two texts under one version, which one row of the table can't give.
    #[error("version {0} is in force with another text")]
    VersionConflict(ConfigVersion),
    /// The text can't be read, though it was accepted: the acceptor knows keys that this node doesn't.
    #[error("version {version} can't be read: {errors}")]
    Invalid {
        /// The version offered.
        version: ConfigVersion,
        /// Its mistakes as this node sees them.
        errors: ConfigErrors,
    },
}

impl Default for AppliedConfig {
    fn default() -> AppliedConfig {
        AppliedConfig::empty()
    }
}

impl AppliedConfig {
    /// Version 0: nothing accepted yet, or nothing heard of.
    pub fn empty() -> AppliedConfig {
        AppliedConfig {
            version: 0,
            text: "".into(),
            checksum: checksum(""),
            config: Arc::new(Config::default()),
        }
    }

    /// The version in force; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The text in force.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Checksum of the text in force.
    pub fn checksum(&self) -> &SmolStr {
        &self.checksum
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Applies the row of the table.
    ///
    /// # Errors
    /// As [`AppliedConfig::apply`].
    pub fn apply_row(&mut self, row: &CurrentRow) -> Result<ApplyOutcome, ApplyError> {
        self.apply(row.version, &row.text, &row.checksum)
    }

    /// Applies `text` as `version`, from the table or a peer, when it is newer.
    ///
    /// # Errors
    /// When it is older, damaged, unreadable or another text of the same version;
    /// what is in force stays.
    pub fn apply(
        &mut self,
        version: ConfigVersion,
        text: &str,
        sum: &str,
    ) -> Result<ApplyOutcome, ApplyError> {
        if version < self.version {
            return Err(ApplyError::Stale {
                offered: version,
                current: self.version,
            });
        }
        if checksum(text) != sum {
            return Err(ApplyError::ChecksumMismatch(version));
        }
        if version == self.version {
            return if sum == self.checksum {
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
            checksum: sum.into(),
            config: Arc::new(config),
        };
        Ok(ApplyOutcome::Applied { from })
    }
}
