//! Detection of crashed hosts from responses that broke.
//!
//! A broken response doesn't tell a crash from a lost connection, and a crashed host may be back,
//! or its port may accept connections, before anything else shows that it was gone. So a host is
//! checked for some seconds: it crashed if its port refuses connections or its presence in the host
//! list shows a crash.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::presence::HostPresence;

/// Interval of the checks of a host.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the probes of a host that can't be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a host that accepted a probe isn't probed again. One that resets connections would
/// otherwise cost a connection for each reset.
const REPROBE_DELAY: Duration = Duration::from_secs(1);
/// How long a host is checked: the host list drops crashed hosts within 4 s.
const MAX_CHECK_TIME: Duration = Duration::from_secs(5);
/// Time within which all responses of a crashed host break at a node.
const BREAK_SPREAD: Duration = Duration::from_millis(100);

/// One start of a host: its name and its start time, 0 if unknown.
pub type HostStart = (HostId, u64);

value! {
    /// A response that broke.
    pub struct BrokenResponse<R> {
        /// When its request was sent.
        pub sent: Instant,
        /// When it broke. Of a replica that stopped sending events, the latest time at which a
        /// member may have crashed.
        pub broke_at: Instant,
        /// When this node last received anything from the host, on any response.
        pub last_received: Option<Instant>,
        /// The run that it belongs to.
        pub run: R,
    }

    /// A crash of a host.
    pub struct HostCrash<R> {
        /// When the first response broke.
        pub at: Instant,
        /// The runs that broke in the crash and were not returned before.
        pub running: Vec<R>,
    }

    /// What to do next in the check of a host.
    pub enum CheckStep<R> {
        /// Connect to the host and report the result.
        Probe,
        /// Call again after this time.
        Wait(Duration),
        /// The host crashed. Call again at once.
        Crashed(HostCrash<R>),
        /// The check is over.
        End,
    }
}

value! { copy
    /// Result of connecting to a host.
    pub enum ProbeResult {
        /// It accepted the connection, which a crashed host's port may do, too.
        Accepted,
        /// It refused the connection, so it crashed.
        Refused,
        /// It neither accepted nor refused the connection.
        Unreachable,
    }
}

#[derive(Clone, Debug)]
struct Check<R> {
    /// When the first response broke.
    broke_at: Instant,
    /// Runs that broke then and are not reported yet.
    running: Vec<R>,
    crashed: bool,
    /// When to probe next; `None` while no probe is needed.
    probe_at: Option<Instant>,
    /// When it last accepted a probe.
    accepted_at: Option<Instant>,
    /// When this node last received anything from it.
    last_received: Option<Instant>,
}

/// Checks of hosts at which responses broke. `R` identifies a run.
#[derive(Clone, Debug)]
pub struct CrashDetector<R> {
    checks: BTreeMap<HostStart, Check<R>>,
}

impl<R> Default for CrashDetector<R> {
    fn default() -> CrashDetector<R> {
        CrashDetector {
            checks: BTreeMap::new(),
        }
    }
}

impl<R> CrashDetector<R> {
    /// Whether no host is being checked.
    pub fn is_idle(&self) -> bool {
        self.checks.is_empty()
    }

    /// Handles a broken response of a host that was sent to its start `host`. Returns whether a
    /// check begins, for which [`CrashDetector::step`] has to be called until it ends.
    ///
    /// Responses that break while the host sends others don't belong to one crash. Requests that
    /// are sent to a host after it crashed break without having run.
    pub fn on_broken(
        &mut self,
        host: &HostStart,
        response: BrokenResponse<R>,
        now: Instant,
    ) -> bool {
        let Some(check) = self.checks.get_mut(host) else {
            if response.sent > response.broke_at {
                return false;
            }
            let check = Check {
                broke_at: response.broke_at,
                running: vec![response.run],
                crashed: false,
                probe_at: Some(now),
                accepted_at: None,
                last_received: response.last_received,
            };
            self.checks.insert(host.clone(), check);
            return true;
        };
        check.last_received = check.last_received.max(response.last_received);
        let was_up_later = check
            .last_received
            .is_some_and(|at| at > check.broke_at + BREAK_SPREAD);
        if was_up_later && !check.crashed {
            check.broke_at = response.broke_at;
            check.running = vec![response.run];
            let earliest = check.accepted_at.map_or(now, |at| at + REPROBE_DELAY);
            check.probe_at = Some(now.max(earliest));
        } else if response.sent <= check.broke_at {
            check.running.push(response.run);
        }
        false
    }

    /// Records that something was received from a host.
    pub fn on_received(&mut self, host: &HostStart, now: Instant) {
        if let Some(check) = self.checks.get_mut(host) {
            check.last_received = Some(now);
        }
    }

    /// Handles the result of a probe.
    pub fn on_probed(&mut self, host: &HostStart, result: ProbeResult, now: Instant) {
        let Some(check) = self.checks.get_mut(host) else {
            return;
        };
        match result {
            ProbeResult::Accepted => {
                check.probe_at = None;
                check.accepted_at = Some(now);
            }
            ProbeResult::Refused => {
                check.probe_at = None;
                check.crashed = true;
            }
            ProbeResult::Unreachable => check.probe_at = Some(now + PROBE_INTERVAL),
        }
    }

    /// Continues the check of a host.
    pub fn step(&mut self, host: &HostStart, presence: HostPresence, now: Instant) -> CheckStep<R> {
        let Some(check) = self.checks.get_mut(host) else {
            return CheckStep::End;
        };
        match presence {
            HostPresence::Vanished | HostPresence::Restarted => check.crashed = true,
            // The response of a host that leaves may break without a crash.
            HostPresence::Left if !check.crashed => {
                self.checks.remove(host);
                return CheckStep::End;
            }
            HostPresence::Left | HostPresence::Listed => {}
        }
        if check.crashed && !check.running.is_empty() {
            return CheckStep::Crashed(HostCrash {
                at: check.broke_at,
                running: std::mem::take(&mut check.running),
            });
        }
        if now >= check.broke_at + MAX_CHECK_TIME {
            self.checks.remove(host);
            return CheckStep::End;
        }
        if !check.crashed && check.probe_at.take_if(|at| *at <= now).is_some() {
            return CheckStep::Probe;
        }
        CheckStep::Wait(CHECK_INTERVAL)
    }
}
