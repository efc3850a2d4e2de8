//! Quarantine of requests and prompt parts that crash hosts, at all nodes.
//!
//! [`crash_detection`](crate::crash_detection) finds the crashes, `reports` takes them to the
//! coordinators of the service, `coordinator` sends their decisions to all nodes.

mod completions;
mod coordinator;
mod evidence;
mod reports;
mod saved;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, ServiceName};
use eelgrassmill_fleet::ranked_for_role;
use eelgrassmill_peer::{SuspectReply, SuspectRequest, TrialRequest};
use eelgrassmill_route::{
    CrashCandidate, Fingerprint, QuarantineCoordinator, QuarantineStatus, QuarantineTable,
};
use smallvec::SmallVec;
use tokio::sync::{Notify, watch};

use crate::call::Call;
use crate::core::Core;
use crate::crash_detection::Crash;
use crate::heads::locked;
use crate::ports::Platform;
use crate::quarantine::completions::RecentCompletions;
use crate::quarantine::reports::ReportQueue;
use crate::refusal::{Refusal, RefusalCause};

pub(crate) use crate::quarantine::coordinator::{handle, on_record};
pub(crate) use crate::quarantine::evidence::save_evidence_loop;
pub(crate) use crate::quarantine::saved::{restore, save_loop};

/// Coordinators of a service. A second one keeps the evidence if the first one dies.
const COORDINATORS: usize = 2;
/// How often unacknowledged reports are sent again, and coordinators check what they have to
/// publish.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long reports are batched before they are sent: requests that break together are reported
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Timeout of a report, and of a trial request.
const RPC_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a trial may take. Longer ones count as unanswered.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(15);
/// Time beyond a trial's deadline within which its outcome reaches the coordinator.
const TRIAL_MARGIN: Duration = Duration::from_secs(1);
/// Retry-After when the coordinator can't be asked for a trial: until another node has its role.
const RETRY_AFTER_NO_COORDINATOR: Duration = Duration::from_secs(3);

/// This node's part in the quarantine.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    table: Mutex<QuarantineTable>,
    coordinator: Mutex<QuarantineCoordinator>,
    /// Decisions that this node published, by when they were decided.
    published: Mutex<BTreeMap<Fingerprint, Instant>>,
    reports: Mutex<ReportQueue>,
    completions: Mutex<RecentCompletions>,
    /// Number of quarantine decisions that came into force here.
    decided: watch::Sender<u64>,
    /// Notified of new reports.
    reported: Notify,
    /// Notified of other nodes' reports.
    evidence: Notify,
    /// Notified of reports of crashes for whose evidence this node is responsible.
    crashed: Notify,
    /// Notified when this node reads a list from the store itself.
    store_read: Notify,
}

/// Waits for quarantine decisions.
pub(crate) struct Decisions(watch::Receiver<u64>);

impl Quarantine {
    /// Records that this node read a list from the store itself.
    pub(crate) fn on_store_read(&self) {
        self.store_read.notify_one();
    }

    /// The decisions from now on.
    pub(crate) fn decisions(&self) -> Decisions {
        Decisions(self.decided.subscribe())
    }
}

impl Decisions {
    /// Waits until the next decision is in force.
    pub(crate) async fn next(&mut self) {
        // The sender lives as long as the node.
        let _ = self.0.changed().await;
    }
}

/// How a call is allowed to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Free,
    /// One attempt only.
    Trial,
}

/// Counts the parts of a call's prompt. A coordinator must know which ones many requests have.
pub(crate) fn on_request<P: Platform>(core: &Core<P>, call: &Call, service: &ServiceName) {
    if !call.metadata.prompt_parts.is_empty() {
        let candidates = call.crash_candidates(service);
        locked(&core.quarantine.coordinator).on_request(service, &candidates);
    }
}

/// Whether a call may run at a service without restriction.
pub(crate) fn is_clear<P: Platform>(core: &Core<P>, call: &Call, service: &str) -> bool {
    status(core, call, service) == QuarantineStatus::Clear
}

