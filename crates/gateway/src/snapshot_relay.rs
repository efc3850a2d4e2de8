//! Relays copies of the platform's lists between nodes.
//!
//! [`list_parent`] chooses the node to poll. A node whose parent sends no fresh copy within a
//! fraction of a second reads the store itself, so that a parent that died or lost access to the
//! store delays changes by less than their bound.

use std::borrow::Cow;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassmill_base::{NodeId, StoreEra, StorePosition};
use eelgrassmill_fleet::{
    ChangeLog, EvacuationChange, FleetChange, ListParent, SyncUpdate, initial_sync_source,
    list_parent,
};
use eelgrassmill_peer::{ListReply, ListRequest};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::core::Core;
use crate::heads::locked;
use crate::leader;
use crate::list_codec;
use crate::ports::{AcceptedConfig, OperatorChange, Platform, SourceError};

/// Oldest usable copy: including one more read of the store, a change must be seen within 2 s, the
/// shortest bound that platforms set. Healthy copies are half a second old at the node that polls
/// the store, and as much older one hop on.
const MAX_AGE: Duration = Duration::from_millis(1100);
/// How long an encoded list is reused for other nodes; they fetch later changes as deltas.
const ENCODED_LIST_TTL: Duration = Duration::from_millis(300);
/// Longest wait of one long poll of another node.
const MAX_POLL_WAIT: Duration = Duration::from_millis(400);
/// The same for inner nodes of the list tree: each hop adds to a list's age, bounded by
/// [`MAX_AGE`].
const INNER_MAX_POLL_WAIT: Duration = Duration::from_millis(150);
/// Allowance for a reply beyond its wait: between failure domains it takes 1 to 5 ms, and one
/// retransmission some 200 ms.
const RPC_SLACK: Duration = Duration::from_millis(250);

/// The changes of a list, and whether the last whole list was provisional.
#[derive(Debug, Default)]
struct PublishedLog {
    changes: ChangeLog,
    is_provisional: bool,
}

/// A list as it is served to other nodes.
#[derive(Debug, Default)]
pub(crate) struct PublishedList {
    log: Mutex<PublishedLog>,
    position: watch::Sender<StorePosition>,
    snapshot: Mutex<Option<EncodedList>>,
}

/// A snapshot in its wire form, shared by the nodes that request it at once when they start.
#[derive(Clone, Debug)]
struct EncodedList {
    position: StorePosition,
    is_provisional: bool,
    /// The latest time at which this was known to be the list's state.
    as_of: Instant,
    encoded_at: Instant,
    changes: Vec<Vec<u8>>,
}

impl PublishedList {
    /// Records an update that was read.
    pub(crate) fn record(&self, update: &ListUpdate<Vec<u8>>) {
        {
            let mut log = locked(&self.log);
            if update.is_snapshot {
                log.is_provisional = update.is_provisional;
                log.changes.reset(update.position, update.as_of);
            } else {
                let changes = update.changes.clone();
                log.changes
                    .append(changes, update.position, update.as_of, Instant::now());
            }
        }
        self.position.send_if_modified(|position| {
            let newer = update.position > *position;
            *position = update.position.max(*position);
            newer
        });
    }

    /// Waits until the list is newer than `since`.
    async fn wait_newer_than(&self, since: StorePosition) {
        let mut rx = self.position.subscribe();
        // The sender lives as long as `self`, so the channel can't close.
        let _ = rx.wait_for(|position| *position > since).await;
    }
}

/// The lists that nodes relay to each other.
#[derive(Debug, Default)]
pub(crate) struct SnapshotRelay {
    pub(crate) hosts: PublishedList,
    pub(crate) operator: PublishedList,
}

