//! Looking at every node and every host all the time, and what must hold of what was seen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::HostReport;
use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde_json::Value;

use super::Cluster;

/// Age of evidence beyond which a group must not serve.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(2);
/// Time between two probes, the time in which one is given up, and the time that looking takes.
pub const SLACK: Duration = Duration::from_millis(900);

const LOOK_EVERY: Duration = Duration::from_millis(40);
const HOST_TIMEOUT: Duration = Duration::from_millis(250);

/// A group as one node lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub group: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub version: String,
    pub serving: bool,
}

/// What one node listed at a moment between its being asked and its answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Before it was asked.
    pub at: Instant,
    /// After it had answered.
    pub answered: Instant,
    pub groups: Vec<Listed>,
}

/// The group and epoch in which a host was ready when it was asked at a moment.
pub type HostSample = (Instant, Option<(String, u64)>);
/// When each host became ready in an epoch of a group, by its own account and not as seen.
type Readied = BTreeMap<(String, String, u64), Instant>;

/// Everything that was seen.
#[derive(Default)]
pub struct Observed {
    nodes: Mutex<BTreeMap<usize, Vec<Sample>>>,
    hosts: Mutex<BTreeMap<String, Vec<HostSample>>>,
    readied: Mutex<Readied>,
    stop: AtomicBool,
}

struct StopAtEnd<'a>(&'a Observed);

impl Drop for StopAtEnd<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Release);
    }
}

/// Looks at all nodes and engine hosts while `during` runs.
pub fn observe<T>(cluster: &Cluster, during: impl FnOnce(&Observed) -> T) -> (T, Observed) {
    let seen = Observed::default();
    let hosts = cluster.standins.host_entries();
    let hosts: Vec<_> = hosts
        .iter()
        .filter(|h| h.id.starts_with("engine"))
        .collect();
    let result = std::thread::scope(|scope| {
        let _stop = StopAtEnd(&seen);
        for i in 0..cluster.nodes.len() {
            let seen = &seen;
            scope.spawn(move || seen.follow_node(cluster, i));
        }
        for host in hosts {
            let seen = &seen;
            let address: SocketAddr = host.address.parse().unwrap();
            scope.spawn(move || seen.follow_host(&host.id, address));
        }
        during(&seen)
    });
    seen.ask_when_ready(cluster);
    (result, seen)
}

impl Observed {
    /// Adds what a node listed.
    pub fn node_listed(&self, node: usize, sample: Sample) {
        lock(&self.nodes).entry(node).or_default().push(sample);
    }

    /// Adds what a look at a host showed.
    pub fn host_showed(&self, host: &str, look: HostSample) {
        let mut hosts = lock(&self.hosts);
        hosts.entry(host.to_owned()).or_default().push(look);
    }

    /// Adds when a host became ready in an epoch of a group.
    pub fn became_ready(&self, host: &str, group: &str, epoch: u64, at: Instant) {
        let place = (host.to_owned(), group.to_owned(), epoch);
        lock(&self.readied).insert(place, at);
    }

    /// Asks the stand-ins when the members of each group that was listed became ready.
    fn ask_when_ready(&self, cluster: &Cluster) {
        let all = lock(&self.nodes).clone();
        let mut places = BTreeSet::new();
        for group in all.values().flatten().flat_map(|s| &s.groups) {
            for member in &group.members {
                places.insert((member.clone(), group.group.clone(), group.epoch));
            }
        }
        for (host, group, epoch) in places {
            if let Some(at) = cluster.standins.ready_since(&host, &group, epoch) {
                self.became_ready(&host, &group, epoch, at);
            }
        }
    }

    fn follow_node(&self, cluster: &Cluster, i: usize) {
        while !self.stop.load(Ordering::Acquire) {
            let at = Instant::now();
            let groups = cluster.admin(i, "GET", "/admin/v1/groups", "").json();
            let groups = groups.as_array().unwrap().iter().map(listed).collect();
            let answered = Instant::now();
            let sample = Sample {
                at,
                answered,
                groups,
            };
            self.node_listed(i, sample);
            rest(at);
        }
    }

    fn follow_host(&self, host: &str, address: SocketAddr) {
        while !self.stop.load(Ordering::Acquire) {
            let at = Instant::now();
            let ready = report(address).and_then(|report| {
                let placement = report.placement.filter(|_| report.ready)?;
                Some((placement.group.to_string(), placement.epoch))
            });
            self.host_showed(host, (at, ready));
            rest(at);
        }
    }

