//! Nodes and stand-ins as processes of their own, to be killed and frozen one by one.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

pub mod caller;
pub mod child;
pub mod http;
pub mod watch;
pub mod world;

use std::time::{Duration, Instant};

const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits until `look` gives something; panics when it takes too long.
pub fn wait<T>(what: &str, bound: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + bound;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "not within {bound:?}: {what}");
        std::thread::sleep(LOOK_EVERY);
    }
}

pub const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}
