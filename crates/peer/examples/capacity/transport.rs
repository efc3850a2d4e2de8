//! Measures the cost of gRPC calls and host probes over loopback.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use eelgrassmill_engine::HostControl;
use eelgrassmill_peer::capacity::Inputs;
use eelgrassmill_peer::{
    ConfigAnnouncement, ConfigText, Item, PeerHandler, QuotaRequest, checksum,
};

use crate::line;
use crate::rows::report;
use crate::support::cluster::{Cluster, wait_until};
use crate::support::net::status;

const CALLS: u32 = 2_000;
const PROBES: u32 = 200;
const CONFIG_CHANGES: u64 = 21;
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn measure(inputs: &mut Inputs) {
    println!("\ntransport, over loopback");
    measure_calls(inputs);
    measure_probes(inputs);
    measure_idle_nodes();
    measure_config();
}

/// Measures how long eight real nodes take to fetch a changed text after its announcement.
fn measure_config() {
    let cluster = Cluster::start(8);
    let all = || {
        let mut nodes = cluster.nodes.values();
        nodes.all(|n| cluster.all_hold(&n.member.id, &status(&n.member)))
    };
    wait_until(LIMIT, all).expect("the nodes discover each other");
    let long: String = (0..2_000).map(|i| format!("key_{i} = value\n")).collect();
    let text = |version: u64| long.replace("key_700 = value", &format!("key_700 = {version}"));
    let source = &cluster.nodes["node-0"].handler;
    source.set_text(1, &text(1));
    let mut bases: Vec<ConfigText> = Vec::new();
    for running in cluster.nodes.values() {
        let from = "node-0".into();
        let first = running.node.fetch_config(&from, None, LIMIT);
        let own = running.handler.config();
        let first = own.map_or_else(|| cluster.runtime.block_on(first), Ok);
        bases.push(first.expect("the first text"));
    }
    let mut times = Vec::new();
    for version in 2..=CONFIG_CHANGES + 1 {
        let changed = text(version);
        source.set_text(version, &changed);
        let item = Item::Config(ConfigAnnouncement {
            version,
            checksum: checksum(&changed),
        });
        let began = Instant::now();
        cluster.node("node-0").publish(item.clone());
        let mut left: Vec<usize> = (0..cluster.nodes.len()).collect();
        while !left.is_empty() && began.elapsed() < LIMIT {
            left.retain(|&i| !fetched(&cluster, i, &item, &mut bases[i]));
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(left.is_empty(), "every node has the text");
        times.push(began.elapsed());
    }
    times.sort_unstable();
    println!(
        "a changed text of {} bytes at 8 nodes: p50 {:?}, max {:?} ({CONFIG_CHANGES} changes)",
        long.len(),
        times[times.len() / 2],
        times[times.len() - 1],
    );
}

/// Fetches the text at the `i`th node once it holds the announcement. Returns whether it has it.
fn fetched(cluster: &Cluster, i: usize, item: &Item, base: &mut ConfigText) -> bool {
    let Some((name, running)) = cluster.nodes.iter().nth(i) else {
        return true;
    };
    if name == "node-0" {
        return true;
    }
    if !cluster.holds(name, "node-0", item) {
        return false;
    }
    let from = "node-0".into();
    let text = running.node.fetch_config(&from, Some(base), LIMIT);
    *base = cluster.runtime.block_on(text).expect("the text");
    true
}

/// Measures calls that carry only the caller's ID.
fn measure_calls(inputs: &mut Inputs) {
    let cluster = Cluster::start(2);
    let here = cluster.node("node-0");
    let other = "node-1".into();
    let one = || {
        let req = QuotaRequest {
            from: "node-0".into(),
            ..QuotaRequest::default()
        };
        let quota = here.request_quota(&other, req, LIMIT);
        cluster.runtime.block_on(quota).expect("the node answers");
    };
    one();
    let (mut bytes, mut core) = (Vec::new(), Vec::new());
    for part in 1..=3 {
        let calls = CALLS * part;
        let before = here.traffic();
        let busy = core_seconds();
        for _ in 0..calls {
            one();
        }
        let after = here.traffic();
        let moved =
            (after.sent_bytes + after.received_bytes) - (before.sent_bytes + before.received_bytes);
        bytes.push((f64::from(calls), moved as f64 / f64::from(calls)));
        core.push((f64::from(calls), (core_seconds() - busy) / f64::from(calls)));
    }
    inputs.call_bytes = constant("call_bytes", &bytes);
    inputs.call_core = constant("call_core", &core);
}

/// A constant cost: the mean of the points.
fn constant(name: &str, points: &[(f64, f64)]) -> eelgrassmill_peer::capacity::LinearCost {
    line(name, points);
    let sum: f64 = points.iter().map(|p| p.1).sum();
    eelgrassmill_peer::capacity::LinearCost {
        fixed: sum / points.len() as f64,
        per_unit: 0.0,
    }
}

/// Measures probes of hosts of groups of 2, 4 and 8.
fn measure_probes(inputs: &mut Inputs) {
    let (mut bytes, mut core) = (Vec::new(), Vec::new());
    for hosts in [2, 4, 8] {
        let body = serde_json::to_string(&report(hosts)).expect("a report is JSON");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let served = std::thread::spawn(move || serve(&listener, &body));
        let control = HostControl::default();
        let busy = thread_seconds();
        for _ in 0..PROBES {
            control.probe(&address).expect("the host answers");
        }
        let spent = thread_seconds() - busy;
        let moved = served.join().expect("the host ends");
        bytes.push((f64::from(hosts), moved as f64 / f64::from(PROBES)));
        core.push((f64::from(hosts), spent / f64::from(PROBES)));
    }
    inputs.probe_bytes = line("probe_bytes", &bytes);
    inputs.probe_core = line("probe_core", &core);
}

/// Answers the probes with `body`. Returns the bytes of requests and responses.
fn serve(listener: &TcpListener, body: &str) -> usize {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    let answer = head + body;
    let mut moved = 0;
    for _ in 0..PROBES {
        let (mut stream, _) = listener.accept().expect("a probe");
        moved += read_head(&mut stream) + answer.len();
        stream.write_all(answer.as_bytes()).expect("a reader");
    }
    moved
}

fn read_head(stream: &mut TcpStream) -> usize {
    let mut head = Vec::new();
    let mut buf = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        let read = stream.read(&mut buf).expect("a request");
        assert!(read > 0, "a complete request");
        head.extend_from_slice(&buf[..read]);
    }
    head.len()
}

