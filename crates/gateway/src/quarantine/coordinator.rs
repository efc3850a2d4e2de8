//! This node as a quarantine coordinator, and the decisions of all coordinators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::ServiceName;
use eelgrassmill_peer::{Item, ItemKey, Suspect, SuspectReply, SuspectRequest};
use eelgrassmill_route::{
    CrashRecord, CrashedRun, Fingerprint, MAX_REPORTED_CANDIDATES, QuarantineRecord, SuspectNotice,
    crash_id,
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::Platform;
use crate::quarantine::{await_completion, coordinators, evidence, report_completion};

/// Maximum number of decisions that a node publishes; the oldest is withdrawn first.
const MAX_PUBLISHED: usize = 64;
/// How long nodes keep a published decision beyond the quarantine.
const RECORD_TTL: Duration = Duration::from_secs(60 * 60);

/// How long nodes keep a notice, longer than it takes to reach all.
const NOTICE_TTL: Duration = Duration::from_secs(10);

/// A decision, or a notice, as the record of a suspect item.
#[derive(Serialize, Deserialize)]
struct WireRecord {
    service: SmolStr,
    offences: u32,
    age_ms: u64,
    retry_after_ms: u64,
    /// Whether it is a notice: completions are to be reported, and nothing is decided.
    #[serde(default)]
    notice: bool,
}

/// Handles another node's reports and its request for a trial.
pub(crate) fn handle<P: Platform>(core: &Arc<Core<P>>, req: SuspectRequest) -> SuspectReply {
    let now = Instant::now();
    let service = ServiceName::from(req.service.as_str());
    let has_crashes = !req.crashes.is_empty();
    for report in req.crashes {
        let running = report.running.iter().take(MAX_REPORTED_CANDIDATES);
        let running = running.map(|run| CrashedRun {
            fingerprint: run.fingerprint,
            ran_for: Duration::from_millis(run.ran_for_ms),
            started: run.started,
            breadth: u8::try_from(run.breadth).unwrap_or(u8::MAX),
            wrote_for: Duration::from_millis(run.wrote_for_ms),
        });
        let crash = CrashRecord {
            id: crash_id(&report.host, report.started_ms),
            failure_domain: report.failure_domain.into(),
            age: Duration::from_millis(report.age_ms),
            running: running.collect(),
        };
        let decided = {
            let table = locked(&core.quarantine.table);
            locked(&core.quarantine.coordinator).on_crash(&service, crash, &table, now)
        };
        apply_all(core, decided);
    }
    for report in req.completed {
        let age = Duration::from_millis(report.age_ms);
        let decided = {
            let table = locked(&core.quarantine.table);
            let mut coordinator = locked(&core.quarantine.coordinator);
            coordinator.on_completed(&service, report.fingerprint, age, &table, now)
        };
        apply_all(core, decided);
    }
    core.quarantine.evidence.notify_one();
    if has_crashes {
        evidence::on_crash(core, &service);
    }
    let Some(trial) = req.trial else {
        return SuspectReply::default();
    };
    let lease = Duration::from_millis(trial.lease_ms);
    let permitted = {
        let table = locked(&core.quarantine.table);
        let mut coordinator = locked(&core.quarantine.coordinator);
        coordinator.request_trial(&service, trial.fingerprint, lease, &table, now)
    };
    match permitted {
        Ok(decided) => {
            apply_all(core, decided);
            SuspectReply {
                trial_permitted: true,
                retry_after_ms: 0,
            }
        }
        Err(denied) => SuspectReply {
            trial_permitted: false,
            retry_after_ms: denied.retry_after.as_millis() as u64,
        },
    }
}

/// Makes the decisions that are due.
pub(super) fn decide<P: Platform>(core: &Core<P>) {
    let (decided, notices) = {
        let table = locked(&core.quarantine.table);
        let mut coordinator = locked(&core.quarantine.coordinator);
        let decided = coordinator.decide(&table, Instant::now());
        (decided, coordinator.take_notices())
    };
    for notice in notices {
        publish_notice(core, &notice);
    }
    apply_all(core, decided);
}

fn publish_notice<P: Platform>(core: &Core<P>, notice: &SuspectNotice) {
    info!(
        event = "quarantine", fingerprint = format!("{:016x}", notice.fingerprint),
        service = %notice.service, outcome = "notice",
    );
    let decisions = &core.metrics.quarantine_decisions;
    let labels = [notice.service.as_str(), "notice"];
    decisions.with_label_values(&labels).inc();
    await_completion(core, notice.fingerprint, &notice.service);
    let wire = WireRecord {
        service: notice.service.clone(),
        offences: 0,
        age_ms: 0,
        retry_after_ms: 0,
        notice: true,
    };
    publish_record(core, notice.fingerprint, &wire, NOTICE_TTL);
}

fn publish_record<P: Platform>(
    core: &Core<P>,
    fingerprint: Fingerprint,
    wire: &WireRecord,
    ttl: Duration,
) {
    // Names and numbers always have a JSON form.
    let (Some(peer), Ok(record)) = (core.peer(), serde_json::to_vec(wire)) else {
        return;
    };
    let fingerprint = item_name(fingerprint);
    peer.publish_with_ttl(
        Item::Suspect(Suspect {
            fingerprint,
            record,
        }),
        ttl,
    );
}

/// Puts decisions in force at this node and publishes them.
fn apply_all<P: Platform>(core: &Core<P>, decided: impl IntoIterator<Item = QuarantineRecord>) {
    for record in decided {
        log_decision(core, &record);
        merge(core, &record);
        publish(core, &record);
    }
}

/// Puts a decision in force at this node, unless a newer one is known.
pub(super) fn merge<P: Platform>(core: &Core<P>, record: &QuarantineRecord) {
    let now = Instant::now();
    let is_new = {
        let mut table = locked(&core.quarantine.table);
        let known = table.offences(record.fingerprint, now);
        let is_newer = table.merge(record, now);
        let quarantined = i64::try_from(table.quarantined()).unwrap_or(i64::MAX);
        core.metrics.quarantined_requests.set(quarantined);
        if is_newer && record.offences > 0 {
            core.quarantine.decided.send_modify(|count| *count += 1);
        }
        is_newer && known == 0 && record.offences > 0
    };
    if is_new {
        report_completion(core, record.fingerprint, &record.service);
    }
}

fn log_decision<P: Platform>(core: &Core<P>, record: &QuarantineRecord) {
    let known = {
        let table = locked(&core.quarantine.table);
        table.offences(record.fingerprint, Instant::now())
    };
    let decision = match record.offences {
        0 => "cleared",
        offences if offences == known => "trial",
        _ => "quarantined",
    };
    info!(
        event = "quarantine", fingerprint = format!("{:016x}", record.fingerprint),
        service = %record.service, outcome = decision, offences = record.offences,
        retry_after_ms = record.retry_after.as_millis() as u64,
    );
    let labels = [record.service.as_str(), decision];
    let decisions = &core.metrics.quarantine_decisions;
    decisions.with_label_values(&labels).inc();
}

pub(super) fn publish<P: Platform>(core: &Core<P>, record: &QuarantineRecord) {
    let Some(peer) = core.peer() else { return };
    let wire = WireRecord {
        service: record.service.clone(),
        offences: record.offences,
        age_ms: record.age.as_millis() as u64,
        retry_after_ms: record.retry_after.as_millis() as u64,
        notice: false,
    };
    let now = Instant::now();
    let mut published = locked(&core.quarantine.published);
    if published.len() >= MAX_PUBLISHED && !published.contains_key(&record.fingerprint) {
        let oldest = published.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(p, _)| *p) {
            published.remove(&oldest);
            peer.withdraw(&ItemKey::Suspect(item_name(oldest)));
        }
    }
    let decided_at = now.checked_sub(record.age).unwrap_or(now);
    published.insert(record.fingerprint, decided_at);
    let ttl = record.retry_after + RECORD_TTL;
    publish_record(core, record.fingerprint, &wire, ttl);
}

