//! Which node plans.
//!
//! The seat is a row of the platform's store that names a node and counts the holders.
//! Nodes hear from the holder directly; one takes over when the holder is no longer
//! heard. No renewal is written: an old holder that acts on does no harm, since hosts
//! refuse the lower epochs of its term, and it steps down when it hears of a higher one
//! or reads the row.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::peers::publish_seat;
use crate::planning::Term;
use crate::ports::{Platform, Seat, SeatRecord, SourceError};

/// How often a node without the seat looks whether it is vacant.
const LOOK: Duration = Duration::from_millis(250);
/// A holder that was named lately is given this long to be heard of: nodes that start
/// together hear of each other within a second.
const INTRODUCTION: Duration = Duration::from_millis(2500);
/// A holder reads the row again after this, and before it acts after a pause.
const CHECK: Duration = Duration::from_secs(4);
/// A longer time between two steps means that the process stood still, and that another
/// node may hold the seat by now.
const PAUSE: Duration = Duration::from_millis(900);

/// What a node has read of the seat.
#[derive(Debug, Default)]
struct Seen {
    /// The record that was read last, and when it was first seen.
    record: Option<(SeatRecord, Instant)>,
}

/// Plans while the seat is this node's, for ever.
pub(crate) async fn run<P: Platform>(core: Arc<Core<P>>) {
    let mut seen = Seen::default();
    loop {
        if let Some(seat) = try_take(&core, &mut seen).await {
            info!(event = "seat", term = seat.term, outcome = "taken");
            publish_seat(&core, Some(&seat));
            hold(&core, &seat).await;
            publish_seat(&core, None);
            info!(event = "seat", term = seat.term, outcome = "given-up");
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn try_take<P: Platform>(core: &Arc<Core<P>>, seen: &mut Seen) -> Option<SeatRecord> {
    let now = Instant::now();
    if core.is_leaving() || !core.is_loaded() || core.store_failures() > 0 {
        return None;
    }
    if let Some(holder) = heard_holder(core, now) {
        // It needs no introduction should it fall silent.
        seen.record = now.checked_sub(INTRODUCTION).map(|since| (holder, since));
        return None;
    }
    if !is_first(core, now) {
        return None;
    }
    // A holder that was named lately may not have been heard yet.
    let introduced = seen.record.as_ref().is_some_and(|(record, since)| {
        record.node != core.cfg.node && now.duration_since(*since) < INTRODUCTION
    });
    if introduced {
        return None;
    }
    let read = core.platform.seat().read().await;
    let (record, version) = match read {
        Ok(read) => read,
        Err(err) => {
            warn!(event = "seat", outcome = "not-read", %err);
            return None;
        }
    };
    if seen.is_new(record.as_ref(), &core.cfg.node, now) {
        return None;
    }
    let term = record.map_or(0, |r| r.term) + 1;
    let claim = SeatRecord {
        node: core.cfg.node.clone(),
        term,
    };
    match core.platform.seat().claim(version, &claim).await {
        Ok(true) => Some(claim),
        Ok(false) => None,
        Err(err) => {
            // It may have been written all the same; the next look reads it.
            warn!(event = "seat", outcome = "unknown", %err);
            None
        }
    }
}

impl Seen {
    /// Notes what was read. Whether it names another node that has to be waited for.
    fn is_new(&mut self, record: Option<&SeatRecord>, me: &str, now: Instant) -> bool {
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

/// The node that is up and says that it holds the seat.
fn heard_holder<P: Platform>(core: &Core<P>, now: Instant) -> Option<SeatRecord> {
    let nodes = locked(&core.nodes);
    let seats = locked(&core.seats);
    let up = seats.iter().filter(|(node, _)| nodes.is_alive(node, now));
    let (node, term) = up.max_by_key(|(_, term)| **term)?;
    Some(SeatRecord {
        node: node.clone(),
        term: *term,
    })
}

/// Whether this node is the first of those that are up, which alone takes the seat.
fn is_first<P: Platform>(core: &Core<P>, now: Instant) -> bool {
    locked(&core.nodes)
        .alive(now)
        .next()
        .is_none_or(|first| core.cfg.node <= *first)
}

/// Plans until the seat is another's.
async fn hold<P: Platform>(core: &Arc<Core<P>>, seat: &SeatRecord) {
    let mut term = Term::new(Arc::clone(core), seat);
    let mut checked = Instant::now();
    let mut stepped = Instant::now();
    loop {
        if core.is_leaving() || another_holds(core, seat) {
            return;
        }
        let paused = stepped.elapsed() > PAUSE;
        if paused || checked.elapsed() > CHECK {
            match core.platform.seat().read().await {
                Ok((Some(record), _)) if record == *seat => {}
                Ok(_) => return,
                // Another node may have taken the seat where the store is away for this
                // one only. Hosts then refuse what it orders by its lower epochs, and it
                // hears of the higher term from the others.
                Err(SourceError::Unreachable(_) | SourceError::Refused(_)) => {}
                Err(err) => warn!(event = "seat", outcome = "not-read", %err),
            }
            checked = Instant::now();
        }
        stepped = Instant::now();
        term.step();
        term.wait().await;
    }
}

/// Whether another node tells a higher term.
fn another_holds<P: Platform>(core: &Core<P>, seat: &SeatRecord) -> bool {
    locked(&core.seats).values().any(|term| *term > seat.term)
}
