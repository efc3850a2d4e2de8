//! Finding out that a replica has lost a member, and dropping hosts that stay unlisted.
//!
//! The load it answers: hosts die in the middle of streams. The head then still takes
//! requests, but nothing moves, for seconds; the platform's list shows the death after
//! 3 s and more. The streams' silence shows it after some 300 ms, and a question to each
//! member then tells a dead member from a slow replica.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, NodeId, value};
use eelgrassmill_fleet::{CpuOverload, Host, MembershipPhase, StallThreshold};
use eelgrassmill_peer::{GroupRecord, Item};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tracing::info;

use crate::core::Core;
use crate::heads::{Head, locked};
use crate::planning::PlanningEvent;
use crate::ports::{HostControl, HostReport, HostUnavailable, Platform};

/// Replicas are looked at this often: a sixth of the shortest silence that counts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Heads that were lost long ago are looked for this often, an eighth of that time.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// A member that gives no report for this long counts as silent: a report takes 1 to 5 ms
/// between failure domains, and one repeated packet some 200 ms.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(230);
/// How long other nodes hold on to the report: until long after the replica was dissolved.
const LOSS_REPORT_TTL: Duration = Duration::from_secs(15);

value! {
    /// Why a replica counts as lost.
    pub(crate) struct LostReplica {
        pub(crate) replica: GroupId,
        pub(crate) epoch: Epoch,
        /// Members that gave no answer.
        pub(crate) silent: SmallVec<[HostId; 2]>,
    }
}

/// Looks for replicas that stand still, for ever.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let rule = StallThreshold::default();
    let mut strain = CpuOverload::default();
    let mut renew_at = Instant::now();
    loop {
        let due = Instant::now() + POLL_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        note_strain(&core, &mut strain, due);
        drop_missing(&core);
        // While the store is away entries of dead heads stand: each try would cost streams.
        if core.store_failures() == 0 && due >= renew_at {
            renew_at = due + RENEW_INTERVAL;
            locked(&core.heads).retry_lost(Instant::now());
        }
        for head in standing_still(&core, &rule) {
            // The next look must not begin a second check beside this one.
            head.progress().on_work_resumed(Instant::now());
            tokio::spawn(check(Arc::clone(&core), head));
        }
    }
}

/// Takes how late this loop's timer was.
fn note_strain<P: Platform>(core: &Core<P>, strain: &mut CpuOverload, due: Instant) {
    let now = Instant::now();
    strain.on_timer(now.saturating_duration_since(due), now);
    if strain.is_overloaded() != core.is_strained() {
        core.set_strained(strain.is_overloaded());
        info!(event = "strain", strained = strain.is_overloaded());
    }
}

/// Drops hosts whose entries went while the store was away and did not come back in time.
///
/// The store tells of nothing when that time is over, so it must not wait for the next
/// change: a host that left would get requests for up to 3 s more.
fn drop_missing<P: Platform>(core: &Core<P>) {
    let gone = locked(&core.fleet).expire(Instant::now());
    if gone.is_empty() {
        return;
    }
    for host in gone.iter().filter(|_| core.is_planner()) {
        info!(event = "host-gone", %host, reason = "not listed again");
    }
    core.refresh_heads();
}

fn standing_still<P: Platform>(core: &Core<P>, rule: &StallThreshold) -> Vec<Arc<Head>> {
    let now = Instant::now();
    let heads = locked(&core.heads);
    let still = |h: &&Arc<Head>| {
        h.running_here() > 0
            && !h.is_lost()
            && h.progress().stalls_at(rule).is_some_and(|at| at <= now)
    };
    heads.all().filter(still).cloned().collect()
}

/// Asks all members of a replica that stands still.
async fn check<P: Platform>(core: Arc<Core<P>>, head: Arc<Head>) {
    let members: Vec<Host> = {
        let fleet = locked(&core.fleet);
        let members = fleet
            .hosts()
            .filter(|h| h.belongs_to(&head.replica, head.epoch));
        members.cloned().collect()
    };
    let mut questions = JoinSet::new();
    for host in members {
        let core = Arc::clone(&core);
        questions.spawn(async move {
            let report = core
                .platform
                .control()
                .report(&host.id, &host.address, REPORT_TIMEOUT)
                .await;
            (host, report)
        });
    }
    let mut silent = SmallVec::new();
    let mut broken = false;
    while let Some(answered) = questions.join_next().await {
        // A question can't panic; one that did would say nothing of its host.
        let Ok((host, report)) = answered else {
            continue;
        };
        match report {
            Ok(report) => broken |= is_broken(&head, &report),
            Err(err) => {
                note(&head, &host, &err);
                silent.push(host.id);
            }
        }
    }
    if silent.is_empty() && !broken {
        info!(event = "replica-slow", replica = %head.replica, epoch = head.epoch);
        return;
    }
    lose(&core, &head, silent);
}

fn is_broken(head: &Head, report: &HostReport) -> bool {
    match &report.membership {
        None => true,
        Some(m) => {
            m.replica != head.replica || m.epoch != head.epoch || m.phase == MembershipPhase::Broken
        }
    }
}

fn note(head: &Head, host: &Host, err: &HostUnavailable) {
    info!(
        event = "member-silent", replica = %head.replica, epoch = head.epoch,
        host = %host.id, %err,
    );
}

/// Gives a replica up here, and tells the planner and the other nodes.
fn lose<P: Platform>(core: &Core<P>, head: &Head, silent: SmallVec<[HostId; 2]>) {
    info!(
        event = "replica-lost", replica = %head.replica, epoch = head.epoch,
        silent = ?silent, running = head.running_here(),
    );
    head.set_lost();
    core.wake_waiting_requests();
    if let Some(peer) = core.peer() {
        let names: Vec<&str> = silent.iter().map(SmolStr::as_str).collect();
        // Not a verdict: a node that holds one counts as a watcher, which is taken for
        // dead unless it confirms its verdicts all the time.
        let update = GroupRecord {
            group: head.replica.clone(),
            version: head.epoch,
            record: names.join(",").into_bytes(),
        };
        peer.publish_with_ttl(Item::Group(update), LOSS_REPORT_TTL);
    }
    let lost = LostReplica {
        replica: head.replica.clone(),
        epoch: head.epoch,
        silent,
    };
    core.planning.push(PlanningEvent::Lost(lost));
}

/// Takes another node's word that a replica is lost, unless its streams here say otherwise.
pub(crate) fn heard<P: Platform>(core: &Core<P>, from: &NodeId, update: &GroupRecord) {
    let head = locked(&core.heads)
        .get(&update.group, update.version)
        .cloned();
    if let Some(head) = head {
        if head
            .progress()
            .has_recent_event(&StallThreshold::default(), Instant::now())
        {
            info!(
                event = "replica-moves", replica = %head.replica, epoch = head.epoch,
                %from, running = head.running_here(),
            );
            return;
        }
        head.set_lost();
        core.wake_waiting_requests();
    }
    let names = String::from_utf8_lossy(&update.record);
    let silent = names
        .split(',')
        .filter(|s| !s.is_empty())
        .map(HostId::from)
        .collect();
    let lost = LostReplica {
        replica: update.group.clone(),
        epoch: update.version,
        silent,
    };
    core.planning.push(PlanningEvent::Lost(lost));
}
