//! Applies received batches.

use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;

use crate::delay::SenderClock;
use crate::dissemination::origin_state::{Applied, Fingerprint, OriginState};
use crate::dissemination::{Dissemination, MAX_ORIGINS, instant_ago};
use crate::item::{Change, Item, ItemKey, Update};
use crate::wire::convert::name;
use crate::wire::messages::{Batch, OriginUpdate};

/// Unit of the ages of confirmations.
pub(super) const AGE_UNIT: Duration = Duration::from_millis(20);
/// Maximum number of states that a sync sends to a node of another failure domain.
pub(super) const MAX_CROSS_DOMAIN_STATES: usize = 128;
/// Maximum number of fingerprints requested or queried in one batch.
pub(super) const MAX_FINGERPRINTS_PER_QUERY: usize = 64;

impl Dissemination {
    /// Applies a batch that `from` sent as a request or a reply.
    ///
    /// Batches may be duplicated, delayed and reordered.
    pub fn receive(&mut self, from: &NodeId, batch: Batch, now: Instant) -> Vec<Update> {
        if *from == self.cfg.me.id {
            return Vec::new();
        }
        self.on_contact(from);
        if batch.from.is_empty() {
            return Vec::new();
        }
        let delay = self.excess_delay(from, &batch, now);
        let mut updates = Vec::new();
        for update in batch.updates {
            self.apply_update(from, update, delay, now, &mut updates);
        }
        let ages = batch
            .confirmed_age
            .iter()
            .chain(std::iter::repeat(&u32::MAX));
        for (&fingerprint, &age) in batch.confirmed.iter().zip(ages) {
            let age = AGE_UNIT.saturating_mul(age).saturating_add(delay);
            self.apply_confirmation(from, fingerprint, age, now, &mut updates);
        }
        for fingerprint in batch.want.into_iter().take(MAX_FINGERPRINTS_PER_QUERY) {
            self.handle_want(from, fingerprint);
        }
        for fingerprint in batch.stale.into_iter().take(MAX_FINGERPRINTS_PER_QUERY) {
            self.handle_stale(from, fingerprint, now);
        }
        if batch.sync {
            self.handle_sync(from, &batch.have);
        }
        if batch.more {
            self.pending.entry(from.clone()).or_default().sync = true;
        }
        updates
    }

    /// How much longer the batch took than the fastest one from this sender.
    fn excess_delay(&mut self, from: &NodeId, batch: &Batch, now: Instant) -> Duration {
        let own_ms = now.saturating_duration_since(self.started_at).as_millis() as i64;
        let offset = own_ms.saturating_sub_unsigned(batch.sent_ms);
        if let Some(clock) = self.clocks.get_mut(from)
            && clock.incarnation() == batch.incarnation
        {
            return clock.delay(offset, now);
        }
        // A restarted node has lost what it was sent before.
        self.sent_versions.remove(from);
        if self.clocks.len() < MAX_ORIGINS {
            let clock = SenderClock::new(batch.incarnation, offset, now);
            self.clocks.insert(from.clone(), clock);
        }
        // Without a reference the batch may have been in transit for up to the call timeout, but no
        // longer than this node is up. Without that bound, nodes that start together would consider
        // each other silent, and each would act as if it were alone.
        let up = now.saturating_duration_since(self.started_at);
        self.cfg.timing.call_timeout.min(up)
    }

    fn apply_update(
        &mut self,
        from: &NodeId,
        update: OriginUpdate,
        delay: Duration,
        now: Instant,
        updates: &mut Vec<Update>,
    ) {
        let Some(origin) = name(update.origin.clone()) else {
            return;
        };
        if origin == self.cfg.me.id || !self.admit_origin(&origin, &update, now) {
            return;
        }
        let (incarnation, sequence) = (update.incarnation, update.sequence);
        let Some(applied) = self.update_state(&origin, |state| state.apply(update, delay, now))
        else {
            return;
        };
        if applied.complete {
            self.note_known_version(from, &origin, incarnation, sequence);
        }
        self.overlay_outdated |= self.changes_overlay(&origin, &applied);
        let as_update = |change| Update {
            origin: origin.clone(),
            incarnation,
            change,
        };
        updates.extend(applied.changes.into_iter().map(as_update));
    }

    /// Whether the overlay must be rebuilt. Rebuilding it for each status of a node that
    /// already has its position would take most of the startup time of a large system.
    fn changes_overlay(&self, origin: &NodeId, applied: &Applied) -> bool {
        applied.changes.iter().any(|change| match change {
            Change::Put {
                item: Item::Status(status),
                ..
            } => !self.overlay.has_position(origin, &status.failure_domain),
            Change::Removed(ItemKey::Status) => true,
            _ => false,
        })
    }

    /// Adds an origin that is heard of for the first time. Returns whether the origin is held.
    fn admit_origin(&mut self, origin: &NodeId, update: &OriginUpdate, now: Instant) -> bool {
        if self.states.contains_key(origin) {
            return true;
        }
        // Otherwise the last node that still holds a dead origin would restore it at the others,
        // and they in turn at that node.
        let age = Duration::from_millis(update.age_ms);
        if age >= self.cfg.timing.expire_after || self.states.len() >= MAX_ORIGINS {
            return false;
        }
        let Some(long_ago) = instant_ago(now, self.cfg.timing.expire_after / 2) else {
            return false;
        };
        let state = OriginState::new(origin, update.incarnation, long_ago);
        self.states.insert(origin.clone(), state);
        self.index_fingerprint(origin);
        if self.lost_nodes.remove(origin) {
            self.overlay_outdated = true;
        }
        true
    }

