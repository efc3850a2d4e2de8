//! Builds the batches to send.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use prost::Message;

use crate::dissemination::origin_state::OriginState;
use crate::dissemination::receive::{AGE_UNIT, MAX_FINGERPRINTS_PER_QUERY};
use crate::dissemination::{Dissemination, Output, Pending};
use crate::item::{ItemKey, Priority, Update};
use crate::wire::messages::Batch;

/// Most bytes that an update adds to a batch beyond its own encoding: a tag and a length.
const UPDATE_OVERHEAD_BYTES: usize = 6;
/// A node that has just started syncs at each tick for this long.
const STARTUP_SYNC_PERIOD: Duration = Duration::from_secs(3);
/// A state is stale after this many periods without a confirmation.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A batch that is being built.
struct BatchBuilder {
    batch: Batch,
    /// Bytes of its updates, summed up as they are added: measuring the batch again for each of
    /// them would take quadratic time.
    updates_bytes: usize,
}

impl BatchBuilder {
    fn new(batch: Batch) -> BatchBuilder {
        BatchBuilder {
            batch,
            updates_bytes: 0,
        }
    }
}

impl Dissemination {
    /// Returns what is due at `now`; to be called once per flush interval.
    pub fn tick(&mut self, now: Instant) -> Output {
        let mut output = Output::default();
        let is_tick = self.is_tick(now);
        if is_tick {
            output.updates = self.expire(now);
            self.mark_silent_members_lost(now);
        }
        self.refresh_overlay(now);
        if is_tick {
            self.publish_low_priority(now);
            self.confirm_own(now);
            self.schedule_anti_entropy(now);
        }
        let priority = if is_tick {
            Priority::Normal
        } else {
            Priority::Urgent
        };
        let mut builders = self.forward_changes(priority, now);
        for node in self.pending.keys().cloned().collect::<Vec<_>>() {
            builders
                .entry(node)
                .or_insert_with(|| self.empty_batch(now));
        }
        let unreachable = self.unreachable(now);
        for (node, mut batch) in builders {
            if unreachable.contains(&node) {
                self.pending.remove(&node);
                continue;
            }
            self.add_pending(&node, &mut batch, now);
            output.batches.push((node, batch));
        }
        output
    }

    /// Whether this flush is a tick; if so, schedules the next one.
    fn is_tick(&mut self, now: Instant) -> bool {
        let period = self.tick_period();
        // Confirmations more frequent than ticks must not cause additional ticks.
        let probed = self.timers.probe_round_done && now >= self.timers.last_tick + period * 9 / 10;
        if !probed && now < self.timers.next_tick {
            return false;
        }
        // After a round of probes the next tick waits slightly longer than a period for the
        // next round: a tick just before its end would delay its results by a period.
        let grace = if probed { period / 5 } else { Duration::ZERO };
        self.timers.next_tick = now + period + grace;
        self.timers.last_tick = now;
        self.timers.probe_round_done = false;
        true
    }

    /// The reply to a batch from `to` with what is pending for it; empty if nothing is.
    pub fn reply(&mut self, to: &NodeId, now: Instant) -> Batch {
        if !self.pending.contains_key(to) {
            return Batch::default();
        }
        let mut batch = self.empty_batch(now);
        self.add_pending(to, &mut batch, now);
        batch
    }

    /// The first batch to a node of which only the address is known.
    pub fn hello(&self, now: Instant) -> Batch {
        let mut batch = self.empty_batch(now);
        batch.sync = true;
        batch.have = self.by_fingerprint.keys().copied().collect();
        self.add_own(&mut batch, now);
        batch
    }

    fn add_own(&self, batch: &mut Batch, now: Instant) {
        let me = &self.cfg.me.id;
        if let Some(state) = self.states.get(me) {
            batch.updates.push(state.delta_since(me, 0, now));
        }
    }

