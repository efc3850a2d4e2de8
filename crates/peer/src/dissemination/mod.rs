//! Dissemination of soft state as a pure state machine: no I/O and no clock.
//!
//! Each node owns the items that it publishes. A version of an origin's state is
//! identified by a fingerprint of name, incarnation and last sequence number. A
//! confirmation is a fingerprint and an age, so that keeping unchanged state fresh
//! costs a few bytes. A node that receives an unknown fingerprint requests that
//! state, so confirmations also detect lost updates.
//!
//! Changes are forwarded along the [`Overlay`]'s trees with the next tick, urgent
//! ones with the next flush. Anti-entropy repairs what the trees lose: unknown
//! fingerprints are requested, unconfirmed states are queried at other nodes in
//! round-robin order, and every few seconds all fingerprints are compared with one
//! other node.

mod membership;
mod origin_state;
mod receive;
mod send;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, Incarnation, NodeId, Region, stable_hash, value};
use smol_str::SmolStr;

use crate::delay::SenderClock;
use crate::dissemination::membership::{Backoff, LostNodes};
use crate::dissemination::origin_state::{Fingerprint, OriginState};
use crate::item::{Item, ItemKey, Priority, Update};
use crate::overlay::Overlay;
use crate::wire::messages::Batch;

/// Longer ages are capped at this.
const MAX_AGE: Duration = Duration::from_secs(3600);

value! {
    /// A node as listed in the table or in the settings.
    pub struct Member {
        /// Its ID.
        pub id: NodeId,
        /// `IP:PORT` for other nodes.
        pub address: SmolStr,
        /// Its failure domain.
        pub failure_domain: FailureDomain,
        /// Its region.
        pub region: Region,
    }

    /// Times and limits of dissemination. The defaults are for production.
    pub struct Timing {
        /// Longest time that an urgent change waits at each hop.
        pub flush_interval: Duration,
        /// Longest time that other changes wait at each hop of a full mesh.
        pub tick_interval: Duration,
        /// The same in a larger system, where each tick costs more messages.
        pub large_tick_interval: Duration,
        /// How often nodes without health reports confirm their state.
        pub heartbeat_interval: Duration,
        /// The same in a larger system.
        pub large_heartbeat_interval: Duration,
        /// How often low-priority items are sent.
        pub low_priority_interval: Duration,
        /// The same in a larger system.
        pub large_low_priority_interval: Duration,
        /// How often all fingerprints are compared with one other node.
        pub sync_interval: Duration,
        /// How often one of the lost nodes is tried again.
        pub reconnect_interval: Duration,
        /// An origin that isn't confirmed for this long is dropped.
        pub expire_after: Duration,
        /// Timeout of a call; also the delay assumed for a sender's first batch.
        pub call_timeout: Duration,
        /// Largest batch in bytes.
        pub max_batch_bytes: usize,
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            flush_interval: Duration::from_millis(50),
            tick_interval: Duration::from_millis(250),
            large_tick_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_secs(2),
            large_heartbeat_interval: Duration::from_secs(4),
            low_priority_interval: Duration::from_secs(2),
            large_low_priority_interval: Duration::from_secs(20),
            sync_interval: Duration::from_secs(10),
            reconnect_interval: Duration::from_secs(2),
            expire_after: Duration::from_secs(30),
            call_timeout: Duration::from_secs(2),
            max_batch_bytes: 64 * 1024,
        }
    }
}

value! {
    /// This node's identity and its timing.
    pub struct DisseminationConfig {
        /// This node.
        pub me: Member,
        /// Its incarnation; must rise with each restart.
        pub incarnation: Incarnation,
        /// Times and limits.
        pub timing: Timing,
    }
}

/// The result of a tick.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Batches to send, at most one per node.
    pub batches: Vec<(NodeId, Batch)>,
    /// Changes due to expiry.
    pub updates: Vec<Update>,
}

/// What to send to one node in addition to the changes forwarded along the trees.
#[derive(Clone, Debug, Default)]
struct Pending {
    /// Origins whose full state to send.
    full_states: BTreeSet<NodeId>,
    /// Origins whose confirmation to send.
    confirmations: BTreeSet<NodeId>,
    /// Fingerprints to request.
    want: BTreeSet<Fingerprint>,
    /// Whether to query the stale states.
    query_stale: bool,
    /// Whether to compare all fingerprints.
    sync: bool,
}

