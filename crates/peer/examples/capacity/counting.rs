//! Counts the bytes that are allocated.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// Bytes allocated and not freed.
static LIVE: AtomicI64 = AtomicI64::new(0);

/// The system's allocator, counted.
struct Counting;

#[allow(unsafe_code)]
// SAFETY: every call is handed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: the caller's promise is the one that the system's allocator asks for.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Bytes on the heap that what `make` gives holds.
pub(crate) fn held_by<T>(make: impl FnOnce() -> T) -> f64 {
    let before = LIVE.load(Ordering::Relaxed);
    let made = black_box(make());
    let after = LIVE.load(Ordering::Relaxed);
    drop(made);
    (after - before) as f64
}

/// Seconds of one run of `work`, the best of five series of `count`.
pub(crate) fn seconds(count: u32, mut work: impl FnMut()) -> f64 {
    let mut best = Duration::MAX;
    for _ in 0..5 {
        let began = Instant::now();
        for _ in 0..count {
            work();
        }
        best = best.min(began.elapsed());
    }
    best.as_secs_f64() / f64::from(count)
}
