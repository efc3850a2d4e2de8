//! Following the platform's lists, in the store or through another node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassmill_base::{FailureDomain, NodeId};
use eelgrassmill_fleet::{EvacuationChange, FleetChange, Host};
use tracing::{info, warn};

use crate::configuration;
use crate::core::Core;
use crate::heads::locked;
use crate::ports::{Cursor, OperatorChange, Platform, Source, SourceError};
use crate::snapshot_relay::{self, ListCopy, ListUpdate, Parent, RelayError, Relayed};

/// Longest wait of one question to the store for changes. The answer also says that nothing
/// else has changed, which other nodes have to know twice a second, and a connection that
/// went silent for good shows only as a question without an answer.
const POLL_TIME: Duration = Duration::from_millis(500);
/// Pause after an answer with changes, so that changes that come together cost one call.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// A node that has just started reads the store after this long, unless it has a copy of another
/// node by then. One that joins others hears of them sooner.
const STORE_DELAY: Duration = Duration::from_millis(150);
/// Nodes that start together read the store within this time of each other.
const START_JITTER: Duration = Duration::from_millis(50);
/// Longest time for which a node without lists waits for its seeds, beyond [`STORE_DELAY`]. Of nodes
/// that start together the seeds may be the last, and the store can't give its whole lists to each
/// node of a large fleet at once.
const SEED_PATIENCE: Duration = Duration::from_millis(400);
/// How often a node that has no copy checks whether another node has one.
const COPY_POLL: Duration = Duration::from_millis(10);
/// The same after some polls: asked each [`COPY_POLL`] by all that start with them, nodes would have
/// no time to read lists themselves.
const MAX_COPY_POLL: Duration = Duration::from_millis(40);
/// Longest time in which another node prepares a copy.
const COPY_TIME: Duration = Duration::from_millis(400);
/// How long it waits for the copy of another node after the store gave no answer.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a node that has just started waits to hear of others before it follows a list in the
/// store. When all nodes start at once each would otherwise follow it there.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often it checks meanwhile.
const PEER_DISCOVERY_POLL: Duration = Duration::from_millis(50);
/// Pause after a failure; grows up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// A store that is back must be read again well within the 2 s in which a change counts.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// What becomes of changes.
pub(crate) trait Sink<C> {
    /// Takes changes in order. `from` is the node that told them, `None` for the store.
    fn take(&self, changes: Vec<C>, version: Cursor, from: Option<&NodeId>);
}

/// Which copies of a list are of use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Wanted {
    /// Those that a node with access to the store would have.
    Fresh,
    /// Any, while the store gives no answer.
    Any,
}

/// What a node has read of a list.
struct Reader<'r, P: Platform, S> {
    core: &'r Core<P>,
    source: &'r S,
    /// Where the list's feed goes on; `None` where the whole list has to be read.
    cursor: Option<Cursor>,
    /// The highest version that was read.
    newest: Cursor,
    /// Whether the last question was answered.
    healthy: bool,
}

/// An answer to a question for changes.
struct Answer<C> {
    update: ListUpdate<C>,
    encoded: Vec<Vec<u8>>,
    /// The node that gave it; `None` for the store.
    from: Option<NodeId>,
    /// Whether it shows that the store answers.
    is_fresh: bool,
}

impl<C> Answer<C> {
    fn of(copy: ListCopy<C>, from: NodeId) -> Answer<C> {
        Answer {
            is_fresh: copy.check().is_ok(),
            update: copy.update,
            encoded: copy.encoded,
            from: Some(from),
        }
    }
}

