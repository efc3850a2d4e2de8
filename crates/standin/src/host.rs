//! One stand-in host: its state and the orders it takes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eelgrassmill_base::{
    Epoch, Fence, GroupId, HostEntry, HostReport, HostState, Incarnation, Order, OrderKind,
    OrderReply, Placement, RequestId, TargetKind,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::Notify;

use crate::faults::{Fault, FaultSet};
use crate::prefix::PrefixCache;
use crate::runs::{OrderSeen, RunLog};
use crate::slots::Slots;
use crate::spec::HostSpec;

/// Model versions whose weights stay warm at most.
const MAX_WARM: usize = 2;
/// Placements remembered with the moment of readiness at most.
const MAX_READIED: usize = 1024;
/// How often a paused host looks whether it may go on.
const PAUSE_STEP: Duration = Duration::from_millis(5);
const DEFAULT_SLOWNESS: u64 = 4;

/// One host, shared by its server and by the lead of its group.
pub(crate) struct Host {
    pub(crate) spec: HostSpec,
    pub(crate) address: SmolStr,
    pub(crate) faults: FaultSet<Fault>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) cache: PrefixCache,
    pub(crate) runs: RunLog,
    /// Woken when it is to die or to come back.
    pub(crate) changed: Notify,
    state: Mutex<State>,
    cancels: Mutex<BTreeMap<RequestId, Arc<AtomicBool>>>,
}

struct State {
    incarnation: Incarnation,
    alive: bool,
    placement: Option<Placement>,
    ready: bool,
    /// Each placement that it became ready in, and when; kept over restarts.
    readied: VecDeque<Readied>,
    /// Lost with a restart, as the host has no disk.
    fence: Fence,
    leaving_since: Option<Instant>,
    listed_leaving: bool,
    warm: Vec<SmolStr>,
    load: Load,
    /// The last answer, while answers are to be given twice.
    last_answer: Option<LastAnswer>,
    last_request: RequestId,
}

/// What the host says of its load, which is older than it seems.
struct Load {
    at: Instant,
    running: u32,
}

/// An answer that is given a second time.
#[derive(Clone)]
pub(crate) struct LastAnswer {
    pub(crate) request: RequestId,
    pub(crate) body: String,
}

/// What a lead notes of a member when a request begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Membership {
    group: GroupId,
    epoch: Epoch,
    incarnation: Incarnation,
}

/// The moment at which a host became ready in a group.
struct Readied {
    group: GroupId,
    epoch: Epoch,
    at: Instant,
}

/// Weights to be loaded for a placement.
pub(crate) struct Loading {
    pub(crate) model: SmolStr,
    incarnation: Incarnation,
    placement: Placement,
}

impl Host {
    pub(crate) fn new(spec: HostSpec, address: SmolStr) -> Host {
        let state = State {
            incarnation: 1,
            alive: true,
            placement: None,
            ready: false,
            readied: VecDeque::new(),
            fence: 0,
            leaving_since: None,
            listed_leaving: false,
            warm: Vec::new(),
            load: Load {
                at: Instant::now(),
                running: 0,
            },
            last_answer: None,
            last_request: RequestId::default(),
        };
        Host {
            slots: Slots::new(spec.slots, spec.queue),
            cache: PrefixCache::new(spec.cache_bytes, spec.event_lag),
            spec,
            address,
            faults: FaultSet::new(),
            runs: RunLog::new(),
            changed: Notify::new(),
            state: Mutex::new(state),
            cancels: Mutex::new(BTreeMap::new()),
        }
    }

    /// Its line of the host list.
    pub(crate) fn entry(&self, state: HostState) -> HostEntry {
        HostEntry {
            id: self.spec.id.clone(),
            address: self.address.clone(),
            kind: self.spec.kind,
            region: self.spec.region.clone(),
            failure_domain: self.spec.failure_domain.clone(),
            fabric_domain: self.spec.fabric_domain.clone(),
            accelerators: self.spec.accelerators,
            state,
        }
    }

