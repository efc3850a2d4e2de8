//! The entry's side of the quota protocol.

use std::collections::VecDeque;
use std::time::Instant;

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId};

use crate::queue::Slots;
use crate::quota::{QuotaDemand, QuotaGrant, fallback_share};

/// Maximum number of pending demands; answers to older ones are ignored.
const MAX_PENDING: usize = 16;

#[derive(Debug)]
struct Held {
    seq: u64,
    slots: Slots,
    valid_until: Instant,
}

/// One entry's quota at one epoch of one group.
#[derive(Debug)]
pub struct QuotaHolder {
    entry: NodeId,
    incarnation: Incarnation,
    group: GroupId,
    epoch: Epoch,
    issuer: Option<NodeId>,
    /// Slots used without a valid grant.
    fallback: Slots,
    last_seq: u64,
    /// Invariant: seq and send time of demands to `issuer`, oldest first.
    pending: VecDeque<(u64, Instant)>,
    held: Option<Held>,
}

impl QuotaHolder {
    /// Creates a holder without a grant, for a group with `slots` shared by `entries`.
    pub fn new(
        entry: NodeId,
        incarnation: Incarnation,
        group: GroupId,
        epoch: Epoch,
        slots: Slots,
        entries: u32,
    ) -> QuotaHolder {
        QuotaHolder {
            entry,
            incarnation,
            group,
            epoch,
            issuer: None,
            fallback: fallback_share(slots, entries),
            last_seq: 0,
            pending: VecDeque::new(),
            held: None,
        }
    }

    /// Updates the group's slots and the number of entries that share them.
    pub fn set_capacity(&mut self, slots: Slots, entries: u32) {
        self.fallback = fallback_share(slots, entries);
    }

    /// Sets the issuer that demands are sent to.
    ///
    /// A grant of the previous issuer is dropped immediately: holding grants of two
    /// issuers would use slots that one of them has granted to other entries.
    pub fn set_issuer(&mut self, issuer: &NodeId) {
        if self.issuer.as_ref() != Some(issuer) {
            self.issuer = Some(issuer.clone());
            self.pending.clear();
            self.held = None;
        }
    }

    /// Creates the next demand; `now` must not be later than the time it is sent.
    pub fn next_demand(&mut self, running: Slots, waiting: Slots, now: Instant) -> QuotaDemand {
        self.last_seq += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((self.last_seq, now));
        QuotaDemand {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            group: self.group.clone(),
            epoch: self.epoch,
            seq: self.last_seq,
            held_seq: self.held.as_ref().map_or(0, |h| h.seq),
            running,
            waiting,
        }
    }

    /// Accepts a grant and returns true, unless it is for another holder, a duplicate, or
    /// older than the one held.
    pub fn on_grant(&mut self, grant: &QuotaGrant) -> bool {
        let is_own = grant.entry == self.entry
            && grant.incarnation == self.incarnation
            && grant.group == self.group
            && grant.epoch == self.epoch
            && Some(&grant.issuer) == self.issuer.as_ref();
        let Some(sent) = self.take_pending(grant.seq).filter(|_| is_own) else {
            return false;
        };
        self.held = Some(Held {
            seq: grant.seq,
            slots: grant.slots,
            valid_until: sent + grant.term,
        });
        true
    }

    /// Removes a pending demand and all older ones, and returns its send time.
    fn take_pending(&mut self, seq: u64) -> Option<Instant> {
        let at = self.pending.iter().position(|(s, _)| *s == seq)?;
        self.pending.drain(..=at).next_back().map(|(_, sent)| sent)
    }

    /// Returns the slots the entry may occupy now.
    pub fn quota(&self, now: Instant) -> Slots {
        match &self.held {
            Some(held) if now < held.valid_until => held.slots,
            _ => self.fallback,
        }
    }

    /// Returns whether a grant is valid now.
    pub fn has_grant(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|h| now < h.valid_until)
    }
}