impl<P, S> Reader<'_, P, S>
where
    P: Platform,
    S: Source,
    S::Change: Relayed<P>,
{
    /// What is new, from the node that should tell it, or else from the store.
    async fn next(&self) -> Result<Answer<S::Change>, SourceError> {
        if self.cursor.is_none() {
            return self.first().await;
        }
        while self.is_discovering_peers() {
            tokio::time::sleep(PEER_DISCOVERY_POLL).await;
        }
        let Some(parent) = snapshot_relay::parent(self.core) else {
            // After a failure the first question is one that is answered at once: a wait
            // on a connection that is dead would hide for seconds that the store is back.
            let wait = if self.healthy {
                POLL_TIME
            } else {
                Duration::ZERO
            };
            return self.read_store(wait).await;
        };
        loop {
            match self.ask(&parent).await {
                // Of nodes that start together the parent may be the last to have its first lists.
                Err(RelayError::None) if self.has_just_started() => {
                    tokio::time::sleep(PEER_DISCOVERY_POLL).await;
                }
                Err(why) => return self.read_instead(&parent.node, &why).await,
                Ok(answer) => return Ok(answer),
            }
        }
    }

    /// The whole list, from the store or from any node that has it, whichever is sooner.
    ///
    /// A node that starts serves nothing until then. While the store is away, what other nodes
    /// serve by is as good as can be had.
    async fn first(&self) -> Result<Answer<S::Change>, SourceError> {
        let due = STORE_DELAY + START_JITTER.mul_f64(fastrand::f64());
        let patience = SEED_PATIENCE.mul_f64(fastrand::f64());
        let store = async {
            // The nodes that start beside this one are known only after a while.
            while self.core.started_at.elapsed() < due + self.initial_read_delay(patience) {
                tokio::time::sleep(MAX_COPY_POLL).await;
            }
            self.read_store(Duration::ZERO).await
        };
        let read = tokio::select! {
            read = store => read,
            copy = self.copy_of_others(Wanted::Fresh) => Ok(copy),
        };
        match read {
            Ok(answer) => Ok(answer),
            Err(err) => {
                let copy = self.copy_of_others(Wanted::Any);
                let copy = tokio::time::timeout(COPY_TIMEOUT, copy).await;
                copy.map_err(|_| err)
            }
        }
    }

    /// How long this node leaves the store to others, `patience` while it has seeds that it hasn't
    /// heard.
    fn initial_read_delay(&self, patience: Duration) -> Duration {
        if self.is_discovering_peers() {
            patience
        } else {
            snapshot_relay::initial_read_delay(self.core)
        }
    }

    /// Waits until another node gives its copy.
    async fn copy_of_others(&self, wanted: Wanted) -> Answer<S::Change> {
        let mut pause = COPY_POLL;
        loop {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_COPY_POLL);
            let Some(node) = snapshot_relay::any_node(self.core) else {
                continue;
            };
            let copy = snapshot_relay::fetch(self.core, &node, 0, COPY_TIME).await;
            match copy {
                Ok(copy) if wanted == Wanted::Any || copy.check().is_ok() => {
                    return Answer::of(copy, node);
                }
                Ok(_) | Err(RelayError::None) => {}
                Err(why) => {
                    info!(event = "relay-failed", list = S::Change::LIST, %node, %why);
                    locked(&self.core.nodes).mark_unavailable(&node, Instant::now());
                }
            }
        }
    }

    async fn ask(&self, parent: &Parent) -> Result<Answer<S::Change>, RelayError> {
        let since = self.cursor.unwrap_or_default();
        let node = &parent.node;
        let copy = snapshot_relay::fetch(self.core, node, since, parent.wait).await?;
        copy.check()?;
        Ok(Answer::of(copy, node.clone()))
    }

    /// Reads the store in place of a node that gave no usable copy.
    async fn read_instead(
        &self,
        parent: &NodeId,
        why: &RelayError,
    ) -> Result<Answer<S::Change>, SourceError> {
        info!(event = "relay-failed", list = S::Change::LIST, node = %parent, %why);
        locked(&self.core.nodes).mark_unavailable(parent, Instant::now());
        self.read_store(Duration::ZERO).await
    }

    /// Whether this node is to hear of others and has not had the time yet.
    fn is_discovering_peers(&self) -> bool {
        let addresses = &self.core.cfg.addresses;
        let has_seeds = addresses.seeds.iter().any(|s| *s != addresses.peers);
        has_seeds && !self.core.knows_peers() && self.has_just_started()
    }

    fn has_just_started(&self) -> bool {
        self.core.started_at.elapsed() < PEER_DISCOVERY_TIMEOUT
    }

    async fn read_store(&self, wait: Duration) -> Result<Answer<S::Change>, SourceError> {
        let (changes, version) = match self.cursor {
            None => self.source.snapshot().await?,
            Some(since) => self.source.changes(since, wait).await?,
        };
        let encoded: Result<Vec<_>, _> = changes.iter().map(Relayed::encode).collect();
        Ok(Answer {
            encoded: encoded?,
            update: ListUpdate {
                changes,
                version,
                as_of: Instant::now(),
                whole: self.cursor.is_none(),
            },
            from: None,
            is_fresh: true,
        })
    }

    /// Whether an answer shows an older state than one before, and so says nothing of now.
    fn is_older(&self, update: &ListUpdate<S::Change>) -> bool {
        update.whole && update.version < self.newest
    }

    /// Takes an answer over. Whether it brought changes.
    fn take(&mut self, answer: Answer<S::Change>, sink: &impl Sink<S::Change>) -> bool {
        let Answer {
            update,
            encoded,
            from,
            ..
        } = answer;
        if !self.healthy {
            info!(
                event = "dependency",
                list = S::Change::LIST,
                state = "answers",
                version = update.version,
                from = from.as_deref().unwrap_or("store"),
            );
        }
        self.healthy = true;
        self.newest = self.newest.max(update.version);
        self.cursor = Some(self.newest);
        let changed = !update.changes.is_empty();
        if changed {
            sink.take(update.changes, update.version, from.as_ref());
        }
        // Told on only once it is in force here: a node that is asked for the whole list
        // tells what it has.
        S::Change::log(self.core).take(&ListUpdate {
            changes: encoded,
            version: update.version,
            as_of: update.as_of,
            whole: update.whole,
        });
        changed
    }
}

