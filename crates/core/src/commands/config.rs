//! `config`: check, submit, show, compare and follow the operators' text.

use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eelgrassmill_config::{Change, Config, Submit, is_valid_name, parse_duration};
use eelgrassmill_node::{ConfigStatus, ConfigVersionInfo, NodeConfig, SubmitReply};
use pico_args::Arguments;

use super::{print, print_json};
use crate::args::{Common, finish, path, read};
use crate::client::AdminClient;
use crate::error::CliError;
use crate::table::table;

/// First line of a shown text; tells the version that a changed text started from.
const HEADER: &str = "# eelgrassmill config version ";

/// Asks for one submission, all with the same id.
const SUBMIT_ATTEMPTS: u32 = 4;
const SUBMIT_PAUSE: Duration = Duration::from_secs(1);

/// Longest `--wait`.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
const STATUS_PAUSE: Duration = Duration::from_millis(200);

pub(crate) fn run(mut args: Arguments) -> Result<(), CliError> {
    let action = args.subcommand()?.unwrap_or_default();
    match action.as_str() {
        "check" => check(args),
        "submit" => submit(args),
        "show" => show(args),
        "diff" => diff(args),
        "log" => log(args),
        "status" => status(args),
        "" => Err(CliError::Usage("config: no action".to_owned())),
        other => Err(CliError::Usage(format!("config: `{other}` is no action"))),
    }
}

fn check(mut args: Arguments) -> Result<(), CliError> {
    let file = file(&mut args)?;
    finish(args)?;
    let config = parse(&read(&file)?, &file)?;
    let (services, tenants) = (config.services.len(), config.tenants.len());
    print(&format!("ok: {services} services, {tenants} tenants\n"))
}

fn submit(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    let base: Option<u64> = args.opt_value_from_str("--base")?;
    let author: Option<String> = args.opt_value_from_str("--author")?;
    let id: Option<String> = args.opt_value_from_str("--id")?;
    let file = file(&mut args)?;
    finish(args)?;
    let text = read(&file)?;
    parse(&text, &file)?;
    let (version, text) = split_header(&text);
    let base = base.or(version).ok_or_else(|| {
        let why = "no version that the file was made from, write --base V (0 for the first text) \
                   or start from the output of `config show`";
        CliError::Usage(why.to_owned())
    })?;
    let author = author
        .or_else(|| std::env::var("USER").ok())
        .ok_or_else(|| CliError::Usage("no author, write --author NAME".to_owned()))?;
    let id = id.unwrap_or_else(new_id);
    if !is_valid_name(&id) {
        return Err(CliError::Usage(format!(
            "`--id {id}` can't be, write a plain name"
        )));
    }
    let submit = Submit {
        id: id.into(),
        base,
        author: author.into(),
        text: text.to_owned(),
    };
    let reply = ask_until_answered(&common.client, &submit)?;
    if common.json {
        return print_json(&reply);
    }
    match reply {
        SubmitReply::Accepted { version } => print(&format!("accepted as version {version}\n")),
        SubmitReply::AlreadyAccepted { version } => {
            print(&format!("already accepted as version {version}\n"))
        }
        // Refusals come as problems and not as replies.
        SubmitReply::Conflict { .. } | SubmitReply::Invalid { .. } => {
            Err(CliError::Failed("refused without a reason".to_owned()))
        }
    }
}

/// Repeats a submission whose answer was lost. The id makes that safe: one that
/// was accepted is told so again, and never accepted twice.
fn ask_until_answered(client: &AdminClient, submit: &Submit) -> Result<SubmitReply, CliError> {
    let body = serde_json::to_string(submit).map_err(|e| CliError::Failed(e.to_string()))?;
    let mut lost = false;
    let mut attempt = 1;
    loop {
        let error = match client.post("/admin/v1/config", &body) {
            Err(e) if is_lost(&e) || is_unavailable(&e) => e,
            answer => return answer,
        };
        lost |= is_lost(&error);
        if attempt == SUBMIT_ATTEMPTS {
            return Err(given_up(&error, lost, submit));
        }
        eprintln!("eelgrassmill: {error}; asking again");
        std::thread::sleep(SUBMIT_PAUSE);
        attempt += 1;
    }
}

fn given_up(error: &CliError, lost: bool, submit: &Submit) -> CliError {
    let id = &submit.id;
    CliError::Failed(if lost {
        format!("{error}\nit may have been accepted: repeat it with --id {id}")
    } else {
        format!("{error}\nit was not accepted, try again later")
    })
}

/// Whether the submission may have been accepted though no answer says so.
fn is_lost(error: &CliError) -> bool {
    match error {
        CliError::NoAnswer { .. } => true,
        CliError::Refused(problem) => problem.status == 504,
        _ => false,
    }
}

