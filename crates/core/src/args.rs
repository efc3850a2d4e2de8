//! Flags that several commands share.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::client::AdminClient;
use crate::error::CliError;

const ADMIN_VARIABLE: &str = "EELGRASSMILL_ADMIN";
const TOKEN_VARIABLE: &str = "EELGRASSMILL_TOKEN";

/// What every command that asks a node takes.
pub(crate) struct Common {
    pub(crate) client: AdminClient,
    pub(crate) json: bool,
}

impl Common {
    /// Takes the flags out of `args`.
    pub(crate) fn take(args: &mut Arguments) -> Result<Common, CliError> {
        let json = args.contains("--json");
        let given: Option<String> = args.opt_value_from_str("--admin")?;
        let addresses = given
            .or_else(|| std::env::var(ADMIN_VARIABLE).ok())
            .ok_or_else(|| {
                CliError::Usage(format!(
                    "no admin address, write --admin IP:PORT or set {ADMIN_VARIABLE}"
                ))
            })?;
        let addresses = addresses
            .split(',')
            .map(address)
            .collect::<Result<Vec<_>, _>>()?;
        let client = AdminClient::new(addresses, token(args, TOKEN_VARIABLE)?);
        Ok(Common { client, json })
    }
}

/// A token, from `--token-file` or else from `variable`.
///
/// The token comes from a file or a variable and never from a flag, which every
/// user of the machine could read in the list of processes.
pub(crate) fn token(args: &mut Arguments, variable: &str) -> Result<String, CliError> {
    let file: Option<PathBuf> = args.opt_value_from_os_str("--token-file", path)?;
    if let Some(file) = file {
        return Ok(read(&file)?.trim().to_owned());
    }
    std::env::var(variable).map_err(|_| {
        CliError::Usage(format!(
            "no token, write --token-file FILE or set {variable}"
        ))
    })
}

/// Reads a file that a flag names.
pub(crate) fn read(file: &std::path::Path) -> Result<String, CliError> {
    std::fs::read_to_string(file).map_err(|error| CliError::File {
        file: file.display().to_string(),
        error,
    })
}

/// A path as the flags give it.
pub(crate) fn path(text: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(PathBuf::from(text))
}

/// A numeric `IP:PORT`.
pub(crate) fn address(text: &str) -> Result<SocketAddr, CliError> {
    text.trim()
        .parse()
        .map_err(|_| CliError::Usage(format!("`{text}` is no address, write a numeric IP:PORT")))
}

/// Refuses what no flag of the command took.
pub(crate) fn finish(args: Arguments) -> Result<(), CliError> {
    let rest: Vec<OsString> = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => Err(CliError::Usage(format!(
            "`{}` means nothing here",
            first.display()
        ))),
    }
}
