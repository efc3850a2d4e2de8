//! Dissemination of soft state as a pure state machine: no I/O and no clock.
//!
//! Each node owns the items that it publishes. Whoever holds an origin's state
//! identifies it by a fingerprint of name, start and last sequence number; a
//! confirmation is a fingerprint and an age, so that unchanged state stays fresh
//! for a few bytes. A node that is told of a fingerprint that it does not know
//! asks for that state: confirmations double as the search for lost updates.
//!
//! What is new goes down the [`Overlay`]'s trees with the next tick, and with the
//! next flush when it is urgent. Three slower ways mend what the trees lose:
//! unknown fingerprints are asked for, states that nobody confirmed for a while are
//! asked about in turn at other nodes, and every few seconds all fingerprints are
//! compared with one more node.

mod membership;
mod receive;
mod record;
mod send;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, Incarnation, NodeId, Region, stable_hash, value};
use smol_str::SmolStr;

use crate::delay::SenderClock;
use crate::dissemination::membership::{Absent, Backoff};
use crate::dissemination::record::{Fingerprint, Record};
use crate::item::{Item, ItemKey, Pace, Update};
use crate::overlay::Overlay;
use crate::wire::messages::Batch;

/// Ages beyond this count as this.
const LONG_AGO: Duration = Duration::from_secs(3600);

value! {
    /// A node as the lead of its process knows it from the table or from settings.
    pub struct Member {
        /// Its name.
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
        /// Urgent changes wait at most this long at each hop.
        pub flush_interval: Duration,
        /// Other changes wait at most this long at each hop of a full mesh.
        pub tick_interval: Duration,
        /// The same in a larger system, where each tick costs more messages.
        pub large_tick_interval: Duration,
        /// Nodes without verdicts confirm their state this far apart.
        pub heartbeat_interval: Duration,
        /// The same in a larger system.
        pub large_heartbeat_interval: Duration,
        /// Slow items travel this far apart.
        pub low_priority_interval: Duration,
        /// The same in a larger system.
        pub large_low_priority_interval: Duration,
        /// All fingerprints are compared with one other node this far apart.
        pub sync_interval: Duration,
        /// Nodes that are cut off are tried this far apart, one at a time.
        pub reconnect_interval: Duration,
        /// An origin that is silent for this long is forgotten.
        pub expire_after: Duration,
        /// A call takes at most this long; what is known of a sender's clock starts with it.
        pub call_timeout: Duration,
        /// Most bytes of one batch.
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
    /// Who this node is.
    pub struct DisseminationConfig {
        /// This node.
        pub me: Member,
        /// This start of it. A later start must have a higher one.
        pub incarnation: Incarnation,
        /// Times and limits.
        pub timing: Timing,
    }
}

/// What a tick gives.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Batches to send, at most one for each node.
    pub batches: Vec<(NodeId, Batch)>,
    /// What expired.
    pub updates: Vec<Update>,
}

/// What is owed to one node beside what the trees give it.
#[derive(Clone, Debug, Default)]
struct Owed {
    /// Origins whose whole state it lacks.
    states: BTreeSet<NodeId>,
    /// Origins whose confirmation it lacks.
    confirmations: BTreeSet<NodeId>,
    /// Fingerprints that we lack.
    want: BTreeSet<Fingerprint>,
    /// Whether to ask about the states that nobody confirmed lately.
    ask_stale: bool,
    /// Whether to compare all fingerprints with it.
    sync: bool,
}

/// The state that a node holds of all nodes, and what it has yet to hand on.
///
/// Bounded: at most [`MAX_ORIGINS`] origins with a bounded number of items each,
/// and one mark for each origin and child in the trees.
#[derive(Clone, Debug)]
pub struct Dissemination {
    cfg: DisseminationConfig,
    /// Our monotonic clock's zero, against which batches are dated.
    began: Instant,
    records: BTreeMap<NodeId, Record>,
    /// Invariant: exactly the fingerprints of `records`.
    current: BTreeMap<Fingerprint, NodeId>,
    /// Slow items that wait for their turn.
    waiting: BTreeMap<ItemKey, Item>,
    members: BTreeMap<NodeId, Listed>,
    absent: Absent,
    overlay: Overlay,
    overlay_outdated: bool,
    /// How often the overlay was laid out.
    layouts: u64,
    backoff: BTreeMap<NodeId, Backoff>,
    clocks: BTreeMap<NodeId, SenderClock>,
    /// What each child in the trees was sent of each origin: its start and sequence number.
    marks: BTreeMap<NodeId, BTreeMap<NodeId, (Incarnation, u64)>>,
    owed: BTreeMap<NodeId, Owed>,
    due: Due,
    /// Counts the turns in which other nodes are asked.
    turn: usize,
}

/// Most origins held.
pub const MAX_ORIGINS: usize = 8192;

/// A member and since when it is on the list.
#[derive(Clone, Debug)]
struct Listed {
    member: Member,
    since: Instant,
}

/// When what is next.
#[derive(Clone, Debug)]
struct Due {
    tick: Instant,
    last_tick: Instant,
    /// Whether a round of probes has ended since the last tick.
    after_probes: bool,
    alive: Instant,
    slow: Instant,
    sync: Instant,
    probe: Instant,
    /// The overlay isn't laid out anew before this.
    overlay: Instant,
}

