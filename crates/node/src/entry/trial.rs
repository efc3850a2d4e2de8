//! One run of a request at a group, as far as suspicion is concerned.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, HostId, HostReport, Incarnation};
use eelgrassmill_group::GroupPhase;
use eelgrassmill_route::{Fingerprint, SuspectStatus, request_fingerprint};
use eelgrassmill_timeline::EventKind;
use http::StatusCode;
use smol_str::SmolStr;

use super::call::{Call, Failure};
use super::problem::Problem;
use crate::state::core::Core;
use crate::state::lock::lock;

/// Pause before a suspect is sent to a group: what others have just seen of its
/// like has arrived by then, with the next telling, the next flush and the way.
///
/// Without it a caller that asks entry after entry is always ahead of the
/// news, and each entry loses a group to learn what the last one knew.
const NEWS_PAUSE: Duration = Duration::from_millis(250);

/// The fingerprint of a call.
pub(crate) fn print_of(call: &Call) -> Fingerprint {
    request_fingerprint(&call.tenant, &call.service, &call.body)
}

/// Whether the call is a suspect, which runs apart from other suspects; waits for news of it.
///
/// # Errors
/// When it is named as a culprit: it is refused at every entry.
pub(crate) async fn check(core: &Core, call: &Call, print: Fingerprint) -> Result<bool, Problem> {
    if !look(core, call, print)? {
        return Ok(false);
    }
    tokio::time::sleep(NEWS_PAUSE.min(call.left(Instant::now()))).await;
    look(core, call, print)
}

fn look(core: &Core, call: &Call, print: Fingerprint) -> Result<bool, Problem> {
    let now = Instant::now();
    let (judgement, crashes) = {
        let guard = lock(&core.guard);
        (guard.judge(print, now), guard.deaths_of(print, now))
    };
    match judgement {
        SuspectStatus::Clear => Ok(false),
        SuspectStatus::Suspect => Ok(true),
        SuspectStatus::Quarantined { retry_after } => {
            core.journal.note(EventKind::SuspectNamed {
                request: call.id.clone(),
                crashes,
            });
            let detail = "requests like this one have crashed the engines that ran them; \
                          it was not run again";
            Err(Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, detail).retry_after(retry_after))
        }
    }
}

/// A run that has begun; a trial ends when this is dropped.
pub(crate) struct Run {
    core: Arc<Core>,
    print: Fingerprint,
    group: GroupId,
    epoch: Epoch,
    host: HostId,
    address: SmolStr,
    /// The start of the lead when the run began, where it is known.
    lead_start: Option<Incarnation>,
    on_trial: bool,
}

impl Run {
    /// Begins a run of `print`, a suspect or not, at the group.
    ///
    /// # Errors
    /// When another suspect runs there: were the group to die, nobody could
    /// tell which of the two killed it.
    pub(crate) fn begin(
        core: &Arc<Core>,
        print: Fingerprint,
        suspect: bool,
        at: (&GroupId, Epoch),
        host: (&HostId, &SmolStr),
    ) -> Result<Run, Failure> {
        let (group, epoch) = at;
        let now = Instant::now();
        if suspect && !lock(&core.guard).begin_trial(print, group, now) {
            return Err(Failure::not_run("another suspect is being tried there").waiting());
        }
        Ok(Run {
            core: core.clone(),
            print,
            group: group.clone(),
            epoch,
            host: host.0.clone(),
            address: host.1.clone(),
            lead_start: lock(&core.whole).lead_start(group, epoch),
            on_trial: suspect,
        })
    }

    /// The run came to its end and the group lives.
    pub(crate) fn survived(&self) {
        lock(&self.core.guard).survived(self.print, Instant::now());
    }

    /// The answer broke off: finds out whether the engine died with it.
    pub(crate) async fn broke(&self, call: &Call) {
        let core = self.core.clone();
        let address = self.address.clone();
        let probe = tokio::task::spawn_blocking(move || core.control.probe(&address)).await;
        let lives = match probe {
            Ok(Ok(report)) => self.is_as_before(&report),
            Ok(Err(_)) => false,
            // The probe itself broke; it says nothing.
            Err(_) => true,
        };
        if lives || self.was_ended() {
            return;
        }
        let domain = {
            let fleet = lock(&self.core.fleet);
            let host = fleet.hosts.get(&self.host);
            host.map(|h| h.failure_domain.clone()).unwrap_or_default()
        };
        let now = Instant::now();
        let crashes =
            lock(&self.core.guard).died(&self.group, self.epoch, &domain, self.print, now);
        self.core.journal.note(EventKind::SuspectNoted {
            request: call.id.clone(),
            host: self.host.clone(),
            crashes,
        });
    }

    /// Whether the lead is still the one that the run was sent to.
    ///
    /// A restarted engine holds no group, but the planner may have told it to
    /// join again before this look at it; its start tells even then.
    fn is_as_before(&self, report: &HostReport) -> bool {
        let placed = report.placement.as_ref();
        let placed = placed.is_some_and(|p| p.group == self.group && p.epoch == self.epoch);
        placed
            && self
                .lead_start
                .is_none_or(|start| start == report.incarnation)
    }

    /// Whether the group was ended on purpose, so that its members left it.
    fn was_ended(&self) -> bool {
        let fleet = lock(&self.core.fleet);
        let row = fleet.groups.get(&self.group).map(|(row, _)| row);
        row.is_some_and(|row| row.epoch == self.epoch && row.phase == GroupPhase::Ending)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.on_trial {
            lock(&self.core.guard).end_trial(self.print, &self.group);
        }
    }
}
