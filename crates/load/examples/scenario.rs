//! Runs scenario files against nodes and stand-ins that it starts in this process.
//!
//! `cargo run --release -p eelgrassmill-load --example scenario -- scenarios/lindach.ini`
//!
//! With `--json` the result is JSON. Exits with 1 when a promise was broken.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use eelgrassmill_load::{Api, EntryFault, Report, Scenario, Targets, run};
use eelgrassmill_node::{Node, Settings};
use eelgrassmill_standin::{Standins, engine_specs, plain_specs};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

const NODES: usize = 3;
const ENGINES: usize = 12;
const HOSTS_PER_FABRIC: usize = 4;
const GROUPS: u32 = 4;
const PLAIN_TARGETS: usize = 4;
const ADMIN_TOKEN: &str = "admin-token-of-the-scenarios";
const READY_TIME: Duration = Duration::from_secs(30);
const POLL_TIME: Duration = Duration::from_millis(50);
const CALL_TIME: Duration = Duration::from_secs(10);

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let (flags, files): (Vec<String>, Vec<String>) = std::env::args()
        .skip(1)
        .partition(|arg| arg.starts_with("--"));
    let json = flags.iter().any(|flag| flag == "--json");
    let mut kept = true;
    for file in &files {
        let scenario = Scenario::parse(&std::fs::read_to_string(file)?)?;
        let report = run_scenario(&scenario)?;
        kept &= report.promises_kept();
        if json {
            println!("{}", report.to_json()?);
        } else {
            println!("{report}");
        }
    }
    Ok(if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_scenario(scenario: &Scenario) -> Result<Report, Box<dyn Error>> {
    let standins = Standins::builder()
        .hosts(engine_specs(ENGINES, HOSTS_PER_FABRIC))
        .hosts(plain_specs(PLAIN_TARGETS))
        .weights("lm", "1", 1 << 20)
        .start()?;
    let platform: SocketAddr = standins.platform_address().parse()?;
    let mut nodes: Vec<Option<Node>> = Vec::new();
    for i in 0..NODES {
        nodes.push(Some(Node::start(settings(i, platform))?));
    }
    let callers = nodes
        .iter()
        .flatten()
        .map(|node| node.caller_address().to_string().into());
    let entries: Vec<SmolStr> = callers.collect();
    let admins = nodes
        .iter()
        .flatten()
        .map(Node::admin_address)
        .collect::<Vec<_>>();
    submit(admins[0], &operators_text(scenario))?;
    wait_until_served(scenario, &admins)?;
    let (tx, rx) = channel();
    let targets = Targets {
        entries,
        control: Some(standins.control_address().into()),
        entry_faults: Some(tx),
        progress: true,
    };
    std::thread::scope(|scope| {
        scope.spawn(move || keep_entries(nodes, &rx));
        let report = run(scenario, &targets);
        // Ends the keeper, which holds the nodes until then.
        drop(targets);
        Ok(report?)
    })
}

fn settings(i: usize, platform: SocketAddr) -> Settings {
    let mut settings = Settings::loopback(format!("node-{i}"), platform, ADMIN_TOKEN);
    settings.region = "region-1".into();
    settings.failure_domain = format!("domain-{}", i % 3 + 1).into();
    settings.timing.lease_term = Duration::from_secs(3);
    settings.timing.clock_margin = Duration::from_millis(300);
    settings.timing.order_time = Duration::from_secs(1);
    settings.timing.address_keep = Duration::from_secs(1);
    settings
}

/// Drops a node when its entry is to be killed; that ends it as a crash would.
fn keep_entries(mut nodes: Vec<Option<Node>>, faults: &Receiver<EntryFault>) {
    while let Ok(fault) = faults.recv() {
        if let Some(node) = nodes.get_mut(fault.entry) {
            drop(node.take());
        }
    }
}

/// A text with every tenant and service that the scenario names.
fn operators_text(scenario: &Scenario) -> String {
    let mut text = String::from("[fleet]\nrepair = downtime\n");
    for (name, tenant) in &scenario.tenants {
        let digest = Sha256::digest(tenant.token.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = write!(text, "\n[tenant {name}]\ntoken_sha256 = {hex}\n");
    }
    let services: BTreeMap<&SmolStr, Api> = scenario
        .classes
        .values()
        .map(|class| (&class.service, class.api))
        .collect();
    for (name, api) in services {
        let _ = match api {
            Api::Call => {
                let targets: Vec<String> =
                    (0..PLAIN_TARGETS).map(|i| format!("plain-{i}")).collect();
                write!(
                    text,
                    "\n[service {name}]\nkind = plain\nrepeatable = no\ntargets = {}\nslots = 8\n",
                    targets.join(", ")
                )
            }
            Api::Completions | Api::Chat => write!(
                text,
                "\n[service {name}]\nkind = model\nmodel = lm\nversion = 1\ngroups = {GROUPS}\n\
                 hosts_per_group = 2\nslots = 8\nurgent_slots = 2\n"
            ),
        };
    }
    text
}

fn submit(admin: SocketAddr, text: &str) -> Result<(), Box<dyn Error>> {
    let body = serde_json::json!({ "id": "scenario", "base": 0, "author": "load", "text": text });
    let answer = call(admin, "POST", "/admin/v1/config", &body.to_string())?;
    if answer.starts_with("HTTP/1.1 200") {
        Ok(())
    } else {
        Err(answer.into())
    }
}

/// Waits until every node has as many groups serving as the text wants.
fn wait_until_served(scenario: &Scenario, admins: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    let models: std::collections::BTreeSet<&SmolStr> = scenario
        .classes
        .values()
        .filter(|class| class.api != Api::Call)
        .map(|class| &class.service)
        .collect();
    let wanted = models.len() * GROUPS as usize;
    let start = Instant::now();
    for admin in admins {
        loop {
            let answer = call(*admin, "GET", "/admin/v1/groups", "")?;
            if answer.matches("\"serving\":true").count() >= wanted {
                break;
            }
            if start.elapsed() > READY_TIME {
                return Err(format!("groups are not whole in time: {answer}").into());
            }
            std::thread::sleep(POLL_TIME);
        }
    }
    Ok(())
}

/// One call of the admin API on a connection of its own; gives the raw answer.
fn call(admin: SocketAddr, method: &str, path: &str, body: &str) -> Result<String, Box<dyn Error>> {
    let mut stream = TcpStream::connect_timeout(&admin, CALL_TIME)?;
    stream.set_read_timeout(Some(CALL_TIME))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {admin}\r\nauthorization: Bearer {ADMIN_TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
