//! Settings that change while a node runs.

use std::path::Path;

use smol_str::SmolStr;
use tracing::{info, warn};

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::settings::Settings;

/// Keys whose changes are in force at once.
const RELOADABLE: [&str; 2] = ["[limits] max_fds", "[limits] memory_mb"];
/// The key of the grace period, of which a shorter one is in force at once.
const GRACE: &str = "[times] grace";

impl<P: Platform> Gateway<P> {
    /// Reads the settings in `file` again, puts into force what can be, and logs what needs a restart.
    /// `started` are the settings with which the node has started.
    pub fn reload(&self, started: &Settings, file: &Path) {
        let newer = match Settings::load(file) {
            Ok(newer) => newer,
            Err(err) => {
                let err = err.to_string();
                return warn!(event = "reload", outcome = "invalid", err);
            }
        };
        let changed = started.changed_keys(&newer);
        let is_grace_in_force = self.apply(&newer.gateway) == newer.gateway.grace;
        let is_in_force = |key: &&SmolStr| {
            RELOADABLE.contains(&key.as_str()) || *key == GRACE && is_grace_in_force
        };
        let (in_force, pending): (Vec<&SmolStr>, Vec<&SmolStr>) =
            changed.iter().partition(is_in_force);
        if !in_force.is_empty() {
            info!(event = "reload", outcome = "in-force", keys = ?in_force);
        }
        if !pending.is_empty() {
            warn!(event = "reload", outcome = "needs-restart", keys = ?pending);
        }
        if changed.is_empty() {
            info!(event = "reload", outcome = "unchanged");
        }
    }
}
