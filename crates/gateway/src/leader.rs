//! Leader election of the planner.
//!
//! A row of the platform's store names the leader and counts its terms. The leader announces
//! itself to the other nodes directly, and one of them takes over when the announcements stop.
//! Renewals are not written: the leader rereads the row periodically and acts only while its
//! [`Lease`] is valid, and a successor waits until that has expired.

use std::cmp::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, RowVersion, StoreEra, value};
use eelgrassmill_fleet::{Lease, LeaseStatus, SinceBoot, hears_majority, strongest};
use rustix::time::{ClockId, clock_gettime};
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::peers::publish_leader;
use crate::planning::PlannerTerm;
use crate::ports::{ConditionalWrite, Platform, RecordStore, SourceError};
use crate::quarantine;

/// How often a node that isn't the leader checks whether there is a leader.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a node waits for the announcement of a holder that it has just read from the row:
/// nodes that start together discover each other within a second.
const HOLDER_DISCOVERY_TIME: Duration = Duration::from_millis(2500);
/// A node doesn't claim the lease for this long after its start: by then nodes that start together
/// have discovered each other.
const START_DELAY: Duration = Duration::from_millis(1500);
/// How often a leader rereads the row that names it: twice per lease.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// Terms of one era of the store. Claims in the part that a store lost are not known to all, so each
/// era begins above all terms of earlier ones.
const TERMS_PER_ERA: u64 = 1 << 16;
/// Highest era that counts for terms, which are part of epochs.
const MAX_TERM_ERA: StoreEra = 1 << 24;
/// Terms above this are not those of a leader: their epochs wouldn't fit.
const MAX_TERM: u64 = 1 << 42;

