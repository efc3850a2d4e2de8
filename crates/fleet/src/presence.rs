//! What the host list says of a host that was used before.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::host::Host;

/// How long a host that was leaving is remembered after it was last listed: longer than responses
/// take.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

value! { copy
    /// What the host list says of one start of a host.
    pub enum HostPresence {
        /// It is listed.
        Listed,
        /// It announced that it leaves.
        Left,
        /// The list shows a later start of it, and it had not announced that it leaves.
        Restarted,
        /// Its entry was removed, and it had not announced that it leaves.
        Vanished,
    }
}

/// Hosts that announced that they leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// Start time of the host, and when it was last listed.
    leaving: BTreeMap<HostId, (u64, Instant)>,
}

impl Departures {
    /// Records an entry.
    pub(crate) fn on_listed(&mut self, host: &Host, now: Instant) {
        if !host.is_ready() {
            self.leaving.insert(host.id.clone(), (host.started_ms, now));
        } else if self.has_left(&host.id, host.started_ms) {
            self.leaving.remove(&host.id);
        }
    }

    /// Records that a host's entry was removed.
    pub(crate) fn on_removed(&mut self, id: &HostId, now: Instant) {
        if let Some((_, last_listed)) = self.leaving.get_mut(id) {
            *last_listed = now;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DEPARTURE_TTL;
        self.leaving.retain(|_, (_, at)| is_recent(*at));
    }

    /// Whether this start of a host announced that it leaves.
    pub(crate) fn has_left(&self, id: &str, started_ms: u64) -> bool {
        self.leaving
            .get(id)
            .is_some_and(|(left_ms, _)| *left_ms == started_ms)
    }
}
