//! One set of stand-ins and nodes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eelgrassmill_base::HostReport;
use eelgrassmill_node::{ConfigStatus, GroupInfo, NodeInfo, TokenHash};
use eelgrassmill_standin::{RunReport, free_address};
use serde_json::{Value, json};

use super::child::Process;
use super::http::{Reply, ask};
use super::{secs, wait};

pub const ADMIN: &str = "an-admin-token-for-process-tests";
pub const TENANT: &str = "a-tenant-token-for-process-tests";
const ASK: Duration = Duration::from_secs(3);

static WORLDS: AtomicU32 = AtomicU32::new(0);

/// What a test may want otherwise.
pub struct Shape {
    pub nodes: usize,
    pub engines: usize,
    pub per_fabric: usize,
    pub groups: usize,
    pub slots: usize,
    /// Sections of the nodes' settings beyond the usual ones.
    pub settings: &'static str,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            nodes: 3,
            engines: 6,
            per_fabric: 6,
            groups: 2,
            slots: 8,
            settings: "",
        }
    }
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub peers: SocketAddr,
}

pub struct NodeProcess {
    pub name: String,
    pub ports: Ports,
    pub process: Process,
}

pub struct World {
    pub standin: Process,
    pub nodes: Vec<NodeProcess>,
    pub platform: SocketAddr,
    pub control: SocketAddr,
    pub engines: Vec<(String, SocketAddr)>,
    pub plain: Vec<(String, SocketAddr)>,
    shape: Shape,
    dir: PathBuf,
}

impl World {
    /// Starts all, submits the text and waits until every group serves everywhere.
    pub fn start(shape: Shape) -> World {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let dir = format!("eelgrassmill-process-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("a directory");
        let mut world = World::standins(shape, dir);
        for _ in 0..world.shape.nodes {
            world.add_node();
        }
        let reply = world.submit(0, "first", 0, &world.text(""));
        assert_eq!(reply["result"], "accepted", "{reply}");
        world.wait_in_force(1);
        world.wait_serving(world.shape.groups, secs(30));
        world
    }

    fn standins(shape: Shape, dir: PathBuf) -> World {
        let (engines, per) = (shape.engines.to_string(), shape.per_fabric.to_string());
        let args = ["standin", "--engines", &engines, "--per-fabric", &per];
        let mut standin = Process::start(&args, &dir.join("standin.log"));
        let line = standin.first_line();
        let described: Value = serde_json::from_str(&line).expect("a description");
        let targets = described["targets"].as_array().expect("targets").clone();
        let of = |kind: &str| -> Vec<(String, SocketAddr)> {
            let hosts = targets.iter().map(|t| &t["host"]);
            let hosts = hosts.filter(|h| text(&h["kind"]).eq_ignore_ascii_case(kind));
            hosts
                .map(|h| (text(&h["id"]).to_owned(), address(&h["address"])))
                .collect()
        };
        let control = text(&described["control"]).trim_start_matches("http://");
        World {
            nodes: Vec::new(),
            platform: address(&described["platform"]["address"]),
            control: control.trim_end_matches('/').parse().expect("an address"),
            engines: of("engine"),
            plain: of("plain"),
            standin,
            shape,
            dir,
        }
    }

    /// Starts one more node, with the others as its seeds; gives its place.
    pub fn add_node(&mut self) -> usize {
        let place = self.nodes.len();
        let name = format!("node-{place}");
        // Another process may take a port between its reservation and its use.
        for _ in 0..3 {
            let ports = reserve();
            let file = self.dir.join(format!("{name}.ini"));
            std::fs::write(&file, self.settings(&name, place, ports)).expect("settings");
            let log = self.dir.join(format!("{name}.log"));
            let args = ["serve", "--settings", file.to_str().expect("a plain path")];
            let mut process = Process::start(&args, &log);
            let up = wait("the node starts or ends", secs(20), || {
                if process.has_ended() {
                    return Some(false);
                }
                let live = ask("GET", ports.admin, "/live", &[], "", ASK);
                live.is_ok_and(|r| r.status == 200).then_some(true)
            });
            if up {
                self.nodes.push(NodeProcess {
                    name,
                    ports,
                    process,
                });
                return place;
            }
        }
        panic!("{name} does not start, see {}", self.dir.display());
    }

    fn settings(&self, name: &str, place: usize, ports: Ports) -> String {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|n| n.ports.peers.to_string())
            .collect();
        format!(
            "[node]\nid = {name}\nregion = region-1\nfailure_domain = domain-{}\n\
             [listen]\ncallers = {}\nadmin = {}\npeers = {}\n\
             [platform]\ntable = {}\n[admin]\ntoken_sha256 = {}\n[peers]\nseeds = {}\n\
             [timing]\nlease_term = 3s\nclock_margin = 500ms\norder_time = 1s\n\
             address_keep = 2s\nstop_time = 30s\n{}",
            place % 3 + 1,
            ports.callers,
            ports.admin,
            ports.peers,
            self.platform,
            TokenHash::of(ADMIN),
            seeds.join(", "),
            self.shape.settings,
        )
    }

    /// The text of the fleet, with lines of its own at the end.
    pub fn text(&self, more: &str) -> String {
        let Shape { groups, slots, .. } = self.shape;
        format!(
            "[fleet]\nrepair = downtime\n\n\
             [tenant desk]\ntoken_sha256 = {}\nweight = 1\nmax_queue = 200\n\n\
             [service reviews]\nkind = model\nmodel = lm\nversion = v1\ngroups = {groups}\n\
             hosts_per_group = 2\nfloor = 1\nslots = {slots}\nurgent_slots = 1\n\
             repeatable = yes\ntimeout = 30s\nmax_queue = 500\n\n\
             [service booking]\nkind = plain\ntargets = plain-0, plain-1\nslots = 8\n\
             repeatable = no\ntimeout = 10s\nkeep_answers = 10m\nmax_queue = 200\n{more}",
            TokenHash::of(TENANT),
        )
    }