/// The time since the machine booted, including time in suspend.
fn since_boot() -> SinceBoot {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

value! { wire
    /// The record of the planner's leader.
    #[derive(Default)]
    pub(crate) struct LeaderRecord {
        /// The node; empty if the record can't be read.
        pub(crate) node: NodeId,
        /// Number of the leader's term. Epochs of a term are higher than those of all earlier
        /// terms.
        pub(crate) term: u64,
    }
}

/// The leader record as the store has it.
struct StoredLeader {
    record: Option<LeaderRecord>,
    version: RowVersion,
    era: Option<StoreEra>,
}

impl StoredLeader {
    fn is_unreadable(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(LeaderRecord::is_unreadable)
    }
}

impl LeaderRecord {
    fn is_unreadable(&self) -> bool {
        self.node.is_empty()
    }
}

async fn read_record<P: Platform>(core: &Core<P>) -> Result<StoredLeader, SourceError> {
    let stored = core.platform.records().leader.read().await?;
    Ok(StoredLeader {
        record: stored.encoded.map(|bytes| decode_record(&bytes)),
        version: stored.version,
        era: stored.era,
    })
}

/// Reads a record. One that can't be read names no known node, which is awaited and then followed
/// like one that is gone.
fn decode_record(bytes: &[u8]) -> LeaderRecord {
    let record = serde_json::from_slice::<LeaderRecord>(bytes).ok();
    record.filter(|r| r.term <= MAX_TERM).unwrap_or_default()
}

async fn write_record<P: Platform>(
    core: &Core<P>,
    version: RowVersion,
    record: &LeaderRecord,
) -> Result<ConditionalWrite, SourceError> {
    let encoded = serde_json::to_vec(record).map_err(|e| SourceError::Malformed(e.to_string()))?;
    core.platform
        .records()
        .leader
        .write(version, &encoded)
        .await
}

/// The leader's row as this node last read it.
#[derive(Debug, Default)]
struct ObservedRecord {
    /// The record that was read last, and when this node first read it.
    record: Option<(LeaderRecord, Instant)>,
    /// The highest term that was read or claimed.
    highest_term: u64,
}

/// Campaigns for the leader role and runs the planner while this node has it, until the process
/// ends.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let mut observed = ObservedRecord::default();
    loop {
        let mut lease = Lease::new(since_boot());
        let acquired = update_meanwhile(&mut lease, try_acquire(&core, &mut observed)).await;
        if let Some((leader, era)) = acquired {
            info!(event = "leader", term = leader.term, outcome = "taken");
            publish_leader(&core, Some(&leader));
            lead(&core, &leader, era, lease).await;
            publish_leader(&core, None);
            info!(event = "leader", term = leader.term, outcome = "given-up");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Runs `attempt` to its end. A store that takes long is no stall of this process, for which a gap
/// between two updates of the lease would be taken.
async fn update_meanwhile<T>(lease: &mut Lease, attempt: impl Future<Output = T>) -> T {
    tokio::pin!(attempt);
    loop {
        if let Ok(result) = tokio::time::timeout(POLL_INTERVAL, &mut attempt).await {
            return result;
        }
        lease.update(since_boot(), true);
    }
}

/// Claims the leader role, and returns the era of the store in which this node has it.
async fn try_acquire<P: Platform>(
    core: &Arc<Core<P>>,
    observed: &mut ObservedRecord,
) -> Option<(LeaderRecord, StoreEra)> {
    let now = Instant::now();
    if core.is_leaving() || !core.is_loaded() || core.store_failures() > 0 {
        return None;
    }
    if let Some(holder) = current(core, now) {
        // If it falls silent, no time is needed to discover it.
        observed.record = now
            .checked_sub(HOLDER_DISCOVERY_TIME)
            .map(|since| (holder, since));
        return None;
    }
    // A node that has just started may not have discovered the one that should lead, and a change
    // of leaders would take up the seconds in which model loads are fast.
    if core.started_at.elapsed() < START_DELAY {
        return None;
    }
    // If most other nodes aren't heard, the holder may be one of them and still act on what it
    // hears from the rest.
    if !should_lead(core, now) || !locked(&core.nodes).hears_majority(now) {
        return None;
    }
    // The announcement of a holder that was read just now may not have arrived yet.
    let awaits_holder = observed.record.as_ref().is_some_and(|(record, since)| {
        record.node != core.cfg.node && now.duration_since(*since) < HOLDER_DISCOVERY_TIME
    });
    if awaits_holder {
        return None;
    }
    let read = read_record(core).await;
    let stored = match read {
        Ok(stored) => stored,
        Err(err) => {
            warn!(event = "leader", outcome = "not-read", %err);
            return None;
        }
    };
    let era = stored.era.unwrap_or_else(|| core.store_era());
    core.record_store_era(era);
    // A late answer of an earlier era.
    if era < core.store_era() {
        return None;
    }
    if observed.is_new_holder(stored.record.as_ref(), &core.cfg.node, now) {
        return None;
    }
    let known = observed.highest_known(core, stored.record.as_ref());
    let claim = LeaderRecord {
        node: core.cfg.node.clone(),
        term: next_term(core, known, era),
    };
    observed.highest_term = claim.term;
    match write_record(core, stored.version, &claim).await {
        Ok(write) if write.done && write.era.is_none_or(|e| e == era) => Some((claim, era)),
        // If the store came back in between, the next read shows what it has.
        Ok(_) => None,
        Err(err) => {
            // The write may have succeeded; the next read shows it.
            warn!(event = "leader", outcome = "unknown", %err);
            None
        }
    }
}

/// A term above all that are known to have been claimed, and above all of earlier eras.
fn next_term<P: Platform>(core: &Core<P>, known: u64, era: StoreEra) -> u64 {
    let announced = locked(&core.leaders).values().copied().max();
    let known = known.max(announced.unwrap_or_default());
    known.max(era.min(MAX_TERM_ERA) * TERMS_PER_ERA) + 1
}

impl ObservedRecord {
    /// The highest term that is known from records; if the stored one can't be read, also from the
    /// replicas that hosts belong to.
    fn highest_known<P: Platform>(&mut self, core: &Core<P>, stored: Option<&LeaderRecord>) -> u64 {
        let term = stored.map_or(0, |r| r.term);
        self.highest_term = self.highest_term.max(term);
        if stored.is_some_and(LeaderRecord::is_unreadable) {
            warn!(event = "leader", outcome = "unreadable");
            let formed = locked(&core.fleet).highest_term(MAX_TERM);
            self.highest_term = self.highest_term.max(formed);
        }
        self.highest_term
    }

    /// Records what was read. Returns whether it newly names another node, which has to be awaited.
    fn is_new_holder(&mut self, record: Option<&LeaderRecord>, me: &str, now: Instant) -> bool {
        let Some(record) = record.filter(|r| r.node != me) else {
            return false;
        };
        if self
            .record
            .as_ref()
            .is_some_and(|(known, _)| known == record)
        {
            return false;
        }
        self.record = Some((record.clone(), now));
        true
    }
}

/// The leader: the node with the highest term among this one and those that are up.
pub(crate) fn current<P: Platform>(core: &Core<P>, now: Instant) -> Option<LeaderRecord> {
    let me = &core.cfg.node;
    let nodes = locked(&core.nodes);
    let leaders = locked(&core.leaders);
    let is_up = |node: &NodeId| node == me || nodes.is_alive(node, now);
    let up = leaders.iter().filter(|(node, _)| is_up(node));
    let (node, term) = up.max_by_key(|(_, term)| **term)?;
    Some(LeaderRecord {
        node: node.clone(),
        term: *term,
    })
}

/// Whether this node is the first by name among the strongest that are up. Only that one claims
/// the leader role.
fn should_lead<P: Platform>(core: &Core<P>, now: Instant) -> bool {
    let nodes = locked(&core.nodes);
    let able = strongest(nodes.alive(now).chain([core.as_candidate()]));
    able.iter().map(|c| c.id).min() == Some(&core.cfg.node)
}

/// Runs the planner until another node is the leader or may be.
async fn lead<P: Platform>(
    core: &Arc<Core<P>>,
    leader: &LeaderRecord,
    era: StoreEra,
    lease: Lease,
) {
    let lease = Mutex::new(lease);
    tokio::select! {
        () = confirm(core, leader, era, &lease) => {}
        () = run_planner(core, leader, &lease) => {}
        () = quarantine::save_loop(core) => {}
    }
}

/// Rereads the row until it names another holder. `era` is that of the store in which the row named
/// this node.
async fn confirm<P: Platform>(
    core: &Core<P>,
    leader: &LeaderRecord,
    mut era: StoreEra,
    lease: &Mutex<Lease>,
) {
    let mut last_read_ok = true;
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let read_at = since_boot();
        let read = read_record(core).await;
        let was_ok = std::mem::replace(&mut last_read_ok, read.is_ok());
        let stored = match read {
            Ok(stored) => stored,
            Err(err) => {
                // Logged at the first of consecutive failures.
                if was_ok {
                    warn!(event = "leader", term = leader.term, outcome = "not-confirmed", %err);
                }
                continue;
            }
        };
        let read_era = stored.era.unwrap_or(era);
        core.record_store_era(read_era);
        let is_named = stored.record.as_ref() == Some(leader);
        match read_era.cmp(&era) {
            // A late answer of an earlier era.
            Ordering::Less => {}
            Ordering::Equal if is_named => locked(lease).confirm(read_at),
            // No successor is named while the lease is valid.
            Ordering::Equal
                if stored.is_unreadable()
                    && lease_status(core, lease) == LeaseStatus::Act
                    && write_again(core, leader, &stored, era).await =>
            {
                locked(lease).confirm(read_at);
            }
            Ordering::Equal => return,
            Ordering::Greater => {
                // A successor may have been named in the part that the store lost, but not while
                // the lease was valid.
                if lease_status(core, lease) != LeaseStatus::Act || is_superseded(&stored, leader) {
                    return;
                }
                if is_named || write_again(core, leader, &stored, read_era).await {
                    locked(lease).confirm(read_at);
                    era = read_era;
                }
            }
        }
    }
}

/// Whether the row names another leader of the same or a later term.
fn is_superseded(stored: &StoredLeader, leader: &LeaderRecord) -> bool {
    let named = stored.record.as_ref();
    named.is_some_and(|r| r.node != leader.node && r.term >= leader.term)
}

/// Writes the record to a store that came back from a copy without it. Returns whether it has it.
async fn write_again<P: Platform>(
    core: &Core<P>,
    leader: &LeaderRecord,
    stored: &StoredLeader,
    era: StoreEra,
) -> bool {
    let write = write_record(core, stored.version, leader).await;
    let is_written = write.is_ok_and(|w| w.done && w.era.is_none_or(|e| e == era));
    info!(
        event = "leader",
        term = leader.term,
        outcome = "written-again",
        era,
        is_written
    );
    is_written
}

fn lease_status<P: Platform>(core: &Core<P>, lease: &Mutex<Lease>) -> LeaseStatus {
    let heard = hears_majority(locked(&core.nodes).silences(Instant::now()));
    locked(lease).update(since_boot(), heard)
}

async fn run_planner<P: Platform>(
    core: &Arc<Core<P>>,
    leader: &LeaderRecord,
    lease: &Mutex<Lease>,
) {
    let mut term = PlannerTerm::new(Arc::clone(core), leader);
    let mut last = LeaseStatus::Act;
    loop {
        if core.is_leaving() || higher_term_exists(core, leader) {
            return;
        }
        let standing = lease_status(core, lease);
        if standing != last {
            let heard = hears_majority(locked(&core.nodes).silences(Instant::now()));
            info!(
                event = "leader",
                term = leader.term,
                outcome = "standing",
                ?standing,
                heard
            );
            last = standing;
        }
        match standing {
            LeaseStatus::Act => term.step(),
            LeaseStatus::Wait => {}
            LeaseStatus::GiveUp => return,
        }
        term.wait().await;
    }
}

/// Whether another node reports a higher term.
fn higher_term_exists<P: Platform>(core: &Core<P>, leader: &LeaderRecord) -> bool {
    locked(&core.leaders)
        .values()
        .any(|term| *term > leader.term)
}
