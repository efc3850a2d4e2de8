//! Reflectors keep this node's state up to date with the platform's lists, read from the store or
//! from another node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId, RowVersion, StoreEra, StorePosition};
use eelgrassmill_fleet::{EvacuationChange, FleetChange, Host};
use tracing::{info, warn};

use crate::configuration;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{OperatorChange, Platform, Source, SourceError};
use crate::snapshot_relay::{self, ListCopy, ListUpdate, Parent, RelayError, Relayed};

/// Longest wait of one long poll of the store. Its response also confirms that nothing else has
/// changed, which other nodes have to know twice a second, and a dead connection is detected only
/// by a poll without a response.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a response with changes, so that changes in quick succession cost one call, and after
/// one that came sooner than this.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// How long after its start a node reads the store, unless it has a copy from another node by then.
/// A node that joins a running system discovers the others sooner.
const FIRST_STORE_READ_DELAY: Duration = Duration::from_millis(150);
/// Jitter of the first read of the store, for nodes that start together.
const START_JITTER: Duration = Duration::from_millis(50);
/// Longest time beyond [`FIRST_STORE_READ_DELAY`] that a node without lists waits for its seeds.
/// The seeds may be the last to start, and the store can't serve its whole lists to each node of a
/// large fleet at once.
const MAX_SEED_WAIT: Duration = Duration::from_millis(400);
/// First interval at which a node without lists polls other nodes for a copy.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The same after some polls: polled at [`COPY_POLL_INTERVAL`] by all that start with them, nodes
/// would have no time to read the lists themselves.
const MAX_COPY_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time that another node may take to prepare a copy.
const COPY_RPC_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node waits for another node's copy after the store gave no response.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a node that has just started waits to discover others before it polls the store for a
/// list. Otherwise, when all nodes start at once, each would poll the store.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often it checks for them.
const PEER_DISCOVERY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two reads in which no host's entry can lapse: entries lapse after three
/// intervals of 1.2 s without a report, of which one may have passed before.
const MAX_READ_GAP: Duration = Duration::from_millis(2400);
/// Backoff after a failure; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// After an outage the store must be read again well within the 2 s in which a change has to take
/// effect.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// How long lists are provisional after the store came back from an older copy. By then hosts that
/// are alive have written their entries again, and the entries of the others have expired.
const PROVISIONAL_PERIOD: Duration = Duration::from_secs(4);
/// How often a node then polls a parent whose list is still provisional.
const PROVISIONAL_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Where changes are from.
pub(crate) struct ChangeOrigin<'r> {
    version: RowVersion,
    /// The node that sent them; `None` for the store.
    node: Option<&'r NodeId>,
    /// Whether a whole list may be older than what is known.
    is_provisional: bool,
}

impl ChangeOrigin<'_> {
    fn name(&self) -> &str {
        self.node.map_or("store", |node| node.as_str())
    }
}

/// Receives the changes of a list.
pub(crate) trait Sink<C> {
    /// Applies changes in order.
    fn apply(&self, changes: Vec<C>, origin: &ChangeOrigin<'_>);
}

/// Which copies of a list are acceptable.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CopyAge {
    /// Copies as recent as those of a node with access to the store.
    Fresh,
    /// Any copy, while the store gives no response.
    Any,
}

/// Reads one list and remembers its position.
struct Reflector<'r, P: Platform, S> {
    core: &'r Core<P>,
    source: &'r S,
    /// Where the list's feed continues; `None` if the whole list has to be read.
    cursor: Option<StorePosition>,
    /// The highest position that was read. Its version is 0 if only its era is known.
    newest: StorePosition,
    /// Whether the last read succeeded.
    healthy: bool,
    /// Whether a read of the store got no answer in time since the last successful one.
    is_unanswered: bool,
    /// When the last read that proves that the store is available was done.
    last_fresh: Option<Instant>,
    /// Whether the last list that was read was ignored.
    ignores: bool,
    /// When the whole list has to be read again; `None` unless the one that was read last is
    /// provisional, or the next one will be.
    provisional_until: Option<Instant>,
}

