//! The slots of an engine's batch, given out by urgency.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::Urgency;
use tokio::sync::oneshot;

/// Gives out a fixed number of slots, the most urgent waiter first.
#[derive(Debug)]
pub(crate) struct Slots {
    inner: Mutex<Inner>,
    total: usize,
    max_waiting: usize,
}

#[derive(Debug)]
struct Inner {
    free: usize,
    next: u64,
    waiting: BTreeMap<(Urgency, u64), oneshot::Sender<Slot>>,
}

/// One slot; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Slots>);

impl Slots {
    pub(crate) fn new(total: usize, max_waiting: usize) -> Arc<Slots> {
        let inner = Inner {
            free: total,
            next: 0,
            waiting: BTreeMap::new(),
        };
        Arc::new(Slots {
            inner: Mutex::new(inner),
            total,
            max_waiting,
        })
    }

    /// Waits for a slot; `None` at once when too many wait already.
    pub(crate) async fn take(self: &Arc<Slots>, urgency: Urgency) -> Option<Slot> {
        let rx = {
            let mut inner = self.lock();
            if inner.free > 0 {
                inner.free -= 1;
                return Some(Slot(Arc::clone(self)));
            }
            inner.waiting.retain(|_, tx| !tx.is_closed());
            if inner.waiting.len() >= self.max_waiting {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            let seq = inner.next;
            inner.next += 1;
            inner.waiting.insert((urgency, seq), tx);
            rx
        };
        rx.await.ok()
    }

    /// Slots in use.
    pub(crate) fn used(&self) -> usize {
        self.total - self.lock().free
    }

    /// Requests that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.lock()
            .waiting
            .values()
            .filter(|tx| !tx.is_closed())
            .count()
    }

    fn give_back(self: &Arc<Slots>) {
        let first = {
            let mut inner = self.lock();
            let Some((_, tx)) = inner.waiting.pop_first() else {
                inner.free += 1;
                return;
            };
            tx
        };
        // Outside the lock: a waiter that has gone leaves the slot to be dropped
        // here, which gives it to the next one and takes the lock again.
        drop(first.send(Slot(Arc::clone(self))));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.give_back();
    }
}
