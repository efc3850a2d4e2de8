//! `serve`: one node, until it is told to stop.

use std::path::PathBuf;

use eelgrassmill_node::{Node, Settings};
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::info;

use crate::args::{finish, path};
use crate::error::CliError;
use crate::logs;

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let file: PathBuf = args.value_from_os_str("--settings", path)?;
    finish(args)?;
    let settings = Settings::load(file)?;
    logs::start(&settings.log);
    // Before the node starts: a stop that follows at once must find it.
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|e| CliError::Failed(e.to_string()))?;
    let name = settings.node.clone();
    let node = Node::start(settings).map_err(|e| CliError::Failed(e.to_string()))?;
    info!(node = %name, callers = %node.caller_address(), admin = %node.admin_address(), "started");
    signals.forever().next();
    info!(node = %name, "stopping");
    if node.stop() {
        info!(node = %name, "stopped");
        return Ok(());
    }
    Err(CliError::Failed(
        "requests were still in progress when the stop time ran out".to_owned(),
    ))
}
