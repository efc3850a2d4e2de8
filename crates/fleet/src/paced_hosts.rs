//! Paces of the hosts among which one node chooses by itself: plain hosts, and heads while no
//! scheduler answers.
//!
//! Each node judges hosts by its own answers, so a host that only some nodes see as slow keeps the
//! requests of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{HostId, value};

use crate::pace::{HostPace, PaceChange, PaceSummary, Preference, SentRequest, judge};

/// How often hosts are compared with each other.
const JUDGE_INTERVAL: Duration = Duration::from_millis(20);

value! {
    /// A host that could run a request.
    pub struct PacedHost {
        /// The host.
        pub host: HostId,
        /// Its start time or epoch: what is known of a host is forgotten when it changes.
        pub incarnation: u64,
        /// This node's part of its slots, at least 1.
        pub slots: usize,
        /// This node's part of the requests that it takes while it is cold; set while it is.
        pub cold_limit: Option<usize>,
    }
}

#[derive(Clone, Debug)]
struct Known {
    incarnation: u64,
    slots: usize,
    pace: HostPace,
}

/// Paces of the hosts that can run the same requests.
#[derive(Clone, Debug, Default)]
pub struct PacedHosts {
    hosts: BTreeMap<HostId, Known>,
    /// Number of requests that were sent to them.
    sent: u64,
    judged_at: Option<Instant>,
}

impl PacedHosts {
    /// Updates the list of hosts and compares them with each other.
    ///
    /// Hosts that are listed at the first call are taken as warm, and later ones as just started.
    pub fn observe(&mut self, listed: &[PacedHost], now: Instant) {
        let is_first = self.judged_at.is_none();
        for host in listed {
            match self.hosts.get_mut(&host.host) {
                Some(known) if known.incarnation == host.incarnation => known.slots = host.slots,
                Some(known) => {
                    known.incarnation = host.incarnation;
                    known.slots = host.slots;
                    known.pace.restart(host.slots, host.cold_limit);
                }
                None => {
                    let pace = if is_first {
                        HostPace::default()
                    } else {
                        HostPace::opened(host.slots, host.cold_limit)
                    };
                    let known = Known {
                        incarnation: host.incarnation,
                        slots: host.slots,
                        pace,
                    };
                    self.hosts.insert(host.host.clone(), known);
                }
            }
        }
        if self.hosts.len() > listed.len() {
            let listed: BTreeSet<&HostId> = listed.iter().map(|h| &h.host).collect();
            self.hosts.retain(|host, _| listed.contains(host));
        }
        let is_recent = |at| now.saturating_duration_since(at) < JUDGE_INTERVAL;
        if !self.judged_at.is_some_and(is_recent) {
            self.judged_at = Some(now);
            let paces = self.hosts.values_mut().map(|k| (&mut k.pace, k.slots));
            judge(paces, self.sent, now);
        }
    }

    /// How much a host is wanted for a request, which may be a trial if `may_try`, and how many
    /// times slower than the others it is.
    pub fn preference(&self, host: &str, may_try: bool, now: Instant) -> (Preference, f64) {
        let known = self.hosts.get(host);
        known.map_or((Preference::Normal, 1.0), |known| {
            let preference = known.pace.preference(may_try, self.sent, now);
            (preference, known.pace.slowdown(now))
        })
    }

    /// Records that a request is sent to a host: its first event, or its response if that is no
    /// stream, is predicted to take `expected` and is late after `objective`. `None` if the host is
    /// unknown.
    pub fn on_sent(
        &mut self,
        host: &str,
        expected: Duration,
        objective: Duration,
        now: Instant,
    ) -> Option<SentRequest> {
        let known = self.hosts.get_mut(host)?;
        self.sent += 1;
        Some(known.pace.on_sent(expected, objective, self.sent, now))
    }

    /// Records the first event of a request, or its response if that is no stream.
    pub fn on_first_event(&mut self, host: &str, request: SentRequest, now: Instant) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.pace.on_first_event(request, now);
        }
    }

    /// Records an event of a stream, `gap` after the one before; see [`HostPace::on_event_gap`].
    pub fn on_event_gap(
        &mut self,
        host: &str,
        request: SentRequest,
        [gap, expected, permitted]: [Duration; 3],
        now: Instant,
    ) {
        if let Some(known) = self.hosts.get_mut(host) {
            known
                .pace
                .on_event_gap(request, gap, expected, permitted, now);
        }
    }

    /// Records that a host rejected a request, failed it or let it time out.
    pub fn on_failed(&mut self, host: &str, request: SentRequest) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.pace.on_failed(request, known.slots, true);
        }
    }

    /// Records the end of a request, whether it was answered or given up.
    pub fn on_end(&mut self, host: &str, request: SentRequest, now: Instant) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.pace.on_end(request, now);
        }
    }

    /// Number of hosts whose load is limited by their pace.
    pub fn summary(&self) -> PaceSummary {
        PaceSummary::of(self.hosts.values().map(|known| &known.pace))
    }

    /// Changes of paces since the last call.
    pub fn take_changes(&mut self) -> Vec<(HostId, PaceChange)> {
        let hosts = self.hosts.iter_mut();
        hosts
            .flat_map(|(host, known)| {
                let changes = known.pace.take_changes().into_iter();
                changes.map(|change| (host.clone(), change))
            })
            .collect()
    }
}