/// The state that a node holds of all nodes, and the changes that it has yet to forward.
///
/// Bounded: at most [`MAX_ORIGINS`] origins with a bounded number of items each,
/// and one sent version per origin and child in the trees.
#[derive(Clone, Debug)]
pub struct Dissemination {
    cfg: DisseminationConfig,
    /// Zero of the monotonic clock that dates the batches.
    started_at: Instant,
    states: BTreeMap<NodeId, OriginState>,
    /// Invariant: exactly the fingerprints of `states`.
    by_fingerprint: BTreeMap<Fingerprint, NodeId>,
    /// Low-priority items that wait for their next interval.
    deferred: BTreeMap<ItemKey, Item>,
    members: BTreeMap<NodeId, ListedMember>,
    lost_nodes: LostNodes,
    overlay: Overlay,
    overlay_outdated: bool,
    /// How often the overlay was rebuilt.
    overlay_rebuilds: u64,
    backoff: BTreeMap<NodeId, Backoff>,
    clocks: BTreeMap<NodeId, SenderClock>,
    /// The version of each origin last sent to each child: incarnation and sequence number.
    sent_versions: BTreeMap<NodeId, BTreeMap<NodeId, (Incarnation, u64)>>,
    pending: BTreeMap<NodeId, Pending>,
    timers: Timers,
    /// Counter that selects nodes in round-robin order.
    round_robin: usize,
}

/// Maximum number of origins.
pub const MAX_ORIGINS: usize = 8192;

/// A member and when it was added to the list.
#[derive(Clone, Debug)]
struct ListedMember {
    member: Member,
    since: Instant,
}

/// When each periodic action is due.
#[derive(Clone, Debug)]
struct Timers {
    next_tick: Instant,
    last_tick: Instant,
    /// Whether a round of probes has ended since the last tick.
    probe_round_done: bool,
    next_heartbeat: Instant,
    next_low_priority: Instant,
    next_sync: Instant,
    next_reconnect: Instant,
    /// The overlay isn't rebuilt before this.
    next_rebuild: Instant,
}

impl Dissemination {
    /// Creates the state of a node that knows only itself.
    pub fn new(cfg: DisseminationConfig, now: Instant) -> Dissemination {
        // Without a phase, nodes that start together would always tick and sync together.
        let phase = |period: Duration, what: &str| {
            let hash = stable_hash([cfg.me.id.as_str(), what]);
            now + period.mul_f64((hash % 1000) as f64 / 1000.0)
        };
        let timers = Timers {
            next_tick: phase(cfg.timing.tick_interval, "tick"),
            last_tick: now,
            probe_round_done: false,
            next_heartbeat: phase(cfg.timing.heartbeat_interval, "alive"),
            next_low_priority: phase(cfg.timing.low_priority_interval, "slow"),
            next_sync: phase(cfg.timing.sync_interval, "sync"),
            next_reconnect: phase(cfg.timing.reconnect_interval, "probe"),
            next_rebuild: now,
        };
        let own = OriginState::new(&cfg.me.id, cfg.incarnation, now);
        let round_robin = (stable_hash([cfg.me.id.as_str()]) % 1000) as usize;
        let mut dissemination = Dissemination {
            started_at: now,
            states: BTreeMap::from([(cfg.me.id.clone(), own)]),
            by_fingerprint: BTreeMap::new(),
            deferred: BTreeMap::new(),
            members: BTreeMap::new(),
            lost_nodes: LostNodes::default(),
            overlay: Overlay::new([(&cfg.me.id, &cfg.me.failure_domain)]),
            overlay_outdated: false,
            overlay_rebuilds: 0,
            backoff: BTreeMap::new(),
            clocks: BTreeMap::new(),
            sent_versions: BTreeMap::new(),
            pending: BTreeMap::new(),
            timers,
            round_robin,
            cfg,
        };
        let me = dissemination.cfg.me.id.clone();
        dissemination.index_fingerprint(&me);
        dissemination
    }