fn item_name(fingerprint: Fingerprint) -> SmolStr {
    format_smolstr!("{fingerprint:016x}")
}

/// Publishes the decisions of former coordinators of this node's services. Nodes that start later
/// would not learn of them.
pub(super) fn publish_adopted<P: Platform>(core: &Core<P>) {
    let now = Instant::now();
    let records: Vec<QuarantineRecord> = {
        let table = locked(&core.quarantine.table);
        if table.is_empty() {
            return;
        }
        table.export(now).collect()
    };
    let mut is_coordinator: BTreeMap<ServiceName, bool> = BTreeMap::new();
    for record in records {
        let decided_at = now.checked_sub(record.age).unwrap_or(now);
        let is_published = {
            let published = locked(&core.quarantine.published);
            let known = published.get(&record.fingerprint);
            known.is_some_and(|at| *at >= decided_at)
        };
        let is_own = is_coordinator
            .entry(record.service.clone())
            .or_insert_with_key(|service| coordinators(core, service).contains(&core.cfg.node));
        if *is_own && !is_published {
            publish(core, &record);
        }
    }
}

/// Handles a decision that another node published.
pub(crate) fn on_record<P: Platform>(core: &Core<P>, suspect: &Suspect, as_of: Instant) {
    let fingerprint = u64::from_str_radix(&suspect.fingerprint, 16);
    let wire = serde_json::from_slice::<WireRecord>(&suspect.record);
    let (Ok(fingerprint), Ok(wire)) = (fingerprint, wire) else {
        warn!(event = "quarantine", fingerprint = %suspect.fingerprint, outcome = "unreadable");
        return;
    };
    if wire.notice {
        return await_completion(core, fingerprint, &wire.service);
    }
    let elapsed = as_of.elapsed();
    let record = QuarantineRecord {
        fingerprint,
        service: wire.service,
        offences: wire.offences,
        age: Duration::from_millis(wire.age_ms) + elapsed,
        retry_after: Duration::from_millis(wire.retry_after_ms).saturating_sub(elapsed),
    };
    merge(core, &record);
}
