//! `load`: open-loop load from a scenario file to running nodes.

use std::path::PathBuf;

use eelgrassmill_load::{Scenario, Targets, run as run_load};
use pico_args::Arguments;
use smol_str::SmolStr;

use super::print;
use crate::args::{address, finish, path, read};
use crate::error::CliError;

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let entries: String = args.value_from_str("--entries")?;
    let control: Option<SmolStr> = args.opt_value_from_str("--control")?;
    let file: PathBuf = args.free_from_os_str(path)?;
    finish(args)?;
    for entry in entries.split(',') {
        on_loopback(entry)?;
    }
    let text = read(&file)?;
    let scenario = Scenario::parse(&text)
        .map_err(|e| CliError::Scenario(format!("{}:{e}", file.display())))?;
    let targets = Targets {
        entries: entries.split(',').map(|e| e.trim().into()).collect(),
        control,
        entry_faults: None,
        progress: true,
    };
    let report = run_load(&scenario, &targets).map_err(|e| CliError::Failed(e.to_string()))?;
    if json {
        let text = report
            .to_json()
            .map_err(|e| CliError::Failed(e.to_string()))?;
        print(&format!("{text}\n"))?;
    } else {
        print(&report.to_string())?;
    }
    if report.promises_kept() {
        return Ok(());
    }
    Err(CliError::Failed("a promise was broken, see above".into()))
}

/// Load is for nodes beside stand-ins on this machine and never for others'.
fn on_loopback(entry: &str) -> Result<(), CliError> {
    if address(entry)?.ip().is_loopback() {
        return Ok(());
    }
    Err(CliError::Usage(format!(
        "`{entry}` is not on loopback, write an entry on this machine"
    )))
}
