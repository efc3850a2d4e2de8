//! A new operator's first hour: processes of their own, a text, a host that dies, a node that is killed.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::{Ran, TOKEN, TempFile, program, ran};
use eelgrassmill_standin::{expected_answer, free_address};
use googletest::prelude::*;
use serde_json::Value;

/// Longest wait for anything; leases and evidence lapse well within it.
const BOUND: Duration = Duration::from_secs(15);
const GUEST: &str = "guest-token";

const TEXT: &str = "\
[tenant baths]
token_sha256 = 1da7e95ba163e2a04fb0079b15fcaebfeec45f916e108f2b799f5b8cead9e46c
[service chat]
kind = model
model = lm
version = v1
groups = 1
hosts_per_group = 2
";

/// A process that is gone when the test ends, however it ends.
struct Process(Child);

impl Process {
    fn start(args: &[&str], log: Stdio) -> (Process, BufReader<std::process::ChildStdout>) {
        let mut child = program()
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let out = BufReader::new(child.stdout.take().expect("its output"));
        (Process(child), out)
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|s| s.success()), "kill {signal} {pid}");
    }

    fn exit_code(&mut self) -> Option<i32> {
        eventually("the process ends", || {
            self.0.try_wait().expect("its state").map(|s| s.code())
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn eventually<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = seen() {
            return value;
        }
        assert!(start.elapsed() < BOUND, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn free_port() -> SocketAddr {
    free_address().expect("a free port")
}

struct Node {
    callers: SocketAddr,
    admin: SocketAddr,
    process: Process,
    log: TempFile,
    _settings: TempFile,
}

impl Node {
    fn start(name: &str, platform: &str) -> Node {
        let (callers, admin, peers) = (free_port(), free_port(), free_port());
        let token = eelgrassmill_config::checksum(TOKEN);
        let settings = format!(
            "[node]\nid = {name}\nregion = region-1\nfailure_domain = {name}\n\
             [listen]\ncallers = {callers}\nadmin = {admin}\npeers = {peers}\n\
             [platform]\ntable = {platform}\n[admin]\ntoken_sha256 = {token}\n\
             [timing]\nlease_term = 3s\nclock_margin = 500ms\norder_time = 500ms\n\
             address_keep = 200ms\n"
        );
        let settings = TempFile::new(&format!("{name}.ini"), &settings);
        let log = TempFile::new(&format!("{name}.log"), "");
        let lines = std::fs::File::create(&log.0).expect("a log file");
        let args = ["serve", "--settings", settings.path()];
        let (process, _) = Process::start(&args, lines.into());
        Node {
            callers,
            admin,
            process,
            log,
            _settings: settings,
        }
    }
}

struct System {
    nodes: Vec<Node>,
    control: String,
    _standin: Process,
}

impl System {
    fn start(nodes: usize) -> System {
        let (standin, mut out) = Process::start(
            &["standin", "--engines", "4", "--plain", "0"],
            Stdio::null(),
        );
        let mut line = String::new();
        out.read_line(&mut line).expect("its line");
        let told: Value = serde_json::from_str(&line).expect("JSON");
        let platform = told["platform"]["address"].as_str().expect("an address");
        let control = told["control"].as_str().expect("an address").to_owned();
        let name = |i: usize| format!("node-{}", ["a", "b", "c"][i]);
        let nodes = (0..nodes)
            .map(|i| Node::start(&name(i), platform))
            .collect();
        System {
            nodes,
            control,
            _standin: standin,
        }
    }

    /// Waits until the nodes know each other. Otherwise shows what they logged: one that
    /// ended at once says there why.
    fn wait_for_nodes(&mut self) {
        let start = Instant::now();
        let all = |system: &System| {
            let nodes = system.json(&["nodes"]);
            nodes
                .as_array()
                .is_some_and(|n| n.len() == system.nodes.len())
        };
        while !all(self) {
            if start.elapsed() >= BOUND {
                for node in &mut self.nodes {
                    let log = std::fs::read_to_string(&node.log.0).unwrap_or_default();
                    println!("exit {:?}:\n{log}", node.process.0.try_wait());
                }
                panic!("not in time: the nodes know each other");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs a command that may ask any node.
    fn run(&self, args: &[&str]) -> Ran {
        let admins: Vec<String> = self.nodes.iter().map(|n| n.admin.to_string()).collect();
        let mut command = program();
        command
            .args(args)
            .env("EELGRASSMILL_ADMIN", admins.join(","));
        ran(command.env("EELGRASSMILL_TOKEN", TOKEN))
    }

    fn json(&self, args: &[&str]) -> Value {
        let told = self.run(&[args, &["--json"]].concat());
        serde_json::from_str(&told.out).unwrap_or_default()
    }

    /// Name and members of the first group that serves.
    fn serving(&self) -> Option<(String, Vec<String>)> {
        let groups = self.json(&["groups"]);
        let group = groups.as_array()?.iter().find(|g| g["serving"] == true)?;
        let members = group["members"].as_array()?.iter();
        let members = members
            .filter_map(|m| m.as_str().map(str::to_owned))
            .collect();
        Some((group["group"].as_str()?.to_owned(), members))
    }

    fn switch(&self, host: &str, fault: &str) {
        let uri = format!("{}fault?target={host}&name={fault}", self.control);
        let (status, _) = http("POST", &uri, "");
        assert_eq!(status, 200, "{uri}");
    }

    fn complete(&self, node: usize, prompt: &str) -> (u16, Value) {
        let uri = format!("http://{}/v1/completions", self.nodes[node].callers);
        let body = serde_json::json!({ "model": "chat", "prompt": prompt, "max_tokens": 6 });
        let (status, answer) = http("POST", &uri, &body.to_string());
        (status, serde_json::from_str(&answer).unwrap_or_default())
    }
}

fn http(method: &str, uri: &str, body: &str) -> (u16, String) {
    let req = oxhttp::model::Request::builder()
        .method(method)
        .uri(uri)
        .header("authorization", format!("Bearer {GUEST}"))
        .body(body.to_owned())
        .expect("a request");
    let answer = oxhttp::Client::new()
        .with_global_timeout(BOUND)
        .request(req)
        .expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.into_body().to_string().expect("a body"))
}

/// A machine loses its power and later an entry host does too. The operator
/// has nothing but the commands, and must find out from the time line alone
/// what happened to whom and in which order.
#[gtest]
fn the_time_line_tells_of_a_dead_host_and_a_killed_node() {
    let mut system = System::start(3);
    system.wait_for_nodes();
    let file = TempFile::new("operator.ini", TEXT);
    eventually("a text is accepted", || {
        let submitted = system.run(&["config", "submit", file.path(), "--base", "0", "--id", "s"]);
        (submitted.code == Some(0)).then_some(())
    });
    let everywhere = system.run(&["config", "status", "--wait", "15s"]);
    expect_that!(everywhere.code, some(eq(0)));
    expect_that!(
        everywhere.out,
        starts_with("version 1 is in force at 3 of 3 nodes")
    );
    let (group, members) = eventually("a group serves", || system.serving());
    let (status, answer) = system.complete(1, "Good morning");
    expect_that!(status, eq(200));
    let whole = expected_answer("Good morning", 6);
    expect_that!(
        answer["choices"][0]["text"].as_str(),
        some(eq(whole.as_str()))
    );

    system.switch(&members[1], "die");
    let again = eventually("a group of other hosts serves", || {
        system
            .serving()
            .filter(|(_, now)| !now.contains(&members[1]))
    });
    let line = system.json(&["timeline", "--limit", "1000"]);
    let events = line["events"].as_array().expect("events").clone();
    let of = |name: &str, group: &str| {
        let is = |e: &Value| e["event"] == name && e["group"] == group;
        events.iter().filter(|e| is(e)).cloned().collect::<Vec<_>>()
    };
    let place = |event: Option<&Value>| events.iter().position(|e| Some(e) == event);
    let broken = of("group-broken", &group);
    expect_that!(broken.len(), ge(3), "each node saw it");
    expect_true!(
        broken
            .iter()
            .take(3)
            .all(|e| e["host"] == members[1].as_str())
    );
    let story = [
        place(of("group-forming", &group).first()),
        place(of("group-whole", &group).first()),
        place(broken.first()),
        place(of("group-forming", &again.0).last()),
        place(of("group-whole", &again.0).last()),
    ];
    expect_true!(story.iter().all(Option::is_some));
    expect_true!(story.is_sorted());

    system.nodes[2].process.signal("-KILL");
    eventually("the time line names the killed node as silent", || {
        let line = system.json(&["timeline"]);
        let silent = line["silent"].as_array()?.clone();
        silent.iter().any(|n| n == "node-c").then_some(())
    });
    expect_that!(system.serving(), some(eq(&again)));
    expect_that!(system.complete(0, "Once more").0, eq(200));

    for node in &system.nodes[..2] {
        node.process.signal("-TERM");
    }
    for node in &mut system.nodes[..2] {
        expect_that!(node.process.exit_code(), some(eq(0)));
        let log = std::fs::read_to_string(&node.log.0).expect("the log");
        let names = [
            "lease-taken",
            "config-applied",
            "group-broken",
            "node-stopping",
            "given back",
        ];
        expect_true!(names.iter().all(|n| log.contains(n)));
        // Neither a secret nor a line for each request.
        let unwanted = [TOKEN, GUEST, "request-"];
        expect_false!(unwanted.iter().any(|w| log.contains(w)));
    }
}

/// A machine is to be worked on. Its operator says so in the text and waits
/// until nothing is on it; guests must notice nothing.
#[gtest]
fn a_drained_host_is_emptied_while_its_service_goes_on() {
    let system = System::start(1);
    let file = TempFile::new("drain.ini", TEXT);
    eventually("a text is accepted", || {
        let submitted = system.run(&["config", "submit", file.path(), "--base", "0", "--id", "d"]);
        (submitted.code == Some(0)).then_some(())
    });
    let (_, members) = eventually("a group serves", || system.serving());
    let drained = &members[0];
    let text = format!("{TEXT}[target {drained}]\ndrain = yes\n");
    let file = TempFile::new("drain-2.ini", &text);
    let submitted = system.run(&["config", "submit", file.path(), "--base", "1"]);
    expect_that!(submitted.code, some(eq(0)));
    let mut refused = 0;
    eventually("the host belongs to no group", || {
        refused += usize::from(system.complete(0, "Meanwhile").0 != 200);
        let hosts = system.json(&["hosts"]);
        let host = hosts
            .as_array()?
            .iter()
            .find(|h| h["host"] == drained.as_str())?;
        (host["group"].is_null() && host["drain"] == true).then_some(())
    });
    expect_that!(refused, eq(0));
    let serving = system.serving().map(|(_, members)| members);
    expect_that!(serving, some(not(contains(eq(drained)))));
}
