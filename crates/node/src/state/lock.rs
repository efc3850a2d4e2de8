//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread panicked while it held the lock.
///
/// One request that hits a defect must not take the shard of a whole service
/// down with it; the aggregates keep their invariants between statements that can panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