impl Dissemination {
    /// Starts with nothing known but this node.
    pub fn new(cfg: DisseminationConfig, now: Instant) -> Dissemination {
        // Nodes that start together would otherwise tick and sync together for ever.
        let phase = |period: Duration, what: &str| {
            let hash = stable_hash([cfg.me.id.as_str(), what]);
            now + period.mul_f64((hash % 1000) as f64 / 1000.0)
        };
        let due = Due {
            tick: phase(cfg.timing.tick_interval, "tick"),
            last_tick: now,
            after_probes: false,
            alive: phase(cfg.timing.heartbeat_interval, "alive"),
            slow: phase(cfg.timing.low_priority_interval, "slow"),
            sync: phase(cfg.timing.sync_interval, "sync"),
            probe: phase(cfg.timing.reconnect_interval, "probe"),
            overlay: now,
        };
        let own = Record::new(&cfg.me.id, cfg.incarnation, now);
        let turn = (stable_hash([cfg.me.id.as_str()]) % 1000) as usize;
        let mut machine = Dissemination {
            began: now,
            records: BTreeMap::from([(cfg.me.id.clone(), own)]),
            current: BTreeMap::new(),
            waiting: BTreeMap::new(),
            members: BTreeMap::new(),
            absent: Absent::default(),
            overlay: Overlay::new([(&cfg.me.id, &cfg.me.failure_domain)]),
            overlay_outdated: false,
            layouts: 0,
            backoff: BTreeMap::new(),
            clocks: BTreeMap::new(),
            marks: BTreeMap::new(),
            owed: BTreeMap::new(),
            due,
            turn,
            cfg,
        };
        let me = machine.cfg.me.id.clone();
        machine.index(&me);
        machine
    }

    /// Publishes an item until it is replaced or withdrawn.
    ///
    /// Loads wait for their turn; only the last value travels, and only when it differs
    /// enough from the one that the others have. A load that tells of another
    /// configuration in force, or of strain, goes with the next tick.
    pub fn publish(&mut self, item: Item, now: Instant) {
        if item.pace() != Pace::Slow {
            self.put(item, None, now);
            return;
        }
        let key = item.key();
        self.waiting.remove(&key);
        let own = self.records.get(&self.cfg.me.id);
        match own.and_then(|record| record.get(&key)) {
            Some(held) if held.is_close_to(&item) => {}
            Some(held) if held.urgent_part() != item.urgent_part() => {
                self.put(item, None, now);
            }
            _ => {
                self.waiting.insert(key, item);
            }
        }
    }

    /// Publishes an item that every node drops `ttl` after `now`.
    pub fn publish_with_ttl(&mut self, item: Item, ttl: Duration, now: Instant) {
        self.put(item, Some(ttl), now);
    }

    /// Withdraws an item of ours.
    pub fn withdraw(&mut self, key: &ItemKey, now: Instant) {
        self.waiting.remove(key);
        self.change_own(|record| record.remove(key, now));
    }

    /// Says that everything published by this node still held at `as_of`.
    ///
    /// A watcher calls it after each round of probes, with the time of the oldest probe
    /// that its verdicts rest on. The next flush then takes the place of the tick, so
    /// that evidence does not age at the very node that gathered it.
    pub fn confirm(&mut self, as_of: Instant) {
        self.change_own(|record| record.confirm(as_of));
        self.due.after_probes = self.is_watcher(&self.cfg.me.id);
    }

    /// Everything held of `origin`, with sequence numbers and times of observation.
    pub fn items_of(&self, origin: &str) -> impl Iterator<Item = (&Item, u64, Instant)> {
        self.records.get(origin).into_iter().flat_map(Record::items)
    }

    /// The origins held, their starts and when each was last confirmed.
    pub fn origins(&self) -> impl Iterator<Item = (&NodeId, Incarnation, Instant)> {
        self.records
            .iter()
            .map(|(id, record)| (id, record.incarnation(), record.confirmed()))
    }

    /// Who hands what on to whom, as this node sees it.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// How often the overlay was laid out anew.
    pub fn layouts(&self) -> u64 {
        self.layouts
    }

    fn put(&mut self, item: Item, ttl: Option<Duration>, now: Instant) {
        let me = &self.cfg.me.id;
        let moves = match &item {
            Item::Status(status) => !self.overlay.has_place(me, &status.failure_domain),
            _ => false,
        };
        self.change_own(|record| record.put(item, ttl, now));
        self.overlay_outdated |= moves;
    }

    fn change_own(&mut self, change: impl FnOnce(&mut Record) -> bool) {
        let me = self.cfg.me.id.clone();
        self.change(&me, change);
    }

    /// Changes a record and keeps the index of fingerprints true.
    fn change<T>(&mut self, origin: &NodeId, change: impl FnOnce(&mut Record) -> T) -> Option<T> {
        let record = self.records.get_mut(origin)?;
        let before = record.fingerprint();
        let result = change(record);
        let after = record.fingerprint();
        if before != after {
            self.current.remove(&before);
            self.current.insert(after, origin.clone());
        }
        Some(result)
    }

    fn index(&mut self, origin: &NodeId) {
        if let Some(record) = self.records.get(origin) {
            self.current.insert(record.fingerprint(), origin.clone());
        }
    }
}

/// How long ago `at` was, in whole milliseconds rounded up.
fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at).min(LONG_AGO);
    age.as_micros().div_ceil(1000) as u64
}

/// The instant `age` before `now`; `None` where the clock does not reach back so far.
fn before(now: Instant, age: Duration) -> Option<Instant> {
    now.checked_sub(age.min(LONG_AGO))
}
