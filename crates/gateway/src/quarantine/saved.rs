//! Decisions that are saved in the platform's store: nodes that all restart at the same time would
//! forget them.
//!
//! The leader saves them. Nodes that read the lists from the store when they start read the
//! decisions as well, and publish them to the others.

use std::time::{Duration, Instant};

use eelgrassmill_route::{Fingerprint, SavedDecision, are_same_decisions};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Platform, RecordStore, SourceError, StoredRecord};
use crate::quarantine::coordinator::{merge, publish};

/// How often the leader checks whether there are decisions to save.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failure to read saved decisions.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long after its start a node restores decisions. Later, other nodes know all that matter.
const RESTORE_PERIOD: Duration = Duration::from_secs(15);

/// A decision in the record.
#[derive(Serialize, Deserialize)]
struct WireDecision {
    fingerprint: Fingerprint,
    service: SmolStr,
    offences: u32,
    decided_ms: u64,
    retry_ms: u64,
}

impl From<&SavedDecision> for WireDecision {
    fn from(decision: &SavedDecision) -> WireDecision {
        WireDecision {
            fingerprint: decision.fingerprint,
            service: decision.service.clone(),
            offences: decision.offences,
            decided_ms: decision.decided_at.as_millis() as u64,
            retry_ms: decision.retry_at.as_millis() as u64,
        }
    }
}

impl From<WireDecision> for SavedDecision {
    fn from(wire: WireDecision) -> SavedDecision {
        SavedDecision {
            fingerprint: wire.fingerprint,
            service: wire.service,
            offences: wire.offences,
            decided_at: Duration::from_millis(wire.decided_ms),
            retry_at: Duration::from_millis(wire.retry_ms),
        }
    }
}

fn decode(stored: &StoredRecord) -> Vec<SavedDecision> {
    let Some(encoded) = &stored.encoded else {
        return Vec::new();
    };
    match serde_json::from_slice::<Vec<WireDecision>>(encoded) {
        Ok(wire) => wire.into_iter().map(SavedDecision::from).collect(),
        Err(err) => {
            // It is replaced at the next decision.
            warn!(event = "quarantine", outcome = "unreadable", %err);
            Vec::new()
        }
    }
}

/// Saves decisions until the future is dropped. Only the leader does.
pub(crate) async fn save_loop<P: Platform>(core: &Core<P>) {
    // The revision that was saved, and the era of the store before it was.
    let mut saved = (0, core.store_era());
    let mut last_save_ok = true;
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let current = (locked(&core.quarantine.table).revision(), core.store_era());
        if current == saved {
            continue;
        }
        let result = save(core).await;
        match &result {
            Ok(true) => saved = current,
            // Another node wrote since the read.
            Ok(false) => {}
            Err(err) if last_save_ok => {
                warn!(event = "quarantine", outcome = "not-saved", %err);
            }
            // Logged at the first of consecutive failures.
            Err(_) => {}
        }
        last_save_ok = result.is_ok();
    }
}

/// Saves the decisions of this node and those that are saved already. `false` if another node wrote
/// at the same time.
async fn save<P: Platform>(core: &Core<P>) -> Result<bool, SourceError> {
    let stored = core.platform.records().decisions.read().await?;
    let known = decode(&stored);
    adopt(core, &known, stored.clock);
    let decisions = locked(&core.quarantine.table).to_saved(Instant::now(), stored.clock);
    if are_same_decisions(&decisions, &known) {
        return Ok(true);
    }
    let wire: Vec<WireDecision> = decisions.iter().map(WireDecision::from).collect();
    let encoded = serde_json::to_vec(&wire).map_err(|e| SourceError::Malformed(e.to_string()))?;
    let store = &core.platform.records().decisions;
    Ok(store.write(stored.version, &encoded).await?.done)
}

/// Restores saved decisions once this node has read the lists from the store itself.
pub(crate) async fn restore<P: Platform>(core: &Core<P>) {
    if core.cfg.first_start {
        return;
    }
    let left = || RESTORE_PERIOD.saturating_sub(core.started_at.elapsed());
    let store_read = core.quarantine.store_read.notified();
    if tokio::time::timeout(left(), store_read).await.is_err() {
        return;
    }
    while !left().is_zero() {
        match core.platform.records().decisions.read().await {
            Ok(stored) => return adopt(core, &decode(&stored), stored.clock),
            Err(err) => warn!(event = "quarantine", outcome = "not-restored", %err),
        }
        tokio::time::sleep(RESTORE_RETRY_INTERVAL).await;
    }
}

/// Puts saved decisions in force that this node doesn't know, and publishes them. `clock` is the time
/// of the store's clock now.
fn adopt<P: Platform>(core: &Core<P>, saved: &[SavedDecision], clock: Duration) {
    for record in saved.iter().map(|d| d.to_record(clock)) {
        // The time on the way makes a decision look newer than it is.
        if locked(&core.quarantine.table).knows(&record, Instant::now()) {
            continue;
        }
        info!(
            event = "quarantine", fingerprint = format!("{:016x}", record.fingerprint),
            service = %record.service, outcome = "restored", offences = record.offences,
            retry_after_ms = record.retry_after.as_millis() as u64,
        );
        merge(core, &record);
        publish(core, &record);
    }
}