/// Changes of a list, with the position and time of the state that they lead to.
#[derive(Clone, Debug)]
pub(crate) struct ListUpdate<C> {
    pub(crate) changes: Vec<C>,
    pub(crate) position: StorePosition,
    /// The latest time at which this was known to be the list's state.
    pub(crate) as_of: Instant,
    /// Whether the changes are the whole list.
    pub(crate) is_snapshot: bool,
    /// Whether the whole list may be older than what was known in an earlier era of the store.
    pub(crate) is_provisional: bool,
}

/// A list that nodes relay to each other, with the encoding of its changes.
pub(crate) trait Relayed<P: Platform>: Sized {
    /// The name of the list in requests and logs.
    const LIST: &'static str;

    /// The list as it is served to other nodes.
    fn published(core: &Core<P>) -> &PublishedList;

    /// The whole list as this node has it; empty if it has none.
    fn snapshot(core: &Core<P>) -> Vec<Self>;

    /// Encodes the change for other nodes.
    fn encode(&self) -> Result<Vec<u8>, SourceError>;

    /// Decodes a change from another node.
    fn decode(platform: &P, bytes: &[u8]) -> Result<Self, SourceError>;
}

impl<P: Platform> Relayed<P> for FleetChange {
    const LIST: &'static str = "hosts";

    fn published(core: &Core<P>) -> &PublishedList {
        &core.lists.hosts
    }

    fn snapshot(core: &Core<P>) -> Vec<FleetChange> {
        let fleet = locked(&core.fleet);
        if !fleet.is_loaded() {
            return Vec::new();
        }
        vec![FleetChange::Snapshot(fleet.listed().cloned().collect())]
    }

    fn encode(&self) -> Result<Vec<u8>, SourceError> {
        list_codec::encode(self)
    }

    fn decode(_platform: &P, bytes: &[u8]) -> Result<FleetChange, SourceError> {
        list_codec::decode(bytes)
    }
}

