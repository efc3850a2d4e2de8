//! How old a message is that crossed the network, without a common clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Incarnation, NodeId};

#[derive(Clone, Copy, Debug)]
struct Offset {
    incarnation: Incarnation,
    /// Receiver's instant that matches the sender's start, at the quickest delivery so far.
    start: Instant,
}

/// Finds out how late messages of each sender arrive.
///
/// A message may wait in a buffer while a link is cut or a process is paused;
/// its age when it was sent would then make old evidence look fresh. Each
/// message carries the sender's time since its start. The quickest delivery so
/// far gives the offset between the two clocks, and what a later message takes
/// beyond it is added to its age. What stays unseen is the quickest delivery
/// itself, which is a network round trip at most, and a first message that is late.
#[derive(Clone, Debug, Default)]
pub struct AgeEstimator {
    offsets: BTreeMap<NodeId, Offset>,
}

impl AgeEstimator {
    /// Knows no sender yet.
    pub fn new() -> AgeEstimator {
        AgeEstimator::default()
    }

    /// Age at `now` of something that was `age` old when `sender` sent it, `uptime` after
    /// its start.
    pub fn age_at_receipt(
        &mut self,
        sender: &NodeId,
        incarnation: Incarnation,
        uptime: Duration,
        age: Duration,
        now: Instant,
    ) -> Duration {
        let Some(start) = now.checked_sub(uptime) else {
            return age;
        };
        let fresh = Offset { incarnation, start };
        let offset = self.offsets.entry(sender.clone()).or_insert(fresh);
        if incarnation > offset.incarnation || start < offset.start {
            *offset = fresh;
        }
        age + start.saturating_duration_since(offset.start)
    }

    /// Forgets a sender that is gone.
    pub fn forget(&mut self, sender: &str) {
        self.offsets.remove(sender);
    }
}
