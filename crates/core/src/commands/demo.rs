//! `demo`: everything in this one process.

use std::time::Duration;

use pico_args::Arguments;

use crate::args::finish;
use crate::demo::{DEFAULT_NODES, MAX_NODES, demo};
use crate::error::CliError;

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let nodes = args.opt_value_from_str("--nodes")?.unwrap_or(DEFAULT_NODES);
    let hold: u64 = args.opt_value_from_str("--hold")?.unwrap_or(0);
    finish(args)?;
    if nodes == 0 || nodes > MAX_NODES {
        return Err(CliError::Usage(format!(
            "`--nodes {nodes}` can't be, write 1 to {MAX_NODES}"
        )));
    }
    demo(nodes, Duration::from_secs(hold))
}