/// The wire form of an [`OperatorChange`]; a configuration is the platform's own text.
#[derive(Serialize, Deserialize)]
enum OperatorMessage<'m> {
    Configuration(Cow<'m, str>),
    Evacuation(Cow<'m, EvacuationChange>),
}

impl<P: Platform> Relayed<P> for OperatorChange {
    const LIST: &'static str = "operator";

    fn published(core: &Core<P>) -> &PublishedList {
        &core.lists.operator
    }

    fn snapshot(core: &Core<P>) -> Vec<OperatorChange> {
        let accepted = core.configuration.accepted();
        let evacuated = locked(&core.fleet).evacuated().cloned().collect();
        let evacuated = OperatorChange::Evacuation(EvacuationChange::Snapshot(evacuated));
        let accepted = accepted.into_iter().map(OperatorChange::Configuration);
        accepted.chain([evacuated]).collect()
    }

    fn encode(&self) -> Result<Vec<u8>, SourceError> {
        let message = match self {
            OperatorChange::Configuration(accepted) => {
                OperatorMessage::Configuration(Cow::Borrowed(&accepted.text))
            }
            OperatorChange::Evacuation(change) => {
                OperatorMessage::Evacuation(Cow::Borrowed(change))
            }
        };
        list_codec::encode(&message)
    }

    fn decode(platform: &P, bytes: &[u8]) -> Result<OperatorChange, SourceError> {
        Ok(match list_codec::decode(bytes)? {
            OperatorMessage::Configuration(text) => {
                let (catalog, text) = (platform.read_catalog(&text)?, text.into_owned());
                OperatorChange::Configuration(AcceptedConfig { catalog, text })
            }
            OperatorMessage::Evacuation(change) => OperatorChange::Evacuation(change.into_owned()),
        })
    }
}

/// Handles another node's request for a list.
pub(crate) async fn handle<P: Platform>(core: Arc<Core<P>>, req: ListRequest) -> ListReply {
    if req.list == <FleetChange as Relayed<P>>::LIST {
        return handle_for::<P, FleetChange>(&core, &req).await;
    }
    if req.list == <OperatorChange as Relayed<P>>::LIST {
        return handle_for::<P, OperatorChange>(&core, &req).await;
    }
    ListReply::default()
}

async fn handle_for<P: Platform, C: Relayed<P>>(core: &Core<P>, req: &ListRequest) -> ListReply {
    let published = C::published(core);
    let since = StorePosition {
        // Older builds don't know of eras: their versions count as those of this node's era.
        era: (req.era).unwrap_or_else(|| locked(&published.log).changes.position().era),
        version: req.since,
    };
    if since.version > 0 {
        let wait = Duration::from_millis(req.wait_ms.into()).min(MAX_POLL_WAIT);
        // A timeout is the usual case: nothing changed.
        let _ = tokio::time::timeout(wait, published.wait_newer_than(since)).await;
    }
    let now = Instant::now();
    let (position, is_provisional, age, catch_up) = {
        let log = locked(&published.log);
        let changes = &log.changes;
        (
            changes.position(),
            log.is_provisional,
            changes.age(now),
            changes.changes_since(since),
        )
    };
    let as_of = age.and_then(|age| now.checked_sub(age));
    let Some(as_of) = as_of else {
        return ListReply::default();
    };
    let (list, is_snapshot) = match catch_up {
        SyncUpdate::Delta(changes) => {
            let list = EncodedList {
                position,
                is_provisional: false,
                as_of,
                encoded_at: now,
                changes,
            };
            (Some(list), false)
        }
        SyncUpdate::Snapshot => {
            let list = encoded_snapshot::<P, C>(core, position, is_provisional, as_of, now);
            (list, true)
        }
    };
    let Some(list) = list else {
        return ListReply::default();
    };
    let age = now.saturating_duration_since(list.as_of);
    ListReply {
        version: list.position.version,
        era: Some(list.position.era),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        platform_unreachable: core.store_failures() > 0,
        is_snapshot,
        is_provisional: list.is_provisional,
        changes: list.changes,
    }
}

/// The cached snapshot if it is recent, else a new one.
fn encoded_snapshot<P: Platform, C: Relayed<P>>(
    core: &Core<P>,
    position: StorePosition,
    is_provisional: bool,
    as_of: Instant,
    now: Instant,
) -> Option<EncodedList> {
    let mut cached = locked(&C::published(core).snapshot);
    let is_usable = |list: &&EncodedList| {
        let age = now.saturating_duration_since(list.encoded_at);
        let is_same_kind =
            list.position.era == position.era && list.is_provisional == is_provisional;
        age < ENCODED_LIST_TTL && is_same_kind
    };
    if let Some(list) = cached.as_ref().filter(is_usable) {
        return Some(list.clone());
    }
    let changes: Result<_, SourceError> = C::snapshot(core).iter().map(C::encode).collect();
    let list = EncodedList {
        position,
        is_provisional,
        as_of,
        encoded_at: now,
        changes: changes.ok()?,
    };
    *cached = Some(list.clone());
    Some(list)
}

/// Why a node's copy of a list can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// It wasn't reached or didn't reply.
    #[error("no response: {0}")]
    NoAnswer(String),
    /// It has no copy.
    #[error("it has no copy")]
    NoCopy,
    /// It can't read the store itself.
    #[error("it can't read the store")]
    StoreUnavailable,
    /// Its copy is of an earlier era of the store.
    #[error("its copy is of era {0}, not {1}")]
    EarlierEra(StoreEra, StoreEra),
    /// Its copy is too old and may lack changes.
    #[error("its copy is {0:?} old")]
    Stale(Duration),
    /// Its copy can't be decoded.
    #[error(transparent)]
    Malformed(SourceError),
}

/// The node to poll for lists, and the longest wait of one poll.
#[derive(Clone, Debug)]
pub(crate) struct Parent {
    pub(crate) node: NodeId,
    pub(crate) wait: Duration,
}

