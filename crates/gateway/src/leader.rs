//! Which node plans.
//!
//! The leader is named by a row of the platform's store, which also counts its terms.
//! Nodes hear from the holder directly; one takes over when the holder is no longer
//! heard. No renewal is written: a holder reads the row again and again, and acts only
//! while its [`Lease`] holds, which a successor waits out.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{Lease, LeaseStatus, SinceBoot, hears_majority, strongest};
use rustix::time::{ClockId, clock_gettime};
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::peers::publish_leader;
use crate::planning::Term;
use crate::ports::{LeaderElection, LeaderRecord, Platform};

/// How often a node that isn't the leader checks whether there is none.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A holder that was named lately is given this long to be heard of: nodes that start
/// together hear of each other within a second.
const INTRODUCTION: Duration = Duration::from_millis(2500);
/// A node doesn't claim the lease for this long after its start: nodes that start together know of
/// each other then.
const START_DELAY: Duration = Duration::from_millis(1500);
/// How often a leader reads the row that names it: twice in a lease.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// The time since the machine started, also while it was suspended.
fn since_boot() -> SinceBoot {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// What a node has read of the leader's row.
#[derive(Debug, Default)]
struct Seen {
    /// The record that was read last, and when it was first seen.
    record: Option<(LeaderRecord, Instant)>,
}

/// Plans while this node is the leader, until the process ends.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let mut seen = Seen::default();
    loop {
        let asked = since_boot();
        if let Some(leader) = try_take(&core, &mut seen).await {
            info!(event = "leader", term = leader.term, outcome = "taken");
            publish_leader(&core, Some(&leader));
            hold(&core, &leader, Lease::new(asked)).await;
            publish_leader(&core, None);
            info!(event = "leader", term = leader.term, outcome = "given-up");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn try_take<P: Platform>(core: &Arc<Core<P>>, seen: &mut Seen) -> Option<LeaderRecord> {
    let now = Instant::now();
    if core.is_leaving() || !core.is_loaded() || core.store_failures() > 0 {
        return None;
    }
    if let Some(holder) = current(core, now) {
        // It needs no introduction should it fall silent.
        seen.record = now.checked_sub(INTRODUCTION).map(|since| (holder, since));
        return None;
    }
    // A node that has just started may not have heard of the one that should lead, and a change of
    // leaders costs the seconds in which loads are quick.
    if core.started_at.elapsed() < START_DELAY {
        return None;
    }
    // Where most others aren't heard the holder may be one of them, and act on by what it
    // hears from the rest.
    if !is_first(core, now) || !locked(&core.nodes).hears_most(now) {
        return None;
    }
    // A holder that was named lately may not have been heard yet.
    let introduced = seen.record.as_ref().is_some_and(|(record, since)| {
        record.node != core.cfg.node && now.duration_since(*since) < INTRODUCTION
    });
    if introduced {
        return None;
    }
    let read = core.platform.leader().read().await;
    let (record, version) = match read {
        Ok(read) => read,
        Err(err) => {
            warn!(event = "leader", outcome = "not-read", %err);
            return None;
        }
    };
    if seen.is_new(record.as_ref(), &core.cfg.node, now) {
        return None;
    }
    let term = record.map_or(0, |r| r.term) + 1;
    let claim = LeaderRecord {
        node: core.cfg.node.clone(),
        term,
    };
    match core.platform.leader().claim(version, &claim).await {
        Ok(true) => Some(claim),
        Ok(false) => None,
        Err(err) => {
            // It may have been written all the same; the next read shows it.
            warn!(event = "leader", outcome = "unknown", %err);
            None
        }
    }
}

impl Seen {
    /// Notes what was read. Whether it names another node that has to be waited for.
    fn is_new(&mut self, record: Option<&LeaderRecord>, me: &str, now: Instant) -> bool {
        let Some(record) = record.filter(|r| r.node != me) else {
            return false;
        };
        if self
            .record
            .as_ref()
            .is_some_and(|(known, _)| known == record)
        {
            return false;
        }
        self.record = Some((record.clone(), now));
        true
    }
}

/// The node, this one or one that is up, that says that it is the leader.
pub(crate) fn current<P: Platform>(core: &Core<P>, now: Instant) -> Option<LeaderRecord> {
    let me = &core.cfg.node;
    let nodes = locked(&core.nodes);
    let leaders = locked(&core.leaders);
    let is_up = |node: &NodeId| node == me || nodes.is_alive(node, now);
    let up = leaders.iter().filter(|(node, _)| is_up(node));
    let (node, term) = up.max_by_key(|(_, term)| **term)?;
    Some(LeaderRecord {
        node: node.clone(),
        term: *term,
    })
}

/// Whether this node is the first by name of the strongest that are up, which alone takes the
/// leader.
fn is_first<P: Platform>(core: &Core<P>, now: Instant) -> bool {
    let nodes = locked(&core.nodes);
    let able = strongest(nodes.alive(now).chain([core.as_candidate()]));
    able.iter().map(|c| c.id).min() == Some(&core.cfg.node)
}

/// Plans until another node is the leader, or may be.
async fn hold<P: Platform>(core: &Arc<Core<P>>, leader: &LeaderRecord, lease: Lease) {
    let lease = Mutex::new(lease);
    tokio::select! {
        () = confirm(core, leader, &lease) => {}
        () = plan(core, leader, &lease) => {}
    }
}

/// Reads the row until it names another holder.
async fn confirm<P: Platform>(core: &Core<P>, leader: &LeaderRecord, lease: &Mutex<Lease>) {
    let mut answered = true;
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let asked = since_boot();
        let read = core.platform.leader().read().await;
        match &read {
            Ok((Some(record), _)) if record == leader => locked(lease).confirm(asked),
            Ok(_) => return,
            Err(err) if answered => {
                warn!(event = "leader", term = leader.term, outcome = "not-confirmed", %err);
            }
            // Told when it began.
            Err(_) => {}
        }
        answered = read.is_ok();
    }
}

async fn plan<P: Platform>(core: &Arc<Core<P>>, leader: &LeaderRecord, lease: &Mutex<Lease>) {
    let mut term = Term::new(Arc::clone(core), leader);
    let mut last = LeaseStatus::Act;
    loop {
        if core.is_leaving() || another_holds(core, leader) {
            return;
        }
        let heard = hears_majority(locked(&core.nodes).silences(Instant::now()));
        let standing = locked(lease).update(since_boot(), heard);
        if standing != last {
            info!(
                event = "leader",
                term = leader.term,
                outcome = "standing",
                ?standing,
                heard
            );
            last = standing;
        }
        match standing {
            LeaseStatus::Act => term.step(),
            LeaseStatus::Wait => {}
            LeaseStatus::GiveUp => return,
        }
        term.wait().await;
    }
}

/// Whether another node reports a higher term.
fn another_holds<P: Platform>(core: &Core<P>, leader: &LeaderRecord) -> bool {
    locked(&core.leaders)
        .values()
        .any(|term| *term > leader.term)
}
