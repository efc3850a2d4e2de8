//! Measures dissemination between real state machines in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, rendezvous, stable_hash};
use eelgrassmill_peer::capacity::Inputs;
use eelgrassmill_peer::{
    ConfigAnnouncement, GroupLoad, HealthReport, Item, MAX_MESH_NODES, Member, NodeLoad,
};

use crate::heap::heap_bytes;
use crate::line;
use crate::support::net::{Net, NodeStats, members};

/// Nodes, groups and failure domains: a small system, then steps up to the design size.
const SIZES: [(usize, usize, usize); 4] = [(8, 7, 3), (60, 18, 6), (185, 55, 6), (370, 110, 6)];
/// Rounds between two probes.
const ROUNDS_PER_PROBE: u64 = 10;
const ROUND_LENGTH: Duration = Duration::from_millis(50);
/// Older evidence doesn't keep a group in service.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);
const WARM_UP_SECONDS: u64 = 20;
const MEASURED_SECONDS: u64 = 20;

/// A simulated system with watchers that probe and loads that change all the time.
pub(crate) struct Fleet {
    pub(crate) list: Vec<Member>,
    pub(crate) net: Net,
    /// Groups by watcher.
    watched: BTreeMap<NodeId, Vec<String>>,
    /// Time of the last round of probes by watcher.
    probed: BTreeMap<NodeId, Instant>,
    round: u64,
}

impl Fleet {
    pub(crate) fn new(nodes: usize, groups: usize, domains: usize) -> Fleet {
        let list = members(nodes, domains);
        let mut net = Net::new(&list, 1);
        net.record_updates = false;
        net.conditions.latency = Duration::from_millis(5);
        let mut fleet = Fleet {
            watched: watchers(&list, groups),
            list,
            net,
            probed: BTreeMap::new(),
            round: 0,
        };
        for (watcher, groups) in fleet.watched.clone() {
            for group in groups {
                fleet.net.publish(&watcher, health(&group, true));
            }
        }
        fleet
    }

    pub(crate) fn seconds(&mut self, seconds: u64) {
        for _ in 0..seconds * 1000 / ROUND_LENGTH.as_millis() as u64 {
            self.step();
        }
    }

    /// One round: watchers that are due probe, and all confirm their last probes.
    pub(crate) fn step(&mut self) {
        let now = self.net.now;
        for watcher in self.watched.keys() {
            if !self.net.nodes.contains_key(watcher) {
                continue;
            }
            if stable_hash([watcher.as_str(), "probe"]) % ROUNDS_PER_PROBE
                == self.round % ROUNDS_PER_PROBE
            {
                self.probed.insert(watcher.clone(), now);
            }
            if let Some(probed) = self.probed.get(watcher) {
                self.net.node(watcher).confirm(*probed);
            }
        }
        if self.round.is_multiple_of(2 * ROUNDS_PER_PROBE) {
            self.change_loads();
        }
        self.round += 1;
        self.net.run(ROUND_LENGTH);
    }

    /// Changes loads by more than the publishing threshold each second: the worst case.
    fn change_loads(&mut self) {
        let round = self.round as u32;
        for (i, member) in self.list.iter().enumerate() {
            if !self.net.nodes.contains_key(&member.id) {
                continue;
            }
            let load_permille = (i as u32 * 37 + round * 6) % 1000;
            let load = NodeLoad {
                config_version: 4,
                load_permille,
                overloaded: false,
            };
            self.net.publish(&member.id, Item::Load(load));
        }
        for (watcher, groups) in self.watched.clone() {
            if !self.net.nodes.contains_key(&watcher) {
                continue;
            }
            for group in groups
                .iter()
                .filter(|g| first_watcher(&self.list, g) == watcher)
            {
                let load = GroupLoad {
                    group: group.as_str().into(),
                    epoch: 3,
                    running: round / 20 % 16,
                    waiting: 0,
                    assigned: 0,
                    ejected: false,
                };
                self.net.publish(&watcher, Item::GroupLoad(load));
            }
        }
    }

    pub(crate) fn reset_stats(&mut self) {
        for stats in self.net.stats.values_mut() {
            *stats = NodeStats::default();
        }
    }

    /// Mean over all nodes.
    pub(crate) fn mean(&self, of: impl Fn(&NodeStats) -> f64) -> f64 {
        let running = self.net.stats.values();
        running.map(of).sum::<f64>() / self.net.stats.len() as f64
    }

    /// Ages of the best evidence on every group at every node.
    fn ages(&self) -> Vec<Duration> {
        let mut ages = Vec::new();
        for node in self.net.nodes.values() {
            let confirmed: BTreeMap<&NodeId, Instant> =
                node.origins().map(|(id, _, at)| (id, at)).collect();
            let mut best: BTreeMap<&str, Instant> = BTreeMap::new();
            for (watcher, groups) in &self.watched {
                let Some(&at) = confirmed.get(watcher) else {
                    continue;
                };
                for group in groups {
                    let known = best.entry(group).or_insert(at);
                    *known = at.max(*known);
                }
            }
            ages.extend(best.into_values().map(|at| self.net.now - at));
        }
        ages
    }
}

