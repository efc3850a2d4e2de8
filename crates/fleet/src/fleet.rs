//! What is known of all hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, FailureDomain, GroupId, HostId, value};
use smallvec::SmallVec;

use crate::cold::ColdStart;
use crate::host::Host;

/// How long a host whose entry vanished during an outage of the store is kept after the
/// store is back. The platform promises that live hosts are listed again within about 2 s.
const RELIST_TIME: Duration = Duration::from_millis(2000);

value! { wire
    /// A change of the host list.
    pub enum FleetChange {
        /// A host's entry is new or has changed.
        Put(Box<Host>),
        /// A host's entry is gone.
        Removed(HostId),
        /// The whole list was read anew; whoever isn't in it is gone.
        Snapshot(Vec<Host>),
    }

    /// A change of the failure domains whose hosts are to take nothing new.
    pub enum EvacuationChange {
        /// The operator evacuates a failure domain.
        Evacuated(FailureDomain),
        /// The operator cancels the evacuation.
        #[serde(rename = "TakenBack")]
        Cancelled(FailureDomain),
        /// All that are evacuated; the others are taken back.
        Snapshot(BTreeSet<FailureDomain>),
    }
}

value! {
    /// A replica as its members report it.
    pub struct Replica {
        /// Its name.
        pub id: GroupId,
        /// Its formation.
        pub epoch: Epoch,
        /// Members that are listed, by rank.
        pub members: SmallVec<[(usize, HostId); 8]>,
    }
}

/// The hosts that are listed, and those that are kept although they aren't.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    hosts: BTreeMap<HostId, Host>,
    /// Hosts whose entries vanished while the store was disturbed.
    missing: BTreeSet<HostId>,
    /// What the list last showed of hosts that have told something newer themselves.
    /// Invariant: these hosts are in `hosts`.
    outdated: BTreeMap<HostId, Host>,
    /// Failure domains whose hosts take nothing new; `None` until the operator's list was read.
    evacuated: Option<BTreeSet<FailureDomain>>,
    /// When failure domains were taken back: their hosts may have become cold meanwhile.
    taken_back: BTreeMap<FailureDomain, Instant>,
    /// Until when hosts are cold by their entries.
    cold_until: BTreeMap<HostId, Instant>,
    /// Until then a host that isn't listed may only have lapsed.
    lenient_until: Option<Instant>,
    loaded: bool,
}

impl Fleet {
    /// Whether the list was read at least once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether it is known which failure domains are evacuated.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuated.is_some()
    }

    /// The failure domains that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &FailureDomain> {
        self.evacuated.iter().flatten()
    }

    /// Whether a host takes new requests: it is ready and its failure domain isn't evacuated.
    pub fn takes_requests(&self, host: &Host) -> bool {
        let is_evacuated = self.evacuated().any(|d| *d == host.failure_domain);
        host.is_ready() && !is_evacuated
    }

    /// Takes a change of the evacuated failure domains. Whether it changed anything.
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
        let is_back = |domain: &&FailureDomain| !known.contains(*domain);
        let back = before.iter().flatten().filter(is_back).cloned();
        self.taken_back.extend(back.map(|domain| (domain, now)));
        self.evacuated != before
    }

    /// Until when a host counts as cold; `None` if nothing says that it is.
    pub fn cold_until(&self, host: &Host, cold: &ColdStart) -> Option<Instant> {
        let own = self.cold_until.get(&host.id).copied();
        let back = self.taken_back.get(&host.failure_domain);
        own.max(back.map(|at| *at + cold.duration))
    }

    /// The hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// A host by name.
    pub fn host(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// The entries as the list last showed them, without what hosts said of themselves later.
    pub fn listed(&self) -> impl Iterator<Item = &Host> {
        let listed = self
            .hosts
            .values()
            .filter(|h| !self.missing.contains(&h.id));
        listed.map(|h| self.outdated.get(&h.id).unwrap_or(h))
    }

    /// Notes that the store could not be reached or refused at `now`.
    ///
    /// Entries lapse while hosts can't write them, so the first lists after an outage
    /// lack hosts that are well. Without this every group would be given up at once.
    pub fn on_store_failure(&mut self, now: Instant) {
        self.lenient_until = Some(now + RELIST_TIME);
    }

    /// Takes a change. Gives the hosts that are gone.
    pub fn apply(&mut self, change: FleetChange, now: Instant) -> Vec<HostId> {
        match change {
            FleetChange::Put(host) => {
                self.missing.remove(&host.id);
                self.outdated.remove(&host.id);
                self.insert(*host, now);
                Vec::new()
            }
            FleetChange::Removed(id) => self.remove(id, now).into_iter().collect(),
            FleetChange::Snapshot(hosts) => self.replace(hosts, now),
        }
    }

    /// Drops hosts that were kept and are still missing. Gives those that are gone.
    pub fn expire(&mut self, now: Instant) -> Vec<HostId> {
        if self.missing.is_empty() || self.is_lenient(now) {
            return Vec::new();
        }
        let gone = std::mem::take(&mut self.missing);
        for id in &gone {
            self.forget(id);
        }
        gone.into_iter().collect()
    }

    /// Takes a host's own word, which is newer than its entry.
    pub fn apply_report(&mut self, host: Host) {
        if let Some(known) = self.hosts.get_mut(&host.id) {
            let listed = std::mem::replace(known, host);
            self.outdated.entry(listed.id.clone()).or_insert(listed);
        }
    }

    /// Takes a host's word that it left a formation.
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

    /// Takes an entry of the list read anew, unless it only repeats what a host's own word
    /// has made outdated.
    ///
    /// A host that can't reach the store keeps its entry of before for seconds. Each time
    /// the list was read anew, its replica would seem to have lost a member and be given
    /// up, though it serves.
    fn put_again(&mut self, entry: Host, now: Instant) {
        self.missing.remove(&entry.id);
        if self.outdated.get(&entry.id) == Some(&entry) {
            return;
        }
        self.outdated.remove(&entry.id);
        self.insert(entry, now);
    }

    fn insert(&mut self, entry: Host, now: Instant) {
        if self.hosts.get(&entry.id) == Some(&entry) {
            return;
        }
        if entry.cold_ms > 0 {
            let until = now + Duration::from_millis(entry.cold_ms);
            self.cold_until.insert(entry.id.clone(), until);
        } else {
            self.cold_until.remove(&entry.id);
        }
        self.hosts.insert(entry.id.clone(), entry);
    }

    fn forget(&mut self, id: &HostId) {
        self.cold_until.remove(id);
        self.hosts.remove(id);
        self.outdated.remove(id);
    }

    /// The replicas that hosts report, each with the members that are listed.
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

    fn is_lenient(&self, now: Instant) -> bool {
        self.lenient_until.is_some_and(|until| now < until)
    }

    fn remove(&mut self, id: HostId, now: Instant) -> Option<HostId> {
        if !self.hosts.contains_key(&id) {
            return None;
        }
        if self.is_lenient(now) {
            self.missing.insert(id);
            return None;
        }
        self.missing.remove(&id);
        self.forget(&id);
        Some(id)
    }

    fn replace(&mut self, hosts: Vec<Host>, now: Instant) -> Vec<HostId> {
        self.loaded = true;
        let listed: BTreeSet<HostId> = hosts.iter().map(|h| h.id.clone()).collect();
        for host in hosts {
            self.put_again(host, now);
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
