//! Measures heap usage and run time.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// Bytes allocated and not freed.
static LIVE_BYTES: AtomicI64 = AtomicI64::new(0);

/// The system allocator with a count of live bytes.
struct CountingAllocator;

#[allow(unsafe_code)]
// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract, which is the same for the system allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Heap bytes held by the result of `make`.
pub(crate) fn heap_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let made = black_box(make());
    let after = LIVE_BYTES.load(Ordering::Relaxed);
    drop(made);
    (after - before) as f64
}

/// Seconds per run of `work`: the best of five series of `count` runs.
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
