//! Message age across the network without synchronized clocks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassmill_base::{Incarnation, NodeId};

#[derive(Clone, Copy, Debug)]
struct Offset {
    incarnation: Incarnation,
    /// The sender's start on the receiver's clock, according to the fastest delivery so far.
    start: Instant,
}

/// Estimates the delivery delay of each sender's messages.
///
/// A message may sit in a buffer while a link is down or a process is paused; its age at sending
/// would then make old evidence look fresh. Each message carries the sender's uptime. The fastest
/// delivery so far gives the offset between the two clocks, and any additional delay of a later
/// message is added to its age. Not detected are the delay of the fastest delivery itself, at
/// most a network round trip, and a delayed first message.
#[derive(Clone, Debug, Default)]
pub struct AgeEstimator {
    offsets: BTreeMap<NodeId, Offset>,
}

impl AgeEstimator {
    /// Creates an estimator without senders.
    pub fn new() -> AgeEstimator {
        AgeEstimator::default()
    }

    /// Age at `now` of information that was `age` old when `sender` sent it, at its `uptime`.
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

    /// Removes a sender that has left.
    pub fn forget(&mut self, sender: &str) {
        self.offsets.remove(sender);
    }
}
