//! What control alone costs: eight nodes before 55 engines, and not one request.

mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use eelgrassmill_node::TokenHash;
use eelgrassmill_standin::free_address;
use process::child::Process;
use process::http::ask;
use process::world::{ADMIN, admin, submit};
use process::{secs, wait};
use serde_json::Value;

const NODES: usize = 8;
const ENGINES: usize = 55;
const HOSTS_PER_GROUP: usize = 4;
const GROUPS: usize = 13;
/// Seconds over which the costs are counted; for the figures on the page, set the
/// variable below to 30.
const SPAN: u64 = 5;
const SPAN_VARIABLE: &str = "EELGRASSMILL_CONTROL_SECONDS";
/// Time before that, in which what the start brought about dies down.
const SETTLING: u64 = 5;

/// Percent of a core that a node may spend on control.
const CPU_BUDGET: f64 = 2.7;
const MB_BUDGET: f64 = 32.0;
const KB_PER_SECOND_BUDGET: f64 = 16.0;

struct Node {
    admin: SocketAddr,
    _process: Process,
}

/// Counters of a node at one time.
struct Counts {
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
    reads: f64,
    writes: f64,
}

impl Counts {
    fn of(node: &Node) -> Counts {
        let token = format!("Bearer {ADMIN}");
        let headers = [("authorization", token.as_str())];
        let reply = ask("GET", node.admin, "/metrics", &headers, "", secs(3));
        let text = reply.expect("the metrics").body.expect("all of them");
        let sum = |parts: &[&str]| -> f64 {
            let lines = text.lines().filter(|l| !l.starts_with('#'));
            let lines = lines.filter(|l| parts.iter().all(|p| l.contains(p)));
            let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
            values.sum()
        };
        Counts {
            cpu: sum(&["process_cpu_seconds_total"]),
            memory: sum(&["process_resident_memory_bytes"]),
            sent: sum(&["peer_bytes_total", "sent"]),
            received: sum(&["peer_bytes_total", "received"]),
            reads: sum(&["table_calls_total", "\"get\""]) + sum(&["table_calls_total", "\"scan\""]),
            writes: sum(&["table_calls_total", "\"commit\""]),
        }
    }
}

/// One node's costs in the units of the budget.
struct Cost {
    cpu_percent: f64,
    mb: f64,
    kb_per_second: f64,
    reads: f64,
    writes: f64,
}

impl Cost {
    fn between(before: &Counts, after: &Counts, seconds: f64) -> Cost {
        let per_second = |f: fn(&Counts) -> f64| (f(after) - f(before)) / seconds;
        Cost {
            cpu_percent: per_second(|c| c.cpu) * 100.0,
            mb: after.memory / 1e6,
            kb_per_second: per_second(|c| c.sent + c.received) / 1000.0,
            reads: per_second(|c| c.reads),
            writes: per_second(|c| c.writes),
        }
    }
}

fn free_port() -> SocketAddr {
    free_address().expect("a free port")
}

fn start_standins(dir: &Path) -> (Process, String) {
    let (engines, per_fabric) = (ENGINES.to_string(), (HOSTS_PER_GROUP * 2).to_string());
    let args = [
        "standin",
        "--engines",
        &engines,
        "--per-fabric",
        &per_fabric,
    ];
    let mut standin = Process::start(&args, &dir.join("standin.log"));
    let told: Value = serde_json::from_str(&standin.first_line()).expect("a description");
    let platform = told["platform"]["address"].as_str().expect("an address");
    (standin, platform.to_owned())
}