/// Measures eight real nodes that disseminate only their own state.
fn measure_idle_nodes() {
    let cluster = Cluster::start(8);
    let all = || {
        let mut nodes = cluster.nodes.values();
        nodes.all(|n| cluster.all_hold(&n.member.id, &status(&n.member)))
    };
    wait_until(LIMIT, all).expect("the nodes discover each other");
    let traffic = || {
        let nodes = cluster.nodes.values().map(|n| n.node.traffic());
        nodes.fold((0, 0), |(bytes, calls), t| {
            (bytes + t.sent_bytes + t.received_bytes, calls + t.calls)
        })
    };
    let (bytes, calls) = traffic();
    let busy = core_seconds();
    let began = Instant::now();
    while began.elapsed() < IDLE_PERIOD {
        for running in cluster.nodes.values() {
            running.node.confirm(Instant::now());
        }
        std::thread::sleep(Duration::from_millis(125));
    }
    let seconds = began.elapsed().as_secs_f64() * 8.0;
    let (more_bytes, more_calls) = traffic();
    println!(
        "8 nodes for {IDLE_PERIOD:?}, dissemination alone: {:.0} B/s, {:.1} calls/s and {:.3}% core per node",
        (more_bytes - bytes) as f64 / seconds,
        (more_calls - calls) as f64 / seconds,
        (core_seconds() - busy) / seconds * 100.0,
    );
}

/// CPU seconds used by this process.
fn core_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / 100.0
}

/// CPU seconds used by this thread.
fn thread_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = stat.split(' ').next().and_then(|t| t.parse::<f64>().ok());
    first.unwrap_or(0.0) / 1e9
}
