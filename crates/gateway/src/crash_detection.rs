//! Detects hosts that crashed under requests of this node.
//!
//! [`CrashDetector`] has the policy; this connects to hosts and reports crashes.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, HostId, ServiceName, value};
use eelgrassmill_engine::SendError;
use eelgrassmill_fleet::{
    BrokenResponse, CheckStep, CrashDetector, Host, HostCrash, HostPresence, HostStart, ProbeResult,
};
use eelgrassmill_route::{BrokenRun, CrashedRun, MAX_TIME_TO_CRASH, crashed_runs};
use smol_str::SmolStr;
use tracing::info;

use crate::call::Call;
use crate::core::Core;
use crate::heads::{Head, Loss, locked};
use crate::host_relay::reaches_hosts;
use crate::ports::Platform;
use crate::quarantine;

/// Maximum number of requests, and of prompt parts, that the log names for one crash.
const MAX_LOGGED: usize = 64;
/// Time from the last event of a replica within which a member crashed that stopped its streams:
/// several passes, which usually take 50 ms.
const MAX_EVENT_GAP: Duration = Duration::from_millis(150);

/// Time from the end of a response until its host is checked. A crash closes all sockets of the host,
/// in any order.
const END_CHECK_DELAY: Duration = Duration::from_millis(10);

value! {
    /// A host that crashed while requests of this node ran there.
    pub(crate) struct Crash {
        pub(crate) host: HostId,
        /// Start time of the host, 0 if unknown.
        pub(crate) started_ms: u64,
        pub(crate) service: ServiceName,
        pub(crate) failure_domain: FailureDomain,
        /// When the first response from it broke.
        pub(crate) at: Instant,
        /// The requests and the parts of their prompts.
        pub(crate) running: Vec<CrashedRun>,
    }

    /// A host as it was when a request was sent to it.
    pub(crate) struct UsedHost {
        pub(crate) start: HostStart,
        pub(crate) address: SmolStr,
        service: ServiceName,
        failure_domain: FailureDomain,
    }
}

value! { copy
    /// A response that broke.
    pub(crate) struct Broken {
        /// When the request was sent.
        pub(crate) sent: Instant,
        /// When the response broke. If its replica stopped sending events, the latest time of the
        /// crash.
        pub(crate) at: Instant,
        /// Whether a part of the response had arrived.
        pub(crate) started: bool,
        /// Time from the first part of the response to the last one.
        pub(crate) wrote_for: Duration,
        /// When this node last received anything from the host.
        pub(crate) last_received: Option<Instant>,
    }
}

impl From<&Head> for UsedHost {
    fn from(head: &Head) -> UsedHost {
        UsedHost {
            start: (head.host.clone(), head.started_ms),
            address: head.address.clone(),
            service: head.service.clone(),
            failure_domain: head.failure_domain.clone(),
        }
    }
}

impl From<&Host> for UsedHost {
    fn from(host: &Host) -> UsedHost {
        UsedHost {
            start: (host.id.clone(), host.started_ms),
            address: host.address.clone(),
            service: host.service.clone(),
            failure_domain: host.failure_domain.clone(),
        }
    }
}

/// Checks in progress.
#[derive(Debug, Default)]
pub(crate) struct CrashDetection {
    detector: Mutex<CrashDetector<BrokenRun>>,
}

/// Whether a host listens a moment after a response whose end isn't marked. One that crashed ends its
/// connections like one that has sent all, and its response would look complete.
pub(crate) async fn is_up_after_end<P: Platform>(core: &Core<P>, address: &str) -> bool {
    tokio::time::sleep(END_CHECK_DELAY).await;
    core.http.check_listening(address).await.is_ok()
}