fn is_unavailable(error: &CliError) -> bool {
    matches!(error, CliError::Refused(problem) if problem.status == 503)
}

fn show(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    let version: Option<u64> = args.opt_free_from_str()?;
    finish(args)?;
    let query = version.map_or_else(String::new, |v| format!("?version={v}"));
    let shown: ConfigVersionInfo = common.client.get(&format!("/admin/v1/config{query}"))?;
    if common.json {
        return print_json(&shown);
    }
    let text = shown.text.unwrap_or_default();
    print(&format!(
        "{HEADER}{} by {}\n{text}",
        shown.version, shown.author
    ))
}

fn diff(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    let file = file(&mut args)?;
    finish(args)?;
    let text = read(&file)?;
    parse(&text, &file)?;
    let changes: Vec<Change> = common.client.post("/admin/v1/config/diff", &text)?;
    if common.json {
        return print_json(&changes);
    }
    if changes.is_empty() {
        return print("no change\n");
    }
    let lines: Vec<String> = changes.iter().map(|c| format!("{c}\n")).collect();
    print(&lines.concat())
}

fn log(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    finish(args)?;
    let versions: Vec<ConfigVersionInfo> = common.client.get("/admin/v1/config/log")?;
    if common.json {
        return print_json(&versions);
    }
    let row = |v: &ConfigVersionInfo| {
        vec![
            v.version.to_string(),
            v.author.to_string(),
            v.submit_id.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = versions.iter().map(row).collect();
    print(&table(&["VERSION", "AUTHOR", "SUBMISSION"], &rows))
}

fn status(mut args: Arguments) -> Result<(), CliError> {
    let common = Common::take(&mut args)?;
    let wait: Option<String> = args.opt_value_from_str("--wait")?;
    finish(args)?;
    let wait = wait.as_deref().map(wait_time).transpose()?;
    let until = Instant::now() + wait.unwrap_or_default();
    let status = loop {
        let status: ConfigStatus = common.client.get("/admin/v1/config/status")?;
        if is_everywhere(&status) || Instant::now() >= until {
            break status;
        }
        std::thread::sleep(STATUS_PAUSE);
    };
    show_status(&common, &status)?;
    if wait.is_some() && !is_everywhere(&status) {
        return Err(CliError::Failed(
            "not in force at every node in time".to_owned(),
        ));
    }
    Ok(())
}

fn wait_time(text: &str) -> Result<Duration, CliError> {
    let wait = parse_duration(text).filter(|d| *d <= MAX_WAIT);
    wait.ok_or_else(|| {
        CliError::Usage(format!(
            "`--wait {text}` can't be, write a duration like 14s, at most 1h"
        ))
    })
}

fn is_everywhere(status: &ConfigStatus) -> bool {
    status
        .nodes
        .iter()
        .all(|n| n.version == Some(status.accepted))
}

fn show_status(common: &Common, status: &ConfigStatus) -> Result<(), CliError> {
    if common.json {
        return print_json(status);
    }
    let in_force = |v: Option<u64>| v == Some(status.accepted);
    let there = status.nodes.iter().filter(|n| in_force(n.version)).count();
    let all = status.nodes.len();
    print(&format!(
        "version {} is in force at {there} of {all} nodes\n",
        status.accepted
    ))?;
    let row = |n: &NodeConfig| {
        let version = n.version.map_or_else(|| "?".to_owned(), |v| v.to_string());
        let behind = n.behind.as_deref().unwrap_or("-").to_owned();
        vec![n.node.to_string(), version, behind]
    };
    let rows: Vec<Vec<String>> = status.nodes.iter().map(row).collect();
    print(&table(&["NODE", "VERSION", "BEHIND BECAUSE"], &rows))
}

fn file(args: &mut Arguments) -> Result<PathBuf, CliError> {
    let file = args.opt_free_from_os_str(path)?;
    file.ok_or_else(|| CliError::Usage("no file".to_owned()))
}

fn parse(text: &str, file: &std::path::Path) -> Result<Config, CliError> {
    Ok(Config::parse(text, &file.display().to_string())?)
}

/// The version in the first line of a shown text, and the text without that line.
fn split_header(text: &str) -> (Option<u64>, &str) {
    let Some(rest) = text.strip_prefix(HEADER) else {
        return (None, text);
    };
    let (line, text) = rest.split_once('\n').unwrap_or((rest, ""));
    let version = line.split(' ').next().and_then(|v| v.parse().ok());
    (version, text)
}

/// An id that no other submission has: time, process and a random number.
fn new_id() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    format!("{:x}-{random:016x}", now.as_millis())
}