fn watchers(list: &[Member], groups: usize) -> BTreeMap<NodeId, Vec<String>> {
    let ids: Vec<NodeId> = list.iter().map(|m| m.id.clone()).collect();
    let domain_of: BTreeMap<&NodeId, &str> = list
        .iter()
        .map(|m| (&m.id, m.failure_domain.as_str()))
        .collect();
    let mut watched: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
    for group in (0..groups).map(|i| format!("drafting/{i}")) {
        let mut domains = BTreeSet::new();
        let ranked = rendezvous(&group, &ids);
        let chosen = ranked
            .into_iter()
            .filter(|id| domains.insert(domain_of[id]));
        for id in chosen.take(3) {
            watched.entry(id.clone()).or_default().push(group.clone());
        }
    }
    watched
}

fn first_watcher(list: &[Member], group: &str) -> NodeId {
    let best = list
        .iter()
        .max_by_key(|m| stable_hash([group, m.id.as_str()]));
    best.map(|m| m.id.clone()).unwrap_or_default()
}

pub(crate) fn health(group: &str, serving: bool) -> Item {
    Item::Health(HealthReport {
        group: group.into(),
        epoch: 3,
        serving,
        code: u32::from(!serving),
        reason: "engine-123".into(),
    })
}

pub(crate) fn measure(inputs: &mut Inputs) {
    println!("dissemination, virtual time; means over all nodes, both directions");
    let (mut bytes, mut calls, mut core, mut state) = (vec![], vec![], vec![], vec![]);
    for (nodes, groups, domains) in SIZES {
        let mut fleet = Fleet::new(nodes, groups, domains);
        fleet.seconds(WARM_UP_SECONDS);
        fleet.reset_stats();
        let mut ages = Vec::new();
        for _ in 0..MEASURED_SECONDS * 20 {
            fleet.step();
            if fleet.round.is_multiple_of(7) {
                ages.extend(fleet.ages());
            }
        }
        let seconds = MEASURED_SECONDS as f64;
        let n = nodes as f64;
        let here = [
            fleet.mean(|t| (t.sent + t.received) as f64) / seconds,
            fleet.mean(|t| t.calls as f64) / seconds,
            fleet.mean(|t| t.busy.as_secs_f64()) / seconds,
            fleet
                .net
                .nodes
                .values()
                .map(|d| heap_bytes(|| d.clone()))
                .sum::<f64>()
                / n,
        ];
        report_spread(&mut fleet, here, ages);
        // A full mesh behaves differently from the trees, so it is no point of their fit.
        if nodes > MAX_MESH_NODES {
            bytes.push((n, here[0]));
            calls.push((n, here[1]));
            core.push((n, here[2]));
            state.push((n, here[3]));
        }
    }
    inputs.spread_bytes = line("spread_bytes", &bytes);
    inputs.spread_calls = line("spread_calls", &calls);
    inputs.spread_core = line("spread_core", &core);
    inputs.spread_state = line("spread_state", &state);
}

fn report_spread(fleet: &mut Fleet, [bytes, calls, core, state]: [f64; 4], ages: Vec<Duration>) {
    let mut ages = ages;
    ages.sort_unstable();
    let most = fleet.net.stats.values().map(|t| t.sent + t.received).max();
    let old = ages.iter().filter(|age| **age > MAX_EVIDENCE_AGE).count();
    println!(
        "{:4} nodes, {:3} watchers: {bytes:.0} B/s (max {:.0}), {calls:.1} calls/s, {:.3}% core, \
         {:.0} KB; age of best evidence: p50 {:?}, p99 {:?}, max {:?}, over 2 s {:.4}%",
        fleet.list.len(),
        fleet.watched.len(),
        most.unwrap_or(0) as f64 / MEASURED_SECONDS as f64,
        core * 100.0,
        state / 1024.0,
        ages[ages.len() / 2],
        ages[ages.len() * 99 / 100],
        ages[ages.len() - 1],
        old as f64 / ages.len() as f64 * 100.0,
    );
    let origin = fleet.list[0].id.clone();
    let missing = health("drafting/0", false);
    let version = Item::Config(ConfigAnnouncement {
        version: 5,
        checksum: "5f".repeat(32).into(),
    });
    for (name, item) in [("missing", missing), ("version", version)] {
        fleet.net.publish(&origin, item.clone());
        let limit = Duration::from_secs(5);
        let took = fleet
            .net
            .run_until(limit, |net| net.all_hold(&origin, &item));
        println!("      {name} received everywhere after {took:?}");
    }
}
