//! Which node plans.
//!
//! The seat is a row of the platform's store that names a node and counts the holders.
//! Nodes hear from the holder directly; one takes over when the holder is no longer
//! heard. No renewal is written: a holder reads the row again and again, and acts only
//! while its [`Lease`] holds, which a successor waits out.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_fleet::{Lease, SinceBoot, Standing, hears_enough, strongest};
use rustix::time::{ClockId, clock_gettime};
use tracing::{info, warn};

use crate::core::Core;
use crate::heads::locked;
use crate::peers::publish_seat;
use crate::planning::Term;
use crate::ports::{Platform, Seat, SeatRecord};

/// How often a node without the seat looks whether it is vacant.
const LOOK: Duration = Duration::from_millis(250);
/// A holder that was named lately is given this long to be heard of: nodes that start
/// together hear of each other within a second.
const INTRODUCTION: Duration = Duration::from_millis(2500);
/// Between two looks of a holder whether the row still names it: two in a lease.
const CONFIRM: Duration = Duration::from_millis(700);

/// The time since the machine started, also while it was suspended.
fn since_boot() -> SinceBoot {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

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
        let asked = since_boot();
        if let Some(seat) = try_take(&core, &mut seen).await {
            info!(event = "seat", term = seat.term, outcome = "taken");
            publish_seat(&core, Some(&seat));
            hold(&core, &seat, Lease::new(asked)).await;
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
    if let Some(holder) = holder(core, now) {
        // It needs no introduction should it fall silent.
        seen.record = now.checked_sub(INTRODUCTION).map(|since| (holder, since));
        return None;
    }
    // Where most others aren't heard the holder may be one of them, and act on by what it
    // hears from the rest.
    if !is_first(core, now) || !locked(&core.nodes).hears_most(now) {
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

/// The node, this one or one that is up, that says that it holds the seat.
pub(crate) fn holder<P: Platform>(core: &Core<P>, now: Instant) -> Option<SeatRecord> {
    let me = &core.cfg.node;
    let nodes = locked(&core.nodes);
    let seats = locked(&core.seats);
    let is_up = |node: &NodeId| node == me || nodes.is_alive(node, now);
    let up = seats.iter().filter(|(node, _)| is_up(node));
    let (node, term) = up.max_by_key(|(_, term)| **term)?;
    Some(SeatRecord {
        node: node.clone(),
        term: *term,
    })
}

/// Whether this node is the first by name of the strongest that are up, which alone takes the
/// seat.
fn is_first<P: Platform>(core: &Core<P>, now: Instant) -> bool {
    let nodes = locked(&core.nodes);
    let able = strongest(nodes.alive(now).chain([core.as_candidate()]));
    able.iter().map(|c| c.id).min() == Some(&core.cfg.node)
}

/// Plans until the seat is another's, or this node can't be sure that it isn't.
async fn hold<P: Platform>(core: &Arc<Core<P>>, seat: &SeatRecord, lease: Lease) {
    let lease = Mutex::new(lease);
    tokio::select! {
        () = confirm(core, seat, &lease) => {}
        () = plan(core, seat, &lease) => {}
    }
}

/// Reads the row until it names another holder.
async fn confirm<P: Platform>(core: &Core<P>, seat: &SeatRecord, lease: &Mutex<Lease>) {
    let mut answered = true;
    loop {
        tokio::time::sleep(CONFIRM).await;
        let asked = since_boot();
        let read = core.platform.seat().read().await;
        match &read {
            Ok((Some(record), _)) if record == seat => locked(lease).confirm(asked),
            Ok(_) => return,
            Err(err) if answered => {
                warn!(event = "seat", term = seat.term, outcome = "not-confirmed", %err);
            }
            // Told when it began.
            Err(_) => {}
        }
        answered = read.is_ok();
    }
}

async fn plan<P: Platform>(core: &Arc<Core<P>>, seat: &SeatRecord, lease: &Mutex<Lease>) {
    let mut term = Term::new(Arc::clone(core), seat);
    let mut last = Standing::Act;
    loop {
        if core.is_leaving() || another_holds(core, seat) {
            return;
        }
        let heard = hears_enough(locked(&core.nodes).silences(Instant::now()));
        let standing = locked(lease).step(since_boot(), heard);
        if standing != last {
            info!(
                event = "seat",
                term = seat.term,
                outcome = "standing",
                ?standing,
                heard
            );
            last = standing;
        }
        match standing {
            Standing::Act => term.step(),
            Standing::Wait => {}
            Standing::GiveUp => return,
        }
        term.wait().await;
    }
}

/// Whether another node tells a higher term.
fn another_holds<P: Platform>(core: &Core<P>, seat: &SeatRecord) -> bool {
    locked(&core.seats).values().any(|term| *term > seat.term)
}
