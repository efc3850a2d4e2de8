//! Reports of this node to quarantine coordinators.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, ServiceName};
use eelgrassmill_peer::{CompletedReport, CrashReport, SuspectRequest};
use eelgrassmill_route::{CrashedRun, Fingerprint};
use smallvec::SmallVec;

use crate::crash_detection::Crash;
use crate::quarantine::completions::RecentCompletions;

/// Maximum number of reports kept. The oldest completion is dropped first, then the oldest crash.
const MAX_REPORTS: usize = 256;
/// How long a report is kept for a node that becomes coordinator later.
const REPORT_TTL: Duration = Duration::from_secs(10 * 60);
/// Maximum number of candidates whose completion is awaited; the oldest is dropped first.
const MAX_WATCHED: usize = 4096;
/// Maximum number of parts that a crash report names as completed before.
const MAX_COMPLETED_PARTS: usize = 64;

#[derive(Debug)]
enum ReportKind {
    /// With the parts that were running in it and have completed here before, and when.
    Crash(Crash, Vec<(Fingerprint, Instant)>),
    Completed(Fingerprint),
}

#[derive(Debug)]
struct Report {
    number: u64,
    service: ServiceName,
    kind: ReportKind,
    at: Instant,
    /// Coordinators that have it.
    acknowledged_by: SmallVec<[NodeId; 4]>,
}

/// Recent reports, with the coordinators that have each.
#[derive(Debug, Default)]
pub(crate) struct ReportQueue {
    reports: VecDeque<Report>,
    next_number: u64,
    /// Candidates that were in a reported crash, or are on notice, and have not completed here since.
    watched: BTreeSet<Fingerprint>,
    /// Those of `watched` and former ones, in the order in which they were added.
    watched_since: VecDeque<Fingerprint>,
}

/// Reports to send to one coordinator.
pub(crate) struct Batch {
    pub(crate) req: SuspectRequest,
    pub(crate) numbers: Vec<u64>,
}

impl ReportQueue {
    pub(crate) fn push_crash(&mut self, crash: Crash, completions: &RecentCompletions) {
        let mut parts: Vec<_> = crash.running.iter().filter(|run| run.breadth > 0).collect();
        // Quarantining a broad part by mistake is worst.
        parts.sort_by_key(|run| Reverse(run.breadth));
        let last = |p: Fingerprint| Some((p, completions.last(p, crash.at)?));
        let completed = parts.iter().filter_map(|run| last(run.fingerprint));
        let completed = completed.take(MAX_COMPLETED_PARTS).collect();
        for run in &crash.running {
            self.watch(run.fingerprint);
        }
        let (service, at) = (crash.service.clone(), crash.at);
        self.push(service, ReportKind::Crash(crash, completed), at);
    }

    /// Awaits the next completion of a candidate.
    pub(crate) fn watch(&mut self, fingerprint: Fingerprint) {
        if !self.watched.insert(fingerprint) {
            return;
        }
        self.watched_since.push_back(fingerprint);
        while self.watched_since.len() > MAX_WATCHED {
            if let Some(oldest) = self.watched_since.pop_front() {
                self.watched.remove(&oldest);
            }
        }
    }

    pub(crate) fn push_completed(
        &mut self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        now: Instant,
    ) {
        self.watched.remove(&fingerprint);
        self.push(service.clone(), ReportKind::Completed(fingerprint), now);
    }

    fn push(&mut self, service: ServiceName, kind: ReportKind, at: Instant) {
        let is_expired = |r: &Report| at.saturating_duration_since(r.at) >= REPORT_TTL;
        self.reports.retain(|r| !is_expired(r));
        if self.reports.len() >= MAX_REPORTS {
            let is_completion = |r: &Report| matches!(r.kind, ReportKind::Completed(_));
            let dropped = self.reports.iter().position(is_completion);
            self.reports.remove(dropped.unwrap_or_default());
        }
        self.next_number += 1;
        self.reports.push_back(Report {
            number: self.next_number,
            service,
            kind,
            at,
            acknowledged_by: SmallVec::new(),
        });
    }

    /// Whether the completion of some candidate is awaited.
    pub(crate) fn is_watching(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Whether the completion of this candidate is awaited.
    pub(crate) fn is_watched(&self, fingerprint: Fingerprint) -> bool {
        self.watched.contains(&fingerprint)
    }

    /// The services that have reports.
    pub(crate) fn services(&self) -> BTreeSet<ServiceName> {
        self.reports.iter().map(|r| r.service.clone()).collect()
    }

    /// The reports on a service that `coordinator` doesn't have yet; `None` if it has all.
    pub(crate) fn batch(
        &self,
        from: &NodeId,
        service: &ServiceName,
        coordinator: &NodeId,
        now: Instant,
    ) -> Option<Batch> {
        let unsent = self.reports.iter().filter(|r| {
            let age = now.saturating_duration_since(r.at);
            r.service == *service && age < REPORT_TTL && !r.acknowledged_by.contains(coordinator)
        });
        let mut batch = Batch {
            req: SuspectRequest {
                from: from.to_string(),
                service: service.to_string(),
                ..SuspectRequest::default()
            },
            numbers: Vec::new(),
        };
        for report in unsent {
            batch.numbers.push(report.number);
            let age_ms = |at| now.saturating_duration_since(at).as_millis() as u64;
            let completed = |fingerprint, at| CompletedReport {
                fingerprint,
                age_ms: age_ms(at),
            };
            match &report.kind {
                ReportKind::Crash(crash, before) => {
                    batch.req.crashes.push(CrashReport {
                        host: crash.host.to_string(),
                        failure_domain: crash.failure_domain.to_string(),
                        age_ms: age_ms(report.at),
                        running: crash.running.iter().map(wire_run).collect(),
                        started_ms: crash.started_ms,
                    });
                    let before = before.iter().map(|(part, at)| completed(*part, *at));
                    batch.req.completed.extend(before);
                }
                ReportKind::Completed(fingerprint) => {
                    batch.req.completed.push(completed(*fingerprint, report.at));
                }
            }
        }
        (!batch.numbers.is_empty()).then_some(batch)
    }

    /// Records that `coordinator` has the reports with these numbers.
    pub(crate) fn acknowledge(&mut self, numbers: &[u64], coordinator: &NodeId) {
        let sent = self
            .reports
            .iter_mut()
            .filter(|r| numbers.contains(&r.number));
        for report in sent {
            report.acknowledged_by.push(coordinator.clone());
        }
    }
}

fn wire_run(run: &CrashedRun) -> eelgrassmill_peer::CrashedRun {
    eelgrassmill_peer::CrashedRun {
        fingerprint: run.fingerprint,
        ran_for_ms: run.ran_for.as_millis() as u64,
        started: run.started,
        breadth: u32::from(run.breadth),
        wrote_for_ms: run.wrote_for.as_millis() as u64,
    }
}