/// Decides whether a call may run at a service. If its quarantine, or that of a part of its prompt,
/// is over, it needs the coordinator's permission.
///
/// # Errors
/// When it is quarantined, or on trial elsewhere.
pub(crate) async fn admit<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    service: &str,
) -> Result<Admission, Refusal> {
    match status(core, call, service) {
        QuarantineStatus::Clear => Ok(Admission::Free),
        QuarantineStatus::Quarantined { retry_after } => Err(refusal(retry_after)),
        QuarantineStatus::TrialDue => request_trial(core, call, service).await,
    }
}

/// Checks a call again before an attempt: it may have been quarantined while it waited.
///
/// # Errors
/// When it is quarantined.
pub(crate) fn check_attempt<P: Platform>(
    core: &Core<P>,
    call: &Call,
    service: &str,
    admission: Admission,
    runs: u32,
) -> Result<(), Refusal> {
    if admission == Admission::Trial && runs == 0 {
        return Ok(());
    }
    match status(core, call, service) {
        QuarantineStatus::Clear => Ok(()),
        QuarantineStatus::Quarantined { retry_after } => Err(refusal(retry_after)),
        QuarantineStatus::TrialDue => Err(refusal(RETRY_AFTER_NO_COORDINATOR)),
    }
}

fn status<P: Platform>(core: &Core<P>, call: &Call, service: &str) -> QuarantineStatus {
    // The candidates cost a hash of the body.
    if locked(&core.quarantine.table).is_empty() {
        return QuarantineStatus::Clear;
    }
    let candidates = call.crash_candidates(service);
    locked(&core.quarantine.table).status_of_all(&candidates, Instant::now())
}

fn refusal(retry_after: Duration) -> Refusal {
    Refusal::with_retry_after(RefusalCause::Quarantined, retry_after)
}

async fn request_trial<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    service: &str,
) -> Result<Admission, Refusal> {
    let unknown = || refusal(RETRY_AFTER_NO_COORDINATOR);
    let candidates = call.crash_candidates(service);
    let due = {
        let table = locked(&core.quarantine.table);
        let due = table.trial_due(&candidates, Instant::now());
        // Of the services of a split route, the one whose hosts crashed.
        due.and_then(|fingerprint| Some((fingerprint, table.service(fingerprint)?.clone())))
    };
    let (fingerprint, service) = due.ok_or_else(unknown)?;
    let coordinator = coordinators(core, &service)
        .into_iter()
        .next()
        .ok_or_else(unknown)?;
    let lease = call.remaining().min(MAX_TRIAL_TIME) + TRIAL_MARGIN;
    let req = SuspectRequest {
        from: core.cfg.node.to_string(),
        service: service.to_string(),
        trial: Some(TrialRequest {
            fingerprint,
            lease_ms: lease.as_millis() as u64,
        }),
        ..SuspectRequest::default()
    };
    let reply = send(core, &coordinator, req).await.ok_or_else(unknown)?;
    if reply.trial_permitted {
        Ok(Admission::Trial)
    } else {
        Err(refusal(Duration::from_millis(reply.retry_after_ms)))
    }
}

/// Reports a crash under requests of this node.
pub(crate) fn on_crash<P: Platform>(core: &Core<P>, crash: Crash) {
    let completions = locked(&core.quarantine.completions);
    locked(&core.quarantine.reports).push_crash(crash, &completions);
    drop(completions);
    core.quarantine.reported.notify_one();
}

/// Reports that a call completed on a host that stayed up, if that clears it or a part of its prompt.
pub(crate) fn on_completed<P: Platform>(core: &Core<P>, call: &Call, service: &ServiceName) {
    clear(core, &call.crash_candidates(service), service);
}

/// Reports that a call has been producing output for so long that no part of its prompt crashes
/// hosts, if that clears one.
pub(crate) fn on_survived<P: Platform>(core: &Core<P>, call: &Call, service: &ServiceName) {
    let mut parts = call.crash_candidates(service);
    parts.retain(|c| c.breadth > 0);
    clear(core, &parts, service);
}