/// What to do with an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Apply,
    /// It shows an older state than one that was read before.
    Ignore,
    /// Its changes follow a list of another era than the one that this node has.
    ReadWholeList,
}

/// The result of one read of a list.
struct ListRead<C> {
    update: ListUpdate<C>,
    encoded: Vec<Vec<u8>>,
    /// The node that sent it; `None` for the store.
    from: Option<NodeId>,
    /// Whether it proves that the store is available.
    is_fresh: bool,
}

impl<C> ListRead<C> {
    fn from_copy(copy: ListCopy<C>, from: NodeId) -> ListRead<C> {
        ListRead {
            is_fresh: copy.check().is_ok(),
            update: copy.update,
            encoded: copy.encoded,
            from: Some(from),
        }
    }
}

impl<P, S> Reflector<'_, P, S>
where
    P: Platform,
    S: Source,
    S::Change: Relayed<P>,
{
    /// Reads new changes from the parent node, or from the store if there is none.
    async fn next(&self) -> Result<ListRead<S::Change>, SourceError> {
        if self.cursor.is_none() {
            return self.initial_list().await;
        }
        while self.is_discovering_peers() {
            tokio::time::sleep(PEER_DISCOVERY_INTERVAL).await;
        }
        let Some(parent) = snapshot_relay::parent(self.core) else {
            // The first poll after a failure asks for an immediate response: a long poll on a dead
            // connection would hide for seconds that the store is back.
            let wait = if self.healthy && !self.is_unanswered {
                LONG_POLL_TIMEOUT
            } else {
                Duration::ZERO
            };
            return self.read_store(wait).await;
        };
        loop {
            match self.poll_parent(&parent).await {
                // When nodes start together, the parent may be the last to get its first lists.
                Err(RelayError::NoCopy) if self.has_just_started() => {
                    tokio::time::sleep(PEER_DISCOVERY_INTERVAL).await;
                }
                Err(why) => return self.fall_back_to_store(&parent.node, &why).await,
                Ok(read) => return Ok(read),
            }
        }
    }

    /// Reads the whole list from the store or from any node that has it, whichever is sooner.
    ///
    /// A node that starts serves nothing until then. While the store is unavailable, the lists of
    /// other nodes are the best available.
    async fn initial_list(&self) -> Result<ListRead<S::Change>, SourceError> {
        let not_before = FIRST_STORE_READ_DELAY + START_JITTER.mul_f64(fastrand::f64());
        let seed_wait = MAX_SEED_WAIT.mul_f64(fastrand::f64());
        let store = async {
            // The nodes that start together with this one are discovered only after a while.
            while self.core.started_at.elapsed() < not_before + self.initial_read_delay(seed_wait) {
                tokio::time::sleep(MAX_COPY_POLL_INTERVAL).await;
            }
            self.read_store(Duration::ZERO).await
        };
        let read = tokio::select! {
            read = store => read,
            copy = self.fetch_any_copy(CopyAge::Fresh) => Ok(copy),
        };
        match read {
            Ok(read) => Ok(read),
            Err(err) => {
                let copy = self.fetch_any_copy(CopyAge::Any);
                let copy = tokio::time::timeout(COPY_TIMEOUT, copy).await;
                copy.map_err(|_| err)
            }
        }
    }

    /// How long this node delays its first read of the store in favour of others; `seed_wait` while
    /// it has seeds that it hasn't discovered.
    fn initial_read_delay(&self, seed_wait: Duration) -> Duration {
        if self.is_discovering_peers() {
            seed_wait
        } else {
            snapshot_relay::initial_read_delay(self.core)
        }
    }

    /// Polls other nodes until one sends its copy.
    async fn fetch_any_copy(&self, age: CopyAge) -> ListRead<S::Change> {
        let mut interval = COPY_POLL_INTERVAL;
        loop {
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_COPY_POLL_INTERVAL);
            let Some(node) = snapshot_relay::any_copy_source(self.core) else {
                continue;
            };
            let start = StorePosition::default();
            let copy = snapshot_relay::fetch(self.core, &node, start, COPY_RPC_TIMEOUT).await;
            match copy {
                Ok(copy) if copy.check_era(self.newest.era).is_err() => {}
                // It would be ignored, and this node may be the one that has to read the store.
                Ok(copy) if copy.update.position < self.newest => {}
                Ok(copy) if age == CopyAge::Any || copy.check().is_ok() => {
                    return ListRead::from_copy(copy, node);
                }
                Ok(_) | Err(RelayError::NoCopy) => {}
                Err(why) => {
                    info!(event = "relay-failed", list = S::Change::LIST, %node, %why);
                    locked(&self.core.nodes).mark_unavailable(&node, Instant::now());
                }
            }
        }
    }

    async fn poll_parent(&self, parent: &Parent) -> Result<ListRead<S::Change>, RelayError> {
        let since = self.feed_position().unwrap_or_default();
        let node = &parent.node;
        let copy = snapshot_relay::fetch(self.core, node, since, parent.wait).await?;
        copy.check()?;
        copy.check_era(self.newest.era)?;
        Ok(ListRead::from_copy(copy, node.clone()))
    }

    /// Reads the store after the parent gave no usable copy.
    async fn fall_back_to_store(
        &self,
        parent: &NodeId,
        why: &RelayError,
    ) -> Result<ListRead<S::Change>, SourceError> {
        info!(event = "relay-failed", list = S::Change::LIST, node = %parent, %why);
        locked(&self.core.nodes).mark_unavailable(parent, Instant::now());
        self.read_store(Duration::ZERO).await
    }

    /// Where the list's feed continues; `None` if the whole list has to be read now.
    fn feed_position(&self) -> Option<StorePosition> {
        let is_due = self
            .provisional_until
            .is_some_and(|at| Instant::now() >= at);
        self.cursor.filter(|_| !is_due)
    }

    /// Whether this node has seeds, knows no other node yet, and has only just started.
    fn is_discovering_peers(&self) -> bool {
        let addresses = &self.core.cfg.addresses;
        let has_seeds = addresses.seeds.iter().any(|s| *s != addresses.peers);
        has_seeds && !self.core.knows_peers() && self.has_just_started()
    }

    fn has_just_started(&self) -> bool {
        self.core.started_at.elapsed() < PEER_DISCOVERY_TIMEOUT
    }

    async fn read_store(&self, wait: Duration) -> Result<ListRead<S::Change>, SourceError> {
        let since = self.feed_position();
        let read = match since {
            None => self.source.snapshot().await?,
            Some(since) => self.source.changes(since.version, wait).await?,
        };
        let encoded: Result<Vec<_>, _> = read.changes.iter().map(Relayed::encode).collect();
        Ok(ListRead {
            encoded: encoded?,
            update: ListUpdate {
                changes: read.changes,
                position: StorePosition {
                    era: read.era.unwrap_or(self.newest.era),
                    version: read.version,
                },
                as_of: Instant::now(),
                is_snapshot: since.is_none(),
                is_provisional: false,
            },
            from: None,
            is_fresh: true,
        })
    }

    /// Decides what to do with an update, by its position and those that were read before.
    fn assess(&self, update: &ListUpdate<S::Change>) -> Verdict {
        let position = update.position;
        if position.era > self.newest.era && !update.is_snapshot {
            return Verdict::ReadWholeList;
        }
        // Changes of this era may have been read already; to apply them again changes nothing.
        let is_older =
            position.era < self.newest.era || update.is_snapshot && position < self.newest;
        if is_older {
            Verdict::Ignore
        } else {
            Verdict::Apply
        }
    }

    /// Records the store's era. What was read in an earlier one is no base for further changes.
    fn enter_era(&mut self, era: StoreEra) {
        if era > self.newest.era {
            if self.newest.version > 0 {
                self.provisional_until = Some(Instant::now() + PROVISIONAL_PERIOD);
            }
            self.newest = StorePosition { era, version: 0 };
            self.cursor = None;
        }
        self.core.record_store_era(era);
    }

    /// Logs the first of consecutive lists that are ignored.
    fn log_ignored(&mut self, read: &ListRead<S::Change>) {
        if std::mem::replace(&mut self.ignores, true) {
            return;
        }
        warn!(
            event = "dependency",
            list = S::Change::LIST,
            state = "older",
            version = read.update.position.version,
            era = read.update.position.era,
            newest = self.newest.version,
            newest_era = self.newest.era,
            from = read.from.as_deref().unwrap_or("store"),
        );
    }

    /// Returns whether a whole list that was read just now is provisional; one that isn't ends the
    /// period. `at_parent` is whether it is so at the node that sent it.
    fn settle(&mut self, at_parent: bool) -> bool {
        let now = Instant::now();
        if self.provisional_until.is_none_or(|until| now >= until) {
            self.provisional_until = at_parent.then(|| now + PROVISIONAL_POLL_INTERVAL);
        }
        self.provisional_until.is_some()
    }

    /// Records a read that proves that the store is available. After a gap, the store may have been
    /// away although no read has timed out yet: those of a slow store have longer timeouts.
    fn record_fresh_read(&mut self) {
        let now = Instant::now();
        let last = self.last_fresh.replace(now);
        if last.is_some_and(|last| now.duration_since(last) > MAX_READ_GAP) {
            self.core.record_store_gap();
        }
        self.core.record_store_success();
    }

    /// Applies what was read. Returns whether it had changes.
    fn apply(&mut self, read: ListRead<S::Change>, sink: &impl Sink<S::Change>) -> bool {
        let ListRead {
            update,
            encoded,
            from,
            ..
        } = read;
        if !self.healthy {
            info!(
                event = "dependency",
                list = S::Change::LIST,
                state = "answers",
                version = update.position.version,
                from = from.as_deref().unwrap_or("store"),
            );
        }
        self.healthy = true;
        self.is_unanswered = false;
        self.ignores = false;
        self.enter_era(update.position.era);
        let is_provisional = update.is_snapshot && self.settle(update.is_provisional);
        self.newest = self.newest.max(update.position);
        self.cursor = Some(self.newest);
        let changed = !update.changes.is_empty();
        if changed {
            let origin = ChangeOrigin {
                version: update.position.version,
                node: from.as_ref(),
                is_provisional,
            };
            sink.apply(update.changes, &origin);
        }
        // Published to other nodes only once it is in force here: requests for the whole list are
        // answered from this node's state.
        S::Change::published(self.core).record(&ListUpdate {
            changes: encoded,
            position: update.position,
            as_of: update.as_of,
            is_snapshot: update.is_snapshot,
            is_provisional,
        });
        changed
    }
}

