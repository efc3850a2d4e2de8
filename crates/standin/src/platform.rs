//! The platform's state: table, objects, weights and the lagging host list.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::HostEntry;
use eelgrassmill_stores::{MemoryObjects, MemoryTable, WeightInfo};
use smol_str::SmolStr;

use crate::faults::{FaultSet, PlatformFault};

/// Past host lists kept for the lag.
const MAX_PAST_LISTS: usize = 256;
/// How often a running load of weights makes progress.
const LOAD_STEP: Duration = Duration::from_millis(5);
const DEFAULT_LAG_MS: u64 = 5_000;
const DEFAULT_SLOW_MS: u64 = 200;

pub(crate) struct Platform {
    pub(crate) table: MemoryTable,
    pub(crate) objects: MemoryObjects,
    pub(crate) faults: FaultSet<PlatformFault>,
    weights: BTreeMap<SmolStr, u64>,
    bytes_per_second: u64,
    loads: AtomicU64,
    list_lag: Duration,
    /// Host lists with the instants from which they hold, oldest first; never empty.
    lists: Mutex<VecDeque<(Instant, Vec<HostEntry>)>>,
}

impl Platform {
    pub(crate) fn new(
        weights: BTreeMap<SmolStr, u64>,
        bytes_per_second: u64,
        list_lag: Duration,
        list: Vec<HostEntry>,
    ) -> Platform {
        Platform {
            table: MemoryTable::new(),
            objects: MemoryObjects::new(),
            faults: FaultSet::new(),
            weights,
            bytes_per_second,
            loads: AtomicU64::new(0),
            list_lag,
            lists: Mutex::new(VecDeque::from([(Instant::now(), list)])),
        }
    }

    /// What the weight store holds of `model`, `MODEL@VERSION`.
    pub(crate) fn weights(&self, model: &str) -> Option<WeightInfo> {
        let bytes = *self.weights.get(model)?;
        Some(WeightInfo {
            bytes,
            bytes_per_second: self.bytes_per_second,
        })
    }

    /// Reads the weights of `model` while `wanted`; whether they were read whole.
    ///
    /// The store's rate is shared by all reads that run at once.
    pub(crate) async fn read_weights(&self, model: &str, wanted: impl Fn() -> bool) -> bool {
        let Some(info) = self.weights(model) else {
            return false;
        };
        let mut left = info.bytes as f64;
        self.loads.fetch_add(1, Ordering::Relaxed);
        let mut last = Instant::now();
        while left > 0.0 && wanted() {
            tokio::time::sleep(LOAD_STEP).await;
            let step = last.elapsed();
            last = Instant::now();
            if !self.faults.is_on(PlatformFault::WeightsDown) {
                let sharers = self.loads.load(Ordering::Relaxed).max(1) as f64;
                left -= info.bytes_per_second as f64 * step.as_secs_f64() / sharers;
            }
        }
        self.loads.fetch_sub(1, Ordering::Relaxed);
        left <= 0.0
    }

    /// The host list as it was one lag ago.
    pub(crate) fn listed(&self) -> Vec<HostEntry> {
        let lag = self.faults.argument(PlatformFault::ListLag, DEFAULT_LAG_MS);
        let lag = lag.map_or(self.list_lag, Duration::from_millis);
        let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let old_enough = lists.iter().rev().find(|(from, _)| from.elapsed() >= lag);
        old_enough
            .or(lists.front())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Changes the list from now on.
    pub(crate) fn change_list(&self, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut list);
        lists.push_back((Instant::now(), list));
        if lists.len() > MAX_PAST_LISTS {
            lists.pop_front();
        }
    }

    /// How much longer each call to table and objects takes while they are slow.
    pub(crate) fn slowness(&self) -> Option<Duration> {
        let ms = self.faults.argument(PlatformFault::Slow, DEFAULT_SLOW_MS);
        ms.map(Duration::from_millis)
    }

    /// Switches a fault on; `n` as [`PlatformFault`] says.
    pub(crate) fn switch_on(&self, fault: PlatformFault, time: Option<Duration>, n: Option<u64>) {
        let count = u32::try_from(n.unwrap_or(1)).unwrap_or(u32::MAX);
        match fault {
            PlatformFault::LoseAnswer => self.table.lose_responses(count),
            PlatformFault::ApplyLate => self.table.delay_commits(count),
            _ => {}
        }
        self.faults.switch_on(fault, time, n);
    }

    /// Switches a fault off and makes writes that were held back.
    pub(crate) fn switch_off(&self, fault: PlatformFault) {
        self.faults.switch_off(fault);
        match fault {
            PlatformFault::LoseAnswer => self.table.lose_responses(0),
            PlatformFault::ApplyLate => {
                self.table.delay_commits(0);
                self.table.apply_delayed();
            }
            _ => {}
        }
    }

    /// Ends a fault whose time is over, unless it was switched on again.
    pub(crate) fn expire(&self, fault: PlatformFault) {
        if !self.faults.is_on(fault) {
            self.switch_off(fault);
        }
    }
}
