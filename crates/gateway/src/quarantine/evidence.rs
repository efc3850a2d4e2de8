//! Evidence on crashes that is saved in the platform's store: nodes that all restart at the same time
//! would begin anew, and a part would crash as many hosts again.
//!
//! The first coordinator of a service saves it after each crash, and so learns of the evidence of
//! former coordinators at the first crash after its own start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::ServiceName;
use eelgrassmill_route::{CrashedRun, Fingerprint, SavedCrash, SavedEvidence};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Platform, RecordStore, SourceError, StoredRecord};
use crate::quarantine::coordinators;

/// How long reports on crashes are batched before they are saved. All nodes may be killed soon after.
const SAVE_DELAY: Duration = Duration::from_millis(20);
/// Attempts to save the evidence on a crash, and the pause between them.
const MAX_ATTEMPTS: usize = 4;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A run as fingerprint, breadth, milliseconds that it ran for, and whether it had started.
type WireRun = (Fingerprint, u8, u64, bool);

#[derive(Serialize, Deserialize)]
struct WireCrash {
    id: u64,
    service: SmolStr,
    domain: SmolStr,
    at_ms: u64,
    running: Vec<WireRun>,
}

#[derive(Default, Serialize, Deserialize)]
struct WireEvidence {
    crashes: Vec<WireCrash>,
    /// Fingerprints, with the milliseconds of their last completions.
    completed: Vec<(Fingerprint, u64)>,
}

impl From<&SavedEvidence> for WireEvidence {
    fn from(evidence: &SavedEvidence) -> WireEvidence {
        let crashes = evidence.crashes.iter().map(|crash| WireCrash {
            id: crash.id,
            service: crash.service.clone(),
            domain: crash.failure_domain.clone(),
            at_ms: crash.at.as_millis() as u64,
            running: crash.running.iter().map(wire_run).collect(),
        });
        let completed = evidence.completed.iter();
        WireEvidence {
            crashes: crashes.collect(),
            completed: completed
                .map(|(fingerprint, at)| (*fingerprint, at.as_millis() as u64))
                .collect(),
        }
    }
}

impl From<WireEvidence> for SavedEvidence {
    fn from(wire: WireEvidence) -> SavedEvidence {
        let crashes = wire.crashes.into_iter().map(|crash| SavedCrash {
            id: crash.id,
            service: crash.service,
            failure_domain: crash.domain,
            at: Duration::from_millis(crash.at_ms),
            running: crash.running.into_iter().map(run).collect(),
        });
        let completed = wire.completed.into_iter();
        SavedEvidence {
            crashes: crashes.collect(),
            completed: completed
                .map(|(fingerprint, at_ms)| (fingerprint, Duration::from_millis(at_ms)))
                .collect(),
        }
    }
}

fn wire_run(run: &CrashedRun) -> WireRun {
    let ran_for_ms = run.ran_for.as_millis() as u64;
    (run.fingerprint, run.breadth, ran_for_ms, run.started)
}

fn run((fingerprint, breadth, ran_for_ms, started): WireRun) -> CrashedRun {
    CrashedRun {
        fingerprint,
        breadth,
        ran_for: Duration::from_millis(ran_for_ms),
        started,
        wrote_for: Duration::ZERO,
    }
}

fn decode(stored: &StoredRecord) -> SavedEvidence {
    let Some(encoded) = &stored.encoded else {
        return SavedEvidence::default();
    };
    match serde_json::from_slice::<WireEvidence>(encoded) {
        Ok(wire) => wire.into(),
        Err(err) => {
            // It is replaced after the next crash.
            warn!(event = "quarantine", outcome = "evidence-unreadable", %err);
            SavedEvidence::default()
        }
    }
}

/// Has the evidence on a crash of the service saved, if this node is its first coordinator.
pub(super) fn on_crash<P: Platform>(core: &Core<P>, service: &ServiceName) {
    if coordinators(core, service).first() == Some(&core.cfg.node) {
        core.quarantine.crashed.notify_one();
    }
}

/// Saves evidence until the process ends.
pub(crate) async fn save_evidence_loop<P: Platform>(core: Arc<Core<P>>) {
    // Whether the evidence of former coordinators was read.
    let mut is_restored = false;
    loop {
        core.quarantine.crashed.notified().await;
        tokio::time::sleep(SAVE_DELAY).await;
        for _ in 0..MAX_ATTEMPTS {
            if is_restored && is_empty(&core) {
                break;
            }
            match save(&core).await {
                Ok(done) => {
                    is_restored = true;
                    if done {
                        break;
                    }
                }
                Err(err) => warn!(event = "quarantine", outcome = "evidence-not-saved", %err),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Whether this node has nothing to save.
fn is_empty<P: Platform>(core: &Core<P>) -> bool {
    let coordinator = locked(&core.quarantine.coordinator);
    let evidence = coordinator.to_saved(Instant::now(), Duration::MAX);
    evidence.crashes.is_empty()
}

/// Adds the saved evidence to this node's and saves both. `false` if another node wrote at the same
/// time.
async fn save<P: Platform>(core: &Core<P>) -> Result<bool, SourceError> {
    let store = &core.platform.records().evidence;
    let stored = store.read().await?;
    let known = decode(&stored);
    let evidence = {
        let now = Instant::now();
        let table = locked(&core.quarantine.table);
        let mut coordinator = locked(&core.quarantine.coordinator);
        coordinator.restore(&known, stored.clock, &table, now);
        coordinator.to_saved(now, stored.clock)
    };
    core.quarantine.evidence.notify_one();
    if evidence.is_same(&known) {
        return Ok(true);
    }
    let wire = WireEvidence::from(&evidence);
    let encoded = serde_json::to_vec(&wire).map_err(|e| SourceError::Malformed(e.to_string()))?;
    let done = store.write(stored.version, &encoded).await?.done;
    info!(
        event = "quarantine",
        outcome = "evidence-saved",
        crashes = evidence.crashes.len(),
        bytes = encoded.len(),
        done
    );
    Ok(done)
}