    /// The tick interval for a system of this size.
    pub fn tick_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.tick_interval
        } else {
            self.cfg.timing.large_tick_interval
        }
    }

    fn heartbeat_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.heartbeat_interval
        } else {
            self.cfg.timing.large_heartbeat_interval
        }
    }

    fn low_priority_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.low_priority_interval
        } else {
            self.cfg.timing.large_low_priority_interval
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<Update> {
        let mut updates = self.expire_origins(now);
        let origins: Vec<NodeId> = self.states.keys().cloned().collect();
        for origin in origins {
            let Some(state) = self.states.get_mut(&origin) else {
                continue;
            };
            let incarnation = state.incarnation();
            updates.extend(state.expire(now).into_iter().map(|key| Update {
                origin: origin.clone(),
                incarnation,
                change: crate::item::Change::Removed(key),
            }));
        }
        updates
    }

    /// Confirms this node's state if it has no probes that do so.
    fn confirm_own(&mut self, now: Instant) {
        if now >= self.timers.next_heartbeat {
            self.timers.next_heartbeat = now + self.heartbeat_period();
            if !self.is_watcher(&self.cfg.me.id) {
                self.confirm(now);
            }
        }
    }

    /// Publishes the deferred low-priority items when due.
    fn publish_low_priority(&mut self, now: Instant) {
        if now < self.timers.next_low_priority {
            return;
        }
        self.timers.next_low_priority = now + self.low_priority_period();
        for item in std::mem::take(&mut self.deferred).into_values() {
            self.update_own(|state| state.put(item, None, now));
        }
    }

    /// Schedules a query of stale states, a sync with a peer, and a sync with a lost node,
    /// each when due.
    fn schedule_anti_entropy(&mut self, now: Instant) {
        let unreachable = self.unreachable(now);
        if self.states.keys().any(|origin| self.is_stale(origin, now))
            && let Some(node) = self.next_round_robin(&unreachable)
        {
            self.pending.entry(node).or_default().query_stale = true;
        }
        if now >= self.timers.next_sync {
            let is_new = now.saturating_duration_since(self.started_at) < STARTUP_SYNC_PERIOD;
            let pause = if is_new {
                Duration::ZERO
            } else {
                self.cfg.timing.sync_interval
            };
            self.timers.next_sync = now + pause;
            if let Some(node) = self.next_sync_peer(&unreachable) {
                self.pending.entry(node).or_default().sync = true;
            }
        }
        if now >= self.timers.next_reconnect {
            self.timers.next_reconnect = now + self.cfg.timing.reconnect_interval;
            if let Some(node) = self.next_lost_node(&unreachable) {
                self.pending.entry(node).or_default().sync = true;
            }
        }
    }

    pub(super) fn is_watcher(&self, origin: &NodeId) -> bool {
        self.states
            .get(origin)
            .is_some_and(|state| state.keys().any(|key| matches!(key, ItemKey::Health(_))))
    }

    /// Whether too many confirmations of `origin` were missed.
    pub(super) fn is_stale(&self, origin: &NodeId, now: Instant) -> bool {
        if *origin == self.cfg.me.id {
            return false;
        }
        let period = if self.is_watcher(origin) {
            self.tick_period()
        } else {
            self.heartbeat_period()
        };
        self.states.get(origin).is_some_and(|state| {
            now.saturating_duration_since(state.confirmed()) > period * MAX_MISSED_HEARTBEATS
        })
    }

    /// Builds batches of the changes of at least `priority` for the children in the trees.
    fn forward_changes(&mut self, priority: Priority, now: Instant) -> BTreeMap<NodeId, Batch> {
        let unreachable = self.unreachable(now);
        let me = &self.cfg.me.id;
        let is_relay = self.overlay.is_relay(me);
        let is_due = |state: &OriginState| state.unsent >= Some(priority) && state.sequence() > 0;
        let origins: Vec<NodeId> = self
            .states
            .iter()
            .filter(|(origin, state)| is_due(state) && (is_relay || *origin == me))
            .map(|(origin, _)| origin.clone())
            .collect();
        let mut builders: BTreeMap<NodeId, BatchBuilder> = BTreeMap::new();
        for origin in origins {
            let children = self
                .overlay
                .children(&self.cfg.me.id, &origin, &unreachable);
            for child in children.into_iter().filter(|child| *child != origin) {
                let builder = builders
                    .entry(child.clone())
                    .or_insert_with(|| BatchBuilder::new(self.empty_batch(now)));
                self.add_changes(&child, &origin, builder, now);
            }
            if let Some(state) = self.states.get_mut(&origin) {
                state.unsent = None;
            }
        }
        let batches = builders.into_iter();
        batches
            .map(|(node, builder)| (node, builder.batch))
            .collect()
    }

    /// Adds the changes of `origin` that `child` wasn't sent yet.
    fn add_changes(
        &mut self,
        child: &NodeId,
        origin: &NodeId,
        builder: &mut BatchBuilder,
        now: Instant,
    ) {
        let Some(state) = self.states.get(origin) else {
            return;
        };
        let version = (state.incarnation(), state.sequence());
        let versions = self.sent_versions.entry(child.clone()).or_default();
        let known = match versions.get(origin) {
            Some(&sent) if sent == version => {
                add_confirmation(&mut builder.batch, state, now);
                return;
            }
            Some(&(incarnation, sequence)) if incarnation == version.0 => sequence,
            _ => 0,
        };
        let update = state.delta_since(origin, known, now);
        let size = builder.updates_bytes + update.encoded_len() + UPDATE_OVERHEAD_BYTES;
        if size > self.cfg.timing.max_batch_bytes {
            // Without a sent version the full state goes with the next change, unless the child
            // requests it earlier.
            versions.remove(origin);
            add_confirmation(&mut builder.batch, state, now);
            return;
        }
        versions.insert(origin.clone(), version);
        builder.updates_bytes = size;
        builder.batch.updates.push(update);
    }

    /// Adds what is pending for `to`, up to the size limit; the receiver syncs again for the rest.
    fn add_pending(&mut self, to: &NodeId, batch: &mut Batch, now: Instant) {
        let Some(mut pending) = self.pending.remove(to) else {
            return;
        };
        batch.want = pending.want.iter().copied().collect();
        if pending.query_stale {
            batch.stale = self.stale_fingerprints(now);
        }
        if pending.sync {
            batch.sync = true;
            batch.have = self.by_fingerprint.keys().copied().collect();
            self.add_own(batch, now);
        }
        for origin in &pending.confirmations {
            if let Some(state) = self.states.get(origin) {
                add_confirmation(batch, state, now);
            }
        }
        self.add_states(&mut pending, batch, now);
        if !pending.full_states.is_empty() {
            batch.more = true;
        }
    }

    fn add_states(&mut self, pending: &mut Pending, batch: &mut Batch, now: Instant) {
        let mut size = batch.encoded_len();
        while let Some(origin) = pending.full_states.pop_first() {
            let Some(state) = self.states.get(&origin) else {
                continue;
            };
            let update = state.delta_since(&origin, 0, now);
            size += update.encoded_len() + UPDATE_OVERHEAD_BYTES;
            if size > self.cfg.timing.max_batch_bytes {
                pending.full_states.insert(origin);
                return;
            }
            batch.updates.push(update);
        }
    }

    fn stale_fingerprints(&self, now: Instant) -> Vec<u32> {
        self.states
            .iter()
            .filter(|(origin, _)| self.is_stale(origin, now))
            .map(|(_, state)| state.fingerprint())
            .take(MAX_FINGERPRINTS_PER_QUERY)
            .collect()
    }

    fn empty_batch(&self, now: Instant) -> Batch {
        let sent = now.saturating_duration_since(self.started_at);
        Batch {
            from: self.cfg.me.id.to_string(),
            incarnation: self.cfg.incarnation,
            sent_ms: sent.as_millis() as u64,
            ..Batch::default()
        }
    }
}

fn add_confirmation(batch: &mut Batch, state: &OriginState, now: Instant) {
    let age = now.saturating_duration_since(state.confirmed());
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    batch.confirmed.push(state.fingerprint());
    batch
        .confirmed_age
        .push(u32::try_from(units).unwrap_or(u32::MAX));
}
