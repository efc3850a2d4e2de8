//! `addresses`: which addresses callers are to use.

use pico_args::Arguments;

use super::print;
use crate::args::{address, finish};
use crate::client::get_from_entry;
use crate::error::CliError;

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let entry: String = args.value_from_str("--entry")?;
    let service: String = args.value_from_str("--service")?;
    finish(args)?;
    if !eelgrassmill_config::is_name(&service) {
        return Err(CliError::Usage(format!("`{service}` is no service's name")));
    }
    let path = format!("/v1/addresses?service={service}");
    match get_from_entry(address(&entry)?, &path)? {
        (true, answer) => print(&format!("{}\n", answer.trim_end())),
        (false, answer) => Err(CliError::Failed(format!("refused: {}", answer.trim_end()))),
    }
}
