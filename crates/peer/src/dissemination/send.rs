//! Putting batches together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use prost::Message;

use crate::dissemination::receive::{AGE_UNIT, MAX_ASKED};
use crate::dissemination::record::Record;
use crate::dissemination::{Dissemination, Output, Owed};
use crate::item::{ItemKey, Pace, Update};
use crate::wire::messages::Batch;

/// Most bytes that an update takes in a batch beside its own: a tag and its length.
const UPDATE_OVERHEAD: usize = 6;
/// A node that has just started compares with others at each tick for this long.
const INTRODUCTION: Duration = Duration::from_secs(3);
/// Confirmations are missed after this many of their periods.
const MISSED_PERIODS: u32 = 3;

/// A batch that is being put together.
struct Draft {
    batch: Batch,
    /// Bytes of its updates. Summed up as they are added: measuring the batch anew for each of
    /// them would cost the square of their number.
    updates_size: usize,
}

impl Draft {
    fn new(batch: Batch) -> Draft {
        Draft {
            batch,
            updates_size: 0,
        }
    }
}

impl Dissemination {
    /// Gives what is due at `now`; to be called once in each flush period.
    pub fn tick(&mut self, now: Instant) -> Output {
        let mut output = Output::default();
        let ticks = self.is_tick(now);
        if ticks {
            output.updates = self.expire(now);
            self.note_silent_members(now);
        }
        self.refresh_overlay(now);
        if ticks {
            self.publish_slow(now);
            self.confirm_alive(now);
            self.ask_others(now);
        }
        let pace = if ticks { Pace::Normal } else { Pace::Urgent };
        let mut drafts = self.hand_on(pace, now);
        for node in self.owed.keys().cloned().collect::<Vec<_>>() {
            drafts.entry(node).or_insert_with(|| self.empty_batch(now));
        }
        let unreachable = self.unreachable(now);
        for (node, mut batch) in drafts {
            if unreachable.contains(&node) {
                self.owed.remove(&node);
                continue;
            }
            self.add_owed(&node, &mut batch, now);
            output.batches.push((node, batch));
        }
        output
    }

    /// Whether this flush is a tick; if so, plans the next one.
    fn is_tick(&mut self, now: Instant) -> bool {
        let period = self.tick_period();
        // Confirmations that come more often than ticks must not make more of them.
        let probed = self.due.after_probes && now >= self.due.last_tick + period * 9 / 10;
        if !probed && now < self.due.tick {
            return false;
        }
        // After a round of probes the next tick waits a little longer than a period,
        // for the next round: ticking just before its end would cost it a period.
        let grace = if probed { period / 5 } else { Duration::ZERO };
        self.due.tick = now + period + grace;
        self.due.last_tick = now;
        self.due.after_probes = false;
        true
    }

    /// What is owed to `to` at this moment, as the answer to a batch from it. It is
    /// empty when that is nothing.
    pub fn answer(&mut self, to: &NodeId, now: Instant) -> Batch {
        if !self.owed.contains_key(to) {
            return Batch::default();
        }
        let mut batch = self.empty_batch(now);
        self.add_owed(to, &mut batch, now);
        batch
    }

    /// A first batch for a node of which only the address is known.
    pub fn hello(&self, now: Instant) -> Batch {
        let mut batch = self.empty_batch(now);
        batch.sync = true;
        batch.have = self.current.keys().copied().collect();
        self.add_own(&mut batch, now);
        batch
    }

    fn add_own(&self, batch: &mut Batch, now: Instant) {
        let me = &self.cfg.me.id;
        if let Some(record) = self.records.get(me) {
            batch.updates.push(record.since(me, 0, now));
        }
    }

