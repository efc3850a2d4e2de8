//! Quotas of this node: those that it holds as an entry and issues as a watcher.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId};
use eelgrassmill_route::{
    QuotaDemand, QuotaGrant, QuotaHolder, QuotaIssuer, Slots, fallback_share,
};

/// What a group has to share, and among whom.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) slots: Slots,
    pub(crate) entries: Arc<[NodeId]>,
    /// The watcher that issues its quotas.
    pub(crate) issuer: NodeId,
}

/// Time between two demands for a group at which this entry runs nothing.
///
/// Invariant: with a round of asking more, less than the half term after which an
/// issuer holds a silent entry's part back, and so takes it from the others.
const IDLE_PERIOD: Duration = Duration::from_millis(700);
/// Up to so many entries, all ask at every round. There an idle entry holds slots, and
/// gives them back with its next two demands.
const FEW_ENTRIES: usize = 12;

/// What was last asked for a group.
struct Asked {
    at: Instant,
    issuer: NodeId,
    epoch: Epoch,
    busy: bool,
}

/// Quotas held and issued here.
pub(crate) struct Quotas {
    me: NodeId,
    incarnation: Incarnation,
    /// By group, with the epoch that each is for.
    holders: BTreeMap<GroupId, (Epoch, QuotaHolder)>,
    issuers: BTreeMap<GroupId, (Epoch, QuotaIssuer)>,
    asked: BTreeMap<GroupId, Asked>,
}

impl Quotas {
    pub(crate) fn new(me: NodeId, incarnation: Incarnation) -> Quotas {
        Quotas {
            me,
            incarnation,
            holders: BTreeMap::new(),
            issuers: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Drops what belongs to groups that are gone.
    pub(crate) fn retain(&mut self, known: impl Fn(&GroupId) -> bool) {
        self.holders.retain(|group, _| known(group));
        self.issuers.retain(|group, _| known(group));
        self.asked.retain(|group, _| known(group));
    }

    /// What this entry may have running at a group.
    pub(crate) fn current(&self, group: &str, epoch: Epoch, now: Instant) -> Option<Slots> {
        let (held_for, holder) = self.holders.get(group)?;
        (*held_for == epoch).then(|| holder.quota(now))
    }

    /// Whether to ask for a group in this round.
    ///
    /// Among hundreds of entries almost every one runs nothing at almost every group.
    /// All of them asking at every round would be the largest part of a node's traffic.
    pub(crate) fn is_due(
        &self,
        shared: &Shared,
        running: Slots,
        waiting: Slots,
        now: Instant,
    ) -> bool {
        if shared.entries.len() <= FEW_ENTRIES || is_busy(running, waiting) {
            return true;
        }
        let Some(last) = self.asked.get(&shared.group) else {
            return true;
        };
        let holder = self.holders.get(&shared.group);
        let granted = holder.is_some_and(|(_, holder)| holder.has_grant(now));
        last.busy
            || !granted
            || last.issuer != shared.issuer
            || last.epoch != shared.epoch
            || now.saturating_duration_since(last.at) >= IDLE_PERIOD
    }

    /// The next demand of this entry for a group.
    pub(crate) fn ask(
        &mut self,
        shared: &Shared,
        running: Slots,
        waiting: Slots,
        now: Instant,
    ) -> QuotaDemand {
        let asked = Asked {
            at: now,
            issuer: shared.issuer.clone(),
            epoch: shared.epoch,
            busy: is_busy(running, waiting),
        };
        self.asked.insert(shared.group.clone(), asked);
        let entries = shared.entries.len().max(1) as u32;
        let fresh = || {
            let holder = QuotaHolder::new(
                self.me.clone(),
                self.incarnation,
                shared.group.clone(),
                shared.epoch,
                shared.slots,
                entries,
            );
            (shared.epoch, holder)
        };
        let held = self.holders.entry(shared.group.clone());
        let (held_for, holder) = held.or_insert_with(fresh);
        if *held_for != shared.epoch {
            (*held_for, *holder) = fresh();
        }
        holder.set_capacity(shared.slots, entries);
        holder.set_issuer(&shared.issuer);
        holder.next_demand(running, waiting, now)
    }

    /// Takes a grant for this entry.
    pub(crate) fn on_grant(&mut self, grant: &QuotaGrant) {
        if let Some((_, holder)) = self.holders.get_mut(&grant.group) {
            holder.on_grant(grant);
        }
    }

    /// Answers a demand as the group's issuer; nothing where this node isn't that.
    pub(crate) fn issue(
        &mut self,
        shared: &Shared,
        demand: &QuotaDemand,
        now: Instant,
    ) -> Option<QuotaGrant> {
        if shared.issuer != self.me {
            self.issuers.remove(&shared.group);
            return None;
        }
        let fresh = || {
            let issuer = QuotaIssuer::new(
                self.me.clone(),
                shared.group.clone(),
                shared.epoch,
                shared.slots,
                shared.entries.iter().cloned(),
                now,
            );
            (shared.epoch, issuer)
        };
        let issued = self.issuers.entry(shared.group.clone());
        let (issued_for, issuer) = issued.or_insert_with(fresh);
        if *issued_for != shared.epoch {
            (*issued_for, *issuer) = fresh();
        }
        issuer.set_slots(shared.slots);
        issuer.set_entries(shared.entries.iter().cloned());
        issuer.on_demand(demand, now)
    }
}

fn is_busy(running: Slots, waiting: Slots) -> bool {
    running != Slots::NONE || waiting != Slots::NONE
}

/// What an entry may use of a group of which it holds no quota yet.
pub(crate) fn without_quota(slots: Slots, entries: usize) -> Slots {
    fallback_share(slots, entries.max(1) as u32)
}