    /// Its own account of itself.
    pub(crate) fn report(&self) -> HostReport {
        let mut state = self.lock();
        if state.load.at.elapsed() >= self.spec.load_lag {
            let running = u32::try_from(self.slots.used()).unwrap_or(u32::MAX);
            state.load = Load {
                at: Instant::now(),
                running,
            };
        }
        HostReport {
            host: self.spec.id.clone(),
            incarnation: state.incarnation,
            placement: state.placement.clone(),
            // A plain service has nothing to load.
            ready: state.ready || self.spec.kind == TargetKind::Plain,
            fence: state.fence,
            leaving: self.faults.is_on(Fault::Leaving),
            running: state.load.running,
            warm: state.warm.clone(),
        }
    }

    /// Takes an order; gives what has to be loaded for it.
    pub(crate) fn take(&self, order: &Order) -> (OrderReply, Option<Loading>) {
        let obeyed = self.may_obey(order.fence);
        self.runs.ordered(OrderSeen {
            kind: order.kind,
            group: order.placement.group.clone(),
            epoch: order.placement.epoch,
            fence: order.fence,
            from: order.from.clone(),
            obeyed,
        });
        if !obeyed {
            return (OrderReply::Fenced(self.fence()), None);
        }
        let loading = self.obey(order);
        (OrderReply::Obeyed(self.report()), loading)
    }

    fn may_obey(&self, fence: Fence) -> bool {
        let ignores = !self.spec.checks_fences || self.faults.is_on(Fault::IgnoreFences);
        ignores || fence >= self.fence()
    }

    fn obey(&self, order: &Order) -> Option<Loading> {
        let mut state = self.lock();
        state.fence = state.fence.max(order.fence);
        match order.kind {
            OrderKind::Join => state.join(&order.placement),
            OrderKind::Leave => {
                state.leave(&order.placement);
                None
            }
        }
    }

    /// Makes it ready when it still has the placement that was loaded for.
    pub(crate) fn loaded(&self, loading: &Loading) {
        let mut state = self.lock();
        let same = state.placement.as_ref() == Some(&loading.placement);
        if !same || state.incarnation != loading.incarnation || !state.alive {
            return;
        }
        state.become_ready(&loading.placement);
        state.warm.retain(|model| *model != loading.model);
        state.warm.push(loading.model.clone());
        if state.warm.len() > MAX_WARM {
            state.warm.remove(0);
        }
    }

    /// Whether `loading` still matters.
    pub(crate) fn wants(&self, loading: &Loading) -> bool {
        let state = self.lock();
        state.alive && state.placement.as_ref() == Some(&loading.placement)
    }

    /// Stops being alive and loses all state.
    pub(crate) fn died(&self) {
        let mut state = self.lock();
        state.alive = false;
        state.placement = None;
        state.ready = false;
        state.fence = 0;
        state.warm.clear();
        state.last_answer = None;
        drop(state);
        self.cache.clear();
    }

    /// Is alive again, as a new start.
    pub(crate) fn started(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.alive = true;
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.lock().alive
    }

    pub(crate) fn fence(&self) -> Fence {
        self.lock().fence
    }

    pub(crate) fn placement(&self) -> Option<Placement> {
        self.lock().placement.clone()
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.lock().incarnation
    }

    /// When it first became ready in this epoch of a group, as far as it remembers.
    pub(crate) fn ready_since(&self, group: &str, epoch: Epoch) -> Option<Instant> {
        let state = self.lock();
        let here = |r: &&Readied| r.group == group && r.epoch == epoch;
        state.readied.iter().find(here).map(|r| r.at)
    }

    /// Whether it is alive and has not restarted since `incarnation`.
    pub(crate) fn is_still(&self, incarnation: Incarnation) -> bool {
        let state = self.lock();
        state.alive && state.incarnation == incarnation
    }

