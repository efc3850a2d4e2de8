//! The watcher's side of quotas.

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
    until: Instant,
}

#[derive(Debug)]
struct Asker {
    heard: Instant,
    last_seq: u64,
    running: Slots,
    waiting: Slots,
    /// Grants that the entry may be using.
    outstanding: SmallVec<[Outstanding; 4]>,
}

impl Asker {
    fn new(now: Instant) -> Asker {
        Asker {
            heard: now,
            last_seq: 0,
            running: Slots::NONE,
            waiting: Slots::NONE,
            outstanding: SmallVec::new(),
        }
    }

    /// What the entry may have running at most, whichever answers it got.
    fn committed(&self) -> Slots {
        let mut most = self.running;
        for grant in &self.outstanding {
            most.normal = most.normal.max(grant.slots.normal);
            most.urgent = most.urgent.max(grant.slots.urgent);
        }
        most
    }

    /// What it could use. One urgent slot even when idle: an urgent request
    /// must not wait for a round trip to the issuer.
    fn demand(&self) -> Slots {
        Slots {
            normal: self.running.normal + self.waiting.normal,
            urgent: (self.running.urgent + self.waiting.urgent).max(1),
        }
    }
}

/// Shares the slots of one epoch of one group among the entries.
///
/// Invariant: per kind, the committed slots of all entries, and the parts held
/// back, exceed the group's slots only where an entry runs more than it was
/// granted; no grant adds to that.
#[derive(Debug)]
pub struct QuotaIssuer {
    issuer: NodeId,
    group: GroupId,
    epoch: Epoch,
    slots: Slots,
    /// Entries that may send to the group.
    entries: Vec<NodeId>,
    started: Instant,
    askers: BTreeMap<(NodeId, Incarnation), Asker>,
}

impl QuotaIssuer {
    /// An issuer that begins at `now`.
    ///
    /// It grants nothing during the first term and margin, in which grants of a
    /// former issuer may still be in use.
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
            askers: BTreeMap::new(),
        }
    }

    /// Changes the slots to share, from the text or from what the group measures.
    pub fn set_slots(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Changes the entries that may send to the group.
    pub fn set_entries(&mut self, entries: impl IntoIterator<Item = NodeId>) {
        self.entries = entries.into_iter().collect();
    }

    /// Answers a demand; nothing for one that is late, doubled or for another epoch.
    pub fn on_demand(&mut self, demand: &QuotaDemand, now: Instant) -> Option<QuotaGrant> {
        if demand.group != self.group || demand.epoch != self.epoch {
            return None;
        }
        self.drop_lapsed(now);
        let key = (demand.entry.clone(), demand.incarnation);
        let asker = self
            .askers
            .entry(key.clone())
            .or_insert_with(|| Asker::new(now));
        if demand.seq <= asker.last_seq {
            return None;
        }
        asker.heard = now;
        asker.last_seq = demand.seq;
        asker.running = demand.running;
        asker.waiting = demand.waiting;
        asker.outstanding.retain(|g| g.seq >= demand.held_seq);
        if now.saturating_duration_since(self.started) < QUOTA_TERM + QUOTA_CLOCK_MARGIN {
            return None;
        }
        let slots = self.decide(&key, now);
        Some(self.grant(demand, &key, slots, now))
    }

    fn grant(
        &mut self,
        demand: &QuotaDemand,
        key: &(NodeId, Incarnation),
        slots: Slots,
        now: Instant,
    ) -> QuotaGrant {
        if let Some(asker) = self.askers.get_mut(key) {
            asker.outstanding.push(Outstanding {
                seq: demand.seq,
                slots,
                until: now + QUOTA_TERM + QUOTA_CLOCK_MARGIN,
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

    fn drop_lapsed(&mut self, now: Instant) {
        let silent = |heard: Instant| {
            now.saturating_duration_since(heard) >= QUOTA_TERM + QUOTA_CLOCK_MARGIN
        };
        for asker in self.askers.values_mut() {
            asker.outstanding.retain(|g| now < g.until);
        }
        self.askers
            .retain(|_, a| !silent(a.heard) || !a.outstanding.is_empty());
    }

    /// The asker's fair share, cut to what others don't hold.
    fn decide(&self, key: &(NodeId, Incarnation), now: Instant) -> Slots {
        let held_back = self.held_back(now);
        let decide_kind = |total: u32, back: u32, kind: fn(Slots) -> u32| {
            let pool = total.saturating_sub(back);
            let demands: SmallVec<[u32; 16]> =
                self.askers.values().map(|a| kind(a.demand())).collect();
            let at = self.askers.keys().position(|k| k == key).unwrap_or(0);
            let fair = fair_shares(pool, &demands).get(at).copied().unwrap_or(0);
            let others = self.askers.iter().filter(|(k, _)| *k != key);
            let committed: u32 = others.map(|(_, a)| kind(a.committed())).sum();
            fair.min(pool.saturating_sub(committed))
        };
        Slots {
            normal: decide_kind(self.slots.normal, held_back.normal, |s| s.normal),
            urgent: decide_kind(self.slots.urgent, held_back.urgent, |s| s.urgent),
        }
    }

    /// Parts of the listed entries that hold no grant, or will soon hold none, and then
    /// use their fallback.
    fn held_back(&self, now: Instant) -> Slots {
        let part = fallback_share(self.slots, self.entries.len() as u32);
        let term = QUOTA_TERM / 2;
        let fresh = |a: &Asker| now.saturating_duration_since(a.heard) < term;
        let heard = |entry: &NodeId| {
            let first = (entry.clone(), Incarnation::MIN);
            let last = (entry.clone(), Incarnation::MAX);
            self.askers.range(first..=last).any(|(_, a)| fresh(a))
        };
        let silent = self.entries.iter().filter(|e| !heard(e)).count() as u32;
        Slots {
            normal: part.normal * silent,
            urgent: part.urgent * silent,
        }
    }
}

/// Max-min fair shares of `pool`; what nobody wants is spread evenly as headroom.
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
