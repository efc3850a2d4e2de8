//! The eelgrassmill command line: reads flags, runs one command, says what went wrong.
//!
//! Exit codes: 0 done, 1 refused or failed, 2 wrong usage or a wrong file.

mod args;
mod client;
mod commands;
mod demo;
mod error;
mod help;
mod logs;
mod table;

use std::process::ExitCode;

use crate::error::CliError;

const PROGRAM: &str = "eelgrassmill";

fn main() -> ExitCode {
    match commands::run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn report(error: &CliError) {
    for line in error.to_string().lines() {
        eprintln!("{PROGRAM}: {line}");
    }
}
