//! Known state of all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, HostId, value};
use smallvec::SmallVec;

use crate::cold::ColdStart;
use crate::host::{Host, HostState};
use crate::planner::EPOCHS_PER_TERM;
use crate::presence::{Departures, HostPresence};

/// How long hosts that are missing after a store outage are kept once the store is back. The
/// platform guarantees that live hosts are listed again within about 2 s.
const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2000);
/// How long removed hosts are remembered, so that an older copy of the list doesn't bring them back.
/// Entries of hosts that are gone expire within 4 s.
const REMOVAL_TTL: Duration = Duration::from_secs(60);

/// Most hosts that a node knows: more than any fleet has, few enough for a node's memory.
pub const MAX_HOSTS: usize = 30_000;

value! { wire
    /// A change to the host list.
    pub enum FleetChange {
        /// A host's entry was added or changed.
        Put(Box<Host>),
        /// A host's entry was removed.
        Removed(HostId),
        /// The full list; hosts that are not in it are gone.
        Snapshot(Vec<Host>),
    }

    /// A change to the set of evacuated failure domains, whose hosts take no new requests.
    pub enum EvacuationChange {
        /// The operator evacuated a failure domain.
        Evacuated(FailureDomain),
        /// The operator cancelled the evacuation.
        #[serde(rename = "TakenBack")]
        Cancelled(FailureDomain),
        /// All evacuated failure domains; evacuations of others are cancelled.
        Snapshot(BTreeSet<FailureDomain>),
    }
}

value! {
    /// A replica as its members report it.
    pub struct Replica {
        /// Its name.
        pub id: GroupId,
        /// Epoch of its formation.
        pub epoch: Epoch,
        /// Listed members, by rank.
        pub members: SmallVec<[(usize, HostId); 8]>,
    }
}

/// The listed hosts, and unlisted ones that are kept after a store outage.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    /// Hosts whose entries went missing during or just after a store outage.
    missing: BTreeSet<HostId>,
    /// Last listed entries of hosts whose own reports are newer. Invariant: these hosts are in
    /// `hosts`.
    superseded: BTreeMap<HostId, Host>,
    /// Evacuated failure domains; `None` until the operator's list was read.
    evacuated: Option<BTreeSet<FailureDomain>>,
    /// When the evacuation of failure domains ended: their hosts may have become cold meanwhile.
    evacuation_ended: BTreeMap<FailureDomain, Instant>,
    /// Until when hosts are cold according to their entries.
    cold_until: BTreeMap<HostId, Instant>,
    departures: Departures,
    /// Starts of hosts whose answers say that they leave, whatever their entries say.
    leaving: BTreeMap<HostId, u64>,
    /// Starts of hosts that were removed, and when.
    removed: BTreeMap<HostId, (u64, Instant)>,
    /// End of the grace period in which missing hosts are kept.
    grace_until: Option<Instant>,
    loaded: bool,
}

