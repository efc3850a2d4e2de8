//! The entry's side of a quota.

use std::collections::VecDeque;
use std::time::Instant;

use eelgrassmill_base::{Epoch, GroupId, Incarnation, NodeId};

use crate::queue::Slots;
use crate::quota::{QuotaDemand, QuotaGrant, fallback_share};

/// Demands whose answers are still awaited; an older answer is of no use.
const MAX_AWAITED: usize = 16;

#[derive(Debug)]
struct Held {
    seq: u64,
    slots: Slots,
    until: Instant,
}

/// One entry's quota at one epoch of one group.
#[derive(Debug)]
pub struct QuotaHolder {
    entry: NodeId,
    incarnation: Incarnation,
    group: GroupId,
    epoch: Epoch,
    issuer: Option<NodeId>,
    /// What it falls back to.
    part: Slots,
    last_seq: u64,
    /// Invariant: seq and send time of demands to `issuer`, oldest first.
    awaited: VecDeque<(u64, Instant)>,
    held: Option<Held>,
}

impl QuotaHolder {
    /// A holder without a grant, of a group with `slots` shared by `entries`.
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
            part: fallback_share(slots, entries),
            last_seq: 0,
            awaited: VecDeque::new(),
            held: None,
        }
    }

    /// Takes note of a change of the group's slots or the number of entries.
    pub fn set_capacity(&mut self, slots: Slots, entries: u32) {
        self.part = fallback_share(slots, entries);
    }

    /// Names the issuer to ask.
    ///
    /// A grant of the former one is given up at once: holding grants of two
    /// issuers would use slots that one of them has given to others.
    pub fn set_issuer(&mut self, issuer: &NodeId) {
        if self.issuer.as_ref() != Some(issuer) {
            self.issuer = Some(issuer.clone());
            self.awaited.clear();
            self.held = None;
        }
    }

    /// Makes the next demand; `now` is just before it is sent.
    pub fn next_demand(&mut self, running: Slots, waiting: Slots, now: Instant) -> QuotaDemand {
        self.last_seq += 1;
        if self.awaited.len() == MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.awaited.push_back((self.last_seq, now));
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

    /// Takes a grant, unless it is another's, doubled, or older than the one held.
    pub fn on_grant(&mut self, grant: &QuotaGrant) -> bool {
        let ours = grant.entry == self.entry
            && grant.incarnation == self.incarnation
            && grant.group == self.group
            && grant.epoch == self.epoch
            && Some(&grant.issuer) == self.issuer.as_ref();
        let Some(sent) = self.take_awaited(grant.seq).filter(|_| ours) else {
            return false;
        };
        self.held = Some(Held {
            seq: grant.seq,
            slots: grant.slots,
            until: sent + grant.term,
        });
        true
    }

    /// Send time of an awaited demand; it and all older ones are awaited no more.
    fn take_awaited(&mut self, seq: u64) -> Option<Instant> {
        let at = self.awaited.iter().position(|(s, _)| *s == seq)?;
        self.awaited.drain(..=at).next_back().map(|(_, sent)| sent)
    }

    /// What the entry may have running now.
    pub fn quota(&self, now: Instant) -> Slots {
        match &self.held {
            Some(held) if now < held.until => held.slots,
            _ => self.part,
        }
    }

    /// Whether a grant is in force.
    pub fn has_grant(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|h| now < h.until)
    }
}
