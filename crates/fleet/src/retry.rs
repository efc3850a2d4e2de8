//! How much is sent a second time, over all nodes together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::value;

/// Part of the permitted repeats that is used. The rest covers that nodes don't see the
/// same number of nodes at the same moment, and that callers' requests come unevenly.
const USED_PART: f64 = 0.8;

value! { copy
    /// A node's part of the retry budget, over the last window.
    pub struct RetryBudget {
        /// Callers' requests.
        pub requests: usize,
        /// Repeats taken from the budget.
        pub retries: usize,
        /// Repeats that the budget permits.
        pub permitted: usize,
    }
}

/// A sliding window over the requests and repeats of one service at this node.
///
/// The bound holds for all nodes together: `ratio` x requests + `slack` in any window.
/// Requests add up over nodes, so each node may use `ratio` of its own; the slack is
/// divided by the number of nodes. No message between nodes is needed.
///
/// In the first window after a restart a node uses none of the slack. Before it was started
/// another node, or itself, may have used its part in the same window, and it doesn't know
/// yet how many others there are: of 74 nodes that were killed and started again together
/// each would take the whole slack for itself.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    slack: f64,
    /// When the node started, if the system had run before.
    restarted: Option<Instant>,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryWindow {
    /// An empty window. `restarted` is when the node started, unless the whole system started
    /// then for the first time.
    pub fn new(
        window: Duration,
        ratio: f64,
        slack: f64,
        restarted: Option<Instant>,
    ) -> RetryWindow {
        RetryWindow {
            window,
            ratio,
            slack,
            restarted,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.forget_old(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget, if there is one left among `nodes` nodes.
    pub fn try_retry(&mut self, nodes: usize, now: Instant) -> bool {
        let budget = self.budget(nodes, now);
        let left = budget.retries < budget.permitted;
        if left {
            self.repeats.push_back(now);
        }
        left
    }

    /// This node's part of the budget among `nodes` nodes.
    pub fn budget(&mut self, nodes: usize, now: Instant) -> RetryBudget {
        self.forget_old(now);
        let own_slack = self.slack_at(now) / nodes.max(1) as f64;
        let permitted = self.ratio * self.requests.len() as f64 + own_slack;
        RetryBudget {
            requests: self.requests.len(),
            retries: self.repeats.len(),
            permitted: (USED_PART * permitted) as usize,
        }
    }

    /// The slack that nodes of this one's age may use together.
    fn slack_at(&self, now: Instant) -> f64 {
        let young = |at: Instant| now.saturating_duration_since(at) < self.window;
        if self.restarted.is_some_and(young) {
            0.0
        } else {
            self.slack
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let window = self.window;
        let old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
        }
    }
}