    /// How far apart ticks are in a system of this size.
    pub fn tick_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.tick_interval
        } else {
            self.cfg.timing.large_tick_interval
        }
    }

    fn alive_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.heartbeat_interval
        } else {
            self.cfg.timing.large_heartbeat_interval
        }
    }

    fn slow_period(&self) -> Duration {
        if self.overlay.is_mesh() {
            self.cfg.timing.low_priority_interval
        } else {
            self.cfg.timing.large_low_priority_interval
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<Update> {
        let mut updates = self.expire_origins(now);
        let origins: Vec<NodeId> = self.records.keys().cloned().collect();
        for origin in origins {
            let Some(record) = self.records.get_mut(&origin) else {
                continue;
            };
            let incarnation = record.incarnation();
            updates.extend(record.expire(now).into_iter().map(|key| Update {
                origin: origin.clone(),
                incarnation,
                change: crate::item::Change::Removed(key),
            }));
        }
        updates
    }

    /// Confirms this node when no probes do it.
    fn confirm_alive(&mut self, now: Instant) {
        if now >= self.due.alive {
            self.due.alive = now + self.alive_period();
            if !self.is_watcher(&self.cfg.me.id) {
                self.confirm(now);
            }
        }
    }

    /// Publishes the slow items when it is time.
    fn publish_slow(&mut self, now: Instant) {
        if now < self.due.slow {
            return;
        }
        self.due.slow = now + self.slow_period();
        for item in std::mem::take(&mut self.waiting).into_values() {
            self.change_own(|record| record.put(item, None, now));
        }
    }

    /// Asks one other node about what the trees have not brought, and now and then
    /// about everything.
    fn ask_others(&mut self, now: Instant) {
        let unreachable = self.unreachable(now);
        if self.records.keys().any(|origin| self.is_stale(origin, now))
            && let Some(node) = self.next_in_turn(&unreachable)
        {
            self.owed.entry(node).or_default().ask_stale = true;
        }
        if now >= self.due.sync {
            let is_new = now.saturating_duration_since(self.began) < INTRODUCTION;
            let pause = if is_new {
                Duration::ZERO
            } else {
                self.cfg.timing.sync_interval
            };
            self.due.sync = now + pause;
            if let Some(node) = self.next_near(&unreachable) {
                self.owed.entry(node).or_default().sync = true;
            }
        }
        if now >= self.due.probe {
            self.due.probe = now + self.cfg.timing.reconnect_interval;
            if let Some(node) = self.next_absent(&unreachable) {
                self.owed.entry(node).or_default().sync = true;
            }
        }
    }

    pub(super) fn is_watcher(&self, origin: &NodeId) -> bool {
        self.records
            .get(origin)
            .is_some_and(|record| record.keys().any(|key| matches!(key, ItemKey::Health(_))))
    }

    /// Whether too many confirmations of `origin` were missed.
    pub(super) fn is_stale(&self, origin: &NodeId, now: Instant) -> bool {
        if *origin == self.cfg.me.id {
            return false;
        }
        let period = if self.is_watcher(origin) {
            self.tick_period()
        } else {
            self.alive_period()
        };
        self.records.get(origin).is_some_and(|record| {
            now.saturating_duration_since(record.confirmed()) > period * MISSED_PERIODS
        })
    }

    /// Gives the children in the trees what is new at `pace` or faster.
    fn hand_on(&mut self, pace: Pace, now: Instant) -> BTreeMap<NodeId, Batch> {
        let unreachable = self.unreachable(now);
        let me = &self.cfg.me.id;
        let relays = self.overlay.is_relay(me);
        let is_due = |record: &Record| record.news >= Some(pace) && record.sequence() > 0;
        let origins: Vec<NodeId> = self
            .records
            .iter()
            .filter(|(origin, record)| is_due(record) && (relays || *origin == me))
            .map(|(origin, _)| origin.clone())
            .collect();
        let mut drafts: BTreeMap<NodeId, Draft> = BTreeMap::new();
        for origin in origins {
            let children = self
                .overlay
                .children(&self.cfg.me.id, &origin, &unreachable);
            for child in children.into_iter().filter(|child| *child != origin) {
                let draft = drafts
                    .entry(child.clone())
                    .or_insert_with(|| Draft::new(self.empty_batch(now)));
                self.add_news(&child, &origin, draft, now);
            }
            if let Some(record) = self.records.get_mut(&origin) {
                record.news = None;
            }
        }
        let batches = drafts.into_iter();
        batches.map(|(node, draft)| (node, draft.batch)).collect()
    }

    /// Adds what `child` was not sent of `origin` yet.
    fn add_news(&mut self, child: &NodeId, origin: &NodeId, draft: &mut Draft, now: Instant) {
        let Some(record) = self.records.get(origin) else {
            return;
        };
        let state = (record.incarnation(), record.sequence());
        let marks = self.marks.entry(child.clone()).or_default();
        let known = match marks.get(origin) {
            Some(&mark) if mark == state => {
                add_confirmation(&mut draft.batch, record, now);
                return;
            }
            Some(&(incarnation, sequence)) if incarnation == state.0 => sequence,
            _ => 0,
        };
        let update = record.since(origin, known, now);
        let size = draft.updates_size + update.encoded_len() + UPDATE_OVERHEAD;
        if size > self.cfg.timing.max_batch_bytes {
            // Without the mark it is sent whole with the next news, or asked for before.
            marks.remove(origin);
            add_confirmation(&mut draft.batch, record, now);
            return;
        }
        marks.insert(origin.clone(), state);
        draft.updates_size = size;
        draft.batch.updates.push(update);
    }

    /// Adds what is owed to `to`; what does not fit stays owed.
    fn add_owed(&mut self, to: &NodeId, batch: &mut Batch, now: Instant) {
        let Some(mut owed) = self.owed.remove(to) else {
            return;
        };
        batch.want = owed.want.iter().copied().collect();
        if owed.ask_stale {
            batch.stale = self.stale_states(now);
        }
        if owed.sync {
            batch.sync = true;
            batch.have = self.current.keys().copied().collect();
            self.add_own(batch, now);
        }
        for origin in &owed.confirmations {
            if let Some(record) = self.records.get(origin) {
                add_confirmation(batch, record, now);
            }
        }
        self.add_states(&mut owed, batch, now);
        if !owed.states.is_empty() {
            batch.more = true;
        }
    }

    fn add_states(&mut self, owed: &mut Owed, batch: &mut Batch, now: Instant) {
        let mut size = batch.encoded_len();
        while let Some(origin) = owed.states.pop_first() {
            let Some(record) = self.records.get(&origin) else {
                continue;
            };
            let update = record.since(&origin, 0, now);
            size += update.encoded_len() + UPDATE_OVERHEAD;
            if size > self.cfg.timing.max_batch_bytes {
                owed.states.insert(origin);
                return;
            }
            batch.updates.push(update);
        }
    }

    fn stale_states(&self, now: Instant) -> Vec<u32> {
        self.records
            .iter()
            .filter(|(origin, _)| self.is_stale(origin, now))
            .map(|(_, record)| record.fingerprint())
            .take(MAX_ASKED)
            .collect()
    }

    fn empty_batch(&self, now: Instant) -> Batch {
        let sent = now.saturating_duration_since(self.began);
        Batch {
            from: self.cfg.me.id.to_string(),
            incarnation: self.cfg.incarnation,
            sent_ms: sent.as_millis() as u64,
            ..Batch::default()
        }
    }
}

fn add_confirmation(batch: &mut Batch, record: &Record, now: Instant) {
    let age = now.saturating_duration_since(record.confirmed());
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    batch.confirmed.push(record.fingerprint());
    batch
        .confirmed_age
        .push(u32::try_from(units).unwrap_or(u32::MAX));
}
