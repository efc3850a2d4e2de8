//! `standin`: stand-ins in a process of their own.

use eelgrassmill_node::LogSettings;
use eelgrassmill_standin::{Standins, StandinsBuilder, engine_specs, plain_specs};
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::info;

use super::print;
use crate::args::{address, finish};
use crate::error::CliError;
use crate::logs;

const DEFAULT_WEIGHTS: [&str; 2] = ["lm@v1=1000000", "lm@v2=1000000"];
const MAX_HOSTS: usize = 1_000;

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let log: Option<String> = args.opt_value_from_str("--log")?;
    let json = match log.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => {
            return Err(CliError::Usage(format!(
                "`--log {other}`, write text or json"
            )));
        }
    };
    let builder = builder(&mut args)?;
    finish(args)?;
    logs::start(&LogSettings {
        json,
        ..LogSettings::default()
    });
    // Before the first line goes out: a stop that follows at once must find it.
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|e| failed(&e))?;
    let standins = builder.start().map_err(|e| failed(&e))?;
    print(&format!("{}\n", standins.serve_description()))?;
    info!(platform = standins.platform_address(), "stand-ins started");
    signals.forever().next();
    info!("stand-ins stopped");
    Ok(())
}

fn builder(args: &mut Arguments) -> Result<StandinsBuilder, CliError> {
    let engines = count(args, "--engines", 4)?;
    let per_fabric = count(args, "--per-fabric", 2)?;
    let plain = count(args, "--plain", 2)?;
    let mut builder = Standins::builder()
        .hosts(engine_specs(engines, per_fabric))
        .hosts(plain_specs(plain));
    let mut weights: Vec<String> = args.values_from_str("--weights")?;
    if weights.is_empty() {
        weights = DEFAULT_WEIGHTS.map(str::to_owned).to_vec();
    }
    for entry in &weights {
        let (model, version, bytes) = weight(entry)?;
        builder = builder.weights(model, version, bytes);
    }
    if let Some(at) = args.opt_value_from_str::<_, String>("--platform")? {
        builder = builder.platform_address(address(&at)?);
    }
    if let Some(at) = args.opt_value_from_str::<_, String>("--control")? {
        builder = builder.control_address(address(&at)?);
    }
    Ok(builder)
}

fn count(args: &mut Arguments, flag: &'static str, default: usize) -> Result<usize, CliError> {
    let n = args.opt_value_from_str(flag)?.unwrap_or(default);
    if n <= MAX_HOSTS {
        return Ok(n);
    }
    Err(CliError::Usage(format!(
        "`{flag} {n}` is too much, write at most {MAX_HOSTS}"
    )))
}

fn weight(entry: &str) -> Result<(&str, &str, u64), CliError> {
    let parts = entry.split_once('=').and_then(|(name, bytes)| {
        let (model, version) = name.split_once('@')?;
        Some((model, version, bytes.parse().ok()?))
    });
    parts.ok_or_else(|| CliError::Usage(format!("`--weights {entry}`, write MODEL@VERSION=BYTES")))
}

fn failed(error: &impl std::fmt::Display) -> CliError {
    CliError::Failed(error.to_string())
}