impl Parent {
    fn new(parent: ListParent<'_>) -> Parent {
        let wait = if parent.is_inner {
            INNER_MAX_POLL_WAIT
        } else {
            MAX_POLL_WAIT
        };
        Parent {
            node: parent.node.clone(),
            wait,
        }
    }
}

/// The node to poll for lists; `None` if this node should poll the store.
pub(crate) fn parent<P: Platform>(core: &Core<P>) -> Option<Parent> {
    let now = Instant::now();
    let planner_leader = leader::current(core, now).map(|leader| leader.node);
    let nodes = locked(&core.nodes);
    let others = nodes.with_copies(now);
    list_parent(core.as_candidate(), planner_leader.as_ref(), others).map(Parent::new)
}

/// A node that may have a copy, for a node without lists: its parent, or else a random one.
pub(crate) fn any_copy_source<P: Platform>(core: &Core<P>) -> Option<NodeId> {
    let parent = parent(core).map(|parent| parent.node);
    parent.or_else(|| {
        let nodes = locked(&core.nodes);
        let others = nodes.with_copies(Instant::now());
        initial_sync_source(core.as_candidate(), others, fastrand::f64()).cloned()
    })
}

/// How long this node delays its first read of the store.
pub(crate) fn initial_read_delay<P: Platform>(core: &Core<P>) -> Duration {
    let nodes = locked(&core.nodes);
    let others = nodes.with_copies(Instant::now());
    eelgrassmill_fleet::initial_read_delay(core.as_candidate(), others)
}

/// Another node's copy of a list.
#[derive(Clone, Debug)]
pub(crate) struct ListCopy<C> {
    pub(crate) update: ListUpdate<C>,
    /// The changes in their wire form.
    pub(crate) encoded: Vec<Vec<u8>>,
    /// The copy's age on arrival.
    age: Duration,
    /// Whether the node fails to read the store.
    failing: bool,
}

impl<C> ListCopy<C> {
    /// # Errors
    /// If it may lack changes that a node with access to the store would have.
    pub(crate) fn check(&self) -> Result<(), RelayError> {
        if self.failing {
            return Err(RelayError::StoreUnavailable);
        }
        if self.age > MAX_AGE {
            return Err(RelayError::Stale(self.age));
        }
        Ok(())
    }

    /// # Errors
    /// If it is of an earlier era than `known`.
    pub(crate) fn check_era(&self, known: StoreEra) -> Result<(), RelayError> {
        let era = self.update.position.era;
        if era < known {
            return Err(RelayError::EarlierEra(era, known));
        }
        Ok(())
    }
}

/// Requests the changes since `since` from another node; the whole list if its version is 0.
pub(crate) async fn fetch<P: Platform, C: Relayed<P>>(
    core: &Core<P>,
    node: &NodeId,
    since: StorePosition,
    wait: Duration,
) -> Result<ListCopy<C>, RelayError> {
    let peer = core.peer().ok_or(RelayError::NoCopy)?;
    let result = peer.fetch_list(node, C::LIST, since, wait, RPC_SLACK).await;
    let reply = result.map_err(|e| RelayError::NoAnswer(e.to_string()))?;
    let now = Instant::now();
    if reply.version == 0 {
        return Err(RelayError::NoCopy);
    }
    let age = Duration::from_millis(reply.age_ms.into());
    let read = reply
        .changes
        .iter()
        .map(|bytes| C::decode(&core.platform, bytes));
    let changes: Result<Vec<C>, SourceError> = read.collect();
    Ok(ListCopy {
        update: ListUpdate {
            changes: changes.map_err(RelayError::Malformed)?,
            position: StorePosition {
                era: reply.era.unwrap_or_default(),
                version: reply.version,
            },
            as_of: now.checked_sub(age).unwrap_or(now),
            is_snapshot: reply.is_snapshot,
            is_provisional: reply.is_provisional,
        },
        encoded: reply.changes,
        age,
        failing: reply.platform_unreachable,
    })
}
