//! Detects hosts that crashed under requests of this node.
//!
//! A response that breaks doesn't tell a crash from a lost connection. So the node connects to the
//! host again: a crashed one refuses, or can't be reached and is removed from the host list.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, HostId, value};
use eelgrassmill_engine::SendError;
use eelgrassmill_route::CrashedRun;
use smol_str::SmolStr;
use tracing::info;

use crate::call::Call;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::Platform;
use crate::quarantine;

/// Interval of the checks of a host that can't be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an unreachable host is checked: the host list drops crashed hosts within 4 s.
const MAX_CHECK_TIME: Duration = Duration::from_secs(5);
/// How long a host that was found alive isn't checked again. One that resets connections would
/// otherwise cost a connection for each reset.
const RECHECK_DELAY: Duration = Duration::from_secs(1);

value! {
    /// A host that crashed while requests of this node ran there.
    pub(crate) struct Crash {
        pub(crate) host: HostId,
        pub(crate) service: SmolStr,
        pub(crate) failure_domain: FailureDomain,
        /// When the first response from it broke.
        pub(crate) at: Instant,
        /// The requests; one may have several runs.
        pub(crate) running: Vec<CrashedRun>,
    }
}

/// Checks in progress.
#[derive(Debug, Default)]
pub(crate) struct CrashDetection {
    checks: Mutex<BTreeMap<HostId, Check>>,
}

#[derive(Debug)]
struct Check {
    /// Requests that broke at the host since the check began.
    running: Vec<CrashedRun>,
    /// When the first response broke.
    broke_at: Instant,
    /// When the host was found alive; `None` while the check is in progress.
    alive_at: Option<Instant>,
}

#[derive(Debug, PartialEq, Eq)]
enum HostStatus {
    Alive,
    Crashed,
    /// It neither accepts nor refuses connections.
    Unreachable,
}

/// Records that the response to a call broke at a host, and checks whether the host crashed. The
/// call was sent at `sent`; `started` says whether a part of the response had arrived.
pub(crate) fn on_broken<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    host: &HostId,
    sent: Instant,
    started: bool,
) {
    let now = Instant::now();
    let run = CrashedRun {
        fingerprint: call.fingerprint(),
        ran_for: now.saturating_duration_since(sent),
        started,
    };
    let mut checks = locked(&core.crash_detection.checks);
    let is_recent = |at: Instant| now.saturating_duration_since(at) < RECHECK_DELAY;
    checks.retain(|_, check| check.alive_at.is_none_or(is_recent));
    if let Some(check) = checks.get_mut(host) {
        if check.alive_at.is_none() {
            check.running.push(run);
        }
        return;
    }
    // The response of a host that leaves may break without a crash.
    let is_ready = locked(&core.fleet).host(host).is_some_and(|h| h.is_ready());
    if !is_ready {
        return;
    }
    let check = Check {
        running: vec![run],
        broke_at: now,
        alive_at: None,
    };
    checks.insert(host.clone(), check);
    drop(checks);
    tokio::spawn(check_host(Arc::clone(core), host.clone()));
}

async fn check_host<P: Platform>(core: Arc<Core<P>>, id: HostId) {
    let Some(host) = locked(&core.fleet).host(&id).cloned() else {
        return end_check(&core, &id);
    };
    let give_up_at = Instant::now() + MAX_CHECK_TIME;
    let mut status = host_status(&core, &id, &host.address).await;
    while status == HostStatus::Unreachable && Instant::now() < give_up_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
        status = host_status(&core, &id, &host.address).await;
    }
    if status != HostStatus::Crashed {
        return end_check(&core, &id);
    }
    let Some(check) = locked(&core.crash_detection.checks).remove(&id) else {
        return;
    };
    let crash = Crash {
        host: id,
        service: host.service,
        failure_domain: host.failure_domain,
        at: check.broke_at,
        running: check.running,
    };
    log_crash(&core, &crash);
    quarantine::on_crash(&core, crash);
}

/// Ends a check that found no crash.
fn end_check<P: Platform>(core: &Core<P>, host: &HostId) {
    if let Some(check) = locked(&core.crash_detection.checks).get_mut(host) {
        check.alive_at = Some(Instant::now());
        check.running = Vec::new();
    }
}

async fn host_status<P: Platform>(core: &Core<P>, host: &HostId, address: &str) -> HostStatus {
    match core.http.check_listening(address).await {
        Ok(()) => HostStatus::Alive,
        Err(SendError::Refused(_)) => HostStatus::Crashed,
        Err(_) if locked(&core.fleet).host(host).is_none() => HostStatus::Crashed,
        Err(_) => HostStatus::Unreachable,
    }
}

fn log_crash<P: Platform>(core: &Core<P>, crash: &Crash) {
    let crashes = &core.metrics.host_crashes;
    crashes.with_label_values(&[crash.service.as_str()]).inc();
    let fingerprints: BTreeSet<_> = crash.running.iter().map(|r| r.fingerprint).collect();
    let requests: Vec<String> = fingerprints.iter().map(|p| format!("{p:016x}")).collect();
    info!(
        event = "host-crashed", host = %crash.host, service = %crash.service,
        running = crash.running.len(), requests = requests.join(","),
    );
}