    /// Its membership, when it is alive, placed and ready.
    pub(crate) fn membership(&self) -> Option<Membership> {
        let state = self.lock();
        if !state.alive || !state.ready {
            return None;
        }
        let placement = state.placement.as_ref()?;
        Some(Membership {
            group: placement.group.clone(),
            epoch: placement.epoch,
            incarnation: state.incarnation,
        })
    }

    /// Waits while it is paused.
    pub(crate) async fn unpaused(&self) {
        while self.faults.is_on(Fault::Pause) && self.is_alive() {
            tokio::time::sleep(PAUSE_STEP).await;
        }
    }

    /// `time`, longer when it is slow.
    pub(crate) fn slowed(&self, time: Duration) -> Duration {
        let factor = self
            .faults
            .argument(Fault::Slow, DEFAULT_SLOWNESS)
            .unwrap_or(1);
        time.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX))
    }

    /// Notes what the host list says of it.
    pub(crate) fn set_listed_leaving(&self, leaving: bool) {
        self.lock().listed_leaving = leaving;
        self.leaving_ms();
    }

    /// Milliseconds since it was first said to be leaving, by the list or by itself.
    pub(crate) fn leaving_ms(&self) -> Option<u64> {
        let by_itself = self.faults.is_on(Fault::Leaving);
        let mut state = self.lock();
        if !by_itself && !state.listed_leaving {
            state.leaving_since = None;
            return None;
        }
        let since = *state.leaving_since.get_or_insert_with(Instant::now);
        Some(u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Sets the last request; gives the one before.
    pub(crate) fn swap_last_request(&self, request: &RequestId) -> RequestId {
        std::mem::replace(&mut self.lock().last_request, request.clone())
    }

    pub(crate) fn take_last_answer(&self) -> Option<LastAnswer> {
        self.lock().last_answer.take()
    }

    pub(crate) fn keep_last_answer(&self, answer: LastAnswer) {
        self.lock().last_answer = Some(answer);
    }

    /// A flag that is raised when `request` is cancelled.
    pub(crate) fn cancel_flag(&self, request: &RequestId) -> Arc<AtomicBool> {
        let flag = Arc::new(AtomicBool::new(false));
        self.lock_cancels()
            .insert(request.clone(), Arc::clone(&flag));
        flag
    }

    pub(crate) fn forget_cancel_flag(&self, request: &RequestId, flag: &Arc<AtomicBool>) {
        let mut cancels = self.lock_cancels();
        if cancels
            .get(request)
            .is_some_and(|known| Arc::ptr_eq(known, flag))
        {
            cancels.remove(request);
        }
    }

    /// Cancels `request`; whether it was there.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let flag = self.lock_cancels().remove(request);
        if let Some(flag) = &flag {
            flag.store(true, Ordering::Release);
        }
        flag.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_cancels(&self) -> MutexGuard<'_, BTreeMap<RequestId, Arc<AtomicBool>>> {
        self.cancels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn join(&mut self, placement: &Placement) -> Option<Loading> {
        if self.placement.as_ref() == Some(placement) {
            return None;
        }
        let model = format_smolstr!("{}@{}", placement.model, placement.version);
        self.placement = Some(placement.clone());
        self.ready = false;
        if self.warm.contains(&model) {
            self.become_ready(placement);
        }
        let loading = Loading {
            model,
            incarnation: self.incarnation,
            placement: placement.clone(),
        };
        (!self.ready).then_some(loading)
    }

    /// The moment is noted before any report can show the readiness, as reports wait for the state.
    fn become_ready(&mut self, placement: &Placement) {
        self.ready = true;
        if self.readied.len() == MAX_READIED {
            self.readied.pop_front();
        }
        self.readied.push_back(Readied {
            group: placement.group.clone(),
            epoch: placement.epoch,
            at: Instant::now(),
        });
    }

    fn leave(&mut self, meant: &Placement) {
        let same = |held: &Placement| held.group == meant.group && held.epoch == meant.epoch;
        if self.placement.as_ref().is_some_and(same) {
            self.placement = None;
            self.ready = false;
        }
    }
}
