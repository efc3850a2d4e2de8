//! Faults that are switched on by name and for a time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::value;

value! { wire copy
    /// A fault of a target.
    pub enum Fault {
        /// Refuses connections and loses all state; comes back as a new start.
        Die,
        /// Breaks all connections, loses all state and is back at once.
        Restart,
        /// Answers nothing, then goes on as if nothing had happened.
        Pause,
        /// Takes N times as long for everything; 4 when N is left out.
        Slow,
        /// Cuts each answer after N bytes.
        CutAfter,
        /// Holds each answer back for N milliseconds; 1,000 when N is left out.
        Late,
        /// Gives each answer again, in place of the answer to the next request.
        Twice,
        /// Echoes the id of another request.
        WrongId,
        /// Echoes the epoch before the one that the request names.
        WrongEpoch,
        /// Sends the head of each answer and closes.
        CloseAfterHeaders,
        /// Obeys orders with old fencing numbers.
        IgnoreFences,
        /// Refuses each request without running it.
        Refuse,
        /// Says of itself that it is leaving.
        Leaving,
        /// Can't resume streams: starts each answer from its first token and echoes no offset.
        NoResume,
    }

    /// A fault of the platform.
    pub enum PlatformFault {
        /// Table and objects refuse everything without effect.
        Down,
        /// Each call to table and objects takes N milliseconds more; 200 when N is left out.
        Slow,
        /// The next N commits are made and their answers lost; 1 when N is left out.
        LoseAnswer,
        /// The next N commits (1 when N is left out) get no answer and are made when the
        /// fault ends.
        ApplyLate,
        /// The host list shows what was N milliseconds ago; 5,000 when N is left out.
        ListLag,
        /// The host list refuses.
        ListDown,
        /// The weight store refuses.
        WeightsDown,
    }
}

/// Every fault of a target, with the name that switches it.
pub(crate) const FAULTS: [(&str, Fault); 14] = [
    ("die", Fault::Die),
    ("restart", Fault::Restart),
    ("pause", Fault::Pause),
    ("slow", Fault::Slow),
    ("cut-after", Fault::CutAfter),
    ("late", Fault::Late),
    ("twice", Fault::Twice),
    ("wrong-id", Fault::WrongId),
    ("wrong-epoch", Fault::WrongEpoch),
    ("close-after-headers", Fault::CloseAfterHeaders),
    ("ignore-fences", Fault::IgnoreFences),
    ("refuse", Fault::Refuse),
    ("leaving", Fault::Leaving),
    ("no-resume", Fault::NoResume),
];

/// Every fault of the platform, with the name that switches it.
pub(crate) const PLATFORM_FAULTS: [(&str, PlatformFault); 7] = [
    ("down", PlatformFault::Down),
    ("slow", PlatformFault::Slow),
    ("lose-answer", PlatformFault::LoseAnswer),
    ("apply-late", PlatformFault::ApplyLate),
    ("list-lag", PlatformFault::ListLag),
    ("list-down", PlatformFault::ListDown),
    ("weights-down", PlatformFault::WeightsDown),
];

/// Finds a fault by its name.
pub(crate) fn by_name<F: Copy>(table: &[(&str, F)], name: &str) -> Option<F> {
    table
        .iter()
        .find(|(n, _)| *n == name)
        .map(|(_, fault)| *fault)
}

/// The faults switched on for one target or for the platform.
#[derive(Debug)]
pub(crate) struct FaultSet<F> {
    active: Mutex<BTreeMap<F, Active>>,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    /// `None` lasts until it is switched off.
    until: Option<Instant>,
    n: Option<u64>,
}

impl<F: Copy + Ord> FaultSet<F> {
    pub(crate) fn new() -> FaultSet<F> {
        FaultSet {
            active: Mutex::new(BTreeMap::new()),
        }
    }

    pub(crate) fn switch_on(&self, fault: F, time: Option<Duration>, n: Option<u64>) {
        let until = time.map(|time| Instant::now() + time);
        self.lock().insert(fault, Active { until, n });
    }

    pub(crate) fn switch_off(&self, fault: F) {
        self.lock().remove(&fault);
    }

    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    pub(crate) fn is_on(&self, fault: F) -> bool {
        self.get(fault).is_some()
    }

    /// The argument of `fault` while it is on, or `default` when it has none.
    pub(crate) fn argument(&self, fault: F, default: u64) -> Option<u64> {
        self.get(fault).map(|active| active.n.unwrap_or(default))
    }

    fn get(&self, fault: F) -> Option<Active> {
        let mut active = self.lock();
        let found = *active.get(&fault)?;
        if found.until.is_some_and(|until| until <= Instant::now()) {
            active.remove(&fault);
            return None;
        }
        Some(found)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<F, Active>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