    pub fn entries(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.ports.callers).collect()
    }

    /// Submits a text at a node; gives what it answered, or a null when nothing came.
    pub fn submit(&self, node: usize, id: &str, base: u64, text: &str) -> Value {
        submit(self.nodes[node].ports.admin, id, base, text).map_or(Value::Null, |r| r.json())
    }

    pub fn admin<T: serde::de::DeserializeOwned>(&self, node: usize, path: &str) -> Option<T> {
        admin(self.nodes[node].ports.admin, path)
    }

    pub fn groups(&self, node: usize) -> Vec<GroupInfo> {
        self.admin(node, "/admin/v1/groups").unwrap_or_default()
    }

    /// Place of the node that plans, as `node` knows it.
    pub fn planner(&self, node: usize) -> Option<usize> {
        let nodes: Vec<NodeInfo> = self.admin(node, "/admin/v1/nodes")?;
        let planner = nodes.iter().find(|n| n.planner)?;
        self.nodes.iter().position(|n| n.name == planner.node)
    }

    pub fn wait_in_force(&self, version: u64) {
        for node in 0..self.nodes.len() {
            wait("the version in force everywhere", secs(20), || {
                let status: ConfigStatus = self.admin(node, "/admin/v1/config/status")?;
                let there = status.nodes.iter().filter(|n| n.version >= Some(version));
                (there.count() >= self.nodes.len()).then_some(())
            });
        }
    }

    /// Waits until `count` groups serve at every node that runs.
    pub fn wait_serving(&self, count: usize, bound: Duration) {
        self.wait_serving_at(&(0..self.nodes.len()).collect::<Vec<_>>(), count, bound);
    }

    pub fn wait_serving_at(&self, nodes: &[usize], count: usize, bound: Duration) {
        for node in nodes {
            wait("the groups serve", bound, || {
                let groups = self.groups(*node);
                (groups.iter().filter(|g| g.serving).count() >= count).then_some(())
            });
        }
    }

    /// Switches a fault of a target, or of `platform`; `more` holds `&ms=` and `&n=`.
    pub fn fault(&self, target: &str, name: &str, more: &str) {
        self.switch("POST", target, name, more);
    }

    pub fn end_fault(&self, target: &str, name: &str) {
        self.switch("DELETE", target, name, "");
    }

    fn switch(&self, method: &str, target: &str, name: &str, more: &str) {
        let path = format!("/fault?target={target}&name={name}{more}");
        let reply = ask(method, self.control, &path, &[], "", ASK).expect("the control port");
        assert_eq!(reply.status, 200, "{path}");
    }

    pub fn runs(&self, host: &str) -> RunReport {
        let path = format!("/runs?target={host}");
        let reply = ask("GET", self.control, &path, &[], "", ASK).expect("the control port");
        serde_json::from_str(&reply.body.expect("a body")).expect("a report")
    }

    /// The most runs of any key, over all plain hosts together.
    pub fn most_runs_of_a_key(&self) -> u64 {
        let mut runs = std::collections::BTreeMap::new();
        for (host, _) in &self.plain {
            for (key, count) in self.runs(host).by_key {
                *runs.entry(key).or_insert(0) += count;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }

    /// Values of the rows under a prefix, at one point in time.
    pub fn rows(&self, prefix: &str) -> Vec<Value> {
        rows(self.platform, prefix)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn admin<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> Option<T> {
    admin_within(at, path, ASK)
}

pub fn admin_within<T: serde::de::DeserializeOwned>(
    at: SocketAddr,
    path: &str,
    bound: Duration,
) -> Option<T> {
    let token = format!("Bearer {ADMIN}");
    let reply = ask("GET", at, path, &[("authorization", &token)], "", bound).ok()?;
    serde_json::from_str(&reply.body.ok()?).ok()
}

pub fn submit(at: SocketAddr, id: &str, base: u64, text: &str) -> std::io::Result<Reply> {
    let token = format!("Bearer {ADMIN}");
    let body = json!({ "id": id, "base": base, "author": id, "text": text }).to_string();
    let headers = [("authorization", token.as_str())];
    ask("POST", at, "/admin/v1/config", &headers, &body, secs(35))
}

pub fn rows(platform: SocketAddr, prefix: &str) -> Vec<Value> {
    let path = format!("/table/rows?prefix={prefix}");
    let Ok(reply) = ask("GET", platform, &path, &[], "", ASK) else {
        return Vec::new();
    };
    let rows = reply.json();
    let rows = rows.as_array().cloned().unwrap_or_default();
    let values = rows.iter().filter_map(|row| row["value"].as_str());
    values
        .filter_map(|v| serde_json::from_str(v).ok())
        .collect()
}

pub fn health(at: SocketAddr) -> Option<HostReport> {
    let reply = ask("GET", at, "/health", &[], "", Duration::from_millis(500)).ok()?;
    serde_json::from_str(&reply.body.ok()?).ok()
}

fn reserve() -> Ports {
    let address = || free_address().expect("a free port");
    Ports {
        callers: address(),
        admin: address(),
        peers: address(),
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn address(value: &Value) -> SocketAddr {
    text(value).parse().expect("an address")
}
