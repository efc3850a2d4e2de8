//! Nodes and stand-ins in one process, and a caller's and an operator's view of them.
// Each test file uses a part of it, and a panic is how a test fails.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

pub mod load;
pub mod observe;
pub mod stream;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrassmill_node::{Node, NodeError, Settings};
use eelgrassmill_peer::PeerError;
use eelgrassmill_standin::{HostSpec, Standins, engine_specs, plain_specs};
use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde_json::Value;

pub const ADMIN_TOKEN: &str = "admin-token-of-the-tests";
pub const TENANT_TOKEN: &str = "front-desk-token";
/// SHA-256 of `front-desk-token`.
const TENANT_SHA: &str = "4041b16b35e6017fd6730601da4767cb77320f501eec6fc573dddddb52a7298e";

pub struct Answer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {}", self.text))
    }

    /// Whether it is an error with this outcome.
    pub fn outcome_is(&self, outcome: &str) -> bool {
        self.status >= 400 && self.outcome() == outcome
    }

    pub fn outcome(&self) -> String {
        self.json()["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

pub struct Cluster {
    pub standins: Standins,
    pub nodes: Vec<Node>,
}

/// Starts a node on ports that the system chooses.
///
/// The peers' port is chosen before it is listened on; a test beside this one
/// may be given it in between, and then another is chosen.
fn start_node(settings: &Settings) -> Node {
    for _ in 0..5 {
        match Node::start(settings.clone()) {
            Ok(node) => return node,
            Err(NodeError::Peers(PeerError::Listen(_))) => {}
            Err(err) => panic!("{err}"),
        }
    }
    panic!("no free port for peers in five tries");
}

/// A text with one model service of groups of two and one plain service.
pub fn text(groups: u32) -> String {
    format!(
        "[fleet]\nrepair = downtime\n\n\
         [tenant front-desk]\ntoken_sha256 = {TENANT_SHA}\nweight = 1\nmax_queue = 100\n\n\
         [service reply]\nkind = model\nmodel = lm\nversion = 1\ngroups = {groups}\n\
         hosts_per_group = 2\nfloor = 0\nslots = 8\nurgent_slots = 2\nrepeatable = yes\n\
         timeout = 20s\nmax_queue = 100\n\n\
         [service booking]\nkind = plain\ntargets = plain-0\nslots = 8\nrepeatable = no\n\
         timeout = 10s\nmax_queue = 100\n"
    )
}

pub fn settings(i: usize, standins: &Standins) -> Settings {
    let platform: SocketAddr = standins.platform_address().parse().unwrap();
    let mut settings = Settings::loopback(format!("node-{i}"), platform, ADMIN_TOKEN);
    settings.region = "region-1".into();
    settings.failure_domain = format!("domain-{}", i % 3 + 1).into();
    settings.timing.lease_term = Duration::from_secs(3);
    settings.timing.clock_margin = Duration::from_millis(300);
    settings.timing.order_time = Duration::from_secs(1);
    settings.timing.address_keep = Duration::from_secs(1);
    settings
}

impl Cluster {
    pub fn start(nodes: usize, engines: usize) -> Cluster {
        Cluster::of(nodes, engine_specs(engines, 4))
    }

    /// Nodes and these engine hosts, two plain hosts, and the versions 1 and 2 of a model.
    pub fn of(nodes: usize, engines: Vec<HostSpec>) -> Cluster {
        Cluster::with_settings(nodes, engines, |_, _| {})
    }

    /// Like [`Cluster::of`], with each node's settings changed by `change`.
    pub fn with_settings(
        nodes: usize,
        engines: Vec<HostSpec>,
        change: impl Fn(usize, &mut Settings),
    ) -> Cluster {
        let standins = Standins::builder()
            .hosts(engines)
            .hosts(plain_specs(2))
            .weights("lm", "1", 1 << 20)
            .weights("lm", "2", 1 << 20)
            .start()
            .unwrap();
        let mut started: Vec<Node> = Vec::new();
        for i in 0..nodes {
            let mut settings = settings(i, &standins);
            settings.seeds = started.iter().map(Node::peer_address).collect();
            change(i, &mut settings);
            started.push(start_node(&settings));
        }
        Cluster {
            standins,
            nodes: started,
        }
    }

    /// Submits `text` at node 0 and waits until every node has it in force.
    pub fn accept(&self, text: &str, base: u64) -> u64 {
        let version = self.submit(0, text, base);
        eventually("config in force everywhere", || {
            let status = self.admin(0, "GET", "/admin/v1/config/status", "").json();
            let nodes = status["nodes"].as_array().unwrap().clone();
            nodes.len() == self.nodes.len()
                && nodes.iter().all(|n| n["version"].as_u64() == Some(version))
        });
        version
    }

    /// Submits `text` at node `i`; gives the version that was accepted.
    pub fn submit(&self, i: usize, text: &str, base: u64) -> u64 {
        let submit = serde_json::json!({
            "id": format!("submit-{base}"), "base": base, "author": "test", "text": text,
        });
        let answer = self.admin(i, "POST", "/admin/v1/config", &submit.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text);
        answer.json()["version"].as_u64().unwrap()
    }

    /// The version that node `i` itself has in force.
    pub fn version_at(&self, i: usize) -> u64 {
        let status = self.admin(i, "GET", "/admin/v1/config/status", "").json();
        status["accepted"].as_u64().unwrap()
    }

    /// Cuts the nodes of each part off from all nodes outside it; one part heals all cuts.
    pub fn partition(&self, parts: &[&[usize]]) {
        for part in parts {
            for i in *part {
                let outside = (0..self.nodes.len()).filter(|n| !part.contains(n));
                let refused = outside.map(|n| format!("node-{n}").into());
                self.nodes[*i].blocked_peers().set(refused);
            }
        }
    }

    pub fn heal(&self) {
        for node in &self.nodes {
            node.blocked_peers().set([]);
        }
    }

    /// The number of the node that decides formations, as node 0 knows.
    pub fn planner(&self) -> Option<usize> {
        let nodes = self.admin(0, "GET", "/admin/v1/nodes", "").json();
        let nodes = nodes.as_array().unwrap();
        let planner = nodes.iter().find(|n| n["planner"] == true)?;
        let name = planner["node"].as_str()?;
        name.strip_prefix("node-")?.parse().ok()
    }

    pub fn wait_whole(&self, groups: usize) {
        for i in 0..self.nodes.len() {
            eventually("groups whole", || self.serving(i).len() == groups);
        }
    }

    /// Groups that node `i` takes to serve, with their members.
    pub fn serving(&self, i: usize) -> Vec<(String, Vec<String>)> {
        let groups = self.admin(i, "GET", "/admin/v1/groups", "").json();
        let serving = groups.as_array().unwrap().iter();
        serving
            .filter(|g| g["serving"].as_bool().unwrap())
            .map(|g| {
                let members = g["members"].as_array().unwrap().iter();
                let members = members.map(|m| m.as_str().unwrap().to_owned());
                (g["group"].as_str().unwrap().to_owned(), members.collect())
            })
            .collect()
    }

    pub fn admin(&self, i: usize, method: &str, path: &str, body: &str) -> Answer {
        let token = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", token.as_str())];
        call(self.nodes[i].admin_address(), method, path, &headers, body)
    }

    pub fn complete(&self, i: usize, prompt: &str, tokens: u64) -> Answer {
        let body = completion(prompt, tokens, false);
        self.caller(i, "/v1/completions", &[], &body)
    }

    pub fn caller(&self, i: usize, path: &str, more: &[(&str, &str)], body: &str) -> Answer {
        let token = format!("Bearer {TENANT_TOKEN}");
        let mut headers = vec![("authorization", token.as_str())];
        headers.extend_from_slice(more);
        call(self.nodes[i].caller_address(), "POST", path, &headers, body)
    }

    pub fn raw(&self, i: usize, path: &str, more: &[(&str, &str)], body: &str) -> stream::Raw {
        let token = format!("Bearer {TENANT_TOKEN}");
        let mut headers = vec![("authorization", token.as_str())];
        headers.extend_from_slice(more);
        stream::post(self.nodes[i].caller_address(), path, &headers, body)
    }

    /// Begins a call whose answer is read piece by piece.
    pub fn open(&self, i: usize, path: &str, body: &str) -> stream::Reading {
        self.open_with(i, path, &[], body)
    }

    /// Like [`Cluster::open`], with more headers.
    pub fn open_with(
        &self,
        i: usize,
        path: &str,
        more: &[(&str, &str)],
        body: &str,
    ) -> stream::Reading {
        let token = format!("Bearer {TENANT_TOKEN}");
        let mut headers = vec![("authorization", token.as_str())];
        headers.extend_from_slice(more);
        stream::open(self.nodes[i].caller_address(), path, &headers, body)
    }

    /// Switches all faults of a stand-in host, or of the platform, off.
    pub fn mend(&self, target: &str) {
        let control = self.standins.control_address().parse().unwrap();
        let answer = call(
            control,
            "DELETE",
            &format!("/fault?target={target}"),
            &[],
            "",
        );
        assert_eq!(answer.status / 100, 2, "{}", answer.text);
    }

    /// Sets what the host list says of a host.
    pub fn list_as(&self, host: &str, state: &str) {
        let control = self.standins.control_address().parse().unwrap();
        let path = format!("/host-state?host={host}&state={state}");
        let answer = call(control, "POST", &path, &[], "");
        assert_eq!(answer.status / 100, 2, "{}", answer.text);
    }

    /// Every request that ran on an engine, by id.
    pub fn engine_runs(&self) -> Vec<eelgrassmill_standin::Run> {
        let hosts = self.standins.host_entries();
        let runs = hosts.iter().filter_map(|h| self.standins.runs(&h.id));
        runs.flat_map(|r| r.runs).collect()
    }

    /// Switches a fault of a stand-in host on.
    pub fn fault(&self, host: &str, name: &str, query: &str) {
        let control = self.standins.control_address().parse().unwrap();
        let path = format!("/fault?target={host}&name={name}{query}");
        let answer = call(control, "POST", &path, &[], "");
        assert_eq!(answer.status / 100, 2, "{path}: {}", answer.text);
    }
}

pub fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "reply", "prompt": prompt, "max_tokens": tokens, "stream": stream,
    })
    .to_string()
}

pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Body::from(body.to_owned())).unwrap();
    let client = Client::new().with_global_timeout(Duration::from_secs(30));
    let resp: Response<Body> = client.request(req).unwrap();
    let status = resp.status().as_u16();
    let retry_after = resp.headers().get("retry-after");
    let retry_after = retry_after.map(|v| v.to_str().unwrap().to_owned());
    let text = resp.into_body().to_string().unwrap();
    Answer {
        status,
        retry_after,
        text,
    }
}

/// Waits until `check` holds; fails after a bound far above what it should take.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !check() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