/// Keeps a sink up to date with a source until the process ends.
pub(crate) async fn run_reflector<P, S, K>(core: &Core<P>, source: &S, sink: &K)
where
    P: Platform,
    S: Source,
    S::Change: Relayed<P>,
    K: Sink<S::Change>,
{
    let list = S::Change::LIST;
    let mut reflector = Reflector {
        core,
        source,
        cursor: None,
        newest: StorePosition::default(),
        healthy: false,
        is_unanswered: false,
        last_fresh: None,
        ignores: false,
        provisional_until: None,
    };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let polled_at = Instant::now();
        match reflector.next().await {
            Ok(read) => match reflector.assess(&read.update) {
                Verdict::Apply => {
                    if read.is_fresh {
                        reflector.record_fresh_read();
                    }
                    backoff = INITIAL_BACKOFF;
                    let had_changes = reflector.apply(read, sink);
                    // A long poll may end early without changes, as often as it is repeated.
                    if had_changes || polled_at.elapsed() < BATCH_DELAY {
                        tokio::time::sleep(BATCH_DELAY).await;
                    }
                }
                Verdict::Ignore => {
                    reflector.log_ignored(&read);
                    tokio::time::sleep(backoff).await;
                }
                Verdict::ReadWholeList => reflector.enter_era(read.update.position.era),
            },
            Err(SourceError::Compacted { era }) => {
                info!(event = "dependency", list, state = "history-gone");
                if reflector.cursor.take().is_none() {
                    tokio::time::sleep(backoff).await;
                }
                if let Some(era) = era {
                    reflector.enter_era(era);
                }
            }
            // Its connection may have gone silent though the store answers on others. Taken for an
            // outage, it would keep hosts that are gone.
            Err(SourceError::NoAnswer) if reflector.healthy && !reflector.is_unanswered => {
                info!(event = "dependency", list, state = "unanswered");
                reflector.is_unanswered = true;
            }
            // The list itself is read in parts, and the feed goes on behind it.
            Err(SourceError::TooLarge(why)) if reflector.cursor.is_some() => {
                warn!(event = "dependency", list, state = "changes-too-large", %why);
                reflector.cursor = None;
            }
            Err(err) => {
                core.record_store_failure();
                if reflector.healthy || backoff == INITIAL_BACKOFF {
                    warn!(event = "dependency", list, state = "fails", %err);
                }
                reflector.healthy = false;
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        let failures = i64::try_from(core.store_failures()).unwrap_or(i64::MAX);
        core.metrics.store_failures.set(failures);
    }
}

/// Applies host entries to the fleet.
pub(crate) struct HostSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<FleetChange> for HostSink<P> {
    fn apply(&self, changes: Vec<FleetChange>, origin: &ChangeOrigin<'_>) {
        let now = Instant::now();
        // The planner decides by the entries and logs each change; other nodes log only the
        // version.
        let (version, from) = (origin.version, origin.name());
        info!(event = "hosts", version, changes = changes.len(), from);
        let is_planner = self.0.is_planner();
        {
            let mut fleet = locked(&self.0.fleet);
            let mut removed = Vec::new();
            for change in changes {
                if let (FleetChange::Put(host), true) = (&change, is_planner) {
                    log_host(host, version);
                }
                match change {
                    FleetChange::Snapshot(hosts) if origin.is_provisional => {
                        fleet.apply_restored(hosts, now);
                    }
                    change => removed.extend(fleet.apply(change, now)),
                }
            }
            for host in removed.iter().filter(|_| is_planner) {
                info!(event = "host-gone", %host, reason = "no longer listed");
            }
        }
        self.0.refresh_heads();
    }
}

fn log_host(host: &Host, version: RowVersion) {
    let m = host.membership.as_ref();
    info!(
        event = "host", version, host = %host.id, state = ?host.state, born = host.started_ms,
        fabric = %host.fabric, staged = ?host.staged,
        replica = m.map_or("", |m| m.replica.as_str()), epoch = m.map_or(0, |m| m.epoch),
        rank = m.map_or(0, |m| m.rank), phase = ?m.map(|m| m.phase),
        model = host.model.as_deref().unwrap_or_default(),
    );
}

/// Applies the operator's configurations and evacuations.
pub(crate) struct OperatorSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<OperatorChange> for OperatorSink<P> {
    fn apply(&self, changes: Vec<OperatorChange>, origin: &ChangeOrigin<'_>) {
        let source = origin.name();
        if origin.node.is_none() {
            self.0.quarantine.on_store_read();
        }
        for change in changes {
            match change {
                OperatorChange::Configuration(accepted) => {
                    configuration::apply(&self.0, accepted, source);
                }
                // What was begun or cancelled in the part that the store lost is in force until the
                // operator has written it again.
                OperatorChange::Evacuation(EvacuationChange::Snapshot(_))
                    if origin.is_provisional && locked(&self.0.fleet).knows_evacuations() => {}
                OperatorChange::Evacuation(change) => {
                    apply_evacuation(&self.0, change, origin.version, source);
                }
            }
        }
    }
}

fn apply_evacuation<P: Platform>(
    core: &Core<P>,
    change: EvacuationChange,
    version: RowVersion,
    source: &str,
) {
    let evacuated: Vec<FailureDomain> = {
        let mut fleet = locked(&core.fleet);
        if !fleet.apply_evacuation(change, Instant::now()) {
            return;
        }
        fleet.evacuated().cloned().collect()
    };
    info!(event = "evacuation", version, outcome = "in-force", evacuated = ?evacuated, source);
    let shown = i64::try_from(evacuated.len()).unwrap_or(i64::MAX);
    core.metrics.evacuated_domains.set(shown);
    core.refresh_heads();
}
