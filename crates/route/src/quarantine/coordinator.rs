//! Decides which requests and prompt parts are quarantined, from the crashes that nodes report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{ServiceName, value};

use crate::quarantine::table::{QuarantineRecord, QuarantineStatus, QuarantineTable};
use crate::suspects::{
    ClearedRecord, CrashCandidate, CrashId, CrashRecord, CrashedRun, Fingerprint, SuspectTracker,
    SuspectUpdate,
};

/// Maximum number of crashes kept: several times the crashes in which a failing domain of hosts
/// and a number of crashing requests are involved at the same time.
const MAX_CRASHES: usize = 512;
/// How long the reports of other nodes on a crash are awaited. Without them, a request that ran
/// beside the crashing one would look like the only one in common with another crash.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// The same for crashes that nodes detect late, and so at different times.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long completions with a suspected part are awaited before it is quarantined: until nodes
/// have learned of it and reported them.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);
/// The same for a part that many requests have, or of which one has completed before.
const LONG_NOTICE_PERIOD: Duration = Duration::from_millis(800);
/// The same for a part of which both is true: narrower ones are decided on before it.
const LONGEST_NOTICE_PERIOD: Duration = Duration::from_millis(1500);
/// How much longer a notice gets at a time.
const NOTICE_EXTENSION: Duration = Duration::from_millis(200);
/// Longest notice of a part that many requests have, while other parts that were in its crashes are
/// on notice.
const MAX_NOTICE_PERIOD: Duration = Duration::from_millis(1200);
/// Longest notice of a part that many requests have, while there isn't enough evidence against it.
const MAX_SUSPICION_PERIOD: Duration = Duration::from_secs(5);
/// Error of the times of completions, which nodes report repeatedly.
const COMPLETION_TIME_ERROR: Duration = Duration::from_millis(200);
/// Maximum number of parts on notice at the same time.
const MAX_NOTICES: usize = 16;
/// Crashes that count as two offences: the request was recognized late.
const MANY_CRASHES: usize = 6;
/// Time until the next trial, by the number of offences. The first is short for requests that
/// merely ran on hosts that crashed for other reasons.
const RETRY_AFTER: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_secs(2 * 60),
    Duration::from_secs(20 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// The same for a part of prompts. The first is shorter: many sound requests may hold a part that was
/// merely present.
const PART_RETRY_AFTER: [Duration; 4] = [
    Duration::from_secs(3),
    Duration::from_secs(2 * 60),
    Duration::from_secs(20 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// Shortest time between the trials of two candidates, so that one which crashes its host isn't taken
/// for the failure of another.
const TRIAL_GAP: Duration = Duration::from_secs(1);
/// Time until the next trial after one of a part that crashed a host with a narrower suspect.
const RETRY_AFTER_UNCLEAR_TRIAL: Duration = Duration::from_secs(2);

value! { copy
    /// Why a trial is denied.
    pub struct TrialDenied {
        /// Time until the request may be retried.
        pub retry_after: Duration,
    }
}

value! {
    /// Asks all nodes to report completions of requests with a part that is about to be quarantined.
    pub struct SuspectNotice {
        /// The part.
        pub fingerprint: Fingerprint,
        /// The service whose hosts crashed.
        pub service: ServiceName,
    }
}

/// When to decide on a candidate.
#[derive(Clone, Debug)]
struct Pending {
    service: ServiceName,
    due_at: Instant,
}

/// The notice of a part, which may be extended.
#[derive(Clone, Copy, Debug)]
struct Notice {
    began: Instant,
    until: Instant,
}

/// A trial that is under way.
#[derive(Clone, Copy, Debug)]
struct Trial {
    began: Instant,
    until: Instant,
}

/// The coordinator of some services at one node.
#[derive(Clone, Debug)]
pub struct QuarantineCoordinator {
    pub(super) tracker: SuspectTracker,
    /// The services of crashes. Invariant: has all that the tracker keeps.
    pub(super) services: BTreeMap<CrashId, ServiceName>,
    /// Candidates to decide on, due when the reports on their last crash are complete.
    pending: BTreeMap<Fingerprint, Pending>,
    /// Candidates on trial.
    trials: BTreeMap<Fingerprint, Trial>,
    /// When the last trial began.
    last_trial: Option<Instant>,
    /// Parts that are quarantined unless a request with them completes.
    on_notice: BTreeMap<Fingerprint, Notice>,
    notices: Vec<SuspectNotice>,
}

impl Default for QuarantineCoordinator {
    fn default() -> QuarantineCoordinator {
        QuarantineCoordinator {
            tracker: SuspectTracker::with_capacity(MAX_CRASHES),
            services: BTreeMap::new(),
            pending: BTreeMap::new(),
            trials: BTreeMap::new(),
            last_trial: None,
            on_notice: BTreeMap::new(),
            notices: Vec::new(),
        }
    }
}

impl QuarantineCoordinator {
    /// Records a request that came to this node: from many requests it learns which parts are
    /// common.
    pub fn on_request(&mut self, service: &ServiceName, candidates: &[CrashCandidate]) {
        self.tracker.on_request(service, candidates);
    }

    /// Handles a node's report of a crash. Returns decisions on candidates that were on trial.
    pub fn on_crash(
        &mut self,
        service: &ServiceName,
        crash: CrashRecord,
        table: &QuarantineTable,
        now: Instant,
    ) -> Vec<QuarantineRecord> {
        let running: Vec<Fingerprint> = crash
            .running
            .iter()
            .filter(|run| !run.has_survived())
            .map(|run: &CrashedRun| run.fingerprint)
            .collect();
        let settle_time = crash.age.clamp(SETTLE_TIME, MAX_SETTLE_TIME);
        self.services.insert(crash.id, service.clone());
        self.tracker.merge(
            SuspectUpdate {
                crashes: vec![crash],
                ..SuspectUpdate::default()
            },
            now,
        );
        self.services.retain(|id, _| self.tracker.keeps(*id));
        self.trials.retain(|_, trial| now < trial.until);
        let mut decided = Vec::new();
        for fingerprint in running {
            if self.trials.remove(&fingerprint).is_some() {
                let offences = table.offences(fingerprint, now);
                // A narrower part of the request on trial may be the cause.
                let is_unclear = self.tracker.is_explained_by_few(fingerprint, now);
                decided.push(match is_unclear {
                    true => QuarantineRecord {
                        retry_after: RETRY_AFTER_UNCLEAR_TRIAL,
                        ..self.quarantine(fingerprint, service, offences)
                    },
                    false => self.quarantine(fingerprint, service, offences + 1),
                });
            } else if self.tracker.is_repeated(fingerprint)
                && table.status(fingerprint, now) == QuarantineStatus::Clear
            {
                self.decide_at(fingerprint, service, now + settle_time);
            }
        }
        decided
    }

    pub(super) fn decide_at(
        &mut self,
        fingerprint: Fingerprint,
        service: &ServiceName,
        due_at: Instant,
    ) {
        let service = service.clone();
        let pending = Pending { service, due_at };
        self.pending.entry(fingerprint).or_insert(pending);
    }

    /// Handles a node's report that a request, or one with a part, completed `age` ago on a host that
    /// stayed up. Returns the decision if this clears the candidate.
    pub fn on_completed(
        &mut self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        age: Duration,
        table: &QuarantineTable,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self.tracker.last_completion(fingerprint);
        let is_new = known.is_none_or(|known| at > known + COMPLETION_TIME_ERROR);
        // Completions before the crashes speak for a part each time that it is suspected. A common
        // part has always completed, and would never be quarantined.
        let ends_notice = is_new || !self.tracker.is_common_part(fingerprint);
        self.tracker.merge(
            SuspectUpdate {
                cleared: vec![ClearedRecord { fingerprint, age }],
                ..SuspectUpdate::default()
            },
            now,
        );
        if ends_notice && self.on_notice.remove(&fingerprint).is_some() {
            // Crashes that it seemed to explain count against others again.
            for other in self.tracker.repeated_beside(fingerprint) {
                self.decide_at(other, service, now);
            }
        }
        // Nodes report completions from before a trial, too.
        if self.trials.get(&fingerprint).is_some_and(|t| at >= t.began) {
            self.trials.remove(&fingerprint);
        }
        let is_cleared = !self.tracker.is_cause(fingerprint, now);
        (is_cleared && table.offences(fingerprint, now) > 0).then(|| clear(fingerprint, service))
    }

    /// Decides on candidates whose crash reports are complete. A new cause releases candidates that
    /// were quarantined for its crashes.
    pub fn decide(&mut self, table: &QuarantineTable, now: Instant) -> Vec<QuarantineRecord> {
        let due = |pending: &mut Pending| pending.due_at <= now;
        let ready = self.pending.extract_if(.., |_, p| due(p));
        let mut ready: Vec<(Fingerprint, Pending)> = ready.collect();
        // The narrowest first: it explains crashes of the broader ones.
        ready.sort_by_key(|(fingerprint, _)| self.tracker.breadth(*fingerprint));
        if !ready.is_empty() {
            self.update_causes(table, now);
        }
        let mut decided: Vec<QuarantineRecord> = Vec::new();
        for (fingerprint, Pending { service, .. }) in ready {
            let is_clear = table.status(fingerprint, now) == QuarantineStatus::Clear;
            let is_cause = is_clear && self.tracker.is_cause(fingerprint, now);
            let is_suspected =
                is_cause || is_clear && self.tracker.is_suspected_common_part(fingerprint, now);
            if !is_suspected {
                self.on_notice.remove(&fingerprint);
                continue;
            }
            if let Some(until) = self.notice_end(fingerprint, &service, is_cause, now) {
                self.decide_at(fingerprint, &service, until);
                self.update_causes(table, now);
                continue;
            }
            if !is_cause {
                continue;
            }
            let is_late = self.tracker.breadth(fingerprint) == 0
                && self.tracker.crash_count(fingerprint, now) >= MANY_CRASHES;
            decided.push(self.quarantine(fingerprint, &service, 1 + u32::from(is_late)));
            let is_part = self.tracker.breadth(fingerprint) > 0;
            let released = table.fingerprints().filter(|p| {
                let is_explained = is_part && self.tracker.is_explained_by_few(*p, now);
                let is_outweighed = self.tracker.outweighs(fingerprint, *p, now);
                table.offences(*p, now) == 1 && (is_explained || is_outweighed)
            });
            decided.extend(released.map(|p| clear(p, &service)));
        }
        decided
    }

    /// Parts that have just been put on notice.
    pub fn take_notices(&mut self) -> Vec<SuspectNotice> {
        std::mem::take(&mut self.notices)
    }

    /// When the notice of a candidate ends; `None` if it is over or none is needed. Puts a part on
    /// notice that is not.
    fn notice_end(
        &mut self,
        fingerprint: Fingerprint,
        service: &ServiceName,
        is_cause: bool,
        now: Instant,
    ) -> Option<Instant> {
        if self.tracker.breadth(fingerprint) == 0 {
            return None;
        }
        if let Some(notice) = self.on_notice.get(&fingerprint).copied() {
            return self.extend_notice(fingerprint, notice, is_cause, now);
        }
        let is_common = self.tracker.is_common_part(fingerprint);
        let period = match (is_common, self.tracker.has_completed(fingerprint)) {
            (true, true) => LONGEST_NOTICE_PERIOD,
            (false, false) => NOTICE_PERIOD,
            _ => LONG_NOTICE_PERIOD,
        };
        if self.on_notice.len() < MAX_NOTICES {
            let (began, until) = (now, now + period);
            self.on_notice.insert(fingerprint, Notice { began, until });
            self.notices.push(SuspectNotice {
                fingerprint,
                service: service.clone(),
            });
        }
        Some(now + period)
    }

    /// When a running notice ends; `None` if it is over. Other parts are decided on before one that
    /// many requests have.
    fn extend_notice(
        &mut self,
        fingerprint: Fingerprint,
        notice: Notice,
        is_cause: bool,
        now: Instant,
    ) -> Option<Instant> {
        if now < notice.until {
            return Some(notice.until);
        }
        let tracker = &self.tracker;
        let is_rival = |other: &Fingerprint| {
            !tracker.is_common_part(*other) && tracker.share_crash(fingerprint, *other)
        };
        let awaits_rivals = tracker.is_common_part(fingerprint)
            && now < notice.began + MAX_NOTICE_PERIOD
            && self.on_notice.keys().any(is_rival);
        let awaits_crashes = !is_cause && now < notice.began + MAX_SUSPICION_PERIOD;
        let may_extend = awaits_rivals || awaits_crashes;
        if !may_extend {
            self.on_notice.remove(&fingerprint);
            return None;
        }
        let until = now + NOTICE_EXTENSION;
        self.on_notice
            .insert(fingerprint, Notice { until, ..notice });
        Some(until)
    }

    fn quarantine(
        &self,
        fingerprint: Fingerprint,
        service: &ServiceName,
        offences: u32,
    ) -> QuarantineRecord {
        let retry_after = match self.tracker.breadth(fingerprint) {
            0 => RETRY_AFTER,
            _ => PART_RETRY_AFTER,
        };
        let index = (offences.max(1) as usize - 1).min(retry_after.len() - 1);
        QuarantineRecord {
            fingerprint,
            service: service.clone(),
            offences,
            age: Duration::ZERO,
            retry_after: retry_after[index],
        }
    }

    fn update_causes(&mut self, table: &QuarantineTable, now: Instant) {
        let tracker = &self.tracker;
        let decided = table.fingerprints();
        let decided = decided.filter(|p| !tracker.is_explained_by_few(*p, now));
        let on_notice = self.on_notice.keys().copied();
        let on_notice = on_notice.filter(|p| !tracker.is_common_part(*p));
        let known: Vec<Fingerprint> = decided.chain(on_notice).collect();
        self.tracker.update_causes(known);
    }

    /// When [`QuarantineCoordinator::decide`] has to be called next.
    pub fn next_decision(&self) -> Option<Instant> {
        self.pending.values().map(|p| p.due_at).min()
    }

    /// Permits one attempt of a request whose quarantine, or that of its part, is over. It ends
    /// within `lease`. Returns the decision that keeps other nodes from trying it too; `None` if it may run freely.
    ///
    /// # Errors
    /// When it is quarantined or on trial.
    pub fn request_trial(
        &mut self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        lease: Duration,
        table: &QuarantineTable,
        now: Instant,
    ) -> Result<Option<QuarantineRecord>, TrialDenied> {
        match table.status(fingerprint, now) {
            QuarantineStatus::Clear => Ok(None),
            QuarantineStatus::Quarantined { retry_after } => Err(TrialDenied { retry_after }),
            QuarantineStatus::TrialDue => {
                let since_last = self.last_trial.map(|at| now.saturating_duration_since(at));
                if let Some(since_last) = since_last.filter(|since| *since < TRIAL_GAP) {
                    let retry_after = TRIAL_GAP - since_last;
                    return Err(TrialDenied { retry_after });
                }
                self.last_trial = Some(now);
                let (began, until) = (now, now + lease);
                self.trials.insert(fingerprint, Trial { began, until });
                Ok(Some(QuarantineRecord {
                    fingerprint,
                    service: service.clone(),
                    offences: table.offences(fingerprint, now),
                    age: Duration::ZERO,
                    retry_after: lease,
                }))
            }
        }
    }
}

fn clear(fingerprint: Fingerprint, service: &ServiceName) -> QuarantineRecord {
    QuarantineRecord {
        fingerprint,
        service: service.clone(),
        offences: 0,
        age: Duration::ZERO,
        retry_after: Duration::ZERO,
    }
}
