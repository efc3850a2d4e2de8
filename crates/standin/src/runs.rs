//! What a target ran and which orders it took, for judging from outside.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrassmill_base::{
    Epoch, Fence, GroupId, HostId, IdempotencyKey, NodeId, OrderKind, RequestId, TenantId, value,
};

/// Runs and orders listed at most; counts go on beyond it.
const MAX_LISTED: usize = 50_000;

value! { wire copy
    /// How a run ended.
    pub enum RunEnd {
        /// It goes on.
        Running,
        /// The whole answer was produced.
        Whole,
        /// It stopped before its end: caller gone, cancelled, or the group broke.
        Stopped,
    }
}

value! { wire
    /// One run of a request.
    pub struct Run {
        /// The request.
        pub request: RequestId,
        /// The caller's key, where one came along.
        pub key: Option<IdempotencyKey>,
        /// The host that ran it.
        pub host: HostId,
        /// The group it was sent to.
        pub group: GroupId,
        /// The epoch it was sent to.
        pub epoch: Epoch,
        /// The highest fencing number that the host had obeyed.
        pub fence: Fence,
        /// The tenant.
        pub tenant: TenantId,
        /// Offset in tokens where a resumed stream went on.
        pub resume_from: u64,
        /// Milliseconds since the host was first said to be leaving.
        pub leaving_ms: Option<u64>,
        /// How it ended.
        pub end: RunEnd,
    }

    /// One order that came.
    pub struct OrderSeen {
        /// What was asked.
        pub kind: OrderKind,
        /// The group.
        pub group: GroupId,
        /// Its epoch.
        pub epoch: Epoch,
        /// The fencing number.
        pub fence: Fence,
        /// Who sent it.
        pub from: NodeId,
        /// Whether it was obeyed.
        pub obeyed: bool,
    }

    /// All that a target ran and was ordered.
    pub struct RunReport {
        /// Runs in the order in which they began.
        pub runs: Vec<Run>,
        /// Runs by request.
        pub by_request: BTreeMap<RequestId, u64>,
        /// Runs by the caller's key.
        pub by_key: BTreeMap<IdempotencyKey, u64>,
        /// Orders in the order in which they came.
        pub orders: Vec<OrderSeen>,
        /// Runs and orders that are not listed, since the lists were full.
        pub unlisted: u64,
    }
}

#[derive(Debug)]
pub(crate) struct RunLog {
    report: Mutex<RunReport>,
}

impl RunLog {
    pub(crate) fn new() -> RunLog {
        let report = RunReport {
            runs: Vec::new(),
            by_request: BTreeMap::new(),
            by_key: BTreeMap::new(),
            orders: Vec::new(),
            unlisted: 0,
        };
        RunLog {
            report: Mutex::new(report),
        }
    }

    /// Counts a run; gives its place in the list, when it has one.
    pub(crate) fn began(&self, run: Run) -> Option<usize> {
        let mut report = self.lock();
        *report.by_request.entry(run.request.clone()).or_default() += 1;
        if let Some(key) = run.key.clone() {
            *report.by_key.entry(key).or_default() += 1;
        }
        if report.runs.len() >= MAX_LISTED {
            report.unlisted += 1;
            return None;
        }
        report.runs.push(run);
        Some(report.runs.len() - 1)
    }

    pub(crate) fn ended(&self, place: Option<usize>, end: RunEnd) {
        let mut report = self.lock();
        if let Some(run) = place.and_then(|place| report.runs.get_mut(place)) {
            run.end = end;
        }
    }

    pub(crate) fn ordered(&self, order: OrderSeen) {
        let mut report = self.lock();
        if report.orders.len() >= MAX_LISTED {
            report.unlisted += 1;
        } else {
            report.orders.push(order);
        }
    }

    pub(crate) fn has_run(&self, key: &str) -> bool {
        self.lock().by_key.contains_key(key)
    }

    pub(crate) fn report(&self) -> RunReport {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, RunReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