    /// Records a version that a child in the trees has without having been sent it by this node.
    fn note_known_version(
        &mut self,
        node: &NodeId,
        origin: &NodeId,
        incarnation: u64,
        sequence: u64,
    ) {
        if let Some(sent) = self
            .sent_versions
            .get_mut(node)
            .and_then(|m| m.get_mut(origin))
        {
            *sent = (*sent).max((incarnation, sequence));
        }
    }

    fn apply_confirmation(
        &mut self,
        from: &NodeId,
        fingerprint: Fingerprint,
        age: Duration,
        now: Instant,
        updates: &mut Vec<Update>,
    ) {
        let Some(origin) = self.by_fingerprint.get(&fingerprint).cloned() else {
            self.handle_unknown(from, fingerprint);
            return;
        };
        let Some(as_of) = instant_ago(now, age) else {
            return;
        };
        if origin == self.cfg.me.id {
            return;
        }
        let Some(state) = self.states.get_mut(&origin) else {
            return;
        };
        if state.confirm(as_of) {
            updates.push(Update {
                origin,
                incarnation: state.incarnation(),
                change: Change::Confirmed(as_of),
            });
        }
    }

    /// Handles a fingerprint that isn't current here: of an older version, or of one to request.
    fn handle_unknown(&mut self, from: &NodeId, fingerprint: Fingerprint) {
        let older = self.origin_by_previous_fingerprint(fingerprint);
        let pending = self.pending.entry(from.clone()).or_default();
        match older {
            Some(origin) => {
                pending.full_states.insert(origin);
            }
            None if pending.want.len() < MAX_FINGERPRINTS_PER_QUERY => {
                pending.want.insert(fingerprint);
            }
            None => {}
        }
    }

    fn origin_by_previous_fingerprint(&self, fingerprint: Fingerprint) -> Option<NodeId> {
        self.states
            .iter()
            .find(|(_, state)| state.previous_fingerprints().contains(&fingerprint))
            .map(|(origin, _)| origin.clone())
    }

    fn handle_want(&mut self, from: &NodeId, fingerprint: Fingerprint) {
        let origin = match self.by_fingerprint.get(&fingerprint) {
            Some(origin) => Some(origin.clone()),
            None => self.origin_by_previous_fingerprint(fingerprint),
        };
        if let Some(origin) = origin {
            let pending = self.pending.entry(from.clone()).or_default();
            pending.full_states.insert(origin);
        }
    }

    fn handle_stale(&mut self, from: &NodeId, fingerprint: Fingerprint, now: Instant) {
        let Some(origin) = self.by_fingerprint.get(&fingerprint).cloned() else {
            self.handle_unknown(from, fingerprint);
            return;
        };
        let fresh = !self.is_stale(&origin, now);
        if fresh {
            let pending = self.pending.entry(from.clone()).or_default();
            pending.confirmations.insert(origin);
        }
    }

    /// The states of `missing` to send to a node: all within the failure domain, a bounded number to
    /// another one, whose nodes exchange the rest among themselves.
    ///
    /// Without the bound, the few seeds that all nodes contact at startup would send all states to
    /// each of them across failure domains.
    fn limit_states_for(&mut self, node: &NodeId, mut missing: Vec<NodeId>) -> Vec<NodeId> {
        let domain = self.status_of(node).map(|s| s.failure_domain.clone());
        let is_same_domain = domain.as_ref() == Some(&self.cfg.me.failure_domain);
        if is_same_domain || missing.len() <= MAX_CROSS_DOMAIN_STATES {
            return missing;
        }
        // A different part for each node, so that the nodes of a domain together have all.
        self.round_robin = self.round_robin.wrapping_add(1);
        let start = (self.round_robin * MAX_CROSS_DOMAIN_STATES / 2) % missing.len();
        missing.rotate_left(start);
        let of_domain = |id: &NodeId| {
            let status = self.status_of(id);
            domain.is_some() && status.map(|s| &s.failure_domain) == domain.as_ref()
        };
        let (near, far): (Vec<_>, Vec<_>) = missing.into_iter().partition(of_domain);
        let near = near.into_iter().take(MAX_CROSS_DOMAIN_STATES / 2);
        near.chain(far).take(MAX_CROSS_DOMAIN_STATES).collect()
    }

    /// Compares the sender's fingerprints with the ones held here.
    fn handle_sync(&mut self, from: &NodeId, have: &[Fingerprint]) {
        let have: std::collections::BTreeSet<Fingerprint> = have.iter().copied().collect();
        let missing = self.by_fingerprint.iter();
        let missing = missing.filter(|(fingerprint, _)| !have.contains(fingerprint));
        let missing: Vec<NodeId> = missing.map(|(_, origin)| origin.clone()).collect();
        let missing = self.limit_states_for(from, missing);
        let previous: std::collections::BTreeSet<Fingerprint> = self
            .states
            .values()
            .flat_map(|state| state.previous_fingerprints().iter().copied())
            .collect();
        let unknown: Vec<Fingerprint> = have
            .into_iter()
            .filter(|fingerprint| {
                !self.by_fingerprint.contains_key(fingerprint) && !previous.contains(fingerprint)
            })
            .take(MAX_FINGERPRINTS_PER_QUERY)
            .collect();
        let pending = self.pending.entry(from.clone()).or_default();
        pending.full_states.extend(missing);
        pending.want.extend(unknown);
    }
}