    /// All samples of node `i`.
    pub fn node(&self, i: usize) -> Vec<Sample> {
        lock(&self.nodes).get(&i).cloned().unwrap_or_default()
    }

    /// How long after `from` node `i` last listed a group with `host` as serving, before
    /// the first time that it didn't.
    pub fn stopped_after(&self, i: usize, host: &str, from: Instant) -> Option<Duration> {
        let samples = self.node(i);
        let mut later = samples.iter().filter(|s| s.at >= from);
        later.find(|s| !serves(s, host)).map(|s| s.at - from)
    }

    /// The fewest groups that node `i` listed as serving at one moment from `from` on.
    pub fn fewest_serving(&self, i: usize, from: Instant) -> usize {
        let samples = self.node(i);
        let later = samples.iter().filter(|s| s.at >= from);
        let counts = later.map(|s| s.groups.iter().filter(|g| g.serving).count());
        counts.min().expect("samples after the moment")
    }

    /// Panics when a host was in two serving groups, or a group was listed as serving
    /// before one of its hosts became ready in it, or longer than evidence counts after one
    /// of them was last ready in it.
    pub fn check(&self) {
        let all = lock(&self.nodes).clone();
        for (i, samples) in &all {
            for sample in samples {
                no_host_twice(*i, sample);
                for group in sample.groups.iter().filter(|g| g.serving) {
                    self.members_were_there(*i, sample, group);
                }
            }
        }
    }

    fn members_were_there(&self, node: usize, sample: &Sample, group: &Listed) {
        let hosts = lock(&self.hosts);
        let readied = lock(&self.readied);
        for member in &group.members {
            let Some(looks) = hosts.get(member) else {
                continue;
            };
            let place = (member.clone(), group.group.clone(), group.epoch);
            let since = readied.get(&place).copied();
            // The looks may miss the beginning by as long as one of them comes late; the
            // host itself doesn't.
            let since = since.filter(|since| *since <= sample.answered);
            assert!(
                since.is_some(),
                "node-{node} serves {} in epoch {} though {member} has not been ready in it",
                group.group,
                group.epoch,
            );
            let here = Some((group.group.clone(), group.epoch));
            let fits = |(asked, ready): &&HostSample| *asked <= sample.at && *ready == here;
            let seen = looks.iter().rev().find(fits).map(|(asked, _)| *asked);
            // Before the first look at the host, and before the next one after it became
            // ready, nothing is known against it.
            let first = looks.first().map(|(asked, _)| *asked);
            let last = seen.or(first.max(since)).unwrap_or(sample.at);
            let missing = sample.at.saturating_duration_since(last);
            assert!(
                missing <= EVIDENCE_TIME + SLACK,
                "node-{node} serves {} in epoch {} though {member} has been missing for {missing:?}",
                group.group,
                group.epoch,
            );
        }
    }
}

fn no_host_twice(node: usize, sample: &Sample) {
    let mut seen = BTreeSet::new();
    for group in sample.groups.iter().filter(|g| g.serving) {
        for member in &group.members {
            assert!(
                seen.insert(member),
                "node-{node}: {member} is in two serving groups: {:?}",
                sample.groups
            );
        }
    }
}

fn serves(sample: &Sample, host: &str) -> bool {
    let mut serving = sample.groups.iter().filter(|g| g.serving);
    serving.any(|g| g.members.iter().any(|m| m == host))
}

fn listed(group: &Value) -> Listed {
    let members = group["members"].as_array().unwrap().iter();
    Listed {
        group: group["group"].as_str().unwrap().to_owned(),
        epoch: group["epoch"].as_u64().unwrap(),
        members: members.map(|m| m.as_str().unwrap().to_owned()).collect(),
        version: group["version"].as_str().unwrap().to_owned(),
        serving: group["serving"].as_bool().unwrap(),
    }
}

/// What a host says of itself; `None` when it doesn't answer.
pub fn report(address: SocketAddr) -> Option<HostReport> {
    let req = Request::builder().uri(format!("http://{address}/health"));
    let req = req.body(Body::empty()).unwrap();
    let client = Client::new().with_global_timeout(HOST_TIMEOUT);
    let resp: Response<Body> = client.request(req).ok()?;
    serde_json::from_str(&resp.into_body().to_string().ok()?).ok()
}

/// Waits for the time of the next look.
fn rest(since: Instant) {
    std::thread::sleep(LOOK_EVERY.saturating_sub(since.elapsed()));
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
