//! The node's loops: each does one job, on a thread of its own, until the node stops.

pub(crate) mod contender;
pub(crate) mod era;
pub(crate) mod handover;
pub(crate) mod lease;
pub(crate) mod orders;
pub(crate) mod planner;
pub(crate) mod probe;
pub(crate) mod pulse;
pub(crate) mod quota;
pub(crate) mod reader;
pub(crate) mod rows;
pub(crate) mod sweep;
pub(crate) mod watcher;

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::state::core::Core;

/// Longest sleep in one piece, so that a stop is noticed soon.
const NAP: Duration = Duration::from_millis(250);

/// Runs `step` every `period` on a thread of its own until the node stops.
///
/// The next step is counted from the start of the last one, but steps never
/// pile up behind a slow one.
pub(crate) fn every(
    core: &Arc<Core>,
    name: &str,
    period: Duration,
    mut step: impl FnMut() + Send + 'static,
) -> JoinHandle<()> {
    let core = core.clone();
    let run = move || {
        while !core.is_stopped() {
            let next = Instant::now() + period;
            step();
            sleep_until(&core, next);
        }
    };
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .expect("the system gives a thread to each of the few loops")
}

fn sleep_until(core: &Core, next: Instant) {
    while !core.is_stopped() {
        let left = next.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        std::thread::sleep(left.min(NAP));
    }
}
