//! The commands, one module each.

mod addresses;
mod config;
mod demo;
mod lists;
mod load;
mod serve;
mod standin;
mod timeline;

use std::ffi::OsString;

use pico_args::Arguments;

use crate::error::CliError;
use crate::help;

/// Runs the command that `args` ask for.
pub(crate) fn run(args: Vec<OsString>) -> Result<(), CliError> {
    let mut args = Arguments::from_vec(args);
    let command = args.subcommand()?.unwrap_or_default();
    if args.contains(["-h", "--help"]) {
        return print(&help::of(&command));
    }
    if args.contains("--version") {
        return print(concat!("eelgrassmill ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    match command.as_str() {
        "config" => config::run(args),
        "groups" | "hosts" | "nodes" | "tenants" | "suspects" => lists::run(&command, args),
        "timeline" => timeline::run(args),
        "addresses" => addresses::run(args),
        "standin" => standin::run(args),
        "serve" => serve::run(args),
        "demo" => demo::run(args),
        "load" => load::run(args),
        "" => Err(CliError::Usage("no command".to_owned())),
        other => Err(CliError::Usage(format!("`{other}` is no command"))),
    }
}

/// Prints `text` as it is.
pub(crate) fn print(text: &str) -> Result<(), CliError> {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    // A reader that has seen enough, like `head`, closes the pipe: no fault.
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(CliError::Failed(format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}

/// Prints `value` as JSON.
fn print_json(value: &impl serde::Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|e| CliError::Failed(format!("not JSON: {e}")))?;
    print(&format!("{text}\n"))
}
