//! What the planner should know, kept only while this node has one.

#[cfg(test)]
mod tests;

use std::sync::Mutex;

use tokio::sync::Notify;

use crate::heads::locked;

/// Events for a reader that comes and goes.
///
/// Every node hears of each lost replica, but only one plans. Kept for a reader that may
/// never come, the events of days would fill the memory of all the others.
#[derive(Debug)]
pub(crate) struct Inbox<E> {
    /// `None` while nobody reads.
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
    /// Begins to keep events, from now on.
    pub(crate) fn open(&self) {
        *locked(&self.events) = Some(Vec::new());
    }

    /// Drops what is kept, and keeps nothing more.
    pub(crate) fn close(&self) {
        *locked(&self.events) = None;
    }

    /// Keeps an event if somebody reads.
    pub(crate) fn push(&self, event: E) {
        if let Some(events) = locked(&self.events).as_mut() {
            events.push(event);
        }
        self.wake();
    }

    /// What came since the last time.
    pub(crate) fn take(&self) -> Vec<E> {
        let mut events = locked(&self.events);
        events.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Wakes the reader; one that isn't waiting finds out when it next waits.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until it is woken.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}
