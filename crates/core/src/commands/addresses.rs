//! `addresses`: which addresses callers are to use.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde::{Deserialize, Serialize};

use super::{print, print_json};
use crate::args::{address, finish, token};
use crate::client::get_from_entry;
use crate::error::CliError;

const TOKEN_VARIABLE: &str = "EELGRASSMILL_TENANT_TOKEN";

/// What an entry answers.
#[derive(Serialize, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    keep_seconds: u64,
}

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let entry: String = args.value_from_str("--entry")?;
    let service: String = args.value_from_str("--service")?;
    let token = token(&mut args, TOKEN_VARIABLE)?;
    finish(args)?;
    if !eelgrassmill_config::is_valid_name(&service) {
        return Err(CliError::Usage(format!("`{service}` is no service's name")));
    }
    let path = format!("/v1/addresses?service={service}");
    let answer: Addresses = get_from_entry(address(&entry)?, &path, &token)?;
    if json {
        return print_json(&answer);
    }
    let lines: Vec<String> = answer.addresses.iter().map(|a| format!("{a}\n")).collect();
    print(&format!(
        "{}# keep for {} s\n",
        lines.concat(),
        answer.keep_seconds
    ))
}
