//! Reports of this node to quarantine coordinators.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, ServiceName};
use eelgrassmill_peer::{CompletedReport, CrashReport, SuspectRequest};
use eelgrassmill_route::{CrashedRun, RequestFingerprint};
use smallvec::SmallVec;

use crate::crash_detection::Crash;

/// Maximum number of reports kept; the oldest is dropped first.
const MAX_REPORTS: usize = 256;
/// How long a report is kept for a node that becomes coordinator later.
const REPORT_TTL: Duration = Duration::from_secs(10 * 60);
/// Maximum number of requests whose completion is awaited.
const MAX_WATCHED: usize = 1024;

#[derive(Debug)]
enum ReportKind {
    Crash(Crash),
    Completed(RequestFingerprint),
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
    /// Requests that were in a reported crash and have not completed here since.
    watched: BTreeSet<RequestFingerprint>,
}

/// Reports to send to one coordinator.
pub(crate) struct Batch {
    pub(crate) req: SuspectRequest,
    pub(crate) numbers: Vec<u64>,
}

impl ReportQueue {
    pub(crate) fn push_crash(&mut self, crash: Crash) {
        let running = crash.running.iter().map(|run| run.fingerprint);
        self.watched.extend(running);
        while self.watched.len() > MAX_WATCHED {
            self.watched.pop_first();
        }
        let (service, at) = (crash.service.clone(), crash.at);
        self.push(service, ReportKind::Crash(crash), at);
    }

    pub(crate) fn push_completed(
        &mut self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) {
        self.watched.remove(&fingerprint);
        self.push(service.clone(), ReportKind::Completed(fingerprint), now);
    }

    fn push(&mut self, service: ServiceName, kind: ReportKind, at: Instant) {
        let is_expired = |r: &Report| at.saturating_duration_since(r.at) >= REPORT_TTL;
        self.reports.retain(|r| !is_expired(r));
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
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

    /// Whether the completion of some request is awaited.
    pub(crate) fn is_watching(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Whether the completion of this request is awaited.
    pub(crate) fn is_watched(&self, fingerprint: RequestFingerprint) -> bool {
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
            let age_ms = now.saturating_duration_since(report.at).as_millis() as u64;
            match &report.kind {
                ReportKind::Crash(crash) => batch.req.crashes.push(CrashReport {
                    host: crash.host.to_string(),
                    failure_domain: crash.failure_domain.to_string(),
                    age_ms,
                    running: crash.running.iter().map(wire_run).collect(),
                    started_ms: crash.started_ms,
                }),
                ReportKind::Completed(fingerprint) => batch.req.completed.push(CompletedReport {
                    fingerprint: *fingerprint,
                    age_ms,
                }),
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
    }
}
