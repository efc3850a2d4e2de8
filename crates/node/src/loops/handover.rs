//! How long a leaving group or target still gets work while nothing else can take it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId};
use eelgrassmill_route::Candidate;

/// Longest time that a leaving candidate may stand in for one that is not there yet.
///
/// The planner needs two or three of its rounds to have a replacement whole
/// from spares that hold the weights. With the time that the word of the
/// leaving takes to get here, new work ends a few seconds after it was given.
const HANDOVER: Duration = Duration::from_secs(2);

/// Since when candidates are known to be leaving.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    /// Bounded by the groups and targets of the configurations seen.
    since: BTreeMap<GroupId, (Epoch, Instant)>,
}

impl Handover {
    /// Lets leaving candidates get work for a short time while there is no other.
    ///
    /// The word that a host is leaving comes before its replacement is formed.
    /// A service that obeyed it at once would refuse everything until then,
    /// though the host is still there and spares are too.
    pub(crate) fn apply(&mut self, candidates: &mut [Candidate], now: Instant) {
        for candidate in candidates.iter() {
            self.note(candidate, now);
        }
        if candidates.iter().any(|c| !c.leaving) {
            return;
        }
        for candidate in candidates {
            candidate.leaving = !self.may_stand_in(candidate, now);
        }
    }

    fn note(&mut self, candidate: &Candidate, now: Instant) {
        if !candidate.leaving {
            self.since.remove(&candidate.group);
            return;
        }
        let known = self.since.get(&candidate.group);
        if known.is_none_or(|(epoch, _)| *epoch != candidate.epoch) {
            let since = (candidate.epoch, now);
            self.since.insert(candidate.group.clone(), since);
        }
    }

    fn may_stand_in(&self, candidate: &Candidate, now: Instant) -> bool {
        let since = self.since.get(&candidate.group);
        since.is_some_and(|(_, since)| now.saturating_duration_since(*since) < HANDOVER)
    }
}