impl Fleet {
    /// Whether the list was read at least once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether the set of evacuated failure domains is known.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuated.is_some()
    }

    /// The evacuated failure domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &FailureDomain> {
        self.evacuated.iter().flatten()
    }

    /// Whether a host takes new requests: it is ready and its failure domain isn't evacuated.
    pub fn takes_requests(&self, host: &Host) -> bool {
        let is_evacuated = self.evacuated().any(|d| *d == host.failure_domain);
        host.is_ready() && !is_evacuated
    }

    /// Applies a change to the evacuated failure domains; returns whether it had any effect.
    pub fn apply_evacuation(&mut self, change: EvacuationChange, now: Instant) -> bool {
        let before = self.evacuated.clone();
        let known = self.evacuated.get_or_insert_default();
        match change {
            EvacuationChange::Evacuated(domain) => {
                known.insert(domain);
            }
            EvacuationChange::Cancelled(domain) => {
                known.remove(&domain);
            }
            EvacuationChange::Snapshot(domains) => *known = domains,
        }
        let is_ended = |domain: &&FailureDomain| !known.contains(*domain);
        let ended = before.iter().flatten().filter(is_ended).cloned();
        self.evacuation_ended
            .extend(ended.map(|domain| (domain, now)));
        self.evacuated != before
    }

    /// Until when a host counts as cold; `None` if it isn't known to be cold.
    pub fn cold_until(&self, host: &Host, cold: &ColdStart) -> Option<Instant> {
        let own = self.cold_until.get(&host.id).copied();
        let ended = self.evacuation_ended.get(&host.failure_domain);
        own.max(ended.map(|at| *at + cold.duration))
    }

    /// The hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// A host by name.
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// What the list says of the start of a host at `started_ms`, 0 if unknown.
    ///
    /// Hosts that are missing after a store outage still count as listed.
    pub fn presence(&self, id: &str, started_ms: u64) -> HostPresence {
        if self.departures.has_left(id, started_ms) {
            return HostPresence::Left;
        }
        match self.hosts.get(id) {
            None => HostPresence::Vanished,
            Some(host) if !host.is_same_start(started_ms) => HostPresence::Restarted,
            Some(_) => HostPresence::Listed,
        }
    }

    /// The entries as last listed, ignoring newer reports of the hosts themselves.
    pub fn listed(&self) -> impl Iterator<Item = &Host> {
        let listed = self
            .hosts
            .values()
            .filter(|h| !self.missing.contains(&h.id));
        listed.map(|h| self.superseded.get(&h.id).unwrap_or(h))
    }

    /// Records that the store was unreachable or rejected a request at `now`.
    ///
    /// Entries expire while hosts can't write them, so the first lists after an outage lack healthy
    /// hosts. Without the grace period that this starts, all replicas would be dissolved at once.
    pub fn on_store_failure(&mut self, now: Instant) {
        self.grace_until = Some(now + RELIST_GRACE_PERIOD);
    }

    /// Applies a change and returns the hosts that are gone.
    pub fn apply(&mut self, change: FleetChange, now: Instant) -> Vec<HostId> {
        match change {
            FleetChange::Put(host) => {
                let host = self.with_answers(*host);
                self.missing.remove(&host.id);
                self.superseded.remove(&host.id);
                self.insert(host, now);
                Vec::new()
            }
            FleetChange::Removed(id) => self.remove(id, now).into_iter().collect(),
            FleetChange::Snapshot(hosts) => self.apply_snapshot(hosts, now),
        }
    }

    /// Applies the full list of a store that has just come back from an older copy.
    ///
    /// The copy may lack hosts, show entries from before the last ones, and list hosts that are gone.
    /// Hosts write their entries again; until then, only what can't be older is applied.
    pub fn apply_restored(&mut self, hosts: Vec<Host>, now: Instant) {
        if !self.loaded {
            self.apply_snapshot(hosts, now);
            return;
        }
        for entry in hosts {
            let is_newer = match (self.hosts.get(&entry.id), self.removed.get(&entry.id)) {
                (Some(known), _) => entry.is_newer_than(known),
                (None, Some((started_ms, _))) => entry.started_ms > *started_ms,
                (None, None) => true,
            };
            if is_newer {
                self.apply_listed(entry, now);
            }
        }
    }

    /// Removes hosts that are still missing after the grace period, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<HostId> {
        if self.missing.is_empty() || self.in_grace_period(now) {
            return Vec::new();
        }
        let gone = std::mem::take(&mut self.missing);
        for id in &gone {
            self.discard(id, now);
        }
        gone.into_iter().collect()
    }

    /// Records that an answer of a host, which started at `started_ms`, said that it leaves. Its
    /// entries count as leaving from now on. Returns whether that is news.
    pub fn on_leaving(&mut self, id: &str, started_ms: u64, now: Instant) -> bool {
        let same = |h: &&mut Host| h.is_same_start(started_ms);
        let Some(host) = self.hosts.get_mut(id).filter(same) else {
            return false;
        };
        self.leaving.insert(host.id.clone(), started_ms);
        let is_news = host.is_ready();
        host.state = HostState::Leaving;
        self.departures.on_listed(host, now);
        if let Some(listed) = self.superseded.get_mut(id).filter(same) {
            listed.state = HostState::Leaving;
        }
        is_news
    }

    /// The entry of a host, which counts as leaving if an answer of this start of it said so.
    fn with_answers(&mut self, mut entry: Host) -> Host {
        if let Some(started_ms) = self.leaving.get(&entry.id) {
            if entry.is_same_start(*started_ms) {
                entry.state = HostState::Leaving;
            } else {
                self.leaving.remove(&entry.id);
            }
        }
        entry
    }

    /// Applies a host's own report, which is newer than its entry.
    pub fn apply_report(&mut self, host: Host) {
        if let Some(known) = self.hosts.get_mut(&host.id) {
            let listed = std::mem::replace(known, host);
            self.superseded.entry(listed.id.clone()).or_insert(listed);
        }
    }

    /// Applies a host's confirmation that it left a formation.
    pub fn clear_membership(&mut self, id: &str, replica: &str, epoch: Epoch) {
        let known = self.hosts.get(id);
        let member = known.filter(|h| h.belongs_to(replica, epoch)).cloned();
        if let Some(host) = member {
            self.apply_report(Host {
                membership: None,
                ..host
            });
        }
    }

    /// Applies an entry of a full list, unless it only repeats an entry that the host's own report
    /// supersedes.
    ///
    /// A host that can't reach the store keeps its stale entry for seconds. Each time the list was
    /// read, its replica would seem to have lost a member and be dissolved while it serves.
    fn apply_listed(&mut self, entry: Host, now: Instant) {
        let entry = self.with_answers(entry);
        self.missing.remove(&entry.id);
        if self.superseded.get(&entry.id) == Some(&entry) {
            return;
        }
        self.superseded.remove(&entry.id);
        self.insert(entry, now);
    }

    /// The highest term of a planner, up to `most`, whose replicas hosts belong to; 0 if there is none.
    pub fn highest_term(&self, most: u64) -> u64 {
        let memberships = self.hosts.values().filter_map(|h| h.membership.as_ref());
        let terms = memberships.map(|m| m.epoch / EPOCHS_PER_TERM);
        terms.filter(|term| *term <= most).max().unwrap_or_default()
    }

    fn insert(&mut self, entry: Host, now: Instant) {
        let known = self.hosts.get(&entry.id);
        if known == Some(&entry) || known.is_none() && self.hosts.len() >= MAX_HOSTS {
            return;
        }
        if entry.cold_ms > 0 {
            let until = now + Duration::from_millis(entry.cold_ms);
            self.cold_until.insert(entry.id.clone(), until);
        } else {
            self.cold_until.remove(&entry.id);
        }
        self.departures.on_listed(&entry, now);
        self.removed.remove(&entry.id);
        self.hosts.insert(entry.id.clone(), entry);
    }

    fn discard(&mut self, id: &HostId, now: Instant) {
        self.departures.on_removed(id, now);
        self.cold_until.remove(id);
        self.leaving.remove(id);
        if let Some(host) = self.hosts.remove(id) {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < REMOVAL_TTL;
            self.removed.retain(|_, (_, at)| is_recent(*at));
            self.removed.insert(host.id, (host.started_ms, now));
        }
        self.superseded.remove(id);
    }

    /// The replicas that hosts report, each with its listed members.
    pub fn replicas(&self) -> Vec<Replica> {
        let mut found: BTreeMap<(GroupId, Epoch), Replica> = BTreeMap::new();
        for host in self.hosts.values() {
            let Some(m) = &host.membership else { continue };
            let key = (m.replica.clone(), m.epoch);
            let replica = found.entry(key).or_insert_with(|| Replica {
                id: m.replica.clone(),
                epoch: m.epoch,
                members: SmallVec::new(),
            });
            replica.members.push((m.rank, host.id.clone()));
        }
        let mut replicas: Vec<Replica> = found.into_values().collect();
        for replica in &mut replicas {
            replica.members.sort_unstable();
        }
        replicas
    }

    fn in_grace_period(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }

    fn remove(&mut self, id: HostId, now: Instant) -> Option<HostId> {
        if !self.hosts.contains_key(&id) {
            return None;
        }
        if self.in_grace_period(now) {
            self.missing.insert(id);
            return None;
        }
        self.missing.remove(&id);
        self.discard(&id, now);
        Some(id)
    }

    fn apply_snapshot(&mut self, hosts: Vec<Host>, now: Instant) -> Vec<HostId> {
        self.loaded = true;
        let listed: BTreeSet<HostId> = hosts.iter().map(|h| h.id.clone()).collect();
        for host in hosts {
            self.apply_listed(host, now);
        }
        let unlisted: Vec<HostId> = self
            .hosts
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        unlisted
            .into_iter()
            .filter_map(|id| self.remove(id, now))
            .collect()
    }
}
