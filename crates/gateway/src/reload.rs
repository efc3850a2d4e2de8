//! Settings that change while a node runs.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use eelgrassmill_config::Reload;
use smol_str::SmolStr;
use tracing::{info, warn};

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::settings::{Settings, reload_of};

/// How often the file is checked for a change that no signal announces.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same after a version that can't be read, which may be half written.
const INVALID_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When a file was written, and its length: the time alone may be that of a version that was half
/// written just before.
type FileVersion = (SystemTime, u64);

/// Follows a settings file that may change at any time, with a signal or without one.
#[derive(Debug)]
pub(crate) struct SettingsFollower {
    file: PathBuf,
    /// The settings with which the node has started.
    started: Settings,
    /// The settings that were read last.
    newest: Settings,
    /// The version of the file that `newest` is from.
    version: Option<FileVersion>,
    /// Why the file can't be read, as logged last.
    error: Option<String>,
}

impl SettingsFollower {
    /// Follows `file`, from which `started` was read.
    pub(crate) fn new(started: Settings, file: &Path) -> SettingsFollower {
        SettingsFollower {
            file: file.to_owned(),
            newest: started.clone(),
            started,
            version: None,
            error: None,
        }
    }

    /// Waits until the file should be checked again.
    pub(crate) async fn wait(&self) {
        let is_invalid = self.error.is_some();
        tokio::time::sleep(if is_invalid {
            INVALID_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        })
        .await;
    }

    /// Reads the file again if it was written since.
    pub(crate) fn check<P: Platform>(&mut self, gateway: &Gateway<P>) {
        let version = self.file_version();
        if self.error.is_some() || version.is_some() && version != self.version {
            self.read(gateway);
        }
    }

    /// Reads the file again, puts into force what can be, and logs what needs a restart.
    pub(crate) fn reload<P: Platform>(&mut self, gateway: &Gateway<P>) {
        if !self.read(gateway) && self.error.is_none() {
            self.log(gateway);
        }
    }

    fn file_version(&self) -> Option<FileVersion> {
        let metadata = fs::metadata(&self.file).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    }

    /// Returns whether the settings differ from those that were read before.
    fn read<P: Platform>(&mut self, gateway: &Gateway<P>) -> bool {
        // Before the text: one that is written meanwhile is read again.
        let version = self.file_version();
        match Settings::load(&self.file) {
            Ok(settings) => {
                self.version = version;
                self.error = None;
                let is_changed = !self.newest.changed_keys(&settings).is_empty();
                if is_changed {
                    self.newest = settings;
                    gateway.apply(&self.newest);
                    self.log(gateway);
                }
                is_changed
            }
            Err(err) => {
                let err = err.to_string();
                if self.error.as_ref() != Some(&err) {
                    warn!(event = "reload", outcome = "invalid", err);
                }
                self.error = Some(err);
                false
            }
        }
    }

    /// Logs the keys that differ from those at the start.
    fn log<P: Platform>(&self, gateway: &Gateway<P>) {
        let is_grace_in_force = gateway.live().grace == self.newest.gateway.grace;
        let is_in_force = |key: &SmolStr| match reload_of(key) {
            Reload::Live => true,
            Reload::LiveIfShorter => is_grace_in_force,
            Reload::Restart => false,
        };
        let changed = self.started.changed_keys(&self.newest);
        let (in_force, pending): (Vec<SmolStr>, Vec<SmolStr>) =
            changed.into_iter().partition(is_in_force);
        gateway.show_pending_settings(pending.len());
        if !in_force.is_empty() {
            info!(event = "reload", outcome = "in-force", keys = ?in_force);
        }
        if !pending.is_empty() {
            warn!(event = "reload", outcome = "needs-restart", keys = ?pending);
        }
        if in_force.is_empty() && pending.is_empty() {
            info!(event = "reload", outcome = "unchanged");
        }
    }
}