/// Records that the response to a call broke at a host, and checks whether the host crashed.
pub(crate) fn on_broken<P: Platform>(
    core: &Arc<Core<P>>,
    call: &Call,
    host: UsedHost,
    broken: Broken,
) {
    if presence(core, &host.start) == HostPresence::Left {
        return;
    }
    let response = BrokenResponse {
        sent: broken.sent,
        broke_at: broken.at,
        last_received: broken.last_received,
        run: BrokenRun {
            candidates: call.crash_candidates(&host.service),
            ran_for: broken.at.saturating_duration_since(broken.sent),
            started: broken.started,
            wrote_for: broken.wrote_for,
        },
    };
    let mut detector = locked(&core.crash_detection.detector);
    let begins = detector.on_broken(&host.start, response, Instant::now());
    drop(detector);
    if begins {
        tokio::spawn(check_host(Arc::clone(core), host));
    }
}

/// Records that the response to a call broke because its replica lost members.
pub(crate) fn on_lost<P: Platform>(core: &Arc<Core<P>>, call: &Call, loss: Loss, broken: Broken) {
    let broken = Broken {
        at: loss.silent_since + MAX_EVENT_GAP,
        ..broken
    };
    for member in loss.silent {
        on_broken(core, call, member, broken);
    }
}

/// Records that a host answered.
pub(crate) fn on_received<P: Platform>(core: &Core<P>, host: &Host) {
    let mut detector = locked(&core.crash_detection.detector);
    if !detector.is_idle() {
        let start = (host.id.clone(), host.started_ms);
        detector.on_received(&start, Instant::now());
    }
}

fn presence<P: Platform>(core: &Core<P>, (id, started_ms): &HostStart) -> HostPresence {
    locked(&core.fleet).presence(id, *started_ms)
}

async fn check_host<P: Platform>(core: Arc<Core<P>>, host: UsedHost) {
    let detector = &core.crash_detection.detector;
    loop {
        let presence = presence(&core, &host.start);
        let step = locked(detector).step(&host.start, presence, Instant::now());
        match step {
            CheckStep::Probe => {
                let result = probe(&core, &host).await;
                locked(detector).on_probed(&host.start, result, Instant::now());
            }
            CheckStep::Wait(wait) => tokio::time::sleep(wait).await,
            CheckStep::Crashed(crash) => report(&core, &host, crash),
            CheckStep::End => return,
        }
    }
}

async fn probe<P: Platform>(core: &Arc<Core<P>>, host: &UsedHost) -> ProbeResult {
    match core.http.check_listening(&host.address).await {
        Ok(()) => ProbeResult::Accepted,
        Err(SendError::Refused(_))
            if reaches_hosts(core, std::slice::from_ref(&host.start.0)).await =>
        {
            ProbeResult::Refused
        }
        Err(_) => ProbeResult::Unreachable,
    }
}

fn report<P: Platform>(core: &Core<P>, host: &UsedHost, crash: HostCrash<BrokenRun>) {
    let (id, started_ms) = host.start.clone();
    let crash = Crash {
        host: id,
        started_ms,
        service: host.service.clone(),
        failure_domain: host.failure_domain.clone(),
        at: crash.at,
        running: crashed_runs(&crash.running),
    };
    log_crash(core, &crash);
    quarantine::on_crash(core, crash);
}

fn log_crash<P: Platform>(core: &Core<P>, crash: &Crash) {
    let crashes = &core.metrics.host_crashes;
    crashes.with_label_values(&[crash.service.as_str()]).inc();
    let names = |is_named: fn(&&CrashedRun) -> bool| {
        let named = crash.running.iter().filter(is_named).take(MAX_LOGGED);
        let names: Vec<String> = named.map(|r| format!("{:016x}", r.fingerprint)).collect();
        names.join(",")
    };
    info!(
        event = "host-crashed", host = %crash.host, service = %crash.service,
        running = crash.running.iter().filter(|r| r.breadth == 0).count(),
        requests = names(|r| r.breadth == 0), parts = names(|r| r.breadth > 0),
        long_running_parts = names(|r| r.breadth > 0 && r.wrote_for >= MAX_TIME_TO_CRASH),
    );
}
