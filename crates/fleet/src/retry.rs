//! Retry budget, shared by all nodes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassmill_base::value;

/// Fraction of the permitted retries that is used. The rest is a margin for nodes that see
/// different numbers of nodes, and for uneven request rates.
const UTILIZATION_RATIO: f64 = 0.8;

value! { copy
    /// A node's share of the retry budget in the current window.
    pub struct RetryBudget {
        /// Requests of callers.
        pub requests: usize,
        /// Retries taken from the budget.
        pub retries: usize,
        /// Retries that the budget permits.
        pub permitted: usize,
    }
}

/// Sliding window over the requests and retries of one service at this node.
///
/// The limit applies to all nodes together: `ratio` x requests + `slack` in any window. Requests
/// add up over nodes, so each node may use `ratio` of its own; the slack is divided by the number
/// of nodes. The nodes need not communicate.
///
/// In the first window after a restart a node uses none of the slack. Its share may have been used
/// in the same window, by another node or by itself before the restart, and it doesn't know yet how
/// many other nodes there are: if 74 nodes were restarted together, each would use the whole slack.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    slack: f64,
    /// When the node started; `None` at the first start of the whole system.
    restarted: Option<Instant>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Creates an empty window. `restarted` is when the node started; `None` at the first start of
    /// the whole system.
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
            retries: VecDeque::new(),
        }
    }

    /// Changes the rules of the budget; what was counted stays.
    pub fn set_rules(&mut self, window: Duration, ratio: f64, slack: f64) {
        (self.window, self.ratio, self.slack) = (window, ratio, slack);
    }

    /// Records a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from this node's share of the budget among `nodes` nodes, if one is left.
    pub fn try_retry(&mut self, nodes: usize, now: Instant) -> bool {
        let budget = self.budget(nodes, now);
        let left = budget.retries < budget.permitted;
        if left {
            self.retries.push_back(now);
        }
        left
    }

    /// This node's share of the budget among `nodes` nodes.
    pub fn budget(&mut self, nodes: usize, now: Instant) -> RetryBudget {
        self.remove_expired(now);
        let own_slack = self.slack_at(now) / nodes.max(1) as f64;
        let permitted = self.ratio * self.requests.len() as f64 + own_slack;
        RetryBudget {
            requests: self.requests.len(),
            retries: self.retries.len(),
            permitted: (UTILIZATION_RATIO * permitted) as usize,
        }
    }

    /// The total slack, or zero in the first window after a restart.
    fn slack_at(&self, now: Instant) -> f64 {
        let young = |at: Instant| now.saturating_duration_since(at) < self.window;
        if self.restarted.is_some_and(young) {
            0.0
        } else {
            self.slack
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.window;
        let old = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(old) {
            self.retries.pop_front();
        }
    }
}
