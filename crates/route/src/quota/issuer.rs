//! The issuer's side of the quota protocol.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId};
use smallvec::SmallVec;

use crate::queue::Slots;
use crate::quota::{QUOTA_CLOCK_MARGIN, QUOTA_TERM, QuotaDemand, QuotaGrant, fallback_share};

#[derive(Debug)]
struct Outstanding {
    seq: u64,
    slots: Slots,
    expires_at: Instant,
}

#[derive(Debug)]
struct EntryState {
    last_demand: Instant,
    last_seq: u64,
    running: Slots,
    waiting: Slots,
    /// Unexpired grants, any of which the entry may be using.
    outstanding: SmallVec<[Outstanding; 4]>,
}

impl EntryState {
    fn new(now: Instant) -> EntryState {
        EntryState {
            last_demand: now,
            last_seq: 0,
            running: Slots::NONE,
            waiting: Slots::NONE,
            outstanding: SmallVec::new(),
        }
    }

    /// Returns the most the entry may have running, whichever grants it received.
    fn committed(&self) -> Slots {
        let mut most = self.running;
        for grant in &self.outstanding {
            most.normal = most.normal.max(grant.slots.normal);
            most.urgent = most.urgent.max(grant.slots.urgent);
        }
        most
    }

    /// Returns the slots it could use. At least one urgent slot even if idle: an urgent
    /// request must not wait for a round trip to the issuer.
    fn demand(&self) -> Slots {
        Slots {
            normal: self.running.normal + self.waiting.normal,
            urgent: (self.running.urgent + self.waiting.urgent).max(1),
        }
    }
}

/// Shares the slots of one epoch of one group among the entries.
///
/// Invariant: per kind, the committed slots of all entries and the reserved shares
/// together exceed the group's slots only if an entry runs more than it was granted;
/// no grant adds to that.
#[derive(Debug)]
pub struct QuotaIssuer {
    issuer: NodeId,
    group: GroupId,
    epoch: Epoch,
    slots: Slots,
    /// Entries that may send to the group.
    entries: Vec<NodeId>,
    started: Instant,
    states: BTreeMap<(NodeId, Incarnation), EntryState>,
}

impl QuotaIssuer {
    /// Creates an issuer that starts at `now`.
    ///
    /// It grants nothing during the first term and margin, while grants of a
    /// previous issuer may still be in use.
    pub fn new(
        issuer: NodeId,
        group: GroupId,
        epoch: Epoch,
        slots: Slots,
        entries: impl IntoIterator<Item = NodeId>,
        now: Instant,
    ) -> QuotaIssuer {
        QuotaIssuer {
            issuer,
            group,
            epoch,
            slots,
            entries: entries.into_iter().collect(),
            started: now,
            states: BTreeMap::new(),
        }
    }

    /// Sets the slots to share, as configured or as measured on the group.
    pub fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Sets the entries that may send to the group.
    pub fn set_entries(&mut self, entries: impl IntoIterator<Item = NodeId>) {
        self.entries = entries.into_iter().collect();
    }

    /// Answers a demand; returns `None` if it is late, a duplicate or for another epoch.
    pub fn on_demand(&mut self, demand: &QuotaDemand, now: Instant) -> Option<QuotaGrant> {
        if demand.group != self.group || demand.epoch != self.epoch {
            return None;
        }
        self.remove_expired(now);
        let key = (demand.entry.clone(), demand.incarnation);
        let state = self
            .states
            .entry(key.clone())
            .or_insert_with(|| EntryState::new(now));
        if demand.seq <= state.last_seq {
            return None;
        }
        state.last_demand = now;
        state.last_seq = demand.seq;
        state.running = demand.running;
        state.waiting = demand.waiting;
        state.outstanding.retain(|g| g.seq >= demand.held_seq);
        if now.saturating_duration_since(self.started) < QUOTA_TERM + QUOTA_CLOCK_MARGIN {
            return None;
        }
        let slots = self.allocate(&key, now);
        Some(self.grant(demand, &key, slots, now))
    }