/// Keeps a sink up to date with a source, for ever.
pub(crate) async fn follow<P, S, K>(core: &Core<P>, source: &S, sink: &K)
where
    P: Platform,
    S: Source,
    S::Change: Relayed<P>,
    K: Sink<S::Change>,
{
    let list = S::Change::LIST;
    let mut reader = Reader {
        core,
        source,
        cursor: None,
        newest: 0,
        healthy: false,
    };
    let mut pause = FIRST_PAUSE;
    loop {
        match reader.next().await {
            Ok(answer) if reader.is_older(&answer.update) => tokio::time::sleep(pause).await,
            Ok(answer) => {
                if answer.is_fresh {
                    core.record_store_success();
                }
                pause = FIRST_PAUSE;
                if reader.take(answer, sink) {
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            Err(SourceError::Compacted) => {
                info!(event = "dependency", list, state = "history-gone");
                reader.cursor = None;
            }
            Err(err) => {
                core.record_store_failure();
                if reader.healthy || pause == FIRST_PAUSE {
                    warn!(event = "dependency", list, state = "fails", %err);
                }
                reader.healthy = false;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
        let failures = i64::try_from(core.store_failures()).unwrap_or(i64::MAX);
        core.metrics.store_failures.set(failures);
    }
}

/// Takes host entries into the fleet.
pub(crate) struct HostSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<FleetChange> for HostSink<P> {
    fn take(&self, changes: Vec<FleetChange>, version: Cursor, from: Option<&NodeId>) {
        let now = Instant::now();
        // The planner, which decides by them, logs each change; the others which ones they
        // have, by their version.
        let from_name = from.map_or("store", |node| node.as_str());
        info!(
            event = "hosts",
            version,
            changes = changes.len(),
            from = from_name
        );
        let decides = self.0.is_planner();
        {
            let mut fleet = locked(&self.0.fleet);
            let mut gone = Vec::new();
            for change in changes {
                if let (FleetChange::Put(host), true) = (&change, decides) {
                    note(host, version);
                }
                gone.extend(fleet.apply(change, now));
            }
            for host in gone.iter().filter(|_| decides) {
                info!(event = "host-gone", %host, reason = "no longer listed");
            }
        }
        self.0.refresh_heads();
    }
}

fn note(host: &Host, version: Cursor) {
    let m = host.membership.as_ref();
    info!(
        event = "host", version, host = %host.id, state = ?host.state, born = host.started_ms,
        fabric = %host.fabric, staged = ?host.staged,
        replica = m.map_or("", |m| m.replica.as_str()), epoch = m.map_or(0, |m| m.epoch),
        rank = m.map_or(0, |m| m.rank), phase = ?m.map(|m| m.phase),
        model = host.model.as_deref().unwrap_or_default(),
    );
}

/// Takes into force what the operator decided.
pub(crate) struct OperatorSink<P: Platform>(pub(crate) Arc<Core<P>>);

impl<P: Platform> Sink<OperatorChange> for OperatorSink<P> {
    fn take(&self, changes: Vec<OperatorChange>, version: Cursor, from: Option<&NodeId>) {
        let source = from.map_or("store", |node| node.as_str());
        for change in changes {
            match change {
                OperatorChange::Configuration(accepted) => {
                    configuration::take(&self.0, accepted, source);
                }
                OperatorChange::Evacuation(change) => {
                    take_evacuation(&self.0, change, version, source);
                }
            }
        }
    }
}

fn take_evacuation<P: Platform>(
    core: &Core<P>,
    change: EvacuationChange,
    version: Cursor,
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