    /// Publishes an item until it is replaced or withdrawn.
    ///
    /// Low-priority items are deferred to their next interval; only the last value is sent,
    /// and only if it differs enough from the published one. A load with another
    /// configuration version or a changed overload flag is sent with the next tick.
    pub fn publish(&mut self, item: Item, now: Instant) {
        if item.priority() != Priority::Low {
            self.put_own(item, None, now);
            return;
        }
        let key = item.key();
        self.deferred.remove(&key);
        let own = self.states.get(&self.cfg.me.id);
        match own.and_then(|state| state.get(&key)) {
            Some(held) if held.is_similar_to(&item) => {}
            Some(held) if held.urgent_part() != item.urgent_part() => {
                self.put_own(item, None, now);
            }
            _ => {
                self.deferred.insert(key, item);
            }
        }
    }

    /// Publishes an item that every node drops `ttl` after `now`.
    pub fn publish_with_ttl(&mut self, item: Item, ttl: Duration, now: Instant) {
        self.put_own(item, Some(ttl), now);
    }

    /// Withdraws an item of this node.
    pub fn withdraw(&mut self, key: &ItemKey, now: Instant) {
        self.deferred.remove(key);
        self.update_own(|state| state.remove(key, now));
    }

    /// Confirms that everything published by this node was still valid at `as_of`.
    ///
    /// A watcher calls it after each round of probes, with the time of the oldest probe
    /// behind its health reports. The next flush then acts as the tick, so that the
    /// evidence isn't delayed at the node that gathered it.
    pub fn confirm(&mut self, as_of: Instant) {
        self.update_own(|state| state.confirm(as_of));
        self.timers.probe_round_done = self.is_watcher(&self.cfg.me.id);
    }

    /// The items held of `origin`, with sequence numbers and times of observation.
    pub fn items_of(&self, origin: &str) -> impl Iterator<Item = (&Item, u64, Instant)> {
        self.states
            .get(origin)
            .into_iter()
            .flat_map(OriginState::items)
    }

    /// The origins held, their incarnations and when each was last confirmed.
    pub fn origins(&self) -> impl Iterator<Item = (&NodeId, Incarnation, Instant)> {
        self.states
            .iter()
            .map(|(id, state)| (id, state.incarnation(), state.confirmed()))
    }

    /// The forwarding overlay as this node sees it.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// How often the overlay was rebuilt.
    pub fn overlay_rebuilds(&self) -> u64 {
        self.overlay_rebuilds
    }

    fn put_own(&mut self, item: Item, ttl: Option<Duration>, now: Instant) {
        let me = &self.cfg.me.id;
        let is_moved = match &item {
            Item::Status(status) => !self.overlay.has_position(me, &status.failure_domain),
            _ => false,
        };
        self.update_own(|state| state.put(item, ttl, now));
        self.overlay_outdated |= is_moved;
    }

    fn update_own(&mut self, change: impl FnOnce(&mut OriginState) -> bool) {
        let me = self.cfg.me.id.clone();
        self.update_state(&me, change);
    }

    /// Changes a state and keeps the fingerprint index consistent.
    fn update_state<T>(
        &mut self,
        origin: &NodeId,
        change: impl FnOnce(&mut OriginState) -> T,
    ) -> Option<T> {
        let state = self.states.get_mut(origin)?;
        let before = state.fingerprint();
        let result = change(state);
        let after = state.fingerprint();
        if before != after {
            self.by_fingerprint.remove(&before);
            self.by_fingerprint.insert(after, origin.clone());
        }
        Some(result)
    }

    fn index_fingerprint(&mut self, origin: &NodeId) {
        if let Some(state) = self.states.get(origin) {
            self.by_fingerprint
                .insert(state.fingerprint(), origin.clone());
        }
    }
}

/// Age of `at` in whole milliseconds, rounded up.
fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at).min(MAX_AGE);
    age.as_micros().div_ceil(1000) as u64
}

/// The instant `age` before `now`; `None` if the clock can't represent it.
fn instant_ago(now: Instant, age: Duration) -> Option<Instant> {
    now.checked_sub(age.min(MAX_AGE))
}
