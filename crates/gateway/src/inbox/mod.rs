//! Event queue of the planner, which keeps events only while this node runs one.

#[cfg(test)]
mod tests;

use std::sync::Mutex;

use tokio::sync::Notify;

use crate::heads::locked;

/// An event queue that drops events while it has no reader.
///
/// Every node learns of each lost replica, but only the leader runs the planner. At the other
/// nodes, events kept for a reader that may never come would grow without bound.
#[derive(Debug)]
pub(crate) struct Inbox<E> {
    /// `None` while there is no reader.
    events: Mutex<Option<Vec<E>>>,
    changed: Notify,
}

impl<E> Default for Inbox<E> {
    fn default() -> Inbox<E> {
        Inbox {
            events: Mutex::new(None),
            changed: Notify::new(),
        }
    }
}

impl<E> Inbox<E> {
    /// Starts to keep events.
    pub(crate) fn open(&self) {
        *locked(&self.events) = Some(Vec::new());
    }

    /// Drops all events and stops keeping new ones.
    pub(crate) fn close(&self) {
        *locked(&self.events) = None;
    }

    /// Queues an event if there is a reader, and wakes it.
    pub(crate) fn push(&self, event: E) {
        if let Some(events) = locked(&self.events).as_mut() {
            events.push(event);
        }
        self.wake();
    }

    /// Takes all queued events.
    pub(crate) fn drain(&self) -> Vec<E> {
        let mut events = locked(&self.events);
        events.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Wakes the reader; if it isn't waiting, its next wait returns at once.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until the reader is woken.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}