    fn grant(
        &mut self,
        demand: &QuotaDemand,
        key: &(NodeId, Incarnation),
        slots: Slots,
        now: Instant,
    ) -> QuotaGrant {
        if let Some(state) = self.states.get_mut(key) {
            state.outstanding.push(Outstanding {
                seq: demand.seq,
                slots,
                expires_at: now + QUOTA_TERM + QUOTA_CLOCK_MARGIN,
            });
        }
        QuotaGrant {
            issuer: self.issuer.clone(),
            entry: demand.entry.clone(),
            incarnation: demand.incarnation,
            group: self.group.clone(),
            epoch: self.epoch,
            seq: demand.seq,
            slots,
            term: QUOTA_TERM,
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let silent = |last_demand: Instant| {
            now.saturating_duration_since(last_demand) >= QUOTA_TERM + QUOTA_CLOCK_MARGIN
        };
        for state in self.states.values_mut() {
            state.outstanding.retain(|g| now < g.expires_at);
        }
        self.states
            .retain(|_, a| !silent(a.last_demand) || !a.outstanding.is_empty());
    }

    /// Returns the entry's fair share, capped by what is not committed to others.
    fn allocate(&self, key: &(NodeId, Incarnation), now: Instant) -> Slots {
        let reserved = self.reserved(now);
        let allocate_kind = |total: u32, reserved: u32, kind: fn(Slots) -> u32| {
            let pool = total.saturating_sub(reserved);
            let demands: SmallVec<[u32; 16]> =
                self.states.values().map(|a| kind(a.demand())).collect();
            let index = self.states.keys().position(|k| k == key).unwrap_or(0);
            let fair = fair_shares(pool, &demands).get(index).copied().unwrap_or(0);
            let others = self.states.iter().filter(|(k, _)| *k != key);
            let committed: u32 = others.map(|(_, a)| kind(a.committed())).sum();
            fair.min(pool.saturating_sub(committed))
        };
        Slots {
            normal: allocate_kind(self.slots.normal, reserved.normal, |s| s.normal),
            urgent: allocate_kind(self.slots.urgent, reserved.urgent, |s| s.urgent),
        }
    }

    /// Returns the slots reserved for listed entries whose grant has expired or will expire
    /// soon, and which then use their fallback share.
    fn reserved(&self, now: Instant) -> Slots {
        let share = fallback_share(self.slots, self.entries.len() as u32);
        let max_age = QUOTA_TERM / 2;
        let fresh = |a: &EntryState| now.saturating_duration_since(a.last_demand) < max_age;
        let has_recent_demand = |entry: &NodeId| {
            let first = (entry.clone(), Incarnation::MIN);
            let last = (entry.clone(), Incarnation::MAX);
            self.states.range(first..=last).any(|(_, a)| fresh(a))
        };
        let silent = self
            .entries
            .iter()
            .filter(|e| !has_recent_demand(e))
            .count() as u32;
        Slots {
            normal: share.normal * silent,
            urgent: share.urgent * silent,
        }
    }
}

/// Returns max-min fair shares of `pool`; the excess over all demands is spread evenly.
fn fair_shares(pool: u32, demands: &[u32]) -> SmallVec<[u32; 16]> {
    let mut shares: SmallVec<[u32; 16]> = SmallVec::from_elem(0, demands.len());
    let mut order: SmallVec<[usize; 16]> = (0..demands.len()).collect();
    order.sort_by_key(|i| (demands[*i], *i));
    let mut left = pool;
    for (done, i) in order.iter().enumerate() {
        let rest = (demands.len() - done) as u32;
        let share = demands[*i].min(left.div_ceil(rest));
        shares[*i] = share;
        left -= share;
    }
    let count = demands.len().max(1) as u32;
    for (i, share) in shares.iter_mut().enumerate() {
        *share += left / count + u32::from((i as u32) < left % count);
    }
    shares
}
