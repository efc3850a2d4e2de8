//! Detects replicas that lost a member, and expires hosts that stay unlisted.
//!
//! When a host dies in the middle of streams, the head still takes requests but makes no progress,
//! and the platform's list shows the death only after 3 s or more. Stalled streams show it after
//! some 300 ms; a report request to each member then tells a dead member from a slow replica.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, NodeId, value};
use eelgrassmill_engine::SendError;
use eelgrassmill_fleet::{
    CpuOverload, HostPresence, MemberCheck, MembershipPhase, StallThreshold, Suspicion,
    SuspicionStep,
};
use eelgrassmill_peer::{GroupRecord, Item};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tracing::info;

use crate::core::Core;
use crate::crash_detection::UsedHost;
use crate::heads::{Head, locked};
use crate::host_relay::reaches_hosts;
use crate::host_signals;
use crate::planning::PlanningEvent;
use crate::ports::{HostReport, HostUnavailable, Platform};

/// How often replicas are checked for stalls: a sixth of the shortest stall that counts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often lost heads are checked for a retry: an eighth of the time they count as lost.
const LOST_HEAD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a report request, after which the member counts as silent: a reply takes 1 to 5 ms
/// between failure domains, and one retransmission some 200 ms.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(230);
/// How long streams of a replica that members have left may stand still: those that run go on when a
/// replica is dissolved.
const MOVED_GRACE: Duration = Duration::from_millis(320);
/// How long other nodes keep the loss report: until well after the replica was dissolved.
const LOSS_REPORT_TTL: Duration = Duration::from_secs(15);

value! {
    /// A replica that lost a member.
    pub(crate) struct LostReplica {
        pub(crate) replica: GroupId,
        pub(crate) epoch: Epoch,
        /// Members that didn't reply.
        pub(crate) silent: SmallVec<[HostId; 2]>,
    }
}

/// What a member reports about its replica.
enum MemberState {
    InReplica,
    Broken,
    /// It has left.
    Moved,
}

/// Checks for stalled replicas until the process ends.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let threshold = StallThreshold::default();
    let mut cpu_overload = CpuOverload::default();
    let mut retry_lost_at = Instant::now();
    loop {
        let due = Instant::now() + POLL_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        update_cpu_overload(&core, &mut cpu_overload, due);
        expire_missing_hosts(&core);
        // Entries of dead heads stay while the store is unavailable: each retry would break
        // streams.
        if core.store_failures() == 0 && due >= retry_lost_at {
            retry_lost_at = due + LOST_HEAD_RETRY_INTERVAL;
            locked(&core.heads).retry_lost(Instant::now());
        }
        break_lost_links(&core);
        for head in stalled_heads(&core, &threshold) {
            let silent_since = head.stream_activity().silent_since();
            if head.begin_check() {
                tokio::spawn(check_until_settled(Arc::clone(&core), head, silent_since));
            }
        }
    }
}

/// Updates CPU overload from the lateness of this loop's timer.
fn update_cpu_overload<P: Platform>(core: &Core<P>, cpu_overload: &mut CpuOverload, due: Instant) {
    let now = Instant::now();
    cpu_overload.on_timer(now.saturating_duration_since(due), now);
    if cpu_overload.is_overloaded() != core.is_overloaded() {
        core.set_overloaded(cpu_overload.is_overloaded());
        info!(event = "strain", strained = cpu_overload.is_overloaded());
    }
}

/// Removes hosts whose entries vanished while the store was unavailable and did not come back in
/// time.
///
/// Runs on a timer because the store sends no event at that time: until the next change, a host
/// that left would get requests for up to 3 s more.
fn expire_missing_hosts<P: Platform>(core: &Core<P>) {
    let removed = locked(&core.fleet).expire(Instant::now());
    if removed.is_empty() {
        return;
    }
    for host in removed.iter().filter(|_| core.is_planner()) {
        info!(event = "host-gone", %host, reason = "not listed again");
    }
    core.refresh_heads();
}

/// Breaks responses that stand still over links that are lost. Others of the same head may come
/// through relays, so that the head doesn't count as stalled.
fn break_lost_links<P: Platform>(core: &Core<P>) {
    let Some(relay) = core.http.relay() else {
        return;
    };
    // A node with too little CPU finds direct connections slow, too.
    if core.is_overloaded() || !relay.is_in_use() {
        return;
    }
    let heads = locked(&core.heads);
    for head in heads.all().filter(|h| relay.is_relayed(&h.address)) {
        head.break_direct_responses();
    }
}

fn stalled_heads<P: Platform>(core: &Core<P>, threshold: &StallThreshold) -> Vec<Arc<Head>> {
    let now = Instant::now();
    let heads = locked(&core.heads);
    let is_stalled = |h: &&Arc<Head>| {
        h.running_here() > 0
            && !h.is_lost()
            && h.stream_activity()
                .stalls_at(threshold)
                .is_some_and(|at| at <= now)
    };
    heads.all().filter(is_stalled).cloned().collect()
}

