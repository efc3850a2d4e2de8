//! Looks at ownership and wholeness from outside, all the time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use eelgrassmill_node::GroupInfo;
use serde_json::Value;

use super::world::{World, admin_within, health, rows};

const EVERY: Duration = Duration::from_millis(100);
/// Evidence serves for 2 s; half a second for the look itself.
const EVIDENCE: Duration = Duration::from_millis(2_500);

/// A node that is frozen must not hold the looks at the others up.
const NODE_ANSWERS: Duration = Duration::from_millis(300);

/// Where a host is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum There {
    /// It does not answer.
    Missing,
    /// In no group, by its own word.
    Free,
    /// In the group and epoch, by its own word.
    In(String, u64),
}

/// Where each host is, and since when at the latest.
type Placements = BTreeMap<String, (There, Instant)>;

/// Watches until it is stopped.
pub struct Watch {
    stop: Arc<AtomicBool>,
    found: Arc<Mutex<Vec<String>>>,
    looks: Arc<Mutex<u64>>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn start(world: &World) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let found = Arc::new(Mutex::new(Vec::new()));
        let looks = Arc::new(Mutex::new(0));
        let look = Look {
            platform: world.platform,
            engines: world.engines.clone(),
            nodes: world.nodes.iter().map(|n| n.ports.admin).collect(),
            found: found.clone(),
        };
        let (ended, counted) = (stop.clone(), looks.clone());
        let thread = std::thread::spawn(move || {
            let mut placements = Placements::new();
            while !ended.load(Ordering::Relaxed) {
                look.once(&mut placements);
                *counted.lock().expect("a count") += 1;
                std::thread::sleep(EVERY);
            }
        });
        Watch {
            stop,
            found,
            looks,
            thread: Some(thread),
        }
    }

    /// Ends it; panics with all that was found broken.
    pub fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the watch");
        }
        let looks = *self.looks.lock().expect("a count");
        assert!(looks > 5, "looked {looks} times only");
        let found = self.found.lock().expect("a list");
        assert!(
            found.is_empty(),
            "{} found: {:#?}",
            found.len(),
            &found[..found.len().min(5)]
        );
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct Look {
    platform: SocketAddr,
    engines: Vec<(String, SocketAddr)>,
    nodes: Vec<SocketAddr>,
    found: Arc<Mutex<Vec<String>>>,
}

impl Look {
    fn once(&self, placements: &mut Placements) {
        self.rows_are_disjoint();
        self.update(placements);
        // A node that is frozen takes no request, so nobody is served by what it believes.
        for at in &self.nodes {
            let asked = Instant::now();
            let groups = admin_within::<Vec<GroupInfo>>(*at, "/admin/v1/groups", NODE_ANSWERS);
            // Read after the answer: a host that is still elsewhere was so all the time.
            self.update(placements);
            if let Some(groups) = groups {
                self.serving_is_true(&groups, placements, asked);
            }
        }
    }

    fn update(&self, placements: &mut Placements) {
        for (host, at) in &self.engines {
            let now = match health(*at).map(|report| report.placement) {
                None => There::Missing,
                Some(None) => There::Free,
                Some(Some(p)) => There::In(p.group.to_string(), p.epoch),
            };
            match placements.get(host) {
                Some((before, _)) if *before == now => {}
                _ => {
                    placements.insert(host.clone(), (now, Instant::now()));
                }
            }
        }
    }

    /// One scan is one point in time: no host may stand in two formed groups.
    fn rows_are_disjoint(&self) {
        let groups = rows(self.platform, "group/");
        let hosts = groups.iter().flat_map(members);
        let mut seen = BTreeSet::new();
        for host in hosts {
            if !seen.insert(host.clone()) {
                self.note(format!("{host} is in two groups of the table: {groups:?}"));
            }
        }
    }

    fn serving_is_true(&self, groups: &[GroupInfo], placements: &Placements, now: Instant) {
        let mut seen = BTreeSet::new();
        for group in groups.iter().filter(|g| g.serving) {
            let own = There::In(group.group.to_string(), group.epoch);
            for host in &group.members {
                if !seen.insert(host.clone()) {
                    self.note(format!("{host} is in two groups that serve: {groups:?}"));
                }
                let placed = placements.get(host.as_str());
                if let Some((there, since)) = placed
                    && *there != own
                    && now.duration_since(*since) > EVIDENCE
                {
                    self.note(format!("{own:?} serves, {host} is at {there:?}"));
                }
            }
        }
    }

    fn note(&self, what: String) {
        self.found.lock().expect("a list").push(what);
    }
}

fn members(group: &Value) -> Vec<String> {
    let members = group["members"].as_array().into_iter().flatten();
    members
        .filter_map(|m| m.as_str().map(str::to_owned))
        .collect()
}