fn clear<P: Platform>(core: &Core<P>, candidates: &[CrashCandidate], service: &ServiceName) {
    let quarantine = &core.quarantine;
    let now = Instant::now();
    {
        let mut completions = locked(&quarantine.completions);
        for candidate in candidates {
            completions.on_completed(*candidate, now);
        }
    }
    let table = locked(&quarantine.table);
    let mut reports = locked(&quarantine.reports);
    if table.is_empty() && !reports.is_watching() {
        return;
    }
    let mut is_new = false;
    for fingerprint in candidates.iter().map(|c| c.fingerprint) {
        let is_clear = table.status(fingerprint, now) == QuarantineStatus::Clear;
        if !is_clear || reports.is_watched(fingerprint) {
            reports.push_completed(service, fingerprint, now);
            is_new = true;
        }
    }
    if is_new {
        quarantine.reported.notify_one();
    }
}

/// Reports that a candidate which was just quarantined has completed here, if it has.
///
/// A request that many callers send runs on many hosts, and may be in several crashes at one node
/// while it completes at others.
fn report_completion<P: Platform>(core: &Core<P>, fingerprint: Fingerprint, service: &ServiceName) {
    let quarantine = &core.quarantine;
    let last = locked(&quarantine.completions).last(fingerprint, Instant::now());
    if let Some(at) = last {
        locked(&quarantine.reports).push_completed(service, fingerprint, at);
        quarantine.reported.notify_one();
    }
}

/// Reports the last completion of a candidate on notice, and the next one.
fn await_completion<P: Platform>(core: &Core<P>, fingerprint: Fingerprint, service: &ServiceName) {
    report_completion(core, fingerprint, service);
    locked(&core.quarantine.reports).watch(fingerprint);
}

/// Sends reports to coordinators until the process ends.
pub(crate) async fn send_reports_loop<P: Platform>(core: Arc<Core<P>>) {
    loop {
        let reported = core.quarantine.reported.notified();
        // A timeout is the periodic check for reports that were not acknowledged.
        if tokio::time::timeout(CHECK_INTERVAL, reported).await.is_ok() {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        send_reports(&core).await;
    }
}

/// Makes this node's decisions as a coordinator until the process ends.
pub(crate) async fn decide_loop<P: Platform>(core: Arc<Core<P>>) {
    loop {
        let next_decision = locked(&core.quarantine.coordinator).next_decision();
        let left = next_decision.map(|at| at.saturating_duration_since(Instant::now()));
        let wait = left.map_or(CHECK_INTERVAL, |left| left.min(CHECK_INTERVAL));
        // A timeout is the next decision or the periodic check.
        let _ = tokio::time::timeout(wait, core.quarantine.evidence.notified()).await;
        coordinator::decide(&core);
        coordinator::publish_adopted(&core);
    }
}

async fn send_reports<P: Platform>(core: &Arc<Core<P>>) {
    let services = locked(&core.quarantine.reports).services();
    for service in services {
        for node in coordinators(core, &service) {
            let now = Instant::now();
            let from = &core.cfg.node;
            let batch = locked(&core.quarantine.reports).batch(from, &service, &node, now);
            let Some(batch) = batch else { continue };
            if send(core, &node, batch.req).await.is_some() {
                locked(&core.quarantine.reports).acknowledge(&batch.numbers, &node);
            }
        }
    }
}

async fn send<P: Platform>(
    core: &Arc<Core<P>>,
    node: &NodeId,
    req: SuspectRequest,
) -> Option<SuspectReply> {
    if *node == core.cfg.node {
        return Some(handle(core, req));
    }
    let peer = core.peer()?;
    let reply = peer.call_quarantine_coordinator(node, req, RPC_TIMEOUT);
    reply.await.ok()
}

/// The coordinators of a service, the one that permits trials first.
fn coordinators<P: Platform>(
    core: &Core<P>,
    service: &ServiceName,
) -> SmallVec<[NodeId; COORDINATORS]> {
    let nodes = locked(&core.nodes);
    let own = (!core.is_leaving()).then(|| core.as_candidate());
    let candidates = nodes.alive(Instant::now()).chain(own);
    let ranked = ranked_for_role(&format!("quarantine/{service}"), None, candidates);
    ranked.into_iter().take(COORDINATORS).cloned().collect()
}