/// Checks the members of a replica that has been silent since `silent_since`, until it is known
/// whether it is lost.
async fn check_until_settled<P: Platform>(
    core: Arc<Core<P>>,
    head: Arc<Head>,
    silent_since: Option<Instant>,
) {
    let began = Instant::now();
    let mut suspicion = Suspicion::new(silent_since, began);
    let mut silent: SmallVec<[HostId; 2]> = SmallVec::new();
    loop {
        let members = check_members(&core, &head, began);
        let (found, ()) = tokio::join!(members, try_connect(&core, &mut suspicion, &silent));
        if head.is_lost() || head.stream_activity().last_event() > Some(began) {
            break;
        }
        match suspicion.on_check(found.check, Instant::now()) {
            SuspicionStep::Trust => break,
            SuspicionStep::Lose => {
                report_loss(&core, &head, silent_since, found.silent);
                break;
            }
            SuspicionStep::Suspect(wait) => {
                if !head.is_suspected() {
                    log_suspected(&head, &found.silent);
                    head.suspect(began);
                    core.wake_waiting_requests();
                }
                silent = found.silent;
                let connect = try_connect(&core, &mut suspicion, &silent);
                tokio::join!(tokio::time::sleep(wait), connect);
            }
        }
    }
    if head.is_suspected() {
        head.trust();
        info!(event = "replica-trusted", replica = %head.replica, epoch = head.epoch);
    }
    head.stream_activity().on_work_resumed(Instant::now());
    head.end_check();
}

/// Finds out whether silent members still accept connections. Without a link to other hosts, or
/// beyond what the suspicion needs to know, nothing is tried.
async fn try_connect<P: Platform>(
    core: &Arc<Core<P>>,
    suspicion: &mut Suspicion,
    silent: &[HostId],
) {
    if silent.is_empty() || !suspicion.needs_connect() || !reaches_hosts(core, silent).await {
        return;
    }
    let addresses: SmallVec<[SmolStr; 2]> = {
        let fleet = locked(&core.fleet);
        let listed = silent.iter().filter_map(|id| fleet.host(id));
        listed.map(|h| h.address.clone()).collect()
    };
    let mut connects = JoinSet::new();
    for address in addresses {
        let core = Arc::clone(core);
        connects.spawn(async move {
            let connect = core.http.check_listening(&address);
            let connected = tokio::time::timeout(REPORT_TIMEOUT, connect).await;
            matches!(connected, Ok(Ok(())))
        });
    }
    let mut all_accept = true;
    while let Some(accepts) = connects.join_next().await {
        all_accept &= accepts.unwrap_or(false);
    }
    suspicion.on_connect(all_accept);
}

/// What the reports of a replica's members show.
struct CheckedMembers {
    check: MemberCheck,
    /// Members that didn't reply.
    silent: SmallVec<[HostId; 2]>,
}

impl CheckedMembers {
    fn sound() -> CheckedMembers {
        CheckedMembers {
            check: MemberCheck::Sound,
            silent: SmallVec::new(),
        }
    }
}

/// Requests a report from each member of a replica.
async fn check_members<P: Platform>(
    core: &Arc<Core<P>>,
    head: &Arc<Head>,
    began: Instant,
) -> CheckedMembers {
    let members = members_of(core, head);
    let member_count = members.len();
    let mut reports = JoinSet::new();
    for member in members {
        let core = Arc::clone(core);
        reports.spawn(async move {
            let (host, address) = (&member.start.0, &member.address);
            let report = host_signals::report(&core, host, address, REPORT_TIMEOUT).await;
            let is_gone = match &report {
                Err(err) => is_gone(&core, &member, err).await,
                Ok(_) => false,
            };
            (member, report, is_gone)
        });
    }
    let mut silent: SmallVec<[HostId; 2]> = SmallVec::new();
    let mut gone = false;
    let mut broken = false;
    let mut moved = false;
    while let Some(joined) = reports.join_next().await {
        // A report request can't panic; one that did would show nothing about its host.
        let Ok((member, report, is_gone)) = joined else {
            continue;
        };
        gone |= is_gone;
        match report {
            Ok(report) => match state_of(head, &report) {
                MemberState::InReplica => {}
                MemberState::Broken => broken = true,
                MemberState::Moved => moved = true,
            },
            Err(err) => {
                let id = member.start.0;
                if !head.is_suspected() {
                    log_silent_member(head, &id, &err);
                }
                silent.push(id);
            }
        }
    }
    if silent.len() == member_count && !reaches_hosts(core, &silent).await {
        info!(event = "links-lost", replica = %head.replica, epoch = head.epoch);
        return CheckedMembers::sound();
    }
    if moved && !broken && silent.is_empty() {
        tokio::time::sleep(MOVED_GRACE).await;
        if head.stream_activity().last_event() > Some(began) {
            info!(event = "replica-moves", replica = %head.replica, epoch = head.epoch);
            return CheckedMembers::sound();
        }
    }
    let check = if gone || broken || moved {
        MemberCheck::Lost
    } else if !silent.is_empty() {
        MemberCheck::Silent
    } else {
        MemberCheck::Sound
    };
    if check == MemberCheck::Sound {
        // Finds out whether only the link is lost, for `break_lost_links`.
        if core.http.needs_relay(&head.address).await {
            info!(event = "link-lost", replica = %head.replica, epoch = head.epoch);
        } else {
            info!(event = "replica-slow", replica = %head.replica, epoch = head.epoch);
        }
    }
    CheckedMembers { check, silent }
}