/// Starts a node with the timings that nodes have when nothing else is set.
fn start_node(
    dir: &Path,
    place: usize,
    platform: &str,
    seed: Option<SocketAddr>,
) -> (Node, SocketAddr) {
    let (callers, admin, peers) = (free_port(), free_port(), free_port());
    let seeds = seed.map_or(String::new(), |s| format!("[peers]\nseeds = {s}\n"));
    let settings = format!(
        "[node]\nid = node-{place}\nregion = region-1\nfailure_domain = domain-{}\n\
         [listen]\ncallers = {callers}\nadmin = {admin}\npeers = {peers}\n\
         [platform]\ntable = {platform}\n[admin]\ntoken_sha256 = {}\n{seeds}",
        place % 3 + 1,
        TokenHash::of(ADMIN),
    );
    let file = dir.join(format!("node-{place}.ini"));
    fs::write(&file, settings).expect("settings");
    let args = ["serve", "--settings", file.to_str().expect("a plain path")];
    let process = Process::start(&args, &dir.join(format!("node-{place}.log")));
    wait("the node starts", secs(20), || {
        let live = ask("GET", admin, "/live", &[], "", secs(1)).ok()?;
        (live.status == 200).then_some(())
    });
    let node = Node {
        admin,
        _process: process,
    };
    (node, peers)
}

fn text() -> String {
    format!(
        "[tenant desk]\ntoken_sha256 = {}\n\n[service reviews]\nkind = model\nmodel = lm\n\
         version = v1\ngroups = {GROUPS}\nhosts_per_group = {HOSTS_PER_GROUP}\n",
        TokenHash::of("desk-token")
    )
}

fn serving(node: &Node) -> usize {
    let groups: Vec<Value> = admin(node.admin, "/admin/v1/groups").unwrap_or_default();
    groups.iter().filter(|g| g["serving"] == true).count()
}

fn measure(nodes: &[Node]) -> Vec<Cost> {
    std::thread::sleep(secs(SETTLING));
    let before: Vec<Counts> = nodes.iter().map(Counts::of).collect();
    let began = std::time::Instant::now();
    std::thread::sleep(secs(span()));
    let seconds = began.elapsed().as_secs_f64();
    let after = nodes.iter().map(Counts::of);
    let pairs = before.iter().zip(after);
    pairs.map(|(b, a)| Cost::between(b, &a, seconds)).collect()
}

/// Seconds over which the costs are counted.
fn span() -> u64 {
    let set = std::env::var(SPAN_VARIABLE).ok();
    set.and_then(|v| v.parse().ok()).unwrap_or(SPAN)
}

fn print(costs: &[Cost]) {
    println!(
        "{NODES} nodes, {ENGINES} engines, {GROUPS} groups of {HOSTS_PER_GROUP}, no load, {} s",
        span()
    );
    println!("node     core %      MB   KB/s  reads/s writes/s");
    for (i, c) in costs.iter().enumerate() {
        println!(
            "{i:<8} {:>6.2} {:>7.1} {:>7.1} {:>8.1} {:>8.1}",
            c.cpu_percent, c.mb, c.kb_per_second, c.reads, c.writes
        );
    }
    println!("budget   {CPU_BUDGET:>6.2} {MB_BUDGET:>7.1} {KB_PER_SECOND_BUDGET:>7.1}");
}

struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Control that takes more than its part takes it from the requests. Prints the
/// costs of each node beside the budget, with the timings that nodes have when
/// nothing else is set. Memory alone fails it: the other two move with the
/// machine and stand on the operators' page as they were measured.
#[test]
fn control_alone_is_measured_and_stays_within_its_memory() {
    let dir = std::env::temp_dir().join(format!("eelgrassmill-control-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    let dir = TempDir(dir);
    let (_standin, platform) = start_standins(&dir.0);
    let (first, seed) = start_node(&dir.0, 0, &platform, None);
    let mut nodes = vec![first];
    for place in 1..NODES {
        nodes.push(start_node(&dir.0, place, &platform, Some(seed)).0);
    }
    wait("the text is accepted", secs(20), || {
        let reply = submit(nodes[0].admin, "control", 0, &text()).ok()?;
        (reply.status == 200).then_some(())
    });
    for node in &nodes {
        wait("all groups serve", secs(60), || {
            (serving(node) == GROUPS).then_some(())
        });
    }
    let costs = measure(&nodes);
    print(&costs);
    assert!(costs.iter().all(|c| c.mb < MB_BUDGET));
}
