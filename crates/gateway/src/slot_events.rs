//! Slot events on their way to schedulers.
//!
//! A scheduler that doesn't learn that a slot was released keeps it until it expires, seconds
//! later, and rejects requests while its heads are idle. So events are sent until they are
//! acknowledged. Repeated events have no effect.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::NodeId;
use eelgrassmill_peer::SlotEvent;

use crate::core::Core;
use crate::heads::locked;
use crate::ports::Platform;
use crate::scheduler::Scope;
use crate::scheduler_client::send_slot_events;

/// How long events are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Delay before events are sent again that were not acknowledged.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long an event is kept: by then the slot has expired at the scheduler.
const EVENT_TTL: Duration = Duration::from_secs(6);

/// The scheduler of a scope.
pub(crate) type SchedulerKey = (NodeId, Scope);

#[derive(Clone, Debug)]
struct PendingEvent {
    event: SlotEvent,
    at: Instant,
}

/// Events that no call carries at the moment.
#[derive(Debug, Default)]
struct Outbox {
    /// Invariant: no list is empty, and a task will send each.
    pending: HashMap<SchedulerKey, Vec<PendingEvent>>,
}

impl Outbox {
    /// Adds an event. Returns whether a task has to be started that sends it.
    fn push(&mut self, to: &SchedulerKey, event: SlotEvent, now: Instant) -> bool {
        let list = self.pending.entry(to.clone()).or_default();
        list.push(PendingEvent { event, at: now });
        list.len() == 1
    }

    fn take(&mut self, to: &SchedulerKey) -> Vec<PendingEvent> {
        self.pending.remove(to).unwrap_or_default()
    }

    /// Adds events that were not acknowledged before newer ones, except those that are too old.
    /// Returns whether a task has to be started that sends them.
    fn put_back(&mut self, to: &SchedulerKey, mut events: Vec<PendingEvent>, now: Instant) -> bool {
        events.retain(|e| now.saturating_duration_since(e.at) < EVENT_TTL);
        if events.is_empty() {
            return false;
        }
        let newer = self.take(to);
        let is_new = newer.is_empty();
        events.extend(newer);
        self.pending.insert(to.clone(), events);
        is_new
    }
}

/// The events of this node.
#[derive(Debug, Default)]
pub(crate) struct SlotEvents {
    outbox: Mutex<Outbox>,
}

/// Events that a call carries. Dropping it before they are acknowledged, also when the call is
/// cancelled, sends them again.
pub(crate) struct EventBatch<P: Platform> {
    core: Arc<Core<P>>,
    to: SchedulerKey,
    events: Vec<PendingEvent>,
}

impl<P: Platform> EventBatch<P> {
    /// Takes all events for a scheduler.
    pub(crate) fn take(core: &Arc<Core<P>>, to: &SchedulerKey) -> EventBatch<P> {
        EventBatch {
            core: Arc::clone(core),
            to: to.clone(),
            events: locked(&core.slot_events.outbox).take(to),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    pub(crate) fn messages(&self) -> Vec<SlotEvent> {
        self.events.iter().map(|e| e.event.clone()).collect()
    }

    pub(crate) fn acknowledge(mut self) {
        self.events.clear();
    }
}

impl<P: Platform> Drop for EventBatch<P> {
    fn drop(&mut self) {
        let events = std::mem::take(&mut self.events);
        let mut outbox = locked(&self.core.slot_events.outbox);
        if outbox.put_back(&self.to, events, Instant::now()) {
            drop(outbox);
            send_after(&self.core, &self.to, RETRY_DELAY);
        }
    }
}

/// Reports an event to a scheduler.
pub(crate) fn report<P: Platform>(core: &Arc<Core<P>>, to: &SchedulerKey, event: SlotEvent) {
    let is_first = locked(&core.slot_events.outbox).push(to, event, Instant::now());
    if is_first {
        send_after(core, to, BATCH_DELAY);
    }
}

fn send_after<P: Platform>(core: &Arc<Core<P>>, to: &SchedulerKey, delay: Duration) {
    let (core, to) = (Arc::clone(core), to.clone());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        send_slot_events(&core, &to).await;
    });
}