/// Whether a member that gave no report is known to be gone: it isn't listed, or refuses
/// connections, which a host that is silent for a moment doesn't.
async fn is_gone<P: Platform>(core: &Core<P>, member: &UsedHost, err: &HostUnavailable) -> bool {
    let (id, started_ms) = &member.start;
    if locked(&core.fleet).presence(id, *started_ms) != HostPresence::Listed {
        return true;
    }
    let is_refused = || async {
        let listening = core.http.check_listening(&member.address).await;
        matches!(listening, Err(SendError::Refused(_)))
    };
    matches!(err, HostUnavailable::NotReached(_)) && is_refused().await
}

/// The members that are listed, and those that crashed, whose entries may be gone.
fn members_of<P: Platform>(core: &Core<P>, head: &Head) -> SmallVec<[UsedHost; 8]> {
    let fleet = locked(&core.fleet);
    let listed = fleet
        .hosts()
        .filter(|h| h.belongs_to(&head.replica, head.epoch));
    listed
        .map(UsedHost::from)
        .chain(head.crashed_members(&fleet))
        .collect()
}

/// The members in `silent`, and those that crashed by the host list.
fn lost_members<P: Platform>(
    core: &Core<P>,
    head: &Head,
    silent: &[HostId],
) -> SmallVec<[UsedHost; 2]> {
    let mut lost = head.crashed_members(&locked(&core.fleet));
    for member in head.members_named(silent) {
        if !lost.contains(&member) {
            lost.push(member);
        }
    }
    lost
}

fn state_of(head: &Head, report: &HostReport) -> MemberState {
    let membership = report.membership.as_ref();
    match membership.filter(|m| m.replica == head.replica && m.epoch == head.epoch) {
        None => MemberState::Moved,
        Some(m) if m.phase == MembershipPhase::Broken => MemberState::Broken,
        Some(_) => MemberState::InReplica,
    }
}

fn log_suspected(head: &Head, silent: &[HostId]) {
    info!(
        event = "replica-suspected", replica = %head.replica, epoch = head.epoch,
        ?silent, running = head.running_here(),
    );
}

fn log_silent_member(head: &Head, host: &HostId, err: &HostUnavailable) {
    info!(
        event = "member-silent", replica = %head.replica, epoch = head.epoch,
        %host, %err,
    );
}

/// Marks a replica as lost at this node and reports the loss to the planner and the other nodes.
fn report_loss<P: Platform>(
    core: &Core<P>,
    head: &Head,
    silent_since: Option<Instant>,
    silent: SmallVec<[HostId; 2]>,
) {
    info!(
        event = "replica-lost", replica = %head.replica, epoch = head.epoch,
        silent = ?silent, running = head.running_here(),
    );
    head.set_lost(silent_since, lost_members(core, head, &silent));
    core.wake_waiting_requests();
    if let Some(peer) = core.peer() {
        let names: Vec<&str> = silent.iter().map(SmolStr::as_str).collect();
        // Not a health report: a node that publishes one counts as a watcher, and as dead unless it
        // confirms its reports all the time.
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

/// Handles another node's report that a replica is lost. Ignored if its streams here still make
/// progress.
pub(crate) fn on_loss_report<P: Platform>(core: &Core<P>, from: &NodeId, update: &GroupRecord) {
    let names = String::from_utf8_lossy(&update.record);
    let names = names.split(',').filter(|name| !name.is_empty());
    let silent: SmallVec<[HostId; 2]> = names.map(HostId::from).collect();
    let head = locked(&core.heads)
        .get(&update.group, update.version)
        .cloned();
    if let Some(head) = head {
        if head
            .stream_activity()
            .has_recent_event(&StallThreshold::default(), Instant::now())
        {
            info!(
                event = "replica-moves", replica = %head.replica, epoch = head.epoch,
                %from, running = head.running_here(),
            );
            return;
        }
        let silent_since = head.stream_activity().silent_since();
        head.set_lost(silent_since, lost_members(core, &head, &silent));
        core.wake_waiting_requests();
    }
    let lost = LostReplica {
        replica: update.group.clone(),
        epoch: update.version,
        silent,
    };
    core.planning.push(PlanningEvent::Lost(lost));
}
